//! Routes, keys, services and versions of a request at its arrival.

mod fleet;

use std::sync::Arc;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_route::dispatch::Dispatcher;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::Arrival;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::routes::Repeatability;
use foxtailhoist_route::routes::Target;
use foxtailhoist_route::version_rule::VersionRule;
use rstest::rstest;

use fleet::OWN;
use fleet::bed;
use fleet::config;
use fleet::listing;
use fleet::route;
use fleet::routes;
use fleet::table;

#[test]
fn a_host_without_a_configuration_promises_that_nothing_ran() {
    let mut dispatcher = Dispatcher::new(config());
    let refusal = dispatcher.admit(Arrival::default(), std::time::Instant::now());
    assert_eq!(refusal.expect_err("no routes").kind, ErrorKind::ConfigurationStale);
}

#[rstest]
#[case::unknown_path("site.example", "/nothing/1", Some("key-1"), ErrorKind::NotFound)]
#[case::unknown_host("else.example", "/look/1", Some("key-1"), ErrorKind::NotFound)]
#[case::no_key("site.example", "/look/1", None, ErrorKind::Unauthenticated)]
#[case::unknown_key("site.example", "/look/1", Some("key-2"), ErrorKind::Unauthenticated)]
fn requests_that_are_not_allowed_are_refused(
    #[case] host: &str,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] kind: ErrorKind,
) {
    let mut bed = bed();
    let mut arrival = bed.arrival(path);
    arrival.host = host.to_owned();
    arrival.key = key.map(str::to_owned);
    assert_eq!(bed.admit(arrival).expect_err("refused").kind, kind);
}

#[test]
fn the_longest_prefix_wins() {
    let mut bed = bed();
    let mut longer = route("/look/deep/", "llm", Repeatability::Idempotent);
    longer.id = "deep".to_owned();
    let mut all = routes();
    all.push(longer);
    assert!(bed.dispatcher.configure(Arc::new(table(2, all))));
    assert_eq!(bed.flight("/look/deep/1?x=/look/").route.id, "deep");
    assert_eq!(bed.flight("/look/1?x=/look/deep/").route.id, "look");
    let mut arrival = bed.arrival("/look/1");
    arrival.host = "SITE.example:8080".to_owned();
    assert_eq!(bed.admit(arrival).expect("admitted").route.id, "look");
}

#[test]
fn an_older_configuration_never_comes_back() {
    let mut bed = bed();
    assert!(bed.dispatcher.configure(Arc::new(table(7, routes()))));
    assert!(!bed.dispatcher.configure(Arc::new(table(6, Vec::new()))));
    assert_eq!(bed.flight("/look/1").table_version, 7);
}

#[test]
fn a_split_route_keeps_to_its_weights() {
    let mut bed = bed();
    let mut split = route("/look/", "desk", Repeatability::Idempotent);
    split.targets = vec![
        Target { service: "desk".to_owned(), weight: 90 },
        Target { service: "llm".to_owned(), weight: 10 },
    ];
    assert!(bed.dispatcher.configure(Arc::new(table(2, vec![split]))));
    let flights = (0..2_000).filter(|_| bed.flight("/look/1").service == "llm").count();
    assert!((140..=260).contains(&flights), "{flights} of 2000 for a tenth");
}

#[test]
fn a_shift_moves_each_session_once_and_alike_on_all_hosts() {
    let mut hosts = [shifting_bed(), shifting_bed()];
    let sessions = 0..400;
    let trial = VersionRule::Shift { target: "v2".to_owned(), share: 0.1, is_trial: true };
    let mut before = rule(&mut hosts, trial, sessions.clone());
    assert!(before.iter().all(|version| version == "v1"), "the trial moved a session");
    for share in [0.05, 0.2, 0.5, 1.0] {
        let shift = VersionRule::Shift { target: "v2".to_owned(), share, is_trial: false };
        let after = rule(&mut hosts, shift, sessions.clone());
        let moved_back = before.iter().zip(&after).filter(|(b, a)| *b == "v2" && *a == "v1");
        assert_eq!(moved_back.count(), 0, "sessions moved back at {share}");
        let on_new = after.iter().filter(|version| *version == "v2").count() as f64 / 400.0;
        assert!((on_new - share).abs() < 0.06, "{on_new} instead of {share}");
        before = after;
    }
    // A withdrawn version gets nothing.
    let after = rule(&mut hosts, VersionRule::Except("v2".to_owned()), sessions);
    assert!(after.iter().all(|version| version == "v1"));
}

