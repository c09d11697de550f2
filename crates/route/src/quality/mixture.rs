//! What an engine's confidence and a rating say about an answer.
//!
//! Confidences of acceptable and of unacceptable answers are taken as two normal distributions of equal spread, and a
//! rating as wrong with a fixed probability. All four figures are learned together with each class's share of
//! acceptable answers by expectation maximisation (Dempster, Laird and Rubin, 1977), with the rating's error treated
//! as in Dawid and Skene (1979): no answer's truth is known, ratings and confidences are both only signs of it. Equal
//! spread makes the probability grow with the confidence everywhere.

use crate::shared::ConfidenceSums;

/// Smallest spread, relative to the distance of the means.
const MIN_RELATIVE_SD: f64 = 0.2;
/// Probability of a wrong rating before anything is known, and the ratings that this counts as.
const PRIOR_WRONG: f64 = 0.05;
const PRIOR_RATINGS: f64 = 100.0;
const MAX_WRONG: f64 = 0.2;

/// Distributions of confidence and the error of ratings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Mixture {
    pub(crate) acceptable: f64,
    pub(crate) unacceptable: f64,
    pub(crate) sd: f64,
    /// Probability that a rating is wrong.
    pub(crate) wrong: f64,
}

/// Answers above a threshold of confidence, as shares of all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Accepted {
    pub(crate) share: f64,
    /// Acceptable ones among them, as a share of all.
    pub(crate) good: f64,
}

impl Mixture {
    /// Where to start from, given the mean and spread of all confidences.
    pub(crate) fn start(mean: f64, sd: f64) -> Mixture {
        let sd = sd.max(1e-6);
        Mixture {
            acceptable: mean + 0.3 * sd,
            unacceptable: mean - 1.5 * sd,
            sd,
            wrong: PRIOR_WRONG,
        }
    }

    /// Probability that an answer is acceptable, from its class's share and what is known of it.
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
            let wrong = self.wrong.max(1e-3);
            let evidence = ((1.0 - wrong) / wrong).ln();
            logit += if acceptable { evidence } else { -evidence };
        }
        1.0 / (1.0 + (-logit).exp())
    }

    /// What a threshold of confidence accepts of a class with a share of acceptable answers.
    pub(crate) fn accepted(&self, share: f64, threshold: f64) -> Accepted {
        let good = share * above((threshold - self.acceptable) / self.sd);
        let bad = (1.0 - share) * above((threshold - self.unacceptable) / self.sd);
        Accepted { share: good + bad, good }
    }

    /// Thresholds worth trying, in ascending order.
    pub(crate) fn thresholds(&self, count: usize) -> impl Iterator<Item = f64> + use<> {
        let low = self.unacceptable - 0.5 * self.sd;
        let high = self.acceptable + 1.5 * self.sd;
        let step = (high - low) / count.max(2) as f64;
        (0..count).map(move |index| low + step * index as f64)
    }
}

impl ConfidenceSums {
    /// Adds an answer with the probability that it is acceptable.
    pub(crate) fn add(&mut self, probability: f64, confidence: Option<f64>, verdict: Option<bool>) {
        if let Some(confidence) = confidence {
            self.acceptable.add(probability, confidence);
            self.unacceptable.add(1.0 - probability, confidence);
        }
        if let Some(acceptable) = verdict {
            self.rated += 1.0;
            self.wrong += if acceptable { 1.0 - probability } else { probability };
        }
    }

    /// The next estimate; keeps the present one's means where there is too little to go by.
    pub(crate) fn mixture(&self, present: Mixture) -> Mixture {
        const ENOUGH: f64 = 5.0;
        let wrong = (self.wrong + PRIOR_WRONG * PRIOR_RATINGS) / (self.rated + PRIOR_RATINGS);
        let wrong = wrong.min(MAX_WRONG);
        if self.acceptable.weight < ENOUGH || self.unacceptable.weight < ENOUGH {
            return Mixture { wrong, ..present };
        }
        let acceptable = self.acceptable.mean();
        let unacceptable = self.unacceptable.mean();
        let weight = self.acceptable.weight + self.unacceptable.weight;
        let within = self.acceptable.deviation() + self.unacceptable.deviation();
        let least = MIN_RELATIVE_SD * (acceptable - unacceptable).abs();
        let sd = (within / weight).max(0.0).sqrt().max(least).max(1e-6);
        Mixture { acceptable, unacceptable, sd, wrong }
    }
}

/// Share of a standard normal distribution above `z`, by formula 7.1.26 of Abramowitz and Stegun; error below 1e-7.
fn above(z: f64) -> f64 {
    let x = z.abs() / std::f64::consts::SQRT_2;
    let t = 1.0 / (1.0 + 0.327_591_1 * x);
    let terms = [0.254_829_592, -0.284_496_736, 1.421_413_741, -1.453_152_027, 1.061_405_429];
    let series = terms.iter().rev().fold(0.0, |sum, term| (sum + term) * t);
    let tail = 0.5 * series * (-x * x).exp();
    if z >= 0.0 { tail } else { 1.0 - tail }
}
