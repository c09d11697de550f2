//! Backend servers and entry hosts, as the host list shows them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendServerId;
use crate::DataCentreId;
use crate::EntryHostId;
use crate::ModelVersion;
use crate::ServiceId;

/// Whether a host or server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    Live,
    Leaving,
}

/// What a backend server offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// A model engine, the versions it has loaded and the largest number of requests in its batch; 0 slots if unknown.
    Engine { loaded: BTreeSet<ModelVersion>, slots: u32 },
    /// A plain service.
    Service(ServiceId),
}

/// A server that runs requests: a model engine or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    pub id: BackendServerId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    pub presence: Presence,
    pub serves: Serves,
    /// Whether the server rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// An entry host as the host list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    pub id: EntryHostId,
    /// Address at which peers reach the host.
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    pub presence: Presence,
}
