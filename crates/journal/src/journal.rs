//! The state machine: hands each event to the part it concerns and gathers the effects.

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
use crate::config::OUTCOME_BODY_BYTES;
use crate::config::OWN_ENTRIES;
use crate::config::PARKED_ENTRIES;
use crate::config::RUNNING_CLAIMS;
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
use crate::event::HostPlace;
use crate::gate::StoreGate;
use crate::ledger::Retention;
use crate::outbox::Outbox;
use crate::own::Origin;
use crate::own::OwnEntry;
use crate::own::OwnTable;
use crate::parked::ParkedTable;
use crate::places::Places;
use crate::shard::Shard;
use crate::stats::JournalStats;

const TAG_SEED: u64 = 0x7a6;
/// How long a stop waits for commits of entries that peers keep.
const STOP_COMMIT_TIME: Duration = Duration::from_secs(2);

/// Claims and bills of one entry host.
#[derive(Debug)]
pub struct Journal {
    pub(crate) cfg: JournalConfig,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) gate: StoreGate,
    pub(crate) invariants: Invariants,
    pub(crate) stats: JournalStats,
    pub(crate) calls: CallTable,
    pub(crate) places: Places,
    pub(crate) shards: Vec<Shard>,
    pub(crate) own: OwnTable,
    pub(crate) parked: ParkedTable,
    /// Granted claims of this host whose outcome is not known.
    pub(crate) running: BTreeMap<ClaimKey, RunningClaim>,
    pub(crate) heads: BTreeMap<ShardId, KnownHead>,
    /// Peers that asked for a shard's head before it was known.
    pub(crate) head_waiters: BTreeMap<ShardId, BTreeSet<EntryHostId>>,
    /// Peers that have not seen this host's start, and when they are told next.
    pub(crate) start_unseen: BTreeSet<EntryHostId>,
    pub(crate) announce_start_at: Option<Instant>,
    /// Latest start of each peer that was seen.
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

/// End of a shard's log as its home told it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownHead {
    pub head: Option<(Seq, Instant)>,
    pub asked_at: Option<Instant>,
}

/// A stop under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopping {
    /// Till then commits are waited for; then copies at peers suffice.
    pub commit_until: Instant,
    pub deadline: Instant,
    pub done: bool,
}

impl Journal {
    /// Journal that knows no other host yet; `seed` differs between hosts and starts.
    #[must_use]
    pub fn new(cfg: JournalConfig, seed: u64) -> Journal {
        let retention = Retention { claims: cfg.claim_retention, bills: cfg.bill_retention };
        Journal {
            rng: ChaCha8Rng::seed_from_u64(seed),
            gate: StoreGate::new(cfg.store_calls_per_second, cfg.store_burst),
            invariants: Invariants::new(cfg.enforcement),
            stats: JournalStats::default(),
            calls: CallTable::default(),
            places: Places::new(&cfg.host, &cfg.data_centre),
            shards: (0..cfg.shards).map(|shard| Shard::new(shard, retention)).collect(),
            own: OwnTable::default(),
            parked: ParkedTable::default(),
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
                self.own.review_all(now);
                self.parked.review_all(now);
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
        let wants_call = self.shards.iter().any(|shard| shard.wants_call(now, grouping));
        let gate = wants_call.then(|| self.gate.next_at(now)).flatten();
        let stop = self.stopping.filter(|stopping| !stopping.done);
        let stop = stop.into_iter().flat_map(|stopping| [stopping.commit_until, stopping.deadline]);
        shards
            .chain(self.own.next_review())
            .chain(self.parked.next_review())
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
            entries_held: self.own.len(),
            parked: self.parked.len(),
            pending: self.shards.iter().map(|shard| shard.pending().len()).sum(),
            ..self.stats
        }
    }

    /// Entry host that commits a shard's entries for all.
    #[must_use]
    pub fn home(&self, shard: ShardId) -> &EntryHostId {
        self.places.home(shard)
    }

