//! Load: requests for a service none of whose servers can be reached, as in a data centre that is cut off.

mod fleet;

use std::time::Duration;

use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::in_flight::InFlightRequest;
use rstest::rstest;

use fleet::Bed;
use fleet::bed;
use fleet::good;
use fleet::millis;

/// Time after which a connection is refused.
const REFUSAL: Duration = Duration::from_millis(5);

/// Runs a request while no server can be reached; returns how often one was asked, and the refusal.
fn run_cut_off(bed: &mut Bed, flight: &mut InFlightRequest) -> (usize, Refusal) {
    let mut asked = 0;
    loop {
        match bed.next(flight) {
            Step::Send(attempt) => {
                asked += 1;
                bed.pass(REFUSAL);
                bed.end(flight, &attempt, AttemptOutcome::Unreachable);
            }
            Step::WaitUntil(until) => {
                assert!(until > bed.now);
                bed.now = until;
            }
            Step::Refuse(refusal) => return (asked, refusal),
        }
    }
}

#[rstest]
#[case::may_repeat("/look/1")]
#[case::at_most_once("/renew/1")]
#[case::stream("/chat/1")]
fn what_cannot_be_served_is_refused_soon(#[case] path: &str) {
    let mut bed = bed();
    let mut flight = bed.flight(path);
    let begun = bed.now;
    let (asked, refusal) = run_cut_off(&mut bed, &mut flight);
    assert_eq!(refusal.ran, Ran::NotRun);
    assert!(refusal.retry_after.is_some());
    let target = flight.route.latency_target.expect("a target");
    // An eighth of the target, and the time in which each server was asked once.
    assert!(bed.now - begun <= target / 8 + 3 * REFUSAL, "held for {:?}", bed.now - begun);
    assert!(asked <= 12, "asked {asked} times");
}

#[test]
fn servers_that_could_not_be_reached_are_not_asked_again_at_once() {
    let mut bed = bed();
    let mut flight = bed.flight("/chat/1");
    let attempt = bed.send(&mut flight);
    assert_eq!(bed.head(&mut flight, &attempt, good()), HeadVerdict::Deliver);
    bed.end(&mut flight, &attempt, AttemptOutcome::Broken);
    let begun = bed.now;
    let (asked, _) = run_cut_off(&mut bed, &mut flight);
    // A stream that has begun waits for longer, and asks one server every 40 ms after the first round.
    let waited = bed.now - begun;
    assert!(waited >= millis(1_000), "given up after {waited:?}");
    assert!(asked <= 3 + (waited.as_millis() / 40) as usize, "asked {asked} times in {waited:?}");
}

#[test]
fn a_server_that_can_be_reached_again_is_used() {
    let mut bed = bed();
    let mut flight = bed.flight("/chat/1");
    for _ in 0..3 {
        let Step::Send(attempt) = bed.next(&mut flight) else { panic!("not all were asked") };
        bed.end(&mut flight, &attempt, AttemptOutcome::Unreachable);
    }
    let Step::WaitUntil(until) = bed.next(&mut flight) else { panic!("no wait") };
    bed.now = until;
    bed.send(&mut flight);
}
