//! What the membership is told and what it asks for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::PeerMessage;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Fingerprint;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::OperatorId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::Tally;
use foxtailhoist_model::WorkspaceId;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host list's entry hosts.
    HostList(Vec<ListedHost>),
    /// A peer's message, authenticated.
    Message { from: EntryHostId, message: PeerMessage },
    /// A message could not be delivered.
    SendFailed { to: EntryHostId },
    /// A configuration came into force here, from the store.
    Adopted(Arc<Configuration>),
    /// The store's newest revision was this one `age` ago.
    Confirmed { revision: Revision, age: Duration },
    /// This host observed something that its peers must know.
    Announce(Announcement),
    /// This host's own evidence about a version, cumulative since its start.
    Tally { model_version: ModelVersion, tally: Tally },
    /// A session that the caller names without a sealed token keeps this version.
    SessionPinned { workspace: WorkspaceId, session: SessionId, model_version: ModelVersion },
    /// Asks for a session's version; answered once with `SessionFound` and the same token.
    SessionLookup { token: u64, workspace: WorkspaceId, session: SessionId },
    /// This host leaves: tell the peers.
    Stop,
    /// The time named by `Peers::next_wake` has come.
    Tick,
}

/// Facts that spread to every entry host. Each only accumulates: a repeat changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Announcement {
    /// A version is vetoed; `epoch` is the number of operators' clearances that the vetoing host had seen for it.
    Vetoed {
        model_version: ModelVersion,
        epoch: u64,
        reason: String,
    },
    /// An operator lifted the vetoes of every epoch below `epoch`.
    VetoCleared {
        model_version: ModelVersion,
        epoch: u64,
        operator: OperatorId,
    },
    Suspected {
        fingerprint: Fingerprint,
    },
    Quarantined {
        fingerprint: Fingerprint,
    },
    Leaving {
        server: BackendServerId,
    },
}

/// Something to be done for the membership.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: EntryHostId,
        address: SocketAddr,
        message: PeerMessage,
    },
    /// The set of entry hosts that are alive and reachable changed; this one included until it stops.
    Hosts(Vec<Member>),
    /// A peer has a newer configuration: put it in force.
    Adopt(Arc<Configuration>),
    /// A peer has this revision in force; it is being pulled.
    PeerRevision(Revision),
    /// A peer confirmed the revision in force here: it was the store's newest `age` ago.
    PeerConfirmed {
        revision: Revision,
        age: Duration,
    },
    /// Answer to `SessionLookup`.
    SessionFound {
        token: u64,
        model_version: Option<ModelVersion>,
    },
    /// A peer announced something new to this host.
    Learned(Announcement),
    /// Evidence of all other entry hosts, summed, for each version that changed.
    Tallies(BTreeMap<ModelVersion, Tally>),
    /// This host is a watcher of its data centre, or no longer.
    Watcher(bool),
    /// The peer's connections are silent: open new ones.
    RetireConnections {
        to: EntryHostId,
    },
}

/// An entry host that is alive.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    pub host: EntryHostId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Revision that it last said to have in force.
    pub revision: Revision,
}
