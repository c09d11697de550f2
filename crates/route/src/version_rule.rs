//! Which versions of a service a request may run on while traffic shifts from one to another.
//!
//! A request runs on the new version if the hash of its session, mapped to the range from 0 to 1, is below the share.
//! All hosts agree on that without communication, and a growing share moves each session once. During the trial phase
//! of a shift, sessions stay on the old version and only requests without a session take part: several hosts serve a
//! session at once, so no host knows whether a session is new. Where nearly all requests have sessions, the trial goes on
//! with a share of these in the second half of the shift.
//!
//! Servers and orders are read from the store separately, so servers of a version may be known before its order. They
//! get no work while a version in use has servers.

use std::collections::BTreeSet;

use foxtailhoist_model::VersionId;
use foxtailhoist_model::stable_hash;

use crate::backends::choose::VersionFilter;
use crate::exposure::Exposure;
use crate::exposure::ExposureLimit;

/// Seed of the hash that decides whether a session is within the share.
const SHARE_SEED: u64 = 0x7368_6172;

/// Versions of one service that take new work.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum VersionRule {
    /// All versions in use.
    #[default]
    Any,
    /// All but this one, which is withdrawn.
    Except(VersionId),
    /// Only this one, which replaced all others.
    Only(VersionId),
    /// A share of the requests goes to a new version.
    Shift {
        target: VersionId,
        /// Fraction of the requests, from 0 to 1.
        share: f64,
        /// Sessions and retries stay on the old version, and the exposure limit applies.
        is_trial: bool,
    },
    /// A share of the requests and sessions goes to a new version, as far as the exposure limit allows; retries stay on
    /// the old one.
    SessionTrial { target: VersionId, share: f64 },
}

/// What decides the version of a request's next attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VersionRequest<'a> {
    pub(crate) session: Option<u64>,
    /// Uniformly distributed; replaces the session where there is none.
    pub(crate) request_hash: u64,
    /// Attempts sent before.
    pub(crate) attempts: u32,
    /// Version of the last attempt that may have run.
    pub(crate) previous: Option<&'a VersionId>,
}

/// Versions that an attempt may run on.
#[derive(Clone, Debug)]
pub(crate) struct Preference {
    pub(crate) versions: VersionFilter,
    /// Fraction of the servers that a trial uses; `None` outside a trial.
    pub(crate) trial_share: Option<f64>,
    /// Whether the next preference applies, too, if all servers are busy.
    pub(crate) is_optional: bool,
}

/// Versions of one service, as known from servers and orders.
#[derive(Debug, Default)]
pub(crate) struct ServiceVersions {
    rule: VersionRule,
    /// Versions that take work without an order.
    in_use: BTreeSet<VersionId>,
    /// Versions that get no work until there is a new order for them.
    withdrawn: BTreeSet<VersionId>,
    /// Whether this host has sent a request to the service.
    has_requests: bool,
    exposure: Option<Exposure>,
}

impl ServiceVersions {
    /// Applies a rule; `live` are the versions whose servers accept work.
    pub(crate) fn set_rule(&mut self, rule: VersionRule, live: &BTreeSet<&VersionId>) {
        if self.rule == rule {
            return;
        }
        match &rule {
            VersionRule::Any => {}
            VersionRule::Except(version) => {
                self.withdrawn.insert(version.clone());
            }
            VersionRule::Only(version) => {
                self.withdrawn.remove(version);
                self.withdrawn.extend(self.in_use.iter().filter(|old| *old != version).cloned());
                self.in_use = BTreeSet::from([version.clone()]);
            }
            VersionRule::Shift { target, .. } | VersionRule::SessionTrial { target, .. } => {
                self.withdrawn.remove(target);
                if self.target() != Some(target) {
                    self.exposure = Some(Exposure::new(target.clone(), self.has_requests));
                }
            }
        }
        self.rule = rule;
        self.update_in_use(live);
    }

    /// Counts of the last trial.
    pub(crate) fn exposure_mut(&mut self) -> Option<&mut Exposure> {
        self.exposure.as_mut()
    }

    /// Records a request that is sent for the first time.
    pub(crate) fn record_request(&mut self) {
        self.has_requests = true;
        if let Some(exposure) = &mut self.exposure {
            exposure.record_request();
        }
    }

