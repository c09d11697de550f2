//! Retries and refusals of attempts, and the execution status that a refusal reports.

mod fleet;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::AttemptOutcome;
use rstest::rstest;

use fleet::good_head;
use fleet::harness;
use fleet::millis;

#[rstest]
#[case::broken(AttemptOutcome::Broken)]
#[case::silent(AttemptOutcome::Silent)]
#[case::garbled(AttemptOutcome::Garbled)]
fn a_request_that_may_have_run_is_not_resent(#[case] outcome: AttemptOutcome) {
    let mut harness = harness();
    let mut req = harness.admitted("/renew/1");
    let attempt = harness.send(&mut req);
    assert!(attempt.fresh_connection);
    harness.end(&mut req, &attempt, outcome);
    let refusal = harness.refusal(&mut req);
    assert_eq!(refusal.kind, ErrorKind::OutcomeUnknown);
    assert_eq!(refusal.ran, Ran::Unknown);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn a_request_that_was_not_sent_is_sent_to_another_server() {
    let mut harness = harness();
    let mut req = harness.admitted("/renew/1");
    let Step::Send(first) = harness.next_step(&mut req) else { panic!("no attempt") };
    harness.end(&mut req, &first, AttemptOutcome::Unreachable);
    let second = harness.send(&mut req);
    assert_ne!(first.server, second.server);
}

#[test]
fn a_request_that_a_server_did_not_run_is_refused_as_not_run() {
    let mut harness = harness();
    let mut req = harness.admitted("/renew/1");
    let attempt = harness.send(&mut req);
    let full = AnswerHead { status: 503, not_run: true, ..AnswerHead::default() };
    let HeadVerdict::Drop(outcome) = harness.head(&mut req, &attempt, full) else {
        panic!("delivered");
    };
    harness.end(&mut req, &attempt, outcome);
    let refusal = harness.refusal(&mut req);
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::Overloaded, Ran::NotRun));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_503_without_a_not_run_statement_is_not_passed_on() {
    let mut harness = harness();
    let mut req = harness.admitted("/renew/1");
    let attempt = harness.send(&mut req);
    let head = AnswerHead { status: 503, echoes_request_id: true, ..AnswerHead::default() };
    assert_eq!(harness.head(&mut req, &attempt, head), HeadVerdict::Drop(AttemptOutcome::Failed));
    harness.end(&mut req, &attempt, AttemptOutcome::Failed);
    assert_eq!(harness.refusal(&mut req).ran, Ran::Ran);
}

#[test]
fn a_failed_idempotent_request_is_retried_and_the_last_failure_is_passed_on() {
    let mut harness = harness();
    let mut req = harness.admitted("/look/1");
    let failure = AnswerHead { status: 500, echoes_request_id: true, ..AnswerHead::default() };
    let mut servers = Vec::new();
    for _ in 0..2 {
        let attempt = harness.send(&mut req);
        servers.push(attempt.server.clone());
        let verdict = harness.head(&mut req, &attempt, failure);
        assert_eq!(verdict, HeadVerdict::Drop(AttemptOutcome::Failed));
        harness.end(&mut req, &attempt, AttemptOutcome::Failed);
    }
    assert_ne!(servers[0], servers[1]);
    let last = harness.send(&mut req);
    assert_eq!(harness.head(&mut req, &last, failure), HeadVerdict::Deliver);
}

#[test]
fn an_answer_of_another_request_is_dropped() {
    let mut harness = harness();
    let mut req = harness.admitted("/look/1");
    let attempt = harness.send(&mut req);
    let crossed = AnswerHead { status: 200, echoes_request_id: false, ..AnswerHead::default() };
    assert_eq!(
        harness.head(&mut req, &attempt, crossed),
        HeadVerdict::Drop(AttemptOutcome::Garbled)
    );
}

#[test]
fn a_server_whose_address_was_reused_is_removed() {
    let mut harness = harness();
    let mut req = harness.admitted("/renew/1");
    let attempt = harness.send(&mut req);
    let head = AnswerHead { status: 421, ..AnswerHead::default() };
    assert_eq!(
        harness.head(&mut req, &attempt, head),
        HeadVerdict::Drop(AttemptOutcome::Misdirected)
    );
    harness.end(&mut req, &attempt, AttemptOutcome::Misdirected);
    assert_eq!(harness.dispatcher.backends_mut().expire_missing(harness.now), vec![attempt.server]);
}

#[test]
fn a_request_with_too_little_time_left_is_refused() {
    let mut harness = harness();
    let mut arrival = harness.arrival("/look/1");
    arrival.caller_timeout = Some(millis(300));
    let mut req = harness.admit(arrival).expect("admitted");
    assert_eq!(req.deadline, harness.now + millis(300));
    harness.advance(millis(290));
    let refusal = harness.refusal(&mut req);
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::DeadlineTooShort, Ran::NotRun));
}

