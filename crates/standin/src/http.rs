//! HTTP requests and replies of the stand-ins, on top of salvo.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use bytes::Bytes;
use foxtailhoist_edge::headers;
use foxtailhoist_model::AttemptId;
use futures::StreamExt;
use futures::stream;
use futures::stream::BoxStream;
use salvo::Request;
use salvo::Response;
use salvo::http::HeaderMap;
use salvo::http::HeaderName;
use salvo::http::HeaderValue;
use salvo::http::Method;
use salvo::http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest request body, in bytes.
const BODY_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// A request with its complete body.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    query: Vec<(String, String)>,
}

/// A reply with a complete or streamed body.
pub(crate) struct Reply {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: ReplyBody,
}

/// Chunks of a streamed reply. An error closes the connection.
pub(crate) type ReplyStream = BoxStream<'static, io::Result<Bytes>>;

enum ReplyBody {
    Complete(Bytes),
    Stream(ReplyStream),
}

impl Call {
    /// Reads a request; a body that is too large or incomplete is refused.
    pub(crate) async fn read(req: &mut Request) -> Result<Call, Reply> {
        let query = req.queries().iter().map(|(key, text)| (key.clone(), text.clone())).collect();
        let body = match req.payload_with_max_size(BODY_LIMIT_BYTES).await {
            Ok(body) => body.clone(),
            Err(e) => return Err(Reply::refused(StatusCode::BAD_REQUEST, &e.to_string())),
        };
        Ok(Call {
            method: req.method().clone(),
            path: req.uri().path().to_owned(),
            headers: req.headers().clone(),
            body,
            query,
        })
    }

    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(key, _)| key == name);
        pair.map(|(_, text)| text.as_str())
    }

    pub(crate) fn number(&self, name: &str) -> u64 {
        self.query(name).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn attempt(&self) -> Option<AttemptId> {
        headers::parse_attempt_id(self.header(headers::ATTEMPT_ID)?)
    }

    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Reply::refused(StatusCode::BAD_REQUEST, &e.to_string()))
    }
}

impl Reply {
    pub(crate) fn new(status: StatusCode, body: Bytes) -> Reply {
        Reply { status, headers: Vec::new(), body: ReplyBody::Complete(body) }
    }

    pub(crate) fn json<T: Serialize>(value: &T) -> Reply {
        let body = serde_json::to_vec(value).expect("stand-ins' types have text keys only");
        Reply::new(StatusCode::OK, body.into()).with_header("content-type", "application/json")
    }

    pub(crate) fn refused(status: StatusCode, reason: &str) -> Reply {
        Reply::new(status, Bytes::copy_from_slice(reason.as_bytes()))
            .with_header("content-type", "text/plain")
    }

    pub(crate) fn not_found() -> Reply {
        Reply::refused(StatusCode::NOT_FOUND, "no such path")
    }

    pub(crate) fn stream(content_type: &'static str, chunks: ReplyStream) -> Reply {
        Reply { status: StatusCode::OK, headers: Vec::new(), body: ReplyBody::Stream(chunks) }
            .with_header("content-type", content_type)
    }

    /// A reply whose connection breaks before the body.
    pub(crate) fn lost() -> Reply {
        let broken = stream::once(async { Err(io::Error::other("answer lost on purpose")) });
        Reply::stream("application/octet-stream", broken.boxed())
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: &str) -> Reply {
        let value = HeaderValue::from_str(value).expect("stand-ins' headers are plain text");
        self.headers.push((HeaderName::from_static(name), value));
        self
    }

    pub(crate) fn write_to(self, res: &mut Response) {
        res.status_code(self.status);
        for (name, value) in self.headers {
            res.headers_mut().insert(name, value);
        }
        match self.body {
            ReplyBody::Complete(bytes) => {
                res.body(bytes);
            }
            ReplyBody::Stream(chunks) => res.stream(chunks),
        }
    }
}

/// Remote address of a request; identifies its connection.
pub(crate) fn remote_address(req: &Request) -> SocketAddr {
    let unknown = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
    req.remote_addr().clone().into_std().unwrap_or(unknown)
}
