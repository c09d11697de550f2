//! Calls to the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use thiserror::Error;

use crate::conn::Conn;
use crate::conn::SendError;

/// Longest wait for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer that is read.
const ANSWER_MAX: usize = 8 * 1024 * 1024;

/// A connection to the store, opened when it is needed; one call runs at a time.
pub(crate) struct StoreClient {
    address: SocketAddr,
    conn: Option<Conn>,
}

/// A call without a usable answer.
#[derive(Debug, Error)]
pub(crate) enum StoreError {
    #[error("no answer: {0}")]
    NoAnswer(String),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("unreadable: {0}")]
    Unreadable(String),
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> StoreClient {
        StoreClient { address, conn: None }
    }

    /// Makes one call and reads the whole answer.
    pub(crate) async fn call(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        // Whatever happens to the call, a connection on which it did not end well is not used again.
        let conn = self.conn.take();
        let late = |_| StoreError::NoAnswer("time-out".to_owned());
        let (answer, conn) =
            tokio::time::timeout(limit, self.exchange(conn, request)).await.map_err(late)??;
        self.conn = Some(conn);
        Ok(answer)
    }

    async fn exchange(
        &self,
        conn: Option<Conn>,
        request: Request<Bytes>,
    ) -> Result<((StatusCode, Bytes), Conn), StoreError> {
        let request = request.map(Full::new);
        let mut conn = match conn.filter(Conn::is_ready) {
            Some(conn) => conn,
            None => Conn::open(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|e| StoreError::NoAnswer(e.to_string()))?,
        };
        let response = conn.send(request).await.map_err(|e| match e {
            SendError::NotSent(reason) | SendError::Broken(reason) => StoreError::NoAnswer(reason),
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX).collect().await;
        let body = body.map_err(|e| StoreError::NoAnswer(e.to_string()))?.to_bytes();
        Ok(((status, body), conn))
    }
}
