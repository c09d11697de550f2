//! Backend servers as the host list shows them, with later marks of leaving.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServer;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Presence;

/// How long a mark of leaving outweighs a host list that still shows the server as live.
const LEAVING_MARK_AGE: Duration = Duration::from_secs(60);

/// Known backend servers.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    listed: BTreeMap<BackendServerId, BackendServer>,
    marks: BTreeMap<BackendServerId, Instant>,
}

impl Servers {
    /// Takes the host list's servers; returns them with the marks applied.
    pub fn set(&mut self, servers: Vec<BackendServer>, now: Instant) -> Vec<BackendServer> {
        self.marks.retain(|_, marked| now.duration_since(*marked) < LEAVING_MARK_AGE);
        let marked = servers.into_iter().map(|server| self.with_mark(server));
        self.listed = marked.map(|server| (server.id.clone(), server)).collect();
        self.listed.values().cloned().collect()
    }

    /// Marks a server as leaving; true when that is new.
    pub fn mark_leaving(&mut self, server: &BackendServerId, now: Instant) -> bool {
        let is_new = self.marks.insert(server.clone(), now).is_none();
        if let Some(listed) = self.listed.get_mut(server) {
            listed.presence = Presence::Leaving;
        }
        is_new
    }

    #[must_use]
    pub fn address(&self, server: &BackendServerId) -> Option<SocketAddr> {
        self.listed.get(server).map(|server| server.address)
    }

    #[must_use]
    pub fn data_centre(&self, server: &BackendServerId) -> Option<&DataCentreId> {
        self.listed.get(server).map(|server| &server.data_centre)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    fn with_mark(&self, server: BackendServer) -> BackendServer {
        let presence = match self.marks.contains_key(&server.id) {
            true => Presence::Leaving,
            false => server.presence,
        };
        BackendServer { presence, ..server }
    }
}
