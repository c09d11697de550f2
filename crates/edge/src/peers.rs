//! Messages between entry hosts over HTTP: `POST /peer` with the shared peer key and the sender's host id, and
//! `GET /peer/metrics` with the same authentication.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use foxtailhoist_model::EntryHostId;
use futures::future::BoxFuture;
use reqwest::RequestBuilder;
use reqwest::header::CONTENT_TYPE;
use reqwest::header::HeaderValue;

use crate::api::PeerApi;
use crate::api::PeerError;
use crate::call;
use crate::call::CallError;
use crate::client::ClientPools;
use crate::client::ClientSettings;
use crate::headers;

/// Content type of peer messages.
pub const PEER_CONTENT_TYPE: &str = "application/msgpack";

/// Client of the other entry hosts.
#[derive(Clone)]
pub struct HttpPeers {
    host: EntryHostId,
    key: HeaderValue,
    pools: Arc<ClientPools>,
}

impl HttpPeers {
    /// Creates a client that sends as `host`. `None` if the key is not a valid header value.
    #[must_use]
    pub fn new(host: EntryHostId, peer_key: &str, settings: ClientSettings) -> Option<HttpPeers> {
        let mut key = HeaderValue::from_str(peer_key).ok()?;
        key.set_sensitive(true);
        Some(HttpPeers { host, key, pools: Arc::new(ClientPools::new(settings)) })
    }

    async fn deliver(&self, address: SocketAddr, message: Bytes) -> Result<Bytes, PeerError> {
        let client = self.pools.client(address);
        let request = client.post(call::url(address, "/peer"));
        self.exchange(address, request.header(CONTENT_TYPE, PEER_CONTENT_TYPE).body(message)).await
    }

    async fn fetch_metrics(&self, address: SocketAddr) -> Result<Bytes, PeerError> {
        let client = self.pools.client(address);
        self.exchange(address, client.get(call::url(address, "/peer/metrics"))).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: RequestBuilder,
    ) -> Result<Bytes, PeerError> {
        let request = request
            .header(headers::PEER_KEY, self.key.clone())
            .header(headers::HOST_ID, &self.host);
        let head_timeout = self.pools.settings().head_timeout();
        let answer = match call::call(&self.pools, address, request, head_timeout).await {
            Ok(answer) => answer,
            Err(CallError::TimedOut) => return Err(PeerError::TimedOut),
            Err(CallError::TooLarge) => return Err(PeerError::Malformed),
            Err(CallError::NotSent(_) | CallError::Broken(_)) => {
                return Err(PeerError::Unreachable);
            }
        };
        match answer.status {
            200 | 204 => Ok(answer.body),
            401 | 403 => Err(PeerError::Unauthenticated),
            503 => Err(PeerError::Unreachable),
            _ => Err(PeerError::Malformed),
        }
    }
}

impl PeerApi for HttpPeers {
    fn send(&self, address: SocketAddr, message: Bytes) -> BoxFuture<'_, Result<Bytes, PeerError>> {
        Box::pin(self.deliver(address, message))
    }

    fn metrics(&self, address: SocketAddr) -> BoxFuture<'_, Result<Bytes, PeerError>> {
        Box::pin(self.fetch_metrics(address))
    }

    fn retire(&self, address: SocketAddr) {
        self.pools.retire(address);
    }
}

impl fmt::Debug for HttpPeers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPeers").field("host", &self.host).finish_non_exhaustive()
    }
}
