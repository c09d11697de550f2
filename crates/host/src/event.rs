//! Events that an entry host handles and effects that its driver performs.

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

/// Matches the result of a store call to its effect.
pub type CallId = u64;
/// Matches the reply to an operator's command to its event.
pub type CommandId = u64;

/// Input of [`EntryHost::handle`](crate::EntryHost::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request, authenticated and read completely.
    Request(Box<Request>),
    /// The caller of a request disconnected.
    CallerDisconnected { request: RequestId },
    /// An attempt made progress or ended.
    Attempt { attempt: AttemptId, update: AttemptEvent },
    /// A store call completed or failed.
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
    /// The rating service rated an answer.
    Rated(Rating),
    /// An authenticated message from a peer.
    Message { from: EntryHostId, body: Bytes },
    /// A message could not be delivered.
    SendFailed { to: EntryHostId },
    /// An authenticated command from an operator.
    Operator { command: CommandId, operator_command: Box<OperatorCommand> },
    /// Finish the running requests and accept no new ones.
    Stop,
    /// The time returned by [`EntryHost::next_wake`](crate::EntryHost::next_wake) has come; `wall` is the wall-clock
    /// time.
    Tick { wall: SystemTime },
}

/// Progress or end of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The first byte was written to the backend server.
    Sent,
    /// The first byte of the answer arrived.
    FirstByte,
    /// Tokens have been delivered to the caller; `tokens` counts all of them so far.
    Progress {
        tokens: u32,
    },
    /// The complete answer arrived; `body` holds it up to a size limit, for retries of a non-idempotent request.
    Finished {
        summary: AnswerSummary,
        body: Vec<u8>,
    },
    Failed(AttemptFailure),
}

/// Output of [`EntryHost::handle`](crate::EntryHost::handle), performed by the driver.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt.
    Cancel {
        attempt: AttemptId,
    },
    /// Forward the attempt's output to the caller from now on, but withhold its final chunk.
    Deliver {
        request: RequestId,
        attempt: AttemptId,
    },
    /// Release the final chunk.
    Complete(Box<Completion>),
    /// Send the recorded outcome to the caller of a retried request.
    Replay {
        request: RequestId,
        outcome: ClaimOutcome,
    },
    /// End the request without a complete answer.
    Refuse {
        request: RequestId,
        refusal: Refusal,
    },
    /// Ask the rating service to rate the request's answer.
    Rate {
        request: RequestId,
    },
    /// Close all connections to a backend server.
    RetireConnections(BackendServerId),
    /// Close all connections to a peer.
    RetirePeer {
        address: SocketAddr,
    },
    /// Order an engine to load a set of versions and take a role.
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
    /// Write a log line and count it in the metrics.
    Notification(Notification),
    /// The journal has committed its records or handed them over to peers; the process may exit.
    Stopped,
}

/// A state change or failure worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    ConfigurationAdopted {
        revision: Revision,
        preset: PresetId,
    },
    /// Whether the configuration in force was recently confirmed as the store's newest.
    ConfigurationConfirmed(bool),
    /// The store returned the revision `shown`, which is older than the one in force.
    StoreFellBack {
        shown: Revision,
        in_force: Revision,
    },
    Vetoed {
        model_version: ModelVersion,
        reason: String,
    },
    VetoCleared {
        model_version: ModelVersion,
    },
    Quarantined {
        fingerprint: u64,
    },
    ServerLeaving {
        server: BackendServerId,
    },
    /// Number of entry hosts that are alive and reachable, including this one until it stops.
    HostsAlive {
        count: usize,
    },
    /// Whether this host holds the lease of the roll-out controller.
    Leading(bool),
    /// Whether this host is a watcher of its data centre.
    Watching(bool),
    Refused {
        workspace: WorkspaceId,
        kind: ErrorKind,
    },
    /// The store's newest configuration cannot be used; the one in force stays.
    ConfigurationRefused {
        revision: Revision,
        reason: String,
    },
    InvariantViolated {
        detail: String,
    },
}
