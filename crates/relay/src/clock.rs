//! Wall-clock time.

use std::time::SystemTime;

/// Milliseconds since the Unix epoch; 0 if the clock is set before it.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
