//! What happened within one minute or hour.

use std::collections::BTreeMap;

use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::counters::Counters;
use crate::latencies::Latencies;
use crate::observation::Labels;

/// Sets of labels that one bucket counts apart while recording; further ones lose all but workspace, preset and
/// revision.
pub const SERIES_LIMIT: usize = 256;
/// Sets of labels in a bucket beyond which further ones are counted under [`OTHER_WORKSPACE`].
pub const FOLDED_SERIES_LIMIT: usize = 2 * SERIES_LIMIT;
/// Sets of labels in a bucket merged from many hosts.
pub const MERGED_SERIES_LIMIT: usize = 16_384;
/// Workspaces with distributions of their own in a bucket.
pub const DISTRIBUTIONS_LIMIT: usize = 256;
/// Workspace of what is counted beyond the limits.
pub const OTHER_WORKSPACE: &str = "(other)";

/// Counts and distributions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "WireBucket", into = "WireBucket")]
pub struct Bucket {
    series: BTreeMap<Labels, Counters>,
    distributions: BTreeMap<WorkspaceId, Distributions>,
}

/// Latencies of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Distributions {
    pub first_token: Latencies,
    pub total: Latencies,
}

/// A bucket on the wire, where a key of several fields cannot stand in a map.
#[derive(Serialize, Deserialize)]
struct WireBucket {
    series: Vec<Series>,
    distributions: BTreeMap<WorkspaceId, Distributions>,
}

#[derive(Serialize, Deserialize)]
struct Series {
    labels: Labels,
    counters: Counters,
}

impl Bucket {
    /// Counters for labels, within the bounds of recording.
    pub(crate) fn counters(&mut self, labels: &Labels) -> &mut Counters {
        let labels = self.bounded(labels);
        self.series.entry(labels).or_default()
    }

    /// Distributions of a workspace, within the bound.
    pub(crate) fn distributions(&mut self, workspace: &str) -> &mut Distributions {
        let is_known = self.distributions.contains_key(workspace);
        let has_room = self.distributions.len() < DISTRIBUTIONS_LIMIT;
        let name = if is_known || has_room { workspace } else { OTHER_WORKSPACE };
        self.distributions.entry(name.to_owned()).or_default()
    }

    /// Counts by labels.
    pub fn series(&self) -> impl Iterator<Item = (&Labels, &Counters)> {
        self.series.iter()
    }

    /// Distributions by workspace.
    pub fn distributions_by_workspace(&self) -> &BTreeMap<WorkspaceId, Distributions> {
        &self.distributions
    }

    /// Adds another bucket.
    pub(crate) fn merge(&mut self, other: &Bucket) {
        for (labels, counters) in &other.series {
            let is_known = self.series.contains_key(labels);
            if is_known || self.series.len() < MERGED_SERIES_LIMIT {
                self.series.entry(labels.clone()).or_default().add(counters);
            } else {
                self.series.entry(other_labels()).or_default().add(counters);
            }
        }
        for (workspace, distributions) in &other.distributions {
            self.distributions(workspace).merge(distributions);
        }
    }

    /// Gives up the live distributions' memory.
    pub(crate) fn seal(&mut self) {
        for distributions in self.distributions.values_mut() {
            distributions.first_token.seal();
            distributions.total.seal();
        }
    }

    fn bounded(&self, labels: &Labels) -> Labels {
        if self.series.contains_key(labels) || self.series.len() < SERIES_LIMIT {
            return labels.clone();
        }
        let folded = Labels {
            workspace: labels.workspace.clone(),
            preset: labels.preset.clone(),
            revision: labels.revision,
            ..Labels::default()
        };
        if self.series.contains_key(&folded) || self.series.len() < FOLDED_SERIES_LIMIT {
            return folded;
        }
        other_labels()
    }
}

impl Distributions {
    pub(crate) fn merge(&mut self, other: &Distributions) {
        self.first_token.merge(&other.first_token);
        self.total.merge(&other.total);
    }
}

fn other_labels() -> Labels {
    Labels { workspace: OTHER_WORKSPACE.to_owned(), ..Labels::default() }
}

impl From<WireBucket> for Bucket {
    fn from(wire: WireBucket) -> Bucket {
        let pairs = wire.series.into_iter().map(|series| (series.labels, series.counters));
        Bucket { series: pairs.collect(), distributions: wire.distributions }
    }
}

impl From<Bucket> for WireBucket {
    fn from(bucket: Bucket) -> WireBucket {
        let series = bucket.series.into_iter();
        let series = series.map(|(labels, counters)| Series { labels, counters }).collect();
        WireBucket { series, distributions: bucket.distributions }
    }
}
