//! Fits of the estimates to the answers kept, with what peers shared.

use std::time::Instant;

use super::DEPENDENCE_WEIGHT;
use super::FIRST_FITS;
use super::FIT_INTERVAL;
use super::MAX_WINDOWS;
use super::MIN_CONFIDENCES;
use super::MIN_FAULTS;
use super::PRIOR_DEPENDENCE;
use super::Quality;
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

impl Quality {
    pub(super) fn fit_if_due(&mut self, now: Instant) {
        let due = self.fitted.is_none_or(|fitted| now >= fitted + FIT_INTERVAL);
        if !due {
            return;
        }
        self.fitted = Some(now);
        self.plans.clear();
        self.peers.total(now);
        self.open_windows_of_peers();
        let fits = match self.mixture {
            Some(_) => 1,
            None => {
                self.start_mixture();
                FIRST_FITS
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
        self.own_worth.clear();
        for (key, window) in &self.windows {
            let own = self.own_worth.entry(key.class.clone()).or_default();
            for (workspace, worth) in window.own_worth() {
                *own.entry(workspace).or_default() += worth;
            }
        }
        let all = confidence.plus(self.peers.confidence());
        self.mixture = self.mixture.map(|mixture| all.mixture(mixture));
        let dependence = self.fit_dependence();
        self.share = Some(self.shared(confidence, dependence));
    }

    /// Windows for what only peers have seen.
    fn open_windows_of_peers(&mut self) {
        for key in self.peers.classes().keys() {
            if self.windows.len() < MAX_WINDOWS && !self.windows.contains_key(key) {
                self.windows.insert(key.clone(), Window::new());
            }
        }
    }

    fn shared(&self, confidence: ConfidenceSums, dependence: DependenceSums) -> SharedQuality {
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

    /// Starts the mixture once there are answers enough of both kinds.
    fn start_mixture(&mut self) {
        let answers: Vec<&Answer> = self.windows.values().flat_map(Window::answers).collect();
        let faults = answers.iter().filter(|answer| answer.acceptable == Some(false)).count();
        let confidences: Vec<f64> =
            answers.iter().filter_map(|answer| answer.confidence.map(f64::from)).collect();
        let peers = self.peers.confidence();
        if peers.unacceptable.weight >= MIN_FAULTS as f64 {
            // Peers have a mixture already: theirs is the start.
            self.mixture = Some(peers.mixture(Mixture::start(0.0, 1.0)));
            return;
        }
        if confidences.len() < MIN_CONFIDENCES || faults < MIN_FAULTS {
            return;
        }
        let count = confidences.len() as f64;
        let mean = confidences.iter().sum::<f64>() / count;
        let variance = confidences.iter().map(|c| (c - mean) * (c - mean)).sum::<f64>() / count;
        self.mixture = Some(Mixture::start(mean, variance.sqrt()));
    }

    /// Ridge regression of the fall in quality after an escalation on the doubt that caused it.
    fn fit_dependence(&mut self) -> DependenceSums {
        let mut own = DependenceSums::default();
        let Some(mixture) = &self.mixture else {
            return own;
        };
        for (key, window) in self.windows.iter().filter(|(key, _)| key.escalated) {
            let share = self.estimate(&key.class, &key.model_version, None).share;
            for answer in window.answers().filter(|answer| answer.acceptable.is_some()) {
                let doubt = f64::from(answer.doubt);
                let expected = (share - self.dependence * doubt).max(0.01);
                let confidence = answer.confidence.map(f64::from);
                let probability = mixture.posterior(expected, confidence, answer.acceptable);
                own.covariance += (share - probability) * doubt;
                own.variance += doubt * doubt;
            }
        }
        let peers = self.peers.dependence();
        let covariance = own.covariance + peers.covariance + PRIOR_DEPENDENCE * DEPENDENCE_WEIGHT;
        let variance = own.variance + peers.variance + DEPENDENCE_WEIGHT;
        self.dependence = (covariance / variance).clamp(0.0, 0.6);
        own
    }
}
