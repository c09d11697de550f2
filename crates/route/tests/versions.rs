//! Versions that attempts run on during, after and between traffic shifts.

mod fleet;

use std::collections::BTreeSet;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::in_flight::InFlightRequest;
use foxtailhoist_route::version_rule::VersionRule;
use rstest::rstest;

use fleet::Harness;
use fleet::LOCAL_DC;
use fleet::good_head;
use fleet::harness;
use fleet::millis;
use fleet::registration;

// Guards against retries that follow a withdrawn version because their request was admitted on it.
#[test]
fn a_request_in_flight_leaves_a_withdrawn_version() {
    let mut harness = harness();
    register(&mut harness, "new", "v2");
    set_rule(&mut harness, shift("v2", 1.0));
    let mut req = harness.admitted("/chat/1");
    let first = harness.send(&mut req);
    assert_eq!(first.version, "v2");
    req.record_forwarded_event(3);
    set_rule(&mut harness, VersionRule::Except("v2".to_owned()));
    harness.end(&mut req, &first, AttemptOutcome::Broken);
    assert_eq!(harness.send(&mut req).version, "v1");
}

// Guards against retries on old servers that stop without draining once a shift has completed.
#[test]
fn a_request_in_flight_leaves_a_replaced_version() {
    let mut harness = harness();
    register(&mut harness, "new", "v2");
    set_rule(&mut harness, trial("v2"));
    let mut req = session_request(&mut harness, 1);
    let first = harness.send(&mut req);
    assert_eq!(first.version, "v1");
    set_rule(&mut harness, VersionRule::Only("v2".to_owned()));
    harness.end(&mut req, &first, AttemptOutcome::Broken);
    assert_eq!(harness.send(&mut req).version, "v2");
}

// Guards against an order for a third version that brings a withdrawn one back, whose servers are still registered.
#[test]
fn a_later_order_does_not_free_a_withdrawn_version() {
    let mut harness = harness();
    register(&mut harness, "new", "v2");
    set_rule(&mut harness, VersionRule::Except("v2".to_owned()));
    register(&mut harness, "newer", "v3");
    for rule in [shift("v3", 0.3), VersionRule::Except("v3".to_owned())] {
        set_rule(&mut harness, rule);
        let versions = served_versions(&mut harness, 200);
        assert!(!versions.contains(&"v2".to_owned()), "the withdrawn version got requests");
    }
    // A new order for the version itself does.
    set_rule(&mut harness, shift("v2", 1.0));
    assert_eq!(served_versions(&mut harness, 1), ["v2"]);
}

// Guards against a completed shift whose replaced version returns with the next order.
#[test]
fn a_later_order_does_not_free_a_replaced_version() {
    let mut harness = harness();
    register(&mut harness, "new", "v2");
    set_rule(&mut harness, VersionRule::Only("v2".to_owned()));
    register(&mut harness, "newer", "v3");
    set_rule(&mut harness, shift("v3", 0.3));
    let versions = served_versions(&mut harness, 200);
    assert!(!versions.contains(&"v1".to_owned()), "the replaced version got requests");
}

// Guards against requests for a new version's servers that are known before the order to try them.
#[test]
fn a_version_without_an_order_gets_no_requests_beside_one_in_use() {
    let mut harness = harness();
    assert_eq!(served_versions(&mut harness, 1), ["v1"]);
    register(&mut harness, "new", "v2");
    assert!(served_versions(&mut harness, 100).iter().all(|version| version == "v1"));
    set_rule(&mut harness, VersionRule::Except("v2".to_owned()));
    register(&mut harness, "newer", "v3");
    assert!(served_versions(&mut harness, 100).iter().all(|version| version == "v1"));
}

// Guards against a service that is refused because its only version never had an order.
#[test]
fn a_service_whose_only_version_is_new_is_served() {
    let mut harness = harness();
    assert_eq!(served_versions(&mut harness, 1), ["v1"]);
    register(&mut harness, "new", "v2");
    for id in ["engine-1", "engine-2", "engine-3"] {
        harness.dispatcher.backends_mut().deregister(id);
    }
    assert_eq!(served_versions(&mut harness, 1), ["v2"]);
}

