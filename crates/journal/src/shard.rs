//! One shard: loads its ledger when entries wait, and writes the waiting entries in groups, one write at a time.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::StoreResult;
use rand::RngExt;

use crate::attempt::Attempt;
use crate::attempt::AttemptEnd;
use crate::config::MAX_ENTRIES_PER_SEGMENT;
use crate::config::MAX_PENDING_PER_SHARD;
use crate::config::MAX_SEGMENT_BYTES;
use crate::cx::Cx;
use crate::cx::Decided;
use crate::cx::Grouping;
use crate::cx::Waiter;
use crate::entry::ClaimHash;
use crate::entry::Entry;
use crate::entry::EntryId;
use crate::entry::Segment;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::entry::Writer;
use crate::entry::claim_hash;
use crate::event::CallId;
use crate::ledger::Decision;
use crate::ledger::Ledger;
use crate::ledger::Retention;
use crate::load::Load;
use crate::maintenance::Maintenance;
use crate::message::HeldEntry;
use crate::message::Verdict;
use crate::pending::Pending;

/// State of one shard on this host.
#[derive(Clone, Debug)]
pub struct Shard {
    id: ShardId,
    retention: Retention,
    phase: Phase,
    /// `None` until the first load.
    ledger: Option<Ledger>,
    pending: Pending,
    maintenance: Maintenance,
    end_read_requested: bool,
    last_write: Option<Instant>,
    /// When the ledger last reached the end of the log, by a read or by a write of this host.
    end_read_at: Option<Instant>,
    /// When the last create that took effect was sent. No segment from the ledger's end on existed then.
    last_create_sent_at: Option<Instant>,
}

#[derive(Clone, Debug)]
enum Phase {
    Unloaded,
    Loading(Box<Load>),
    Ready,
    Writing(Box<Attempt>),
}

/// What the next write does.
enum Group {
    Nothing,
    /// Only read whether the log continues past the ledger's end.
    ReadEnd,
    LoadFrom(Seq),
    Entries(Vec<EntryId>),
}

impl Shard {
    #[must_use]
    pub fn new(id: ShardId, retention: Retention) -> Shard {
        Shard {
            id,
            retention,
            phase: Phase::Unloaded,
            ledger: None,
            pending: Pending::default(),
            maintenance: Maintenance::new(id),
            end_read_requested: false,
            last_write: None,
            end_read_at: None,
            last_create_sent_at: None,
        }
    }

    /// Entries that wait for a verdict.
    #[must_use]
    pub fn pending(&self) -> &Pending {
        &self.pending
    }

