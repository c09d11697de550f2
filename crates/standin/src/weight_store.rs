//! Stand-in for the platform's weight store: `GET /weights/{model@version}`, with a limit on concurrent loads.

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
use crate::listener::ListenerHandle;

/// Capacity of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreSpec {
    /// Maximum concurrent loads; others wait.
    pub concurrent: usize,
    /// Duration of one load, in milliseconds.
    pub load_ms: u64,
}

/// A running stand-in weight store.
#[derive(Debug)]
pub struct WeightStoreServer {
    listener: ListenerHandle,
}

struct WeightStoreHandler {
    spec: WeightStoreSpec,
    load_permits: Semaphore,
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
        let handler =
            WeightStoreHandler { spec, load_permits: Semaphore::new(spec.concurrent.max(1)) };
        let listener =
            ListenerHandle::start(address, handler.arc(), Arc::new(Notify::new())).await?;
        Ok(WeightStoreServer { listener })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops serving.
    pub async fn close(self) {
        self.listener.close().await;
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
        let Ok(_permit) = self.load_permits.acquire().await else {
            return Reply::refused(StatusCode::SERVICE_UNAVAILABLE, "closing");
        };
        sleep(Duration::from_millis(self.spec.load_ms)).await;
        Reply::json(&call.path)
    }
}
