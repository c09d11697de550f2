//! Stand-in for a model engine.
//!
//! It implements the chat-completions API without computing anything: it sleeps as long as a real engine would take,
//! given its batch, its prefix cache and the length of prompt and answer, and returns words drawn from its seed.
//!
//! | path | what it does |
//! | --- | --- |
//! | `POST /v1/chat/completions` | an attempt; the answer echoes its id; dropping the connection cancels it |
//! | `GET /v1/attempts/{id}` | status of an attempt |
//! | `GET /v1/feed?after=` | load and cache events, with a lag and with gaps |
//! | `POST /v1/orders` | sets the versions to load |
//! | `GET /healthz` | liveness check |
//! | `POST /faults`, `GET /stats` | for tests |

mod answer;
mod attempts;
mod batch;
mod cache;
mod chat;
mod orders;
mod spec;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhoist_edge::headers;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::Method;
use salvo::http::StatusCode;

pub use self::spec::BadVersion;
pub use self::spec::EngineFaults;
pub use self::spec::EngineSpec;
pub use self::spec::EngineStats;
use self::state::EngineState;
use crate::http::Call;
use crate::http::Reply;
use crate::http::remote_address;
use crate::listener::ListenerHandle;
use crate::sync::lock;

/// A running stand-in engine.
#[derive(Debug)]
pub struct EngineServer {
    listener: ListenerHandle,
    state: Arc<EngineState>,
}

struct EngineHandler {
    state: Arc<EngineState>,
    weight_store: Option<SocketAddr>,
}

impl EngineServer {
    /// Starts the stand-in; port 0 takes any free port. Without a weight store, loading takes no time.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        spec: EngineSpec,
        weight_store: Option<SocketAddr>,
    ) -> io::Result<EngineServer> {
        let state = Arc::new(EngineState::new(spec));
        let crash = Arc::clone(&state.crash);
        let handler = EngineHandler { state: Arc::clone(&state), weight_store };
        let listener = ListenerHandle::start(address, handler.arc(), crash).await?;
        Ok(EngineServer { listener, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    #[must_use]
    pub fn spec(&self) -> &EngineSpec {
        &self.state.spec
    }

    /// Replaces all faults; connections that are already silent stay silent.
    pub fn set_faults(&self, faults: EngineFaults) {
        let no_exception = SocketAddr::from(([0, 0, 0, 0], 0));
        set_faults(&self.state, faults, no_exception);
    }

    /// Counters since the start.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.state.stats()
    }

    /// Stops serving; running attempts are aborted.
    pub async fn close(self) {
        self.listener.close().await;
    }
}

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let remote = remote_address(req);
        self.state.connections.record(remote);
        if self.state.connections.is_silent(remote) {
            std::future::pending::<()>().await;
        }
        let reply = match Call::read(req).await {
            Ok(call) => self.answer(&call, remote).await.unwrap_or_else(|refusal| refusal),
            Err(refusal) => refusal,
        };
        if self.state.connections.is_silent(remote) {
            std::future::pending::<()>().await;
        }
        reply.write_to(res);
    }
}

impl EngineHandler {
    async fn answer(&self, call: &Call, remote: SocketAddr) -> Result<Reply, Reply> {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => {
                chat::chat_completion(&self.state, call, remote).await
            }
            (&Method::GET, "/v1/feed") => Ok(Reply::json(&self.state.feed(call.number("after")))),
            (&Method::POST, "/v1/orders") => {
                orders::apply_order(&self.state, self.weight_store, &call.json()?)
            }
            (&Method::GET, "/healthz") => Ok(Reply::json(&true)),
            (&Method::POST, "/faults") => {
                let faults: EngineFaults = call.json()?;
                set_faults(&self.state, faults.clone(), remote);
                Ok(Reply::json(&faults))
            }
            (&Method::GET, "/stats") => Ok(Reply::json(&self.state.stats())),
            (&Method::GET, path) => match path.strip_prefix("/v1/attempts/") {
                Some(id) => Ok(self.attempt_status(id)),
                None => Err(Reply::not_found()),
            },
            _ => Err(Reply::not_found()),
        }
    }

    fn attempt_status(&self, id: &str) -> Reply {
        let Some(attempt) = headers::parse_attempt_id(id) else {
            return Reply::refused(StatusCode::BAD_REQUEST, "an attempt id is hex");
        };
        let reply = match lock(&self.state.attempts).status(attempt) {
            Some(status) => Reply::json(&status),
            None => Reply::refused(StatusCode::NOT_FOUND, "attempt not received"),
        };
        reply.with_header(headers::ATTEMPT_ID, &headers::attempt_id_text(attempt))
    }
}

fn set_faults(state: &EngineState, faults: EngineFaults, from: SocketAddr) {
    if faults.silent {
        state.connections.silence(from);
    }
    *lock(&state.faults) = faults;
}
