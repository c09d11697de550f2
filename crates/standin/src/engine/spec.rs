//! Settings of a stand-in engine, and the faults that can be switched on.

use std::collections::BTreeSet;
use std::time::Duration;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::ModelVersion;
use serde::Deserialize;
use serde::Serialize;

/// Settings of a stand-in engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpec {
    pub id: BackendServerId,
    pub data_centre: DataCentreId,
    /// Versions loaded at startup.
    pub loaded: BTreeSet<ModelVersion>,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Maximum requests in the batch at the same time.
    pub slots: u32,
    /// Maximum requests waiting for the batch; further ones are refused as not run.
    pub waiting_limit: usize,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_second: f64,
    /// Time for each generated token when alone in the batch, in milliseconds.
    pub decode_ms: f64,
    /// Time added per generated token for each further request in the batch, in milliseconds.
    pub decode_ms_per_extra: f64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Probability that an answer is acceptable, 0 to 1.
    pub acceptable: f64,
    /// Age of the published load, in milliseconds.
    pub load_lag_ms: u64,
    /// Age of the published cache events, in milliseconds.
    pub cache_lag_ms: u64,
    /// Share of cache events that are lost, 0 to 1.
    pub lost_event_share: f64,
    pub seed: u64,
}

/// Faults of an engine; `POST /faults` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor on all computation times; 1 when absent.
    pub slow_factor: Option<f64>,
    /// A prompt with this text crashes the engine: it drops all connections and refuses new ones for a second.
    pub crash_on: Option<String>,
    /// Connections used before this fault was set are never answered again; new ones work.
    pub silent: bool,
    /// Delay before each response head, in milliseconds.
    pub answer_late_ms: u64,
    /// Answers carry a wrong attempt id.
    pub crossed: bool,
    /// Degraded versions.
    pub bad: Vec<BadVersion>,
    /// Answers say that the server is leaving.
    pub leaving: bool,
    /// Share of requests that fail with an error after they ran, 0 to 1.
    pub error_share: f64,
    /// Streams break off after this many tokens.
    pub break_after: Option<u32>,
    /// Streams stall after this many tokens.
    pub stall_after: Option<u32>,
}

/// A degraded version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadVersion {
    pub version: ModelVersion,
    /// Share of answers that are not acceptable, 0 to 1.
    #[serde(default)]
    pub unacceptable_share: f64,
    /// Share of requests that fail with an error, 0 to 1.
    #[serde(default)]
    pub error_share: f64,
}

/// Counters of an engine since its start; `GET /stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineStats {
    /// Attempts that reached the batch.
    pub started: u64,
    pub finished: u64,
    /// Attempts that ended before their answer was complete, as when the connection closes.
    pub cancelled: u64,
    /// Attempts that reached the batch while the engine was leaving.
    pub started_while_leaving: u64,
    /// Prompt tokens served from the cache.
    pub cached_tokens: u64,
    pub crashes: u64,
    /// Currently loaded versions.
    pub loaded: BTreeSet<ModelVersion>,
    /// Highest fencing number of an accepted order.
    pub fencing: u64,
    /// Orders refused for an old fencing number.
    pub fenced_off: u64,
}

impl Default for EngineSpec {
    fn default() -> EngineSpec {
        EngineSpec {
            id: "engine".to_owned(),
            data_centre: "local".to_owned(),
            loaded: BTreeSet::new(),
            checks_fencing: true,
            slots: 32,
            waiting_limit: 128,
            prefill_tokens_per_second: 12_000.0,
            decode_ms: 14.0,
            decode_ms_per_extra: 0.25,
            cache_tokens: 160_000,
            acceptable: 0.95,
            load_lag_ms: 500,
            cache_lag_ms: 1_000,
            lost_event_share: 0.02,
            seed: 1,
        }
    }
}

impl EngineSpec {
    /// Time to process prompt tokens that are not cached.
    pub(crate) fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_second)
    }

    /// Time for one generated token with this many requests in the batch.
    pub(crate) fn decode_time(&self, running: u32) -> Duration {
        let extra = f64::from(running.saturating_sub(1)) * self.decode_ms_per_extra;
        Duration::from_secs_f64((self.decode_ms + extra) / 1_000.0)
    }
}

impl EngineFaults {
    pub(crate) fn slowed(&self, time: Duration) -> Duration {
        time.mul_f64(self.slow_factor.unwrap_or(1.0).max(0.0))
    }

    pub(crate) fn bad_version(&self, version: &ModelVersion) -> Option<&BadVersion> {
        self.bad.iter().find(|bad| bad.version == *version)
    }

    pub(crate) fn error_share(&self, version: &ModelVersion) -> f64 {
        self.bad_version(version)
            .map_or(self.error_share, |bad| bad.error_share.max(self.error_share))
    }
}
