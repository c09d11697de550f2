//! Edge to the wire: what callers, backend servers and the store's objects look like as bytes.
//!
//! The relay performs the calls; an implementation of [`Wire`] only translates. All methods are pure.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Fingerprint;
use foxtailhoist_model::Refusal;
use foxtailhoist_peers::feeds::HostEntry;
use foxtailhoist_rollout::shift::ShiftOrder;
use foxtailhoist_rollout::shift::ShiftReport;
use foxtailhoist_route::backends::Registration;
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

/// Kinds of objects in the store that the relay follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObjectKind {
    /// The routing table.
    Configuration,
    /// Entries of backend servers.
    Servers,
    /// Orders to shift a service's traffic.
    Shifts,
    /// Contents that were running when servers died.
    Suspects,
    /// Entries of the entry hosts themselves.
    Hosts,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [ObjectKind; 5] = [
        ObjectKind::Configuration,
        ObjectKind::Servers,
        ObjectKind::Shifts,
        ObjectKind::Suspects,
        ObjectKind::Hosts,
    ];
}

/// One object as it is now.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    pub name: String,
    /// Revision of the object's last change; of the page that shows it for one that was deleted.
    pub revision: u64,
    pub content: Content,
}

/// What an object holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Content {
    Configuration(Box<RoutingTable>),
    Server(Registration),
    Shift(ShiftOrder),
    Suspect {
        content: Fingerprint,
        deaths: u32,
    },
    Host(HostEntry),
    /// Gone; it may only have lapsed, and what it named is kept for that long.
    Deleted {
        keep_for: Option<Duration>,
    },
    /// Written by somebody else in another form; it names nothing.
    Unreadable(String),
}

/// A part of a list or the news of a watch.
#[derive(Clone, Debug, Default)]
pub struct Page {
    pub records: Vec<Record>,
    /// Revision of the store from which to watch.
    pub revision: u64,
    /// Name after which the list goes on.
    pub next: Option<String>,
}

/// Something that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Malformed(pub String);

/// Translates between the wire and the product's types.
pub trait Wire {
    /// Reads the head of a caller's request. The fingerprint is not set yet.
    ///
    /// # Errors
    ///
    /// Fails where a header of the protocol is absent or cannot be read.
    fn decode_request(&self, head: &http::request::Parts) -> Result<Arrival, Malformed>;

    /// Headers of an attempt, from the end-to-end headers of the caller's request.
    fn encode_attempt(
        &self,
        caller: &HeaderMap,
        flight: &InFlightRequest,
        attempt: &Attempt,
        now: Instant,
    ) -> HeaderMap;

    /// Reads the head of a server's answer to the request with the id.
    fn decode_answer(&self, id: &str, head: &http::response::Parts) -> AnswerHead;

    /// Status and headers of a refusal.
    fn encode_refusal(&self, refusal: &Refusal) -> (u16, HeaderMap);

    /// Path on which the balancer asks whether the host is ready.
    fn ready_path(&self) -> &str;

    /// Lists objects of a kind, those after a name.
    fn list(&self, kind: ObjectKind, after: Option<&str>) -> Request<Bytes>;

    /// Waits for changes of a kind after a revision.
    fn watch(&self, kind: ObjectKind, revision: u64, wait: Duration) -> Request<Bytes>;

    /// Reads the answer to [`Wire::list`].
    ///
    /// # Errors
    ///
    /// Fails where the answer as a whole cannot be read; a single object becomes [`Content::Unreadable`].
    fn decode_list(&self, kind: ObjectKind, body: &[u8]) -> Result<Page, Malformed>;

    /// Reads the answer to [`Wire::watch`].
    ///
    /// # Errors
    ///
    /// As [`Wire::decode_list`].
    fn decode_watch(&self, kind: ObjectKind, body: &[u8]) -> Result<Page, Malformed>;

    /// Writes a report on a shift, if the order's object is unchanged.
    fn report_shift(&self, report: &ShiftReport) -> Request<Bytes>;

    /// Enters this host among the entry hosts.
    fn register_host(&self, host: &EntryHostId, entry: &HostEntry) -> Request<Bytes>;

    /// Removes the entry of a host.
    fn remove_host(&self, host: &EntryHostId) -> Request<Bytes>;

    /// Records that a content was running when servers died.
    fn report_suspect(&self, content: Fingerprint, deaths: u32) -> Request<Bytes>;
}
