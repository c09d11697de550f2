//! Tells a dead server, a slow one and a silent connection apart.
//!
//! An open connection can stop carrying bytes while new ones to the same server work, because something between the
//! ends has forgotten it. What the old connection shows cannot tell this from a slow server, so the question goes over
//! a connection that is surely new. An engine that has never heard of an attempt did not receive it.

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

/// Where an attempt went.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) pools: Arc<ClientPools>,
    pub(crate) address: SocketAddr,
    pub(crate) attempt: AttemptId,
    /// Whether the server can say which attempts it knows.
    pub(crate) is_engine: bool,
}

/// What an engine knows about an attempt: `GET /v1/attempts/{id}`. An engine that never received it answers 404 and
/// echoes the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatus {
    pub state: AttemptState,
    /// Tokens generated so far, those before a resume included.
    pub output_tokens: u32,
}

/// Place of an attempt at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    Waiting,
    Running,
    /// Whole, failed or cancelled: nothing more will be sent.
    Ended,
}

/// What has arrived of an attempt's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// Nothing, and nothing is due before the answer is whole.
    Nothing,
    /// This many tokens of a stream.
    Tokens(u32),
}

impl Destination {
    /// Closes the server's connections.
    pub(crate) fn retire(&self) {
        self.pools.retire(self.address);
    }

    /// The attempt's connection broke after the request was sent.
    pub(crate) async fn after_break(&self) -> AttemptFailure {
        match probe(self.pools.settings(), self.address, "/healthz").await {
            Ok(_) => AttemptFailure::ConnectionLost,
            Err(_) => AttemptFailure::ServerDied,
        }
    }

    /// Nothing came over the attempt's connection for too long. That connection must be kept open meanwhile, else the
    /// server takes the attempt for cancelled. The pool is retired in every case: its other
    /// connections take the same way, and new ones cost little.
    pub(crate) async fn after_silence(&self, received: Received) -> AttemptFailure {
        self.retire();
        if self.is_engine && self.connection_is_silent(received).await {
            return AttemptFailure::SilentConnection;
        }
        AttemptFailure::TimedOut
    }

    /// Whether the engine is further than what arrived, or never received the attempt.
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

/// Asks for a sign of life over a connection of its own.
pub(crate) async fn probe(
    settings: &ClientSettings,
    address: SocketAddr,
    path: &str,
) -> Result<CallAnswer, CallError> {
    let request = new_client(settings).get(call::url(address, path));
    let response = call::send(request, settings.probe_timeout()).await?;
    call::read_body(response, settings.probe_timeout(), PROBE_ANSWER_LIMIT_BYTES).await
}

/// Attempt that an answer says it belongs to.
pub(crate) fn echoed_attempt(headers: &HeaderMap) -> Option<AttemptId> {
    headers::parse_attempt_id(headers.get(headers::ATTEMPT_ID)?.to_str().ok()?)
}