#[test]
fn the_routes_timeout_limits_a_longer_caller_timeout() {
    let mut harness = harness();
    let req = harness.admitted("/look/1");
    assert_eq!(req.deadline, harness.now + millis(1_000));
}

#[test]
fn a_stopping_host_admits_only_what_it_can_finish() {
    let mut harness = harness();
    harness.dispatcher.stop(harness.now + millis(7_600));
    harness.admitted("/chat/1");
    harness.advance(millis(3_000));
    let arrival = harness.arrival("/chat/2");
    let refusal = harness.admit(arrival).expect_err("too late for a stream");
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::Stopping, Ran::NotRun));
    assert!(refusal.retry_after.is_some());
    harness.admitted("/look/1");
    harness.advance(millis(4_000));
    let arrival = harness.arrival("/look/2");
    assert_eq!(harness.admit(arrival).expect_err("too late").kind, ErrorKind::Stopping);
}

#[test]
fn a_stream_resumes_after_the_last_forwarded_event() {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    let first = harness.send(&mut req);
    assert_eq!(harness.head(&mut req, &first, good_head()), HeadVerdict::Deliver);
    req.record_forwarded_event(12);
    harness.end(&mut req, &first, AttemptOutcome::Broken);
    let second = harness.send(&mut req);
    assert_eq!(second.resume_after, Some(12));
    assert_ne!(first.server, second.server);
    assert_eq!(first.model, second.model);
}

#[test]
fn retries_stay_within_the_fleet_wide_limit() {
    let mut harness = harness();
    let mut retries = 0;
    for _ in 0..200 {
        let mut req = harness.admitted("/look/1");
        let attempt = harness.send(&mut req);
        harness.end(&mut req, &attempt, AttemptOutcome::Failed);
        if let Step::Send(attempt) = harness.next_step(&mut req) {
            harness.dispatcher.attempt_sent(&mut req, &attempt, harness.now);
            retries += 1;
            harness.end(&mut req, &attempt, AttemptOutcome::Whole);
        }
    }
    // Ratio 0.8 of 200 requests and a fifth of the slack of 50.
    assert!(retries <= 170, "{retries} retries");
    assert!(retries >= 100, "{retries} retries");
}

#[test]
fn a_silent_stream_is_stalled_only_while_another_attempt_is_left() {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    for number in 1..=3 {
        let attempt = harness.send(&mut req);
        assert_eq!(harness.head(&mut req, &attempt, good_head()), HeadVerdict::Deliver);
        let since = harness.now;
        harness.advance(millis(5_000));
        let is_stalled = harness.dispatcher.is_stalled(&mut req, &attempt, since, harness.now);
        assert_eq!(is_stalled, number < 3, "attempt {number}");
        harness.end(&mut req, &attempt, AttemptOutcome::Silent);
        harness.advance(millis(500));
    }
}

#[test]
fn a_queued_request_is_not_abandoned_at_an_active_engine() {
    // Retries on timeout under overload keep engines busy with work that no caller waits for.
    let mut harness = harness();
    let mut other = harness.admitted("/chat/0");
    let running = harness.send(&mut other);
    harness.head(&mut other, &running, good_head());
    let mut req = harness.admitted("/chat/1");
    let mut attempt = harness.send(&mut req);
    attempt.server.clone_from(&running.server);
    attempt.generation = running.generation;
    let started = harness.now;
    for _ in 0..20 {
        harness.advance(millis(300));
        harness.dispatcher.event_received(&mut req, &running, None, harness.now);
        let waited = harness.now - started;
        let is_overdue =
            harness.dispatcher.is_head_overdue(&mut req, &attempt, started, harness.now);
        assert!(!is_overdue, "abandoned after {waited:?} at an active engine");
    }
    // The same engine becomes completely silent.
    harness.advance(millis(1_200));
    assert!(harness.dispatcher.is_head_overdue(&mut req, &attempt, started, harness.now));
}

#[test]
fn unreachable_servers_use_up_no_retries() {
    let mut harness = harness();
    for _ in 0..60 {
        let mut req = harness.admitted("/look/1");
        for _ in 0..2 {
            let Step::Send(attempt) = harness.next_step(&mut req) else { panic!("no attempt") };
            harness.end(&mut req, &attempt, AttemptOutcome::Unreachable);
        }
        let attempt = harness.send(&mut req);
        harness.end(&mut req, &attempt, AttemptOutcome::Whole);
        harness.advance(millis(3_000));
    }
    // The full allowance is left: a failed request gets its retries.
    let mut req = harness.admitted("/look/1");
    for _ in 0..3 {
        let attempt = harness.send(&mut req);
        harness.end(&mut req, &attempt, AttemptOutcome::Failed);
    }
}
