//! Structural difference between two revisions, by map entry.
//!
//! Entry hosts send each other deltas, because a change touches a few entries and a body may hold thousands. The
//! same structure shows whether two changes touch an entry in common.

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

/// What turns one revision into a later one.
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
    /// Hash of the whole result.
    pub result: u64,
}

/// A delta that cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    #[error("delta is for revision {expected}, this host has {found}")]
    OtherBase { expected: Revision, found: Revision },
    #[error("result of the delta differs from the sender's; pull the whole body")]
    ResultDiffers,
}

impl Delta {
    /// Difference between two configurations.
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

    /// This delta followed by `later`, whose base is this one's revision.
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

    /// Configuration that results from this delta on its base.
    ///
    /// # Errors
    ///
    /// Refuses another base, and a result that is not the sender's.
    pub fn apply(&self, base: &Configuration) -> Result<Configuration, DeltaError> {
        if base.revision != self.base {
            return Err(DeltaError::OtherBase { expected: self.base, found: base.revision });
        }
        let mut configuration = self.rebase(base);
        configuration.revision = self.revision;
        configuration.preset.clone_from(&self.preset);
        if configuration_hash(&configuration) != self.result {
            return Err(DeltaError::ResultDiffers);
        }
        Ok(configuration)
    }

    /// `onto` with this delta's entries; revision and preset stay.
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

    /// Whether both deltas touch an entry in common.
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
        let touched_by_other =
            |key: &K| other.changed.contains_key(key) || other.removed.contains(key);
        self.changed.keys().chain(&self.removed).any(touched_by_other)
    }
}

fn configuration_hash(configuration: &Configuration) -> u64 {
    let encoded = serde_json::to_vec(configuration).unwrap_or_default();
    stable_hash(0, &[&encoded])
}
