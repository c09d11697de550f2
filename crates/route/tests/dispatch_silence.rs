//! Silent servers: an attempt is given up only for one that the dispatcher then makes.

mod fleet;

use std::time::Duration;

use foxtailhoist_route::blame::Culprit;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::Attempt;
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

/// Why no other attempt can be made.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    AllowanceUsedUp,
    OthersFull,
    OthersLeaving,
    OtherVersionOnly,
    Quarantined,
    LastAttempt,
    DeadlineNear,
}

/// Uses up the allowance of a service for retries.
fn use_up_allowance(harness: &mut Harness, path: &str) {
    loop {
        let mut req = harness.admitted(path);
        let first = harness.send(&mut req);
        harness.end(&mut req, &first, AttemptOutcome::Failed);
        for _ in 0..2 {
            let Step::Send(retry) = harness.next_step(&mut req) else { return };
            harness.dispatcher.attempt_sent(&mut req, &retry, harness.now);
            harness.end(&mut req, &retry, AttemptOutcome::Failed);
        }
    }
}

/// Makes all servers except the attempt's refuse a request as full.
fn fill_others(harness: &mut Harness, path: &str, attempt: &Attempt) {
    let mut full = Vec::new();
    while full.len() < 2 {
        let mut req = harness.admitted(path);
        let other = harness.send(&mut req);
        let is_new = other.server != attempt.server && !full.contains(&other.server);
        let outcome = if is_new {
            full.push(other.server.clone());
            AttemptOutcome::Full { retry_after: Duration::from_secs(5) }
        } else {
            AttemptOutcome::Whole
        };
        harness.end(&mut req, &other, outcome);
    }
}

fn obstruct(
    harness: &mut Harness,
    obstacle: Obstacle,
    path: &str,
    req: &mut InFlightRequest,
    attempt: &Attempt,
) {
    let others = |harness: &mut Harness, update: &dyn Fn(&mut _)| {
        let ids = ["engine-1", "engine-2", "engine-3"];
        for id in ids.iter().filter(|id| **id != attempt.server) {
            let mut other = registration(id, "llm", LOCAL_DC);
            update(&mut other);
            harness.register(other);
        }
    };
    match obstacle {
        Obstacle::AllowanceUsedUp => use_up_allowance(harness, path),
        Obstacle::OthersFull => fill_others(harness, path, attempt),
        Obstacle::OthersLeaving => others(harness, &|other| {
            other.presence = foxtailhoist_model::Presence::Leaving;
        }),
        Obstacle::OtherVersionOnly => {
            others(harness, &|other| other.version = "v2".to_owned());
            harness
                .dispatcher
                .set_version_rule("llm".to_owned(), VersionRule::Except("v2".to_owned()));
        }
        Obstacle::Quarantined => {
            let culprit = Culprit::Content(harness.last_fingerprint());
            harness.dispatcher.quarantine(culprit, harness.now)
        }
        Obstacle::LastAttempt => req.attempts = req.route.max_attempts,
        Obstacle::DeadlineNear => req.deadline = harness.now + millis(1_510),
    }
}

// Issue 18: a stream at a sound server that was silent for a second was abandoned, then its resumption refused.
#[rstest]
#[case::allowance_used_up(Obstacle::AllowanceUsedUp)]
#[case::others_full(Obstacle::OthersFull)]
#[case::others_leaving(Obstacle::OthersLeaving)]
#[case::other_version_only(Obstacle::OtherVersionOnly)]
#[case::quarantined(Obstacle::Quarantined)]
#[case::last_attempt(Obstacle::LastAttempt)]
#[case::deadline_near(Obstacle::DeadlineNear)]
fn a_silent_stream_is_kept_if_no_other_attempt_would_follow(#[case] obstacle: Obstacle) {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    let attempt = harness.send(&mut req);
    assert_eq!(harness.head(&mut req, &attempt, good_head()), HeadVerdict::Deliver);
    let since = harness.now;
    obstruct(&mut harness, obstacle, "/chat/1", &mut req, &attempt);
    harness.advance(millis(1_500));
    assert!(!harness.dispatcher.is_stalled(&mut req, &attempt, since, harness.now));
}

// Issue 18: a request at a sound server that was silent was abandoned, then refused.
#[rstest]
#[case::allowance_used_up(Obstacle::AllowanceUsedUp)]
#[case::quarantined(Obstacle::Quarantined)]
#[case::last_attempt(Obstacle::LastAttempt)]
fn a_request_without_a_head_is_kept_if_no_other_attempt_would_follow(#[case] obstacle: Obstacle) {
    for path in ["/look/1", "/chat/1"] {
        let mut harness = harness();
        let mut req = harness.admitted(path);
        let attempt = harness.send(&mut req);
        let started = harness.now;
        obstruct(&mut harness, obstacle, path, &mut req, &attempt);
        harness.advance(attempt.head_timeout);
        assert!(
            !harness.dispatcher.is_head_overdue(&mut req, &attempt, started, harness.now),
            "{path}"
        );
    }
}

// Issue 18: an answer was dropped for a retry that was then refused.
#[test]
fn a_failure_is_delivered_if_the_retry_allowance_is_used_up() {
    let mut harness = harness();
    let mut req = harness.admitted("/look/1");
    let attempt = harness.send(&mut req);
    use_up_allowance(&mut harness, "/look/1");
    let failed = AnswerHead { status: 500, echoes_request_id: true, ..AnswerHead::default() };
    assert_eq!(harness.head(&mut req, &attempt, failed), HeadVerdict::Deliver);
}

// Issue 18: a low-confidence answer was dropped although no server could be chosen for the larger model.
#[test]
fn a_low_confidence_answer_is_delivered_if_no_other_attempt_would_follow() {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    let attempt = harness.send(&mut req);
    fill_others(&mut harness, "/chat/1", &attempt);
    let mut last = harness.admitted("/chat/1");
    let own = harness.send(&mut last);
    assert_eq!(own.server, attempt.server);
    harness.end(&mut last, &own, AttemptOutcome::Full { retry_after: Duration::from_secs(5) });
    let head = AnswerHead { confidence: Some(10), ..good_head() };
    assert_eq!(harness.head(&mut req, &attempt, head), HeadVerdict::Deliver);
}

#[test]
fn a_silent_stream_is_resumed_elsewhere_while_another_attempt_is_allowed() {
    let mut harness = harness();
    let mut req = harness.admitted("/chat/1");
    let attempt = harness.send(&mut req);
    assert_eq!(harness.head(&mut req, &attempt, good_head()), HeadVerdict::Deliver);
    let since = harness.now;
    harness.advance(millis(1_500));
    assert!(harness.dispatcher.is_stalled(&mut req, &attempt, since, harness.now));
    harness.end(&mut req, &attempt, AttemptOutcome::Silent);
    assert_ne!(harness.send(&mut req).server, attempt.server);
}
