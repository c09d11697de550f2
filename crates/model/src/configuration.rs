//! The operators' configuration: workspaces, models, versions, services and presets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ModelId;
use crate::ModelVersion;
use crate::PresetId;
use crate::Priority;
use crate::Revision;
use crate::ServiceId;
use crate::TaskClass;
use crate::VersionRecord;
use crate::WorkspaceId;

/// The whole configuration at one revision. Exactly one preset is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    #[serde(default)]
    pub revision: Revision,
    /// The preset in force; a key of `presets`.
    pub preset: PresetId,
    pub presets: BTreeMap<PresetId, Preset>,
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    pub models: BTreeMap<ModelId, Model>,
    pub versions: BTreeMap<ModelVersion, VersionRecord>,
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
}

/// A customer's API keys and entitlements.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// SHA-256 of each API key, in lower-case hex.
    pub api_key_digests: BTreeSet<String>,
    /// Share of a contended resource relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: f64,
    #[serde(default)]
    pub priority: Priority,
    /// How an entry host handles this workspace's requests while the host's configuration is unconfirmed.
    #[serde(default)]
    pub when_stale: StalePolicy,
}

/// How an entry host that cannot confirm its configuration handles a workspace's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StalePolicy {
    /// Continues, but only with settled versions.
    #[default]
    Settled,
    /// Refuses them.
    Refuse,
}

/// A model and its prices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Price per million prompt tokens, in one currency for all models.
    pub price_in: f64,
    /// Price per million generated tokens, in the same currency.
    pub price_out: f64,
}

/// A plain service behind the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// First path segments of idempotent calls; every other call runs at most once.
    #[serde(default)]
    pub idempotent_paths: BTreeSet<String>,
}

/// A set of rules that operators put in force as a whole, such as for peak load or maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Models that each workspace may use; a workspace that is absent may use none.
    pub allowed: BTreeMap<WorkspaceId, BTreeSet<ModelId>>,
    /// Task classes that may go to models cheaper than the best allowed one.
    #[serde(default)]
    pub cheaper_for: BTreeSet<TaskClass>,
    pub quality: QualityTarget,
    pub rollout: RolloutPolicy,
    pub limits: Limits,
}

/// Quality that a cheaper model must be shown to reach.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QualityTarget {
    /// Largest shortfall in the share of acceptable answers against the best allowed model.
    BelowBest(f64),
    /// Smallest share of acceptable answers.
    AtLeast(f64),
}

/// How versions are rolled out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPolicy {
    pub steps: Vec<RolloutStep>,
}

/// One step of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStep {
    /// Largest share of the model's requests that go to the version, 0 to 1.
    pub share: f64,
    /// Largest number of distinct callers exposed, over all entry hosts.
    pub callers: u32,
    /// Shortest time at the step, in seconds.
    pub hold_seconds: u64,
    /// Rated answers required before the next step.
    pub rated_answers: u32,
}

/// Limits that a preset sets on the handling of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest ratio of retries and hedges to first attempts, 0 to 1.
    pub retry_share: f64,
    /// Largest number of queued requests per entry host.
    pub queue: usize,
    /// Deadline of a request that states none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Target time to first token of streamed requests, in milliseconds.
    pub first_token_ms: u64,
}

impl Configuration {
    /// The preset in force, if it is defined.
    #[must_use]
    pub fn preset_in_force(&self) -> Option<&Preset> {
        self.presets.get(&self.preset)
    }
}

impl Limits {
    /// Deadline of a request that states none.
    #[must_use]
    pub fn default_deadline(&self) -> Duration {
        Duration::from_millis(self.default_deadline_ms)
    }

    /// Target time to first token of streamed requests.
    #[must_use]
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { retry_share: 0.1, queue: 1024, default_deadline_ms: 20_000, first_token_ms: 640 }
    }
}

fn default_weight() -> f64 {
    1.0
}
