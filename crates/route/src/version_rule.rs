//! Which versions of a service a request may run on while traffic shifts from one to another.
//!
//! A request runs on the new version if the hash of its session, mapped to the range from 0 to 1, is below the share.
//! All hosts agree on that without communication, and a growing share moves each session once. During the trial phase
//! of a shift, sessions stay on the old version and only requests without a session take part: several hosts serve a
//! session at once, so no host knows whether a session is new.
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
}

/// What decides the version of a request's next attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VersionRequest<'a> {
    pub(crate) session: Option<u64>,
    /// Uniformly distributed; replaces the session where there is none.
    pub(crate) request_hash: u64,
    /// Version of the previous attempt.
    pub(crate) previous: Option<&'a VersionId>,
}

/// Versions that an attempt may run on.
#[derive(Clone, Debug)]
pub(crate) struct Preference {
    pub(crate) versions: VersionFilter,
    /// Whether the attempt is part of a trial.
    pub(crate) is_trial: bool,
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
            VersionRule::Shift { target, .. } => {
                self.withdrawn.remove(target);
                let is_same =
                    matches!(&self.rule, VersionRule::Shift { target: old, .. } if old == target);
                if !is_same {
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
        let target = self.target_for(request, limit, hosts).map(|target| Preference {
            versions: VersionFilter::OneOf(BTreeSet::from([target.clone()])),
            is_trial: matches!(self.rule, VersionRule::Shift { is_trial: true, .. }),
        });
        let in_use = VersionFilter::OneOf(self.in_use.clone());
        let others = [in_use, VersionFilter::Except(self.withdrawn.clone())];
        let others = others.map(|versions| Preference { versions, is_trial: false });
        target.into_iter().chain(others).collect()
    }

    /// The shift's target, if the next attempt belongs there.
    fn target_for(
        &self,
        request: &VersionRequest<'_>,
        limit: ExposureLimit,
        hosts: usize,
    ) -> Option<&VersionId> {
        let VersionRule::Shift { target, share, is_trial } = &self.rule else {
            return None;
        };
        if *is_trial && (request.session.is_some() || request.previous.is_some()) {
            return None;
        }
        let exposure = self.exposure.as_ref();
        if *is_trial && !exposure.is_some_and(|exposure| exposure.allows_attempt(limit, hosts)) {
            return None;
        }
        if let Some(previous) = request.previous
            && self.in_use.contains(previous)
            && *share < 1.0
        {
            return None;
        }
        let stays = request.previous == Some(target);
        let hash = request.session.unwrap_or(request.request_hash);
        (stays || hash_fraction(target, hash) < *share).then_some(target)
    }

    fn target(&self) -> Option<&VersionId> {
        match &self.rule {
            VersionRule::Shift { target, .. } => Some(target),
            VersionRule::Any | VersionRule::Except(_) | VersionRule::Only(_) => None,
        }
    }
}

/// Hashes a target version and a session to the range from 0 to 1, identically on every host.
fn hash_fraction(target: &str, session: u64) -> f64 {
    let hash = stable_hash(SHARE_SEED, &[target.as_bytes(), &session.to_be_bytes()]);
    hash as f64 / u64::MAX as f64
}
