//! The files under `examples/` load.

use std::path::Path;
use std::path::PathBuf;

use foxtailhoist_settings::load_configuration;
use foxtailhoist_settings::load_settings;
use rstest::rstest;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

#[rstest]
#[case::merrimack("merrimack", "nashua", "levain-large", "crock-app")]
#[case::foerbundet("foerbundet", "umea", "assist-large", "order-desk")]
fn settings_and_their_configuration_load(
    #[case] name: &str,
    #[case] data_centre: &str,
    #[case] model: &str,
    #[case] service: &str,
) {
    let settings = load_settings(&example(&format!("{name}/settings.yaml"))).unwrap();
    assert_eq!(settings.data_centre, data_centre);
    assert_eq!(settings.keys.operators.len(), 2);
    let configuration = load_configuration(&settings.configuration.unwrap()).unwrap();
    assert_eq!(configuration.workspaces.len(), 10);
    assert_eq!(
        configuration.presets.keys().collect::<Vec<_>>(),
        ["maintenance", "ordinary", "peak"]
    );
    assert!(configuration.models.contains_key(model));
    assert!(configuration.services.contains_key(service));
    assert!(configuration.preset_in_force().is_some());
}

#[test]
fn debug_output_redacts_keys() {
    let settings = load_settings(&example("merrimack/settings.yaml")).unwrap();
    assert!(!format!("{settings:?}").contains("for-development"));
    assert_eq!(settings.keys.peer.expose(), "merrimack-peer-key-for-development");
}
