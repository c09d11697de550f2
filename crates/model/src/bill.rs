//! What the journal keeps: bills, and claims on non-idempotent requests.

use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::ModelVersion;
use crate::RequestId;
use crate::WorkspaceId;

/// Tokens that an answer used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// A charge for one whole answer; unique by (workspace, request).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    pub workspace: WorkspaceId,
    pub request: RequestId,
    /// `None` for a plain service.
    pub model_version: Option<ModelVersion>,
    pub usage: Usage,
    pub at: SystemTime,
}

/// Names a non-idempotent request for all time within the retention.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    pub workspace: WorkspaceId,
    pub idempotency_key: String,
}

/// Right to run a non-idempotent request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub key: ClaimKey,
    pub request: RequestId,
    /// Hash of the content: the same key with other content is a mistake of the caller.
    pub content: u64,
    pub at: SystemTime,
}

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// Ran; the status and a bounded head of the answer are kept for the repeat.
    Ran { status: u16, body: Vec<u8> },
    /// Did not run; the key is free again.
    NotRun,
}

/// Answer of the journal to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The claim is durable: the request may be dispatched, once.
    Granted,
    /// Another request with the key ran; this is its outcome.
    Recorded(ClaimOutcome),
    /// Another request with the key holds the claim and has no outcome yet.
    Undecided,
    /// The key was used with other content.
    ContentDiffers,
    /// The claim could not be made in time; nothing may run.
    Unavailable,
}