    /// Whether there is capacity for another entry.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_PER_SHARD
    }

    /// End of the log, that is, the first sequence number without a segment, if it was read within `age_limit`.
    #[must_use]
    pub fn head(&self, now: Instant, age_limit: Duration) -> Option<Seq> {
        let is_recent = self.end_read_at.is_some_and(|at| now < at + age_limit);
        self.ledger.as_ref().filter(|_| is_recent).map(Ledger::next_seq)
    }

    /// Requests a read of the log to its end.
    pub fn request_end_read(&mut self) {
        self.end_read_requested = true;
    }

    /// Adds an entry to be committed.
    pub fn add(&mut self, held: HeldEntry, waiter: Waiter, cx: &mut Cx<'_>) {
        let id = held.entry.id();
        let is_pending = self.pending.find(id).is_some();
        match self.verdict(&held, None) {
            Some(verdict) if !is_pending => {
                cx.decided.push(Decided { id, verdict, waiters: vec![waiter] });
            }
            _ => self.pending.add(held, waiter, cx.now),
        }
    }

    /// Removes an entry that is not part of a write in progress and has no other waiter; false when it may still be
    /// written.
    pub fn withdraw(&mut self, id: EntryId) -> bool {
        let in_flight = match &self.phase {
            Phase::Writing(attempt) => attempt.ids().contains(&id),
            Phase::Unloaded | Phase::Loading(_) | Phase::Ready => false,
        };
        let shared = self.pending.find(id).is_some_and(|entry| entry.waiters.len() > 1);
        if in_flight || shared {
            return false;
        }
        self.pending.remove(id).is_some()
    }

    /// Starts every operation that is due.
    pub fn advance(&mut self, cx: &mut Cx<'_>) {
        if matches!(self.phase, Phase::Unloaded) && self.has_work() {
            cx.stats.loads += 1;
            self.phase = Phase::Loading(Box::new(Load::new(self.id, self.retention, None)));
        }
        let is_due = self.due_at(cx.grouping).is_some_and(|at| at <= cx.now);
        if matches!(self.phase, Phase::Ready) && is_due {
            self.start_write(cx);
        }
        match &mut self.phase {
            Phase::Loading(load) => load.advance(cx),
            Phase::Writing(attempt) => attempt.advance(cx),
            Phase::Unloaded | Phase::Ready => {}
        }
        if let (Some(ledger), Phase::Ready | Phase::Writing(_)) = (&self.ledger, &self.phase) {
            self.maintenance.advance(ledger, cx);
        }
    }

    /// Handles the result of a call.
    pub fn finish(&mut self, call: CallId, result: &StoreResult, cx: &mut Cx<'_>) {
        let is_fresh = self.is_fresh(cx);
        let floor = self.maintenance.finish(call, result, cx);
        if let (Some(floor), Some(ledger)) = (floor, &mut self.ledger) {
            ledger.raise_floor(floor);
        }
        match &mut self.phase {
            Phase::Loading(load) => {
                if let Some(loaded) = load.finish(call, result, cx.now, cx.invariants) {
                    self.maintenance.record_snapshots(loaded.snapshot, loaded.snapshot_parts);
                    self.ledger = Some(loaded.ledger);
                    self.last_create_sent_at = None;
                    self.phase = Phase::Ready;
                    self.mark_end_read(cx);
                    self.decide_pending(self.pending.ids().collect(), cx);
                }
            }
            Phase::Writing(attempt) => {
                if let Some(end) = attempt.finish(call, result, cx.now, is_fresh) {
                    self.end_attempt(end, cx);
                }
            }
            Phase::Unloaded | Phase::Ready => {}
        }
    }

    /// When the next operation is due; `None` when only a call's result or a new entry can make one due.
    #[must_use]
    pub fn next_wake(&self, grouping: Grouping) -> Option<Instant> {
        let write = match &self.phase {
            Phase::Loading(load) => load.retry_at(),
            Phase::Writing(attempt) => attempt.retry_at(),
            Phase::Ready => self.due_at(grouping),
            Phase::Unloaded => None,
        };
        write.into_iter().chain(self.maintenance.next_wake()).min()
    }

    /// Whether a call is due as soon as the gate admits one.
    #[must_use]
    pub fn needs_call(&self, now: Instant, grouping: Grouping) -> bool {
        let write = match &self.phase {
            Phase::Unloaded => self.has_work(),
            Phase::Loading(load) => load.needs_call(now),
            Phase::Writing(attempt) => attempt.needs_call(now),
            Phase::Ready => self.due_at(grouping).is_some_and(|at| at <= now),
        };
        write || self.maintenance.needs_call(now)
    }

    fn has_work(&self) -> bool {
        self.end_read_requested || !self.pending.is_empty()
    }

    fn due_at(&self, grouping: Grouping) -> Option<Instant> {
        if self.end_read_requested {
            // In the past: the read is due at once.
            return self.end_read_at;
        }
        let oldest = self.pending.oldest()?;
        let at_once = self.pending.has_claims() || self.pending.len() >= grouping.batch;
        let due = if at_once { oldest } else { oldest + grouping.window };
        Some(self.last_write.map_or(due, |at| due.max(at + grouping.interval)))
    }

    /// Whether a segment at the ledger's end cannot have been deleted, since its age is far below the retention.
    fn is_fresh(&self, cx: &Cx<'_>) -> bool {
        self.last_create_sent_at
            .is_some_and(|at| cx.now.saturating_duration_since(at) < cx.cfg.fresh_bound)
    }

    /// Verdict of the ledger on an entry that arrived at `at`, or just now if `None`.
    ///
    /// A missing outcome of another request's claim can change, so the log must have been read to its end since `at`.
    fn verdict(&self, held: &HeldEntry, at: Option<Instant>) -> Option<Verdict> {
        let is_recent = at.is_some_and(|at| self.end_read_at.is_some_and(|read_at| at < read_at));
        match self.ledger.as_ref()?.decide(held) {
            Decision::Decided(Verdict::Claim(ClaimResult::Undecided)) if !is_recent => None,
            Decision::Decided(verdict) => Some(verdict),
            Decision::Write | Decision::LoadFrom(_) => None,
        }
    }

    fn start_write(&mut self, cx: &mut Cx<'_>) {
        match self.group() {
            Group::Nothing => {}
            Group::ReadEnd => {
                let Some(ledger) = &self.ledger else { return };
                let attempt = Attempt::read(self.id, ledger.next_seq(), new_writer(cx));
                self.phase = Phase::Writing(Box::new(attempt));
            }
            Group::LoadFrom(seq) => {
                cx.stats.loads += 1;
                self.phase =
                    Phase::Loading(Box::new(Load::new(self.id, self.retention, Some(seq))));
            }
            Group::Entries(ids) => {
                let Some(attempt) = self.attempt(ids, cx) else { return };
                self.last_write = Some(cx.now);
                self.phase = Phase::Writing(Box::new(attempt));
            }
        }
    }

    fn attempt(&self, ids: Vec<EntryId>, cx: &mut Cx<'_>) -> Option<Attempt> {
        let ledger = self.ledger.as_ref()?;
        let writer = new_writer(cx);
        let entry_of = |id: &EntryId| self.pending.find(*id).map(|entry| entry.held.entry.clone());
        let entries = ids.iter().filter_map(entry_of).collect();
        let segment = Segment { writer, log_time: ledger.log_time_at(cx.now), entries };
        Some(Attempt::new(self.id, ledger.next_seq(), segment, ids))
    }

    /// Selects the entries for the next segment. Of several claims or outcomes of a key only the first is included,
    /// since the next depends on it.
    fn group(&self) -> Group {
        let Some(ledger) = &self.ledger else { return Group::Nothing };
        let mut ids = Vec::new();
        let mut bytes = 0;
        let mut keys: BTreeSet<ClaimHash> = BTreeSet::new();
        for id in self.pending.ids() {
            let Some(entry) = self.pending.find(id) else { continue };
            match ledger.decide(&entry.held) {
                Decision::LoadFrom(seq) => return Group::LoadFrom(seq),
                Decision::Decided(_) => continue,
                Decision::Write => {}
            }
            let is_first = match &entry.held.entry {
                Entry::Claim { claim, .. } => keys.insert(claim_hash(&claim.key)),
                Entry::Outcome { key, .. } => keys.insert(claim_hash(key)),
                Entry::Bill(_) => true,
            };
            bytes += entry.held.entry.encoded_estimate();
            if ids.len() >= MAX_ENTRIES_PER_SEGMENT || bytes > MAX_SEGMENT_BYTES {
                break;
            }
            if is_first {
                ids.push(id);
            }
        }
        match (ids.is_empty(), self.pending.is_empty()) {
            (false, _) => Group::Entries(ids),
            (true, false) => Group::ReadEnd,
            (true, true) if self.end_read_requested => Group::ReadEnd,
            (true, true) => Group::Nothing,
        }
    }

    fn end_attempt(&mut self, end: AttemptEnd, cx: &mut Cx<'_>) {
        let phase = std::mem::replace(&mut self.phase, Phase::Ready);
        let (Phase::Writing(attempt), Some(ledger)) = (phase, &mut self.ledger) else { return };
        match end {
            AttemptEnd::Found { segments, floor } => {
                ledger.raise_floor(floor.unwrap_or_default());
                for segment in &segments {
                    ledger.apply(segment, cx.now, cx.invariants);
                }
                if segments.first().is_some_and(|segment| attempt.is_own(segment)) {
                    ledger.end_extension();
                    self.last_create_sent_at = attempt.sent_at();
                    cx.stats.segments += 1;
                    cx.stats.entries_committed += attempt.ids().len() as u64;
                } else {
                    cx.stats.collisions += 1;
                    self.last_write = None;
                }
                self.mark_end_read(cx);
                self.decide_outcomes(&segments, cx);
                let entries = segments.iter().flat_map(|segment| &segment.entries);
                let ids = entries.map(Entry::id).chain(self.pending.claims()).collect();
                self.decide_pending(ids, cx);
            }
            AttemptEnd::NotWritten { end_read: false } => {}
            AttemptEnd::NotWritten { end_read: true } => {
                self.mark_end_read(cx);
                self.decide_pending(self.pending.claims().collect(), cx);
            }
            AttemptEnd::Void { floor } => {
                ledger.raise_floor(floor.unwrap_or_default());
                cx.stats.void_creates += 1;
                self.last_create_sent_at = None;
                self.phase = Phase::Unloaded;
            }
        }
    }

    fn mark_end_read(&mut self, cx: &Cx<'_>) {
        self.end_read_at = Some(cx.now);
        self.end_read_requested = false;
    }

    /// Resolves the waiting outcomes that are in these segments, even if their claim is past its retention.
    fn decide_outcomes(&mut self, segments: &[Segment], cx: &mut Cx<'_>) {
        let entries = segments.iter().flat_map(|segment| &segment.entries);
        for id in entries.filter(|entry| matches!(entry, Entry::Outcome { .. })).map(Entry::id) {
            if let Some(entry) = self.pending.remove(id) {
                let waiters = entry.waiters.into_iter().collect();
                cx.decided.push(Decided { id, verdict: Verdict::Committed, waiters });
            }
        }
    }

    /// Resolves the waiting entries that the ledger decides.
    fn decide_pending(&mut self, ids: Vec<EntryId>, cx: &mut Cx<'_>) {
        for id in ids {
            let Some(entry) = self.pending.find(id) else { continue };
            let Some(verdict) = self.verdict(&entry.held, Some(entry.arrived_at)) else { continue };
            let Some(entry) = self.pending.remove(id) else { continue };
            if verdict == Verdict::Expired {
                cx.stats.expired += 1;
            }
            let waiters = entry.waiters.into_iter().collect();
            cx.decided.push(Decided { id, verdict, waiters });
        }
    }
}

fn new_writer(cx: &mut Cx<'_>) -> Writer {
    Writer { host: cx.cfg.host.clone(), incarnation: cx.cfg.incarnation, nonce: cx.rng.random() }
}
