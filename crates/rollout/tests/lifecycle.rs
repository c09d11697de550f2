//! The state chart in `charts/version.yaml` is valid, and only an operator returns a withdrawn version to use.

use foxtailhoist_rollout::lifecycle::StageEvent;
use foxtailhoist_rollout::lifecycle::StageName;
use foxtailhoist_rollout::lifecycle::lifecycle_chart;
use rstest::rstest;

#[test]
fn the_compiled_in_chart_is_valid() {
    let chart = lifecycle_chart().expect("the chart is valid");
    assert_eq!(chart.initial(), StageName::Registered);
}

#[rstest]
#[case(StageName::Canary)]
#[case(StageName::Settled)]
fn a_veto_withdraws_from_every_stage_in_use(#[case] stage: StageName) {
    let chart = lifecycle_chart().expect("the chart is valid");
    let step = chart.step(stage, StageEvent::Vetoed, |_| true).expect("a veto has an effect");
    assert_eq!(step.to, StageName::Withdrawing);
}

#[rstest]
#[case(StageName::Withdrawing)]
#[case(StageName::Withdrawn)]
fn a_withdrawn_version_is_not_used_again_without_an_operator(#[case] stage: StageName) {
    let chart = lifecycle_chart().expect("the chart is valid");
    for event in [StageEvent::QuotasMissing, StageEvent::StepPassed, StageEvent::Vetoed] {
        assert!(chart.step(stage, event, |_| true).is_none(), "{event:?} moves {stage:?}");
    }
}
