//! The cheapest way to answer each class within the quality target.
//!
//! A way is one model, or a cascade of models in which each but the last is accepted from a threshold of confidence
//! on. For each class every way is valued by its expected cost and its expected loss of acceptable answers against
//! the best model. The slack that the preset's target leaves to a workspace is shared between its classes so that the
//! cost is least: the loss has one price for all classes (a Lagrange multiplier), found by bisection.

use foxtailhoist_model::ModelVersion;

use super::mixture::Accepted;
use super::mixture::Mixture;
use super::window::Estimate;

/// Standard errors by which a cheaper model's share is taken lower than estimated.
const CAUTION: f64 = 0.5;
/// Loss of one class, relative to the slack of all, that is never exceeded.
const MAX_CLASS_LOSS: f64 = 3.0;
/// Share of the slack that plans may use; exploration has the rest.
const PLANNED_SLACK: f64 = 0.75;
/// Answers whose truth is known that a model needs before a plan relies on it.
const MIN_WORTH: f64 = 30.0;
const THRESHOLDS: usize = 24;
const THRESHOLDS_OF_THREE: usize = 12;
const BISECTIONS: usize = 30;

/// Models that answer a request, each after the one before fell short. Never empty.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    pub(crate) stages: Vec<Stage>,
    /// Acceptable answers that it is expected to lose, in the request and those that will keep its version.
    pub(crate) loss: f64,
}

/// One model of a plan.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Stage {
    pub(crate) model_version: ModelVersion,
    /// Confidence from which the answer is accepted; `None` accepts every answer.
    pub(crate) accept_from: Option<f64>,
}

/// A model that may answer a class.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) model_version: ModelVersion,
    /// Expected cost of one answer.
    pub(crate) cost: f64,
    pub(crate) estimate: Estimate,
}

/// A class to be planned for. The last candidate is the best model.
#[derive(Clone, Debug)]
pub(crate) struct ClassInput {
    /// Share of the workspace's requests.
    pub(crate) weight: f64,
    pub(crate) candidates: Vec<Candidate>,
    /// Cheap answers may be withheld and replaced.
    pub(crate) cascade: bool,
    /// Later requests of a session that keep the version which answers the first.
    pub(crate) followers: f64,
    /// Fall of a model's share for each point of doubt in another's answer.
    pub(crate) dependence: f64,
}

/// A way to answer a class and what is expected of it.
#[derive(Clone, Debug)]
struct Way {
    /// Candidate and threshold of each stage.
    stages: Vec<(usize, Option<f64>)>,
    cost: f64,
    loss: f64,
}

impl Plan {
    /// One model answers.
    pub(crate) fn direct(model_version: ModelVersion) -> Plan {
        Plan { stages: vec![Stage { model_version, accept_from: None }], loss: 0.0 }
    }
}

/// Plans all classes of a workspace; `slack` is the loss of acceptable answers that the target allows.
pub(crate) fn plan(classes: &[ClassInput], mixture: Option<&Mixture>, slack: f64) -> Vec<Plan> {
    let ways: Vec<Vec<Way>> =
        classes.iter().map(|class| ways(class, mixture, slack * MAX_CLASS_LOSS)).collect();
    let choice = share_slack(classes, &ways, slack * PLANNED_SLACK);
    let chosen = classes.iter().zip(&ways).zip(choice);
    chosen.map(|((class, ways), index)| ways[index].to_plan(class)).collect()
}

fn share_slack(classes: &[ClassInput], ways: &[Vec<Way>], slack: f64) -> Vec<usize> {
    let choose =
        |price: f64| -> Vec<usize> { ways.iter().map(|ways| cheapest(ways, price)).collect() };
    let loss = |choice: &[usize]| -> f64 {
        let lost = classes.iter().zip(ways).zip(choice);
        lost.map(|((class, ways), index)| class.weight * ways[*index].loss).sum()
    };
    let free = choose(0.0);
    if loss(&free) <= slack {
        return free;
    }
    let dearest = classes.iter().flat_map(|class| &class.candidates).map(|c| c.cost);
    let mut low = 0.0;
    let mut high = dearest.fold(0.0, f64::max) * 1e4;
    let mut best = choose(high);
    for _ in 0..BISECTIONS {
        // The price of a loss spans orders of magnitude.
        let price = if low > 0.0 { f64::sqrt(low * high) } else { high * 1e-3 };
        let choice = choose(price);
        if loss(&choice) <= slack {
            best = choice;
            high = price;
        } else {
            low = price;
        }
    }
    best
}

