//! Which versions of a service a request may run on while traffic shifts from one to another.
//!
//! A request belongs to the new version if the hash of its session lies below the share, so all hosts agree without
//! talking and a growing share moves each session once. A session that ran lately keeps its version: on the new one
//! until the shift is withdrawn, on the old one while the shift is in its trial.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;
use foxtailhoist_model::stable_hash;

use crate::backends::choose::VersionFilter;

/// Sessions that are remembered; the one that ran longest ago is forgotten first.
const MAX_SESSIONS: usize = 4_096;
const SHARE_SEED: u64 = 0x7368_6172;

/// Rule for the versions of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum VersionRule {
    #[default]
    Any,
    /// Not this one: it is withdrawn, or nobody asked for it yet.
    Except(VersionId),
    /// Only this one.
    Only(VersionId),
    /// A share of the sessions goes to a new version.
    Shift {
        target: VersionId,
        /// From 0 to 1.
        share: f64,
        /// Sessions on the old version stay there.
        is_trial: bool,
    },
}

/// Versions that sessions ran on lately.
#[derive(Debug)]
pub(crate) struct SessionVersions {
    gap: Duration,
    sessions: BTreeMap<(ServiceId, u64), (VersionId, Instant)>,
}

impl SessionVersions {
    pub(crate) fn new(gap: Duration) -> SessionVersions {
        SessionVersions { gap, sessions: BTreeMap::new() }
    }

    /// The versions that a session's request may run on.
    pub(crate) fn filter(
        &self,
        rule: &VersionRule,
        service: &ServiceId,
        session: u64,
        now: Instant,
    ) -> VersionFilter {
        match rule {
            VersionRule::Any => VersionFilter::Any,
            VersionRule::Except(version) => VersionFilter::Except(version.clone()),
            VersionRule::Only(version) => VersionFilter::Only(version.clone()),
            VersionRule::Shift { target, share, is_trial } => {
                let on_target = match self.recent(service, session, now) {
                    Some(version) if version == target => true,
                    Some(_) if *is_trial => false,
                    _ => fraction(target, session) < *share,
                };
                if on_target {
                    VersionFilter::Only(target.clone())
                } else {
                    VersionFilter::Except(target.clone())
                }
            }
        }
    }

    /// Records the version that a session's request runs on.
    pub(crate) fn ran(&mut self, service: &ServiceId, session: u64, version: &str, now: Instant) {
        let key = (service.clone(), session);
        if self.sessions.len() >= MAX_SESSIONS && !self.sessions.contains_key(&key) {
            let gap = self.gap;
            self.sessions.retain(|_, (_, at)| now.saturating_duration_since(*at) <= gap);
            if self.sessions.len() >= MAX_SESSIONS {
                self.sessions.pop_first();
            }
        }
        self.sessions.insert(key, (version.to_owned(), now));
    }

    fn recent(&self, service: &ServiceId, session: u64, now: Instant) -> Option<&VersionId> {
        let (version, at) = self.sessions.get(&(service.clone(), session))?;
        (now.saturating_duration_since(*at) <= self.gap).then_some(version)
    }
}

/// Place of a session between 0 and 1, the same on every host.
fn fraction(target: &str, session: u64) -> f64 {
    let hash = stable_hash(SHARE_SEED, &[target.as_bytes(), &session.to_be_bytes()]);
    hash as f64 / u64::MAX as f64
}
