//! Which versions of a service a request may run on while traffic shifts from one to another.
//!
//! A request runs on the new version if the hash of its session, mapped to the range from 0 to 1, is below the share.
//! All hosts agree on that without communication, and a growing share moves each session once. During the trial phase
//! of a shift, sessions stay on the old version and only requests without a session take part: several hosts serve a
//! session at once, so no host knows whether a session is new.

use foxtailhoist_model::VersionId;
use foxtailhoist_model::stable_hash;

use crate::backends::choose::VersionFilter;

/// Seed of the hash that decides whether a session is within the share.
const SHARE_SEED: u64 = 0x7368_6172;

/// Versions of one service that take new work.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum VersionRule {
    #[default]
    Any,
    /// All but this one, which is withdrawn or has no roll-out yet.
    Except(VersionId),
    /// Only this one.
    Only(VersionId),
    /// A share of the requests goes to a new version.
    Shift {
        target: VersionId,
        /// Fraction of the requests, from 0 to 1.
        share: f64,
        /// Sessions stay on the old version.
        is_trial: bool,
    },
}

impl VersionRule {
    /// Versions that a request may run on; `request_hash`, uniformly distributed, replaces the session where there is
    /// none.
    pub(crate) fn filter(&self, session: Option<u64>, request_hash: u64) -> VersionFilter {
        match self {
            VersionRule::Any => VersionFilter::Any,
            VersionRule::Except(version) => VersionFilter::Except(version.clone()),
            VersionRule::Only(version) => VersionFilter::Only(version.clone()),
            VersionRule::Shift { target, share, is_trial } => {
                let stays = *is_trial && session.is_some();
                if !stays && hash_fraction(target, session.unwrap_or(request_hash)) < *share {
                    VersionFilter::Only(target.clone())
                } else {
                    VersionFilter::Except(target.clone())
                }
            }
        }
    }
}

/// Hashes a target version and a session to the range from 0 to 1, identically on every host.
fn hash_fraction(target: &str, session: u64) -> f64 {
    let hash = stable_hash(SHARE_SEED, &[target.as_bytes(), &session.to_be_bytes()]);
    hash as f64 / u64::MAX as f64
}
