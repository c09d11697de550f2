//! The state machine: dispatches each event and collects the effects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Bill;
use foxtailhoist_model::Claim;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::StoreResult;
use foxtailhoist_model::stable_hash;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::config::JournalConfig;
use crate::config::LOCAL_ENTRIES_THRESHOLD;
use crate::config::MAX_OUTCOME_BODY_BYTES;
use crate::config::MAX_REPLICAS;
use crate::config::RUNNING_CLAIMS_THRESHOLD;
use crate::cx::CallTable;
use crate::cx::Cx;
use crate::cx::Decided;
use crate::cx::Grouping;
use crate::entry::ClaimTag;
use crate::entry::Entry;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::event::CallId;
use crate::event::Effect;
use crate::event::Event;
use crate::event::HostLocation;
use crate::gate::StoreGate;
use crate::host_table::HostTable;
use crate::ledger::Retention;
use crate::local::LocalEntry;
use crate::local::LocalTable;
use crate::local::Origin;
use crate::outbox::Outbox;
use crate::replicas::ReplicaTable;
use crate::shard::Shard;
use crate::stats::JournalStats;

const TAG_SEED: u64 = 0x7a6;
/// How long a stop waits for the commit of entries that are replicated to peers.
const STOP_COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Claims and bills of one entry host.
#[derive(Debug)]
pub struct Journal {
    pub(crate) cfg: JournalConfig,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) gate: StoreGate,
    pub(crate) invariants: Invariants,
    pub(crate) stats: JournalStats,
    pub(crate) calls: CallTable,
    pub(crate) host_table: HostTable,
    pub(crate) shards: Vec<Shard>,
    pub(crate) local: LocalTable,
    pub(crate) replicas: ReplicaTable,
    /// Granted claims of this host without an outcome.
    pub(crate) running: BTreeMap<ClaimKey, RunningClaim>,
    pub(crate) heads: BTreeMap<ShardId, KnownHead>,
    /// Peers that asked for a shard's head before it was known.
    pub(crate) head_waiters: BTreeMap<ShardId, BTreeSet<EntryHostId>>,
    /// Peers that have not acknowledged this host's start.
    pub(crate) start_unseen: BTreeSet<EntryHostId>,
    /// When the start is next announced to those peers.
    pub(crate) announce_start_at: Option<Instant>,
    /// Latest known incarnation of each peer.
    pub(crate) incarnations: BTreeMap<EntryHostId, Incarnation>,
    pub(crate) outbox: Outbox,
    pub(crate) effects: Vec<Effect>,
    pub(crate) decided: Vec<Decided>,
    pub(crate) stopping: Option<Stopping>,
    tag_base: u64,
    next_tag: u64,
    /// Time of the latest event.
    last_event: Option<Instant>,
}

/// A granted claim.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningClaim {
    pub tag: ClaimTag,
    pub granted_at: Instant,
}

/// End of a shard's log as reported by its owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownHead {
    pub head: Option<(Seq, Instant)>,
    pub requested_at: Option<Instant>,
}

/// A stop in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopping {
    /// Until then the stop waits for commits; after that, replicas at peers suffice.
    pub commit_until: Instant,
    pub deadline: Instant,
    pub done: bool,
}

impl Journal {
    /// Creates a journal that knows no other host yet; `seed` must differ between hosts and starts.
    #[must_use]
    pub fn new(cfg: JournalConfig, seed: u64) -> Journal {
        let retention = Retention { claims: cfg.claim_retention, bills: cfg.bill_retention };
        Journal {
            rng: ChaCha8Rng::seed_from_u64(seed),
            gate: StoreGate::new(cfg.store_calls_per_second, cfg.store_burst),
            invariants: Invariants::new(cfg.enforcement),
            stats: JournalStats::default(),
            calls: CallTable::default(),
            host_table: HostTable::new(&cfg.host, &cfg.data_centre),
            shards: (0..cfg.shards).map(|shard| Shard::new(shard, retention)).collect(),
            local: LocalTable::default(),
            replicas: ReplicaTable::default(),
            running: BTreeMap::new(),
            heads: BTreeMap::new(),
            head_waiters: BTreeMap::new(),
            start_unseen: BTreeSet::new(),
            announce_start_at: None,
            incarnations: BTreeMap::new(),
            outbox: Outbox::default(),
            effects: Vec::new(),
            decided: Vec::new(),
            stopping: None,
            tag_base: stable_hash(TAG_SEED, &[cfg.host.as_bytes(), &cfg.incarnation.to_le_bytes()]),
            next_tag: 0,
            last_event: None,
            cfg,
        }
    }