// Guards against a version on trial that gets all requests because the servers of the version in use have crashed.
#[rstest]
#[case::requests(trial("v2"))]
#[case::sessions(VersionRule::SessionTrial { target: "v2".to_owned(), share: 0.24 })]
fn a_trial_stays_within_the_exposure_limit_without_servers_of_the_version_in_use(
    #[case] rule: VersionRule,
) {
    let mut harness = harness();
    served_versions(&mut harness, 1);
    register(&mut harness, "new", "v2");
    set_rule(&mut harness, rule);
    for id in ["engine-1", "engine-2", "engine-3"] {
        harness.dispatcher.backends_mut().deregister(id);
    }
    let mut on_new = 0_u32;
    for _ in 0..400 {
        harness.advance(millis(15));
        let mut req = harness.admitted("/chat/1");
        loop {
            match harness.next_step(&mut req) {
                Step::Send(attempt) => {
                    assert_eq!(attempt.version, "v2");
                    on_new += 1;
                    harness.dispatcher.attempt_sent(&mut req, &attempt, harness.now);
                    harness.head(&mut req, &attempt, good_head());
                    harness.end(&mut req, &attempt, AttemptOutcome::Whole);
                    break;
                }
                Step::WaitUntil(at) => harness.now = at,
                Step::Refuse(refusal) => {
                    assert_eq!(refusal.kind, ErrorKind::NoServer);
                    assert!(refusal.retry_after.is_some());
                    break;
                }
            }
        }
    }
    // The limit of 0.12 of the requests and 24 allows these, and each of them counts as a request.
    assert!((24..=27).contains(&on_new), "{on_new} requests of 400");
}

// Guards against a trial that exceeds the exposure limit of 0.15 of the requests and 30 for the whole fleet.
#[test]
fn a_trial_stays_within_the_exposure_limit_whatever_its_share() {
    const HOSTS: usize = 6;
    let mut harness = harness();
    harness.dispatcher.set_host_counts(HOSTS, HOSTS);
    served_versions(&mut harness, 1);
    register(&mut harness, "new", "v2");
    set_rule(&mut harness, VersionRule::SessionTrial { target: "v2".to_owned(), share: 1.0 });
    let mut on_new = 0_u32;
    for number in 1..=1_000_u32 {
        harness.advance(millis(15));
        let mut req = harness.admitted("/chat/1");
        for is_last in [number % 2 == 0, true] {
            let attempt = harness.send(&mut req);
            on_new += u32::from(attempt.version == "v2");
            if is_last {
                harness.end(&mut req, &attempt, AttemptOutcome::Whole);
                break;
            }
            harness.end(&mut req, &attempt, AttemptOutcome::Failed);
        }
        let bound = 0.15 * f64::from(number) + 30.0 / HOSTS as f64;
        assert!(f64::from(on_new) <= bound, "{on_new} attempts of {number} requests");
    }
    assert!(on_new >= 100, "the trial used only {on_new} of about 120 requests");
}

// Guards against restarted hosts that each use the constant part of the exposure limit again.
#[test]
fn a_host_that_starts_during_a_trial_has_no_constant_allowance() {
    let mut harness = harness();
    register(&mut harness, "new", "v2");
    set_rule(&mut harness, VersionRule::SessionTrial { target: "v2".to_owned(), share: 1.0 });
    let versions = served_versions(&mut harness, 20);
    let on_new = versions.iter().filter(|version| *version == "v2").count();
    assert!(on_new <= 3, "{on_new} of 20 requests");
}

