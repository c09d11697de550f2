//! Limits this host's calls to the store with a token bucket, and with jittered exponential backoff while calls fail.
//!
//! While the store fails, one call at a time is admitted as a probe, so that many hosts do not overload a store that
//! recovers.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreResult;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const BACKOFF_BASE: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Consecutive successes after which calls are no longer made one at a time.
const REOPEN_AFTER_SUCCESSES: u32 = 2;
/// Cap on the failure count, well past the number of doublings that reach [`MAX_BACKOFF`].
const FAILURE_COUNT_CAP: u32 = 16;

/// Admits calls to the store.
#[derive(Clone, Debug)]
pub struct StoreGate {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
    closed_until: Option<Instant>,
    failures: u32,
    successes: u32,
    in_flight: u32,
}

impl StoreGate {
    /// Creates a gate that admits `rate` calls per second and bursts of `burst` calls.
    #[must_use]
    pub fn new(rate: f64, burst: f64) -> StoreGate {
        StoreGate {
            rate,
            burst,
            tokens: burst,
            refilled_at: None,
            closed_until: None,
            failures: 0,
            successes: 0,
            in_flight: 0,
        }
    }

    /// Admits a call if one may be made now, taking a token.
    #[must_use]
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let closed = self.closed_until.is_some_and(|until| now < until);
        let probing = self.failures > 0 && self.in_flight > 0;
        if closed || probing || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        true
    }

    /// Records the result of a call.
    pub fn finish(&mut self, result: &StoreResult, now: Instant, rng: &mut ChaCha8Rng) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            Ok(_) | Err(StoreError::Refused { .. }) => self.succeed(),
            Err(StoreError::Throttled { retry_after_ms }) => {
                self.fail(now, Duration::from_millis(*retry_after_ms), rng);
            }
            Err(StoreError::Unavailable | StoreError::Unknown) => {
                self.fail(now, Duration::ZERO, rng);
            }
        }
    }

    /// Whether calls have been failing.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// When a call that is not admitted now may be retried; `None` while a probe is in progress.
    #[must_use]
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        if self.failures > 0 && self.in_flight > 0 {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        let refill = now + Duration::from_secs_f64(missing / self.rate) + Duration::from_millis(1);
        Some(self.closed_until.map_or(refill, |until| until.max(refill)))
    }

    fn refill(&mut self, now: Instant) {
        if let Some(at) = self.refilled_at {
            let elapsed = now.saturating_duration_since(at).as_secs_f64();
            self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        }
        self.refilled_at = Some(now);
    }

    fn succeed(&mut self) {
        self.closed_until = None;
        self.successes += 1;
        if self.successes >= REOPEN_AFTER_SUCCESSES {
            self.failures = 0;
        }
    }

    fn fail(&mut self, now: Instant, min_delay: Duration, rng: &mut ChaCha8Rng) {
        self.successes = 0;
        self.failures = (self.failures + 1).min(FAILURE_COUNT_CAP);
        let ceiling = BACKOFF_BASE.saturating_mul(1 << self.failures).min(MAX_BACKOFF);
        let jittered = ceiling.mul_f64(rng.random_range(0.5..1.0));
        self.closed_until = Some(now + min_delay + jittered);
    }
}
