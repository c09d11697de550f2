//! Calls to the platform's object API, represented as data.
//!
//! Decision modules emit a [`StoreOp`] and later receive a [`StoreResult`]; only the driver calls the store.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ObjectKey;
use crate::ObjectVersion;

/// Number of restores of the store from a copy; 0 if the store does not state it.
pub type StoreEra = u64;

/// Position in the store's history. After a restore, numbers go back and are given out again in a new era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreRevision {
    pub era: StoreEra,
    pub number: u64,
}

/// One call. Each counts against the store's rate limits, including a watch that waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOp {
    Get {
        key: ObjectKey,
    },
    /// Objects whose key starts with `prefix` and is above `after`, in key order, at most `limit`.
    List {
        prefix: String,
        after: Option<ObjectKey>,
        limit: usize,
    },
    Put {
        key: ObjectKey,
        value: Bytes,
        condition: Condition,
    },
    Delete {
        key: ObjectKey,
        condition: Condition,
    },
    /// Waits until an object under `prefix` has a version above `after`, or `wait` has passed.
    Watch {
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    },
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    Any,
    Absent,
    Version(ObjectVersion),
}

/// An object and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    pub key: ObjectKey,
    pub version: ObjectVersion,
    pub value: Bytes,
}

/// Response to a call that the store carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// To `Get`.
    Object(Option<Object>),
    /// To `List`, and to `Watch` (empty when the wait has passed); with the store's version at that time.
    Objects { objects: Vec<Object>, at: ObjectVersion },
    /// To `Put`: the object's new version.
    Written(ObjectVersion),
    /// To `Delete`.
    Deleted,
    /// To `Put` or `Delete` whose condition did not hold: nothing was changed.
    Conflict,
}

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreError {
    /// Nothing took effect.
    #[error("the object API is unavailable")]
    Unavailable,
    /// No answer arrived: a write may or may not have taken effect.
    #[error("the object API did not answer in time; the effect is unknown")]
    Unknown,
    /// Nothing took effect; retry later.
    #[error("the object API is over its rate; retry after {retry_after_ms} ms")]
    Throttled { retry_after_ms: u64 },
    /// Nothing took effect and a retry would not help.
    #[error("the object API refused the call: {reason}")]
    Refused { reason: String },
}

/// Outcome of a call.
pub type StoreResult = Result<StoreReply, StoreError>;

impl StoreOp {
    /// Whether the call counts against the store's write rate.
    #[must_use]
    pub fn is_write(&self) -> bool {
        match self {
            StoreOp::Put { .. } | StoreOp::Delete { .. } => true,
            StoreOp::Get { .. } | StoreOp::List { .. } | StoreOp::Watch { .. } => false,
        }
    }
}
