//! Backend servers: index by destination and data centre, load, speeds, and the choice among them.
//!
//! A choice looks at a bounded number of servers, whatever the size of the fleet: two at random in the own data
//! centre ("the power of two choices", Mitzenmacher 2001), the owner of the prompt's prefix on a hash ring, a few
//! servers that are known to hold the prefix, and two at random in each of a few other data centres. The one with the
//! least expected time wins.

mod choose;
mod prefixes;
mod ring;
mod server;
mod speed;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServer;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::CacheEvent;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::LoadReport;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::PrefixHash;
use foxtailhoist_model::Serves;

use crate::config::Mechanisms;
use crate::destination::Destination;
use prefixes::Prefixes;
use ring::Ring;
pub(crate) use server::Server;
use speed::Speed;
use speed::Tail;

/// All backend servers that the host list shows.
#[derive(Debug)]
pub(crate) struct Servers {
    own: DataCentreId,
    mechanisms: Mechanisms,
    slots: Vec<Option<Server>>,
    /// Slots without a server.
    free: Vec<usize>,
    by_id: BTreeMap<BackendServerId, usize>,
    groups: BTreeMap<Destination, Group>,
    prefixes: Prefixes,
}

/// Servers of one destination.
#[derive(Debug, Default)]
struct Group {
    centres: BTreeMap<DataCentreId, Centre>,
    speed: Speed,
    first_byte_tail: Tail,
    total_tail: Tail,
}

/// Servers of one destination in one data centre.
#[derive(Debug, Default)]
struct Centre {
    members: Vec<usize>,
    ring: Ring,
}

/// Work to be placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) prefix: Option<PrefixHash>,
    pub(crate) prefix_tokens: u32,
    /// The caller waits for the first token rather than for the whole answer.
    pub(crate) streamed: bool,
    /// Nothing else of this host may run on the server meanwhile.
    pub(crate) alone: bool,
}

/// A server chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) slot: usize,
    /// Prompt tokens that have to be computed.
    pub(crate) uncached: f64,
    /// Prompt tokens that are ahead at the server, and own.
    pub(crate) ahead: f64,
    pub(crate) first_byte: Duration,
    pub(crate) total: Duration,
    pub(crate) prefix_held: bool,
    /// Slow-down of the decoding by other requests that was expected.
    pub(crate) crowding: f64,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// Servers are there, but none has room.
    Full,
    /// No server takes new work for the destination.
    Unserved,
}

impl Servers {
    pub(crate) fn new(own: DataCentreId, mechanisms: Mechanisms) -> Servers {
        Servers {
            own,
            mechanisms,
            slots: Vec::new(),
            free: Vec::new(),
            by_id: BTreeMap::new(),
            groups: BTreeMap::new(),
            prefixes: Prefixes::default(),
        }
    }

    /// Takes in the host list.
    pub(crate) fn list(&mut self, listed: Vec<BackendServer>) {
        let mut by_id = BTreeMap::new();
        for server in listed {
            let slot = match self.by_id.remove(&server.id) {
                Some(slot) => slot,
                None => self.free_slot(),
            };
            by_id.insert(server.id.clone(), slot);
            match &mut self.slots[slot] {
                Some(known) => known.relist(server),
                empty => *empty = Some(Server::new(server)),
            }
        }
        // A server that left the list keeps its slot while its attempts run.
        for (id, slot) in std::mem::replace(&mut self.by_id, by_id) {
            self.prefixes.forget_server(slot);
            match &mut self.slots[slot] {
                Some(server) if server.in_flight() > 0 => {
                    server.unlisted = true;
                    self.by_id.insert(id, slot);
                }
                _ => self.release_slot(slot),
            }
        }
        self.regroup();
    }

    pub(crate) fn leave(&mut self, id: &BackendServerId) -> bool {
        let Some(server) = self.by_id(id) else {
            return false;
        };
        if std::mem::replace(&mut server.leaving, true) {
            return false;
        }
        self.regroup();
        true
    }

    pub(crate) fn report(&mut self, report: &LoadReport, now: Instant) {
        if let Some(server) = self.by_id(&report.server) {
            server.report(report, now);
        }
    }

    pub(crate) fn cache(&mut self, event: &CacheEvent, now: Instant) {
        let Some(slot) = self.by_id.get(&event.server).copied() else {
            return;
        };
        if event.present {
            self.prefixes.note(event.prefix, slot, event.tokens, now);
        } else {
            self.prefixes.forget(event.prefix, slot);
        }
    }

    pub(crate) fn server(&self, slot: usize) -> Option<&Server> {
        self.slots.get(slot)?.as_ref()
    }

    pub(crate) fn server_mut(&mut self, slot: usize) -> Option<&mut Server> {
        self.slots.get_mut(slot)?.as_mut()
    }

    /// Prefixes that are remembered, and the most that may be.
    pub(crate) fn prefixes(&self) -> (usize, usize) {
        (self.prefixes.len(), Prefixes::capacity())
    }

    /// Latency of attempts relative to the expected, at the 95th percentile.
    pub(crate) fn tail(&self, destination: &Destination, streamed: bool) -> f64 {
        let Some(group) = self.groups.get(destination) else {
            return Tail::default().ratio();
        };
        let tail = if streamed { group.first_byte_tail } else { group.total_tail };
        tail.ratio()
    }

