//! Settings of an entry host.

use std::net::SocketAddr;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ListedHost;

/// Who an entry host is and whom it asks first.
#[derive(Clone, Debug)]
pub struct HostConfig {
    pub host: EntryHostId,
    pub data_centre: DataCentreId,
    /// Higher at each start.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Peers to contact before the host list was read.
    pub seeds: Vec<ListedHost>,
    pub enforcement: Enforcement,
}
