//! Responses and wire names of error kinds, and the text form of model versions.

use std::collections::BTreeSet;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Ran;
use foxtailhoist_model::RetryAdvice;
use rstest::rstest;

#[test]
fn names_match_serde_and_are_distinct() {
    let mut names = BTreeSet::new();
    for kind in ErrorKind::ALL {
        let json = serde_json::to_string(&kind).expect("an error kind serialises");
        assert_eq!(json, format!("\"{}\"", kind.name()));
        names.insert(kind.name());
    }
    assert_eq!(names.len(), ErrorKind::ALL.len());
}

#[test]
fn kinds_that_may_have_run_are_not_freely_retryable() {
    for kind in ErrorKind::ALL {
        let response = kind.response();
        let operators_only = kind == ErrorKind::StoreUnavailable;
        if response.retry == RetryAdvice::Yes && !operators_only {
            assert_eq!(response.ran, Ran::NotRun, "{kind}");
        }
    }
}

#[rstest]
#[case("levain-small@2026-11")]
#[case("m@1")]
fn model_versions_round_trip(#[case] text: &str) {
    let parsed: ModelVersion = text.parse().expect("well-formed");
    assert_eq!(parsed.to_string(), text);
}

#[rstest]
#[case("levain-small")]
#[case("@1")]
#[case("m@")]
#[case("m@1@2")]
fn malformed_model_versions_are_refused(#[case] text: &str) {
    assert!(text.parse::<ModelVersion>().is_err());
}
