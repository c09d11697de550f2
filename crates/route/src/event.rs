//! What the router is told and what it asks for.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::CacheEvent;
use foxtailhoist_model::CallerId;
use foxtailhoist_model::Claim;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Fingerprint;
use foxtailhoist_model::LoadReport;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Priority;
use foxtailhoist_model::Rating;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::TaskClass;
use foxtailhoist_model::Usage;
use foxtailhoist_model::WorkspaceId;

use crate::permit::Permit;
use crate::shared::SharedQuality;

/// Something that happened to a request or to the world.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived, authenticated and read whole.
    Arrived(Box<Request>),
    /// The journal granted the claim of a non-idempotent request.
    ClaimGranted {
        request: RequestId,
    },
    /// The journal did not grant it; the host has answered the caller.
    ClaimRefused {
        request: RequestId,
    },
    /// The first byte of an attempt was written to its backend server.
    Sent {
        attempt: AttemptId,
    },
    /// The first byte of the answer arrived.
    FirstByte {
        attempt: AttemptId,
    },
    /// Tokens delivered to the caller so far, from which an engine may resume.
    Progress {
        attempt: AttemptId,
        tokens: u32,
    },
    /// The whole answer of an attempt arrived and echoed the attempt id.
    Finished {
        attempt: AttemptId,
        summary: AnswerSummary,
    },
    /// An attempt failed.
    Failed {
        attempt: AttemptId,
        failure: AttemptFailure,
    },
    /// The bill of a finished request is safe: its last piece may go out.
    Billed {
        request: RequestId,
    },
    /// The caller left.
    CallerGone {
        request: RequestId,
    },
    /// A configuration came into force on this host.
    Configured(Arc<Configuration>),
    /// Whether the configuration in force is confirmed recently enough.
    Confirmed(bool),
    /// The host list's backend servers, with later marks of leaving applied.
    Servers(Vec<BackendServer>),
    /// A server is leaving: seen in its own answer or told by a peer.
    Leaving(BackendServerId),
    Load(LoadReport),
    Cache(CacheEvent),
    Rated(Rating),
    /// A version was vetoed, here or by a peer.
    Vetoed(ModelVersion),
    /// An operator lifted a veto.
    VetoCleared(ModelVersion),
    /// A content was quarantined, here or by a peer.
    Quarantined(Fingerprint),
    /// A content's attempt ran when a backend server died, as told by a peer.
    Suspected(Fingerprint),
    /// Other entry hosts alive in all; local shares of fleet-wide limits follow it.
    Hosts {
        alive: u32,
    },
    /// The lease on engine orders is held here until the given time.
    OrdersLease {
        fencing: u64,
        until: Instant,
    },
    /// What a peer learned of answers' quality; replaces what it shared before.
    PeerQuality {
        from: EntryHostId,
        shared: Arc<SharedQuality>,
    },
    /// The host stops: no new requests.
    Stopping,
    /// The time named by `Router::next_wake` has come.
    Tick,
}

/// What an engine said about its whole answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerSummary {
    /// HTTP status; 200 for a good answer.
    pub status: u16,
    pub usage: Usage,
    /// The engine's own confidence; higher is better, unbounded. `None` where it reports none.
    pub confidence: Option<f64>,
    /// The server says that it is leaving.
    pub leaving: bool,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptFailure {
    /// No connection was made: surely not run.
    Refused,
    /// The server said that it did not run the request (busy, leaving).
    Rejected,
    /// The connection broke and new ones fail: the server died with the request in it.
    ServerDied,
    /// The connection broke but new ones work.
    ConnectionLost,
    /// The connection went silent and a probe on a new one succeeded: not the server's fault.
    SilentConnection,
    /// No first byte within the time-out and the server is only slow.
    TimedOut,
    /// The server answered with a failure after running.
    ServerError,
    /// The answer carried another attempt's id.
    WrongAttempt,
    /// Cancelled on request of the router.
    Cancelled,
}

/// Something to be done for the router.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Make the claim durable; answer with `ClaimGranted` or `ClaimRefused`. `at` of the claim is set by the host.
    Claim(Claim),
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt; its output is not wanted.
    Cancel { attempt: AttemptId },
    /// From now on the attempt's output goes to the caller, beginning with what has been withheld.
    Deliver { request: RequestId, attempt: AttemptId },
    /// The delivered attempt finished: make its bill safe, then answer with `Billed`.
    Bill { request: RequestId, model_version: Option<ModelVersion>, usage: Usage },
    /// The last piece may go to the caller.
    Complete(Completion),
    /// The request ends without a whole answer.
    Refuse { request: RequestId, refusal: Refusal },
    /// Ask the rating service about the request's delivered answer.
    Rate { request: RequestId },
    /// Evidence on a version for its judge.
    Evidence(Evidence),
    /// A content was running when a backend server died; tell the peers.
    Suspect(Fingerprint),
    /// A content is quarantined; tell the peers.
    Quarantine(Fingerprint),
    /// A server is leaving; tell the peers.
    Leaving(BackendServerId),
    /// Close every connection to the server and open new ones.
    RetireConnections(BackendServerId),
    /// Tell peers of the own data centre, or all in a small fleet, what was learned of answers' quality.
    ShareQuality(Arc<SharedQuality>),
    /// Ask an engine for a state.
    Order(EngineOrder),
}

/// An attempt to be sent. Only the router can build one, from a permit that it has just checked.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub server: BackendServerId,
    /// `None` for a plain service.
    pub model_version: Option<ModelVersion>,
    /// Revision under which it was permitted.
    pub revision: u64,
    /// When the backend server must have answered.
    pub deadline: Instant,
    /// Longest wait for the first byte.
    pub first_byte_timeout: Duration,
    pub priority: Priority,
    /// Tokens that the caller already has; the engine resumes after them.
    pub resume_after: u32,
    /// Leave to run the attempt; only the router's checks make one.
    pub permit: Permit,
}

/// How a request ended well.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub workspace: WorkspaceId,
    pub class: Option<TaskClass>,
    pub model_version: Option<ModelVersion>,
    pub server: BackendServerId,
    pub revision: u64,
    pub usage: Usage,
    /// Attempts of the request, retries and hedges and cascades included.
    pub attempts: u32,
    /// From arrival to the first delivered byte.
    pub first_byte: Duration,
    /// From arrival to the end.
    pub total: Duration,
    /// Version that the session keeps from now on.
    pub session: Option<SessionId>,
    /// The session had to leave a withdrawn version.
    pub session_moved: bool,
}

/// One observation about a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    pub model_version: ModelVersion,
    pub caller: CallerId,
    pub class: TaskClass,
    pub kind: EvidenceKind,
}

/// What was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EvidenceKind {
    /// The rating service's verdict.
    Rated { acceptable: bool },
    /// An attempt ended; `failed` by the version's or its server's fault.
    Ended { failed: bool },
    /// First byte and time per output token of a whole answer.
    Latency { first_byte: Duration, per_token: Duration },
}
