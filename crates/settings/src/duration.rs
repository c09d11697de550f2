//! Durations in settings: a whole number and its unit.

use std::time::Duration;

/// Text of `expected` in faults of durations.
pub(crate) const DURATION_EXPECTED: &str =
    "a whole number with a unit: ms, s, m or h, such as 300ms or 2s";

/// Parses a duration such as `300ms`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let unit_ms: u64 = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60 * 1_000,
        "h" => 60 * 60 * 1_000,
        _ => return None,
    };
    Some(Duration::from_millis(number.checked_mul(unit_ms)?))
}
