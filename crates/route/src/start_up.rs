//! Requests that arrive while the host is starting.
//!
//! Pattern: bounded wait for a dependency. A starting host receives requests before it has routes and servers,
//! especially when all hosts start together after a loss of power. The first store updates arrive within a fraction of
//! a second, and callers retry only once or twice, so a short wait is better for them than a refusal. Once the first
//! updates are overdue, requests are refused at once.

use std::time::Duration;
use std::time::Instant;

/// Time after the start within which the first store updates are expected; listing the store takes at most this long.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the caller timeout that the wait may take, so that a refused caller still has time to retry.
const CALLER_TIMEOUT_SHARE: f64 = 0.25;
/// Maximum wait of one request: callers abort a request that was not read within a second.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// Start-up phase of an entry host.
#[derive(Clone, Copy, Debug)]
pub struct StartUp {
    started: Instant,
}

impl StartUp {
    #[must_use]
    pub fn new(now: Instant) -> StartUp {
        StartUp { started: now }
    }

    /// Time until which a request waits for routes and servers.
    #[must_use]
    pub fn wait_until(&self, arrived: Instant, caller_timeout: Option<Duration>) -> Instant {
        let wait = caller_timeout.map_or(WAIT_MAX, |timeout| timeout.mul_f64(CALLER_TIMEOUT_SHARE));
        (arrived + wait.min(WAIT_MAX)).min(self.started + FIRST_UPDATE_TIMEOUT)
    }
}
