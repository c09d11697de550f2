//! What may be sent again, what is refused, and what the refusal says of the run.

mod fleet;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::AttemptOutcome;
use rstest::rstest;

use fleet::bed;
use fleet::good;
use fleet::millis;

#[rstest]
#[case::broken(AttemptOutcome::Broken)]
#[case::silent(AttemptOutcome::Silent)]
#[case::garbled(AttemptOutcome::Garbled)]
fn a_request_that_may_have_run_is_not_sent_again(#[case] outcome: AttemptOutcome) {
    let mut bed = bed();
    let mut flight = bed.flight("/renew/1");
    let attempt = bed.send(&mut flight);
    assert!(attempt.fresh_connection);
    bed.end(&mut flight, &attempt, outcome);
    let refusal = bed.refusal(&mut flight);
    assert_eq!(refusal.kind, ErrorKind::OutcomeUnknown);
    assert_eq!(refusal.ran, Ran::Unknown);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn a_request_that_was_never_sent_goes_to_another_server() {
    let mut bed = bed();
    let mut flight = bed.flight("/renew/1");
    let Step::Send(first) = bed.next(&mut flight) else { panic!("no attempt") };
    bed.end(&mut flight, &first, AttemptOutcome::Unreachable);
    let second = bed.send(&mut flight);
    assert_ne!(first.server, second.server);
}

#[test]
fn a_request_that_a_server_did_not_run_is_refused_as_not_run() {
    let mut bed = bed();
    let mut flight = bed.flight("/renew/1");
    let attempt = bed.send(&mut flight);
    let full = AnswerHead { status: 503, not_run: true, ..AnswerHead::default() };
    let HeadVerdict::Drop(outcome) = bed.head(&mut flight, &attempt, full) else {
        panic!("delivered");
    };
    bed.end(&mut flight, &attempt, outcome);
    let refusal = bed.refusal(&mut flight);
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::Overloaded, Ran::NotRun));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_503_without_a_statement_that_it_did_not_run_is_not_passed_on() {
    let mut bed = bed();
    let mut flight = bed.flight("/renew/1");
    let attempt = bed.send(&mut flight);
    let head = AnswerHead { status: 503, echoes_request_id: true, ..AnswerHead::default() };
    assert_eq!(bed.head(&mut flight, &attempt, head), HeadVerdict::Drop(AttemptOutcome::Failed));
    bed.end(&mut flight, &attempt, AttemptOutcome::Failed);
    assert_eq!(bed.refusal(&mut flight).ran, Ran::Ran);
}

#[test]
fn a_failure_of_an_idempotent_request_is_tried_elsewhere_and_then_passed_on() {
    let mut bed = bed();
    let mut flight = bed.flight("/look/1");
    let failure = AnswerHead { status: 500, echoes_request_id: true, ..AnswerHead::default() };
    let mut servers = Vec::new();
    for _ in 0..2 {
        let attempt = bed.send(&mut flight);
        servers.push(attempt.server.clone());
        let verdict = bed.head(&mut flight, &attempt, failure);
        assert_eq!(verdict, HeadVerdict::Drop(AttemptOutcome::Failed));
        bed.end(&mut flight, &attempt, AttemptOutcome::Failed);
    }
    assert_ne!(servers[0], servers[1]);
    let last = bed.send(&mut flight);
    assert_eq!(bed.head(&mut flight, &last, failure), HeadVerdict::Deliver);
}

#[test]
fn an_answer_of_another_request_is_dropped() {
    let mut bed = bed();
    let mut flight = bed.flight("/look/1");
    let attempt = bed.send(&mut flight);
    let crossed = AnswerHead { status: 200, echoes_request_id: false, ..AnswerHead::default() };
    assert_eq!(
        bed.head(&mut flight, &attempt, crossed),
        HeadVerdict::Drop(AttemptOutcome::Garbled)
    );
}

#[test]
fn a_server_with_a_reused_address_gets_no_more_work() {
    let mut bed = bed();
    let mut flight = bed.flight("/renew/1");
    let attempt = bed.send(&mut flight);
    let head = AnswerHead { status: 421, ..AnswerHead::default() };
    assert_eq!(
        bed.head(&mut flight, &attempt, head),
        HeadVerdict::Drop(AttemptOutcome::Misdirected)
    );
    bed.end(&mut flight, &attempt, AttemptOutcome::Misdirected);
    assert_eq!(bed.dispatcher.backends_mut().expire_missing(bed.now), vec![attempt.server]);
}

#[test]
fn the_time_left_bounds_every_attempt() {
    let mut bed = bed();
    let mut arrival = bed.arrival("/look/1");
    arrival.caller_timeout = Some(millis(300));
    let mut flight = bed.admit(arrival).expect("admitted");
    assert_eq!(flight.deadline, bed.now + millis(300));
    bed.pass(millis(290));
    let refusal = bed.refusal(&mut flight);
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::DeadlineTooShort, Ran::NotRun));
}