    /// Drops versions on trial and withdrawn ones from the versions in use. If none of these has servers that accept
    /// work, the live versions without an order replace them.
    pub(crate) fn update_in_use(&mut self, live: &BTreeSet<&VersionId>) {
        let target = self.target().cloned();
        self.in_use.retain(|version| {
            !self.withdrawn.contains(version) && Some(version) != target.as_ref()
        });
        if !live.iter().any(|version| self.in_use.contains(*version)) {
            let unordered = live
                .iter()
                .copied()
                .filter(|version| !self.withdrawn.contains(*version))
                .filter(|version| Some(*version) != target.as_ref());
            let unordered: BTreeSet<VersionId> = unordered.cloned().collect();
            if !unordered.is_empty() {
                self.in_use = unordered;
            }
        }
    }

    /// Versions that the next attempt may run on, in order of preference: the next applies if no server of the previous
    /// one's versions accepts work, or if the servers of a trial are busy.
    pub(crate) fn preferences(
        &self,
        request: &VersionRequest<'_>,
        limit: ExposureLimit,
        hosts: usize,
    ) -> Vec<Preference> {
        let mut preferences = Vec::new();
        if let Some(target) = self.target_for(request, limit, hosts) {
            let versions = VersionFilter::OneOf(BTreeSet::from([target.clone()]));
            if let Some(share) = self.trial_share() {
                let trial_share = Some(share);
                let versions = versions.clone();
                preferences.push(Preference { versions, trial_share, is_optional: true });
            }
            // A session that has moved to the target does not go back because a few servers are busy.
            if self.trial_share().is_none() || request.session.is_some() {
                let is_optional = self.trial_share().is_some();
                preferences.push(Preference { versions, trial_share: None, is_optional });
            }
        }
        let in_use = VersionFilter::OneOf(self.in_use.clone());
        let mut excluded = self.withdrawn.clone();
        if self.trial_share().is_some() && !self.allows_exposure(limit, hosts) {
            // The version on trial does not replace servers in use that are gone.
            excluded.extend(self.target().cloned());
        }
        for versions in [in_use, VersionFilter::Except(excluded)] {
            preferences.push(Preference { versions, trial_share: None, is_optional: false });
        }
        preferences
    }

    /// The shift's target, if the next attempt belongs there.
    fn target_for(
        &self,
        request: &VersionRequest<'_>,
        limit: ExposureLimit,
        hosts: usize,
    ) -> Option<&VersionId> {
        let (target, share) = match &self.rule {
            VersionRule::Shift { is_trial: true, .. } if request.session.is_some() => return None,
            VersionRule::Shift { target, share, .. }
            | VersionRule::SessionTrial { target, share } => (target, *share),
            VersionRule::Any | VersionRule::Except(_) | VersionRule::Only(_) => return None,
        };
        if self.trial_share().is_some() {
            let is_allowed = self.allows_exposure(limit, hosts);
            // A session that has moved is worth another attempt if a server took no more requests.
            let max_attempts = u32::from(request.session.is_some());
            let is_retry = request.previous.is_some() || request.attempts > max_attempts;
            if is_retry || !is_allowed {
                return None;
            }
        }
        if let Some(previous) = request.previous
            && self.in_use.contains(previous)
            && share < 1.0
        {
            return None;
        }
        let stays = request.previous == Some(target);
        let hash = request.session.unwrap_or(request.request_hash);
        (stays || hash_fraction(target, hash) < share).then_some(target)
    }

    /// Whether the exposure limit allows another attempt at the target of a trial.
    fn allows_exposure(&self, limit: ExposureLimit, hosts: usize) -> bool {
        self.exposure.as_ref().is_some_and(|exposure| exposure.allows_attempt(limit, hosts))
    }

    /// Share of the requests that take part in the trial, if there is one.
    fn trial_share(&self) -> Option<f64> {
        match &self.rule {
            VersionRule::Shift { share, is_trial: true, .. }
            | VersionRule::SessionTrial { share, .. } => Some(*share),
            VersionRule::Shift { .. }
            | VersionRule::Any
            | VersionRule::Except(_)
            | VersionRule::Only(_) => None,
        }
    }

    fn target(&self) -> Option<&VersionId> {
        match &self.rule {
            VersionRule::Shift { target, .. } | VersionRule::SessionTrial { target, .. } => {
                Some(target)
            }
            VersionRule::Any | VersionRule::Except(_) | VersionRule::Only(_) => None,
        }
    }
}

/// Hashes a target version and a session to the range from 0 to 1, identically on every host.
fn hash_fraction(target: &str, session: u64) -> f64 {
    let hash = stable_hash(SHARE_SEED, &[target.as_bytes(), &session.to_be_bytes()]);
    hash as f64 / u64::MAX as f64
}
