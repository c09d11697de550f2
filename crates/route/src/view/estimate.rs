//! What a host takes a server's load, speed and cache to be, from the last digest and its own requests since.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use super::PrefixKey;
use super::ServerKey;
use super::TOKEN_UNIT;
use super::decode_log;
use super::digest::Digest;
use super::digest::ServerState;
use super::report::Report;

/// Age above which a digest is not used.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Time for which a server stays known that is not in the digests: digests come from two hosts in turn, and one of them may
/// not know of the other data centres.
const SERVER_TTL: Duration = Duration::from_millis(2_000);
/// Time after which a prefix that was not reported again counts as evicted.
const PREFIX_TTL: Duration = Duration::from_secs(30);
/// Weight of the assumption that a server has average speed.
const PRIOR_WEIGHT: f64 = 1.0;
/// Weight from which on the speed of a server counts as known.
const KNOWN_WEIGHT: u8 = 3;
/// Maximum number of prefixes known at all servers together.
const MAX_PREFIXES: usize = 4_096;

/// The last digest and the prefixes known to be cached.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    received: Option<Instant>,
    servers: BTreeMap<ServerKey, SharedState>,
    /// Servers that have a prefix, with the time at which it was last used there.
    holders: BTreeMap<PrefixKey, BTreeMap<ServerKey, Instant>>,
    memory: BTreeMap<ServerKey, Memory>,
    prefix_count: usize,
}

/// What other hosts tell of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SharedState {
    /// Requests of other hosts in flight.
    pub(crate) in_flight: f64,
    /// Prompt tokens of other hosts' requests that are not yet processed.
    pub(crate) pending_tokens: f64,
    /// Time for prompts relative to the service's mean.
    pub(crate) prompt_slowness: f64,
    /// Time between events relative to the service's mean.
    pub(crate) gap_slowness: f64,
    /// Whether there were enough samples to know the speed.
    is_speed_known: bool,
    at: Instant,
}

/// Prefixes that a server caches.
#[derive(Clone, Debug, Default)]
struct Memory {
    by_use: BTreeSet<(Instant, PrefixKey)>,
    tokens: BTreeMap<PrefixKey, u64>,
    total: u64,
}

/// The state of the shared view, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ViewState {
    /// Age of the last digest; `None` if there is none young enough to be used.
    pub age: Option<Duration>,
    pub known_speeds: usize,
    pub cached_tokens: u64,
}

impl Estimates {
    /// Takes in a digest that contains this host's own report, whose load is subtracted. `capacity` is the number of
    /// tokens that fit into a server's cache, if the server is known.
    pub(crate) fn apply(
        &mut self,
        digest: &Digest,
        own: &Report,
        capacity: impl Fn(ServerKey) -> Option<u64>,
        now: Instant,
    ) {
        self.received = Some(now);
        let own: BTreeMap<ServerKey, (u8, u8)> = own
            .servers
            .iter()
            .map(|server| (server.server, (server.in_flight, server.pending)))
            .collect();
        for state in &digest.servers {
            let own = own.get(&state.server).copied().unwrap_or_default();
            self.servers.insert(state.server, SharedState::new(state, own, now));
        }
        self.servers.retain(|_, state| now < state.at + SERVER_TTL);
        for (server, prefixes) in &digest.prefixes {
            let Some(capacity) = capacity(*server) else {
                continue;
            };
            for (prefix, units) in prefixes {
                self.add_prefix(*server, *prefix, u64::from(*units) * 16, now);
            }
            self.evict(*server, capacity);
        }
        self.forget_unused(now);
    }

    /// Records prefixes that a server processed for this host; the longest has all tokens of the others.
    pub(crate) fn record_processed(
        &mut self,
        server: ServerKey,
        prefixes: &[(PrefixKey, u64)],
        capacity: u64,
        now: Instant,
    ) {
        for (prefix, tokens) in prefixes {
            self.add_prefix(server, *prefix, *tokens, now);
        }
        self.evict(server, capacity);
    }

