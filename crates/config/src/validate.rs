//! Checks that a configuration refers only to entries that it defines.

use foxtailhoist_model::Configuration;

/// Checks references between the parts of a configuration.
///
/// # Errors
///
/// Returns the first field that refers to an undefined entry.
pub fn validate(configuration: &Configuration) -> Result<(), String> {
    if configuration.preset_in_force().is_none() {
        return Err(format!(
            "preset: '{}' is not among 'presets'; name a defined preset",
            configuration.preset
        ));
    }
    for (preset_id, preset) in &configuration.presets {
        for (workspace, models) in &preset.allowed {
            if !configuration.workspaces.contains_key(workspace) {
                return Err(format!(
                    "presets.{preset_id}.allowed: workspace '{workspace}' is not defined"
                ));
            }
            if let Some(model) = models.iter().find(|id| !configuration.models.contains_key(*id)) {
                return Err(format!(
                    "presets.{preset_id}.allowed.{workspace}: model '{model}' is not defined"
                ));
            }
        }
    }
    let has_model = |id: &String| configuration.models.contains_key(id);
    match configuration.versions.keys().find(|version| !has_model(&version.model)) {
        Some(version) => Err(format!("versions.{version}: its model is not defined")),
        None => Ok(()),
    }
}
