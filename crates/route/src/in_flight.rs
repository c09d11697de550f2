//! A caller's request in flight: what was requested, the attempts made, and whether it may have run.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Fingerprint;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;

use crate::attempt_times::AttemptTimes;
use crate::backends::Generation;
use crate::backends::score::Terms;
use crate::fair_share::Cost;
use crate::routes::Route;
use crate::routes::Workspace;

/// Id that a caller gives to a request; a caller's retry has another one.
pub type CallerRequestId = String;

/// One part of a prompt; requests with a common prefix share their first parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u64,
}

/// A caller's request as read from the wire, without its body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    pub id: CallerRequestId,
    /// Host name that the caller requested.
    pub host: String,
    /// Path with its query.
    pub path: String,
    pub key: Option<String>,
    /// Time that the caller waits for the answer.
    pub caller_timeout: Option<Duration>,
    /// Model that the caller requested; `None` where the router chooses.
    pub model: Option<ModelId>,
    pub parts: Vec<PromptPart>,
    pub prompt_tokens: u64,
    pub max_output_tokens: u64,
    /// The caller's estimate of the output length: right at the median, often far off.
    pub likely_output_tokens: Option<u64>,
    /// Stable hash of the session id, if the request has one.
    pub session: Option<u64>,
    /// Last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Stable hash of path and body.
    pub fingerprint: Fingerprint,
}

/// Whether a request ran on a server, as far as known; ordered, so that the greater value prevails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExecutionStatus {
    /// Nothing was sent, or each server stated that it did not run the request.
    #[default]
    NotRun,
    /// Sent, without a reliable statement from the server.
    MayHaveRun,
    /// A server ran the request.
    Ran,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer arrived.
    Whole,
    /// The server answered with a failure after running the request.
    Failed,
    /// The answer belonged to another request or could not be parsed.
    Garbled,
    /// The connection closed before the answer was complete.
    Broken,
    /// The server showed no activity until the timeout.
    Silent,
    /// No connection was established, so the request was certainly not sent.
    Unreachable,
    /// The address now belongs to another server, which did not run the request.
    Misdirected,
    /// The server's data centre was evacuated before the request was sent to it.
    Evacuated,
    /// The server stated that it did not run the request.
    Full { retry_after: Duration },
    /// The router dropped the answer to replace it by another model's.
    Dropped,
    /// The caller disconnected or the deadline passed.
    Cancelled,
}

/// An attempt to be sent to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Counts from 1 within the request.
    pub number: u32,
    pub server: BackendServerId,
    pub generation: Generation,
    /// Start of the server's process in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    pub service: ServiceId,
    pub version: VersionId,
    pub address: std::net::SocketAddr,
    /// Model to request from the engine.
    pub model: Option<ModelId>,
    /// Time by which the server must have answered.
    pub deadline: Instant,
    /// Timeout for the answer's head.
    pub head_timeout: Duration,
    /// Silence of the server in all its answers after which it counts as dead.
    pub server_silence_timeout: Duration,
    /// Whether the request may be sent to another server if this attempt fails.
    pub has_retry_left: bool,
    pub priority: Option<u8>,
    /// Event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Requires a new connection: a reset of a kept-alive connection would leave it unknown whether the request ran.
    pub fresh_connection: bool,
    /// Prompt tokens expected to need prefill because they are not in the server's prefix cache.
    pub prefill_tokens: u64,
    /// Expected cost of the chosen server, in milliseconds.
    pub cost_ms: f64,
    /// Terms of the cost, if the shared view of the servers was used.
    pub terms: Option<Terms>,
}

