//! Faults in files and in the values read from them.

use std::fmt;

use thiserror::Error;

use crate::tree::FieldPath;

/// A fault in a file, with its location.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {field}: found {found}; expected {expected}")]
pub struct Fault {
    pub file: String,
    /// Line, counted from 1; 0 when the file could not be read.
    pub line: u64,
    /// Path of the field, such as `presets.peak.limits.queue`; `(document)` for the whole document.
    pub field: String,
    pub found: String,
    pub expected: String,
}

/// All faults of a file; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Faults {
    pub faults: Vec<Fault>,
}

/// A fault in a field of a value, independent of any file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: found {found}; expected {expected}")]
pub struct FieldFault {
    pub field: FieldPath,
    pub found: String,
    pub expected: String,
}

/// Collects the faults of one value.
#[derive(Debug, Default)]
pub(crate) struct FaultCollector {
    pub(crate) faults: Vec<FieldFault>,
}

impl FaultCollector {
    /// Adds a fault.
    pub(crate) fn report(&mut self, field: FieldPath, found: impl ToString, expected: &str) {
        let expected = expected.to_owned();
        self.faults.push(FieldFault { field, found: found.to_string(), expected });
    }

    /// Adds a fault unless `holds`.
    pub(crate) fn require(
        &mut self,
        holds: bool,
        field: FieldPath,
        found: impl ToString,
        expected: &str,
    ) {
        if !holds {
            self.report(field, found, expected);
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
