//! Messages between entry hosts about membership and shared state.
//!
//! Every list in a message has a bound that does not depend on the size of the fleet. The exception is a complete
//! configuration, which is sent only to a host without a usable base revision.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::event::Announcement;
use crate::member::PeerState;
use crate::session::SessionKey;
use crate::tally::Contributor;
use foxtailhoist_config::Delta;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Tally;

/// Maximum size of an encoded message, except for configurations and their changes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024;
/// Maximum number of member records in one gossip message.
pub const MAX_GOSSIP_MEMBERS: usize = 16;
/// Maximum number of announcements in one gossip message.
pub const MAX_GOSSIP_UPDATES: usize = 12;
/// Maximum number of member records in the response to a sync request.
pub const MAX_SYNC_MEMBERS: usize = 48;
/// Maximum number of data centres in one message.
pub const MAX_CENTRES: usize = 48;
/// Maximum number of tally lines in one message.
pub const MAX_TALLY_LINES: usize = 100;
/// Maximum number of laggards in the status of one data centre.
pub const MAX_LAGGARDS: usize = 8;
/// Maximum number of laggards in one gossip message, over all data centres.
pub const MAX_GOSSIP_LAGGARDS: usize = 32;
/// Number of digests per table, by which two hosts find the part that differs.
pub const DIGEST_BUCKETS: usize = 16;

/// A message between entry hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Requests a [`PeerMessage::Ack`] with the same sequence number.
    Heartbeat {
        sequence: u64,
        gossip: Box<Gossip>,
    },
    Ack {
        sequence: u64,
        gossip: Box<Gossip>,
    },
    /// Changes that are sent before the next heartbeat and not acknowledged.
    Gossip(Box<Gossip>),
    /// Requests a heartbeat to `target` on the sender's behalf.
    ProbeRequest {
        target: EntryHostId,
        sequence: u64,
    },
    /// `target` acknowledged a requested probe.
    ProbeResult {
        target: EntryHostId,
        sequence: u64,
    },
    /// Requests a configuration newer than revision `have`.
    Pull {
        have: Revision,
    },
    /// A complete configuration.
    Whole(Box<Configuration>),
    /// The change from the revision named in a pull to the revision in force at the sender.
    Change(Box<Delta>),
    /// A host's revision and tallies, for the delegate of its data centre.
    Report(Box<Report>),
    /// The delegate's response to a report.
    Summary(Box<Summary>),
    /// Tallies summed by data centre, which watchers send over their links.
    Exchange(Box<Exchange>),
    /// Tallies of single hosts, between the watchers of a data centre.
    Handover(Box<Handover>),
    /// Requests the table entries that the sender lacks.
    SyncRequest(Box<SyncRequest>),
    Sync(Box<Sync>),
    /// Stores a session's version at one of its owning hosts.
    StoreSession {
        key: SessionKey,
        model_version: ModelVersion,
    },
    LookupSession {
        token: u64,
        key: SessionKey,
    },
    FoundSession {
        token: u64,
        model_version: Option<ModelVersion>,
    },
}

/// Payload of heartbeats, acknowledgements and gossip messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    pub sender: MemberRecord,
    /// Revision in force at the sender.
    pub revision: Revision,
    /// How long ago the revision was confirmed as the newest in the store; `None` if it never was.
    pub confirmed_age_ms: Option<u64>,
    /// Member changes, those sent in the fewest rounds first.
    pub members: Vec<MemberRecord>,
    pub rumours: Vec<GossipUpdate>,
    /// Digest of the sender's members, itself included.
    pub members_digest: u64,
    /// Digest of the sender's announcements.
    pub rumours_digest: u64,
    /// Status of the data centres; only in heartbeats that watchers send over their links, and in the replies to them.
    pub centres: Vec<CentreStatus>,
}

/// A peer's address, data centre and state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub host: EntryHostId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    pub incarnation: Incarnation,
    pub state: PeerState,
}

/// An announcement in transit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    pub announcement: Announcement,
    /// Time since the announcement was first made. Most kinds expire at a fixed age.
    pub age_ms: u64,
}

/// Status of a data centre, produced by its delegate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreStatus {
    pub data_centre: DataCentreId,
    /// Heartbeat counter that grows while the data centre has a delegate.
    pub beat: u64,
    /// Revision that every host of the data centre has reached, except those in `laggards`.
    pub revision: Revision,
    pub laggards: Vec<Laggard>,
}

/// A host and its revision, which is older than that of its data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Laggard {
    pub host: EntryHostId,
    pub revision: Revision,
}

/// A host's revision and tallies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation with which the host started.
    pub start: Incarnation,
    pub revision: Revision,
    /// Requests a summary. A report sent because of a new revision requests none and carries no tallies.
    pub wants_summary: bool,
    /// Tallies, cumulative since the start.
    pub tallies: BTreeMap<ModelVersion, Tally>,
}

/// The delegate's view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Tallies summed over all hosts but the receiver; its counters from before its latest start are included.
    pub others: BTreeMap<ModelVersion, Tally>,
    /// Newest revision of any data centre.
    pub revision: Revision,
    /// Data centres with an older revision.
    pub centres_behind: BTreeMap<DataCentreId, Revision>,
    pub laggards: Vec<Laggard>,
    /// Data centres whose beat has not grown within the timeout.
    pub unreachable: Vec<DataCentreId>,
}

/// Tallies by data centre. Lines refer to `versions` by index so that names are not repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    pub versions: Vec<ModelVersion>,
    pub centres: Vec<CentreTallies>,
}

/// Part of the tallies of a data centre's hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    pub versions: Vec<ModelVersion>,
    pub contributions: Vec<HostTallies>,
}

/// Tallies of one host since one of its starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostTallies {
    pub contributor: Contributor,
    pub lines: Vec<TallyLine>,
}

/// Tallies summed over one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreTallies {
    pub data_centre: DataCentreId,
    pub lines: Vec<TallyLine>,
}

/// Tally of one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TallyLine {
    /// Index into the message's `versions`.
    pub version: u16,
    pub tally: Tally,
}

/// Digests of the sender's tables, by bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    pub members: [u64; DIGEST_BUCKETS],
    pub rumours: [u64; DIGEST_BUCKETS],
}

/// Entries of the buckets that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    pub members: Vec<MemberRecord>,
    pub rumours: Vec<GossipUpdate>,
}

/// Digest of all buckets.
pub(crate) fn combine_digests(digests: &[u64; DIGEST_BUCKETS]) -> u64 {
    digests.iter().fold(0, |all, bucket| all ^ bucket)
}
