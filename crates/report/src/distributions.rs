//! Latency distributions of the workspaces within half a day.

use std::collections::BTreeMap;

use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::latencies::Latencies;
use crate::observation::CompletedRequest;
use crate::series::OTHER;

/// Workspaces with separate distributions in each half day; further ones are counted together as [`OTHER`].
pub const DISTRIBUTIONS_LIMIT: usize = 32;

/// Distributions by workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DistributionSet {
    workspaces: BTreeMap<WorkspaceId, Distributions>,
}

/// Latencies of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Distributions {
    pub first_token: Latencies,
    pub total: Latencies,
}

impl DistributionSet {
    pub(crate) fn record(&mut self, request: &CompletedRequest) {
        let distributions = self.of(&request.labels.workspace);
        distributions.total.record(request.total);
        if let Some(first_token) = request.first_token {
            distributions.first_token.record(first_token);
        }
    }

    /// Merges another set into this one.
    pub(crate) fn merge(&mut self, other: &DistributionSet) {
        for (workspace, theirs) in &other.workspaces {
            self.of(workspace).merge(theirs);
        }
    }

    /// Frees the memory of the decoded histograms.
    pub(crate) fn compress(&mut self) {
        for distributions in self.workspaces.values_mut() {
            distributions.first_token.compress();
            distributions.total.compress();
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&WorkspaceId, &Distributions)> {
        self.workspaces.iter()
    }

    fn of(&mut self, workspace: &str) -> &mut Distributions {
        let is_known = self.workspaces.contains_key(workspace);
        let has_capacity = self.workspaces.len() < DISTRIBUTIONS_LIMIT;
        let name = if is_known || has_capacity { workspace } else { OTHER };
        self.workspaces.entry(name.to_owned()).or_default()
    }
}

impl Distributions {
    pub(crate) fn merge(&mut self, other: &Distributions) {
        self.first_token.merge(&other.first_token);
        self.total.merge(&other.total);
    }
}
