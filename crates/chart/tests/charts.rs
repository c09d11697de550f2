//! Charts are checked when parsed and interpreted as written.

use foxtailhoist_chart::Chart;
use foxtailhoist_chart::ChartError;
use rstest::rstest;
use serde::Deserialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Alive,
    Suspect,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Event {
    Silent,
    Heard,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Guard {
    Confirmed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Effect {
    Forget,
}

type TestChart = Chart<State, Event, Guard, Effect>;

const VALID_CHART: &str = "
initial: alive
states:
  alive:
    silent: [{ to: suspect }]
  suspect:
    heard: [{ to: alive }]
    silent: [{ to: gone, guard: confirmed, effects: [forget] }]
  gone: {}
";

#[test]
fn transitions_follow_the_file() {
    let chart = TestChart::parse(VALID_CHART).expect("the chart is valid");
    let transition =
        chart.step(State::Suspect, Event::Silent, |Guard::Confirmed| true).expect("a transition");
    assert_eq!(transition.to, State::Gone);
    assert_eq!(transition.effects, [Effect::Forget]);
    assert!(chart.step(State::Suspect, Event::Silent, |_| false).is_none());
    assert!(chart.is_final(State::Gone));
}

#[rstest]
#[case::unknown_event(VALID_CHART.replace("heard", "herd"))]
#[case::unknown_effect(VALID_CHART.replace("forget", "forgive"))]
#[case::unknown_field(VALID_CHART.replace("guard", "gard"))]
fn unknown_names_are_refused(#[case] yaml: String) {
    assert!(matches!(TestChart::parse(&yaml), Err(ChartError::Syntax(_))));
}

#[test]
fn an_unreachable_state_is_refused() {
    let yaml = VALID_CHART.replace("to: gone", "to: alive");
    assert_eq!(TestChart::parse(&yaml).unwrap_err(), ChartError::Unreachable("Gone".to_owned()));
}

#[test]
fn a_missing_state_is_refused() {
    let yaml = VALID_CHART.replace("  gone: {}", "");
    assert_eq!(TestChart::parse(&yaml).unwrap_err(), ChartError::MissingState("Gone".to_owned()));
}

#[test]
fn a_shadowed_transition_is_refused() {
    let yaml =
        VALID_CHART.replace("heard: [{ to: alive }]", "heard: [{ to: alive }, { to: gone }]");
    assert!(matches!(TestChart::parse(&yaml), Err(ChartError::Shadowed { .. })));
}
