//! Requests that arrive while the host is starting.
//!
//! Pattern: bounded wait for a dependency. A host that starts, above all with all others after a loss of power, has
//! callers before it has routes and servers. Their news are a fraction of a second away, and callers repeat a request
//! once or twice only, so a short wait serves them better than a refusal. A host that cannot get the news refuses at
//! once.

use std::time::Duration;
use std::time::Instant;

/// Time after the start in which the first news are expected; a list of the store takes at most this long.
const FIRST_NEWS: Duration = Duration::from_secs(2);
/// Part of a caller's patience that the wait may take, so that a refused caller can still come back.
const PATIENCE_SHARE: f64 = 0.25;
/// Longest wait of one request: callers drop a request that was not read within a second.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// The start of an entry host.
#[derive(Clone, Copy, Debug)]
pub struct StartUp {
    began: Instant,
}

impl StartUp {
    #[must_use]
    pub fn new(now: Instant) -> StartUp {
        StartUp { began: now }
    }

    /// Until when a request waits for routes and servers.
    #[must_use]
    pub fn wait_until(&self, arrived: Instant, patience: Option<Duration>) -> Instant {
        let wait = patience.map_or(WAIT_MAX, |patience| patience.mul_f64(PATIENCE_SHARE));
        (arrived + wait.min(WAIT_MAX)).min(self.began + FIRST_NEWS)
    }
}
