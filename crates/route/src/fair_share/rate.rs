//! Rates of events that decay exponentially.

use std::time::Duration;
use std::time::Instant;

/// Time constant of a rate: short enough that a lent share is reclaimed within a second.
const TIME_CONSTANT: Duration = Duration::from_millis(1_000);
/// Time constant of a slow rate: what the servers take varies while shares settle, their capacity does not.
const SLOW_TIME_CONSTANT: Duration = Duration::from_millis(3_000);
/// Shortest time over which a slow rate is measured.
const MIN_SPAN: Duration = Duration::from_millis(500);
/// Amount below which a rate is of no use.
const SPENT: f64 = 1e-3;

/// Amounts of about the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    sum: Decaying,
}

/// Amounts of the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowRate {
    sum: Decaying,
    since: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    amount: f64,
    at: Option<Instant>,
}

impl Rate {
    pub(super) fn add(&mut self, amount: f64, now: Instant) {
        self.sum.add(amount, TIME_CONSTANT, now);
    }

    /// Amount of about the last second.
    pub(super) fn amount(&self, now: Instant) -> f64 {
        self.sum.amount(TIME_CONSTANT, now)
    }

    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.amount(now) / TIME_CONSTANT.as_secs_f64()
    }

    pub(super) fn is_spent(&self, now: Instant) -> bool {
        self.amount(now) < SPENT
    }
}

impl SlowRate {
    pub(super) fn add(&mut self, amount: f64, now: Instant) {
        self.since.get_or_insert(now);
        self.sum.add(amount, SLOW_TIME_CONSTANT, now);
    }

    pub(super) fn per_second(&self, now: Instant) -> f64 {
        let constant = SLOW_TIME_CONSTANT.as_secs_f64();
        let span = self.since.map_or(MIN_SPAN, |since| now.saturating_duration_since(since));
        // Nothing is known from before the first event.
        let known = 1.0 - (-span.max(MIN_SPAN).as_secs_f64() / constant).exp();
        self.sum.amount(SLOW_TIME_CONSTANT, now) / (constant * known)
    }
}

impl Decaying {
    fn add(&mut self, amount: f64, time_constant: Duration, now: Instant) {
        self.amount = (self.amount(time_constant, now) + amount).max(0.0);
        self.at = Some(now);
    }

    fn amount(&self, time_constant: Duration, now: Instant) -> f64 {
        self.at.map_or(0.0, |at| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            self.amount * (-age / time_constant.as_secs_f64()).exp()
        })
    }
}
