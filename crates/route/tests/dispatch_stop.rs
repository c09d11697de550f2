//! Load test: most hosts of a data centre stop at once, so that the load balancer keeps sending them new streams.

mod fleet;

use std::time::Duration;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::in_flight::AttemptOutcome;
use rstest::rstest;

use fleet::Harness;
use fleet::good_head;
use fleet::harness;
use fleet::millis;

/// Output tokens of a short stream.
const SHORT: u64 = 25;
/// Output tokens of a long stream.
const LONG: u64 = 400;

/// A host that has completed streams of both lengths; `token` is the time per output token.
fn warmed_up_harness(token: Duration) -> Harness {
    let mut harness = harness();
    for number in 0..40 {
        let tokens = if number % 2 == 0 { SHORT } else { LONG };
        let mut arrival = harness.arrival("/chat/1");
        arrival.max_output_tokens = tokens;
        let mut req = harness.admit(arrival).expect("admitted");
        let attempt = harness.send(&mut req);
        assert_eq!(harness.head(&mut req, &attempt, good_head()), HeadVerdict::Deliver);
        harness.advance(token * u32::try_from(tokens + 40).expect("small"));
        harness.end(&mut req, &attempt, AttemptOutcome::Whole);
    }
    harness
}

#[rstest]
#[case::short_near_the_exit(SHORT, 2_500, true)]
#[case::short_without_time_for_a_second_run(SHORT, 1_500, false)]
#[case::long_near_the_exit(LONG, 1_500, false)]
#[case::long_without_time_for_a_second_run(LONG, 4_500, false)]
#[case::long_before_the_exit(LONG, 5_100, true)]
#[case::short_at_the_exit(SHORT, 300, false)]
#[case::unknown_length(0, 4_500, false)]
fn a_stopping_host_admits_streams_that_it_expects_to_finish(
    #[case] tokens: u64,
    #[case] left_ms: u64,
    #[case] is_admitted: bool,
) {
    let mut harness = warmed_up_harness(millis(5));
    let ends_at = harness.now + millis(left_ms);
    harness.dispatcher.stop(ends_at, ends_at);
    let mut arrival = harness.arrival("/chat/1");
    arrival.max_output_tokens = tokens;
    match harness.admit(arrival) {
        Ok(_) => assert!(is_admitted, "admitted"),
        Err(refusal) => {
            assert!(!is_admitted, "refused");
            assert_eq!(refusal.kind, ErrorKind::Stopping);
            assert!(refusal.retry_after.is_some());
        }
    }
}

#[test]
fn streams_that_are_slow_under_load_are_refused() {
    let mut harness = warmed_up_harness(millis(20));
    let ends_at = harness.now + millis(7_000);
    harness.dispatcher.stop(ends_at, ends_at);
    let mut arrival = harness.arrival("/chat/1");
    arrival.max_output_tokens = LONG;
    assert!(harness.admit(arrival).is_err(), "a stream of nine seconds was admitted");
}

/// Guards against streams that a stopping host starts again at a larger model and then cuts.
#[rstest]
#[case::before_the_exit(7_600, HeadVerdict::Drop(AttemptOutcome::Dropped))]
#[case::near_the_exit(4_500, HeadVerdict::Deliver)]
fn a_stopping_host_keeps_a_weak_answer_unless_a_larger_model_can_finish(
    #[case] left_ms: u64,
    #[case] verdict: HeadVerdict,
) {
    let mut harness = warmed_up_harness(millis(5));
    let mut arrival = harness.arrival("/chat/1");
    arrival.max_output_tokens = LONG;
    let mut req = harness.admit(arrival).expect("admitted");
    let attempt = harness.send(&mut req);
    let ends_at = harness.now + millis(left_ms);
    harness.dispatcher.stop(ends_at, ends_at);
    let weak = AnswerHead { confidence: Some(1), ..good_head() };
    assert_eq!(harness.head(&mut req, &attempt, weak), verdict);
    let is_kept = verdict == HeadVerdict::Deliver;
    assert_eq!(req.low_confidence_answer().is_some(), is_kept);
}

/// Guards against a late stream that a stopping host admits by its usual time and then cuts.
#[rstest]
#[case::while_lingering(2_900, 5_000, true)]
#[case::afterwards(3_300, 5_000, false)]
#[case::afterwards_with_a_deadline_before_the_exit(3_300, 4_200, true)]
fn after_the_linger_a_stopping_host_admits_only_streams_that_end_in_any_case(
    #[case] since_signal_ms: u64,
    #[case] caller_timeout_ms: u64,
    #[case] is_admitted: bool,
) {
    let mut harness = warmed_up_harness(millis(5));
    let signalled = harness.now;
    harness.dispatcher.stop(signalled + millis(3_000), signalled + millis(7_600));
    harness.advance(millis(since_signal_ms));
    let mut arrival = harness.arrival("/chat/1");
    arrival.max_output_tokens = SHORT;
    arrival.caller_timeout = Some(millis(caller_timeout_ms));
    assert_eq!(harness.admit(arrival).is_ok(), is_admitted);
}
