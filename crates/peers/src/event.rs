//! Inputs and outputs of the membership state machine.

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

/// Input to [`Peers::handle`](crate::Peers::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// Entry hosts in the store's host list.
    HostList(Vec<ListedHost>),
    /// An authenticated message from a peer.
    Message { from: EntryHostId, message: PeerMessage },
    /// A message could not be delivered.
    SendFailed { to: EntryHostId },
    /// This host adopted a configuration from the store.
    Adopted(Arc<Configuration>),
    /// `revision` was the newest in the store `age` ago.
    Confirmed { revision: Revision, age: Duration },
    /// An observation of this host to be spread to all peers.
    Announce(Announcement),
    /// This host's own tally of a version, cumulative since its start.
    Tally { model_version: ModelVersion, tally: Tally },
    /// Pins a session to a version, for a caller that sends the bare session id instead of a sealed token.
    SessionPinned { workspace: WorkspaceId, session: SessionId, model_version: ModelVersion },
    /// Looks up a session's version; answered by exactly one `SessionFound` with the same token.
    SessionLookup { token: u64, workspace: WorkspaceId, session: SessionId },
    /// This host shuts down and announces that it is leaving.
    Stop,
    /// The deadline returned by `Peers::next_wake` has passed.
    Tick,
}

/// A fact that spreads to every entry host. Facts only accumulate, and merging one twice has no effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Announcement {
    /// A version is vetoed; `epoch` is the number of operator clearances that the vetoing host had seen for it.
    Vetoed { model_version: ModelVersion, epoch: u64, reason: String },
    /// An operator cleared all vetoes with an epoch below `epoch`.
    VetoCleared { model_version: ModelVersion, epoch: u64, operator: OperatorId },
    /// A request with this content was running when a backend server died.
    Suspected { fingerprint: Fingerprint },
    /// Requests with this content are refused, because backend servers died while running it.
    Quarantined { fingerprint: Fingerprint },
    /// A backend server is leaving.
    Leaving { server: BackendServerId },
}

/// Action that the caller of [`Peers::handle`](crate::Peers::handle) must perform.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: EntryHostId,
        address: SocketAddr,
        message: PeerMessage,
    },
    /// The set of alive and reachable entry hosts changed. It includes this host until it stops.
    Hosts(Vec<Member>),
    /// Puts a newer configuration from a peer in force.
    Adopt(Arc<Configuration>),
    /// A peer has this newer revision in force; a pull is scheduled.
    PeerRevision(Revision),
    /// A peer confirmed that the revision in force here was the newest in the store `age` ago.
    PeerConfirmed {
        revision: Revision,
        age: Duration,
    },
    /// Result of `SessionLookup`.
    SessionFound {
        token: u64,
        model_version: Option<ModelVersion>,
    },
    /// A peer sent an announcement that was new to this host.
    Learned(Announcement),
    /// Tallies summed over all other entry hosts, for each version whose sum changed.
    Tallies(BTreeMap<ModelVersion, Tally>),
    /// Whether this host is now a watcher of its data centre.
    Watcher(bool),
    /// Closes unresponsive connections to the peer so that new ones are opened.
    RetireConnections {
        to: EntryHostId,
    },
}

/// An entry host that is alive or suspect, in a reachable data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    pub host: EntryHostId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Revision in force that the host last reported.
    pub revision: Revision,
}
