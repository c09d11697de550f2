//! Stand-in for the platform's rating service: `POST /ratings`.
//!
//! An answer is unacceptable when it contains [`UNACCEPTABLE_MARK`], which stand-in engines write into bad answers. A
//! share of the verdicts, drawn from the seed and the request, is wrong.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use foxtailhoist_edge::RatingRequest;
use foxtailhoist_model::Rating;
use foxtailhoist_model::stable_hash;
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

use crate::draw::unit_interval;
use crate::http::Call;
use crate::http::Reply;
use crate::listener::ListenerHandle;
use crate::rate::RateLimit;
use crate::sync::lock;

/// Word that marks an unacceptable answer.
pub const UNACCEPTABLE_MARK: &str = "unfit";

/// Settings of the rating service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RatingSpec {
    /// Rate limit, in calls per second.
    pub per_second: f64,
    /// Delay of a verdict, in milliseconds.
    pub delay_ms: u64,
    /// Share of verdicts that are wrong, 0 to 1.
    pub wrong_share: f64,
    pub seed: u64,
}

/// Faults of the rating service; `POST /faults` replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RatingFaults {
    /// Delay added to every verdict, in milliseconds.
    pub delay_ms: u64,
    /// Every call is answered 503.
    pub down: bool,
}

/// A running stand-in rating service.
#[derive(Debug)]
pub struct RatingServer {
    listener: ListenerHandle,
    faults: Arc<Mutex<RatingFaults>>,
}

struct RatingHandler {
    spec: RatingSpec,
    rate: RateLimit,
    faults: Arc<Mutex<RatingFaults>>,
}

impl Default for RatingSpec {
    fn default() -> RatingSpec {
        RatingSpec { per_second: 10.0, delay_ms: 50, wrong_share: 0.05, seed: 1 }
    }
}

impl RatingServer {
    /// Starts the stand-in; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(address: SocketAddr, spec: RatingSpec) -> io::Result<RatingServer> {
        let faults = Arc::default();
        let rate = RateLimit::new(spec.per_second);
        let handler = RatingHandler { spec, rate, faults: Arc::clone(&faults) };
        let listener =
            ListenerHandle::start(address, handler.arc(), Arc::new(Notify::new())).await?;
        Ok(RatingServer { listener, faults })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: RatingFaults) {
        *lock(&self.faults) = faults;
    }

    /// Stops serving.
    pub async fn close(self) {
        self.listener.close().await;
    }
}

#[async_trait]
impl Handler for RatingHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let reply = match Call::read(req).await {
            Ok(call) => self.answer(&call).await.unwrap_or_else(|refusal| refusal),
            Err(refusal) => refusal,
        };
        reply.write_to(res);
    }
}

impl RatingHandler {
    async fn answer(&self, call: &Call) -> Result<Reply, Reply> {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/ratings") => self.rate(call.json()?).await,
            (&Method::POST, "/faults") => {
                let faults: RatingFaults = call.json()?;
                *lock(&self.faults) = faults;
                Ok(Reply::json(&faults))
            }
            _ => Err(Reply::not_found()),
        }
    }

    async fn rate(&self, request: RatingRequest) -> Result<Reply, Reply> {
        let faults = *lock(&self.faults);
        if faults.down {
            return Err(Reply::refused(StatusCode::SERVICE_UNAVAILABLE, "down on purpose"));
        }
        if !self.rate.admit() {
            return Err(Reply::refused(StatusCode::TOO_MANY_REQUESTS, "over the rate"));
        }
        sleep(Duration::from_millis(self.spec.delay_ms + faults.delay_ms)).await;
        let hash = stable_hash(self.spec.seed, &[&request.request.to_le_bytes()]);
        let is_wrong = unit_interval(hash) < self.spec.wrong_share;
        let acceptable = request.answer.contains(UNACCEPTABLE_MARK) == is_wrong;
        Ok(Reply::json(&Rating { request: request.request, acceptable }))
    }
}
