//! The edges of the process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::CacheEvent;
use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::LoadReport;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Priority;
use foxtailhoist_model::Rating;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::AttemptFailure;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The platform's object API.
pub trait ObjectApi: Send + Sync {
    /// Carries out one call.
    fn call(&self, op: StoreOp) -> BoxFuture<'_, StoreResult>;
}

/// The platform's host list.
pub trait HostListApi: Send + Sync {
    /// Entry hosts and backend servers, with the list's lag.
    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>>;
}

/// Backend servers: model engines and plain services.
pub trait BackendApi: Send + Sync {
    /// Sends an attempt. The outer future ends with the answer's head; dropping either cancels the attempt.
    fn start(&self, attempt: AttemptRequest)
    -> BoxFuture<'_, Result<AttemptStart, AttemptFailure>>;

    /// Load and cache events since a sequence number.
    fn feed(
        &self,
        server: SocketAddr,
        after: u64,
    ) -> BoxFuture<'_, Result<EngineFeed, PlatformError>>;

    /// Asks an engine for an end state.
    fn order(
        &self,
        server: SocketAddr,
        order: EngineOrder,
    ) -> BoxFuture<'_, Result<(), PlatformError>>;

    /// Opens a new connection and asks for a sign of life.
    fn probe(&self, server: SocketAddr) -> BoxFuture<'_, Result<(), PlatformError>>;

    /// Closes all connections to a server; later attempts open new ones.
    fn retire(&self, server: SocketAddr);
}

/// The rating service.
pub trait RatingApi: Send + Sync {
    /// Verdict on one answer; may take seconds.
    fn rate(&self, rating: RatingRequest) -> BoxFuture<'_, Result<Rating, PlatformError>>;
}

/// Other entry hosts.
pub trait PeerApi: Send + Sync {
    /// Delivers one encoded message and returns the peer's encoded reply.
    fn send(&self, address: SocketAddr, message: Bytes) -> BoxFuture<'_, Result<Bytes, PeerError>>;

    /// Fetches the peer's encoded metrics for the burn report.
    fn metrics(&self, address: SocketAddr) -> BoxFuture<'_, Result<Bytes, PeerError>>;

    /// Closes all connections to a peer; later messages open new ones.
    fn retire(&self, address: SocketAddr);
}

/// What the host list shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    pub entry_hosts: Vec<ListedHost>,
    pub backend_servers: Vec<BackendServer>,
}

/// One attempt, ready to be sent.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    pub attempt: AttemptId,
    pub address: SocketAddr,
    pub model_version: Option<ModelVersion>,
    /// HTTP method and path of a plain service's call; `POST /v1/chat/completions` for an engine.
    pub method: String,
    pub path: String,
    pub body: Bytes,
    pub content_type: String,
    pub streamed: bool,
    pub priority: Priority,
    /// Time left till the deadline.
    pub remaining: Duration,
    /// Longest wait for the answer's head.
    pub first_byte_timeout: Duration,
    /// Tokens to skip where the engine can resume.
    pub resume_after: u32,
    /// Passed on to a plain service that can use it.
    pub idempotency_key: Option<String>,
}

/// Head of an attempt's answer and the pieces that follow.
pub struct AttemptStart {
    /// HTTP status.
    pub status: u16,
    pub content_type: String,
    pub pieces: BoxStream<'static, Result<AttemptOutput, AttemptFailure>>,
}

/// Piece of an attempt's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutput {
    /// Bytes for the caller and the tokens in them. For a streamed answer, one whole SSE `data:` payload.
    Piece { bytes: Bytes, tokens: u32 },
    /// The answer is whole. Absent at the end of a broken answer.
    End(AnswerSummary),
}

/// Load and cache events that an engine published.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineFeed {
    pub load: Option<LoadReport>,
    pub cache: Vec<CacheEvent>,
    /// To be passed as `after` next time.
    pub sequence: u64,
    /// The server says that it is leaving.
    pub leaving: bool,
}

/// An answer to be rated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingRequest {
    pub request: RequestId,
    pub model_version: ModelVersion,
    pub class: String,
    pub answer: String,
}

/// A platform service did not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    #[error("no connection: {0}")]
    Unreachable(String),
    #[error("no answer in time")]
    TimedOut,
    #[error("refused with status {status}: {reason}")]
    Refused { status: u16, reason: String },
    #[error("answer cannot be read: {0}")]
    Malformed(String),
}

/// A peer did not take a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    #[error("no connection")]
    Unreachable,
    #[error("no answer in time")]
    TimedOut,
    #[error("refused: the peer key does not match")]
    Unauthenticated,
    #[error("answer cannot be read")]
    Malformed,
}
