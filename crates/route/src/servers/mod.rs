//! Backend servers: index by destination and data centre, load, speeds and server selection.
//!
//! A selection considers a bounded number of servers, whatever the size of the fleet: two at random in the host's own
//! data centre ("the power of two choices", Mitzenmacher 2001), the owner of the prompt's prefix on a hash ring, a few
//! servers that are known to hold the prefix, and two at random in each of a few other data centres. The server with
//! the shortest expected time is selected.

mod prefixes;
mod ring;
mod select;
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
use ring::HashRing;
pub(crate) use server::Server;
use speed::LatencyTail;
use speed::Speed;

/// All listed backend servers, and unlisted ones whose attempts still run.
#[derive(Debug)]
pub(crate) struct Servers {
    own_data_centre: DataCentreId,
    mechanisms: Mechanisms,
    /// Servers by index. These slots have nothing to do with the request slots of an engine.
    slots: Vec<Option<Server>>,
    /// Indices of empty slots.
    free_slots: Vec<usize>,
    by_id: BTreeMap<BackendServerId, usize>,
    groups: BTreeMap<Destination, DestinationGroup>,
    prefixes: Prefixes,
}

/// Servers of one destination.
#[derive(Debug, Default)]
struct DestinationGroup {
    data_centres: BTreeMap<DataCentreId, DataCentreGroup>,
    speed: Speed,
    first_byte_tail: LatencyTail,
    decode_tail: LatencyTail,
}

/// Servers of one destination in one data centre.
#[derive(Debug, Default)]
struct DataCentreGroup {
    members: Vec<usize>,
    ring: HashRing,
}

/// Work of an attempt that needs a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) prefix: Option<PrefixHash>,
    pub(crate) prefix_tokens: u32,
    /// The caller waits for the first token rather than the complete answer.
    pub(crate) streamed: bool,
    /// No other attempt of this host may run on the server at the same time, because the request may crash it.
    pub(crate) exclusive: bool,
}

/// A server chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChosenServer {
    /// Index of the server in [`Servers`].
    pub(crate) slot: usize,
    /// Prompt tokens that are not cached at the server.
    pub(crate) uncached_tokens: f64,
    /// Prompt tokens of other attempts that the server has to process first.
    pub(crate) queued_tokens: f64,
    /// Expected time to the first byte.
    pub(crate) first_byte: Duration,
    /// Expected time to the complete answer.
    pub(crate) total: Duration,
    /// The server probably holds the prompt's prefix in its cache.
    pub(crate) prefix_held: bool,
    /// Factor by which other requests are expected to slow down decoding.
    pub(crate) slowdown: f64,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoServer {
    /// Servers offer the destination, but none has capacity.
    Full,
    /// No server takes new work for the destination.
    Unserved,
}

impl Servers {
    pub(crate) fn new(own_data_centre: DataCentreId, mechanisms: Mechanisms) -> Servers {
        Servers {
            own_data_centre,
            mechanisms,
            slots: Vec::new(),
            free_slots: Vec::new(),
            by_id: BTreeMap::new(),
            groups: BTreeMap::new(),
            prefixes: Prefixes::default(),
        }
    }

    /// Replaces the listed servers.
    pub(crate) fn update(&mut self, listed: Vec<BackendServer>) {
        let mut by_id = BTreeMap::new();
        for server in listed {
            let slot = match self.by_id.remove(&server.id) {
                Some(slot) => slot,
                None => self.free_slot(),
            };
            by_id.insert(server.id.clone(), slot);
            match &mut self.slots[slot] {
                Some(known) => known.update_listing(server),
                empty => *empty = Some(Server::new(server)),
            }
        }
        // A server that was removed from the list keeps its slot while its attempts run.
        for (id, slot) in std::mem::replace(&mut self.by_id, by_id) {
            self.prefixes.remove_server(slot);
            match &mut self.slots[slot] {
                Some(server) if server.in_flight() > 0 => {
                    server.unlisted = true;
                    self.by_id.insert(id, slot);
                }
                _ => self.release_slot(slot),
            }
        }
        self.rebuild_groups();
    }

    /// Marks a server as leaving; returns whether it is known and was not marked before.
    pub(crate) fn mark_leaving(&mut self, id: &BackendServerId) -> bool {
        let Some(server) = self.by_id(id) else {
            return false;
        };
        if std::mem::replace(&mut server.leaving, true) {
            return false;
        }
        self.rebuild_groups();
        true
    }

    pub(crate) fn record_load(&mut self, report: &LoadReport, now: Instant) {
        if let Some(server) = self.by_id(&report.server) {
            server.record_load(report, now);
        }
    }

    pub(crate) fn record_cache_event(&mut self, event: &CacheEvent, now: Instant) {
        let Some(slot) = self.by_id.get(&event.server).copied() else {
            return;
        };
        if event.present {
            self.prefixes.record(event.prefix, slot, event.tokens, now);
        } else {
            self.prefixes.remove(event.prefix, slot);
        }
    }

    pub(crate) fn server(&self, slot: usize) -> Option<&Server> {
        self.slots.get(slot)?.as_ref()
    }

    pub(crate) fn server_mut(&mut self, slot: usize) -> Option<&mut Server> {
        self.slots.get_mut(slot)?.as_mut()
    }

    /// Number of prefixes in the table, and its capacity.
    pub(crate) fn prefixes(&self) -> (usize, usize) {
        (self.prefixes.len(), Prefixes::capacity())
    }

