//! Probability that an answer is acceptable, given its engine's confidence and its rating.
//!
//! The confidences of acceptable and of unacceptable answers are modelled as two normal distributions of equal standard
//! deviation, and a rating as wrong with a fixed probability. These four parameters are fitted together with each
//! class's share of acceptable answers by expectation maximisation (Dempster, Laird and Rubin, 1977). The error of
//! ratings is treated as in Dawid and Skene (1979): the true quality of an answer is never known, ratings and
//! confidences are only evidence of it. The equal standard deviation makes the probability increase with the confidence
//! everywhere.

use crate::shared::ConfidenceSums;

/// Smallest standard deviation, relative to the distance between the means.
const MIN_RELATIVE_SD: f64 = 0.2;
/// Prior probability that a rating is wrong.
const PRIOR_RATING_ERROR: f64 = 0.05;
/// Number of ratings that the prior counts as.
const PRIOR_RATINGS: f64 = 100.0;
const MAX_RATING_ERROR: f64 = 0.2;

/// Parameters of the confidence distributions and the error rate of ratings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Mixture {
    /// Mean confidence of acceptable answers.
    pub(crate) acceptable: f64,
    /// Mean confidence of unacceptable answers.
    pub(crate) unacceptable: f64,
    /// Standard deviation of both distributions.
    pub(crate) sd: f64,
    /// Probability that a rating is wrong.
    pub(crate) rating_error: f64,
}

/// Answers whose confidence reaches a threshold, as shares of all answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Accepted {
    pub(crate) share: f64,
    /// Acceptable answers among them, as a share of all answers.
    pub(crate) acceptable: f64,
}

impl Mixture {
    /// Initial parameters, given the mean and standard deviation of all confidences.
    pub(crate) fn initial(mean: f64, sd: f64) -> Mixture {
        let sd = sd.max(1e-6);
        Mixture {
            acceptable: mean + 0.3 * sd,
            unacceptable: mean - 1.5 * sd,
            sd,
            rating_error: PRIOR_RATING_ERROR,
        }
    }

    /// Probability that an answer is acceptable, given the share of acceptable answers in its class and, where known,
    /// its confidence and rating.
    pub(crate) fn posterior(
        &self,
        share: f64,
        confidence: Option<f64>,
        acceptable: Option<bool>,
    ) -> f64 {
        let share = share.clamp(1e-4, 1.0 - 1e-4);
        let mut logit = (share / (1.0 - share)).ln();
        if let Some(confidence) = confidence {
            let middle = 0.5 * (self.acceptable + self.unacceptable);
            let distance = self.acceptable - self.unacceptable;
            logit += (confidence - middle) * distance / (self.sd * self.sd);
        }
        if let Some(acceptable) = acceptable {
            let rating_error = self.rating_error.max(1e-3);
            let evidence = ((1.0 - rating_error) / rating_error).ln();
            logit += if acceptable { evidence } else { -evidence };
        }
        1.0 / (1.0 + (-logit).exp())
    }

    /// Answers that a confidence threshold accepts in a class with the given share of acceptable answers.
    pub(crate) fn accepted(&self, share: f64, threshold: f64) -> Accepted {
        let acceptable = share * upper_tail((threshold - self.acceptable) / self.sd);
        let unacceptable = (1.0 - share) * upper_tail((threshold - self.unacceptable) / self.sd);
        Accepted { share: acceptable + unacceptable, acceptable }
    }

    /// Candidate confidence thresholds, in ascending order.
    pub(crate) fn thresholds(&self, count: usize) -> impl Iterator<Item = f64> + use<> {
        let low = self.unacceptable - 0.5 * self.sd;
        let high = self.acceptable + 1.5 * self.sd;
        let step = (high - low) / count.max(2) as f64;
        (0..count).map(move |index| low + step * index as f64)
    }
}

impl ConfidenceSums {
    /// Adds an answer that is acceptable with the given probability.
    pub(crate) fn add(&mut self, probability: f64, confidence: Option<f64>, rating: Option<bool>) {
        if let Some(confidence) = confidence {
            self.acceptable.add(probability, confidence);
            self.unacceptable.add(1.0 - probability, confidence);
        }
        if let Some(acceptable) = rating {
            self.rated += 1.0;
            self.wrong += if acceptable { 1.0 - probability } else { probability };
        }
    }

    /// Maximisation step. Keeps the current distributions while either kind of answer has too little weight.
    pub(crate) fn mixture(&self, current: Mixture) -> Mixture {
        /// Weight of answers of each kind that is needed to fit the distributions.
        const MIN_WEIGHT: f64 = 5.0;
        let rating_error =
            (self.wrong + PRIOR_RATING_ERROR * PRIOR_RATINGS) / (self.rated + PRIOR_RATINGS);
        let rating_error = rating_error.min(MAX_RATING_ERROR);
        if self.acceptable.weight < MIN_WEIGHT || self.unacceptable.weight < MIN_WEIGHT {
            return Mixture { rating_error, ..current };
        }
        let acceptable = self.acceptable.mean();
        let unacceptable = self.unacceptable.mean();
        let weight = self.acceptable.weight + self.unacceptable.weight;
        let within = self.acceptable.squared_deviations() + self.unacceptable.squared_deviations();
        let min_sd = MIN_RELATIVE_SD * (acceptable - unacceptable).abs();
        let sd = (within / weight).max(0.0).sqrt().max(min_sd).max(1e-6);
        Mixture { acceptable, unacceptable, sd, rating_error }
    }
}

/// Upper tail probability of the standard normal distribution, by formula 7.1.26 of Abramowitz and Stegun; the error is
/// below 1e-7.
fn upper_tail(z: f64) -> f64 {
    let x = z.abs() / std::f64::consts::SQRT_2;
    let t = 1.0 / (1.0 + 0.327_591_1 * x);
    let terms = [0.254_829_592, -0.284_496_736, 1.421_413_741, -1.453_152_027, 1.061_405_429];
    let series = terms.iter().rev().fold(0.0, |sum, term| (sum + term) * t);
    let tail = 0.5 * series * (-x * x).exp();
    if z >= 0.0 { tail } else { 1.0 - tail }
}
