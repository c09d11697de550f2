//! Traits for the services outside the process, and the types that they exchange.

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
    /// Executes one operation.
    fn call(&self, op: StoreOp) -> BoxFuture<'_, StoreResult>;
}

/// The platform's host list.
pub trait HostListApi: Send + Sync {
    /// Reads the listed entry hosts and backend servers. The list lags behind the actual state.
    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>>;
}

/// Backend servers: model engines and plain services.
pub trait BackendApi: Send + Sync {
    /// Sends an attempt. The future resolves with the answer's head; dropping the future or the returned chunk stream
    /// cancels the attempt.
    fn start(&self, attempt: AttemptRequest)
    -> BoxFuture<'_, Result<AttemptStart, AttemptFailure>>;

    /// Reads the load and the cache events since a sequence number.
    fn feed(
        &self,
        server: SocketAddr,
        after: u64,
    ) -> BoxFuture<'_, Result<EngineFeed, PlatformError>>;

    /// Orders an engine to reach a target state.
    fn order(
        &self,
        server: SocketAddr,
        order: EngineOrder,
    ) -> BoxFuture<'_, Result<(), PlatformError>>;

    /// Checks over a new connection that the server responds.
    fn probe(&self, server: SocketAddr) -> BoxFuture<'_, Result<(), PlatformError>>;

    /// Stops reusing the open connections to a server: answers in progress keep theirs, later attempts open new ones.
    fn retire(&self, server: SocketAddr);
}

/// The rating service.
pub trait RatingApi: Send + Sync {
    /// Rates one answer; may take seconds.
    fn rate(&self, rating: RatingRequest) -> BoxFuture<'_, Result<Rating, PlatformError>>;
}

/// Other entry hosts.
pub trait PeerApi: Send + Sync {
    /// Delivers one encoded message and returns the peer's encoded reply.
    fn send(&self, address: SocketAddr, message: Bytes) -> BoxFuture<'_, Result<Bytes, PeerError>>;

    /// Fetches the peer's encoded metrics for the burn report.
    fn metrics(&self, address: SocketAddr) -> BoxFuture<'_, Result<Bytes, PeerError>>;

    /// Stops reusing the open connections to a peer; later messages open new ones.
    fn retire(&self, address: SocketAddr);
}

/// Contents of the host list.
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
    /// HTTP method; `POST` for an engine.
    pub method: String,
    /// Path and query; `/v1/chat/completions` for an engine.
    pub path: String,
    pub body: Bytes,
    pub content_type: String,
    pub streamed: bool,
    pub priority: Priority,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Longest wait for the answer's head.
    pub first_byte_timeout: Duration,
    /// Tokens that the caller already has; an engine that can resume skips them.
    pub resume_after: u32,
    /// Key that a plain service can use to detect retries.
    pub idempotency_key: Option<String>,
}

/// Head of an attempt's answer and the stream of its chunks.
pub struct AttemptStart {
    /// HTTP status.
    pub status: u16,
    pub content_type: String,
    pub chunks: BoxStream<'static, Result<AttemptOutput, AttemptFailure>>,
}

/// Item of an attempt's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutput {
    /// Bytes for the caller and the number of tokens in them. For a streamed answer, one complete SSE `data:` payload.
    Chunk { bytes: Bytes, tokens: u32 },
    /// End of a complete answer. A broken answer does not have it.
    End(AnswerSummary),
}

/// Load and cache events that an engine published.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineFeed {
    pub load: Option<LoadReport>,
    pub cache: Vec<CacheEvent>,
    /// Value to pass as `after` in the next call.
    pub sequence: u64,
    /// Whether the server announced that it is leaving.
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

/// Failure of a call to a platform service or backend server.
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

/// Failure of a call to a peer.
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
