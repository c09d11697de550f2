//! Traffic shifts: schedule, withdrawal of a bad version, reports, and a host that starts during a shift.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::StoreRevision;
use foxtailhoist_rollout::shift::Shift;
use foxtailhoist_rollout::shift::ShiftOrder;
use foxtailhoist_rollout::shift::ShiftPhase;
use foxtailhoist_rollout::shift::ShiftRule;
use foxtailhoist_rollout::shift::Verdict;
use foxtailhoist_rollout::shift::baseline::Baseline;
use foxtailhoist_rollout::shift::baseline::Finding;
use foxtailhoist_rollout::shift::baseline::Observation;
use rstest::rstest;

const NOW_MS: u64 = 1_000_000_000;
/// Largest share of a service's requests that a bad version may receive.
const EXPOSURE_LIMIT: f64 = 0.12;

#[test]
fn the_trial_stays_below_the_exposure_limit_and_all_traffic_follows() {
    let start = Instant::now();
    let mut shift = proven(24, start);
    let mut share = |seconds| match shift.rule(start + Duration::from_secs(seconds)) {
        ShiftRule::Share { share, is_trial, .. } => (share, is_trial),
        ShiftRule::SessionTrial { share, .. } => (share, true),
        ShiftRule::Only(_) => (1.0, false),
        ShiftRule::Except(_) => (0.0, false),
    };
    for seconds in 0..12 {
        let (share, is_trial) = share(seconds);
        assert!(is_trial && share <= EXPOSURE_LIMIT, "share {share} at {seconds} s");
    }
    let shares: Vec<f64> = (0..24).map(|seconds| share(seconds).0).collect();
    assert!(shares.is_sorted(), "{shares:?}");
    // Until all traffic follows, the target's share of the requests since the order stays below the limit.
    for seconds in 12..18 {
        let mean = shares[12..seconds].iter().sum::<f64>() / seconds as f64;
        assert!(mean < EXPOSURE_LIMIT, "mean share {mean} at {seconds} s");
    }
    assert_eq!(share(18), (1.0, false));
}

// Guards against a bad version that gets all traffic by the clock, before enough answers tell that it is good.
#[test]
fn a_version_that_too_little_is_known_of_stays_on_trial() {
    let start = Instant::now();
    let mut shift = Shift::new(order(15), start, NOW_MS);
    let mut baseline = Baseline::default();
    for _ in 0..5 {
        observe(&mut shift, &mut baseline, "v1", "old", false);
        observe(&mut shift, &mut baseline, "v2", "new", false);
    }
    shift.update(in_progress(15));
    for seconds in 0..13 {
        let now = start + Duration::from_secs(seconds);
        let rule = shift.rule(now);
        let is_trial = matches!(
            rule,
            ShiftRule::Share { is_trial: true, .. } | ShiftRule::SessionTrial { .. }
        );
        assert!(is_trial, "{rule:?} at {seconds} s");
        assert_eq!(shift.due_report(true, now, NOW_MS + seconds * 1_000), None);
    }
}

// Guards against a trial without an end, in which a bad version gets requests long after its 50th bad answer.
#[test]
fn a_version_that_too_little_is_known_of_is_rolled_back_before_the_deadline() {
    let start = Instant::now();
    let mut shift = Shift::new(in_progress(15), start, NOW_MS);
    let late = start + Duration::from_millis(14_000);
    assert!(matches!(shift.rule(late), ShiftRule::Except(_)));
    let report = shift.due_report(true, late, NOW_MS + 14_000).expect("due");
    assert_eq!(report.phase, ShiftPhase::RolledBack);
    let later = start + Duration::from_secs(30);
    assert!(matches!(shift.rule(later), ShiftRule::Except(_)));
}

#[test]
fn a_host_that_starts_late_waits_for_the_evidence_of_the_others() {
    let start = Instant::now();
    let mut shift = Shift::new(in_progress(15), start, NOW_MS + 14_500);
    assert!(matches!(shift.rule(start), ShiftRule::SessionTrial { .. }));
    assert_eq!(shift.due_report(true, start, NOW_MS + 14_500), None);
    let later = start + Duration::from_secs(3);
    assert!(matches!(shift.rule(later), ShiftRule::Except(_)));
}

