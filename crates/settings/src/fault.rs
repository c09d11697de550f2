//! What is wrong with a file, in full.

use std::fmt;

use thiserror::Error;

use crate::tree::FieldPath;

/// One thing that is wrong, with its place.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {field}: found {found}; expected {expected}")]
pub struct Fault {
    pub file: String,
    /// Counted from 1; 0 when the file could not be read.
    pub line: u64,
    /// Path of the field, such as `presets.peak.limits.queue`; `(document)` for the whole.
    pub field: String,
    pub found: String,
    pub expected: String,
}

/// Everything that is wrong with a file; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Faults {
    pub faults: Vec<Fault>,
}

/// One thing that is wrong with a value, whatever file it came from.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: found {found}; expected {expected}")]
pub struct FieldFault {
    pub field: FieldPath,
    pub found: String,
    pub expected: String,
}

/// Collects faults of one value.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    pub(crate) faults: Vec<FieldFault>,
}

impl Checks {
    /// Notes a fault.
    pub(crate) fn refuse(&mut self, field: FieldPath, found: impl ToString, expected: &str) {
        let expected = expected.to_owned();
        self.faults.push(FieldFault { field, found: found.to_string(), expected });
    }

    /// Notes a fault unless `holds`.
    pub(crate) fn require(
        &mut self,
        holds: bool,
        field: FieldPath,
        found: impl ToString,
        expected: &str,
    ) {
        if !holds {
            self.refuse(field, found, expected);
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.faults.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
