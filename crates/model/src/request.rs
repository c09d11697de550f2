//! Requests as the decision modules see them, without their content.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::CallerId;
use crate::Fingerprint;
use crate::ModelVersion;
use crate::PrefixHash;
use crate::RequestId;
use crate::ServiceId;
use crate::SessionId;
use crate::TaskClass;
use crate::WorkspaceId;

/// One request of a caller. The driver holds its content under `id`.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub workspace: WorkspaceId,
    pub caller: CallerId,
    pub target: Target,
    pub priority: Priority,
    pub idempotency: Idempotency,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Hash of workspace and content; a resent request has the same.
    pub fingerprint: Fingerprint,
}

/// What a request is for.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// A chat completion.
    Chat {
        class: TaskClass,
        /// Model that the caller requires, among those allowed.
        model: Option<String>,
        session: Option<SessionPin>,
        prompt_tokens: u32,
        max_output_tokens: u32,
        /// Hash of the part of the prompt that requests share.
        prefix: PrefixHash,
        /// Length of the shared part, in tokens.
        prefix_tokens: u32,
        streamed: bool,
    },
    /// A call of a plain service.
    Service { service: ServiceId },
}

/// A session and the version that it is pinned to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionPin {
    pub session: SessionId,
    /// `None` until the first answer.
    pub version: Option<ModelVersion>,
}

/// Whether a request may run more than once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A second run is harmless.
    Idempotent,
    /// Runs at most once per key; `from_caller` is false for a key that the entry host generated.
    AtMostOnce { key: String, from_caller: bool },
}

/// Priority class, in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    Batch,
    #[default]
    Normal,
    Urgent,
}

impl Request {
    /// Whether a second run would do harm.
    #[must_use]
    pub fn at_most_once(&self) -> bool {
        matches!(self.idempotency, Idempotency::AtMostOnce { .. })
    }

    /// Whether the caller receives tokens as they are generated.
    #[must_use]
    pub fn streamed(&self) -> bool {
        matches!(self.target, Target::Chat { streamed: true, .. })
    }
}
