//! Backend servers: index by destination and data centre, load, speeds, and the choice among them.
//!
//! A choice looks at a bounded number of servers, whatever the size of the fleet: two at random in the own data
//! centre ("the power of two choices", Mitzenmacher 2001), the owner of the prompt's prefix on a hash ring, a few
//! servers that are known to hold the prefix, and two at random in each of a few other data centres. The one with the
//! least expected time wins.

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
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::config::Mechanisms;
use crate::destination::Destination;
use prefixes::Prefixes;
use ring::Ring;
pub(crate) use server::Server;
use speed::Speed;
use speed::Tail;

/// Expected time that a request to another data centre costs besides its work.
const DISTANCE_COST: Duration = Duration::from_millis(20);
/// Holders of a prefix that a choice looks at.
const MAX_HOLDERS_TRIED: usize = 3;
/// Other data centres that a choice looks at.
const MAX_CENTRES_TRIED: usize = 3;
/// Servers looked at when no sampled one has room.
const MAX_SCAN: usize = 16;
/// Load of the prefix's owner, relative to the mean of the samples, up to which it is preferred.
const LOAD_BOUND: f64 = 1.25;
/// Slow-down of an attempt for each request beside it.
const INTERFERENCE: f64 = 0.02;

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

    /// Chooses a server with room for the work, one of `avoided` only if all others failed too.
    pub(crate) fn choose(
        &self,
        destination: &Destination,
        work: &Work,
        avoided: &[usize],
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Result<Chosen, NoPlace> {
        match self.choose_other(destination, work, avoided, now, rng) {
            Err(NoPlace::Full) if !avoided.is_empty() => {
                self.choose_other(destination, work, &[], now, rng)
            }
            other => other,
        }
    }

    /// Chooses a server with room for the work, but none of `avoided`.
    pub(crate) fn choose_other(
        &self,
        destination: &Destination,
        work: &Work,
        avoided: &[usize],
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Result<Chosen, NoPlace> {
        let group = self.groups.get(destination).ok_or(NoPlace::Unserved)?;
        if group.centres.is_empty() {
            return Err(NoPlace::Unserved);
        }
        let usable = |slot: &usize| {
            let server = self.server(*slot);
            // Holders of a prefix are known by their cache events, whatever they have loaded.
            let fits = server.is_some_and(|server| {
                serves(&server.listed, destination)
                    && server.has_room(destination, now)
                    && (!work.alone || server.in_flight() == 0)
            });
            fits && !avoided.contains(slot)
        };
        let candidates = self.candidates(group, destination, work, now, rng);
        let best = candidates
            .iter()
            .copied()
            .filter(usable)
            .filter_map(|slot| self.estimate(group, destination, slot, work, now))
            .min_by_key(|(cost, chosen)| (*cost, chosen.slot));
        if let Some((_, chosen)) = best {
            return Ok(chosen);
        }
        let own_first = group.centres.get(&self.own).into_iter().chain(group.centres.values());
        let members = own_first.flat_map(|centre| centre.members.iter().copied()).take(MAX_SCAN);
        let best = members
            .filter(usable)
            .filter_map(|slot| self.estimate(group, destination, slot, work, now))
            .min_by_key(|(cost, chosen)| (*cost, chosen.slot));
        best.map(|(_, chosen)| chosen).ok_or(NoPlace::Full)
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
            lane.speed.observe_prefill(seconds, tokens);
            lane.limiter.observe(seconds / expected.max(0.001));
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

    fn candidates(
        &self,
        group: &Group,
        destination: &Destination,
        work: &Work,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Vec<usize> {
        let mut candidates = Vec::with_capacity(16);
        if !self.mechanisms.zone_preference {
            for centre in group.centres.values() {
                centre.sample(rng, &mut candidates);
            }
        } else {
            if let Some(centre) = group.centres.get(&self.own) {
                centre.sample(rng, &mut candidates);
            }
            let others = group.centres.iter().filter(|(name, _)| **name != self.own);
            let skip = rng.random_range(0..group.centres.len());
            let count = group.centres.len();
            let others = others.cycle().skip(skip).take(MAX_CENTRES_TRIED.min(count));
            for (_, centre) in others {
                centre.sample(rng, &mut candidates);
            }
        }
        if let Some(prefix) = work.prefix.filter(|_| self.mechanisms.affinity) {
            // Engines of other models may hold the same prefix; they must not use up the tries.
            let fits = |slot: &usize| {
                self.server(*slot).is_some_and(|server| serves(&server.listed, destination))
            };
            let holders = self.prefixes.holders(prefix, now).filter(fits);
            candidates.extend(holders.take(MAX_HOLDERS_TRIED));
            let mean = self.mean_load(&candidates, now);
            let bound = mean * LOAD_BOUND + 1.0;
            let light = |slot| self.server(slot).is_some_and(|server| server.load(now) <= bound);
            let centre = group.centres.get(&self.own).or(group.centres.values().next());
            candidates.extend(centre.and_then(|centre| centre.ring.find(prefix, light)));
        }
        candidates
    }

    fn mean_load(&self, slots: &[usize], now: Instant) -> f64 {
        let loads = slots.iter().filter_map(|slot| self.server(*slot));
        let sum: f64 = loads.map(|server| server.load(now)).sum();
        sum / slots.len().max(1) as f64
    }

    /// Expected times at a server, and the cost by which servers are compared.
    fn estimate(
        &self,
        group: &Group,
        destination: &Destination,
        slot: usize,
        work: &Work,
        now: Instant,
    ) -> Option<(Duration, Chosen)> {
        let server = self.server(slot)?;
        let speed = server.lanes.get(destination).map_or(Speed::default(), |lane| lane.speed);
        let held = match work.prefix.filter(|_| self.mechanisms.affinity) {
            Some(prefix) => self.prefixes.tokens(prefix, slot, now).min(work.prefix_tokens),
            None => 0,
        };
        let uncached = f64::from(work.prompt_tokens.saturating_sub(held));
        let ahead = server.pending_prefill + server.foreign_prefill(now);
        let first_byte = speed.prefill(&group.speed, uncached + ahead);
        let crowding = 1.0 + INTERFERENCE * server.load(now);
        let decode = speed.decode(&group.speed, f64::from(work.output_tokens)) * crowding;
        let distance = if server.listed.data_centre == self.own || !self.mechanisms.zone_preference
        {
            Duration::ZERO
        } else {
            DISTANCE_COST
        };
        // A streamed answer is read as it comes, so its first byte weighs most.
        let weight = if work.streamed { 0.1 } else { 1.0 };
        let cost = Duration::from_secs_f64(first_byte + weight * decode) + distance;
        let chosen = Chosen {
            slot,
            uncached,
            ahead,
            first_byte: Duration::from_secs_f64(first_byte),
            total: Duration::from_secs_f64(first_byte + decode),
            prefix_held: held > 0,
            crowding,
        };
        Some((cost, chosen))
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

impl Centre {
    /// Adds two members at random.
    fn sample(&self, rng: &mut ChaCha8Rng, candidates: &mut Vec<usize>) {
        for _ in 0..2 {
            let index = rng.random_range(0..self.members.len());
            candidates.push(self.members[index]);
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
