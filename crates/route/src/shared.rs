//! Statistics on answer quality that entry hosts exchange.
//!
//! Ratings are few and each host sees only its own, so hosts share sums over their latest answers. These are the sums
//! of the expectation step; maximising over their total gives the same estimates as one host that saw all answers.
//! They identify neither callers nor contents.

use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::TaskClass;
use serde::Deserialize;
use serde::Serialize;

/// Largest number of [`SharedClass`] entries in one message.
pub const MAX_SHARED_CLASSES: usize = 128;

/// Sums over the latest answers of one host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedQuality {
    /// At most [`MAX_SHARED_CLASSES`].
    pub classes: Vec<SharedClass>,
    pub confidence: ConfidenceSums,
    pub dependence: DependenceSums,
}

/// Sums over the answers of one version to one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedClass {
    pub class: TaskClass,
    pub model_version: ModelVersion,
    /// Whether the sums cover answers that replaced a cheaper model's rejected answer; other answers are summed apart.
    pub escalated: bool,
    pub sums: AnswerSums,
}

/// Sums over answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AnswerSums {
    pub count: f64,
    /// Sum of the probabilities that an answer is acceptable.
    pub acceptable: f64,
    /// Number of answers of known quality that carry as much information as these.
    #[serde(rename = "worth")]
    pub effective_samples: f64,
}

/// Sums over answers with a confidence, weighted by the probability of being acceptable or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfidenceSums {
    pub acceptable: WeightedSums,
    pub unacceptable: WeightedSums,
    pub rated: f64,
    /// Expected number of wrong ratings.
    pub wrong: f64,
}

/// Weighted sums of a value and of its square.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightedSums {
    pub weight: f64,
    pub sum: f64,
    pub squares: f64,
}

/// Sums of the regression of lost quality on the shortfall of the replaced answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DependenceSums {
    pub covariance: f64,
    pub variance: f64,
}

impl AnswerSums {
    /// Adds two sums.
    #[must_use]
    pub fn plus(self, other: AnswerSums) -> AnswerSums {
        AnswerSums {
            count: self.count + other.count,
            acceptable: self.acceptable + other.acceptable,
            effective_samples: self.effective_samples + other.effective_samples,
        }
    }
}

impl ConfidenceSums {
    /// Adds two sums.
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

impl WeightedSums {
    /// Adds two sums.
    #[must_use]
    pub fn plus(self, other: WeightedSums) -> WeightedSums {
        WeightedSums {
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
    pub(crate) fn squared_deviations(&self) -> f64 {
        self.squares - self.sum * self.sum / self.weight
    }
}
