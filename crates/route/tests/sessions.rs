//! Sealed session tokens: validity across hosts and key rotations, forged and malformed tokens.

use foxtailhoist_model::ModelVersion;
use foxtailhoist_route::session::SessionKeys;
use foxtailhoist_route::session::SessionTokenError;
use rstest::rstest;

fn keys(current: &str, previous: Option<&str>) -> SessionKeys {
    let previous = previous.map(|key| key.as_bytes().to_vec());
    SessionKeys { current: current.as_bytes().to_vec(), previous }
}

fn version() -> ModelVersion {
    ModelVersion::new("levain-large", "3")
}

#[test]
fn a_token_is_valid_on_any_host_until_its_key_has_been_rotated_twice() {
    let token = keys("one", None).seal("crust", "s-1", &version());
    let pin = keys("one", None).open("crust", &token).expect("the same key");
    assert_eq!((pin.session.as_str(), pin.version), ("s-1", Some(version())));
    assert!(keys("two", Some("one")).open("crust", &token).is_ok());
    let error = keys("three", Some("two")).open("crust", &token).unwrap_err();
    assert_eq!(error, SessionTokenError::NotValid);
}

#[test]
fn a_token_of_another_workspace_is_refused() {
    let token = keys("one", None).seal("crust", "s-1", &version());
    assert_eq!(keys("one", None).open("rye", &token), Err(SessionTokenError::NotValid));
}

#[test]
fn a_changed_version_is_refused() {
    let keys = keys("one", None);
    let token = keys.seal("crust", "s-1", &version());
    let other = keys.seal("crust", "s-1", &ModelVersion::new("levain-large", "4"));
    let parts: Vec<&str> = token.split('.').collect();
    let others: Vec<&str> = other.split('.').collect();
    let forged = [parts[0], others[1], parts[2]].join(".");
    assert_eq!(keys.open("crust", &forged), Err(SessionTokenError::NotValid));
}

#[rstest]
#[case::empty("")]
#[case::no_tag("61.62")]
#[case::not_hex("zz.zz.zz")]
#[case::odd_length("6.62.63")]
#[case::too_many_parts("61.62.63.64")]
#[case::not_ascii("é1.62.63")]
fn an_unreadable_token_is_refused(#[case] token: &str) {
    assert_eq!(keys("one", None).open("crust", token), Err(SessionTokenError::Malformed));
}

#[test]
fn a_token_over_the_maximum_length_is_refused() {
    let token = "61".repeat(600);
    assert_eq!(keys("one", None).open("crust", &token), Err(SessionTokenError::Malformed));
}