    /// Whether another claim or bill can be held; a request that would need one is refused before it runs.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.own.len() < OWN_ENTRIES && self.running.len() < RUNNING_CLAIMS
    }

    fn claim(&mut self, claim: Claim, now: Instant) {
        let request = claim.request;
        let key = claim.key.clone();
        self.evict_running(now);
        if !self.has_room() || self.stopping.is_some() {
            let result = ClaimResult::Unavailable;
            self.effects.push(Effect::Claimed { request, key, result });
            return;
        }
        let tag = u128::from(self.tag_base) << 64 | u128::from(self.next_tag);
        self.next_tag += 1;
        self.hold(Entry::Claim { claim, tag }, Origin::Claim { request, key }, now);
    }

    /// Evicts granted claims whose outcome never came and whose retention has passed, once there are many.
    fn evict_running(&mut self, now: Instant) {
        if self.running.len() >= RUNNING_CLAIMS {
            let retention = self.cfg.claim_retention;
            self.running.retain(|_, claim| now < claim.granted_at + retention);
        }
    }

    fn outcome(&mut self, key: ClaimKey, request: RequestId, outcome: ClaimOutcome, now: Instant) {
        let Some(RunningClaim { tag, .. }) = self.running.remove(&key) else {
            self.effects.push(Effect::OutcomeSafe { request });
            return;
        };
        let outcome = bounded(outcome);
        self.hold(Entry::Outcome { key, tag, outcome }, Origin::Outcome { request }, now);
    }

    fn bill(&mut self, bill: Bill, now: Instant) {
        let request = bill.request;
        self.hold(Entry::Bill(bill), Origin::Bill { request }, now);
    }

    /// Takes charge of an entry till it is in the log.
    pub(crate) fn hold(&mut self, entry: Entry, origin: Origin, now: Instant) {
        let shard = entry.shard(self.cfg.shards);
        self.own.insert(OwnEntry::new(entry, shard, origin, now));
    }

    /// Takes a new set of hosts alive; those that were not in it before may not know of this host's start.
    fn replace_hosts(&mut self, hosts: Vec<HostPlace>) {
        let is_new = |host: &EntryHostId| *host != self.cfg.host && !self.places.is_alive(host);
        let new: Vec<EntryHostId> =
            hosts.iter().map(|place| place.host.clone()).filter(is_new).collect();
        self.places.replace(hosts);
        self.start_unseen.extend(new);
        let places = &self.places;
        self.start_unseen.retain(|host| places.is_alive(host));
        self.incarnations.retain(|host, _| places.is_alive(host));
        self.announce_start_at = None;
    }

    fn finish_call(&mut self, call: CallId, result: &StoreResult, now: Instant) {
        let Some(shard) = self.calls.finish(call) else { return };
        self.gate.finish(result, now, &mut self.rng);
        let mut head = None;
        self.with_shard(shard, now, |shard, cx| {
            shard.finish(call, result, cx);
            head = shard.head(now, Duration::from_nanos(1));
        });
        if let Some(head) = head {
            self.tell_head(shard, head, now);
        }
    }

    fn stop(&mut self, now: Instant) {
        let deadline = now + self.cfg.stop_timeout;
        let commit_until = deadline.min(now + STOP_COMMIT_TIME);
        self.stopping.get_or_insert(Stopping { commit_until, deadline, done: false });
        self.own.review_all(now);
    }

    /// Carries on with everything that is due.
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
        let within = stats.entries_held <= 2 * OWN_ENTRIES && stats.parked <= PARKED_ENTRIES;
        self.invariants.check(Invariant::TablesBounded, within, || format!("{stats:?}"));
    }

    fn finish_stop(&mut self, now: Instant) {
        let Some(stopping) = self.stopping.filter(|stopping| !stopping.done) else { return };
        let stats = self.stats();
        let is_empty = stats.entries_held == 0 && stats.pending == 0;
        let copies_wanted = self.copies_wanted(now);
        let is_safe = |own: &OwnEntry| copies_wanted > 0 && own.copies() >= copies_wanted;
        let is_handed_over = now >= stopping.commit_until && self.own.iter().all(is_safe);
        if is_empty || is_handed_over || now >= stopping.deadline {
            self.stopping = Some(Stopping { done: true, ..stopping });
            self.effects.push(Effect::Stopped);
        }
    }

    /// How entries are gathered: not at all when no peer can keep them meanwhile.
    fn grouping(&self, now: Instant) -> Grouping {
        let may_wait = self.places.can_park(now) && self.stopping.is_none();
        let window = if may_wait { self.cfg.bill_window } else { Duration::ZERO };
        let (batch, interval) = (self.cfg.bill_batch, self.cfg.write_interval);
        Grouping { window, batch, interval }
    }

    /// Runs a shard's step with the journal's state lent to it.
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
            is_home: self.places.is_home(shard),
        };
        if let Some(shard) = self.shards.get_mut(shard as usize) {
            step(shard, &mut cx);
        }
    }
}

fn bounded(outcome: ClaimOutcome) -> ClaimOutcome {
    match outcome {
        ClaimOutcome::Ran { status, mut body } => {
            body.truncate(OUTCOME_BODY_BYTES);
            ClaimOutcome::Ran { status, body }
        }
        ClaimOutcome::NotRun => ClaimOutcome::NotRun,
    }
}
