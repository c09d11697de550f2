//! Stand-in for the platform's object API.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_edge::ObjectPage;
use foxtailhoist_model::Condition;
use foxtailhoist_model::ObjectVersion;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;
use foxtailhoist_objects::MemoryStore;
use reqwest::Url;
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
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::http::Call;
use crate::http::Reply;
use crate::listener::ListenerHandle;
use crate::rate::RateLimit;
use crate::sync::lock;

/// Maximum wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// Rate limits of the object API.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectApiSpec {
    pub writes_per_second: f64,
    pub reads_per_second: f64,
}

/// Faults of the object API; `POST /faults` replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectApiFaults {
    /// Every call is answered 503.
    pub down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Writes take effect, but their answers are lost.
    pub lose_answers: bool,
    /// Reads return the objects as they were when the fault was switched on.
    pub stale_reads: bool,
}

/// Counters of calls to the object API; `GET /stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectApiStats {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    pub throttled: u64,
}

/// A running stand-in object API.
#[derive(Debug)]
pub struct ObjectApiServer {
    listener: ListenerHandle,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    store: Mutex<MemoryStore>,
    stale: Mutex<Option<MemoryStore>>,
    faults: Mutex<ObjectApiFaults>,
    stats: Mutex<ObjectApiStats>,
    last_written: watch::Sender<ObjectVersion>,
    write_rate: RateLimit,
    read_rate: RateLimit,
}

struct ObjectApiHandler {
    state: Arc<State>,
}

impl Default for ObjectApiSpec {
    fn default() -> ObjectApiSpec {
        ObjectApiSpec { writes_per_second: 400.0, reads_per_second: 2_000.0 }
    }
}

impl ObjectApiServer {
    /// Starts the stand-in; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(address: SocketAddr, spec: ObjectApiSpec) -> io::Result<ObjectApiServer> {
        let state = Arc::new(State {
            store: Mutex::default(),
            stale: Mutex::default(),
            faults: Mutex::default(),
            stats: Mutex::default(),
            last_written: watch::Sender::default(),
            write_rate: RateLimit::new(spec.writes_per_second),
            read_rate: RateLimit::new(spec.reads_per_second),
        });
        let handler = ObjectApiHandler { state: Arc::clone(&state) };
        let listener =
            ListenerHandle::start(address, handler.arc(), Arc::new(Notify::new())).await?;
        Ok(ObjectApiServer { listener, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ObjectApiFaults) {
        self.state.set_faults(faults);
    }

    #[must_use]
    pub fn stats(&self) -> ObjectApiStats {
        *lock(&self.state.stats)
    }

    /// A copy of the stored objects.
    #[must_use]
    pub fn objects(&self) -> MemoryStore {
        lock(&self.state.store).clone()
    }

    /// Stops serving and discards the stored objects.
    pub async fn close(self) {
        self.listener.close().await;
    }
}

#[async_trait]
impl Handler for ObjectApiHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let reply = match Call::read(req).await {
            Ok(call) => self.answer(&call).await,
            Err(refusal) => refusal,
        };
        reply.write_to(res);
    }
}

impl ObjectApiHandler {
    async fn answer(&self, call: &Call) -> Reply {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/faults") => match call.json() {
                Ok(faults) => {
                    self.state.set_faults(faults);
                    Reply::json(&faults)
                }
                Err(refusal) => refusal,
            },
            (&Method::GET, "/stats") => Reply::json(&*lock(&self.state.stats)),
            _ => match parse_op(call) {
                Some(op) => self.perform(op).await,
                None => Reply::not_found(),
            },
        }
    }

    async fn perform(&self, op: StoreOp) -> Reply {
        self.state.count(&op);
        let faults = *lock(&self.state.faults);
        if faults.down {
            return Reply::refused(StatusCode::SERVICE_UNAVAILABLE, "down on purpose");
        }
        if !self.state.admit(&op) {
            return Reply::refused(StatusCode::TOO_MANY_REQUESTS, "over the rate")
                .with_header("retry-after", "1");
        }
        let delay = Duration::from_millis(faults.slow_ms);
        let state = Arc::clone(&self.state);
        if op.is_write() {
            // Runs in a separate task, so that a started write takes effect even if its caller disconnects.
            let write = tokio::spawn(async move {
                sleep(delay).await;
                state.write(&op)
            });
            let result = write.await.unwrap_or(Err(StoreError::Unavailable));
            return if faults.lose_answers { Reply::lost() } else { reply_to(result) };
        }
        sleep(delay).await;
        reply_to(state.read(&op).await)
    }
}

impl State {
    fn set_faults(&self, faults: ObjectApiFaults) {
        let stale = faults.stale_reads.then(|| lock(&self.store).clone());
        *lock(&self.stale) = stale;
        *lock(&self.faults) = faults;
    }

