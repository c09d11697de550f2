//! Boundary to the wire formats of callers, backend servers and the store.
//!
//! The relay performs the calls; an implementation of [`Wire`] only translates. All methods are pure.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::StoreEra;
use foxtailhoist_model::StoreRevision;
use foxtailhoist_peers::feeds::HostEntry;
use foxtailhoist_rollout::shift::ShiftOrder;
use foxtailhoist_rollout::shift::ShiftReport;
use foxtailhoist_route::backends::Registration;
use foxtailhoist_route::blame::Culprit;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::in_flight::Arrival;
use foxtailhoist_route::in_flight::Attempt;
use foxtailhoist_route::in_flight::InFlightRequest;
use foxtailhoist_route::routes::RoutingTable;
use http::HeaderMap;
use http::Request;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Kinds of store objects that the relay follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObjectKind {
    /// The routing table.
    Configuration,
    /// Registrations of backend servers.
    Servers,
    /// Orders to shift a service's traffic.
    Shifts,
    /// Contents and parts of prompts that servers were beginning to answer when they died.
    Suspects,
    /// Registrations of the entry hosts themselves.
    Hosts,
    /// Data centres that are to get no requests.
    Evacuations,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [ObjectKind; 6] = [
        ObjectKind::Configuration,
        ObjectKind::Servers,
        ObjectKind::Shifts,
        ObjectKind::Suspects,
        ObjectKind::Hosts,
        ObjectKind::Evacuations,
    ];
}

/// The current state of one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    pub name: String,
    /// Revision of the object's last change; for a deleted object, revision of the page that shows the deletion.
    pub revision: StoreRevision,
    pub content: Content,
}

/// Content of an object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Content {
    Configuration(Box<RoutingTable>),
    Server(Registration),
    Shift(ShiftOrder),
    Suspect {
        culprit: Culprit,
        deaths: u32,
    },
    Host(HostEntry),
    /// The data centre that the object is named after is evacuated. Only the name counts; `unreadable` is the reason why
    /// the rest cannot be decoded, if so.
    Evacuation {
        unreadable: Option<String>,
    },
    /// The object no longer exists. With `keep_for`, it may merely have expired; a server that it registers stays in use
    /// for that time.
    Deleted {
        keep_for: Option<Duration>,
        /// Start of the server that it registered, in Unix milliseconds, if known.
        started_ms: Option<u64>,
    },
    /// The object cannot be decoded, for example because another writer stored it in another format, and is ignored.
    /// Holds the reason.
    Unreadable(String),
}

/// One page of a list, or the changes returned by a watch.
#[derive(Clone, Debug, Default)]
pub struct Page {
    pub records: Vec<Record>,
    /// Store revision from which to watch.
    pub revision: StoreRevision,
    /// Name after which the list continues, if it does.
    pub next: Option<String>,
}

/// Why input cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Malformed(pub String);

/// Translates between wire formats and the product's types.
pub trait Wire {
    /// Decodes the head of a caller's request. The fingerprint is not set yet.
    ///
    /// # Errors
    ///
    /// Fails if a required header is missing or cannot be decoded.
    fn decode_request(&self, head: &http::request::Parts) -> Result<Arrival, Malformed>;

    /// Builds the headers of an attempt from the end-to-end headers of the caller's request.
    fn encode_attempt(
        &self,
        caller: &HeaderMap,
        req: &InFlightRequest,
        attempt: &Attempt,
        now: Instant,
    ) -> HeaderMap;

    /// Builds the headers with which a request is handed over to another entry host, from the end-to-end headers of the
    /// caller's request and the time that is left for it.
    fn encode_hand_over(&self, caller: &HeaderMap, left: Duration) -> HeaderMap;

    /// Decodes the head of a server's answer to the request with an id.
    fn decode_answer(&self, id: &str, head: &http::response::Parts) -> AnswerHead;

    /// Returns status and headers of a refusal.
    fn encode_refusal(&self, refusal: &Refusal) -> (u16, HeaderMap);

    /// Path of the load balancer's readiness check.
    fn ready_path(&self) -> &str;

    /// Builds a call that lists the objects of a kind, from the start or after a name. With `allow_stale`, the answer
    /// may be seconds old, at a lower price.
    fn list(&self, kind: ObjectKind, after: Option<&str>, allow_stale: bool) -> Request<Bytes>;

    /// Builds a call that waits for changes of a kind after a revision.
    fn watch(&self, kind: ObjectKind, revision: StoreRevision, wait: Duration) -> Request<Bytes>;

    /// Decodes the store's era from the headers of any of its answers; `None` if it is not stated.
    ///
    /// # Errors
    ///
    /// Fails if the era is not a number.
    fn decode_era(&self, headers: &HeaderMap) -> Result<Option<StoreEra>, Malformed>;

    /// Decodes the answer to [`Wire::list`], given in an era.
    ///
    /// # Errors
    ///
    /// Fails if the answer as a whole cannot be decoded; a single object that cannot becomes [`Content::Unreadable`].
    fn decode_list(&self, kind: ObjectKind, era: StoreEra, body: &[u8]) -> Result<Page, Malformed>;

    /// Decodes the answer to [`Wire::watch`], given in an era.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`Wire::decode_list`].
    fn decode_watch(&self, kind: ObjectKind, era: StoreEra, body: &[u8])
    -> Result<Page, Malformed>;

    /// Builds a call that reports on a shift, conditional on the order's object being unchanged.
    fn report_shift(&self, report: &ShiftReport) -> Request<Bytes>;

    /// Builds a call that registers an entry host.
    fn register_host(&self, host: &EntryHostId, entry: &HostEntry) -> Request<Bytes>;

    /// Builds a call that removes the registration of an entry host.
    fn remove_host(&self, host: &EntryHostId) -> Request<Bytes>;

    /// Builds a call that records that servers died when they began to answer something; fails if there is a record.
    fn create_suspect(&self, culprit: Culprit, deaths: u32) -> Request<Bytes>;

    /// Builds a call that replaces such a record.
    fn replace_suspect(&self, culprit: Culprit, deaths: u32) -> Request<Bytes>;
}
