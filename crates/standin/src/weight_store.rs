//! Stand-in for the platform's weight store: `GET /weights/{model@version}`, a few loads at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::http::Call;
use crate::http::Reply;
use crate::listener::Listening;

/// Rate of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreSpec {
    /// Loads at the same time; others wait.
    pub concurrent: usize,
    /// Time that one load takes, in milliseconds.
    pub load_ms: u64,
}

/// A running stand-in.
#[derive(Debug)]
pub struct WeightStoreServer {
    listening: Listening,
}

struct WeightStoreHandler {
    spec: WeightStoreSpec,
    places: Semaphore,
}

impl Default for WeightStoreSpec {
    fn default() -> WeightStoreSpec {
        WeightStoreSpec { concurrent: 2, load_ms: 500 }
    }
}

impl WeightStoreServer {
    /// Starts the stand-in; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        spec: WeightStoreSpec,
    ) -> io::Result<WeightStoreServer> {
        let handler = WeightStoreHandler { spec, places: Semaphore::new(spec.concurrent.max(1)) };
        let listening = Listening::start(address, handler.arc(), Arc::new(Notify::new())).await?;
        Ok(WeightStoreServer { listening })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listening.address()
    }

    /// Stops serving.
    pub async fn close(self) {
        self.listening.close().await;
    }
}

#[async_trait]
impl Handler for WeightStoreHandler {
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

impl WeightStoreHandler {
    async fn answer(&self, call: &Call) -> Reply {
        if call.method != Method::GET || !call.path.starts_with("/weights/") {
            return Reply::not_found();
        }
        let Ok(_place) = self.places.acquire().await else {
            return Reply::refused(StatusCode::SERVICE_UNAVAILABLE, "closing");
        };
        sleep(Duration::from_millis(self.spec.load_ms)).await;
        Reply::json(&call.path)
    }
}
