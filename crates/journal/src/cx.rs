//! Context shared by the parts of the journal while one event is handled.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::StoreOp;
use rand_chacha::ChaCha8Rng;

use crate::config::JournalConfig;
use crate::entry::EntryId;
use crate::entry::ShardId;
use crate::event::CallId;
use crate::event::Effect;
use crate::gate::StoreGate;
use crate::message::Verdict;
use crate::stats::JournalStats;

/// Party that waits for an entry's verdict.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiter {
    Local,
    Peer(EntryHostId),
}

/// An entry and its verdict, with the parties to notify.
#[derive(Clone, Debug)]
pub struct Decided {
    pub id: EntryId,
    pub verdict: Verdict,
    pub waiters: Vec<Waiter>,
}

/// Parameters for grouping entries into one write.
#[derive(Clone, Copy, Debug)]
pub struct Grouping {
    /// Maximum time that an entry waits.
    pub window: Duration,
    /// Number of waiting entries at which they are written at once.
    pub batch: usize,
    /// Minimum time between two writes.
    pub interval: Duration,
}

/// Store calls in progress and the shards that made them.
#[derive(Clone, Debug, Default)]
pub struct CallTable {
    next: CallId,
    shards: BTreeMap<CallId, ShardId>,
}

/// Borrowed state of the journal, the current time and the outputs.
pub struct Cx<'a> {
    pub cfg: &'a JournalConfig,
    pub now: Instant,
    pub gate: &'a mut StoreGate,
    pub rng: &'a mut ChaCha8Rng,
    pub invariants: &'a mut Invariants,
    pub stats: &'a mut JournalStats,
    pub calls: &'a mut CallTable,
    pub effects: &'a mut Vec<Effect>,
    pub decided: &'a mut Vec<Decided>,
    pub grouping: Grouping,
    /// Whether this host owns the shard.
    pub is_owner: bool,
}

impl CallTable {
    /// Removes a call that ended; returns the shard that made it.
    pub fn finish(&mut self, call: CallId) -> Option<ShardId> {
        self.shards.remove(&call)
    }
}

impl Cx<'_> {
    /// Makes a store call for a shard, if the gate admits one now.
    pub fn call(&mut self, shard: ShardId, op: impl FnOnce() -> StoreOp) -> Option<CallId> {
        if !self.gate.try_take(self.now) {
            return None;
        }
        let op = op();
        self.stats.calls.count(&op);
        self.calls.next += 1;
        let call = self.calls.next;
        self.calls.shards.insert(call, shard);
        self.effects.push(Effect::Store { call, op });
        Some(call)
    }
}
