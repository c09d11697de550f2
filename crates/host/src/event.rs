//! What an entry host is told and what it asks of its shell.

use std::net::SocketAddr;
use std::time::SystemTime;

use bytes::Bytes;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::CacheEvent;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::LoadReport;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Rating;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Completion;
use foxtailhoist_route::event::Dispatch;

use crate::operator::OperatorCommand;
use crate::operator::OperatorReply;

/// Names a store call between its effect and its result.
pub type CallId = u64;
/// Names an operator's command between its event and its reply.
pub type CommandId = u64;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request, authenticated and read whole.
    Request(Box<Request>),
    /// The caller of a request left.
    CallerGone { request: RequestId },
    /// Something about an attempt.
    Attempt { attempt: AttemptId, news: AttemptEvent },
    /// A store call ended.
    Store { call: CallId, result: StoreResult },
    /// The host list was read.
    HostList { entry_hosts: Vec<ListedHost>, backend_servers: Vec<BackendServer> },
    /// A backend server published load or cache events.
    Feed {
        server: BackendServerId,
        load: Option<LoadReport>,
        cache: Vec<CacheEvent>,
        leaving: bool,
    },
    /// The rating service judged an answer.
    Rated(Rating),
    /// A peer's message, authenticated.
    Message { from: EntryHostId, body: Bytes },
    /// A message could not be delivered.
    SendFailed { to: EntryHostId },
    /// An operator's command, authenticated.
    Operator { command: CommandId, order: Box<OperatorCommand> },
    /// Stop: finish what runs, take nothing new.
    Stop,
    /// The time named by `EntryHost::next_wake` has come; `wall` is the calendar time.
    Tick { wall: SystemTime },
}

/// Something about an attempt.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The first byte was written to the backend server.
    Sent,
    /// The first byte of the answer arrived.
    FirstByte,
    /// Tokens delivered to the caller so far.
    Progress {
        tokens: u32,
    },
    /// The whole answer arrived; `body` is its bounded head, for a repeat of a non-idempotent request.
    Finished {
        summary: AnswerSummary,
        body: Vec<u8>,
    },
    Failed(AttemptFailure),
}

/// Something to be done for the entry host.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt.
    Cancel {
        attempt: AttemptId,
    },
    /// The attempt's output goes to the caller from now on, its last piece withheld.
    Deliver {
        request: RequestId,
        attempt: AttemptId,
    },
    /// The last piece may go out.
    Complete(Box<Completion>),
    /// The caller of a repeated request gets the recorded outcome.
    Replay {
        request: RequestId,
        outcome: ClaimOutcome,
    },
    /// The request ends without a whole answer.
    Refuse {
        request: RequestId,
        refusal: Refusal,
    },
    /// Ask the rating service about the request's answer.
    Rate {
        request: RequestId,
    },
    /// Close all connections to a backend server.
    RetireConnections(BackendServerId),
    /// Close all connections to a peer.
    RetirePeer {
        address: SocketAddr,
    },
    /// Ask an engine for a state.
    Order(EngineOrder),
    Store {
        call: CallId,
        op: StoreOp,
    },
    Send {
        to: EntryHostId,
        address: SocketAddr,
        body: Bytes,
    },
    /// Reply to an operator's command.
    Operator {
        command: CommandId,
        reply: Result<OperatorReply, Refusal>,
    },
    /// One line for the log and a count for the metrics.
    Note(Note),
    /// Nothing is held any more; the process may exit.
    Stopped,
}

/// What is worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    ConfigurationAdopted { revision: Revision, preset: PresetId },
    ConfigurationConfirmed(bool),
    StoreFellBack { shown: Revision, in_force: Revision },
    Vetoed { model_version: ModelVersion, reason: String },
    VetoCleared { model_version: ModelVersion },
    Quarantined { fingerprint: u64 },
    ServerLeaving { server: BackendServerId },
    HostsAlive { count: usize },
    Leading(bool),
    Watching(bool),
    Refused { workspace: WorkspaceId, kind: ErrorKind },
    ConfigurationRefused { revision: Revision, reason: String },
    InvariantViolated { detail: String },
}
