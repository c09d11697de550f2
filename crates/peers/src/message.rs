//! Messages between entry hosts about membership and what they share.
//!
//! Every list in a message has a bound that does not depend on the fleet's size, except a whole configuration, which
//! only a host without a usable base is sent.

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

/// Largest encoded message, whole configurations and their changes apart.
pub const MESSAGE_LIMIT_BYTES: usize = 8 * 1024;
/// Most member records in one gossip.
pub const GOSSIP_MEMBERS: usize = 16;
/// Most announcements in one gossip.
pub const GOSSIP_RUMOURS: usize = 12;
/// Most members in the answer to a sync.
pub const SYNC_MEMBERS: usize = 48;
/// Most data centres in one message.
pub const CENTRES: usize = 48;
/// Most lines of evidence in one message.
pub const TALLY_LINES: usize = 100;
/// Most hosts that one message names as behind in their revision.
pub const LAGGARDS: usize = 8;
/// Most of them in one gossip, over all data centres.
pub const GOSSIP_LAGGARDS: usize = 32;
/// Digests by which two hosts find the part of a table that differs.
pub const BUCKETS: usize = 16;

/// A message between entry hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Asks for an [`PeerMessage::Ack`] with the same sequence number.
    Heartbeat {
        sequence: u64,
        gossip: Box<Gossip>,
    },
    Ack {
        sequence: u64,
        gossip: Box<Gossip>,
    },
    /// News that does not wait for the next heartbeat.
    Gossip(Box<Gossip>),
    /// Asks for a heartbeat to `target` on the sender's behalf.
    ProbeRequest {
        target: EntryHostId,
        sequence: u64,
    },
    /// `target` answered.
    ProbeResult {
        target: EntryHostId,
        sequence: u64,
    },
    /// Asks for the configuration after revision `have`.
    Pull {
        have: Revision,
    },
    /// A whole configuration.
    Whole(Box<Configuration>),
    /// What turns the revision that was named in a pull into the newest.
    Change(Box<Delta>),
    /// A host's own state, for the delegate of its data centre.
    Report(Box<Report>),
    /// The delegate's answer.
    Summary(Box<Summary>),
    /// Evidence of whole data centres, between delegates.
    Exchange(Box<Exchange>),
    /// Evidence of single hosts, between the watchers of one data centre.
    Handover(Box<Handover>),
    /// Asks for what the receiver has and the sender lacks.
    SyncRequest(Box<SyncRequest>),
    Sync(Box<Sync>),
    /// Keeps a session's version at one of its homes.
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

/// What every heartbeat carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    pub sender: MemberRecord,
    /// Revision in force at the sender.
    pub revision: Revision,
    /// How long ago the revision was the store's newest; `None` if it never was confirmed.
    pub confirmed_age_ms: Option<u64>,
    /// Member changes, newest first.
    pub members: Vec<MemberRecord>,
    pub rumours: Vec<Rumour>,
    /// Digest of the sender's members and of its announcements.
    pub members_digest: u64,
    pub rumours_digest: u64,
    /// State of the data centres; between data centres only.
    pub centres: Vec<CentreStatus>,
}

/// A peer's place and state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub host: EntryHostId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    pub incarnation: Incarnation,
    pub state: PeerState,
}

/// An announcement on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    pub announcement: Announcement,
    /// Time since it was announced first; hosts drop it at a fixed age.
    pub age_ms: u64,
}

/// State of a data centre, written by its delegate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreStatus {
    pub data_centre: DataCentreId,
    /// Grows while the data centre has a delegate.
    pub beat: u64,
    /// Every host of the data centre has it in force, but for those in `laggards`.
    pub revision: Revision,
    pub laggards: Vec<Laggard>,
}

/// A host with an older revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Laggard {
    pub host: EntryHostId,
    pub revision: Revision,
}

/// A host's own state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation with which the host started.
    pub start: Incarnation,
    pub revision: Revision,
    /// Asks for a summary. A report of a new revision does not, and carries no tallies.
    pub wants_summary: bool,
    /// Cumulative since the start.
    pub tallies: BTreeMap<ModelVersion, Tally>,
}

/// The fleet as the delegate knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Evidence of all hosts but the receiver.
    pub others: BTreeMap<ModelVersion, Tally>,
    /// Newest revision of any data centre.
    pub revision: Revision,
    /// Data centres behind it.
    pub centres_behind: BTreeMap<DataCentreId, Revision>,
    pub laggards: Vec<Laggard>,
    /// Data centres from which nothing has come for a while.
    pub unreachable: Vec<DataCentreId>,
}

/// Evidence by data centre. Counters refer to `versions` by position, which keeps names out of each line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    pub versions: Vec<ModelVersion>,
    pub centres: Vec<CentreTallies>,
}

/// Part of the evidence of a data centre's single hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    pub versions: Vec<ModelVersion>,
    pub contributions: Vec<HandedOver>,
}

/// Evidence of one host from one start to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedOver {
    pub contributor: Contributor,
    pub lines: Vec<TallyLine>,
}

/// Evidence of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreTallies {
    pub data_centre: DataCentreId,
    pub lines: Vec<TallyLine>,
}

/// Evidence about one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TallyLine {
    /// Position in the message's `versions`.
    pub version: u16,
    pub tally: Tally,
}

/// Digests of the sender's tables, by bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    pub members: [u64; BUCKETS],
    pub rumours: [u64; BUCKETS],
}

/// Entries of the buckets that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    pub members: Vec<MemberRecord>,
    pub rumours: Vec<Rumour>,
}

/// Digest of all buckets.
pub(crate) fn combined(digests: &[u64; BUCKETS]) -> u64 {
    digests.iter().fold(0, |all, bucket| all ^ bucket)
}
