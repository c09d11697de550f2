//! Reads and checks settings and presets in YAML.

use std::path::Path;

use foxtailhoist_model::Configuration;
use thiserror::Error;

/// A file that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}: {fault}")]
pub struct Faults {
    file: String,
    fault: String,
}

/// Reads a configuration.
///
/// # Errors
///
/// Returns the first fault with its line.
pub fn read_configuration(file: &Path) -> Result<Configuration, Faults> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|e| Faults { file: name.clone(), fault: e.to_string() })?;
    parse_configuration(&name, &text)
}

/// Reads a configuration's text; `name` stands for the file in errors.
///
/// # Errors
///
/// Returns the first fault with its line.
pub fn parse_configuration(name: &str, text: &str) -> Result<Configuration, Faults> {
    serde_saphyr::from_str(text).map_err(|e| Faults { file: name.to_owned(), fault: e.to_string() })
}