    /// Handles one event.
    #[must_use]
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        self.last_event = Some(now);
        match event {
            Event::Claim(claim) => self.claim(claim, now),
            Event::Outcome { key, request, outcome } => self.outcome(key, request, outcome, now),
            Event::Bill(bill) => self.bill(bill, now),
            Event::Store { call, result } => self.finish_call(call, &result, now),
            Event::Message { from, message } => self.receive(from, message, now),
            Event::SendFailed { to } => self.bypass(&to, now),
            Event::Hosts(hosts) => {
                self.replace_hosts(hosts);
                self.local.review_all(now);
                self.replicas.review_all(now);
            }
            Event::Stop => self.stop(now),
            Event::Tick { .. } => {}
        }
        self.advance(now);
        self.outbox.flush(&mut self.effects);
        std::mem::take(&mut self.effects)
    }

    /// When `Event::Tick` is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let now = self.last_event?;
        let grouping = self.grouping(now);
        let shards = self.shards.iter().filter_map(|shard| shard.next_wake(grouping));
        let needs_call = self.shards.iter().any(|shard| shard.needs_call(now, grouping));
        let gate = needs_call.then(|| self.gate.next_at(now)).flatten();
        let stop = self.stopping.filter(|stopping| !stopping.done);
        let stop = stop.into_iter().flat_map(|stopping| [stopping.commit_until, stopping.deadline]);
        shards
            .chain(self.local.next_review())
            .chain(self.replicas.next_review())
            .chain(stop)
            .chain(self.announce_start_at.filter(|_| !self.start_unseen.is_empty()))
            .filter(|at| *at > now)
            .chain(gate)
            .min()
    }

    /// Invariants and their violations.
    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Counters.
    #[must_use]
    pub fn stats(&self) -> JournalStats {
        JournalStats {
            entries_held: self.local.len(),
            parked: self.replicas.len(),
            pending: self.shards.iter().map(|shard| shard.pending().len()).sum(),
            ..self.stats
        }
    }

    /// Entry host that commits a shard's entries for all hosts.
    #[must_use]
    pub fn owner(&self, shard: ShardId) -> &EntryHostId {
        self.host_table.owner(shard)
    }

    /// Whether there is capacity for another claim or bill; without it, a request that needs one is refused before it
    /// runs.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.local.len() < LOCAL_ENTRIES_THRESHOLD && self.running.len() < RUNNING_CLAIMS_THRESHOLD
    }

    fn claim(&mut self, claim: Claim, now: Instant) {
        let request = claim.request;
        let key = claim.key.clone();
        self.evict_running(now);
        if !self.has_capacity() || self.stopping.is_some() {
            let result = ClaimResult::Unavailable;
            self.effects.push(Effect::Claimed { request, key, result });
            return;
        }
        let tag = u128::from(self.tag_base) << 64 | u128::from(self.next_tag);
        self.next_tag += 1;
        self.track(Entry::Claim { claim, tag }, Origin::Claim { request, key }, now);
    }

    /// Evicts granted claims without an outcome that are past their retention, once the limit is reached.
    fn evict_running(&mut self, now: Instant) {
        if self.running.len() >= RUNNING_CLAIMS_THRESHOLD {
            let retention = self.cfg.claim_retention;
            self.running.retain(|_, claim| now < claim.granted_at + retention);
        }
    }

    fn outcome(&mut self, key: ClaimKey, request: RequestId, outcome: ClaimOutcome, now: Instant) {
        let Some(RunningClaim { tag, .. }) = self.running.remove(&key) else {
            self.effects.push(Effect::OutcomeSafe { request });
            return;
        };
        let outcome = truncate_body(outcome);
        self.track(Entry::Outcome { key, tag, outcome }, Origin::Outcome { request }, now);
    }

    fn bill(&mut self, bill: Bill, now: Instant) {
        let request = bill.request;
        self.track(Entry::Bill(bill), Origin::Bill { request }, now);
    }

    /// Tracks an entry until it is in the log.
    pub(crate) fn track(&mut self, entry: Entry, origin: Origin, now: Instant) {
        let shard = entry.shard(self.cfg.shards);
        self.local.insert(LocalEntry::new(entry, shard, origin, now));
    }

    /// Replaces the set of live hosts; newly added ones may not know of this host's start.
    fn replace_hosts(&mut self, hosts: Vec<HostLocation>) {
        let is_new = |host: &EntryHostId| *host != self.cfg.host && !self.host_table.is_alive(host);
        let new: Vec<EntryHostId> =
            hosts.iter().map(|location| location.host.clone()).filter(is_new).collect();
        self.host_table.replace(hosts);
        self.start_unseen.extend(new);
        let host_table = &self.host_table;
        self.start_unseen.retain(|host| host_table.is_alive(host));
        self.incarnations.retain(|host, _| host_table.is_alive(host));
        self.announce_start_at = None;
    }

    fn finish_call(&mut self, call: CallId, result: &StoreResult, now: Instant) {
        let Some(shard) = self.calls.finish(call) else { return };
        self.gate.finish(result, now, &mut self.rng);
        let mut head = None;
        self.with_shard(shard, now, |shard, cx| {
            shard.finish(call, result, cx);
            // `None` unless the log was read to its end just now.
            head = shard.head(now, Duration::from_nanos(1));
        });
        if let Some(head) = head {
            self.send_head(shard, head, now);
        }
    }

    fn stop(&mut self, now: Instant) {
        let deadline = now + self.cfg.stop_timeout;
        let commit_until = deadline.min(now + STOP_COMMIT_TIMEOUT);
        self.stopping.get_or_insert(Stopping { commit_until, deadline, done: false });
        self.local.review_all(now);
    }

    /// Performs everything that is due.
    fn advance(&mut self, now: Instant) {
        self.announce_start(now);
        loop {
            self.review_due(now);
            for shard in 0..self.cfg.shards {
                self.with_shard(shard, now, Shard::advance);
            }
            if self.decided.is_empty() {
                break;
            }
            self.deliver_decided(now);
        }
        self.check_bounds();
        self.finish_stop(now);
    }

    fn check_bounds(&mut self) {
        let stats = self.stats();
        let within =
            stats.entries_held <= 2 * LOCAL_ENTRIES_THRESHOLD && stats.parked <= MAX_REPLICAS;
        self.invariants.check(Invariant::TablesBounded, within, || format!("{stats:?}"));
    }

    fn finish_stop(&mut self, now: Instant) {
        let Some(stopping) = self.stopping.filter(|stopping| !stopping.done) else { return };
        let stats = self.stats();
        let is_empty = stats.entries_held == 0 && stats.pending == 0;
        let replicas_required = self.replicas_required(now);
        let is_safe = |local: &LocalEntry| {
            replicas_required > 0 && local.replica_count() >= replicas_required
        };
        let is_handed_over = now >= stopping.commit_until && self.local.iter().all(is_safe);
        if is_empty || is_handed_over || now >= stopping.deadline {
            self.stopping = Some(Stopping { done: true, ..stopping });
            self.effects.push(Effect::Stopped);
        }
    }

    /// Parameters for grouping entries. Entries do not wait for a group during a stop or when too few peers can hold
    /// replicas meanwhile.
    fn grouping(&self, now: Instant) -> Grouping {
        let may_wait = self.host_table.can_replicate(now) && self.stopping.is_none();
        let window = if may_wait { self.cfg.bill_window } else { Duration::ZERO };
        let (batch, interval) = (self.cfg.bill_batch, self.cfg.write_interval);
        Grouping { window, batch, interval }
    }

    /// Calls `step` with a shard and a context that borrows the journal's state.
    pub(crate) fn with_shard(
        &mut self,
        shard: ShardId,
        now: Instant,
        step: impl FnOnce(&mut Shard, &mut Cx<'_>),
    ) {
        let grouping = self.grouping(now);
        let mut cx = Cx {
            cfg: &self.cfg,
            now,
            gate: &mut self.gate,
            rng: &mut self.rng,
            invariants: &mut self.invariants,
            stats: &mut self.stats,
            calls: &mut self.calls,
            effects: &mut self.effects,
            decided: &mut self.decided,
            grouping,
            is_owner: self.host_table.is_owner(shard),
        };
        if let Some(shard) = self.shards.get_mut(shard as usize) {
            step(shard, &mut cx);
        }
    }
}

fn truncate_body(outcome: ClaimOutcome) -> ClaimOutcome {
    match outcome {
        ClaimOutcome::Ran { status, mut body } => {
            body.truncate(MAX_OUTCOME_BODY_BYTES);
            ClaimOutcome::Ran { status, body }
        }
        ClaimOutcome::NotRun => ClaimOutcome::NotRun,
    }
}
