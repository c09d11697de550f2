//! What entry hosts tell each other of answers' quality.
//!
//! Ratings are few and each host sees only its own, so hosts share sums over their latest answers. The sums are those
//! of the expectation step; adding them up and maximising gives what one host would have learned from all answers.
//! Nothing in them names a caller or a content.

use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::TaskClass;
use serde::Deserialize;
use serde::Serialize;

/// Classes and versions in one message.
pub const MAX_SHARED_CLASSES: usize = 128;

/// Sums over one host's latest answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedQuality {
    /// At most [`MAX_SHARED_CLASSES`].
    pub classes: Vec<SharedClass>,
    pub confidence: ConfidenceSums,
    pub dependence: DependenceSums,
}

/// Answers of one version to one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedClass {
    pub class: TaskClass,
    pub model_version: ModelVersion,
    /// Only answers to requests for which a cheaper model's answer fell short.
    pub escalated: bool,
    pub sums: AnswerSums,
}

/// Sums over answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AnswerSums {
    pub count: f64,
    /// Probabilities of being acceptable.
    pub acceptable: f64,
    /// Answers whose truth is known that the others are worth.
    pub worth: f64,
}

/// Sums over answers with a confidence, weighted by the probability of being acceptable or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfidenceSums {
    pub acceptable: Moment,
    pub unacceptable: Moment,
    pub rated: f64,
    /// Ratings that were probably wrong.
    pub wrong: f64,
}

/// Weighted sums of a value and of its square.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Moment {
    pub weight: f64,
    pub sum: f64,
    pub squares: f64,
}

/// Sums of a regression of lost quality on doubt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DependenceSums {
    pub covariance: f64,
    pub variance: f64,
}

impl AnswerSums {
    /// Sums of both.
    #[must_use]
    pub fn plus(self, other: AnswerSums) -> AnswerSums {
        AnswerSums {
            count: self.count + other.count,
            acceptable: self.acceptable + other.acceptable,
            worth: self.worth + other.worth,
        }
    }
}

impl ConfidenceSums {
    /// Sums of both.
    #[must_use]
    pub fn plus(self, other: ConfidenceSums) -> ConfidenceSums {
        ConfidenceSums {
            acceptable: self.acceptable.plus(other.acceptable),
            unacceptable: self.unacceptable.plus(other.unacceptable),
            rated: self.rated + other.rated,
            wrong: self.wrong + other.wrong,
        }
    }
}

impl Moment {
    /// Sums of both.
    #[must_use]
    pub fn plus(self, other: Moment) -> Moment {
        Moment {
            weight: self.weight + other.weight,
            sum: self.sum + other.sum,
            squares: self.squares + other.squares,
        }
    }

    pub(crate) fn add(&mut self, weight: f64, value: f64) {
        self.weight += weight;
        self.sum += weight * value;
        self.squares += weight * value * value;
    }

    pub(crate) fn mean(&self) -> f64 {
        self.sum / self.weight
    }

    /// Sum of squared deviations from the mean.
    pub(crate) fn deviation(&self) -> f64 {
        self.squares - self.sum * self.sum / self.weight
    }
}
