//! Short randomised runs with fault injection.

use foxtailhoist_measure::soak;
use rstest::rstest;

#[rstest]
#[case(1)]
#[case(2)]
fn no_invariant_is_violated(#[case] seed: u64) {
    let report = soak::run(seed, 60_000);
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.endings.get("whole").is_some_and(|count| *count > 0), "{report}");
}

/// Run with `cargo test --release -p foxtailhoist-measure --test soak -- --ignored`.
#[test]
#[ignore = "long"]
fn a_million_steps() {
    let report = soak::run(12, 1_000_000);
    assert!(report.violations.is_empty(), "{report}");
}
