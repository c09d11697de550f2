//! A document that is being read, and the faults found in it so far.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::fault::Fault;
use crate::fault::Faults;
use crate::fault::FieldFault;
use crate::read::read;
use crate::tree::Entry;
use crate::tree::FieldPath;
use crate::tree::Node;
use crate::tree::Value;

/// Largest accepted file, in bytes.
const FILE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// A document with its file name and its faults.
pub(crate) struct Source {
    file: String,
    root: Node,
    faults: Vec<FieldFault>,
}

impl Source {
    /// Parses a text as a YAML document.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Source, Faults> {
        if text.len() > FILE_LIMIT_BYTES {
            let found = format!("{} bytes", text.len());
            return Err(document_fault(
                file,
                1,
                found,
                format!("at most {FILE_LIMIT_BYTES} bytes"),
            ));
        }
        let root = Node::parse(text).map_err(|error| {
            let line = error.location().map_or(1, |location| location.line());
            let found = error.without_snippet().to_string();
            document_fault(file, line, found, "valid YAML".to_owned())
        })?;
        Ok(Source { file: file.to_owned(), root, faults: Vec::new() })
    }

    /// Reads one section of the document; adds a fault when it is missing or unreadable.
    pub(crate) fn section<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let path = FieldPath::default().key(name);
        match self.node(name) {
            Some(node) => {
                let result = read(node, &path);
                self.ok_or_report(result)
            }
            None => {
                self.report(path, "nothing", "a value");
                None
            }
        }
    }

    /// Reads a section that may be absent.
    pub(crate) fn optional_section<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let node = self.node(name)?;
        let result = read(node, &FieldPath::default().key(name));
        self.ok_or_report(result)
    }

    /// Reads a map entry by entry, so that a fault in one entry does not hide faults in the others; empty if absent.
    pub(crate) fn entries<K: DeserializeOwned + Ord, T: DeserializeOwned>(
        &mut self,
        name: &str,
    ) -> BTreeMap<K, T> {
        let path = FieldPath::default().key(name);
        let Some(node) = self.node(name) else { return BTreeMap::new() };
        let Value::Map(entries) = &node.value else {
            let found = node.describe();
            self.report(path, &found, "a map");
            return BTreeMap::new();
        };
        let results: Vec<_> = entries.iter().map(|entry| read_entry(entry, &path)).collect();
        results.into_iter().filter_map(|result| self.ok_or_report(result)).collect()
    }

    /// Adds a fault for every top-level name that is not among `known`.
    pub(crate) fn report_unknown_sections(&mut self, known: &[&str]) {
        let unknown: Vec<String> = match &self.root.value {
            Value::Map(entries) => entries
                .iter()
                .filter(|entry| !known.contains(&entry.key.as_str()))
                .map(|entry| entry.key.clone())
                .collect(),
            _ => {
                let found = self.root.describe();
                self.report(FieldPath::default(), &found, "a map");
                return;
            }
        };
        for name in unknown {
            let path = FieldPath::default().key(&name);
            let expected = format!("one of {}", known.join(", "));
            self.report(path, &format!("unknown field '{name}'"), &expected);
        }
    }

    /// Adds a fault.
    pub(crate) fn report(&mut self, field: FieldPath, found: &str, expected: &str) {
        let fault = FieldFault { field, found: found.to_owned(), expected: expected.to_owned() };
        self.faults.push(fault);
    }

    /// Adds the faults that checks found.
    pub(crate) fn report_all(&mut self, faults: Vec<FieldFault>) {
        self.faults.extend(faults);
    }

    pub(crate) fn has_faults(&self) -> bool {
        !self.faults.is_empty()
    }

    /// The faults with their lines, in the order of the document.
    pub(crate) fn into_faults(self) -> Faults {
        let locate = |fault: &FieldFault| Fault {
            file: self.file.clone(),
            line: self.root.line_of(&fault.field),
            field: if fault.field.segments.is_empty() {
                DOCUMENT_FIELD.to_owned()
            } else {
                fault.field.to_string()
            },
            found: fault.found.clone(),
            expected: fault.expected.clone(),
        };
        let mut faults: Vec<Fault> = self.faults.iter().map(locate).collect();
        faults.sort_by_key(|fault| fault.line);
        Faults { faults }
    }

    fn node(&self, name: &str) -> Option<&Node> {
        let Value::Map(entries) = &self.root.value else { return None };
        entries.iter().find(|entry| entry.key == name).map(|entry| &entry.node)
    }

    fn ok_or_report<T>(&mut self, result: Result<T, FieldFault>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(fault) => {
                self.faults.push(fault);
                None
            }
        }
    }
}

/// Field of a fault that concerns the whole document.
const DOCUMENT_FIELD: &str = "(document)";

/// Reads a file as text.
pub(crate) fn read_file(path: &Path) -> Result<String, Faults> {
    let file = path.display().to_string();
    fs::read_to_string(path)
        .map_err(|e| document_fault(&file, 0, e.to_string(), "a readable file".to_owned()))
}

fn document_fault(file: &str, line: u64, found: String, expected: String) -> Faults {
    let fault =
        Fault { file: file.to_owned(), line, field: DOCUMENT_FIELD.to_owned(), found, expected };
    Faults { faults: vec![fault] }
}

fn read_entry<K: DeserializeOwned, T: DeserializeOwned>(
    entry: &Entry,
    section: &FieldPath,
) -> Result<(K, T), FieldFault> {
    let path = section.key(&entry.key);
    let key = Node { line: entry.line, value: Value::Text(entry.key.clone()) };
    Ok((read(&key, &path)?, read(&entry.node, &path)?))
}
