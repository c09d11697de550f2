//! Number of callers exposed to each version until it was vetoed.

use std::collections::BTreeMap;

use foxtailhoist_model::ModelVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::calendar::Minute;

/// Maximum number of versions whose exposure is kept; beyond it, the version with the earliest first exposure is
/// evicted.
pub const VERSIONS_LIMIT: usize = 256;

/// Exposure of callers to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exposure {
    /// Distinct callers until the veto, or until now. An upper bound: the counts of hosts are added up.
    pub callers: u64,
    /// Time of the first exposure, or of the veto if there was no exposure before it.
    pub since: Minute,
    /// Time of the veto; `None` if the version was not vetoed.
    pub vetoed: Option<Minute>,
}

/// Exposure by version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ExposureTable {
    versions: BTreeMap<ModelVersion, Exposure>,
}

impl ExposureTable {
    pub(crate) fn versions(&self) -> &BTreeMap<ModelVersion, Exposure> {
        &self.versions
    }

    /// Records the number of callers exposed so far; ignored after a veto.
    pub(crate) fn expose(&mut self, minute: Minute, version: &ModelVersion, callers: u64) {
        let exposure = self.entry(minute, version);
        if exposure.vetoed.is_none() {
            exposure.callers = exposure.callers.max(callers);
        }
    }

    pub(crate) fn veto(&mut self, minute: Minute, version: &ModelVersion) {
        self.entry(minute, version).vetoed.get_or_insert(minute);
    }

    pub(crate) fn merge(&mut self, other: &ExposureTable) {
        for (version, theirs) in &other.versions {
            let ours = self.entry(theirs.since, version);
            ours.callers += theirs.callers;
            ours.since = ours.since.min(theirs.since);
            ours.vetoed = match (ours.vetoed, theirs.vetoed) {
                (Some(ours), Some(theirs)) => Some(ours.min(theirs)),
                (ours, theirs) => ours.or(theirs),
            };
        }
    }

    fn entry(&mut self, minute: Minute, version: &ModelVersion) -> &mut Exposure {
        if !self.versions.contains_key(version) {
            self.evict_oldest();
        }
        let new = Exposure { callers: 0, since: minute, vetoed: None };
        self.versions.entry(version.clone()).or_insert(new)
    }

    fn evict_oldest(&mut self) {
        if self.versions.len() < VERSIONS_LIMIT {
            return;
        }
        let oldest = self.versions.iter().min_by_key(|(_, exposure)| exposure.since);
        if let Some(version) = oldest.map(|(version, _)| version.clone()) {
            self.versions.remove(&version);
        }
    }
}
