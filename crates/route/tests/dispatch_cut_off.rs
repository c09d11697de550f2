//! Load test: requests for a service with no reachable server, as in a partitioned data centre.

mod fleet;

use std::time::Duration;

use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::in_flight::InFlightRequest;
use rstest::rstest;

use fleet::Harness;
use fleet::good_head;
use fleet::harness;
use fleet::millis;

/// Time until a connection attempt is refused.
const REFUSAL_DELAY: Duration = Duration::from_millis(5);

/// Runs a request while no server is reachable; returns the number of connection attempts and the refusal.
fn run_unreachable(harness: &mut Harness, req: &mut InFlightRequest) -> (usize, Refusal) {
    let mut tried = 0;
    loop {
        match harness.next_step(req) {
            Step::Send(attempt) => {
                tried += 1;
                harness.advance(REFUSAL_DELAY);
                harness.end(req, &attempt, AttemptOutcome::Unreachable);
            }
            Step::WaitUntil(until) => {
                assert!(until > harness.now);
                harness.now = until;
            }
            Step::Refuse(refusal) => return (tried, refusal),
        }
    }
}

#[rstest]
#[case::idempotent("/look/1")]
#[case::at_most_once("/renew/1")]
#[case::stream("/chat/1")]
fn a_request_without_a_reachable_server_is_refused_soon(#[case] path: &str) {
    let mut harness = harness();
    let mut req = harness.admitted(path);
    let started = harness.now;
    let (tried, refusal) = run_unreachable(&mut harness, &mut req);
    assert_eq!(refusal.ran, Ran::NotRun);
    assert!(refusal.retry_after.is_some());
    let target = req.route.latency_target.expect("a target");
    // An eighth of the target, plus the time to try each server once.
    assert!(
        harness.now - started <= target / 8 + 3 * REFUSAL_DELAY,
        "held for {:?}",
        harness.now - started
    );
    assert!(tried <= 12, "tried {tried} times");
}

#[test]
fn unreachable_servers_are_not_retried_at_once() {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    let attempt = harness.send(&mut req);
    assert_eq!(harness.head(&mut req, &attempt, good_head()), HeadVerdict::Deliver);
    harness.end(&mut req, &attempt, AttemptOutcome::Broken);
    let started = harness.now;
    let (tried, _) = run_unreachable(&mut harness, &mut req);
    // A started stream waits longer, and tries one server every 40 ms after the first round.
    let waited = harness.now - started;
    assert!(waited >= millis(1_000), "refused after {waited:?}");
    assert!(tried <= 3 + (waited.as_millis() / 40) as usize, "tried {tried} times in {waited:?}");
}

#[test]
fn a_server_that_is_reachable_again_is_used() {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    for _ in 0..3 {
        let Step::Send(attempt) = harness.next_step(&mut req) else {
            panic!("not all servers were tried")
        };
        harness.end(&mut req, &attempt, AttemptOutcome::Unreachable);
    }
    let Step::WaitUntil(until) = harness.next_step(&mut req) else { panic!("no wait") };
    harness.now = until;
    harness.send(&mut req);
}
