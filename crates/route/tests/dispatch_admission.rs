//! Admission of requests: routes, keys, services and versions.

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

use fleet::LOCAL_DC;
use fleet::config;
use fleet::harness;
use fleet::registration;
use fleet::route;
use fleet::routes;
use fleet::table;

#[test]
fn a_host_without_a_configuration_refuses_as_not_run() {
    let mut dispatcher = Dispatcher::new(config());
    let refusal = dispatcher.admit(Arrival::default(), std::time::Instant::now());
    assert_eq!(refusal.expect_err("no routes").kind, ErrorKind::ConfigurationStale);
}

#[rstest]
#[case::unknown_path("site.example", "/nothing/1", Some("key-1"), ErrorKind::NotFound)]
#[case::unknown_host("else.example", "/look/1", Some("key-1"), ErrorKind::NotFound)]
#[case::no_key("site.example", "/look/1", None, ErrorKind::Unauthenticated)]
#[case::unknown_key("site.example", "/look/1", Some("key-2"), ErrorKind::Unauthenticated)]
fn requests_without_a_route_or_a_valid_key_are_refused(
    #[case] host: &str,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] kind: ErrorKind,
) {
    let mut harness = harness();
    let mut arrival = harness.arrival(path);
    arrival.host = host.to_owned();
    arrival.key = key.map(str::to_owned);
    assert_eq!(harness.admit(arrival).expect_err("refused").kind, kind);
}

#[test]
fn the_longest_prefix_wins() {
    let mut harness = harness();
    let mut longer = route("/look/deep/", "llm", Repeatability::Idempotent);
    longer.id = "deep".to_owned();
    let mut all = routes();
    all.push(longer);
    assert!(harness.dispatcher.configure(Arc::new(table(2, all))));
    assert_eq!(harness.admitted("/look/deep/1?x=/look/").route.id, "deep");
    assert_eq!(harness.admitted("/look/1?x=/look/deep/").route.id, "look");
    let mut arrival = harness.arrival("/look/1");
    arrival.host = "SITE.example:8080".to_owned();
    assert_eq!(harness.admit(arrival).expect("admitted").route.id, "look");
}

#[test]
fn an_older_configuration_is_not_applied() {
    let mut harness = harness();
    assert!(harness.dispatcher.configure(Arc::new(table(7, routes()))));
    assert!(!harness.dispatcher.configure(Arc::new(table(6, Vec::new()))));
    assert_eq!(harness.admitted("/look/1").table_version, 7);
}

#[test]
fn a_split_route_distributes_requests_by_weight() {
    let mut harness = harness();
    let mut split = route("/look/", "desk", Repeatability::Idempotent);
    split.targets = vec![
        Target { service: "desk".to_owned(), weight: 90 },
        Target { service: "llm".to_owned(), weight: 10 },
    ];
    assert!(harness.dispatcher.configure(Arc::new(table(2, vec![split]))));
    let on_llm = (0..2_000).filter(|_| harness.admitted("/look/1").service == "llm").count();
    assert!((140..=260).contains(&on_llm), "{on_llm} of 2000 requests instead of a tenth");
}

#[test]
fn a_shift_moves_each_session_once_and_identically_on_all_hosts() {
    let mut hosts = [harness_with_new_version(), harness_with_new_version()];
    let sessions = 0..400;
    let trial = VersionRule::Shift { target: "v2".to_owned(), share: 0.1, is_trial: true };
    let mut before = versions_under_rule(&mut hosts, trial, sessions.clone());
    assert!(before.iter().all(|version| version == "v1"), "the trial moved a session");
    for share in [0.05, 0.2, 0.5, 1.0] {
        let shift = VersionRule::Shift { target: "v2".to_owned(), share, is_trial: false };
        let after = versions_under_rule(&mut hosts, shift, sessions.clone());
        let moved_back = before.iter().zip(&after).filter(|(b, a)| *b == "v2" && *a == "v1");
        assert_eq!(moved_back.count(), 0, "sessions moved back at {share}");
        let on_new = after.iter().filter(|version| *version == "v2").count() as f64 / 400.0;
        assert!((on_new - share).abs() < 0.06, "{on_new} instead of {share}");
        before = after;
    }
    // A withdrawn version gets no requests.
    let after = versions_under_rule(&mut hosts, VersionRule::Except("v2".to_owned()), sessions);
    assert!(after.iter().all(|version| version == "v1"));
}

