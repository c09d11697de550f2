//! Stand-in for a plain service: renewals that must not run twice.
//!
//! `POST /renew` runs a renewal every time it is asked, whatever its idempotency key, and counts the runs of each key,
//! so that a test sees a second run. `GET /orders` lists the counts.

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
use crate::listener::Listening;
use crate::sync::lock;

/// Keys counted; the lowest goes first.
const KEYS_LIMIT: usize = 100_000;
/// Key of runs that stated none.
const NO_KEY: &str = "";

/// Faults of a plain service; `POST /faults` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainServiceFaults {
    /// Wait before each run, in milliseconds.
    pub slow_ms: u64,
    /// A body with this text crashes the server before it runs.
    pub crash_on: Option<String>,
    /// Connections opened before now are never answered again.
    pub silent: bool,
    /// Requests run and their answers are lost.
    pub lose_answers: bool,
    /// Requests are refused as not run.
    pub reject: bool,
    /// Answers say that the server is leaving.
    pub leaving: bool,
}

/// Runs so far; `GET /orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBook {
    /// Runs of each idempotency key; those without a key stand under the empty text.
    pub runs: BTreeMap<String, u64>,
    pub total: u64,
}

/// A running stand-in.
#[derive(Debug)]
pub struct PlainServiceServer {
    listening: Listening,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    orders: Mutex<OrderBook>,
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
    /// Number of the run over the service's life.
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
        let listening = Listening::start(address, handler.arc(), crash).await?;
        Ok(PlainServiceServer { listening, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listening.address()
    }

    /// Replaces all faults, save that connections gone silent stay so.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        let nobody = SocketAddr::from(([0, 0, 0, 0], 0));
        self.state.set_faults(faults, nobody);
    }

    /// Runs so far.
    #[must_use]
    pub fn orders(&self) -> OrderBook {
        lock(&self.state.orders).clone()
    }

    /// Stops serving; the counts are gone.
    pub async fn close(self) {
        self.listening.close().await;
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
        self.state.connections.saw(remote);
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
                Ok(self.marked(Reply::json(&*lock(&self.state.orders)), call))
            }
            (&Method::POST, "/renew") => Ok(self.marked(self.renew(call, remote).await, call)),
            _ => Err(self.marked(Reply::not_found(), call)),
        }
    }

    async fn renew(&self, call: &Call, remote: SocketAddr) -> Reply {
        // A connection that has gone silent delivers nothing either.
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
        let order = self.state.run(call.header(headers::IDEMPOTENCY_KEY).unwrap_or(NO_KEY));
        if faults.lose_answers {
            Reply::lost()
        } else {
            Reply::json(&Renewal { renewed: true, order })
        }
    }

    fn marked(&self, reply: Reply, call: &Call) -> Reply {
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

    fn run(&self, key: &str) -> u64 {
        let mut orders = lock(&self.orders);
        if orders.runs.len() >= KEYS_LIMIT {
            orders.runs.pop_first();
        }
        *orders.runs.entry(key.to_owned()).or_default() += 1;
        orders.total += 1;
        orders.total
    }
}
