//! One request of a caller on its way: what was asked, what was tried, and what is known of its runs.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Fingerprint;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;

use crate::backends::Generation;
use crate::backends::choose::VersionFilter;
use crate::routes::Route;
use crate::routes::Workspace;

/// Id that a caller gives to one try of a request.
pub type CallerRequestId = String;

/// One part of a prompt, in order; requests share parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u64,
}

/// A caller's request as read from the wire, without its body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    pub id: CallerRequestId,
    /// Host that the caller named.
    pub host: String,
    /// Path with its query.
    pub path: String,
    pub key: Option<String>,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// Model that the caller names; `None` where the router chooses.
    pub model: Option<ModelId>,
    pub parts: Vec<PromptPart>,
    pub prompt_tokens: u64,
    pub max_output_tokens: u64,
    /// The caller's guess of the output; right at the median, often far off.
    pub likely_output_tokens: Option<u64>,
    /// Stable hash of the session, where the caller names one.
    pub session: Option<u64>,
    /// Last event that the caller has, where it resumes a stream.
    pub last_event: Option<u64>,
    /// Stable hash of path and body.
    pub fingerprint: Fingerprint,
}

/// What is known of a request's runs, in growing order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Knowledge {
    /// Nothing was sent, or each server said that it did not run it.
    #[default]
    NotRun,
    /// Sent, and nothing certain came back.
    MayHaveRun,
    /// A server ran it.
    Ran,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Whole,
    /// The server answered with a failure after running the request.
    Failed,
    /// The answer was another request's, or could not be read.
    Garbled,
    /// The connection ended before the answer did.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// No connection could be made: surely not sent.
    Unreachable,
    /// Another server has the address and did not run the request.
    Misdirected,
    /// The server said that it did not run the request.
    Full { retry_after: Duration },
    /// The router dropped the answer in favour of another model's.
    Dropped,
    /// The caller left or the time was over.
    Cancelled,
}

/// An attempt to be sent to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Counts up from 1 within the request.
    pub number: u32,
    pub server: BackendServerId,
    pub generation: Generation,
    pub service: ServiceId,
    pub version: VersionId,
    pub address: std::net::SocketAddr,
    /// Model to name to the engine.
    pub model: Option<ModelId>,
    /// When the server must have answered.
    pub deadline: Instant,
    /// Longest wait for the answer's head.
    pub head_timeout: Duration,
    /// Silence of the server in all answers after which it counts as dead.
    pub event_timeout: Duration,
    /// The request may be sent to another server if this attempt fails.
    pub has_spare_try: bool,
    pub priority: Option<u8>,
    /// Event after which the stream goes on.
    pub resume_after: Option<u64>,
    /// A kept connection must not be used: its reset would leave the run in doubt.
    pub fresh_connection: bool,
    /// Prompt tokens that the server is expected to read.
    pub unread_tokens: u64,
    /// Expected cost by which the server was chosen, in milliseconds.
    pub cost_ms: f64,
}

/// A caller's request and its attempts.
#[derive(Debug)]
pub struct Flight {
    pub id: CallerRequestId,
    pub route: Arc<Route>,
    pub service: ServiceId,
    pub workspace: Option<Arc<Workspace>>,
    /// Version of the routing table that admitted it.
    pub table_version: u64,
    pub arrived: Instant,
    /// When the final answer is due.
    pub deadline: Instant,
    pub parts: Vec<PromptPart>,
    pub prompt_tokens: u64,
    /// Output that the caller allows; 0 where it did not say.
    pub max_output_tokens: u64,
    pub knowledge: Knowledge,
    pub attempts: u32,
    pub(crate) requested_model: Option<ModelId>,
    /// Index into the route's models.
    pub(crate) model_step: usize,
    /// Versions that it may run on, once a shift has said so.
    pub(crate) versions: VersionFilter,
    pub(crate) session: Option<u64>,
    /// Stands for the request where it has no session; spread evenly.
    pub(crate) point: u64,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) tried: Vec<BackendServerId>,
    pub(crate) last_event: Option<u64>,
    /// The answer's head went to the caller.
    pub(crate) started: bool,
    /// Since when it has waited for a server, from the first that could not be reached.
    pub(crate) waiting_since: Option<Instant>,
    /// When a server could not be reached, if nothing was sent since.
    pub(crate) unreached: Option<Instant>,
    /// When the attempt under way was sent, while it waits for its first event.
    pub(crate) waits_for_event: Option<Instant>,
    pub(crate) kept_weak: Option<KeptWeak>,
}

/// A weak answer of a small model that was kept: the engines were strained, or no further attempt was left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeptWeak {
    pub confidence: u8,
    /// The ordinary floor.
    pub floor: u8,
    /// Part of the floor that held, from 0 to 1; less than 1 under strain.
    pub floor_part: f64,
}

impl Attempt {
    /// Work up to the first byte, in units that take about a millisecond at an idle server.
    pub(crate) fn work(&self) -> f64 {
        const FIXED_WORK: f64 = 30.0;
        const TOKENS_PER_UNIT: f64 = 50.0;
        FIXED_WORK + self.unread_tokens as f64 / TOKENS_PER_UNIT
    }
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
            AttemptOutcome::Full { .. } => "full",
            AttemptOutcome::Dropped => "dropped",
            AttemptOutcome::Cancelled => "cancelled",
        }
    }
}

impl Flight {
    /// Whether the request may be sent to a server, given what is known of its runs.
    #[must_use]
    pub fn may_be_sent(&self) -> bool {
        self.knowledge == Knowledge::NotRun || self.route.repeatability.may_run_again()
    }

    /// Whether part of the answer went to the caller.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Last event that the caller has.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// The weak answer that was kept, if one was.
    #[must_use]
    pub fn kept_weak(&self) -> Option<KeptWeak> {
        self.kept_weak
    }

    /// Records an event that goes to the caller.
    pub fn forwarded(&mut self, event: u64) {
        self.last_event = Some(event);
    }

    /// Model that the next attempt names to the engine.
    pub(crate) fn model(&self) -> Option<&ModelId> {
        self.route.models.get(self.model_step).or(self.requested_model.as_ref())
    }

    pub(crate) fn learn(&mut self, knowledge: Knowledge) {
        self.knowledge = self.knowledge.max(knowledge);
    }
}
