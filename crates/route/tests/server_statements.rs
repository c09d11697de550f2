//! Servers that state in an answer that they leave, or for how long they want no request.

mod fleet;

use std::time::Duration;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use foxtailhoist_route::backends::Registration;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Notification;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::AttemptOutcome;
use rstest::rstest;

use fleet::Harness;
use fleet::LOCAL_DC;
use fleet::harness;
use fleet::millis;
use fleet::registration;

fn full(retry_after: Option<Duration>) -> AnswerHead {
    AnswerHead { status: 503, not_run: true, retry_after, ..AnswerHead::default() }
}

/// Sends a request that the chosen server rejects; returns the server.
fn reject(harness: &mut Harness, path: &str, retry_after: Option<Duration>) -> String {
    let mut req = harness.admitted(path);
    let attempt = harness.send(&mut req);
    let HeadVerdict::Drop(outcome) = harness.head(&mut req, &attempt, full(retry_after)) else {
        panic!("delivered");
    };
    harness.end(&mut req, &attempt, outcome);
    attempt.server
}

/// BUDGET: a rejection without a time, of a request sent before the pause, made an earlier pause end sooner.
#[test]
fn a_later_rejection_does_not_shorten_a_pause() {
    let mut harness = harness();
    let mut early = harness.admitted("/renew/1");
    let attempt = harness.send(&mut early);
    harness.dispatcher.head_received(
        &mut early,
        &attempt,
        &full(Some(Duration::from_secs(8))),
        millis(5),
        harness.now,
    );
    harness.end(&mut early, &attempt, AttemptOutcome::Full { retry_after: millis(60) });
    for _ in 0..20 {
        harness.advance(millis(350));
        let mut req = harness.admitted("/renew/1");
        assert_ne!(harness.send(&mut req).server, attempt.server);
    }
}

#[rstest]
#[case::minutes(Duration::from_secs(120), Duration::from_secs(120))]
#[case::unbounded(Duration::MAX, Duration::from_secs(300))]
fn a_pause_is_applied_up_to_its_limit(#[case] stated: Duration, #[case] applied: Duration) {
    let mut harness = harness();
    let server = reject(&mut harness, "/renew/1", Some(stated));
    let expected = Notification::ServerPaused { server, stated, applied };
    assert_eq!(harness.dispatcher.take_notifications(), [expected]);
}

/// Guards against callers that wait, or come back too early, while all servers want no request.
#[test]
fn while_all_servers_want_no_request_callers_are_refused_at_once_until_the_first_pause_ends() {
    let mut harness = harness();
    for seconds in [4, 6, 8] {
        reject(&mut harness, "/renew/1", Some(Duration::from_secs(seconds)));
    }
    let mut req = harness.admitted("/look/1");
    let refusal = harness.refusal(&mut req);
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::Overloaded, Ran::NotRun));
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(4)));
    harness.advance(Duration::from_secs(4));
    let mut req = harness.admitted("/look/1");
    harness.send(&mut req);
}

#[test]
fn a_short_pause_of_all_servers_is_waited_for() {
    let mut harness = harness();
    for _ in 0..3 {
        reject(&mut harness, "/chat/1", Some(millis(20)));
    }
    let mut req = harness.admitted("/chat/1");
    let Step::WaitUntil(at) = harness.next_step(&mut req) else { panic!("no wait") };
    harness.now = at;
    harness.send(&mut req);
}

#[test]
fn a_request_is_not_sent_to_servers_that_say_they_leave() {
    let mut harness = harness();
    let mut leaving = Vec::new();
    for _ in 0..3 {
        let mut req = harness.admitted("/chat/1");
        let attempt = harness.send(&mut req);
        let head = AnswerHead { status: 200, is_leaving: true, ..AnswerHead::default() };
        harness.head(&mut req, &attempt, head);
        leaving.push(attempt.server);
    }
    leaving.sort();
    leaving.dedup();
    assert_eq!(leaving.len(), 3);
    let mut req = harness.admitted("/chat/1");
    let Step::WaitUntil(_) = harness.next_step(&mut req) else { panic!("no wait") };
}

/// DRAIN, BUDGET: a server whose registration had lapsed and came back in the same incarnation got requests again.
#[rstest]
#[case::same_incarnation(1, false)]
#[case::restarted(2, true)]
fn statements_hold_while_a_registration_lapses(#[case] started_ms: u64, #[case] is_used: bool) {
    let mut harness = harness();
    for id in ["desk-2", "desk-3"] {
        harness.dispatcher.backends_mut().deregister(id);
    }
    let mut req = harness.admitted("/look/1");
    let attempt = harness.send(&mut req);
    let head = AnswerHead { status: 200, is_leaving: true, ..AnswerHead::default() };
    harness.head(&mut req, &attempt, head);
    harness.dispatcher.backends_mut().mark_missing("desk-1", harness.now);
    assert_eq!(harness.dispatcher.backends_mut().expire_missing(harness.now), ["desk-1"]);
    let again = registration("desk-1", "desk", LOCAL_DC);
    harness.register(Registration { started_ms: Some(started_ms), ..again });
    let mut req = harness.admitted("/look/1");
    assert_eq!(matches!(harness.next_step(&mut req), Step::Send(_)), is_used);
}
