//! Merged metrics of several hosts equal what one host would have counted, within the limits.

mod common;

use std::time::Duration;
use std::time::SystemTime;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_report::CLOCK_SKEW_LIMIT;
use foxtailhoist_report::HOST_LIMITS;
use foxtailhoist_report::Labels;
use foxtailhoist_report::Latencies;
use foxtailhoist_report::Metrics;
use foxtailhoist_report::OTHER;
use foxtailhoist_report::Objectives;
use foxtailhoist_report::Observation;
use foxtailhoist_report::Report;
use foxtailhoist_report::SeriesKey;
use rstest::rstest;

use common::ago;
use common::completed;
use common::labels;
use common::late;
use common::now;
use common::refused;

/// Mixed observations over four days, not in chronological order.
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
fn metrics_round_trip_through_json() {
    let whole = metrics(mix().iter());
    let json = serde_json::to_string(&whole).unwrap();
    let read: Metrics = serde_json::from_str(&json).unwrap();
    assert_eq!(read, whole);
    let objectives = Objectives::default();
    assert_eq!(Report::build(&read, &objectives, now()), Report::build(&whole, &objectives, now()));
}

#[test]
fn old_buckets_are_dropped_and_the_rest_kept_by_the_hour() {
    let mut metrics = Metrics::default();
    for minutes in (0..7 * 24 * 60).rev() {
        metrics.record(ago(minutes), &completed(labels("baker-help"), 100));
    }
    // One to two hours of minute buckets, and 74 to 75 hour buckets.
    assert!(metrics.buckets() <= 2 * 60 + 75, "{} buckets", metrics.buckets());
    let report = Report::build(&metrics, &Objectives::default(), now());
    let counted = report.totals.completed;
    assert!((72 * 60..73 * 60).contains(&counted), "{counted} requests of 3 days");
}

#[test]
fn labels_are_bounded_and_no_request_is_lost() {
    let requests = 4 * HOST_LIMITS.servers as u64;
    let mut metrics = Metrics::default();
    for index in 0..requests {
        let named = |kind: &str| format!("{kind}-{index}");
        let labels = Labels {
            workspace: named("workspace"),
            model_version: Some(ModelVersion::new("levain-small", &named("v"))),
            server: Some(named("engine")),
            data_centre: named("data-centre"),
            preset: named("preset"),
            revision: index,
        };
        metrics.record(now(), &completed(labels, 100));
    }
    let window: Vec<_> = metrics.window(now(), Duration::from_secs(60)).collect();
    let mut names = std::collections::BTreeMap::new();
    let mut counted = std::collections::BTreeMap::new();
    for (key, counters) in window.iter().flat_map(|timed| timed.series.iter()) {
        let dimension = match key {
            SeriesKey::Workspace(_) => "workspaces",
            SeriesKey::Version(_) => "versions",
            SeriesKey::Server(_) => "servers",
            SeriesKey::DataCentre(_) => "data_centres",
            SeriesKey::Preset(_) => "presets",
        };
        *names.entry(dimension).or_insert(0) += 1;
        *counted.entry(dimension).or_insert(0) += counters.completed;
    }
    // One more than each limit: the name that stands for all others.
    let limits = [
        ("data_centres", HOST_LIMITS.data_centres + 1),
        ("presets", HOST_LIMITS.presets + 1),
        ("servers", HOST_LIMITS.servers + 1),
        ("versions", HOST_LIMITS.versions + 1),
        ("workspaces", HOST_LIMITS.workspaces + 1),
    ];
    assert_eq!(names.into_iter().collect::<Vec<_>>(), limits);
    assert!(counted.values().all(|count| *count == requests), "{counted:?}");
    let report = Report::build(&metrics, &Objectives::default(), now());
    assert_eq!(report.totals.completed, requests);
    assert!(report.workspaces.iter().any(|workspace| workspace.workspace == OTHER));
}

#[test]
fn fleet_limits_keep_every_name_that_the_hosts_counted() {
    let mut fleet = Metrics::for_fleet();
    let hosts = 4;
    for host in 0..hosts {
        let mut metrics = Metrics::default();
        for index in 0..HOST_LIMITS.servers {
            let server = Some(format!("engine-{host}-{index}"));
            let labels = Labels { server, ..labels("baker-help") };
            metrics.record(now(), &completed(labels, 100));
        }
        fleet.merge(&metrics, now());
    }
    let servers = fleet
        .window(now(), Duration::from_secs(60))
        .flat_map(|timed| timed.series.iter())
        .filter(|(key, _)| matches!(key, SeriesKey::Server(_)))
        .count();
    assert_eq!(servers, hosts * HOST_LIMITS.servers);
}

#[test]
fn a_host_whose_clock_is_ahead_does_not_evict_other_hosts_metrics() {
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
    // Bytes 24 to 31 encode the upper bound.
    bytes[24] = 0x10;
    let json = serde_json::to_string(&bytes).unwrap();
    assert!(serde_json::from_str::<Latencies>(&json).is_err());
}