    /// Forgets what a server caches, because it was restarted or removed.
    pub(crate) fn forget(&mut self, server: ServerKey) {
        for prefix in self.memory.remove(&server).unwrap_or_default().tokens.into_keys() {
            self.remove_holder(server, prefix);
        }
    }

    /// Whether the digest is young enough to be used.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        self.age(now).is_some()
    }

    /// What other hosts tell of a server; `None` if it is not used or not known.
    pub(crate) fn server(&self, server: ServerKey) -> Option<&SharedState> {
        self.servers.get(&server)
    }

    /// Tokens at the start of a prompt that servers are known to cache, by server, for prefixes with their lengths.
    pub(crate) fn cached(&self, prefixes: &[(PrefixKey, u64)]) -> BTreeMap<ServerKey, u64> {
        let mut cached = BTreeMap::new();
        for (prefix, tokens) in prefixes {
            let holders = self.holders.get(prefix).into_iter().flat_map(BTreeMap::keys);
            cached.extend(holders.map(|server| (*server, *tokens)));
        }
        cached
    }

    pub(crate) fn state(&self, now: Instant) -> ViewState {
        ViewState {
            age: self.age(now),
            known_speeds: self.servers.values().filter(|state| state.is_speed_known).count(),
            cached_tokens: self.memory.values().map(|memory| memory.total).sum(),
        }
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.received?);
        (age < MAX_AGE).then_some(age)
    }

    fn add_prefix(&mut self, server: ServerKey, prefix: PrefixKey, tokens: u64, now: Instant) {
        let memory = self.memory.entry(server).or_default();
        let holders = self.holders.entry(prefix).or_default();
        if let Some(before) = holders.insert(server, now) {
            memory.by_use.remove(&(before, prefix));
        } else {
            self.prefix_count += 1;
        }
        memory.by_use.insert((now, prefix));
        // Prefixes of one prompt overlap, so the total is an upper bound, which evicts early rather than late.
        let before = memory.tokens.insert(prefix, tokens).unwrap_or_default();
        memory.total = memory.total + tokens - before;
    }

    fn evict(&mut self, server: ServerKey, capacity: u64) {
        while let Some(memory) = self.memory.get_mut(&server)
            && (memory.total > capacity || self.prefix_count > MAX_PREFIXES)
            && let Some((_, prefix)) = memory.by_use.pop_first()
        {
            memory.total -= memory.tokens.remove(&prefix).unwrap_or_default();
            self.remove_holder(server, prefix);
        }
    }

    fn forget_unused(&mut self, now: Instant) {
        let mut unused = Vec::new();
        for (server, memory) in &mut self.memory {
            while let Some((at, prefix)) = memory.by_use.first().copied()
                && now >= at + PREFIX_TTL
            {
                memory.by_use.pop_first();
                memory.total -= memory.tokens.remove(&prefix).unwrap_or_default();
                unused.push((*server, prefix));
            }
        }
        for (server, prefix) in unused {
            self.remove_holder(server, prefix);
        }
    }

    fn remove_holder(&mut self, server: ServerKey, prefix: PrefixKey) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        if holders.remove(&server).is_some() {
            self.prefix_count -= 1;
        }
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}

impl SharedState {
    fn new(state: &ServerState, own: (u8, u8), now: Instant) -> SharedState {
        let weight = f64::from(state.weight);
        let share = weight / (weight + PRIOR_WEIGHT);
        SharedState {
            in_flight: f64::from(state.in_flight.saturating_sub(own.0)),
            pending_tokens: f64::from(state.pending.saturating_sub(own.1)) * TOKEN_UNIT as f64,
            prompt_slowness: (decode_log(state.prompt) * share).exp(),
            gap_slowness: (decode_log(state.gap) * share).exp(),
            is_speed_known: state.weight >= KNOWN_WEIGHT,
            at: now,
        }
    }
}
