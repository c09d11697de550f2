//! Bounded exploration of cheaper models.
//!
//! Every request earns the slack that the quality target leaves, and its plan spends the acceptable answers that it is
//! expected to lose. What plans leave is free for exploration, so most is explored while nothing is known, and the sum
//! of both stays within the slack. Where the answer is withheld until whole, a cheap answer can be looked at and
//! replaced: that costs money but no quality.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::plan::Candidate;
use super::plan::Plan;
use super::plan::Stage;

/// Acceptable answers that may be lost before any request was made.
const INITIAL_BALANCE: f64 = 2.0;
/// Share of the slack that plans and exploration may spend together.
const EARNED: f64 = 0.8;
/// Most that is kept of what was left, and of what was overspent.
const MAX_BALANCE: f64 = 5.0;
const MIN_BALANCE: f64 = -2.0;
/// Answers whose truth is known after which a model is not explored further.
const WELL_KNOWN: f64 = 800.0;
/// The same where answers are withheld and replaced.
const KNOWN_FOR_CASCADE: f64 = 60.0;
/// Most of the requests that explore.
const MAX_SHARE: f64 = 0.2;
/// The same where answers are withheld and replaced, which costs no quality.
const MAX_WITHHELD_SHARE: f64 = 0.6;
/// Share of requests that go to the best model to keep its estimate fresh.
const REFERENCE_SHARE: f64 = 0.01;
/// Answers of the best model, whose truth is known, before anything else is tried.
const MIN_REFERENCE: f64 = 20.0;
/// Standard errors above its estimate at which a model must still be useful to be explored further.
const HOPE: f64 = 1.5;
/// Loss against the best model up to which a model that answers alone can be useful.
const MAX_USEFUL_LOSS: f64 = 0.03;
/// Least that an exploration is taken to cost.
const MIN_PRICE: f64 = 0.005;

/// Balance of acceptable answers that exploration may lose.
#[derive(Debug)]
pub(crate) struct Explorer {
    balance: f64,
    /// The last draw, from 0 to 1.
    roll: f64,
}

impl Default for Explorer {
    fn default() -> Explorer {
        Explorer { balance: INITIAL_BALANCE, roll: 1.0 }
    }
}

impl Explorer {
    /// Earns the slack of a request, and spends what its plan is expected to lose.
    pub(crate) fn earn(&mut self, slack: f64, loss: f64) {
        self.balance = (self.balance + EARNED * slack - loss).clamp(MIN_BALANCE, MAX_BALANCE);
    }

    /// Draws whether a request may explore.
    pub(crate) fn due(&mut self, may_withhold: bool, rng: &mut ChaCha8Rng) -> bool {
        self.roll = rng.random();
        self.roll <= if may_withhold { MAX_WITHHELD_SHARE } else { MAX_SHARE }
    }

    /// A plan that explores, if the balance allows one; `candidates` are in order of price, the best last.
    pub(crate) fn choose(
        &mut self,
        planned: &Plan,
        candidates: &[Candidate],
        followers: f64,
        may_withhold: bool,
    ) -> Option<Plan> {
        let (best, cheaper) = candidates.split_last()?;
        if self.roll < REFERENCE_SHARE {
            let reference = Plan::direct(best.model_version.clone());
            return Some(reference).filter(|reference| reference != planned);
        }
        if best.estimate.worth < MIN_REFERENCE {
            return None;
        }
        let unknown = cheaper.iter().filter(|candidate| {
            let estimate = candidate.estimate;
            let hope = estimate.share + HOPE * estimate.standard_error;
            let hopeful = may_withhold || hope >= best.estimate.share - MAX_USEFUL_LOSS;
            // A cascade tells more of a model as soon as a plan relies on it.
            let enough = if may_withhold { KNOWN_FOR_CASCADE } else { WELL_KNOWN };
            estimate.worth < enough && hopeful
        });
        let explored = unknown.min_by(|a, b| a.estimate.worth.total_cmp(&b.estimate.worth))?;
        if may_withhold {
            let first = Stage {
                model_version: explored.model_version.clone(),
                accept_from: Some(f64::INFINITY),
            };
            let last = Stage { model_version: best.model_version.clone(), accept_from: None };
            return Some(Plan { stages: vec![first, last], loss: 0.0 });
        }
        let loss = best.estimate.share - explored.estimate.share;
        let price = (1.0 + followers) * loss.max(MIN_PRICE);
        if price > self.balance {
            return None;
        }
        self.balance -= price;
        Some(Plan::direct(explored.model_version.clone()))
    }
}
