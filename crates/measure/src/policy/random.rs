//! Samples of probability distributions from a seeded generator.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Exponentially distributed value with the given mean.
pub fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}

/// Standard normal value, by the Box-Muller transform.
pub fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = rng.random();
    let angle: f64 = rng.random();
    (-2.0 * (1.0 - radius).ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
}

/// Number of trials until the first success, with the given mean; from 1 to 1,000.
pub fn geometric(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    let stop = 1.0 / mean.max(1.0);
    let mut trials = 1;
    while rng.random::<f64>() >= stop && trials < 1_000 {
        trials += 1;
    }
    trials
}

/// Token count with the given mean, log-normally distributed so that a few requests are much longer.
pub fn tokens(rng: &mut ChaCha8Rng, mean: u32) -> u32 {
    const SIGMA: f64 = 0.3;
    let factor = (SIGMA * normal(rng) - SIGMA * SIGMA / 2.0).exp();
    ((f64::from(mean) * factor).round() as u32).max(1)
}

/// Draws indices with given weights.
#[derive(Clone, Debug)]
pub struct Weighted {
    cumulative: Vec<f64>,
}

impl Weighted {
    #[must_use]
    pub fn new(weights: impl IntoIterator<Item = f64>) -> Weighted {
        let mut sum = 0.0;
        let cumulative = weights.into_iter().map(|weight| {
            sum += weight;
            sum
        });
        Weighted { cumulative: cumulative.collect() }
    }

    /// Zipf distribution: weights are the rank to the power of `-exponent`.
    #[must_use]
    pub fn zipf(count: usize, exponent: f64) -> Weighted {
        Weighted::new((1..=count).map(|rank| (rank as f64).powf(-exponent)))
    }

    pub fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(0.0);
        let point = rng.random::<f64>() * total;
        let index = self.cumulative.partition_point(|sum| *sum <= point);
        index.min(self.cumulative.len().saturating_sub(1))
    }
}

/// Cumulative distribution function of the standard normal (Abramowitz and Stegun, 26.2.17).
#[must_use]
pub fn normal_cdf(x: f64) -> f64 {
    const COEFFICIENTS: [f64; 5] =
        [0.319_381_530, -0.356_563_782, 1.781_477_937, -1.821_255_978, 1.330_274_429];
    let t = 1.0 / (1.0 + 0.231_641_9 * x.abs());
    let polynomial = COEFFICIENTS.iter().rev().fold(0.0, |sum, c| (sum + c) * t);
    let density = (-x * x / 2.0).exp() / std::f64::consts::TAU.sqrt();
    let upper = density * polynomial;
    if x >= 0.0 { 1.0 - upper } else { upper }
}
