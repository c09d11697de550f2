//! Difference between two revisions by map entry.
//!
//! Entry hosts send each other deltas, because a change affects a few entries while a body may have thousands. Deltas
//! also show whether two changes affect the same entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::Model;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Preset;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Service;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_model::Workspace;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_model::stable_hash;

/// Entries of one map that differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes<K: Ord, V> {
    /// Added or replaced.
    pub changed: BTreeMap<K, V>,
    pub removed: BTreeSet<K>,
}

/// Changes from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    pub base: Revision,
    pub revision: Revision,
    pub preset: PresetId,
    pub presets: Changes<PresetId, Preset>,
    pub workspaces: Changes<WorkspaceId, Workspace>,
    pub models: Changes<ModelId, Model>,
    pub versions: Changes<ModelVersion, VersionRecord>,
    pub services: Changes<ServiceId, Service>,
    /// Hash of the complete resulting configuration.
    pub result: u64,
}

/// Reason that a delta cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    #[error("delta is for revision {expected}, this host has {found}")]
    BaseMismatch { expected: Revision, found: Revision },
    #[error("result of the delta differs from the sender's; pull the whole body")]
    ResultMismatch,
}

impl Delta {
    /// Computes the difference between two configurations.
    #[must_use]
    pub fn between(before: &Configuration, after: &Configuration) -> Delta {
        Delta {
            base: before.revision,
            revision: after.revision,
            preset: after.preset.clone(),
            presets: Changes::between(&before.presets, &after.presets),
            workspaces: Changes::between(&before.workspaces, &after.workspaces),
            models: Changes::between(&before.models, &after.models),
            versions: Changes::between(&before.versions, &after.versions),
            services: Changes::between(&before.services, &after.services),
            result: configuration_hash(after),
        }
    }

    /// Combines this delta with `later`, whose base is this delta's revision.
    #[must_use]
    pub fn then(mut self, later: &Delta) -> Delta {
        self.revision = later.revision;
        self.preset.clone_from(&later.preset);
        self.presets.merge(&later.presets);
        self.workspaces.merge(&later.workspaces);
        self.models.merge(&later.models);
        self.versions.merge(&later.versions);
        self.services.merge(&later.services);
        self.result = later.result;
        self
    }

    /// Applies this delta to its base.
    ///
    /// # Errors
    ///
    /// Returns an error if `base` has another revision or the result's hash differs from the sender's.
    pub fn apply(&self, base: &Configuration) -> Result<Configuration, DeltaError> {
        if base.revision != self.base {
            return Err(DeltaError::BaseMismatch { expected: self.base, found: base.revision });
        }
        let mut configuration = self.rebase(base);
        configuration.revision = self.revision;
        configuration.preset.clone_from(&self.preset);
        if configuration_hash(&configuration) != self.result {
            return Err(DeltaError::ResultMismatch);
        }
        Ok(configuration)
    }

    /// Applies this delta's entries to `onto`, which keeps its revision and preset.
    #[must_use]
    pub fn rebase(&self, onto: &Configuration) -> Configuration {
        let mut configuration = onto.clone();
        self.presets.apply(&mut configuration.presets);
        self.workspaces.apply(&mut configuration.workspaces);
        self.models.apply(&mut configuration.models);
        self.versions.apply(&mut configuration.versions);
        self.services.apply(&mut configuration.services);
        configuration
    }

    /// Whether both deltas change or remove the same entry.
    #[must_use]
    pub fn overlaps(&self, other: &Delta) -> bool {
        self.presets.overlaps(&other.presets)
            || self.workspaces.overlaps(&other.workspaces)
            || self.models.overlaps(&other.models)
            || self.versions.overlaps(&other.versions)
            || self.services.overlaps(&other.services)
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> Changes<K, V> {
    fn between(before: &BTreeMap<K, V>, after: &BTreeMap<K, V>) -> Changes<K, V> {
        let changed = after
            .iter()
            .filter(|(key, value)| before.get(key) != Some(value))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let removed = before.keys().filter(|key| !after.contains_key(key)).cloned().collect();
        Changes { changed, removed }
    }

    fn merge(&mut self, later: &Changes<K, V>) {
        for (key, value) in &later.changed {
            self.removed.remove(key);
            self.changed.insert(key.clone(), value.clone());
        }
        for key in &later.removed {
            self.changed.remove(key);
            self.removed.insert(key.clone());
        }
    }

    fn apply(&self, map: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            map.remove(key);
        }
        for (key, value) in &self.changed {
            map.insert(key.clone(), value.clone());
        }
    }

    fn overlaps(&self, other: &Changes<K, V>) -> bool {
        let changed_by_other =
            |key: &K| other.changed.contains_key(key) || other.removed.contains(key);
        self.changed.keys().chain(&self.removed).any(changed_by_other)
    }
}

fn configuration_hash(configuration: &Configuration) -> u64 {
    let encoded = serde_json::to_vec(configuration).unwrap_or_default();
    stable_hash(0, &[&encoded])
}
