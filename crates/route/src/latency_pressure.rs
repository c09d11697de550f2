//! Latency pressure: time to the first event of a service's requests relative to the latency target.
//!
//! Pattern: brownout (Klein, Maggio, Årzén and Hernández-Rodriguez, "Brownout: building more robust cloud
//! applications", 2014). Under latency pressure, low-confidence answers of small models are kept rather than replaced,
//! so that large models do not use the capacity that other requests need. The configured floors apply again once the
//! pressure has decayed.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new sample.
const WEIGHT: f64 = 0.1;
/// Half-life of the pressure without new samples.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Pressure up to which the floors apply in full, as a fraction of the latency target.
const FULL_FLOOR_PRESSURE: f64 = 0.2;
/// Pressure from which on the floors are zero, as a fraction of the latency target.
const ZERO_FLOOR_PRESSURE: f64 = 0.5;
/// Larger samples are clamped to this value.
const SAMPLE_MAX: f64 = 2.0;

/// Moving average of one service's latency pressure: 1 when first events take as long as the latency target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyPressure {
    value: f64,
    at: Instant,
}

impl LatencyPressure {
    pub(crate) fn new(now: Instant) -> LatencyPressure {
        LatencyPressure { value: 0.0, at: now }
    }

    /// Records the time to a first event as a fraction of the target; 1 if none arrived or the server was full.
    pub(crate) fn sample(&mut self, share_of_target: f64, now: Instant) {
        let value = self.value(now);
        self.value = value + WEIGHT * (share_of_target.min(SAMPLE_MAX) - value);
        self.at = now;
    }

    pub(crate) fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Fraction of the cascade's confidence floors that applies, from 0 to 1.
    pub(crate) fn floor_part(&self, now: Instant) -> f64 {
        ((ZERO_FLOOR_PRESSURE - self.value(now)) / (ZERO_FLOOR_PRESSURE - FULL_FLOOR_PRESSURE))
            .clamp(0.0, 1.0)
    }
}
