//! What engines and the rating service publish, and the orders that engines take.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendServerId;
use crate::FencingNumber;
use crate::ModelVersion;
use crate::PrefixHash;
use crate::RequestId;

/// Load that an engine published; lags behind the truth.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub server: BackendServerId,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub waiting: u32,
    /// Age of the figures when they were published, in milliseconds.
    pub lag_ms: u64,
}

/// A change of an engine's prefix cache. Sequence numbers show gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    pub server: BackendServerId,
    pub sequence: u64,
    pub prefix: PrefixHash,
    pub tokens: u32,
    /// True when stored, false when evicted.
    pub present: bool,
}

/// Verdict of the rating service on one answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rating {
    pub request: RequestId,
    pub acceptable: bool,
}

/// Part of the work that an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    Mixed,
    Prefill,
    Decode,
}

/// End state that an order asks for; a repeat is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedState {
    pub loaded: BTreeSet<ModelVersion>,
    pub role: EngineRole,
}

/// An order to an engine. Engines that check fencing refuse a number below the highest they saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    pub server: BackendServerId,
    pub fencing: FencingNumber,
    pub state: OrderedState,
}

/// Evidence about a version, as counters that only grow while a host runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers that the rating service judged, and those that it found not acceptable.
    pub rated: u64,
    pub unacceptable: u64,
    /// Attempts that ended, and those that failed by the version's or its server's fault.
    pub ended: u64,
    pub failed: u64,
    /// Whole answers whose latency was compared with the settled version's, and those that were slow.
    pub timed: u64,
    pub slow: u64,
    /// Distinct callers exposed; an upper bound where hosts share callers.
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
