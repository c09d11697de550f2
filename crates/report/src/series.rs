//! Counters by workspace, version, server, data centre and preset.
//!
//! Each request is counted once along each dimension. Keeping the dimensions apart, rather than one counter for every
//! combination, bounds a host's memory by the sum of the names and not by their product.

use std::collections::BTreeMap;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::counters::Counters;
use crate::observation::Labels;

/// Name of what is counted beyond a limit.
pub const OTHER: &str = "(other)";

/// Names that are counted apart, in each bucket; further ones are counted together as [`OTHER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeriesLimits {
    pub workspaces: usize,
    pub versions: usize,
    pub servers: usize,
    pub data_centres: usize,
    pub presets: usize,
}

/// Limits of a host that records.
pub const HOST_LIMITS: SeriesLimits =
    SeriesLimits { workspaces: 256, versions: 32, servers: 128, data_centres: 32, presets: 16 };
/// Limits of metrics merged from a whole fleet, at the time of a report only.
pub const FLEET_LIMITS: SeriesLimits = SeriesLimits {
    workspaces: 10_000,
    versions: 64,
    servers: 12_000,
    data_centres: 64,
    presets: 64,
};

/// One name along one dimension.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SeriesKey {
    Workspace(WorkspaceId),
    Version(ModelVersion),
    Server(BackendServerId),
    DataCentre(DataCentreId),
    Preset(PresetId),
}

/// Revisions under which a preset was in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    pub first: Revision,
    pub last: Revision,
}

/// Counters of one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireSeries", into = "WireSeries")]
pub struct SeriesSet {
    series: BTreeMap<SeriesKey, Counters>,
    revisions: BTreeMap<PresetId, Revisions>,
}

/// Counters on the wire, where a key that is no text cannot stand in a map.
#[derive(Serialize, Deserialize)]
struct WireSeries {
    series: Vec<KeyedCounters>,
    revisions: BTreeMap<PresetId, Revisions>,
}

#[derive(Serialize, Deserialize)]
struct KeyedCounters {
    key: SeriesKey,
    counters: Counters,
}

impl SeriesSet {
    /// Changes the counters of a workspace.
    pub(crate) fn count_workspace(
        &mut self,
        labels: &Labels,
        limits: SeriesLimits,
        change: impl Fn(&mut Counters),
    ) {
        change(self.counters(SeriesKey::Workspace(labels.workspace.clone()), limits));
    }

    /// Changes the counters of a server.
    pub(crate) fn count_server(
        &mut self,
        labels: &Labels,
        limits: SeriesLimits,
        change: impl Fn(&mut Counters),
    ) {
        if let Some(server) = &labels.server {
            change(self.counters(SeriesKey::Server(server.clone()), limits));
        }
    }

    /// Changes the counters along every other dimension of the labels.
    pub(crate) fn count_others(
        &mut self,
        labels: &Labels,
        limits: SeriesLimits,
        change: impl Fn(&mut Counters),
    ) {
        for key in labels.other_keys() {
            change(self.counters(key, limits));
        }
        let revisions = Revisions { first: labels.revision, last: labels.revision };
        self.widen(&labels.preset, revisions, limits);
    }

    /// Adds another set.
    pub(crate) fn merge(&mut self, other: &SeriesSet, limits: SeriesLimits) {
        for (key, counters) in &other.series {
            self.counters(key.clone(), limits).add(counters);
        }
        for (preset, revisions) in &other.revisions {
            self.widen(preset, *revisions, limits);
        }
    }

    /// Counters by name and dimension.
    pub fn iter(&self) -> impl Iterator<Item = (&SeriesKey, &Counters)> {
        self.series.iter()
    }

    /// Revisions by preset.
    #[must_use]
    pub fn revisions(&self) -> &BTreeMap<PresetId, Revisions> {
        &self.revisions
    }

    fn counters(&mut self, key: SeriesKey, limits: SeriesLimits) -> &mut Counters {
        let key = if self.series.contains_key(&key) || self.has_room(&key, limits) {
            key
        } else {
            key.other()
        };
        self.series.entry(key).or_default()
    }

    fn has_room(&self, key: &SeriesKey, limits: SeriesLimits) -> bool {
        let dimension = std::mem::discriminant(key);
        let same = self.series.keys().filter(|known| std::mem::discriminant(*known) == dimension);
        same.count() < key.limit(limits)
    }

    fn widen(&mut self, preset: &PresetId, revisions: Revisions, limits: SeriesLimits) {
        if !self.revisions.contains_key(preset) && self.revisions.len() >= limits.presets {
            return;
        }
        let known = self.revisions.entry(preset.clone()).or_insert(revisions);
        known.first = known.first.min(revisions.first);
        known.last = known.last.max(revisions.last);
    }
}

impl SeriesKey {
    /// The key under which names beyond the limit are counted.
    fn other(&self) -> SeriesKey {
        match self {
            SeriesKey::Workspace(_) => SeriesKey::Workspace(OTHER.to_owned()),
            SeriesKey::Version(_) => SeriesKey::Version(ModelVersion::new(OTHER, OTHER)),
            SeriesKey::Server(_) => SeriesKey::Server(OTHER.to_owned()),
            SeriesKey::DataCentre(_) => SeriesKey::DataCentre(OTHER.to_owned()),
            SeriesKey::Preset(_) => SeriesKey::Preset(OTHER.to_owned()),
        }
    }

    fn limit(&self, limits: SeriesLimits) -> usize {
        match self {
            SeriesKey::Workspace(_) => limits.workspaces,
            SeriesKey::Version(_) => limits.versions,
            SeriesKey::Server(_) => limits.servers,
            SeriesKey::DataCentre(_) => limits.data_centres,
            SeriesKey::Preset(_) => limits.presets,
        }
    }
}

impl Labels {
    /// One key for each dimension that the labels name, besides the workspace and the server.
    fn other_keys(&self) -> impl Iterator<Item = SeriesKey> {
        let version = self.model_version.clone().map(SeriesKey::Version);
        let data_centre = Some(SeriesKey::DataCentre(self.data_centre.clone()));
        let preset = Some(SeriesKey::Preset(self.preset.clone()));
        [version, data_centre, preset].into_iter().flatten()
    }
}

impl From<WireSeries> for SeriesSet {
    fn from(wire: WireSeries) -> SeriesSet {
        let pairs = wire.series.into_iter().map(|keyed| (keyed.key, keyed.counters));
        SeriesSet { series: pairs.collect(), revisions: wire.revisions }
    }
}

impl From<SeriesSet> for WireSeries {
    fn from(set: SeriesSet) -> WireSeries {
        let series = set.series.into_iter();
        let series = series.map(|(key, counters)| KeyedCounters { key, counters }).collect();
        WireSeries { series, revisions: set.revisions }
    }
}