    /// Engine that takes new work but has not loaded a version, the least loaded of them.
    pub(crate) fn engine_without(
        &self,
        model_version: &ModelVersion,
        now: Instant,
    ) -> Option<(&BackendServerId, &BTreeSet<ModelVersion>)> {
        let loaded = |server: &'_ Server| match &server.listed.serves {
            Serves::Engine { loaded, .. } => !loaded.contains(model_version),
            Serves::Service(_) => false,
        };
        let engines = self.slots.iter().flatten();
        let free = engines.filter(|server| server.takes_new_work() && loaded(server));
        let own_first = |server: &&Server| server.listed.data_centre != self.own;
        let chosen = free.min_by(|a, b| {
            let order = own_first(a).cmp(&own_first(b));
            order.then(a.load(now).total_cmp(&b.load(now)))
        })?;
        match &chosen.listed.serves {
            Serves::Engine { loaded, .. } => Some((&chosen.listed.id, loaded)),
            Serves::Service(_) => None,
        }
    }

    /// Notes the start of an attempt.
    pub(crate) fn begin(
        &mut self,
        chosen: &Chosen,
        destination: &Destination,
        work: &Work,
        now: Instant,
    ) {
        let adaptive = self.mechanisms.adaptive_limits;
        if let Some(server) = self.server_mut(chosen.slot) {
            server.begin(destination, chosen.uncached, adaptive);
            server.reserved = work.alone;
        }
        if let Some(prefix) = work.prefix {
            self.prefixes.note(prefix, chosen.slot, work.prefix_tokens, now);
        }
    }

    /// Takes in a first byte that came `seconds` after the dispatch.
    pub(crate) fn first_byte(&mut self, chosen: &Chosen, destination: &Destination, seconds: f64) {
        let adaptive = self.mechanisms.adaptive_limits;
        let tokens = chosen.uncached + chosen.ahead;
        let expected = chosen.first_byte.as_secs_f64();
        if let Some(server) = self.server_mut(chosen.slot) {
            server.pending_prefill = (server.pending_prefill - chosen.uncached).max(0.0);
            let lane = server.lane(destination, adaptive);
            let ratio = lane.speed.observe_prefill(seconds, tokens);
            lane.limiter.observe(ratio);
        }
        if let Some(group) = self.groups.get_mut(destination) {
            group.speed.observe_prefill(seconds, tokens);
            group.first_byte_tail.observe(seconds / expected.max(0.001));
        }
    }

    /// Takes in a whole answer that came `seconds` after its first byte.
    pub(crate) fn whole(
        &mut self,
        chosen: &Chosen,
        destination: &Destination,
        seconds: f64,
        tokens: f64,
    ) {
        let expected = (chosen.total - chosen.first_byte).as_secs_f64();
        let adaptive = self.mechanisms.adaptive_limits;
        if let Some(server) = self.server_mut(chosen.slot) {
            server.succeed();
            server.reserved = false;
            let lane = server.lane(destination, adaptive);
            lane.speed.observe_decode(seconds / chosen.crowding, tokens);
            lane.limiter.observe(seconds / expected.max(0.001));
        }
        if let Some(group) = self.groups.get_mut(destination) {
            group.speed.observe_decode(seconds / chosen.crowding, tokens);
            group.total_tail.observe(seconds / expected.max(0.001));
        }
    }

    /// Notes the end of an attempt, however it ended.
    pub(crate) fn end(&mut self, chosen: &Chosen, destination: &Destination, had_first_byte: bool) {
        let Some(server) = self.server_mut(chosen.slot) else {
            return;
        };
        if !had_first_byte {
            server.pending_prefill = (server.pending_prefill - chosen.uncached).max(0.0);
        }
        server.end(destination);
        if server.unlisted && server.in_flight() == 0 {
            let id = server.listed.id.clone();
            self.by_id.remove(&id);
            self.release_slot(chosen.slot);
        }
    }

    fn by_id(&mut self, id: &BackendServerId) -> Option<&mut Server> {
        let slot = *self.by_id.get(id)?;
        self.slots.get_mut(slot)?.as_mut()
    }

    fn free_slot(&mut self) -> usize {
        match self.free.pop() {
            Some(slot) => slot,
            None => {
                self.slots.push(None);
                self.slots.len() - 1
            }
        }
    }

    fn release_slot(&mut self, slot: usize) {
        self.slots[slot] = None;
        self.free.push(slot);
    }

    /// Rebuilds the index; learned speeds stay.
    fn regroup(&mut self) {
        for group in self.groups.values_mut() {
            group.centres.clear();
        }
        for (slot, server) in self.slots.iter().enumerate() {
            let Some(server) = server.as_ref().filter(|server| server.takes_new_work()) else {
                continue;
            };
            for destination in destinations(&server.listed) {
                let group = self.groups.entry(destination).or_default();
                let centre = group.centres.entry(server.listed.data_centre.clone()).or_default();
                centre.members.push(slot);
                centre.ring.add(&server.listed.id, slot);
            }
        }
    }
}

fn serves(server: &BackendServer, destination: &Destination) -> bool {
    match (&server.serves, destination) {
        (Serves::Engine { loaded, .. }, Destination::Version(version)) => loaded.contains(version),
        (Serves::Service(offered), Destination::Service(wanted)) => offered == wanted,
        (Serves::Engine { .. } | Serves::Service(_), _) => false,
    }
}

fn destinations(server: &BackendServer) -> Vec<Destination> {
    match &server.serves {
        Serves::Engine { loaded, .. } => loaded.iter().cloned().map(Destination::Version).collect(),
        Serves::Service(service) => vec![Destination::Service(service.clone())],
    }
}
