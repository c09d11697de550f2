//! Calls to the platform's store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use foxtailhoist_model::StoreEra;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use thiserror::Error;

use crate::conn::Conn;
use crate::conn::SendError;
use crate::core::Core;

const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an answer body.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

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
    /// The answer began in time and did not end in time.
    #[error("incomplete answer: time-out")]
    Incomplete,
    #[error("answer exceeds the limit of {MAX_ANSWER_BYTES} bytes")]
    TooLarge,
    #[error("status {0}")]
    Status(StatusCode),
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// The store was restored since it answered.
    #[error("answer of an earlier era")]
    EarlierEra,
}

impl StoreError {
    /// Whether the store may have become silent.
    pub(crate) fn is_silence(&self) -> bool {
        matches!(self, StoreError::NoAnswer(_) | StoreError::Incomplete)
    }

    /// Whether the answer is of no use although the store serves this host.
    pub(crate) fn is_unusable_answer(&self) -> bool {
        matches!(self, StoreError::TooLarge | StoreError::Unreadable(_))
    }

    /// Whether the same watch would fail again, since it would be answered with the same changes.
    pub(crate) fn fails_again(&self) -> bool {
        self.is_unusable_answer() || matches!(self, StoreError::Incomplete)
    }
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
        let has_head = Cell::new(false);
        let exchange = self.exchange(core, conn, request, &has_head);
        let (answer, conn) = match tokio::time::timeout(timeout, exchange).await {
            Ok(exchanged) => exchanged?,
            Err(_) if has_head.get() => return Err(StoreError::Incomplete),
            Err(_) => return Err(StoreError::NoAnswer("time-out".to_owned())),
        };
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
        has_head: &Cell<bool>,
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
        has_head.set(true);
        let status = response.status();
        let era = core.read_store_era(response.headers()).unwrap_or(era);
        let body = read_body(response.into_body()).await?;
        Ok((StoreAnswer { status, era, body }, conn))
    }
}

async fn read_body(mut body: Incoming) -> Result<Bytes, StoreError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| StoreError::NoAnswer(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(StoreError::TooLarge);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
