//! A YAML document as a tree with the line of every key and value.
//!
//! Reading has two phases, so that one run can report many faults: the text is parsed into a tree, and parts of the
//! tree are then deserialised one by one. A fault in one part does not hide faults in the others, and later checks
//! find the line of a field by its path.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Spanned;

/// A value and the line on which it begins, counted from 1.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    pub(crate) line: u64,
    pub(crate) value: Value,
}

/// What a node holds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Signed(i64),
    Unsigned(u64),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<Entry>),
}

/// A key of a map, its line and its value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) line: u64,
    pub(crate) node: Node,
}

/// Segment of a path into a tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PathSegment {
    Key(String),
    Index(usize),
    /// The list item with this text.
    Item(String),
}

/// Path from the root of a document, shown as `presets.peak.rollout.steps[1].share`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPath {
    pub(crate) segments: Vec<PathSegment>,
}

impl Node {
    /// Parses a YAML document.
    pub(crate) fn parse(text: &str) -> Result<Node, serde_saphyr::Error> {
        let root: Spanned<Value> = serde_saphyr::from_str(text)?;
        Ok(Node::from_spanned(root))
    }

    /// Line of the deepest node on the path that exists in the document.
    pub(crate) fn line_of(&self, path: &FieldPath) -> u64 {
        let mut line = self.line;
        let mut node = self;
        for segment in &path.segments {
            let next = match (segment, &node.value) {
                (PathSegment::Key(key), Value::Map(entries)) => {
                    let entry = entries.iter().find(|entry| entry.key == *key);
                    entry.map(|entry| (entry.line, &entry.node))
                }
                (PathSegment::Index(index), Value::List(nodes)) => {
                    nodes.get(*index).map(|node| (node.line, node))
                }
                (PathSegment::Item(text), Value::List(nodes)) => {
                    let item = nodes.iter().find(|node| node.value == Value::Text(text.clone()));
                    item.map(|node| (node.line, node))
                }
                _ => None,
            };
            match next {
                Some((next_line, next_node)) => (line, node) = (next_line, next_node),
                None => return line,
            }
        }
        line
    }

    /// Text of `found` in a fault at this node.
    pub(crate) fn describe(&self) -> String {
        match &self.value {
            Value::Null => "nothing".to_owned(),
            Value::Bool(value) => value.to_string(),
            Value::Signed(value) => value.to_string(),
            Value::Unsigned(value) => value.to_string(),
            Value::Float(value) => value.to_string(),
            Value::Text(text) => format!("'{text}'"),
            Value::List(_) => "a list".to_owned(),
            Value::Map(_) => "a map".to_owned(),
        }
    }

    fn from_spanned(spanned: Spanned<Value>) -> Node {
        Node { line: spanned.referenced.line(), value: spanned.value }
    }
}

impl FieldPath {
    /// The path with a key appended.
    #[must_use]
    pub fn key(&self, key: &str) -> FieldPath {
        self.with(PathSegment::Key(key.to_owned()))
    }

    /// The path with an index appended.
    #[must_use]
    pub fn index(&self, index: usize) -> FieldPath {
        self.with(PathSegment::Index(index))
    }

    /// The path with an item of a list of texts appended.
    #[must_use]
    pub fn item(&self, text: &str) -> FieldPath {
        self.with(PathSegment::Item(text.to_owned()))
    }

    fn with(&self, segment: PathSegment) -> FieldPath {
        let mut segments = self.segments.clone();
        segments.push(segment);
        FieldPath { segments }
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, segment) in self.segments.iter().enumerate() {
            match segment {
                PathSegment::Key(key) if position == 0 => f.write_str(key)?,
                PathSegment::Key(key) => write!(f, ".{key}")?,
                PathSegment::Index(index) => write!(f, "[{index}]")?,
                PathSegment::Item(text) => write!(f, "[{text}]")?,
            }
        }
        Ok(())
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(u64::try_from(value).map_or(Value::Signed(value), Value::Unsigned))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Unsigned(value))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut nodes = Vec::new();
        while let Some(item) = items.next_element::<Spanned<Value>>()? {
            nodes.push(Node::from_spanned(item));
        }
        Ok(Value::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut pairs: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some((key, value)) = pairs.next_entry::<Spanned<String>, Spanned<Value>>()? {
            let line = key.referenced.line();
            entries.push(Entry { key: key.value, line, node: Node::from_spanned(value) });
        }
        Ok(Value::Map(entries))
    }
}
