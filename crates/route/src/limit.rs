//! Adaptive limit on concurrent attempts of one version at one server.
//!
//! Additive increase and multiplicative decrease (Chiu and Jain, "Analysis of the increase and decrease algorithms
//! for congestion avoidance in computer networks", 1989) on latency relative to the server's best: an attempt slower
//! than `CONGESTION_RATIO` times the expected latency counts as congestion, and so does a rejection.

/// Initial limit, lowered to the server's slots where it states fewer.
const INITIAL_LIMIT: f64 = 16.0;
/// Upper limit for servers that state no slots.
const MAX_LIMIT: f64 = 256.0;
const MIN_LIMIT: f64 = 1.0;
const DECREASE_FACTOR: f64 = 0.9;
/// Ratio of measured to expected latency above which a server counts as congested.
const CONGESTION_RATIO: f64 = 4.0;

/// Concurrency limit and the number of attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimiter {
    limit: f64,
    max: f64,
    adaptive: bool,
    in_flight: u32,
    /// Attempts that must end before the next decrease is allowed.
    holdoff: u32,
}

impl ConcurrencyLimiter {
    /// Creates a limiter for a server; `slots` is 0 where the server states none.
    pub(crate) fn new(slots: u32, adaptive: bool) -> ConcurrencyLimiter {
        let max = if slots == 0 { MAX_LIMIT } else { f64::from(slots) };
        let limit = if adaptive { INITIAL_LIMIT.min(max) } else { max };
        ConcurrencyLimiter { limit, max, adaptive, in_flight: 0, holdoff: 0 }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit as u32
    }

    pub(crate) fn has_capacity(&self) -> bool {
        self.in_flight < self.limit()
    }

    pub(crate) fn begin(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.holdoff = self.holdoff.saturating_sub(1);
    }

    /// Records the ratio of an attempt's latency to the expected latency.
    pub(crate) fn observe(&mut self, ratio: f64) {
        if ratio > CONGESTION_RATIO {
            self.decrease();
            return;
        }
        // A limit that is not used at least by half gives no evidence that a higher one would be safe.
        let used = f64::from(self.in_flight + 1) * 2.0 > self.limit;
        if self.adaptive && used {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Lowers the limit, at most once per round of attempts in flight.
    pub(crate) fn decrease(&mut self) {
        if !self.adaptive || self.holdoff > 0 {
            return;
        }
        self.holdoff = self.in_flight;
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
