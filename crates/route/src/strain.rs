//! How long requests of a service wait for their first event, beside what callers want.
//!
//! Pattern: brownout (Klein, Maggio, Årzén and Hernández-Rodriguez, "Brownout: building more robust cloud
//! applications", 2014). While engines are strained, weak answers of small models are kept rather than replaced, so that
//! large models do not take the time of everybody else; with the strain gone the ordinary floors hold again.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new sample.
const WEIGHT: f64 = 0.1;
/// Time in which half of the strain is forgotten without new samples.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Strain up to which the floors hold in full, and from which on they are zero, as shares of the latency target.
const EASY: f64 = 0.2;
const FULL: f64 = 0.5;
/// Largest sample that is taken in.
const SAMPLE_MAX: f64 = 2.0;

/// Strain of one service: 1 when first events take as long as callers bear.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Strain {
    value: f64,
    at: Instant,
}

impl Strain {
    pub(crate) fn new(now: Instant) -> Strain {
        Strain { value: 0.0, at: now }
    }

    /// Takes in how long a first event took, or that none came or the server was full (1).
    pub(crate) fn sample(&mut self, share_of_target: f64, now: Instant) {
        let value = self.value(now);
        self.value = value + WEIGHT * (share_of_target.min(SAMPLE_MAX) - value);
        self.at = now;
    }

    pub(crate) fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Part of the cascade's floors that holds, from 0 to 1.
    pub(crate) fn floor_part(&self, now: Instant) -> f64 {
        ((FULL - self.value(now)) / (FULL - EASY)).clamp(0.0, 1.0)
    }
}
