//! An engine's prefix cache and the events it publishes about it, late and with gaps.

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

/// Events kept to be published; the oldest goes first.
const EVENTS_LIMIT: usize = 1_024;

/// Prefixes in limited memory; the one used longest ago is evicted first.
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

    /// Tokens of the prefix that need no prefill; stores the prefix for the next time.
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
            self.evict_oldest();
        }
        self.used_tokens += prefix.tokens;
        let entry = CachedPrefix { tokens: prefix.tokens, last_use: self.uses };
        self.entries.insert(prefix.hash, entry);
        self.publish(prefix.hash, prefix.tokens, true);
        0
    }

    /// Forgets everything, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.events.clear();
        self.used_tokens = 0;
    }

    /// Events above a sequence number that are at least `lag` old.
    pub(crate) fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|timed| timed.event.sequence > after && now.duration_since(timed.at) >= lag)
            .map(|timed| timed.event.clone())
            .collect()
    }

    fn evict_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_use);
        let Some(hash) = oldest.map(|(hash, _)| *hash) else { return };
        if let Some(entry) = self.entries.remove(&hash) {
            self.used_tokens -= entry.tokens;
            self.publish(hash, entry.tokens, false);
        }
    }

    /// Numbers an event and keeps it, or loses it and so leaves a gap.
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
