//! Evidence on versions that the dispatcher reports: ends of answers and their paces.

mod fleet;

use std::time::Duration;

use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::Notification;
use foxtailhoist_route::in_flight::AttemptOutcome;
use rstest::rstest;

use fleet::Harness;
use fleet::good_head;
use fleet::harness;
use fleet::millis;
use fleet::registration;

/// Reported evidence of a stream whose events are `gap` apart.
fn stream(harness: &mut Harness, gap: Duration, outcome: AttemptOutcome) -> Vec<Notification> {
    let mut req = harness.admitted("/chat/1");
    let attempt = harness.send(&mut req);
    harness.advance(gap);
    harness.head(&mut req, &attempt, good_head());
    for _ in 0..10 {
        harness.advance(gap);
        harness.dispatcher.event_received(&mut req, &attempt, Some(gap), harness.now);
    }
    harness.advance(gap);
    harness.end(&mut req, &attempt, outcome);
    harness.dispatcher.take_notifications()
}

// A whole but slow answer, or one that the caller gave up, was reported like a fast one or not at all (issue 18).
#[rstest]
#[case::whole(AttemptOutcome::Whole)]
#[case::caller_left(AttemptOutcome::Cancelled)]
fn a_slow_stream_is_reported_otherwise_than_a_fast_one(#[case] outcome: AttemptOutcome) {
    let fast = stream(&mut harness(), millis(20), outcome);
    let slow = stream(&mut harness(), millis(160), outcome);
    assert_ne!(fast, slow);
}

// An attempt that was abandoned before its answer said nothing about its version (issue 18).
#[rstest]
#[case::silent(AttemptOutcome::Silent)]
#[case::caller_left(AttemptOutcome::Cancelled)]
fn an_attempt_without_an_answer_is_reported(#[case] outcome: AttemptOutcome) {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    let attempt = harness.send(&mut req);
    harness.advance(millis(1_500));
    harness.end(&mut req, &attempt, outcome);
    assert_eq!(harness.dispatcher.take_notifications().len(), 1);
}

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

// A server that warms up is slower than its version.
#[test]
fn a_server_that_warms_up_reports_no_pace() {
    let mut harness = harness();
    for id in ["engine-1", "engine-2", "engine-3"] {
        let mut registration = registration(id, "llm", fleet::LOCAL_DC);
        registration.warm_up = Duration::from_secs(5);
        harness.register(registration);
    }
    let reported = stream(&mut harness, millis(20), AttemptOutcome::Whole);
    assert_eq!(reported.len(), 1, "{reported:?}");
}

// The end of an attempt that another one had replaced was timed as if it were that other attempt.
#[test]
fn an_attempt_that_was_replaced_ends_without_a_pace() {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    let first = harness.send(&mut req);
    harness.head(&mut req, &first, good_head());
    harness.advance(millis(1_500));
    let second = harness.send(&mut req);
    harness.advance(millis(50));
    harness.head(&mut req, &second, good_head());
    harness.end(&mut req, &first, AttemptOutcome::Silent);
    assert_eq!(harness.dispatcher.take_notifications(), []);
    for _ in 0..10 {
        harness.advance(millis(20));
        harness.dispatcher.event_received(&mut req, &second, Some(millis(20)), harness.now);
    }
    assert_eq!(harness.dispatcher.take_notifications().len(), 1);
}
