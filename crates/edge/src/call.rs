//! Single HTTP calls with timeouts and a limit on the size of the answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::Url;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::api::PlatformError;
use crate::client::ClientPools;

/// Largest accepted answer, in bytes; enough for a list of a few objects of the largest size.
pub(crate) const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of an error response's body that are kept as its reason.
const REASON_LIMIT_BYTES: usize = 300;

/// Reason why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection was established, so nothing was sent.
    NotSent(String),
    /// The head or a chunk did not arrive in time.
    TimedOut,
    /// The connection broke after the request was sent.
    Broken(String),
    /// The answer exceeds the size limit.
    TooLarge,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) headers: reqwest::header::HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends a request and waits for its head.
pub(crate) async fn send(
    request: RequestBuilder,
    head_timeout: Duration,
) -> Result<Response, CallError> {
    match timeout(head_timeout, request.send()).await {
        Err(_) => Err(CallError::TimedOut),
        Ok(Err(e)) if e.is_connect() => Err(CallError::NotSent(e.to_string())),
        Ok(Err(e)) => Err(CallError::Broken(e.to_string())),
        Ok(Ok(response)) => Ok(response),
    }
}

/// Reads an answer to its end.
pub(crate) async fn read_body(
    mut response: Response,
    idle_timeout: Duration,
    limit: usize,
) -> Result<CallAnswer, CallError> {
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let mut body = BytesMut::new();
    loop {
        let chunk = match timeout(idle_timeout, response.chunk()).await {
            Err(_) => return Err(CallError::TimedOut),
            Ok(Err(e)) => return Err(CallError::Broken(e.to_string())),
            Ok(Ok(None)) => break,
            Ok(Ok(Some(chunk))) => chunk,
        };
        if body.len() + chunk.len() > limit {
            return Err(CallError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(CallAnswer { status, headers, body: body.freeze() })
}

/// Sends a request and reads the complete answer. After a timeout or a broken connection the server's pool is retired,
/// because its other connections may be silent too.
pub(crate) async fn call(
    pools: &ClientPools,
    address: SocketAddr,
    request: RequestBuilder,
    head_timeout: Duration,
) -> Result<CallAnswer, CallError> {
    let idle_timeout = pools.settings().idle_timeout();
    let result = match send(request, head_timeout).await {
        Ok(response) => read_body(response, idle_timeout, ANSWER_LIMIT_BYTES).await,
        Err(e) => Err(e),
    };
    if matches!(result, Err(CallError::TimedOut | CallError::Broken(_))) {
        pools.retire(address);
    }
    result
}

/// URL of a path at an address.
pub(crate) fn url(address: SocketAddr, path: &str) -> Url {
    let mut url =
        Url::parse(&format!("http://{address}/")).expect("a socket address is a valid URL host");
    let (path, query) = path.split_once('?').map_or((path, None), |(path, q)| (path, Some(q)));
    url.set_path(path);
    url.set_query(query);
    url
}

impl CallAnswer {
    /// Value of a header, if it is present and valid text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Start of the body, used as the reason of a failed call.
    pub(crate) fn reason(&self) -> String {
        let length = self.body.len().min(REASON_LIMIT_BYTES);
        String::from_utf8_lossy(&self.body[..length]).into_owned()
    }

    /// Deserializes the JSON body of a successful answer.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        self.check_status()?;
        serde_json::from_slice(&self.body).map_err(|e| PlatformError::Malformed(e.to_string()))
    }

    /// Returns an error unless the status is 2xx.
    pub(crate) fn check_status(&self) -> Result<(), PlatformError> {
        if (200..300).contains(&self.status) {
            return Ok(());
        }
        Err(PlatformError::Refused { status: self.status, reason: self.reason() })
    }
}

impl From<CallError> for PlatformError {
    fn from(error: CallError) -> PlatformError {
        match error {
            CallError::NotSent(reason) | CallError::Broken(reason) => {
                PlatformError::Unreachable(reason)
            }
            CallError::TimedOut => PlatformError::TimedOut,
            CallError::TooLarge => {
                PlatformError::Malformed("answer exceeds the size limit".to_owned())
            }
        }
    }
}
