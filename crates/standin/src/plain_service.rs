//! Stand-in for a plain service, whose renewals must not run twice.
//!
//! `POST /renew` runs a renewal on every call, even with a known idempotency key, and counts the runs of each key, so
//! that tests can detect a second run. `GET /orders` lists the counts.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use foxtailhoist_edge::headers;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::Method;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::connections::Connections;
use crate::http::Call;
use crate::http::Reply;
use crate::http::remote_address;
use crate::listener::ListenerHandle;
use crate::sync::lock;

/// Maximum keys counted; the lowest is evicted first.
const KEYS_LIMIT: usize = 100_000;
/// Key under which runs without an idempotency key are counted.
const NO_KEY: &str = "";

/// Faults of a plain service; `POST /faults` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainServiceFaults {
    /// Delay before each run, in milliseconds.
    pub slow_ms: u64,
    /// A request body with this text crashes the server before the request runs.
    pub crash_on: Option<String>,
    /// Connections used before this fault was set are never answered again; new ones work.
    pub silent: bool,
    /// Requests run, but their answers are lost.
    pub lose_answers: bool,
    /// Requests are refused as not run.
    pub reject: bool,
    /// Answers say that the server is leaving.
    pub leaving: bool,
}

/// Runs of renewals so far; `GET /orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalCounts {
    /// Runs by idempotency key; runs without a key are counted under the empty string.
    pub runs: BTreeMap<String, u64>,
    pub total: u64,
}

/// A running stand-in plain service.
#[derive(Debug)]
pub struct PlainServiceServer {
    listener: ListenerHandle,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    counts: Mutex<RenewalCounts>,
    faults: Mutex<PlainServiceFaults>,
    connections: Connections,
    crash: Arc<Notify>,
}

struct PlainServiceHandler {
    state: Arc<State>,
}

/// Answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Renewal {
    renewed: bool,
    /// Number of the run since the service started.
    order: u64,
}

impl PlainServiceServer {
    /// Starts the stand-in; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<PlainServiceServer> {
        let state = Arc::new(State::default());
        let handler = PlainServiceHandler { state: Arc::clone(&state) };
        let crash = Arc::clone(&state.crash);
        let listener = ListenerHandle::start(address, handler.arc(), crash).await?;
        Ok(PlainServiceServer { listener, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Replaces all faults; connections that are already silent stay silent.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        let no_exception = SocketAddr::from(([0, 0, 0, 0], 0));
        self.state.set_faults(faults, no_exception);
    }

    /// Runs of renewals so far.
    #[must_use]
    pub fn renewal_counts(&self) -> RenewalCounts {
        lock(&self.state.counts).clone()
    }

    /// Stops serving and discards the counts.
    pub async fn close(self) {
        self.listener.close().await;
    }
}

#[async_trait]
impl Handler for PlainServiceHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let remote = remote_address(req);
        self.state.connections.record(remote);
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

impl PlainServiceHandler {
    async fn answer(&self, call: &Call, remote: SocketAddr) -> Result<Reply, Reply> {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/faults") => {
                let faults: PlainServiceFaults = call.json()?;
                self.state.set_faults(faults.clone(), remote);
                Ok(Reply::json(&faults))
            }
            (&Method::GET, "/healthz") => Ok(Reply::json(&true)),
            (&Method::GET, "/orders") => {
                Ok(self.with_attempt_headers(Reply::json(&*lock(&self.state.counts)), call))
            }
            (&Method::POST, "/renew") => {
                Ok(self.with_attempt_headers(self.renew(call, remote).await, call))
            }
            _ => Err(self.with_attempt_headers(Reply::not_found(), call)),
        }
    }

    async fn renew(&self, call: &Call, remote: SocketAddr) -> Reply {
        // A silent connection does not deliver requests either.
        if self.state.connections.is_silent(remote) {
            std::future::pending::<()>().await;
        }
        let faults = lock(&self.state.faults).clone();
        if faults.crash_on.is_some_and(|text| String::from_utf8_lossy(&call.body).contains(&text)) {
            self.state.crash.notify_one();
            std::future::pending::<()>().await;
        }
        if faults.reject {
            return Reply::refused(StatusCode::SERVICE_UNAVAILABLE, "refused on purpose")
                .with_header(headers::NOT_RUN, "1");
        }
        sleep(Duration::from_millis(faults.slow_ms)).await;
        let order = self.state.count_run(call.header(headers::IDEMPOTENCY_KEY).unwrap_or(NO_KEY));
        if faults.lose_answers {
            Reply::lost()
        } else {
            Reply::json(&Renewal { renewed: true, order })
        }
    }

    fn with_attempt_headers(&self, reply: Reply, call: &Call) -> Reply {
        let reply = match call.header(headers::ATTEMPT_ID) {
            Some(id) => reply.with_header(headers::ATTEMPT_ID, id),
            None => reply,
        };
        if lock(&self.state.faults).leaving {
            return reply.with_header(headers::SERVER_LEAVING, "1");
        }
        reply
    }
}

impl State {
    fn set_faults(&self, faults: PlainServiceFaults, from: SocketAddr) {
        if faults.silent {
            self.connections.silence(from);
        }
        *lock(&self.faults) = faults;
    }

    fn count_run(&self, key: &str) -> u64 {
        let mut counts = lock(&self.counts);
        if counts.runs.len() >= KEYS_LIMIT {
            counts.runs.pop_first();
        }
        *counts.runs.entry(key.to_owned()).or_default() += 1;
        counts.total += 1;
        counts.total
    }
}
