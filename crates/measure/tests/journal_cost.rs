//! Bounds on the journal's measured cost.

use foxtailhoist_measure::journal_cost::LOADS;
use foxtailhoist_measure::journal_cost::measure;
use foxtailhoist_measure::journal_cost::measure_load;
use foxtailhoist_measure::journal_cost::measure_recovery;

#[test]
fn store_calls_of_the_default_deployment_are_within_the_target_and_fall_with_load() {
    let costs: Vec<_> = LOADS[1..3].iter().map(|load| measure_load(*load, 1)).collect();
    assert!(costs[1].calls() <= 20.0, "{}", costs[1]);
    assert!(costs[1].calls() < costs[0].calls(), "{} then {}", costs[0], costs[1]);
}

#[test]
fn recovery_does_not_grow_with_the_log() {
    let short = measure_recovery(100, true, 1);
    let long = measure_recovery(1_000, true, 1);
    assert!(long.calls <= short.calls + 1, "{short:?} then {long:?}");
}

#[test]
#[ignore = "prints all results; run in release"]
fn all_results() {
    println!("{}", measure(1));
}
