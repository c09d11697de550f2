//! Journal records: bills, and claims on non-idempotent requests.

use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::ModelVersion;
use crate::RequestId;
use crate::WorkspaceId;

/// Token counts of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// Charge for one complete answer; unique by (workspace, request).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    pub workspace: WorkspaceId,
    pub request: RequestId,
    /// `None` for a plain service.
    pub model_version: Option<ModelVersion>,
    pub usage: Usage,
    pub at: SystemTime,
}

/// Identifies a non-idempotent request for as long as the journal retains it.
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
    /// Hash of the content; reusing a key with different content is an error of the caller.
    pub content: u64,
    pub at: SystemTime,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// Ran; the status and the start of the body, up to a limit, are kept to answer a retry.
    Ran { status: u16, body: Vec<u8> },
    /// Did not run; the key can be claimed again.
    NotRun,
}

/// The journal's response to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The claim is durable: the request may be dispatched, once.
    Granted,
    /// A request with the key ended; this is its outcome.
    Recorded(ClaimOutcome),
    /// Another request with the key holds the claim and has no outcome yet.
    Undecided,
    /// The key was used with different content.
    ContentDiffers,
    /// The claim could not be made in time; the request must not run.
    Unavailable,
}