#[test]
fn a_trial_takes_its_share_of_requests_without_a_session() {
    let mut bed = shifting_bed();
    let trial = VersionRule::Shift { target: "v2".to_owned(), share: 0.1, is_trial: true };
    bed.dispatcher.set_version_rule("llm".to_owned(), trial);
    let on_new = (0..1_000).filter(|_| run(&mut bed, None) == "v2").count();
    assert!((60..=140).contains(&on_new), "{on_new} of 1000 for a tenth");
}

#[test]
fn a_stream_from_before_a_shift_goes_on_at_its_own_version() {
    let mut bed = bed();
    let mut flight = bed.flight("/chat/1");
    let first = bed.send(&mut flight);
    bed.head(&mut flight, &first, fleet::good());
    flight.record_forwarded_event(4);
    // The new version's idle servers appear while the stream runs, and its server breaks.
    for id in ["new-1", "new-2"] {
        let mut new = listing(id, "llm", OWN);
        new.version = "v2".to_owned();
        bed.list(new);
    }
    let trial = VersionRule::Shift { target: "v2".to_owned(), share: 0.06, is_trial: false };
    bed.dispatcher.set_version_rule("llm".to_owned(), VersionRule::Except("v2".to_owned()));
    bed.end(&mut flight, &first, AttemptOutcome::Broken);
    let second = bed.send(&mut flight);
    assert_eq!(second.version, "v1");
    bed.dispatcher.set_version_rule("llm".to_owned(), trial);
    bed.end(&mut flight, &second, AttemptOutcome::Broken);
    // Once the shift is done the old servers are gone, and the stream goes on at the new version.
    for id in ["engine-1", "engine-2", "engine-3"] {
        bed.dispatcher.backends_mut().deregister(id);
    }
    bed.dispatcher.set_version_rule("llm".to_owned(), VersionRule::Only("v2".to_owned()));
    assert_eq!(bed.send(&mut flight).version, "v2");
}

#[test]
fn a_withdrawn_version_gets_nothing_even_where_it_is_all_there_is() {
    let mut bed = shifting_bed();
    for id in ["engine-1", "engine-2", "engine-3"] {
        bed.dispatcher.backends_mut().deregister(id);
    }
    bed.dispatcher.set_version_rule("llm".to_owned(), VersionRule::Except("v2".to_owned()));
    let mut flight = bed.flight("/chat/1");
    assert!(!matches!(bed.next(&mut flight), Step::Send(_)));
}

fn shifting_bed() -> fleet::Bed {
    let mut bed = bed();
    for id in ["new-1", "new-2"] {
        let mut new = listing(id, "llm", OWN);
        new.version = "v2".to_owned();
        bed.list(new);
    }
    bed
}

/// Versions of the sessions under a rule, on whichever host they come.
fn rule(
    hosts: &mut [fleet::Bed; 2],
    rule: VersionRule,
    sessions: std::ops::Range<u64>,
) -> Vec<String> {
    for host in hosts.iter_mut() {
        host.dispatcher.set_version_rule("llm".to_owned(), rule.clone());
    }
    let versions = sessions.map(|session| {
        let on_first = run(&mut hosts[0], Some(session));
        assert_eq!(on_first, run(&mut hosts[1], Some(session)));
        on_first
    });
    versions.collect()
}

fn run(bed: &mut fleet::Bed, session: Option<u64>) -> String {
    let mut arrival = bed.arrival("/chat/1");
    arrival.session = session;
    let mut flight = bed.admit(arrival).expect("admitted");
    let attempt = bed.send(&mut flight);
    bed.head(&mut flight, &attempt, fleet::good());
    bed.end(&mut flight, &attempt, AttemptOutcome::Whole);
    attempt.version
}