// Guards against sessions that go back and forth when later answers leave it open whether a version is good.
#[test]
fn sessions_stay_on_a_version_that_was_found_good_unless_it_is_withdrawn() {
    let start = Instant::now();
    let mut shift = proven(20, start);
    shift.update(in_progress(20));
    let late = start + Duration::from_secs(18);
    let all = ShiftRule::Share { target: "v2".to_owned(), share: 1.0, is_trial: false };
    assert_eq!(shift.rule(late), all);
    // One server alone does not withdraw its version.
    let mut baseline = Baseline::default();
    for _ in 0..40 {
        observe(&mut shift, &mut baseline, "v2", "new-1", true);
    }
    assert_ne!(shift.verdict(), Verdict::Good);
    assert_eq!(shift.rule(late), all);
    assert_eq!(shift.due_report(true, late + Duration::from_secs(2), NOW_MS + 20_000), None);
}

// Guards against a completion that stops the old servers while most callers still use them.
#[test]
fn a_version_found_good_late_takes_all_traffic_before_it_completes() {
    let start = Instant::now();
    let mut shift = Shift::new(in_progress(20), start, NOW_MS);
    let late = start + Duration::from_millis(18_000);
    assert!(matches!(shift.rule(late), ShiftRule::SessionTrial { .. }));
    observe_good(&mut shift);
    assert!(matches!(shift.rule(late), ShiftRule::Share { is_trial: false, .. }));
    assert_eq!(shift.due_report(true, late, NOW_MS + 18_000), None);
    let later = late + Duration::from_millis(1_200);
    let report = shift.due_report(true, later, NOW_MS + 19_200).expect("due");
    assert_eq!(report.phase, ShiftPhase::Completed);
}

/// Guards against a good version that misses its deadline because each host waits for another one to report it.
#[rstest]
fn a_version_found_good_late_is_reported_soon(#[values(6, 12, 60)] seconds: u64) {
    let start = Instant::now();
    let duration = Duration::from_secs(seconds);
    let mut shift = Shift::new(in_progress(seconds), start, NOW_MS);
    let _ = shift.rule(start + duration.mul_f64(0.89));
    observe_good(&mut shift);
    let _ = shift.rule(start + duration.mul_f64(0.89));
    let due = start + duration.mul_f64(0.941);
    assert!(shift.due_report(true, due, NOW_MS).is_some());
    // Writing it to the store takes its time, too.
    assert!(due + shift.report_spread(due) <= start + duration.mul_f64(0.96));
}

#[test]
fn reports_follow_the_schedule() {
    let start = Instant::now();
    let mut shift = proven(20, start);
    let first = shift.due_report(true, start, NOW_MS).expect("due at once");
    assert_eq!((first.phase, first.revision), (ShiftPhase::InProgress, revision(5)));
    shift.update(ShiftOrder { revision: revision(6), ..in_progress(20) });
    let half = start + Duration::from_secs(10);
    assert_eq!(shift.due_report(true, half, NOW_MS + 10_000), None);
    let _ = shift.rule(start + Duration::from_secs(15));
    let late = start + Duration::from_secs(18);
    let done = shift.due_report(true, late, NOW_MS + 18_000).expect("due");
    assert_eq!(
        (done.phase, done.revision, done.started_ms),
        (ShiftPhase::Completed, revision(6), NOW_MS)
    );
    // Without servers of the target version, completion must not be reported: the old servers must keep running.
    assert_eq!(shift.due_report(false, late, NOW_MS + 18_000), None);
}

#[rstest]
#[case::half_fail(2)]
#[case::a_third_fails(3)]
fn a_bad_version_is_withdrawn_after_few_answers(#[case] every: u64) {
    let mut shift = Shift::new(order(24), Instant::now(), NOW_MS);
    let mut baseline = Baseline::default();
    for _ in 0..100 {
        observe(&mut shift, &mut baseline, "v1", "old", false);
    }
    let mut answers = 0;
    while !matches!(shift.rule(Instant::now()), ShiftRule::Except(_)) {
        answers += 1;
        assert!(answers <= 50, "still in use after {answers} answers");
        let server = format!("new-{}", answers % 4);
        observe(&mut shift, &mut baseline, "v2", &server, answers % every == 0);
    }
    let report = shift.due_report(true, Instant::now(), NOW_MS).expect("due");
    assert_eq!(report.phase, ShiftPhase::RolledBack);
}

#[test]
fn one_failing_server_does_not_withdraw_its_version() {
    let mut shift = Shift::new(order(24), Instant::now(), NOW_MS);
    let mut baseline = Baseline::default();
    for _ in 0..40 {
        observe(&mut shift, &mut baseline, "v1", "old", false);
        observe(&mut shift, &mut baseline, "v2", "new-1", true);
        observe(&mut shift, &mut baseline, "v2", "new-2", false);
    }
    assert!(!matches!(shift.rule(Instant::now()), ShiftRule::Except(_)));
}

