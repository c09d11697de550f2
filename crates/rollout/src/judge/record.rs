//! Long-term share of bad outcomes, with exponential forgetting.

use crate::judge::sequential::Count;

/// A share learnt from observations, starting at a prior.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    bad: f64,
    all: f64,
    window: f64,
}

impl Record {
    /// Starts at the share `prior`, worth `weight` observations; about `window` observations are remembered.
    #[must_use]
    pub fn new(prior: f64, weight: f64, window: f64) -> Record {
        Record { bad: prior * weight, all: weight, window }
    }

    /// Learns from observations.
    pub fn add(&mut self, count: Count) {
        self.bad += count.bad.min(count.all) as f64;
        self.all += count.all as f64;
        if self.all > self.window {
            self.bad *= self.window / self.all;
            self.all = self.window;
        }
    }

    #[must_use]
    pub fn share(&self) -> f64 {
        self.bad / self.all
    }

    /// Observations behind the share, the prior's included.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.all
    }
}