#[test]
fn a_trial_takes_its_share_of_requests_without_a_session() {
    let mut harness = harness_with_new_version();
    let trial = VersionRule::Shift { target: "v2".to_owned(), share: 0.1, is_trial: true };
    harness.dispatcher.set_version_rule("llm".to_owned(), trial);
    let on_new = (0..1_000).filter(|_| run_session(&mut harness, None) == "v2").count();
    assert!((60..=140).contains(&on_new), "{on_new} of 1000 requests instead of a tenth");
}

#[test]
fn a_stream_started_before_a_shift_resumes_on_its_version() {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    let first = harness.send(&mut req);
    harness.head(&mut req, &first, fleet::good_head());
    req.record_forwarded_event(4);
    // Idle servers of the new version are registered while the stream runs, and then its server fails.
    for id in ["new-1", "new-2"] {
        let mut new = registration(id, "llm", LOCAL_DC);
        new.version = "v2".to_owned();
        harness.register(new);
    }
    let trial = VersionRule::Shift { target: "v2".to_owned(), share: 0.06, is_trial: false };
    harness.dispatcher.set_version_rule("llm".to_owned(), VersionRule::Except("v2".to_owned()));
    harness.end(&mut req, &first, AttemptOutcome::Broken);
    let second = harness.send(&mut req);
    assert_eq!(second.version, "v1");
    harness.dispatcher.set_version_rule("llm".to_owned(), trial);
    harness.end(&mut req, &second, AttemptOutcome::Broken);
    // After the shift the old servers are removed, and the stream resumes on the new version.
    for id in ["engine-1", "engine-2", "engine-3"] {
        harness.dispatcher.backends_mut().deregister(id);
    }
    harness.dispatcher.set_version_rule("llm".to_owned(), VersionRule::Only("v2".to_owned()));
    assert_eq!(harness.send(&mut req).version, "v2");
}

#[test]
fn a_withdrawn_version_gets_no_requests_even_if_no_other_has_servers() {
    let mut harness = harness_with_new_version();
    for id in ["engine-1", "engine-2", "engine-3"] {
        harness.dispatcher.backends_mut().deregister(id);
    }
    harness.dispatcher.set_version_rule("llm".to_owned(), VersionRule::Except("v2".to_owned()));
    let mut req = harness.admitted("/chat/1");
    assert!(!matches!(harness.next_step(&mut req), Step::Send(_)));
}

fn harness_with_new_version() -> fleet::Harness {
    let mut harness = harness();
    for id in ["new-1", "new-2"] {
        let mut new = registration(id, "llm", LOCAL_DC);
        new.version = "v2".to_owned();
        harness.register(new);
    }
    harness
}

/// Versions that the sessions run on under a rule; asserts that both hosts agree.
fn versions_under_rule(
    hosts: &mut [fleet::Harness; 2],
    rule: VersionRule,
    sessions: std::ops::Range<u64>,
) -> Vec<String> {
    for host in hosts.iter_mut() {
        host.dispatcher.set_version_rule("llm".to_owned(), rule.clone());
    }
    let versions = sessions.map(|session| {
        let on_first = run_session(&mut hosts[0], Some(session));
        assert_eq!(on_first, run_session(&mut hosts[1], Some(session)));
        on_first
    });
    versions.collect()
}

fn run_session(harness: &mut fleet::Harness, session: Option<u64>) -> String {
    let mut arrival = harness.arrival("/chat/1");
    arrival.session = session;
    let mut req = harness.admit(arrival).expect("admitted");
    let attempt = harness.send(&mut req);
    harness.head(&mut req, &attempt, fleet::good_head());
    harness.end(&mut req, &attempt, AttemptOutcome::Whole);
    attempt.version
}