// Guards against a trial that is spread so thin that its servers never see their usual load.
#[test]
fn hosts_try_a_version_on_the_same_few_servers() {
    let mut servers = BTreeSet::new();
    for _ in 0..2 {
        let mut harness = harness();
        served_versions(&mut harness, 1_000);
        for number in 0..12 {
            let mut new = registration(&format!("new-{number}"), "llm", LOCAL_DC);
            new.version = "v2".to_owned();
            harness.register(new);
        }
        set_rule(&mut harness, trial("v2"));
        for _ in 0..200 {
            let mut req = harness.admitted("/chat/1");
            let attempt = harness.send(&mut req);
            harness.end(&mut req, &attempt, AttemptOutcome::Whole);
            if attempt.version == "v2" {
                servers.insert(attempt.server);
            }
        }
    }
    assert_eq!(servers.len(), 3, "{servers:?}");
}

// Guards against a trial without a single request at a service whose requests all have sessions.
#[test]
fn sessions_take_part_in_the_second_half_of_a_trial() {
    let mut harness = harness();
    served_versions(&mut harness, 1);
    register(&mut harness, "new", "v2");
    set_rule(&mut harness, trial("v2"));
    let run = |harness: &mut Harness, session: u64| {
        let mut req = session_request(harness, session);
        let attempt = harness.send(&mut req);
        harness.end(&mut req, &attempt, AttemptOutcome::Whole);
        attempt.version
    };
    assert!((0..600).all(|number| run(&mut harness, number % 100) == "v1"));
    set_rule(&mut harness, VersionRule::SessionTrial { target: "v2".to_owned(), share: 0.24 });
    let mut on_new = BTreeSet::new();
    let mut on_old = BTreeSet::new();
    for number in 0..600 {
        let session = number % 100;
        let version = run(&mut harness, session);
        let seen = if version == "v2" { &mut on_new } else { &mut on_old };
        seen.insert(session);
    }
    let moved = on_new.len();
    assert!((10..=30).contains(&moved), "{moved} of 100 sessions on the new version");
    assert!(on_new.is_disjoint(&on_old), "sessions on both versions: {on_new:?}, {on_old:?}");
}

// Guards against callers that wait for the few servers of a trial while those in use have room.
#[test]
fn a_request_runs_on_a_version_in_use_if_the_trial_is_full() {
    let mut harness = harness();
    served_versions(&mut harness, 1);
    register(&mut harness, "new", "v2");
    set_rule(&mut harness, trial("v2"));
    let mut full = 0;
    for _ in 0..100 {
        let mut req = harness.admitted("/chat/1");
        let mut attempt = harness.send(&mut req);
        if attempt.version == "v2" {
            full += 1;
            let outcome = AttemptOutcome::Full { retry_after: millis(1_000) };
            harness.end(&mut req, &attempt, outcome);
            attempt = harness.send(&mut req);
        }
        assert_eq!(attempt.version, "v1");
        harness.end(&mut req, &attempt, AttemptOutcome::Whole);
    }
    assert_eq!(full, 3);
}

fn shift(target: &str, share: f64) -> VersionRule {
    VersionRule::Shift { target: target.to_owned(), share, is_trial: false }
}

fn trial(target: &str) -> VersionRule {
    VersionRule::Shift { target: target.to_owned(), share: 0.24, is_trial: true }
}

fn set_rule(harness: &mut Harness, rule: VersionRule) {
    harness.dispatcher.set_version_rule("llm".to_owned(), rule);
}

fn register(harness: &mut Harness, prefix: &str, version: &str) {
    for number in 1..=3 {
        let mut new = registration(&format!("{prefix}-{number}"), "llm", LOCAL_DC);
        new.version = version.to_owned();
        harness.register(new);
    }
}

fn session_request(harness: &mut Harness, session: u64) -> InFlightRequest {
    let mut arrival = harness.arrival("/chat/1");
    arrival.session = Some(session);
    harness.admit(arrival).expect("admitted")
}

/// Versions on which requests without a session ran.
fn served_versions(harness: &mut Harness, count: usize) -> Vec<String> {
    let run = |_| {
        let mut req = harness.admitted("/chat/1");
        let attempt = harness.send(&mut req);
        harness.end(&mut req, &attempt, AttemptOutcome::Whole);
        attempt.version
    };
    (0..count).map(run).collect()
}
