//! The object API over HTTP.
//!
//! | call | request | successful answer |
//! | --- | --- | --- |
//! | get | `GET /objects/{key}` | 200 with `etag`, or 404 |
//! | list | `GET /objects?prefix=&after=&limit=` | 200, an [`ObjectPage`] |
//! | put | `PUT /objects/{key}` | 200 with `etag`, or 412 |
//! | delete | `DELETE /objects/{key}` | 204, or 412 |
//! | watch | `GET /watch?prefix=&after=&wait_ms=` | 200, an [`ObjectPage`] |
//!
//! Conditions are `if-none-match: *` and `if-match: <version>`. A write whose answer is lost is
//! [`StoreError::Unknown`] and never retried here: only the component that issued it can find out whether it took
//! effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_model::Condition;
use foxtailhoist_model::Object;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::ObjectVersion;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;
use futures::future::BoxFuture;
use reqwest::RequestBuilder;
use reqwest::Url;
use reqwest::header::ETAG;
use reqwest::header::IF_MATCH;
use reqwest::header::IF_NONE_MATCH;
use reqwest::header::RETRY_AFTER;
use serde::Deserialize;
use serde::Serialize;

use crate::api::ObjectApi;
use crate::call;
use crate::call::CallAnswer;
use crate::call::CallError;
use crate::client::ClientPools;
use crate::client::ClientSettings;
use crate::counter::CallCounter;

/// Wait before a retry if a 429 answer has no valid `retry-after` header, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Client of the object API.
#[derive(Clone, Debug)]
pub struct HttpObjectApi {
    address: SocketAddr,
    pools: Arc<ClientPools>,
    counter: Arc<CallCounter>,
}

/// Answer to a list or watch, encoded as MessagePack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectPage {
    pub objects: Vec<Object>,
    /// Version of the store when the page was read.
    pub at: ObjectVersion,
}

impl ObjectPage {
    /// Encodes the page as MessagePack.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        rmp_serde::to_vec_named(self).expect("objects hold only text, numbers and bytes").into()
    }

    /// Decodes a page from MessagePack.
    ///
    /// # Errors
    ///
    /// Fails on bytes that are not an encoded page.
    pub fn decode(bytes: &[u8]) -> Result<ObjectPage, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}

impl HttpObjectApi {
    #[must_use]
    pub fn new(address: SocketAddr, settings: ClientSettings) -> HttpObjectApi {
        HttpObjectApi {
            address,
            pools: Arc::new(ClientPools::new(settings)),
            counter: Arc::default(),
        }
    }

    /// Counts of the calls made.
    #[must_use]
    pub fn counter(&self) -> &CallCounter {
        &self.counter
    }

    async fn execute(&self, op: StoreOp) -> StoreResult {
        self.counter.count(&op);
        let head_timeout = self.pools.settings().head_timeout() + watch_wait(&op);
        let request = self.request(&op);
        match call::call(&self.pools, self.address, request, head_timeout).await {
            Ok(answer) => read_answer(&op, &answer),
            Err(CallError::NotSent(_)) => Err(StoreError::Unavailable),
            Err(_) if op.is_write() => Err(StoreError::Unknown),
            Err(_) => Err(StoreError::Unavailable),
        }
    }

    fn request(&self, op: &StoreOp) -> RequestBuilder {
        let client = self.pools.client(self.address);
        match op {
            StoreOp::Get { key } => client.get(self.object_url(key)),
            StoreOp::List { prefix, after, limit } => {
                let mut url = call::url(self.address, "/objects");
                let mut query = url.query_pairs_mut();
                query.append_pair("prefix", prefix);
                query.append_pair("limit", &limit.to_string());
                if let Some(after) = after {
                    query.append_pair("after", after);
                }
                drop(query);
                client.get(url)
            }
            StoreOp::Put { key, value, condition } => {
                let request = client.put(self.object_url(key)).body(value.clone());
                with_condition(request, *condition)
            }
            StoreOp::Delete { key, condition } => {
                with_condition(client.delete(self.object_url(key)), *condition)
            }
            StoreOp::Watch { prefix, after, wait } => {
                let mut url = call::url(self.address, "/watch");
                url.query_pairs_mut()
                    .append_pair("prefix", prefix)
                    .append_pair("after", &after.to_string())
                    .append_pair("wait_ms", &wait.as_millis().to_string());
                client.get(url)
            }
        }
    }

    fn object_url(&self, key: &ObjectKey) -> Url {
        let mut url = call::url(self.address, "/objects");
        url.path_segments_mut().expect("an HTTP URL has a path").extend(key.split('/'));
        url
    }
}

impl ObjectApi for HttpObjectApi {
    fn call(&self, op: StoreOp) -> BoxFuture<'_, StoreResult> {
        Box::pin(self.execute(op))
    }
}

fn watch_wait(op: &StoreOp) -> Duration {
    match op {
        StoreOp::Watch { wait, .. } => *wait,
        StoreOp::Get { .. }
        | StoreOp::List { .. }
        | StoreOp::Put { .. }
        | StoreOp::Delete { .. } => Duration::ZERO,
    }
}

fn with_condition(request: RequestBuilder, condition: Condition) -> RequestBuilder {
    match condition {
        Condition::Any => request,
        Condition::Absent => request.header(IF_NONE_MATCH, "*"),
        Condition::Version(version) => request.header(IF_MATCH, version.to_string()),
    }
}

fn read_answer(op: &StoreOp, answer: &CallAnswer) -> StoreResult {
    match answer.status {
        200 | 204 => read_successful_answer(op, answer).ok_or_else(|| unreadable_answer_error(op)),
        404 if matches!(op, StoreOp::Get { .. }) => Ok(StoreReply::Object(None)),
        412 if op.is_write() => Ok(StoreReply::Conflict),
        429 => Err(StoreError::Throttled { retry_after_ms: retry_after_ms(answer) }),
        503 => Err(StoreError::Unavailable),
        400..500 => Err(StoreError::Refused { reason: answer.reason() }),
        _ => Err(unreadable_answer_error(op)),
    }
}

fn read_successful_answer(op: &StoreOp, answer: &CallAnswer) -> Option<StoreReply> {
    match op {
        StoreOp::Get { key } => {
            let object =
                Object { key: key.clone(), version: etag(answer)?, value: answer.body.clone() };
            Some(StoreReply::Object(Some(object)))
        }
        StoreOp::List { .. } | StoreOp::Watch { .. } => {
            let page = ObjectPage::decode(&answer.body).ok()?;
            Some(StoreReply::Objects { objects: page.objects, at: page.at })
        }
        StoreOp::Put { .. } => Some(StoreReply::Written(etag(answer)?)),
        StoreOp::Delete { .. } => Some(StoreReply::Deleted),
    }
}

/// Error for an answer that cannot be read; it does not tell whether a write took effect.
fn unreadable_answer_error(op: &StoreOp) -> StoreError {
    if op.is_write() { StoreError::Unknown } else { StoreError::Unavailable }
}

fn etag(answer: &CallAnswer) -> Option<ObjectVersion> {
    answer.header(ETAG.as_str())?.trim_matches('"').parse().ok()
}

/// Converts `retry-after`, which is in whole seconds, to milliseconds.
fn retry_after_ms(answer: &CallAnswer) -> u64 {
    let seconds = answer.header(RETRY_AFTER.as_str()).and_then(|text| text.parse::<u64>().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER_MS, |seconds| seconds.saturating_mul(1_000))
}