#[test]
fn the_routes_timeout_bounds_a_patient_caller() {
    let mut bed = bed();
    let flight = bed.flight("/look/1");
    assert_eq!(flight.deadline, bed.now + millis(1_000));
}

#[test]
fn a_stopping_host_admits_only_what_it_can_finish() {
    let mut bed = bed();
    bed.dispatcher.stop(bed.now + millis(7_600));
    bed.flight("/chat/1");
    bed.pass(millis(3_000));
    let arrival = bed.arrival("/chat/2");
    let refusal = bed.admit(arrival).expect_err("too late for a stream");
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::Stopping, Ran::NotRun));
    assert!(refusal.retry_after.is_some());
    bed.flight("/look/1");
    bed.pass(millis(4_000));
    let arrival = bed.arrival("/look/2");
    assert_eq!(bed.admit(arrival).expect_err("too late").kind, ErrorKind::Stopping);
}

#[test]
fn a_stream_resumes_after_the_last_event_that_went_out() {
    let mut bed = bed();
    let mut flight = bed.flight("/chat/1");
    let first = bed.send(&mut flight);
    assert_eq!(bed.head(&mut flight, &first, good()), HeadVerdict::Deliver);
    flight.record_forwarded_event(12);
    bed.end(&mut flight, &first, AttemptOutcome::Broken);
    let second = bed.send(&mut flight);
    assert_eq!(second.resume_after, Some(12));
    assert_ne!(first.server, second.server);
    assert_eq!(first.model, second.model);
}

#[test]
fn retries_stay_within_the_fleets_bound() {
    let mut bed = bed();
    let mut retries = 0;
    for _ in 0..200 {
        let mut flight = bed.flight("/look/1");
        let attempt = bed.send(&mut flight);
        bed.end(&mut flight, &attempt, AttemptOutcome::Failed);
        if let Step::Send(attempt) = bed.next(&mut flight) {
            bed.dispatcher.attempt_sent(&mut flight, &attempt, bed.now);
            retries += 1;
            bed.end(&mut flight, &attempt, AttemptOutcome::Whole);
        }
    }
    // Ratio 0.8 of 200 requests and a fifth of the slack of 50.
    assert!(retries <= 170, "{retries} retries");
    assert!(retries >= 100, "{retries} retries");
}

#[test]
fn silence_ends_a_stream_only_while_another_attempt_is_left() {
    let mut bed = bed();
    let mut flight = bed.flight("/chat/1");
    for number in 1..=3 {
        let attempt = bed.send(&mut flight);
        assert_eq!(bed.head(&mut flight, &attempt, good()), HeadVerdict::Deliver);
        let since = bed.now;
        bed.pass(millis(5_000));
        let is_stalled = bed.dispatcher.is_stalled(&flight, &attempt, since, bed.now);
        assert_eq!(is_stalled, number < 3, "attempt {number}");
        bed.end(&mut flight, &attempt, AttemptOutcome::Silent);
        bed.pass(millis(500));
    }
}

#[test]
fn a_queue_at_an_engine_that_shows_life_is_waited_for() {
    // Pattern: retries on time-out under overload keep engines busy with work that nobody waits for any more.
    let mut bed = bed();
    let mut other = bed.flight("/chat/0");
    let running = bed.send(&mut other);
    bed.head(&mut other, &running, good());
    let mut flight = bed.flight("/chat/1");
    let mut attempt = bed.send(&mut flight);
    attempt.server.clone_from(&running.server);
    attempt.generation = running.generation;
    let begun = bed.now;
    for _ in 0..20 {
        bed.pass(millis(300));
        bed.dispatcher.event_received(&running, None, bed.now);
        let waited = bed.now - begun;
        let is_overdue = bed.dispatcher.is_head_overdue(&attempt, begun, bed.now);
        assert!(!is_overdue, "given up after {waited:?} at an engine that works");
    }
    // The same engine falls silent altogether.
    bed.pass(millis(1_200));
    assert!(bed.dispatcher.is_head_overdue(&attempt, begun, bed.now));
}

#[test]
fn servers_that_cannot_be_reached_use_up_no_retries() {
    let mut bed = bed();
    for _ in 0..60 {
        let mut flight = bed.flight("/look/1");
        for _ in 0..2 {
            let Step::Send(attempt) = bed.next(&mut flight) else { panic!("no attempt") };
            bed.end(&mut flight, &attempt, AttemptOutcome::Unreachable);
        }
        let attempt = bed.send(&mut flight);
        bed.end(&mut flight, &attempt, AttemptOutcome::Whole);
        bed.pass(millis(3_000));
    }
    // The allowance is whole: a request that failed gets its retry.
    let mut flight = bed.flight("/look/1");
    for _ in 0..3 {
        let attempt = bed.send(&mut flight);
        bed.end(&mut flight, &attempt, AttemptOutcome::Failed);
    }
}
