//! The cheapest strategy for each class within the quality target.
//!
//! A strategy is one model, or a cascade of models in which an answer of any but the last is accepted only if its
//! confidence reaches a threshold. Each strategy of a class is evaluated by its expected cost and its expected loss of
//! acceptable answers against the best model. The slack that the preset's target leaves to a workspace is allocated to
//! its classes so that the total cost is minimal: the loss has one price for all classes (a Lagrange multiplier), found
//! by bisection.

use foxtailhoist_model::ModelVersion;

use super::mixture::Accepted;
use super::mixture::Mixture;
use super::window::Estimate;

/// Standard errors subtracted from the estimated share of a cheaper model.
const LOWER_BOUND_STANDARD_ERRORS: f64 = 0.5;
/// Largest loss per request of one class, relative to the slack of the workspace.
const MAX_CLASS_LOSS: f64 = 3.0;
/// Share of the slack that plans may use. What they leave of `SPENDABLE_SLACK_SHARE` goes to exploration.
const PLANNED_SLACK_SHARE: f64 = 0.75;
/// Effective samples that a model needs before a plan relies on it.
const MIN_SAMPLES: f64 = 30.0;
/// Thresholds tried for a cascade of two models.
const TWO_STAGE_THRESHOLDS: usize = 24;
/// Thresholds tried for each of the first two models in a cascade of three.
const THREE_STAGE_THRESHOLDS: usize = 12;
const BISECTION_STEPS: usize = 30;

/// Models that answer a request, each tried after the previous one's answer was rejected. Never empty.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    pub(crate) stages: Vec<PlanStage>,
    /// Expected loss of acceptable answers, in this request and the follow-ups that will keep its version.
    pub(crate) loss: f64,
}

/// One model of a plan.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlanStage {
    pub(crate) model_version: ModelVersion,
    /// Lowest confidence at which the answer is accepted; `None` accepts every answer.
    pub(crate) accept_from: Option<f64>,
}

/// A model that may answer a class.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) model_version: ModelVersion,
    /// Expected cost of one answer. Prices are per million tokens, so this is in millionths of their currency.
    pub(crate) cost: f64,
    pub(crate) estimate: Estimate,
}

/// A class to plan. The last candidate is the best model.
#[derive(Clone, Debug)]
pub(crate) struct ClassInput {
    /// Share of the workspace's requests.
    pub(crate) weight: f64,
    pub(crate) candidates: Vec<Candidate>,
    /// Whether cheap answers may be withheld and replaced.
    pub(crate) may_withhold: bool,
    /// Expected number of later requests in a session, which keep the version that answers the first.
    pub(crate) follow_ups: f64,
    /// Drop in a model's share of acceptable answers per unit of shortfall of the answer it replaces.
    pub(crate) dependence: f64,
}

/// A strategy for a class, with its expected cost and loss.
#[derive(Clone, Debug)]
struct Strategy {
    /// Candidate index and confidence threshold of each stage.
    stages: Vec<(usize, Option<f64>)>,
    cost: f64,
    loss: f64,
}

impl Plan {
    /// A plan in which one model answers.
    pub(crate) fn direct(model_version: ModelVersion) -> Plan {
        Plan { stages: vec![PlanStage { model_version, accept_from: None }], loss: 0.0 }
    }
}

/// Plans all classes of a workspace; `slack` is the expected loss of acceptable answers per request that the target
/// allows.
pub(crate) fn plan(classes: &[ClassInput], mixture: Option<&Mixture>, slack: f64) -> Vec<Plan> {
    let strategies: Vec<Vec<Strategy>> =
        classes.iter().map(|class| strategies(class, mixture, slack * MAX_CLASS_LOSS)).collect();
    let choice = allocate_slack(classes, &strategies, slack * PLANNED_SLACK_SHARE);
    let chosen = classes.iter().zip(&strategies).zip(choice);
    chosen.map(|((class, strategies), index)| strategies[index].to_plan(class)).collect()
}

/// Chooses a strategy for each class so that the expected loss stays within the slack at minimal cost.
fn allocate_slack(classes: &[ClassInput], strategies: &[Vec<Strategy>], slack: f64) -> Vec<usize> {
    let choose = |loss_price: f64| -> Vec<usize> {
        strategies.iter().map(|strategies| cheapest(strategies, loss_price)).collect()
    };
    let loss = |choice: &[usize]| -> f64 {
        let lost = classes.iter().zip(strategies).zip(choice);
        lost.map(|((class, strategies), index)| class.weight * strategies[*index].loss).sum()
    };
    let unconstrained = choose(0.0);
    if loss(&unconstrained) <= slack {
        return unconstrained;
    }
    let costs = classes.iter().flat_map(|class| &class.candidates).map(|c| c.cost);
    let mut low = 0.0;
    let mut high = costs.fold(0.0, f64::max) * 1e4;
    let mut best = choose(high);
    for _ in 0..BISECTION_STEPS {
        // The price spans orders of magnitude, hence the geometric mean.
        let loss_price = if low > 0.0 { f64::sqrt(low * high) } else { high * 1e-3 };
        let choice = choose(loss_price);
        if loss(&choice) <= slack {
            best = choice;
            high = loss_price;
        } else {
            low = loss_price;
        }
    }
    best
}