    fn count(&self, op: &StoreOp) {
        let mut stats = lock(&self.stats);
        match op {
            StoreOp::Get { .. } | StoreOp::List { .. } => stats.reads += 1,
            StoreOp::Put { .. } | StoreOp::Delete { .. } => stats.writes += 1,
            StoreOp::Watch { .. } => stats.watches += 1,
        }
    }

    fn admit(&self, op: &StoreOp) -> bool {
        let rate = if op.is_write() { &self.write_rate } else { &self.read_rate };
        let admitted = rate.admit();
        if !admitted {
            lock(&self.stats).throttled += 1;
        }
        admitted
    }

    fn write(&self, op: &StoreOp) -> StoreResult {
        let mut store = lock(&self.store);
        let result = store.apply(op);
        self.last_written.send_replace(store.version());
        result
    }

    async fn read(&self, op: &StoreOp) -> StoreResult {
        let StoreOp::Watch { wait, .. } = op else {
            return self.read_now(op);
        };
        let until = Instant::now() + (*wait).min(WATCH_LIMIT);
        let mut last_written = self.last_written.subscribe();
        loop {
            last_written.mark_unchanged();
            let result = self.read_now(op);
            let is_empty =
                matches!(&result, Ok(StoreReply::Objects { objects, .. }) if objects.is_empty());
            if !is_empty || timeout_at(until, last_written.changed()).await.is_err() {
                return result;
            }
        }
    }

    fn read_now(&self, op: &StoreOp) -> StoreResult {
        if let Some(stale) = lock(&self.stale).as_mut() {
            return stale.apply(op);
        }
        lock(&self.store).apply(op)
    }
}

fn parse_op(call: &Call) -> Option<StoreOp> {
    let prefix = || call.query("prefix").unwrap_or_default().to_owned();
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/objects") => Some(StoreOp::List {
            prefix: prefix(),
            after: call.query("after").map(str::to_owned),
            limit: usize::try_from(call.number("limit")).unwrap_or(usize::MAX),
        }),
        (&Method::GET, "/watch") => Some(StoreOp::Watch {
            prefix: prefix(),
            after: call.number("after"),
            wait: Duration::from_millis(call.number("wait_ms")),
        }),
        (method, path) => {
            let key = percent_decoded(path.strip_prefix("/objects/")?)?;
            match *method {
                Method::GET => Some(StoreOp::Get { key }),
                Method::PUT => {
                    let condition = parse_condition(call)?;
                    Some(StoreOp::Put { key, value: call.body.clone(), condition })
                }
                Method::DELETE => Some(StoreOp::Delete { key, condition: parse_condition(call)? }),
                _ => None,
            }
        }
    }
}

fn parse_condition(call: &Call) -> Option<Condition> {
    match (call.header("if-none-match"), call.header("if-match")) {
        (None, None) => Some(Condition::Any),
        (Some("*"), None) => Some(Condition::Absent),
        (None, Some(version)) => Some(Condition::Version(version.trim_matches('"').parse().ok()?)),
        (Some(_), _) => None,
    }
}

/// Decodes the `%xx` escapes of a path by parsing it as a query string. Escapes `+` and `&` first, because they have a
/// special meaning in a query.
fn percent_decoded(path: &str) -> Option<String> {
    let path = path.replace('+', "%2B").replace('&', "%26");
    let url = Url::parse(&format!("http://stand-in/?key={path}")).ok()?;
    let key = url.query_pairs().next().map(|(_, key)| key.into_owned());
    key.filter(|key| !key.is_empty())
}

fn reply_to(result: StoreResult) -> Reply {
    match result {
        Ok(StoreReply::Object(None)) => Reply::refused(StatusCode::NOT_FOUND, "no such object"),
        Ok(StoreReply::Object(Some(object))) => Reply::new(StatusCode::OK, object.value)
            .with_header("etag", &format!("\"{}\"", object.version)),
        Ok(StoreReply::Objects { objects, at }) => {
            Reply::new(StatusCode::OK, ObjectPage { objects, at }.encode())
                .with_header("content-type", "application/msgpack")
        }
        Ok(StoreReply::Written(version)) => {
            Reply::json(&version).with_header("etag", &format!("\"{version}\""))
        }
        Ok(StoreReply::Deleted) => Reply::new(StatusCode::NO_CONTENT, Bytes::new()),
        Ok(StoreReply::Conflict) => {
            Reply::refused(StatusCode::PRECONDITION_FAILED, "the condition does not hold")
        }
        Err(StoreError::Refused { reason }) => Reply::refused(StatusCode::BAD_REQUEST, &reason),
        Err(error) => Reply::refused(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}
