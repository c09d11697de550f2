//! Evidence on versions that the dispatcher reports: ends of answers and their paces.

mod fleet;

use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::in_flight::AttemptOutcome;

use fleet::good_head;
use fleet::harness;

// A failure that was passed on counted twice (issue 18).
#[test]
fn a_delivered_failure_is_reported_once() {
    let mut harness = harness();
    let mut req = harness.admitted("/renew/1");
    let attempt = harness.send(&mut req);
    let failure = AnswerHead { status: 500, ..good_head() };
    harness.head(&mut req, &attempt, failure);
    harness.end(&mut req, &attempt, AttemptOutcome::Failed);
    assert_eq!(harness.dispatcher.take_notifications().len(), 1);
}
