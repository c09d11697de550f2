//! Settings of an entry host.

use std::net::SocketAddr;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ListedHost;

/// Identity of an entry host and its first peers.
#[derive(Clone, Debug)]
pub struct HostConfig {
    pub host: EntryHostId,
    pub data_centre: DataCentreId,
    /// Increases with each start.
    pub incarnation: Incarnation,
    /// Address on which it accepts connections from peers.
    pub peer_address: SocketAddr,
    /// Peers to contact until the host list is read.
    pub seeds: Vec<ListedHost>,
    pub enforcement: Enforcement,
}
