//! How long requests wait for the first news of a host that starts.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_route::start_up::StartUp;
use rstest::rstest;

#[rstest]
#[case::plain_call(Some(1_000), 250)]
#[case::stream(Some(25_000), 1_000)]
#[case::unknown(None, 1_000)]
fn a_request_waits_a_part_of_its_patience(#[case] patience: Option<u64>, #[case] wait: u64) {
    let now = Instant::now();
    let start_up = StartUp::new(now);
    let until = start_up.wait_until(now, patience.map(Duration::from_millis));
    assert_eq!(until - now, Duration::from_millis(wait));
}

#[test]
fn a_request_does_not_wait_once_the_news_are_overdue() {
    let now = Instant::now();
    let start_up = StartUp::new(now);
    let late = now + Duration::from_secs(5);
    assert!(start_up.wait_until(late, Some(Duration::from_secs(20))) <= late);
}
