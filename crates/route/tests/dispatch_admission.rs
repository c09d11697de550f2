//! Routes, keys, services and versions of a request at its arrival.

mod fleet;

use std::sync::Arc;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_route::dispatch::Dispatcher;
use foxtailhoist_route::flight::Arrival;
use foxtailhoist_route::routes::Repeatability;
use foxtailhoist_route::routes::Target;
use foxtailhoist_route::version_rule::VersionRule;
use rstest::rstest;

use fleet::OWN;
use fleet::bed;
use fleet::config;
use fleet::listing;
use fleet::millis;
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
fn a_trial_takes_its_share_of_sessions_and_keeps_them() {
    let mut bed = bed();
    for id in ["new-1", "new-2"] {
        let mut new = listing(id, "llm", OWN);
        new.version = "v2".to_owned();
        bed.list(new);
    }
    let trial = VersionRule::Shift { target: "v2".to_owned(), share: 0.1, is_trial: true };
    bed.dispatcher.set_rule("llm".to_owned(), VersionRule::Except("v2".to_owned()));
    // Sessions that run on the old version before the trial stay there.
    let before: Vec<u64> = (0..300).collect();
    for session in &before {
        assert_eq!(run(&mut bed, *session), "v1");
    }
    bed.dispatcher.set_rule("llm".to_owned(), trial);
    for session in &before {
        assert_eq!(run(&mut bed, *session), "v1");
    }
    let mut on_new = Vec::new();
    for session in 1_000..2_000 {
        if run(&mut bed, session) == "v2" {
            on_new.push(session);
        }
    }
    assert!((60..=140).contains(&on_new.len()), "{} of 1000 for a tenth", on_new.len());
    bed.pass(millis(3_000));
    assert!(on_new.iter().all(|session| run(&mut bed, *session) == "v2"));
    // A growing share moves sessions one way only.
    let whole = VersionRule::Shift { target: "v2".to_owned(), share: 0.5, is_trial: false };
    bed.dispatcher.set_rule("llm".to_owned(), whole);
    assert!(on_new.iter().all(|session| run(&mut bed, *session) == "v2"));
    // A withdrawn version gets nothing.
    bed.dispatcher.set_rule("llm".to_owned(), VersionRule::Except("v2".to_owned()));
    assert!(on_new.iter().all(|session| run(&mut bed, *session) == "v1"));
}

fn run(bed: &mut fleet::Bed, session: u64) -> String {
    let mut arrival = bed.arrival("/chat/1");
    arrival.session = Some(session);
    let mut flight = bed.admit(arrival).expect("admitted");
    let attempt = bed.send(&mut flight);
    bed.head(&mut flight, &attempt, fleet::good());
    bed.end(&mut flight, &attempt, foxtailhoist_route::flight::AttemptOutcome::Whole);
    attempt.version
}
