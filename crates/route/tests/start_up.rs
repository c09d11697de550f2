//! How long requests wait for the first store updates of a starting host.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_route::start_up::StartUp;
use rstest::rstest;

#[rstest]
#[case::plain_request(Some(1_000), 250)]
#[case::stream(Some(25_000), 1_000)]
#[case::unknown(None, 1_000)]
fn a_request_waits_a_fraction_of_its_caller_timeout(
    #[case] caller_timeout: Option<u64>,
    #[case] wait: u64,
) {
    let now = Instant::now();
    let start_up = StartUp::new(now);
    let until = start_up.wait_until(now, caller_timeout.map(Duration::from_millis));
    assert_eq!(until - now, Duration::from_millis(wait));
}

#[test]
fn a_request_does_not_wait_once_the_first_updates_are_overdue() {
    let now = Instant::now();
    let start_up = StartUp::new(now);
    let late = now + Duration::from_secs(5);
    assert!(start_up.wait_until(late, Some(Duration::from_secs(20))) <= late);
}
