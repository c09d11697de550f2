//! Runs every scenario twice: it must show no violation, and both runs must give the same trace.

use std::path::PathBuf;

use foxtailhoist_scenario::Scenario;
use foxtailhoist_scenario::run;
use rstest::rstest;

#[rstest]
fn scenario_has_no_violation_and_a_reproducible_trace(
    #[files("../../scenarios/*.yaml")] path: PathBuf,
) {
    let text = std::fs::read_to_string(&path).expect("the file can be read");
    let scenario =
        Scenario::parse(&path.display().to_string(), &text).expect("the scenario is valid");
    let outcome = run(&scenario);
    let lines: Vec<&str> = outcome.trace.lines().collect();
    let last = lines[lines.len().saturating_sub(60)..].join("\n");
    assert!(outcome.violations.is_empty(), "{:#?}\n{last}", outcome.violations);
    let second = run(&scenario);
    assert_eq!(second.trace.hash(), outcome.trace.hash(), "the same file gave another trace");
}
