//! The latest answers of one version to one class, rated or not.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::mixture::Mixture;
use crate::shared::AnswerSums;
use crate::shared::ConfidenceSums;

/// Answers that are kept; older ones are dropped, so that estimates follow changes of quality.
const MAX_ANSWERS: usize = 2000;
/// Prior for the share of acceptable answers.
const PRIOR_SHARE: f64 = 0.7;
/// Number of answers that the prior counts as.
const PRIOR_ANSWERS: f64 = 4.0;
/// Number of answers that the share of the whole class counts as when a single workspace is estimated.
const CLASS_PRIOR_ANSWERS: f64 = 150.0;
/// Effective samples of a rated answer.
const RATED_EFFECTIVE_SAMPLES: f64 = 0.85;
/// Effective samples of an answer with a confidence but no rating.
const UNRATED_EFFECTIVE_SAMPLES: f64 = 0.5;

/// Latest answers and the estimate made from them.
#[derive(Debug)]
pub(crate) struct Window {
    answers: VecDeque<Answer>,
    /// Number of the oldest answer kept.
    first_number: u64,
    own_sums: AnswerSums,
    share: f64,
    /// See [`Estimate::effective_samples`].
    effective_samples: f64,
    workspaces: BTreeMap<u32, AnswerSums>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    pub(crate) workspace: u32,
    pub(crate) confidence: Option<f32>,
    pub(crate) acceptable: Option<bool>,
    /// For an escalated answer, the amount by which the replaced answer's probability of being acceptable lay below its
    /// model's share of acceptable answers; 0 for others.
    pub(crate) shortfall: f32,
}

/// Estimate of a share of acceptable answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    pub(crate) share: f64,
    pub(crate) standard_error: f64,
    /// Number of answers of known quality that carry as much information as the answers seen.
    pub(crate) effective_samples: f64,
}

impl Window {
    pub(crate) fn new() -> Window {
        Window {
            answers: VecDeque::new(),
            first_number: 0,
            own_sums: AnswerSums::default(),
            share: PRIOR_SHARE,
            effective_samples: 0.0,
            workspaces: BTreeMap::new(),
        }
    }

    /// Adds an answer and returns its number.
    pub(crate) fn push(&mut self, answer: Answer) -> u64 {
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
            self.first_number += 1;
        }
        self.answers.push_back(answer);
        self.first_number + self.answers.len() as u64 - 1
    }

    /// Records the rating of an answer, unless it was dropped already.
    pub(crate) fn rate(&mut self, number: u64, acceptable: bool) {
        let index =
            number.checked_sub(self.first_number).and_then(|index| usize::try_from(index).ok());
        if let Some(answer) = index.and_then(|index| self.answers.get_mut(index)) {
            answer.acceptable = Some(acceptable);
        }
    }

    pub(crate) fn answers(&self) -> impl Iterator<Item = &Answer> {
        self.answers.iter()
    }

    /// Refits the estimate to the answers and the peers' sums, and adds the answers to `confidence_sums` for the next
    /// mixture.
    pub(crate) fn fit(
        &mut self,
        mixture: Option<&Mixture>,
        dependence: f64,
        peers: AnswerSums,
        confidence_sums: &mut ConfidenceSums,
    ) {
        self.own_sums = AnswerSums::default();
        let default_mixture = Mixture::initial(0.0, 1.0);
        self.workspaces.clear();
        for answer in &self.answers {
            let confidence = answer.confidence.map(f64::from).filter(|_| mixture.is_some());
            if confidence.is_none() && answer.acceptable.is_none() {
                continue;
            }
            let difficulty = dependence * f64::from(answer.shortfall);
            let share = (self.share - difficulty).max(0.01);
            let mixture = mixture.unwrap_or(&default_mixture);
            let probability = mixture.posterior(share, confidence, answer.acceptable);
            confidence_sums.add(probability, confidence, answer.acceptable);
            // All answers count alike in the mean, because which of them are rated depends on their confidence. An
            // escalated request is harder than the class as a whole, which `difficulty` corrects for.
            let effective_samples = if answer.acceptable.is_some() {
                RATED_EFFECTIVE_SAMPLES
            } else {
                UNRATED_EFFECTIVE_SAMPLES
            };
            let answer_sums =
                AnswerSums { count: 1.0, acceptable: probability + difficulty, effective_samples };
            self.own_sums = self.own_sums.plus(answer_sums);
            let of_workspace = self.workspaces.entry(answer.workspace).or_default();
            *of_workspace = of_workspace.plus(answer_sums);
        }
        let all = self.own_sums.plus(peers);
        self.effective_samples = all.effective_samples;
        let share = (all.acceptable + PRIOR_SHARE * PRIOR_ANSWERS) / (all.count + PRIOR_ANSWERS);
        self.share = share.clamp(0.01, 0.999);
    }

    /// Sums over this host's answers at the last fit.
    pub(crate) fn sums(&self) -> AnswerSums {
        self.own_sums
    }

    /// Estimate for the whole class.
    pub(crate) fn estimate(&self) -> Estimate {
        estimate(self.share, self.effective_samples)
    }

    /// Estimate for a workspace, shrunk towards that of the whole class.
    pub(crate) fn estimate_for_workspace(&self, workspace: u32) -> Estimate {
        let own = self.workspaces.get(&workspace).copied().unwrap_or_default();
        let share =
            (own.acceptable + self.share * CLASS_PRIOR_ANSWERS) / (own.count + CLASS_PRIOR_ANSWERS);
        estimate(share.clamp(0.01, 0.999), self.effective_samples)
    }

    /// Effective samples of each workspace's answers.
    pub(crate) fn workspace_samples(&self) -> impl Iterator<Item = (u32, f64)> {
        self.workspaces.iter().map(|(workspace, sums)| (*workspace, sums.effective_samples))
    }
}

fn estimate(share: f64, effective_samples: f64) -> Estimate {
    let standard_error = (share * (1.0 - share) / (effective_samples + 1.0)).sqrt();
    // A few acceptable answers do not prove that all are, so the error stays positive.
    let standard_error = standard_error.max(0.5 / (effective_samples + 1.0));
    Estimate { share, standard_error, effective_samples }
}
