//! Load: a data centre most of whose hosts stop at once, so that the balancer goes on sending them new streams.

mod fleet;

use std::time::Duration;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::in_flight::AttemptOutcome;
use rstest::rstest;

use fleet::Bed;
use fleet::bed;
use fleet::good;
use fleet::millis;

const SHORT: u64 = 25;
const LONG: u64 = 400;

/// A host that has served streams of both lengths, `token` for each token of output.
fn seasoned_bed(token: Duration) -> Bed {
    let mut bed = bed();
    for number in 0..40 {
        let tokens = if number % 2 == 0 { SHORT } else { LONG };
        let mut arrival = bed.arrival("/chat/1");
        arrival.max_output_tokens = tokens;
        let mut flight = bed.admit(arrival).expect("admitted");
        let attempt = bed.send(&mut flight);
        assert_eq!(bed.head(&mut flight, &attempt, good()), HeadVerdict::Deliver);
        bed.pass(token * u32::try_from(tokens + 40).expect("small"));
        bed.end(&mut flight, &attempt, AttemptOutcome::Whole);
    }
    bed
}

#[rstest]
#[case::short_near_the_end(SHORT, 2_500, true)]
#[case::short_without_room_for_a_repeat(SHORT, 1_500, false)]
#[case::long_near_the_end(LONG, 1_500, false)]
#[case::long_without_room_for_a_repeat(LONG, 4_500, false)]
#[case::long_before(LONG, 5_100, true)]
#[case::short_at_the_end(SHORT, 300, false)]
#[case::unknown_length(0, 4_500, false)]
fn a_stopping_host_admits_streams_that_it_expects_to_finish(
    #[case] tokens: u64,
    #[case] left_ms: u64,
    #[case] is_admitted: bool,
) {
    let mut bed = seasoned_bed(millis(5));
    bed.dispatcher.stop(bed.now + millis(left_ms));
    let mut arrival = bed.arrival("/chat/1");
    arrival.max_output_tokens = tokens;
    match bed.admit(arrival) {
        Ok(_) => assert!(is_admitted, "admitted"),
        Err(refusal) => {
            assert!(!is_admitted, "refused");
            assert_eq!(refusal.kind, ErrorKind::Stopping);
            assert!(refusal.retry_after.is_some());
        }
    }
}

#[test]
fn streams_that_take_long_under_load_are_refused_in_time() {
    let mut bed = seasoned_bed(millis(20));
    bed.dispatcher.stop(bed.now + millis(7_000));
    let mut arrival = bed.arrival("/chat/1");
    arrival.max_output_tokens = LONG;
    assert!(bed.admit(arrival).is_err(), "a stream of nine seconds was admitted");
}
