//! Bounded exploration of cheaper models.
//!
//! Every request adds the slack that the quality target allows to a balance, and its plan spends the acceptable answers
//! that it is expected to lose. Exploration may spend the rest, so most exploration happens while nothing is known, and
//! both together stay within the slack. Where an answer is withheld until it is complete, a cheap answer can be checked
//! and replaced: that costs money but no quality.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::plan::Candidate;
use super::plan::Plan;
use super::plan::PlanStage;

/// Initial balance, in acceptable answers.
const INITIAL_BALANCE: f64 = 2.0;
/// Share of the slack that plans and exploration may spend together.
const SPENDABLE_SLACK_SHARE: f64 = 0.8;
/// Upper bound on unspent balance, in acceptable answers.
const MAX_BALANCE: f64 = 5.0;
/// Lower bound on overspent balance, in acceptable answers.
const MIN_BALANCE: f64 = -2.0;
/// Effective samples from which a model is no longer explored.
const MAX_SAMPLES: f64 = 800.0;
/// Effective samples from which a model is no longer explored where answers are withheld and replaced.
const MAX_SAMPLES_WITHHELD: f64 = 60.0;
/// Largest share of requests that explore.
const MAX_EXPLORED_SHARE: f64 = 0.2;
/// Largest share of requests that explore where answers are withheld and replaced, which costs no quality.
const MAX_EXPLORED_SHARE_WITHHELD: f64 = 0.6;
/// Share of requests that go to the best model to keep its estimate fresh.
const REFERENCE_SHARE: f64 = 0.01;
/// Effective samples of the best model that are needed before other models are explored.
const MIN_REFERENCE_SAMPLES: f64 = 20.0;
/// Standard errors by which the upper bound on a model's share of acceptable answers exceeds the estimate. A model is
/// explored only while this bound makes it look useful.
const UPPER_BOUND_STANDARD_ERRORS: f64 = 1.5;
/// Largest loss against the best model at which a model can be useful without a cascade.
const MAX_USEFUL_LOSS: f64 = 0.03;
/// Smallest loss charged for an exploration, in acceptable answers.
const MIN_EXPLORATION_LOSS: f64 = 0.005;

/// Balance of acceptable answers that exploration may still lose.
#[derive(Debug)]
pub(crate) struct Explorer {
    balance: f64,
    /// Last random draw, from 0 to 1.
    draw: f64,
}

impl Default for Explorer {
    fn default() -> Explorer {
        Explorer { balance: INITIAL_BALANCE, draw: 1.0 }
    }
}

impl Explorer {
    /// Credits the slack of a request and charges the expected loss of its plan.
    pub(crate) fn credit(&mut self, slack: f64, loss: f64) {
        self.balance =
            (self.balance + SPENDABLE_SLACK_SHARE * slack - loss).clamp(MIN_BALANCE, MAX_BALANCE);
    }

    /// Draws at random whether a request may explore.
    pub(crate) fn may_explore(&mut self, may_withhold: bool, rng: &mut ChaCha8Rng) -> bool {
        self.draw = rng.random();
        self.draw <= if may_withhold { MAX_EXPLORED_SHARE_WITHHELD } else { MAX_EXPLORED_SHARE }
    }

    /// Returns a plan that explores, or `None` if no model needs exploring or the balance does not cover the expected
    /// loss. `candidates` are in ascending order of price, the best last.
    pub(crate) fn choose(
        &mut self,
        planned: &Plan,
        candidates: &[Candidate],
        follow_ups: f64,
        may_withhold: bool,
    ) -> Option<Plan> {
        let (best, cheaper) = candidates.split_last()?;
        if self.draw < REFERENCE_SHARE {
            let reference = Plan::direct(best.model_version.clone());
            return Some(reference).filter(|reference| reference != planned);
        }
        if best.estimate.effective_samples < MIN_REFERENCE_SAMPLES {
            return None;
        }
        let uncertain = cheaper.iter().filter(|candidate| {
            let estimate = candidate.estimate;
            let upper_bound =
                estimate.share + UPPER_BOUND_STANDARD_ERRORS * estimate.standard_error;
            let promising = may_withhold || upper_bound >= best.estimate.share - MAX_USEFUL_LOSS;
            // Once a plan relies on a model in a cascade, its answers provide further samples.
            let max_samples = if may_withhold { MAX_SAMPLES_WITHHELD } else { MAX_SAMPLES };
            estimate.effective_samples < max_samples && promising
        });
        let explored = uncertain
            .min_by(|a, b| a.estimate.effective_samples.total_cmp(&b.estimate.effective_samples))?;
        if may_withhold {
            let first = PlanStage {
                model_version: explored.model_version.clone(),
                accept_from: Some(f64::INFINITY),
            };
            let last = PlanStage { model_version: best.model_version.clone(), accept_from: None };
            return Some(Plan { stages: vec![first, last], loss: 0.0 });
        }
        let loss = best.estimate.share - explored.estimate.share;
        let expected_loss = (1.0 + follow_ups) * loss.max(MIN_EXPLORATION_LOSS);
        if expected_loss > self.balance {
            return None;
        }
        self.balance -= expected_loss;
        Some(Plan::direct(explored.model_version.clone()))
    }
}
