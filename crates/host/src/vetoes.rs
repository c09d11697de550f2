//! Vetoes and the epochs by which operators clear them.
//!
//! A veto carries an epoch: the number of clearances that its host had seen for the version. A clearance lifts the
//! vetoes of all lower epochs. So a delayed veto cannot take effect again after its clearance, and a clearance cannot
//! lift a veto that was raised after it.

use std::collections::BTreeMap;

use foxtailhoist_model::ModelVersion;

/// Vetoes known to one host.
#[derive(Clone, Debug, Default)]
pub struct Vetoes {
    versions: BTreeMap<ModelVersion, Epochs>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Epochs {
    /// Highest epoch of a veto plus one, or 0 without vetoes.
    vetoed: u64,
    /// Number of clearances so far.
    cleared: u64,
}

impl Vetoes {
    /// Epoch for a veto raised now.
    #[must_use]
    pub fn epoch(&self, version: &ModelVersion) -> u64 {
        self.versions.get(version).map_or(0, |epochs| epochs.cleared)
    }

    /// Records a veto; returns whether it newly put the version under veto.
    pub fn veto(&mut self, version: &ModelVersion, epoch: u64) -> bool {
        let epochs = self.versions.entry(version.clone()).or_default();
        let was_in_force = epochs.in_force();
        epochs.vetoed = epochs.vetoed.max(epoch + 1);
        epochs.in_force() && !was_in_force
    }

    /// Records a clearance of the vetoes below `epoch`; returns whether that lifted the veto on the version.
    pub fn clear(&mut self, version: &ModelVersion, epoch: u64) -> bool {
        let epochs = self.versions.entry(version.clone()).or_default();
        let was_in_force = epochs.in_force();
        epochs.cleared = epochs.cleared.max(epoch);
        was_in_force && !epochs.in_force()
    }

    #[must_use]
    pub fn contains(&self, version: &ModelVersion) -> bool {
        self.versions.get(version).is_some_and(|epochs| epochs.in_force())
    }

    /// Vetoed versions.
    pub fn in_force(&self) -> impl Iterator<Item = &ModelVersion> {
        self.versions.iter().filter(|(_, epochs)| epochs.in_force()).map(|(version, _)| version)
    }
}

impl Epochs {
    fn in_force(self) -> bool {
        self.vetoed > self.cleared
    }
}
