//! Which versions of a service a request may run on while traffic shifts from one to another.
//!
//! A request belongs to the new version if the hash of its session lies below the share. All hosts agree on that without
//! talking, and a growing share moves each session once. While the shift is in its trial, sessions stay where they are
//! and only requests without one take part: sessions are served by many hosts at once, so none of these knows whether
//! one is new.

use foxtailhoist_model::VersionId;
use foxtailhoist_model::stable_hash;

use crate::backends::choose::VersionFilter;

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
    /// A share of the requests goes to a new version.
    Shift {
        target: VersionId,
        /// From 0 to 1.
        share: f64,
        /// Sessions stay on the old version.
        is_trial: bool,
    },
}

impl VersionRule {
    /// The versions that a request may run on; `point` stands for a request without a session and is spread evenly.
    pub(crate) fn filter(&self, session: Option<u64>, point: u64) -> VersionFilter {
        match self {
            VersionRule::Any => VersionFilter::Any,
            VersionRule::Except(version) => VersionFilter::Except(version.clone()),
            VersionRule::Only(version) => VersionFilter::Only(version.clone()),
            VersionRule::Shift { target, share, is_trial } => {
                let stays = *is_trial && session.is_some();
                if !stays && fraction(target, session.unwrap_or(point)) < *share {
                    VersionFilter::Only(target.clone())
                } else {
                    VersionFilter::Except(target.clone())
                }
            }
        }
    }
}

/// Place of a session between 0 and 1, the same on every host.
fn fraction(target: &str, session: u64) -> f64 {
    let hash = stable_hash(SHARE_SEED, &[target.as_bytes(), &session.to_be_bytes()]);
    hash as f64 / u64::MAX as f64
}
