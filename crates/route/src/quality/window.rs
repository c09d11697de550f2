//! The latest answers of one version to one class, rated or not.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::mixture::Mixture;
use crate::shared::AnswerSums;
use crate::shared::ConfidenceSums;

/// Answers that are kept; older ones are forgotten, so that a change is noticed.
const MAX_ANSWERS: usize = 2000;
/// Acceptable share before anything is known, and the answers that this counts as.
const PRIOR_SHARE: f64 = 0.7;
const PRIOR_ANSWERS: f64 = 4.0;
/// Answers that a class's share counts as where a workspace's own is estimated.
const CLASS_ANSWERS: f64 = 150.0;
/// Worth of a rated answer and of one with a confidence alone, in answers whose truth is known.
const RATED_WORTH: f64 = 0.85;
const UNRATED_WORTH: f64 = 0.5;

/// Answers and what follows from them.
#[derive(Debug)]
pub(crate) struct Window {
    answers: VecDeque<Answer>,
    /// Number of the first answer kept.
    first: u64,
    own: AnswerSums,
    share: f64,
    /// Answers whose truth is known that the estimate is worth.
    worth: f64,
    workspaces: BTreeMap<u32, AnswerSums>,
}

/// One answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    pub(crate) workspace: u32,
    pub(crate) confidence: Option<f32>,
    pub(crate) acceptable: Option<bool>,
    /// Doubt that made a cheaper model's answer be replaced by this one: how far its probability of being acceptable
    /// lay below that model's share.
    pub(crate) doubt: f32,
}

/// Estimate of a share of acceptable answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    pub(crate) share: f64,
    pub(crate) standard_error: f64,
    /// Answers whose truth is known that it is worth.
    pub(crate) worth: f64,
}

impl Window {
    pub(crate) fn new() -> Window {
        Window {
            answers: VecDeque::new(),
            first: 0,
            own: AnswerSums::default(),
            share: PRIOR_SHARE,
            worth: 0.0,
            workspaces: BTreeMap::new(),
        }
    }

    /// Adds an answer and returns its number.
    pub(crate) fn push(&mut self, answer: Answer) -> u64 {
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
            self.first += 1;
        }
        self.answers.push_back(answer);
        self.first + self.answers.len() as u64 - 1
    }

    /// Notes the rating of an answer that may have been forgotten.
    pub(crate) fn rate(&mut self, number: u64, acceptable: bool) {
        let index = number.checked_sub(self.first).and_then(|index| usize::try_from(index).ok());
        if let Some(answer) = index.and_then(|index| self.answers.get_mut(index)) {
            answer.acceptable = Some(acceptable);
        }
    }

    pub(crate) fn answers(&self) -> impl Iterator<Item = &Answer> {
        self.answers.iter()
    }

    /// Estimates the share anew, with what peers shared of theirs, and adds to the sums for the next mixture.
    pub(crate) fn fit(
        &mut self,
        mixture: Option<&Mixture>,
        dependence: f64,
        peers: AnswerSums,
        confidence_sums: &mut ConfidenceSums,
    ) {
        self.own = AnswerSums::default();
        let plain = Mixture::start(0.0, 1.0);
        self.workspaces.clear();
        for answer in &self.answers {
            let confidence = answer.confidence.map(f64::from).filter(|_| mixture.is_some());
            if confidence.is_none() && answer.acceptable.is_none() {
                continue;
            }
            let harder = dependence * f64::from(answer.doubt);
            let share = (self.share - harder).max(0.01);
            let mixture = mixture.unwrap_or(&plain);
            let probability = mixture.posterior(share, confidence, answer.acceptable);
            confidence_sums.add(probability, confidence, answer.acceptable);
            // Which answers are rated depends on their confidence, so all count alike in the mean. The request was
            // harder than the class at large by what made it come here.
            let worth = if answer.acceptable.is_some() { RATED_WORTH } else { UNRATED_WORTH };
            let one = AnswerSums { count: 1.0, acceptable: probability + harder, worth };
            self.own = self.own.plus(one);
            let of_workspace = self.workspaces.entry(answer.workspace).or_default();
            *of_workspace = of_workspace.plus(one);
        }
        let all = self.own.plus(peers);
        self.worth = all.worth;
        let share = (all.acceptable + PRIOR_SHARE * PRIOR_ANSWERS) / (all.count + PRIOR_ANSWERS);
        self.share = share.clamp(0.01, 0.999);
    }

    /// Sums over the own answers at the last fit.
    pub(crate) fn sums(&self) -> AnswerSums {
        self.own
    }

    /// Estimate for the class at large.
    pub(crate) fn estimate(&self) -> Estimate {
        estimate(self.share, self.worth)
    }

    /// Estimate for a workspace, which is drawn towards the class's.
    pub(crate) fn estimate_for(&self, workspace: u32) -> Estimate {
        let own = self.workspaces.get(&workspace).copied().unwrap_or_default();
        let share = (own.acceptable + self.share * CLASS_ANSWERS) / (own.count + CLASS_ANSWERS);
        estimate(share.clamp(0.01, 0.999), self.worth)
    }

    /// Worth of each workspace's answers.
    pub(crate) fn own_worth(&self) -> impl Iterator<Item = (u32, f64)> {
        self.workspaces.iter().map(|(workspace, sums)| (*workspace, sums.worth))
    }
}

fn estimate(share: f64, worth: f64) -> Estimate {
    let standard_error = (share * (1.0 - share) / (worth + 1.0)).sqrt();
    // Few answers without a fault do not prove that there are none.
    let standard_error = standard_error.max(0.5 / (worth + 1.0));
    Estimate { share, standard_error, worth }
}
