//! A backend server of the simulated fleet.

use std::collections::BTreeMap;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Presence;
use foxtailhoist_route::backends::Registration;
use foxtailhoist_route::in_flight::Attempt;

use super::Index;
use super::deployment::DATA_CENTRE;
use super::deployment::SERVICE;

const FIRST_PORT: u16 = 10_000;

/// A server, and what it runs.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) id: BackendServerId,
    number: Index,
    pub(super) incarnation: u64,
    pub(super) is_down: bool,
    /// Attempts by request, and whether the answer's head was sent.
    pub(super) running: BTreeMap<Index, (Box<Attempt>, bool)>,
}

impl Server {
    pub(super) fn new(number: Index) -> Server {
        let id = format!("server-{number}");
        Server { id, number, incarnation: 1, is_down: false, running: BTreeMap::new() }
    }

    /// Index of the server with this id.
    pub(super) fn index(id: &str) -> Index {
        let number = id.rsplit('-').next().and_then(|number| number.parse().ok());
        number.unwrap_or_default()
    }

    pub(super) fn registration(&self) -> Registration {
        let port = FIRST_PORT + u16::try_from(self.number).unwrap_or_default();
        Registration {
            id: self.id.clone(),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], port).into(),
            data_centre: DATA_CENTRE.to_owned(),
            version: "v1".to_owned(),
            slots: 16,
            presence: Presence::Live,
            warm_up: std::time::Duration::ZERO,
            started_ms: Some(self.incarnation),
        }
    }
}
