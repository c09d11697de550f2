//! Reports of engines and of the rating service, and orders to engines.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendServerId;
use crate::FencingNumber;
use crate::ModelVersion;
use crate::PrefixHash;
use crate::RequestId;

/// Load that an engine published; lags behind its actual load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub server: BackendServerId,
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests that wait to join the batch.
    pub waiting: u32,
    /// Age of the values when they were published, in milliseconds.
    pub lag_ms: u64,
}

/// A change of an engine's prefix cache. A gap in the sequence numbers means lost events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    pub server: BackendServerId,
    pub sequence: u64,
    pub prefix: PrefixHash,
    /// Length of the prefix.
    pub tokens: u32,
    /// True when stored, false when evicted.
    pub present: bool,
}

/// The rating service's verdict on one answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rating {
    pub request: RequestId,
    pub acceptable: bool,
}

/// Inference phases that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    Mixed,
    Prefill,
    Decode,
}

/// Desired state of an engine; ordering it again is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedState {
    pub loaded: BTreeSet<ModelVersion>,
    pub role: EngineRole,
}

/// An order to an engine. Engines that check fencing reject a number below the highest that they have seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    pub server: BackendServerId,
    pub fencing: FencingNumber,
    pub state: OrderedState,
}

/// Counters of evidence about a version; they only grow while a host runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers that the rating service rated.
    pub rated: u64,
    /// Rated answers that were not acceptable.
    pub unacceptable: u64,
    /// Attempts that ended.
    pub ended: u64,
    /// Ended attempts that failed through a fault of the version or its server.
    pub failed: u64,
    /// Attempts, complete or timed out, whose time per token was compared with the host's usual time for the model and
    /// task class.
    pub timed: u64,
    /// Timed attempts that were slow.
    pub slow: u64,
    /// Distinct callers exposed, counted up to a limit on each host; a sum over hosts counts a shared caller once for
    /// each host.
    pub callers: u64,
}

impl Tally {
    /// Sum of two hosts' counters.
    #[must_use]
    pub fn plus(self, other: Tally) -> Tally {
        Tally {
            rated: self.rated + other.rated,
            unacceptable: self.unacceptable + other.unacceptable,
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
            timed: self.timed + other.timed,
            slow: self.slow + other.slow,
            callers: self.callers + other.callers,
        }
    }
}