    /// 95th percentile of a latency of attempts, relative to the expected one: of the time to the first byte if
    /// `streamed`, otherwise of the time from the first byte to the complete answer.
    pub(crate) fn latency_tail(&self, destination: &Destination, streamed: bool) -> f64 {
        let Some(group) = self.groups.get(destination) else {
            return LatencyTail::default().ratio();
        };
        let tail = if streamed { group.first_byte_tail } else { group.decode_tail };
        tail.ratio()
    }

    /// Engine that takes new work but has not loaded a version, with the versions that it has loaded. Engines of the
    /// host's own data centre are preferred, then the least loaded.
    pub(crate) fn engine_without(
        &self,
        model_version: &ModelVersion,
        now: Instant,
    ) -> Option<(&BackendServerId, &BTreeSet<ModelVersion>)> {
        let lacks_version = |server: &'_ Server| match &server.listed.serves {
            Serves::Engine { loaded, .. } => !loaded.contains(model_version),
            Serves::Service(_) => false,
        };
        let engines = self.slots.iter().flatten();
        let candidates = engines.filter(|server| server.takes_new_work() && lacks_version(server));
        let is_remote = |server: &&Server| server.listed.data_centre != self.own_data_centre;
        let chosen = candidates.min_by(|a, b| {
            let order = is_remote(a).cmp(&is_remote(b));
            order.then(a.load(now).total_cmp(&b.load(now)))
        })?;
        match &chosen.listed.serves {
            Serves::Engine { loaded, .. } => Some((&chosen.listed.id, loaded)),
            Serves::Service(_) => None,
        }
    }

    /// Records the start of an attempt.
    pub(crate) fn start_attempt(
        &mut self,
        chosen: &ChosenServer,
        destination: &Destination,
        work: &Work,
        now: Instant,
    ) {
        let adaptive = self.mechanisms.adaptive_limits;
        if let Some(server) = self.server_mut(chosen.slot) {
            server.start_attempt(destination, chosen.uncached_tokens, adaptive);
            server.reserved = work.exclusive;
        }
        if let Some(prefix) = work.prefix {
            self.prefixes.record(prefix, chosen.slot, work.prefix_tokens, now);
        }
    }

    /// Records a first byte that arrived `seconds` after the dispatch.
    pub(crate) fn observe_first_byte(
        &mut self,
        chosen: &ChosenServer,
        destination: &Destination,
        seconds: f64,
    ) {
        let adaptive = self.mechanisms.adaptive_limits;
        let tokens = chosen.uncached_tokens + chosen.queued_tokens;
        let expected = chosen.first_byte.as_secs_f64();
        if let Some(server) = self.server_mut(chosen.slot) {
            server.pending_prefill_tokens =
                (server.pending_prefill_tokens - chosen.uncached_tokens).max(0.0);
            let state = server.destination_state(destination, adaptive);
            let ratio = state.speed.observe_prefill(seconds, tokens);
            state.limiter.observe(ratio);
        }
        if let Some(group) = self.groups.get_mut(destination) {
            group.speed.observe_prefill(seconds, tokens);
            group.first_byte_tail.observe(seconds / expected.max(0.001));
        }
    }

    /// Records a complete answer that arrived `seconds` after its first byte.
    pub(crate) fn observe_answer(
        &mut self,
        chosen: &ChosenServer,
        destination: &Destination,
        seconds: f64,
        tokens: f64,
    ) {
        let expected = (chosen.total - chosen.first_byte).as_secs_f64();
        let adaptive = self.mechanisms.adaptive_limits;
        if let Some(server) = self.server_mut(chosen.slot) {
            server.end_ejection();
            server.reserved = false;
            let state = server.destination_state(destination, adaptive);
            state.speed.observe_decode(seconds / chosen.slowdown, tokens);
            state.limiter.observe(seconds / expected.max(0.001));
        }
        if let Some(group) = self.groups.get_mut(destination) {
            group.speed.observe_decode(seconds / chosen.slowdown, tokens);
            group.decode_tail.observe(seconds / expected.max(0.001));
        }
    }

    /// Records the end of an attempt, successful or not.
    pub(crate) fn end_attempt(
        &mut self,
        chosen: &ChosenServer,
        destination: &Destination,
        had_first_byte: bool,
    ) {
        let Some(server) = self.server_mut(chosen.slot) else {
            return;
        };
        if !had_first_byte {
            server.pending_prefill_tokens =
                (server.pending_prefill_tokens - chosen.uncached_tokens).max(0.0);
        }
        server.end_attempt(destination);
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
        match self.free_slots.pop() {
            Some(slot) => slot,
            None => {
                self.slots.push(None);
                self.slots.len() - 1
            }
        }
    }

    fn release_slot(&mut self, slot: usize) {
        self.slots[slot] = None;
        self.free_slots.push(slot);
    }

    /// Rebuilds the index by destination and data centre; learned speeds are kept.
    fn rebuild_groups(&mut self) {
        for group in self.groups.values_mut() {
            group.data_centres.clear();
        }
        for (slot, server) in self.slots.iter().enumerate() {
            let Some(server) = server.as_ref().filter(|server| server.takes_new_work()) else {
                continue;
            };
            for destination in destinations(&server.listed) {
                let group = self.groups.entry(destination).or_default();
                let centre =
                    group.data_centres.entry(server.listed.data_centre.clone()).or_default();
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
