//! Fits the estimates to the stored answers and the sums that peers shared.

use std::time::Instant;

use super::FIT_INTERVAL;
use super::INITIAL_FIT_ROUNDS;
use super::MAX_WINDOWS;
use super::MIN_CONFIDENCES;
use super::MIN_UNACCEPTABLE_RATINGS;
use super::PRIOR_DEPENDENCE;
use super::PRIOR_DEPENDENCE_WEIGHT;
use super::QualityEstimator;
use super::WindowKey;
use super::mixture::Mixture;
use super::window::Answer;
use super::window::Window;
use crate::shared::AnswerSums;
use crate::shared::ConfidenceSums;
use crate::shared::DependenceSums;
use crate::shared::MAX_SHARED_CLASSES;
use crate::shared::SharedClass;
use crate::shared::SharedQuality;

impl QualityEstimator {
    pub(super) fn fit_if_due(&mut self, now: Instant) {
        let due = self.fitted_at.is_none_or(|fitted_at| now >= fitted_at + FIT_INTERVAL);
        if !due {
            return;
        }
        self.fitted_at = Some(now);
        self.plans.clear();
        self.peers.recompute_totals(now);
        self.add_peer_windows();
        let fits = match self.mixture {
            Some(_) => 1,
            None => {
                self.init_mixture();
                INITIAL_FIT_ROUNDS
            }
        };
        for _ in 0..fits {
            self.fit();
        }
    }

    fn fit(&mut self) {
        let mut confidence = ConfidenceSums::default();
        let none = AnswerSums::default();
        for (key, window) in &mut self.windows {
            let peers = self.peers.classes().get(key).copied().unwrap_or(none);
            window.fit(self.mixture.as_ref(), self.dependence, peers, &mut confidence);
        }
        self.workspace_samples.clear();
        for (key, window) in &self.windows {
            let own = self.workspace_samples.entry(key.class.clone()).or_default();
            for (workspace, effective_samples) in window.workspace_samples() {
                *own.entry(workspace).or_default() += effective_samples;
            }
        }
        let all = confidence.plus(self.peers.confidence());
        self.mixture = self.mixture.map(|mixture| all.mixture(mixture));
        let dependence = self.fit_dependence();
        self.unsent_sums = Some(self.sums_to_share(confidence, dependence));
    }

    /// Adds windows for versions and classes that only peers have seen.
    fn add_peer_windows(&mut self) {
        for key in self.peers.classes().keys() {
            if self.windows.len() < MAX_WINDOWS && !self.windows.contains_key(key) {
                self.windows.insert(key.clone(), Window::new());
            }
        }
    }

    fn sums_to_share(
        &self,
        confidence: ConfidenceSums,
        dependence: DependenceSums,
    ) -> SharedQuality {
        let seen = self.windows.iter().filter(|(_, window)| window.sums().count > 0.0);
        let class = |(key, window): (&WindowKey, &Window)| SharedClass {
            class: key.class.clone(),
            model_version: key.model_version.clone(),
            escalated: key.escalated,
            sums: window.sums(),
        };
        let classes = seen.take(MAX_SHARED_CLASSES).map(class).collect();
        SharedQuality { classes, confidence, dependence }
    }

    /// Initialises the mixture once there are enough answers with a confidence and enough unacceptable ratings.
    fn init_mixture(&mut self) {
        let answers: Vec<&Answer> = self.windows.values().flat_map(Window::answers).collect();
        let unacceptable_ratings =
            answers.iter().filter(|answer| answer.acceptable == Some(false)).count();
        let confidences: Vec<f64> =
            answers.iter().filter_map(|answer| answer.confidence.map(f64::from)).collect();
        let peers = self.peers.confidence();
        if peers.unacceptable.weight >= MIN_UNACCEPTABLE_RATINGS as f64 {
            // Peers already have a mixture; start from their sums.
            self.mixture = Some(peers.mixture(Mixture::initial(0.0, 1.0)));
            return;
        }
        if confidences.len() < MIN_CONFIDENCES || unacceptable_ratings < MIN_UNACCEPTABLE_RATINGS {
            return;
        }
        let count = confidences.len() as f64;
        let mean = confidences.iter().sum::<f64>() / count;
        let variance = confidences.iter().map(|c| (c - mean) * (c - mean)).sum::<f64>() / count;
        self.mixture = Some(Mixture::initial(mean, variance.sqrt()));
    }

    /// Ridge regression of the quality lost in escalated answers on the shortfall that caused the escalation.
    fn fit_dependence(&mut self) -> DependenceSums {
        let mut own = DependenceSums::default();
        let Some(mixture) = &self.mixture else {
            return own;
        };
        for (key, window) in self.windows.iter().filter(|(key, _)| key.escalated) {
            let share = self.estimate(&key.class, &key.model_version, None).share;
            for answer in window.answers().filter(|answer| answer.acceptable.is_some()) {
                let shortfall = f64::from(answer.shortfall);
                let expected = (share - self.dependence * shortfall).max(0.01);
                let confidence = answer.confidence.map(f64::from);
                let probability = mixture.posterior(expected, confidence, answer.acceptable);
                own.covariance += (share - probability) * shortfall;
                own.variance += shortfall * shortfall;
            }
        }
        let peers = self.peers.dependence();
        let covariance =
            own.covariance + peers.covariance + PRIOR_DEPENDENCE * PRIOR_DEPENDENCE_WEIGHT;
        let variance = own.variance + peers.variance + PRIOR_DEPENDENCE_WEIGHT;
        self.dependence = (covariance / variance).clamp(0.0, 0.6);
        own
    }
}