#[test]
fn failures_that_the_old_version_shares_cause_no_withdrawal() {
    let mut shift = Shift::new(order(24), Instant::now(), NOW_MS);
    let mut baseline = Baseline::default();
    for number in 0..300 {
        let is_bad = number % 5 == 0;
        observe(&mut shift, &mut baseline, "v1", "old", is_bad);
        observe(&mut shift, &mut baseline, "v2", &format!("new-{}", number % 3), is_bad);
    }
    assert!(!matches!(shift.rule(Instant::now()), ShiftRule::Except(_)));
}

#[test]
fn a_host_that_starts_during_a_shift_resumes_from_the_store() {
    let start = Instant::now();
    let mut shift = Shift::new(in_progress(20), start, NOW_MS + 18_000);
    assert!(matches!(shift.rule(start), ShiftRule::SessionTrial { .. }));
    observe_good(&mut shift);
    let all = ShiftRule::Share { target: "v2".to_owned(), share: 1.0, is_trial: false };
    assert_eq!(shift.rule(start), all);
    let later = start + Duration::from_secs(2);
    assert!(shift.due_report(true, later, NOW_MS + 20_000).is_some());
    let ended = ShiftOrder { phase: Some(ShiftPhase::RolledBack), ..order(20) };
    let mut shift = Shift::new(ended, start, NOW_MS);
    assert_eq!(shift.rule(start), ShiftRule::Except("v2".to_owned()));
    assert_eq!(shift.due_report(true, start, NOW_MS), None);
}

#[test]
fn a_repeated_order_for_the_same_target_starts_again() {
    let ended = ShiftOrder { phase: Some(ShiftPhase::RolledBack), ..order(20) };
    let shift = Shift::new(ended, Instant::now(), NOW_MS);
    assert!(!shift.is_same_order(&order(20)));
    assert!(!shift.is_same_order(&ShiftOrder { target: "v3".to_owned(), ..order(20) }));
}

/// Guards against a rollout that starts again, or is not reported again, after a restore of the store lost its outcome.
#[rstest]
#[case::bad(ShiftPhase::RolledBack)]
#[case::good(ShiftPhase::Completed)]
fn an_outcome_lost_in_a_restore_stays_and_is_reported_again(#[case] phase: ShiftPhase) {
    let now = Instant::now();
    let ended = ShiftOrder { phase: Some(phase), started_ms: Some(NOW_MS), ..order(20) };
    let mut shift = Shift::new(ended, now, NOW_MS);
    for (era, stored) in [(1, None), (2, Some(ShiftPhase::InProgress))] {
        let revision = StoreRevision { era, number: 3 };
        let restored = ShiftOrder { phase: stored, started_ms: None, revision, ..order(20) };
        assert!(shift.is_same_order(&restored));
        shift.update(restored);
        assert_eq!(shift.order().phase, Some(phase));
        let report = shift.due_report(true, now, NOW_MS).expect("due");
        assert_eq!((report.phase, report.revision), (phase, revision));
        assert_eq!(report.started_ms, NOW_MS);
    }
    // Within an era, an order without a status is a new one.
    let revision = StoreRevision { era: 2, number: 4 };
    shift.update(ShiftOrder { phase: Some(phase), revision, ..order(20) });
    assert_eq!(shift.due_report(true, now, NOW_MS), None);
    let repeated = ShiftOrder { revision: StoreRevision { era: 2, number: 5 }, ..order(20) };
    assert!(!shift.is_same_order(&repeated));
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

/// A shift that has seen enough good answers.
fn proven(seconds: u64, start: Instant) -> Shift {
    let mut shift = Shift::new(order(seconds), start, NOW_MS);
    observe_good(&mut shift);
    shift
}

fn observe_good(shift: &mut Shift) {
    let mut baseline = Baseline::default();
    for number in 0..60 {
        observe(shift, &mut baseline, "v1", "old", false);
        observe(shift, &mut baseline, "v2", &format!("new-{}", number % 4), false);
    }
}

fn in_progress(seconds: u64) -> ShiftOrder {
    ShiftOrder { phase: Some(ShiftPhase::InProgress), started_ms: Some(NOW_MS), ..order(seconds) }
}

fn observe(shift: &mut Shift, baseline: &mut Baseline, version: &str, server: &str, is_bad: bool) {
    let observation = Observation {
        route: "chat".to_owned(),
        version: version.to_owned(),
        server: server.to_owned(),
        finding: Finding::Ended { is_bad },
    };
    shift.observe(&observation, baseline, Instant::now());
}

fn order(seconds: u64) -> ShiftOrder {
    ShiftOrder {
        service: "llm".to_owned(),
        target: "v2".to_owned(),
        duration: Duration::from_secs(seconds),
        phase: None,
        started_ms: None,
        revision: revision(5),
    }
}
