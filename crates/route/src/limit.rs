//! Adaptive limit on concurrent attempts of one version at one server.
//!
//! Additive increase and multiplicative decrease (Chiu and Jain, "Analysis of the increase and decrease algorithms
//! for congestion avoidance in computer networks", 1989) on latency relative to what the server showed at its best:
//! an attempt slower than `TOLERANCE` times the expected latency is taken as congestion, and so is a rejection.

/// Limit before anything is known, for servers that state no slots.
const INITIAL_LIMIT: f64 = 16.0;
/// Highest limit for servers that state no slots.
const MAX_LIMIT: f64 = 256.0;
const MIN_LIMIT: f64 = 1.0;
const DECREASE: f64 = 0.9;
/// Latency, relative to the expected, above which a server counts as congested.
const TOLERANCE: f64 = 4.0;

/// Limit on attempts under way, and their number.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    limit: f64,
    max: f64,
    adaptive: bool,
    in_flight: u32,
    /// Attempts that end before the next decrease is allowed.
    hold: u32,
}

impl Limiter {
    /// A limiter for a server with a number of slots; 0 where it states none.
    pub(crate) fn new(slots: u32, adaptive: bool) -> Limiter {
        let max = if slots == 0 { MAX_LIMIT } else { f64::from(slots) };
        let limit = if adaptive { INITIAL_LIMIT.min(max) } else { max };
        Limiter { limit, max, adaptive, in_flight: 0, hold: 0 }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit as u32
    }

    pub(crate) fn has_room(&self) -> bool {
        self.in_flight < self.limit()
    }

    pub(crate) fn begin(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.hold = self.hold.saturating_sub(1);
    }

    /// Takes in an attempt's latency relative to the expected.
    pub(crate) fn observe(&mut self, ratio: f64) {
        if ratio > TOLERANCE {
            self.decrease();
            return;
        }
        // An unused limit proves nothing.
        let used = f64::from(self.in_flight + 1) * 2.0 > self.limit;
        if self.adaptive && used {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Lowers the limit, at most once for each round of attempts under way.
    pub(crate) fn decrease(&mut self) {
        if !self.adaptive || self.hold > 0 {
            return;
        }
        self.hold = self.in_flight;
        self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
    }
}
