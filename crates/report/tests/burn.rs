//! Burn rates, error budgets and alarms for known data.

mod common;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Usage;
use foxtailhoist_report::Alarm;
use foxtailhoist_report::Dimension;
use foxtailhoist_report::Events;
use foxtailhoist_report::Labels;
use foxtailhoist_report::Metrics;
use foxtailhoist_report::Objective;
use foxtailhoist_report::ObjectiveReport;
use foxtailhoist_report::Objectives;
use foxtailhoist_report::Observation;
use foxtailhoist_report::Report;
use foxtailhoist_report::budget_left;
use foxtailhoist_report::burn_rate;
use foxtailhoist_report::cost_of;
use rstest::rstest;

use common::ago;
use common::completed;
use common::labels;
use common::late;
use common::now;
use common::refused;

fn objective(report: &Report, objective: Objective) -> &ObjectiveReport {
    let workspace = &report.workspaces[0];
    workspace.objectives.iter().find(|found| found.objective == objective).unwrap()
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

#[rstest]
#[case::nothing(0, 0, 0.0)]
#[case::all_good(0, 1_000, 0.0)]
#[case::just_used_up(10, 1_000, 1.0)]
#[case::tenfold(100, 1_000, 10.0)]
#[case::all_bad(1_000, 1_000, 100.0)]
fn a_burn_rate_is_the_bad_share_over_the_allowed_share(
    #[case] bad: u64,
    #[case] total: u64,
    #[case] rate: f64,
) {
    let events = Events { total, bad };
    assert!(close(burn_rate(events, 0.99), rate));
    assert!(close(budget_left(events, 0.99), 1.0 - rate));
}

/// Report on ten requests a minute, of which those of the last `bad_minutes` are late.
fn with_late_minutes(bad_minutes: u64, total_minutes: u64) -> Report {
    let mut metrics = Metrics::default();
    for minutes in (0..total_minutes).rev() {
        for _ in 0..10 {
            let observation = if minutes < bad_minutes {
                late(labels("baker-help"))
            } else {
                completed(labels("baker-help"), 100)
            };
            metrics.record(ago(minutes), &observation);
        }
    }
    Report::build(&metrics, &Objectives::default(), now())
}

// With a target of 99%, each 1% of bad events in a window is a burn rate of 1.
#[rstest]
#[case::fast_burn(10, 60, [100.0, 100.0 / 6.0], Alarm::Page)]
#[case::short_window_only(3, 60, [60.0, 5.0], Alarm::None)]
#[case::all_good(0, 60, [0.0, 0.0], Alarm::None)]
fn an_alarm_needs_both_windows(
    #[case] bad_minutes: u64,
    #[case] total_minutes: u64,
    #[case] rates: [f64; 2],
    #[case] alarm: Alarm,
) {
    let report = with_late_minutes(bad_minutes, total_minutes);
    let found = objective(&report, Objective::InTime);
    let first = found.burns[0];
    assert_eq!((first.short_minutes, first.long_minutes), (5, 60));
    assert!(close(first.short_rate, rates[0]) && close(first.long_rate, rates[1]), "{first:?}");
    assert_eq!(first.alarm, alarm);
}

#[test]
fn a_burn_that_has_ended_raises_no_page() {
    let mut metrics = Metrics::default();
    for minutes in (0..60).rev() {
        for _ in 0..10 {
            let observation = if minutes >= 40 {
                late(labels("baker-help"))
            } else {
                completed(labels("baker-help"), 100)
            };
            metrics.record(ago(minutes), &observation);
        }
    }
    let report = Report::build(&metrics, &Objectives::default(), now());
    let found = objective(&report, Objective::InTime);
    assert!(found.burns[0].long_rate > found.burns[0].threshold);
    assert_eq!(found.burns[0].alarm, Alarm::None);
    // The windows of six hours and three days both contain the whole burn, which raises a ticket.
    assert_eq!(found.alarm, Alarm::Ticket);
    assert!(found.budget_left < 0.0);
}

#[test]
fn few_bad_events_raise_no_alarm() {
    let mut metrics = Metrics::default();
    metrics.record(ago(1), &late(labels("baker-help")));
    metrics.record(ago(2), &completed(labels("baker-help"), 100));
    let report = Report::build(&metrics, &Objectives::default(), now());
    assert!(report.alarms().is_empty());
}

#[test]
fn no_request_burns_two_budgets_and_callers_faults_burn_none() {
    let mut metrics = Metrics::default();
    for kind in [ErrorKind::Overloaded, ErrorKind::StreamBroken, ErrorKind::BadRequest] {
        metrics.record(now(), &refused(labels("baker-help"), kind));
    }
    metrics.record(now(), &completed(labels("baker-help"), 641));
    metrics.record(now(), &completed(labels("baker-help"), 640));
    let rated = |acceptable| Observation::Rated { labels: labels("baker-help"), acceptable };
    metrics.record(now(), &rated(true));
    metrics.record(now(), &rated(false));
    let report = Report::build(&metrics, &Objectives::default(), now());
    let events = |wanted| objective(&report, wanted).events;
    assert_eq!(events(Objective::FirstToken), Events { total: 2, bad: 1 });
    assert_eq!(events(Objective::InTime), Events { total: 3, bad: 1 });
    assert_eq!(events(Objective::Accepted), Events { total: 4, bad: 1 });
    assert_eq!(events(Objective::Quality), Events { total: 2, bad: 1 });
    assert_eq!(report.totals.callers_faults, 1);
}

#[test]
fn the_largest_contributors_come_first() {
    let mut metrics = Metrics::default();
    for index in 0..100 {
        let bad = index < 10;
        let labels = Labels {
            server: Some(if bad { "engine-bad" } else { "engine-good" }.to_owned()),
            model_version: Some(ModelVersion::new("levain-mid", if bad { "v2" } else { "v1" })),
            ..labels("baker-help")
        };
        let observation =
            if bad { refused(labels, ErrorKind::BackendFailed) } else { completed(labels, 100) };
        metrics.record(now(), &observation);
    }
    let report = Report::build(&metrics, &Objectives::default(), now());
    let named = |dimension| {
        let of_dimension = |found: &&foxtailhoist_report::Contributor| found.dimension == dimension;
        report.contributors.iter().find(of_dimension).unwrap()
    };
    let server = named(Dimension::Server);
    assert_eq!((server.name.as_str(), server.bad), ("engine-bad", 10));
    assert!(close(server.bad_share, 1.0) && close(server.traffic_share.unwrap(), 0.1));
    assert_eq!(named(Dimension::Version).name, "levain-mid@v2");
    assert_eq!(named(Dimension::ErrorKind).name, "backend_failed");
    assert_eq!(named(Dimension::DataCentre).name, "nashua");
}

#[test]
fn cost_is_a_whole_number_of_nano_money() {
    let usage = Usage { prompt_tokens: 1_500, output_tokens: 200 };
    assert_eq!(cost_of(usage, 0.1, 0.4), 150_000 + 80_000);
}
