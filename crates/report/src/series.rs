//! Counters by workspace, version, server, data centre and preset.
//!
//! Each request is counted once along each dimension. Separate dimensions, instead of one counter for every combination
//! of labels, bound a host's memory by the sum of the label cardinalities and not by their product.

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

/// Name under which everything beyond a limit is counted.
pub const OTHER: &str = "(other)";

/// Maximum names per dimension with their own counters in each bucket; further ones are counted together as [`OTHER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeriesLimits {
    pub workspaces: usize,
    pub versions: usize,
    pub servers: usize,
    pub data_centres: usize,
    pub presets: usize,
}

/// Limits for the metrics of one host.
pub const HOST_LIMITS: SeriesLimits =
    SeriesLimits { workspaces: 256, versions: 32, servers: 128, data_centres: 32, presets: 16 };
/// Limits for metrics merged from a whole fleet, which exist only while a report is built.
pub const FLEET_LIMITS: SeriesLimits = SeriesLimits {
    workspaces: 10_000,
    versions: 64,
    servers: 12_000,
    data_centres: 64,
    presets: 64,
};

/// A dimension and a name in it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SeriesKey {
    Workspace(WorkspaceId),
    Version(ModelVersion),
    Server(BackendServerId),
    DataCentre(DataCentreId),
    Preset(PresetId),
}

/// First and last revision under which a preset was in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    pub first: Revision,
    pub last: Revision,
}

/// Counters of one time bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireSeries", into = "WireSeries")]
pub struct SeriesSet {
    series: BTreeMap<SeriesKey, Counters>,
    revisions: BTreeMap<PresetId, Revisions>,
}

/// Serialized form: counters as a list, because formats such as JSON allow only strings as map keys.
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
    /// Updates the counters of the labels' workspace.
    pub(crate) fn count_workspace(
        &mut self,
        labels: &Labels,
        limits: SeriesLimits,
        change: impl Fn(&mut Counters),
    ) {
        change(self.counters(SeriesKey::Workspace(labels.workspace.clone()), limits));
    }

    /// Updates the counters of the labels' server, if any.
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

    /// Updates the counters along all other dimensions of the labels.
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
        self.extend_revisions(&labels.preset, revisions, limits);
    }

    /// Merges another set into this one.
    pub(crate) fn merge(&mut self, other: &SeriesSet, limits: SeriesLimits) {
        for (key, counters) in &other.series {
            self.counters(key.clone(), limits).add(counters);
        }
        for (preset, revisions) in &other.revisions {
            self.extend_revisions(preset, *revisions, limits);
        }
    }

    /// Iterates over all counters and their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&SeriesKey, &Counters)> {
        self.series.iter()
    }

    /// Revisions by preset.
    #[must_use]
    pub fn revisions(&self) -> &BTreeMap<PresetId, Revisions> {
        &self.revisions
    }

    fn counters(&mut self, key: SeriesKey, limits: SeriesLimits) -> &mut Counters {
        let key = if self.series.contains_key(&key) || self.has_capacity(&key, limits) {
            key
        } else {
            key.overflow_key()
        };
        self.series.entry(key).or_default()
    }

    fn has_capacity(&self, key: &SeriesKey, limits: SeriesLimits) -> bool {
        let dimension = std::mem::discriminant(key);
        let same = self.series.keys().filter(|known| std::mem::discriminant(*known) == dimension);
        same.count() < key.limit(limits)
    }

    fn extend_revisions(&mut self, preset: &PresetId, revisions: Revisions, limits: SeriesLimits) {
        if !self.revisions.contains_key(preset) && self.revisions.len() >= limits.presets {
            return;
        }
        let known = self.revisions.entry(preset.clone()).or_insert(revisions);
        known.first = known.first.min(revisions.first);
        known.last = known.last.max(revisions.last);
    }
}

impl SeriesKey {
    /// Key of the same dimension for names beyond the limit.
    fn overflow_key(&self) -> SeriesKey {
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
    /// Keys of the labels in all dimensions except workspace and server.
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
