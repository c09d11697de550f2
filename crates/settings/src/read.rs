//! Deserialises parts of a tree and locates each fault.

use std::fmt;

use serde::de;
use serde::de::DeserializeOwned;
use serde::de::DeserializeSeed;
use serde::de::EnumAccess;
use serde::de::Expected;
use serde::de::IntoDeserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Unexpected;
use serde::de::VariantAccess;
use serde::de::Visitor;
use serde::de::value::StrDeserializer;
use serde::forward_to_deserialize_any;

use crate::fault::FieldFault;
use crate::tree::Entry;
use crate::tree::FieldPath;
use crate::tree::Node;
use crate::tree::PathSegment;
use crate::tree::Value;

/// Deserialises a part of a document; `path` is its path from the root.
pub(crate) fn read<T: DeserializeOwned>(node: &Node, path: &FieldPath) -> Result<T, FieldFault> {
    T::deserialize(node).map_err(|error| error.into_fault(path))
}

/// A fault that collects its path as it propagates up the tree.
#[derive(Debug)]
pub(crate) struct ReadError {
    /// Path segments, from the fault upwards.
    segments: Vec<PathSegment>,
    found: String,
    expected: String,
}

impl ReadError {
    fn new(found: String, expected: String) -> ReadError {
        ReadError { segments: Vec::new(), found, expected }
    }

    fn with_parent(mut self, segment: PathSegment) -> ReadError {
        self.segments.push(segment);
        self
    }

    fn into_fault(self, path: &FieldPath) -> FieldFault {
        let segments = path.segments.iter().cloned().chain(self.segments.into_iter().rev());
        let field = FieldPath { segments: segments.collect() };
        FieldFault { field, found: self.found, expected: self.expected }
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "found {}; expected {}", self.found, self.expected)
    }
}

impl std::error::Error for ReadError {}

impl de::Error for ReadError {
    fn custom<T: fmt::Display>(message: T) -> ReadError {
        ReadError::new(message.to_string(), "a valid value".to_owned())
    }

    fn invalid_type(unexpected: Unexpected<'_>, expected: &dyn Expected) -> ReadError {
        ReadError::new(unexpected.to_string(), expected.to_string())
    }

    fn invalid_value(unexpected: Unexpected<'_>, expected: &dyn Expected) -> ReadError {
        ReadError::new(unexpected.to_string(), expected.to_string())
    }

    fn unknown_variant(variant: &str, expected: &'static [&'static str]) -> ReadError {
        ReadError::new(format!("'{variant}'"), one_of(expected))
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> ReadError {
        ReadError::new(format!("unknown field '{field}'"), one_of(expected))
    }

    fn missing_field(field: &'static str) -> ReadError {
        ReadError::new("nothing".to_owned(), format!("a field '{field}'"))
    }
}

fn one_of(names: &[&str]) -> String {
    format!("one of {}", names.join(", "))
}

impl<'de> de::Deserializer<'de> for &'de Node {
    type Error = ReadError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        match &self.value {
            Value::Null => visitor.visit_unit(),
            Value::Bool(value) => visitor.visit_bool(*value),
            Value::Signed(value) => visitor.visit_i64(*value),
            Value::Unsigned(value) => visitor.visit_u64(*value),
            Value::Float(value) => visitor.visit_f64(*value),
            Value::Text(text) => visitor.visit_borrowed_str(text),
            Value::List(nodes) => visitor.visit_seq(Items { nodes, position: 0 }),
            Value::Map(entries) => visitor.visit_map(Pairs { entries, position: 0 }),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        match self.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        visitor.visit_newtype_struct(self)
    }

    /// Accepts the name of a variant, or a map with that name as its only key and the variant's content as its value.
    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        match &self.value {
            Value::Text(name) => visitor.visit_enum(Variant { name, content: None }),
            Value::Map(entries) => match entries.as_slice() {
                [entry] => {
                    visitor.visit_enum(Variant { name: &entry.key, content: Some(&entry.node) })
                }
                _ => Err(ReadError::new(format!("{} fields", entries.len()), one_of(variants))),
            },
            _ => Err(ReadError::new(self.describe(), one_of(variants))),
        }
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

struct Items<'de> {
    nodes: &'de [Node],
    position: usize,
}

impl<'de> SeqAccess<'de> for Items<'de> {
    type Error = ReadError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, ReadError> {
        let Some(node) = self.nodes.get(self.position) else { return Ok(None) };
        let segment = PathSegment::Index(self.position);
        self.position += 1;
        seed.deserialize(node).map(Some).map_err(|error| error.with_parent(segment))
    }
}

struct Pairs<'de> {
    entries: &'de [Entry],
    /// Index of the entry whose key is read next; `next_value_seed` reads the value of the entry before it.
    position: usize,
}

impl<'de> MapAccess<'de> for Pairs<'de> {
    type Error = ReadError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, ReadError> {
        let Some(entry) = self.entries.get(self.position) else { return Ok(None) };
        self.position += 1;
        let key: StrDeserializer<'de, ReadError> = entry.key.as_str().into_deserializer();
        let segment = PathSegment::Key(entry.key.clone());
        seed.deserialize(key).map(Some).map_err(|error| error.with_parent(segment))
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, ReadError> {
        let entry = &self.entries[self.position - 1];
        let segment = PathSegment::Key(entry.key.clone());
        seed.deserialize(&entry.node).map_err(|error| error.with_parent(segment))
    }
}

struct Variant<'de> {
    name: &'de str,
    content: Option<&'de Node>,
}

impl<'de> EnumAccess<'de> for Variant<'de> {
    type Error = ReadError;
    type Variant = Variant<'de>;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, Variant<'de>), ReadError> {
        let name: StrDeserializer<'de, ReadError> = self.name.into_deserializer();
        Ok((seed.deserialize(name)?, self))
    }
}

impl<'de> Variant<'de> {
    fn content(&self) -> Result<&'de Node, ReadError> {
        let missing = || {
            ReadError::new(format!("'{}' without a value", self.name), "a value for it".to_owned())
        };
        self.content.ok_or_else(missing)
    }

    fn segment(&self) -> PathSegment {
        PathSegment::Key(self.name.to_owned())
    }
}

impl<'de> VariantAccess<'de> for Variant<'de> {
    type Error = ReadError;

    fn unit_variant(self) -> Result<(), ReadError> {
        match self.content {
            None => Ok(()),
            Some(node) => {
                let expected = format!("'{}' without a value", self.name);
                Err(ReadError::new(node.describe(), expected).with_parent(self.segment()))
            }
        }
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value, ReadError> {
        let node = self.content()?;
        seed.deserialize(node).map_err(|error| error.with_parent(self.segment()))
    }

    fn tuple_variant<V: Visitor<'de>>(
        self,
        _length: usize,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        let node = self.content()?;
        de::Deserializer::deserialize_any(node, visitor)
            .map_err(|error| error.with_parent(self.segment()))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        let node = self.content()?;
        de::Deserializer::deserialize_any(node, visitor)
            .map_err(|error| error.with_parent(self.segment()))
    }
}
