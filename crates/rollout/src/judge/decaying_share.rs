//! Share of bad outcomes with exponential forgetting.

use crate::judge::sequential::OutcomeCount;

/// Share estimated from a prior and observations, where old observations lose weight.
#[derive(Clone, Copy, Debug)]
pub struct DecayingShare {
    bad: f64,
    total: f64,
    window: f64,
}

impl DecayingShare {
    /// Starts at the share `prior`, which counts as `weight` observations; about `window` observations are remembered.
    #[must_use]
    pub fn new(prior: f64, weight: f64, window: f64) -> DecayingShare {
        DecayingShare { bad: prior * weight, total: weight, window }
    }

    /// Adds observations.
    pub fn add(&mut self, count: OutcomeCount) {
        self.bad += count.bad.min(count.total) as f64;
        self.total += count.total as f64;
        if self.total > self.window {
            self.bad *= self.window / self.total;
            self.total = self.window;
        }
    }

    #[must_use]
    pub fn share(&self) -> f64 {
        self.bad / self.total
    }

    /// Effective number of observations, including the prior's.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.total
    }
}
