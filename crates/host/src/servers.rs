//! Backend servers of the host list, combined with more recent reports that a server is leaving.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServer;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Presence;

/// Time for which a leaving mark overrides the host list, which may still show the server as live.
const LEAVING_MARK_TTL: Duration = Duration::from_secs(60);

/// Known backend servers.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    listed: BTreeMap<BackendServerId, BackendServer>,
    /// Servers reported as leaving, with the time of the report.
    leaving_marks: BTreeMap<BackendServerId, Instant>,
}

impl Servers {
    /// Replaces the listed servers and returns them with the leaving marks applied.
    pub fn set(&mut self, servers: Vec<BackendServer>, now: Instant) -> Vec<BackendServer> {
        self.leaving_marks.retain(|_, marked| now.duration_since(*marked) < LEAVING_MARK_TTL);
        let marked = servers.into_iter().map(|server| self.with_leaving_mark(server));
        self.listed = marked.map(|server| (server.id.clone(), server)).collect();
        self.listed.values().cloned().collect()
    }

    /// Marks a server as leaving; returns whether it was not marked before.
    pub fn mark_leaving(&mut self, server: &BackendServerId, now: Instant) -> bool {
        let is_new = self.leaving_marks.insert(server.clone(), now).is_none();
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

    fn with_leaving_mark(&self, server: BackendServer) -> BackendServer {
        let presence = match self.leaving_marks.contains_key(&server.id) {
            true => Presence::Leaving,
            false => server.presence,
        };
        BackendServer { presence, ..server }
    }
}
