//! An engine's prefix cache and the events published about it, with a lag and with gaps.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_edge::SharedPrefix;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::CacheEvent;
use foxtailhoist_model::PrefixHash;
use foxtailhoist_model::stable_hash;

use crate::draw::unit_interval;

/// Maximum events kept for delayed publication; the oldest is evicted first.
const EVENTS_LIMIT: usize = 1_024;

/// LRU cache of prefixes, limited by their total tokens.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    server: BackendServerId,
    capacity_tokens: u32,
    lost_share: f64,
    seed: u64,
    entries: BTreeMap<PrefixHash, CachedPrefix>,
    used_tokens: u32,
    uses: u64,
    sequence: u64,
    events: VecDeque<TimedEvent>,
}

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u32,
    last_use: u64,
}

#[derive(Clone, Debug)]
struct TimedEvent {
    at: Instant,
    event: CacheEvent,
}

impl PrefixCache {
    pub(crate) fn new(
        server: &str,
        capacity_tokens: u32,
        lost_share: f64,
        seed: u64,
    ) -> PrefixCache {
        PrefixCache {
            server: server.to_owned(),
            capacity_tokens,
            lost_share,
            seed,
            entries: BTreeMap::new(),
            used_tokens: 0,
            uses: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the tokens of the prefix that need no prefill, and caches the prefix if it is absent.
    pub(crate) fn use_prefix(&mut self, prefix: SharedPrefix) -> u32 {
        if prefix.tokens == 0 || prefix.tokens > self.capacity_tokens {
            return 0;
        }
        self.uses += 1;
        if let Some(entry) = self.entries.get_mut(&prefix.hash) {
            entry.last_use = self.uses;
            return entry.tokens;
        }
        while self.used_tokens + prefix.tokens > self.capacity_tokens {
            self.evict_least_recent();
        }
        self.used_tokens += prefix.tokens;
        let entry = CachedPrefix { tokens: prefix.tokens, last_use: self.uses };
        self.entries.insert(prefix.hash, entry);
        self.publish(prefix.hash, prefix.tokens, true);
        0
    }

    /// Removes all entries and events, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.events.clear();
        self.used_tokens = 0;
    }

    /// Events after sequence number `after` that are at least `lag` old.
    pub(crate) fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|timed| timed.event.sequence > after && now.duration_since(timed.at) >= lag)
            .map(|timed| timed.event.clone())
            .collect()
    }

    fn evict_least_recent(&mut self) {
        let least_recent = self.entries.iter().min_by_key(|(_, entry)| entry.last_use);
        let Some(hash) = least_recent.map(|(hash, _)| *hash) else { return };
        if let Some(entry) = self.entries.remove(&hash) {
            self.used_tokens -= entry.tokens;
            self.publish(hash, entry.tokens, false);
        }
    }

    /// Numbers an event and keeps it for publication, or drops it and so leaves a gap.
    fn publish(&mut self, prefix: PrefixHash, tokens: u32, present: bool) {
        self.sequence += 1;
        let draw = unit_interval(stable_hash(self.seed, &[&self.sequence.to_le_bytes()]));
        if draw < self.lost_share {
            return;
        }
        if self.events.len() >= EVENTS_LIMIT {
            self.events.pop_front();
        }
        let server = self.server.clone();
        let event = CacheEvent { server, sequence: self.sequence, prefix, tokens, present };
        self.events.push_back(TimedEvent { at: Instant::now(), event });
    }
}
