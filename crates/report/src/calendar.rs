//! Minutes since the Unix epoch and their formatting in UTC.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Whole minutes since the Unix epoch.
pub type Minute = u64;

pub(crate) const MINUTES_PER_HOUR: u64 = 60;
const MINUTES_PER_DAY: u64 = 24 * MINUTES_PER_HOUR;

/// Minute that contains a time; 0 for times before the epoch.
pub(crate) fn minute_of(time: SystemTime) -> Minute {
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs() / 60)
}

/// Whole minutes in a duration.
pub(crate) fn minutes(time: Duration) -> u64 {
    time.as_secs() / 60
}

/// Formats a minute as `2026-12-03 22:25`.
pub(crate) fn minute_text(minute: Minute) -> String {
    let (year, month, day) = civil_date(minute / MINUTES_PER_DAY);
    let of_day = minute % MINUTES_PER_DAY;
    let (hour, rest) = (of_day / MINUTES_PER_HOUR, of_day % MINUTES_PER_HOUR);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{rest:02}")
}

/// Formats a minute as `12-03 22h`, for axis labels.
pub(crate) fn hour_text(minute: Minute) -> String {
    let (_, month, day) = civil_date(minute / MINUTES_PER_DAY);
    let hour = minute % MINUTES_PER_DAY / MINUTES_PER_HOUR;
    format!("{month:02}-{day:02} {hour:02}h")
}

/// Converts days since the epoch to year, month and day, after Howard Hinnant, "chrono-Compatible Low-Level Date
/// Algorithms" (`civil_from_days`); supports only days from the epoch on.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // Days are counted from 0000-03-01, so that a leap day is the last day of its year.
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