/// Index of the strategy with the least cost, counting each lost answer at `loss_price`.
fn cheapest(strategies: &[Strategy], loss_price: f64) -> usize {
    let penalised_cost = |strategy: &Strategy| strategy.cost + loss_price * strategy.loss;
    let indexed = strategies.iter().enumerate();
    let best = indexed.min_by(|a, b| penalised_cost(a.1).total_cmp(&penalised_cost(b.1)));
    best.map_or(0, |(index, _)| index)
}

/// Strategies worth considering; the first is always the best model alone.
fn strategies(class: &ClassInput, mixture: Option<&Mixture>, max_loss: f64) -> Vec<Strategy> {
    let best = class.candidates.len() - 1;
    let mut strategies = vec![class.evaluate(&[(best, None)], mixture)];
    let proven: Vec<usize> = (0..best)
        .filter(|index| class.candidates[*index].estimate.effective_samples >= MIN_SAMPLES)
        .collect();
    let mut consider = |stages: &[(usize, Option<f64>)]| {
        let strategy = class.evaluate(stages, mixture);
        if strategy.loss <= max_loss * (1.0 + class.follow_ups)
            && strategy.cost < strategies[0].cost
        {
            strategies.push(strategy);
        }
    };
    for index in &proven {
        consider(&[(*index, None)]);
    }
    let Some(mixture) = mixture.filter(|_| class.may_withhold) else {
        return strategies;
    };
    for (position, cheap) in proven.iter().enumerate() {
        for threshold in mixture.thresholds(TWO_STAGE_THRESHOLDS) {
            consider(&[(*cheap, Some(threshold)), (best, None)]);
        }
        for middle in &proven[position + 1..] {
            for threshold in mixture.thresholds(TWO_STAGE_THRESHOLDS) {
                consider(&[(*cheap, Some(threshold)), (*middle, None)]);
            }
            for first in mixture.thresholds(THREE_STAGE_THRESHOLDS) {
                for second in mixture.thresholds(THREE_STAGE_THRESHOLDS) {
                    consider(&[(*cheap, Some(first)), (*middle, Some(second)), (best, None)]);
                }
            }
        }
    }
    strategies
}

impl ClassInput {
    /// Expected cost and loss of a strategy, per request.
    fn evaluate(&self, stages: &[(usize, Option<f64>)], mixture: Option<&Mixture>) -> Strategy {
        let best = self.candidates.len() - 1;
        let reference = self.candidates[best].estimate.share;
        // Probability that the stage runs, because all earlier answers were rejected.
        let mut reached = 1.0;
        let mut cost = 0.0;
        let mut loss = reference;
        let mut shortfall = 0.0;
        for (index, threshold) in stages {
            let candidate = &self.candidates[*index];
            let standard_errors = if *index == best { 0.0 } else { LOWER_BOUND_STANDARD_ERRORS };
            let base_share =
                candidate.estimate.share - standard_errors * candidate.estimate.standard_error;
            let share = (base_share - self.dependence * shortfall).clamp(0.01, 0.999);
            let accepted = match threshold.zip(mixture) {
                Some((threshold, mixture)) => mixture.accepted(share, threshold),
                None => Accepted { share: 1.0, acceptable: share },
            };
            // The rest of a session stays with the version whose answer was accepted, without further checks.
            let follow_ups = reached * accepted.share * self.follow_ups;
            cost += reached * candidate.cost + follow_ups * candidate.cost;
            loss -= reached * accepted.acceptable;
            loss += follow_ups * (reference - base_share);
            let rejected = (1.0 - accepted.share).max(1e-6);
            let rejected_share = ((share - accepted.acceptable) / rejected).clamp(0.0, 1.0);
            shortfall += share - rejected_share;
            reached *= rejected;
        }
        Strategy { stages: stages.to_vec(), cost, loss }
    }
}

impl Strategy {
    fn to_plan(&self, class: &ClassInput) -> Plan {
        let stage = |(index, accept_from): &(usize, Option<f64>)| PlanStage {
            model_version: class.candidates[*index].model_version.clone(),
            accept_from: *accept_from,
        };
        Plan { stages: self.stages.iter().map(stage).collect(), loss: self.loss }
    }
}