fn cheapest(ways: &[Way], price: f64) -> usize {
    let value = |way: &Way| way.cost + price * way.loss;
    let indexed = ways.iter().enumerate();
    let best = indexed.min_by(|a, b| value(a.1).total_cmp(&value(b.1)));
    best.map_or(0, |(index, _)| index)
}

/// Every way worth considering; the best model alone is always the first.
fn ways(class: &ClassInput, mixture: Option<&Mixture>, max_loss: f64) -> Vec<Way> {
    let best = class.candidates.len() - 1;
    let mut ways = vec![class.value(&[(best, None)], mixture)];
    let proven: Vec<usize> =
        (0..best).filter(|index| class.candidates[*index].estimate.worth >= MIN_WORTH).collect();
    let mut consider = |stages: &[(usize, Option<f64>)]| {
        let way = class.value(stages, mixture);
        if way.loss <= max_loss * (1.0 + class.followers) && way.cost < ways[0].cost {
            ways.push(way);
        }
    };
    for index in &proven {
        consider(&[(*index, None)]);
    }
    let Some(mixture) = mixture.filter(|_| class.cascade) else {
        return ways;
    };
    for (position, cheap) in proven.iter().enumerate() {
        for threshold in mixture.thresholds(THRESHOLDS) {
            consider(&[(*cheap, Some(threshold)), (best, None)]);
        }
        for middle in &proven[position + 1..] {
            for threshold in mixture.thresholds(THRESHOLDS) {
                consider(&[(*cheap, Some(threshold)), (*middle, None)]);
            }
            for first in mixture.thresholds(THRESHOLDS_OF_THREE) {
                for second in mixture.thresholds(THRESHOLDS_OF_THREE) {
                    consider(&[(*cheap, Some(first)), (*middle, Some(second)), (best, None)]);
                }
            }
        }
    }
    ways
}

impl ClassInput {
    fn value(&self, stages: &[(usize, Option<f64>)], mixture: Option<&Mixture>) -> Way {
        let best = self.candidates.len() - 1;
        let reference = self.candidates[best].estimate.share;
        let mut reached = 1.0;
        let mut cost = 0.0;
        let mut loss = reference;
        let mut doubt = 0.0;
        for (index, threshold) in stages {
            let candidate = &self.candidates[*index];
            let caution = if *index == best { 0.0 } else { CAUTION };
            let usual = candidate.estimate.share - caution * candidate.estimate.standard_error;
            let share = (usual - self.dependence * doubt).clamp(0.01, 0.999);
            let accepted = match threshold.zip(mixture) {
                Some((threshold, mixture)) => mixture.accepted(share, threshold),
                None => Accepted { share: 1.0, good: share },
            };
            // The rest of a session stays with the version whose answer was accepted, unseen.
            let followers = reached * accepted.share * self.followers;
            cost += reached * candidate.cost + followers * candidate.cost;
            loss -= reached * accepted.good;
            loss += followers * (reference - usual);
            let rejected = (1.0 - accepted.share).max(1e-6);
            let rejected_share = ((share - accepted.good) / rejected).clamp(0.0, 1.0);
            doubt += share - rejected_share;
            reached *= rejected;
        }
        Way { stages: stages.to_vec(), cost, loss }
    }
}

impl Way {
    fn to_plan(&self, class: &ClassInput) -> Plan {
        let stage = |(index, accept_from): &(usize, Option<f64>)| Stage {
            model_version: class.candidates[*index].model_version.clone(),
            accept_from: *accept_from,
        };
        Plan { stages: self.stages.iter().map(stage).collect(), loss: self.loss }
    }
}
