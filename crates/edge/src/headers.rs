//! Names of the HTTP headers exchanged with backend servers and peers.

/// Attempt id in lower-case hex; the answer must echo it.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// `model@version` that an attempt is for.
pub const MODEL_VERSION: &str = "x-model-version";
/// Priority class of an attempt.
pub const PRIORITY: &str = "x-priority";
/// Time left until the attempt's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Number of tokens that the caller already has.
pub const RESUME_AFTER: &str = "x-resume-after";
/// `1` on a 503 answer of a server that did not run the request.
pub const NOT_RUN: &str = "x-not-run";
/// `1` on every answer of a server that is leaving.
pub const SERVER_LEAVING: &str = "x-server-leaving";
/// Key by which a plain service detects a retry.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Secret that the entry hosts share.
pub const PEER_KEY: &str = "x-peer-key";
/// Id of the entry host that sends a request to a peer.
pub const HOST_ID: &str = "x-host-id";

/// Formats an attempt id for [`ATTEMPT_ID`].
#[must_use]
pub fn attempt_id_text(attempt: u128) -> String {
    format!("{attempt:032x}")
}

/// Parses the value of [`ATTEMPT_ID`].
#[must_use]
pub fn parse_attempt_id(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}
