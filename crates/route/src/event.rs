//! Input events and output effects of the router.

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

/// Input of the router: an event of a request, or a change in configuration, servers or peers.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived; it is authenticated and completely read.
    Arrived(Box<Request>),
    /// The journal granted the claim of a non-idempotent request.
    ClaimGranted {
        request: RequestId,
    },
    /// The journal did not grant the claim; the host has already answered the caller.
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
    /// The complete answer of an attempt arrived and echoed the attempt id.
    Finished {
        attempt: AttemptId,
        summary: AnswerSummary,
    },
    /// An attempt failed.
    Failed {
        attempt: AttemptId,
        failure: AttemptFailure,
    },
    /// The bill of a finished request is safely recorded, and for a claimed request its outcome too, so the final chunk
    /// may be sent.
    Billed {
        request: RequestId,
    },
    /// The caller disconnected.
    CallerGone {
        request: RequestId,
    },
    /// A configuration came into force on this host.
    Configured(Arc<Configuration>),
    /// Whether the configuration in force was confirmed recently enough.
    Confirmed(bool),
    /// Backend servers from the host list; leaving marks newer than the list are already applied.
    Servers(Vec<BackendServer>),
    /// A server is leaving, according to its own answer or to a peer.
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
    /// A peer reported that a backend server died while the content was running.
    Suspected(Fingerprint),
    /// Number of other live entry hosts in the fleet, from which the local share of fleet-wide limits is computed.
    Hosts {
        alive: u32,
    },
    /// This host holds the lease on engine orders until the given time.
    OrdersLease {
        fencing: u64,
        until: Instant,
    },
    /// A peer's statistics of answer quality; replaces what it shared before.
    PeerQuality {
        from: EntryHostId,
        shared: Arc<SharedQuality>,
    },
    /// The host is stopping and takes no new requests.
    Stopping,
    /// The time named by `Router::next_wake` has come.
    Tick,
}

/// What a backend server reported with its complete answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerSummary {
    /// HTTP status; 200 for a good answer.
    pub status: u16,
    pub usage: Usage,
    /// Confidence that the engine reports; higher is better, unbounded. `None` if it reports none.
    pub confidence: Option<f64>,
    /// Whether the server announced that it is leaving.
    pub leaving: bool,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptFailure {
    /// No connection was made, so the request did not run.
    Refused,
    /// The server stated that it did not run the request, because it is busy or leaving.
    Rejected,
    /// The connection broke and new ones fail: the server died while running the request.
    ServerDied,
    /// The connection broke but new ones work.
    ConnectionLost,
    /// The connection went silent but a probe on a new one succeeded: a fault of the connection, not of the server.
    SilentConnection,
    /// No first byte arrived within the timeout from a server that is otherwise responsive.
    TimedOut,
    /// The server ran the request and answered with an error.
    ServerError,
    /// The answer carried the id of another attempt.
    WrongAttempt,
    /// The router cancelled the attempt.
    Cancelled,
}

/// Output of the router: an action for the host to perform.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Store the claim durably and reply with `ClaimGranted` or `ClaimRefused`. The host sets the `at` of the claim.
    Claim(Claim),
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt and discard its output.
    Cancel { attempt: AttemptId },
    /// Send the attempt's output to the caller from now on, beginning with what was buffered so far.
    Deliver { request: RequestId, attempt: AttemptId },
    /// The delivered attempt finished: record its bill safely, then reply with `Billed`.
    Bill { request: RequestId, model_version: Option<ModelVersion>, usage: Usage },
    /// Send the final chunk to the caller.
    Complete(Completion),
    /// End the request without a complete answer.
    Refuse { request: RequestId, refusal: Refusal },
    /// Ask the rating service to rate the delivered answer.
    Rate { request: RequestId },
    /// Record an observation about a version, by which its roll-out is judged.
    Evidence(Evidence),
    /// Tell the peers that the content was running when a backend server died.
    Suspect(Fingerprint),
    /// Tell the peers that the content is quarantined.
    Quarantine(Fingerprint),
    /// Tell the peers that the server is leaving.
    Leaving(BackendServerId),
    /// Close every connection to the server and open new ones.
    RetireConnections(BackendServerId),
    /// Send statistics of answer quality to the peers of the local data centre, or to all peers in a small fleet.
    ShareQuality(Arc<SharedQuality>),
    /// Order an engine to change its loaded versions or role.
    Order(EngineOrder),
}

/// An attempt to be sent to a backend server. Only the router creates one, from a permit granted at the same time.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub server: BackendServerId,
    /// `None` for a plain service.
    pub model_version: Option<ModelVersion>,
    /// Configuration revision under which the attempt was permitted.
    pub revision: u64,
    /// Time by which the backend server must have answered.
    pub deadline: Instant,
    /// Maximum time to the first byte.
    pub first_byte_timeout: Duration,
    pub priority: Priority,
    /// Output tokens that the caller already has; the engine resumes after them.
    pub resume_after: u32,
    /// Proof that the attempt passed the router's checks.
    pub permit: Permit,
}

/// Summary of a request that was answered completely.
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
    /// Number of attempts, including retries, hedges and cascade stages.
    pub attempts: u32,
    /// Time from arrival to the first delivered byte.
    pub first_byte: Duration,
    /// Time from arrival to the end of the answer.
    pub total: Duration,
    /// Session of the request, which is pinned to `model_version` from now on.
    pub session: Option<SessionId>,
    /// Whether the session had to leave the version it was pinned to, because that version may no longer be used.
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

/// Kind of an observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EvidenceKind {
    /// Verdict of the rating service.
    Rated { acceptable: bool },
    /// An attempt ended; `failed` if the version or its server is at fault.
    Ended { failed: bool },
    /// Time to the first byte, and time per output token.
    Latency { first_byte: Duration, per_token: Duration },
}
