//! Calls to the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_model::StoreEra;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use thiserror::Error;

use crate::conn::Conn;
use crate::conn::SendError;
use crate::core::Core;

const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an answer body.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A client with one connection to the store, opened on demand; calls run one at a time.
pub(crate) struct StoreClient {
    address: SocketAddr,
    conn: Option<Conn>,
}

/// An answer to a call.
pub(crate) struct StoreAnswer {
    pub(crate) status: StatusCode,
    /// Era in which the store answered.
    pub(crate) era: StoreEra,
    pub(crate) body: Bytes,
}

/// Why a call to the store gave no usable answer.
#[derive(Debug, Error)]
pub(crate) enum StoreError {
    #[error("no answer: {0}")]
    NoAnswer(String),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// The store was restored since it answered.
    #[error("answer of an earlier era")]
    EarlierEra,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> StoreClient {
        StoreClient { address, conn: None }
    }

    /// Makes one call and reads the complete answer.
    pub(crate) async fn call(
        &mut self,
        core: &Core,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        // The connection is put back only after a successful call.
        let conn = self.conn.take();
        let timed_out = |_| StoreError::NoAnswer("time-out".to_owned());
        let (answer, conn) = tokio::time::timeout(timeout, self.exchange(core, conn, request))
            .await
            .map_err(timed_out)??;
        self.conn = Some(conn);
        if answer.era < core.store_era() {
            return Err(StoreError::EarlierEra);
        }
        Ok(answer)
    }

    async fn exchange(
        &self,
        core: &Core,
        conn: Option<Conn>,
        request: Request<Bytes>,
    ) -> Result<(StoreAnswer, Conn), StoreError> {
        let era = core.store_era();
        let request = request.map(Full::new);
        let mut conn = match conn.filter(Conn::is_ready) {
            Some(conn) => conn,
            None => Conn::open(self.address, STORE_CONNECT_TIMEOUT)
                .await
                .map_err(|e| StoreError::NoAnswer(e.to_string()))?,
        };
        let response = conn.send(request).await.map_err(|e| match e {
            SendError::NotSent(reason) | SendError::Broken(reason) => StoreError::NoAnswer(reason),
        })?;
        let status = response.status();
        let era = core.read_store_era(response.headers()).unwrap_or(era);
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|e| StoreError::NoAnswer(e.to_string()))?.to_bytes();
        Ok((StoreAnswer { status, era, body }, conn))
    }
}
