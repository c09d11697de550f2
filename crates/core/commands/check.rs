//! `check`: validates settings and configuration files without starting anything.

use std::path::Path;
use std::path::PathBuf;

use foxtailhoist_platform::Settings as RelaySettings;
use foxtailhoist_settings::load_settings;

use crate::commands::operate;
use crate::failure::Failure;

/// Validates the given files, and the configuration that the settings name if none is given.
///
/// # Errors
///
/// Returns the errors of the first invalid file, with file, line and field.
pub fn check(
    settings: Option<&Path>,
    relay: Option<&Path>,
    configuration: Option<&Path>,
) -> Result<(), Failure> {
    if let Some(file) = relay {
        let settings = RelaySettings::load(file).map_err(|e| Failure::Settings(e.to_string()))?;
        println!("{}: settings of {} in {}", file.display(), settings.host, settings.data_centre);
    }
    let mut from_settings: Option<PathBuf> = None;
    if let Some(file) = settings {
        let settings = load_settings(file).map_err(|e| Failure::Settings(e.to_string()))?;
        println!("{}: settings of {} in {}", file.display(), settings.host, settings.data_centre);
        from_settings = settings.configuration;
    }
    if let Some(file) = configuration.map(Path::to_path_buf).or(from_settings) {
        let configuration = operate::read_configuration(&file)?;
        let presets: Vec<&str> = configuration.presets.keys().map(String::as_str).collect();
        println!("{}: preset {} of {}", file.display(), configuration.preset, presets.join(", "));
    }
    Ok(())
}
