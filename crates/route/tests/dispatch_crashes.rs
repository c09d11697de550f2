//! Crashes of servers: which contents are blamed for them, and which are not.

mod fleet;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_route::blame::CrashFinding;
use foxtailhoist_route::blame::Verdict;
use foxtailhoist_route::dispatch::Notification;
use foxtailhoist_route::in_flight::Arrival;
use foxtailhoist_route::in_flight::AttemptOutcome;
use rstest::rstest;

use fleet::Harness;
use fleet::LOCAL_DC;
use fleet::good_head;
use fleet::harness;
use fleet::millis;
use fleet::registration;

const CONTENT: u64 = 77;

/// When the server of a request crashes.
#[derive(Clone, Copy, Debug)]
enum CrashAt {
    BeforeHead,
    AfterHead,
    /// After the answer has gone on for a while.
    Later,
}

fn arrival(harness: &mut Harness) -> Arrival {
    Arrival { fingerprint: CONTENT, ..harness.arrival("/chat/1") }
}

/// Lets a server crash while it runs a request with [`CONTENT`]; a new one takes its place.
fn crash(harness: &mut Harness, at: CrashAt) {
    let arrival = arrival(harness);
    let mut req = harness.admit(arrival).expect("admitted");
    let attempt = harness.send(&mut req);
    let had_head = !matches!(at, CrashAt::BeforeHead);
    if had_head {
        harness.head(&mut req, &attempt, good_head());
    }
    harness.advance(millis(if matches!(at, CrashAt::Later) { 3_000 } else { 60 }));
    let (outcome, now) = (AttemptOutcome::Broken, harness.now);
    harness.dispatcher.attempt_ended(&mut req, &attempt, had_head, outcome, now);
    let is_probed = harness.dispatcher.take_crash_probe(&attempt, now).is_some();
    assert_eq!(is_probed, !matches!(at, CrashAt::Later));
    harness.advance(millis(60));
    harness.dispatcher.server_died(&attempt.server, harness.now);
    harness.dispatcher.backends_mut().deregister(&attempt.server);
    harness.register(registration(&format!("{}-again", attempt.server), "llm", LOCAL_DC));
    harness.advance(millis(500));
}

fn is_quarantined(harness: &Harness) -> bool {
    harness.dispatcher.is_quarantined(CONTENT, harness.now)
}

/// Guards against a request that crashes servers after the head of its answer not being noted.
#[rstest]
#[case::before_the_head(CrashAt::BeforeHead)]
#[case::after_the_head(CrashAt::AfterHead)]
fn a_content_is_refused_after_three_crashes(#[case] at: CrashAt) {
    let mut harness = harness();
    for crashes in 1..=3 {
        assert!(!is_quarantined(&harness));
        crash(&mut harness, at);
        let notifications = harness.dispatcher.take_notifications();
        assert!(notifications.iter().any(|notification| matches!(
            notification,
            Notification::ServerDied { contents: 1, .. }
        )));
        if crashes == 3 {
            let quarantined =
                Notification::Quarantined { content: CONTENT, crashes: 3, is_own: true };
            assert!(notifications.contains(&quarantined), "{notifications:?}");
        }
    }
    let arrival = arrival(&mut harness);
    assert_eq!(harness.admit(arrival).expect_err("refused").kind, ErrorKind::Quarantined);
}

/// Guards against a request in flight being repeated after its content was quarantined.
#[test]
fn a_request_in_flight_is_not_sent_again_once_its_content_is_quarantined() {
    let mut harness = harness();
    let arrival = arrival(&mut harness);
    let mut req = harness.admit(arrival).expect("admitted");
    for _ in 0..3 {
        crash(&mut harness, CrashAt::AfterHead);
    }
    assert_eq!(harness.refusal(&mut req).kind, ErrorKind::Quarantined);
}

/// Guards against a long answer being blamed for a crash that another request caused.
#[test]
fn a_content_that_was_answered_for_a_while_is_not_blamed() {
    let mut harness = harness();
    for _ in 0..4 {
        crash(&mut harness, CrashAt::Later);
    }
    assert!(!is_quarantined(&harness));
}

/// Guards against a content that all callers send being refused because it is present at each crash.
#[rstest]
#[case::before(true)]
#[case::between(false)]
fn a_sound_answer_clears_its_content(#[case] is_before: bool) {
    let mut harness = harness();
    let serve = |harness: &mut Harness| {
        let arrival = arrival(harness);
        let mut req = harness.admit(arrival).expect("admitted");
        let attempt = harness.send(&mut req);
        harness.head(&mut req, &attempt, good_head());
        harness.end(&mut req, &attempt, AttemptOutcome::Whole);
    };
    if is_before {
        serve(&mut harness);
    }
    for _ in 0..2 {
        crash(&mut harness, CrashAt::AfterHead);
    }
    if !is_before {
        serve(&mut harness);
    }
    for _ in 0..2 {
        crash(&mut harness, CrashAt::AfterHead);
    }
    assert!(!is_quarantined(&harness));
}

/// Guards against a broken answer counting as a crash although its server goes on.
#[test]
fn a_content_whose_answers_break_at_live_servers_is_not_blamed() {
    let mut harness = harness();
    for _ in 0..6 {
        let arrival = arrival(&mut harness);
        let mut req = harness.admit(arrival).expect("admitted");
        let attempt = harness.send(&mut req);
        harness.end(&mut req, &attempt, AttemptOutcome::Broken);
        harness.advance(millis(2_000));
        harness.dispatcher.server_died(&attempt.server, harness.now);
    }
    assert!(!is_quarantined(&harness));
}

/// Guards against crashes that other hosts saw not counting, and against one crash counting once per host.
#[test]
fn the_crashes_of_all_hosts_count_once_each() {
    let mut seen = harness();
    let mut told = harness();
    crash(&mut seen, CrashAt::AfterHead);
    crash(&mut seen, CrashAt::AfterHead);
    let findings = seen.dispatcher.take_crash_news();
    assert_eq!(findings.len(), 2);
    for _ in 0..2 {
        told.dispatcher.merge_crash_findings(findings.clone(), told.now);
    }
    assert!(!is_quarantined(&told));
    let third = CrashFinding { content: CONTENT, crash: 3, verdict: Verdict::Suspected };
    told.dispatcher.merge_crash_findings(vec![third], told.now);
    assert!(is_quarantined(&told));
    // What a host learns it passes on, for hosts that missed it.
    assert_eq!(told.dispatcher.take_crash_news().len(), 3);
}

/// Guards against a host refusing a content that another one knows to be sound.
#[test]
fn a_clearance_prevails_in_any_order() {
    let finding = |crash, verdict| CrashFinding { content: CONTENT, crash, verdict };
    let suspected: Vec<_> = (1..=3).map(|crash| finding(crash, Verdict::Suspected)).collect();
    let cleared: Vec<_> = (1..=3).map(|crash| finding(crash, Verdict::Cleared)).collect();
    for orders in [[&suspected, &cleared], [&cleared, &suspected]] {
        let mut harness = harness();
        for findings in orders {
            harness.dispatcher.merge_crash_findings(findings.clone(), harness.now);
        }
        assert!(!is_quarantined(&harness));
    }
}