/// A caller's request and the state of its attempts.
#[derive(Debug)]
pub struct InFlightRequest {
    pub id: CallerRequestId,
    pub route: Arc<Route>,
    pub service: ServiceId,
    pub workspace: Option<Arc<Workspace>>,
    /// Version of the routing table that the request was admitted with.
    pub table_version: u64,
    pub arrived: Instant,
    /// Time by which the final answer is due.
    pub deadline: Instant,
    pub parts: Vec<PromptPart>,
    pub prompt_tokens: u64,
    /// Maximum output tokens that the caller allows; 0 if not given.
    pub max_output_tokens: u64,
    /// Estimated cost, and the same corrected by the workspace's earlier requests.
    pub(crate) cost_estimate: Cost,
    pub(crate) cost: Cost,
    pub execution: ExecutionStatus,
    pub attempts: u32,
    pub(crate) requested_model: Option<ModelId>,
    /// Index into the route's models.
    pub(crate) model_index: usize,
    /// Version of the last attempt that may have run.
    pub(crate) version: Option<VersionId>,
    pub(crate) session: Option<u64>,
    /// Uniformly distributed hash of the request id; replaces the session hash where there is none.
    pub(crate) request_hash: u64,
    pub(crate) fingerprint: Fingerprint,
    /// Whether it is sent once to learn whether the quarantined parts of its prompt still crash servers.
    pub(crate) is_trial: bool,
    /// Servers that the request was sent to or that were unreachable.
    pub(crate) tried_servers: Vec<BackendServerId>,
    /// Last event that the caller received.
    pub(crate) last_event: Option<u64>,
    /// Whether the answer's head was passed on to the caller.
    pub(crate) answer_started: bool,
    /// Start of the current wait for a server: when the first one was unreachable or none could be chosen.
    pub(crate) waiting_for_server_since: Option<Instant>,
    /// When a server was last found unreachable, if nothing was sent since.
    pub(crate) last_unreachable: Option<Instant>,
    /// When the current attempt was sent, while it waits for its first event.
    pub(crate) awaiting_first_event_since: Option<Instant>,
    pub(crate) times: AttemptTimes,
    pub(crate) low_confidence_answer: Option<LowConfidenceAnswer>,
}

/// A low-confidence answer of a small model that was kept because of latency pressure, because no further attempt was
/// allowed, or because the host exits too soon for one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LowConfidenceAnswer {
    pub confidence: u8,
    /// Configured confidence floor.
    pub floor: u8,
    /// Fraction of the floor that applied, from 0 to 1; less than 1 under latency pressure.
    pub floor_part: f64,
}

impl Attempt {
    /// Work up to the first byte.
    pub(crate) fn work(&self) -> f64 {
        work(self.prefill_tokens)
    }
}

/// Work up to the first byte, in units that take about one millisecond on an idle server.
pub(crate) fn work(prefill_tokens: u64) -> f64 {
    const FIXED_WORK: f64 = 30.0;
    const TOKENS_PER_UNIT: f64 = 50.0;
    FIXED_WORK + prefill_tokens as f64 / TOKENS_PER_UNIT
}

impl AttemptOutcome {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            AttemptOutcome::Whole => "whole",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Garbled => "garbled",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::Silent => "silent",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::Misdirected => "misdirected",
            AttemptOutcome::Evacuated => "evacuated",
            AttemptOutcome::Full { .. } => "full",
            AttemptOutcome::Dropped => "dropped",
            AttemptOutcome::Cancelled => "cancelled",
        }
    }
}

impl InFlightRequest {
    /// Whether the request may be sent to a server, given its execution status.
    #[must_use]
    pub fn may_be_sent(&self) -> bool {
        self.execution == ExecutionStatus::NotRun || self.route.repeatability.allows_retry()
    }

    /// Whether the answer's head was passed on to the caller.
    #[must_use]
    pub fn answer_started(&self) -> bool {
        self.answer_started
    }

    /// Stable hash of path and body.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Last event that the caller received.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// The low-confidence answer that was kept, if any.
    #[must_use]
    pub fn low_confidence_answer(&self) -> Option<LowConfidenceAnswer> {
        self.low_confidence_answer
    }

    /// Records that an event is passed on to the caller.
    pub fn record_forwarded_event(&mut self, event: u64) {
        self.last_event = Some(event);
    }

    /// Model that the next attempt requests from the engine.
    pub(crate) fn model(&self) -> Option<&ModelId> {
        self.route.models.get(self.model_index).or(self.requested_model.as_ref())
    }

    /// Raises the execution status; it never falls.
    pub(crate) fn record_execution(&mut self, status: ExecutionStatus) {
        self.execution = self.execution.max(status);
    }
}
