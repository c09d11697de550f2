//! Metrics of several hosts merge into what one host would have counted, within bounds.

mod common;

use std::time::Duration;
use std::time::SystemTime;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_report::CLOCK_SKEW_LIMIT;
use foxtailhoist_report::FOLDED_SERIES_LIMIT;
use foxtailhoist_report::Labels;
use foxtailhoist_report::Latencies;
use foxtailhoist_report::Metrics;
use foxtailhoist_report::Objectives;
use foxtailhoist_report::Observation;
use foxtailhoist_report::Report;
use rstest::rstest;

use common::ago;
use common::completed;
use common::labels;
use common::late;
use common::now;
use common::refused;

/// A mix over four days, in an order that is not that of time.
fn mix() -> Vec<(SystemTime, Observation)> {
    let mut mix = Vec::new();
    for index in 0..3_000_u64 {
        let minutes = index * 7_919 % (4 * 24 * 60);
        let mut labels = labels(&format!("workspace-{}", index % 5));
        labels.server = Some(format!("engine-{}", index % 12));
        labels.revision = index / 100;
        let observation = match index % 7 {
            0 => late(labels),
            1 => refused(labels, ErrorKind::Overloaded),
            2 => refused(labels, ErrorKind::StreamBroken),
            3 => Observation::Rated { labels, acceptable: index % 3 > 0 },
            _ => completed(labels, 50 + index % 1_500),
        };
        mix.push((ago(minutes), observation));
    }
    mix
}

fn metrics<'a>(observations: impl Iterator<Item = &'a (SystemTime, Observation)>) -> Metrics {
    let mut metrics = Metrics::default();
    for (at, observation) in observations {
        metrics.record(*at, observation);
    }
    metrics
}

#[test]
fn merging_is_exact_whatever_the_order() {
    let mix = mix();
    let whole = metrics(mix.iter());
    let hosts = [0, 1, 2].map(|host| metrics(mix.iter().skip(host).step_by(3)));
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut merged = Metrics::default();
        order.iter().for_each(|host| merged.merge(&hosts[*host], now()));
        assert_eq!(merged, whole);
    }
    let mut pair = hosts[0].clone();
    pair.merge(&hosts[1], now());
    pair.merge(&hosts[2], now());
    assert_eq!(pair, whole);
}

#[test]
fn metrics_survive_the_wire() {
    let whole = metrics(mix().iter());
    let json = serde_json::to_string(&whole).unwrap();
    let read: Metrics = serde_json::from_str(&json).unwrap();
    assert_eq!(read, whole);
    let objectives = Objectives::default();
    assert_eq!(Report::build(&read, &objectives, now()), Report::build(&whole, &objectives, now()));
}

#[test]
fn old_time_is_dropped_and_the_rest_kept_by_the_hour() {
    let mut metrics = Metrics::default();
    for minutes in (0..7 * 24 * 60).rev() {
        metrics.record(ago(minutes), &completed(labels("baker-help"), 100));
    }
    // Two to three hours by the minute, the rest of 74 hours by the hour.
    assert!(metrics.len() <= 3 * 60 + 75, "{} buckets", metrics.len());
    let report = Report::build(&metrics, &Objectives::default(), now());
    let counted = report.totals.completed;
    assert!((72 * 60..73 * 60).contains(&counted), "{counted} requests of 3 days");
}

#[test]
fn labels_are_bounded_and_no_request_is_lost() {
    let mut metrics = Metrics::default();
    let requests = 4 * FOLDED_SERIES_LIMIT as u64;
    for index in 0..requests {
        let server = Some(format!("engine-{index}"));
        let labels = Labels { server, ..labels(&format!("workspace-{index}")) };
        metrics.record(now(), &completed(labels, 100));
    }
    let report = Report::build(&metrics, &Objectives::default(), now());
    assert_eq!(report.totals.completed, requests);
    assert_eq!(report.workspaces.len(), FOLDED_SERIES_LIMIT + 1);
}

#[test]
fn a_host_whose_clock_is_ahead_does_not_push_out_the_others() {
    let mut ours = Metrics::default();
    ours.record(ago(60), &completed(labels("baker-help"), 100));
    let mut theirs = Metrics::default();
    let ahead = now() + CLOCK_SKEW_LIMIT + Duration::from_secs(120);
    theirs.record(ahead, &completed(labels("baker-help"), 100));
    theirs.record(ahead + Duration::from_secs(365 * 24 * 3_600), &late(labels("baker-help")));
    ours.merge(&theirs, now());
    let report = Report::build(&ours, &Objectives::default(), now());
    assert_eq!((report.totals.completed, report.totals.late), (1, 0));
    assert!(report.skipped_buckets > 0);
    assert!(report.to_text().contains("check those clocks"));
}

#[test]
fn exposure_ends_with_the_veto_and_sums_over_hosts() {
    let model_version = ModelVersion::new("levain-small", "v2");
    let exposed = |callers| Observation::Exposed { model_version: model_version.clone(), callers };
    let vetoed = Observation::Vetoed { model_version: model_version.clone() };
    let mut one = Metrics::default();
    for (minutes, observation) in [(30, exposed(3)), (20, exposed(5)), (10, vetoed.clone())] {
        one.record(ago(minutes), &observation);
    }
    one.record(ago(5), &exposed(9));
    let mut two = Metrics::default();
    two.record(ago(25), &exposed(2));
    two.record(ago(8), &vetoed);
    one.merge(&two, now());
    let exposure = one.exposure()[&model_version];
    assert_eq!(exposure.callers, 7);
    let report = Report::build(&one, &Objectives::default(), now());
    assert_eq!(report.exposure[0].vetoed, Some(report.end - 10));
    assert!(report.to_text().contains("At most 7 callers were exposed to 1 version"));
}

#[rstest]
#[case::not_a_histogram("[1, 2, 3]")]
#[case::empty("[]")]
fn latencies_of_another_format_are_refused(#[case] json: &str) {
    assert!(serde_json::from_str::<Latencies>(json).is_err());
}

#[test]
fn latencies_with_other_bounds_are_refused() {
    let mut latencies = Latencies::default();
    latencies.record(Duration::from_millis(640));
    let mut bytes: Vec<u8> =
        serde_json::from_str(&serde_json::to_string(&latencies).unwrap()).unwrap();
    // The upper bound stands in bytes 24 to 31.
    bytes[24] = 0x10;
    let json = serde_json::to_string(&bytes).unwrap();
    assert!(serde_json::from_str::<Latencies>(&json).is_err());
}
