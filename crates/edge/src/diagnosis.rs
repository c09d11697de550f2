//! Distinguishes a dead server, a slow server and a silent connection.
//!
//! An open connection can stop carrying bytes while new connections to the same server work, because a device on the
//! path has dropped the connection's state. On the old connection this cannot be distinguished from a slow server, so
//! the probe always uses a new connection. An engine that does not know an attempt never received it.

use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhoist_model::AttemptId;
use foxtailhoist_route::event::AttemptFailure;
use reqwest::header::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::call;
use crate::call::CallAnswer;
use crate::call::CallError;
use crate::client::ClientPools;
use crate::client::ClientSettings;
use crate::client::new_client;
use crate::headers;

/// Largest answer to a probe, in bytes.
const PROBE_ANSWER_LIMIT_BYTES: usize = 64 * 1024;

/// Server that an attempt was sent to.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) pools: Arc<ClientPools>,
    pub(crate) address: SocketAddr,
    pub(crate) attempt: AttemptId,
    /// Whether the server is an engine, which reports the state of its attempts.
    pub(crate) is_engine: bool,
}

/// What an engine knows about an attempt: `GET /v1/attempts/{id}`. An engine that never received it answers 404 and
/// echoes the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatus {
    pub state: AttemptState,
    /// Tokens generated so far, including those before a resume.
    pub output_tokens: u32,
}

/// Progress of an attempt on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    Waiting,
    Running,
    /// Completed, failed or cancelled: nothing more will be sent.
    Ended,
}

/// How much of an attempt's answer has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// Nothing, and nothing is expected before the answer is complete.
    Nothing,
    /// Number of tokens received of a stream.
    Tokens(u32),
}

impl Destination {
    /// Retires the server's connections.
    pub(crate) fn retire(&self) {
        self.pools.retire(self.address);
    }

    /// Probes the server after the attempt's connection broke once the request was sent.
    pub(crate) async fn diagnose_disconnect(&self) -> AttemptFailure {
        match probe(self.pools.settings(), self.address, "/healthz").await {
            Ok(_) => AttemptFailure::ConnectionLost,
            Err(_) => AttemptFailure::ServerDied,
        }
    }

    /// Probes the server after nothing arrived on the attempt's connection for too long. That connection must stay open
    /// in the meantime, otherwise the server considers the attempt cancelled. The pool is retired in every case: its
    /// other connections use the same network path, and new ones are cheap.
    pub(crate) async fn diagnose_timeout(&self, received: Received) -> AttemptFailure {
        self.retire();
        if self.is_engine && self.connection_is_silent(received).await {
            return AttemptFailure::SilentConnection;
        }
        AttemptFailure::TimedOut
    }

    /// Whether the engine has ended the attempt, has generated more tokens than arrived, or never received the attempt.
    async fn connection_is_silent(&self, received: Received) -> bool {
        let path = format!("/v1/attempts/{}", headers::attempt_id_text(self.attempt));
        let Ok(answer) = probe(self.pools.settings(), self.address, &path).await else {
            return false;
        };
        if answer.status == 404 {
            return echoed_attempt(&answer.headers) == Some(self.attempt);
        }
        match (answer.json::<AttemptStatus>(), received) {
            (Ok(status), _) if status.state == AttemptState::Ended => true,
            (Ok(status), Received::Tokens(tokens)) => status.output_tokens > tokens,
            (Ok(_), Received::Nothing) | (Err(_), _) => false,
        }
    }
}

/// Sends a request over a new connection to check whether the server responds.
pub(crate) async fn probe(
    settings: &ClientSettings,
    address: SocketAddr,
    path: &str,
) -> Result<CallAnswer, CallError> {
    let request = new_client(settings).get(call::url(address, path));
    let response = call::send(request, settings.probe_timeout()).await?;
    call::read_body(response, settings.probe_timeout(), PROBE_ANSWER_LIMIT_BYTES).await
}

/// Attempt id that an answer echoes.
pub(crate) fn echoed_attempt(headers: &HeaderMap) -> Option<AttemptId> {
    headers::parse_attempt_id(headers.get(headers::ATTEMPT_ID)?.to_str().ok()?)
}
