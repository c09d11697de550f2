//! Snapshots and compaction of a shard, one at a time, performed by its owner.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::Condition;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;
use rand::RngExt;

use crate::compaction::Compaction;
use crate::compaction::CompactionBounds;
use crate::compaction::CompactionEnd;
use crate::cx::Cx;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::event::CallId;
use crate::ledger::Ledger;
use crate::snapshot;

/// Maintenance of one shard on this host.
#[derive(Clone, Debug)]
pub struct Maintenance {
    shard: ShardId,
    /// The latest known durable snapshot covers the segments below this one.
    snapshot: Seq,
    /// Known parts of durable snapshots.
    parts: BTreeSet<ObjectKey>,
    /// The next compaction is tried once segments after this log time, in milliseconds, are past their retention.
    compact_at: u64,
    task: Task,
}

#[derive(Clone, Debug)]
enum Task {
    Idle,
    Snapshot(SnapshotTask),
    Compaction(Box<Compaction>),
}

/// A snapshot being written, and the older ones to delete afterwards.
#[derive(Clone, Debug)]
struct SnapshotTask {
    next_seq: Seq,
    puts: VecDeque<(ObjectKey, Bytes)>,
    deletes: VecDeque<ObjectKey>,
    call: Option<CallId>,
}

impl Maintenance {
    #[must_use]
    pub fn new(shard: ShardId) -> Maintenance {
        Maintenance { shard, snapshot: 0, parts: BTreeSet::new(), compact_at: 0, task: Task::Idle }
    }

    /// Records the snapshots that a load found.
    pub fn record_snapshots(&mut self, snapshot: Seq, parts: BTreeSet<ObjectKey>) {
        self.snapshot = self.snapshot.max(snapshot);
        self.parts.extend(parts);
    }

    /// Starts or continues the task that is due.
    pub fn advance(&mut self, ledger: &Ledger, cx: &mut Cx<'_>) {
        if matches!(self.task, Task::Idle) && cx.is_owner {
            self.task = self.next_task(ledger, cx);
        }
        match &mut self.task {
            Task::Idle => {}
            Task::Snapshot(task) => task.advance(self.shard, cx),
            Task::Compaction(compaction) => compaction.advance(cx),
        }
    }

    /// Handles the result of a call; returns the floor that a compaction found or raised.
    #[must_use]
    pub fn finish(&mut self, call: CallId, result: &StoreResult, cx: &mut Cx<'_>) -> Option<Seq> {
        match &mut self.task {
            Task::Idle => None,
            Task::Snapshot(task) => {
                if let Some(written) = task.finish(call, result) {
                    self.parts.insert(written);
                }
                if task.is_written() {
                    self.snapshot = self.snapshot.max(task.next_seq);
                }
                if task.is_done() {
                    let kept = snapshot::part_prefix(self.shard, task.next_seq);
                    self.parts.retain(|key| *key >= kept);
                    cx.stats.snapshots += 1;
                    self.task = Task::Idle;
                }
                None
            }
            Task::Compaction(compaction) => {
                let end = compaction.finish(call, result, cx.now)?;
                self.task = Task::Idle;
                match end {
                    CompactionEnd::Done { floor } => {
                        cx.stats.compactions += 1;
                        Some(floor)
                    }
                    CompactionEnd::TooEarly { floor, log_time } => {
                        self.compact_at = log_time;
                        Some(floor)
                    }
                }
            }
        }
    }

    /// When a retry is due; `None` when only a call's result can make progress.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        match &self.task {
            Task::Idle | Task::Snapshot(_) => None,
            Task::Compaction(compaction) => compaction.retry_at(),
        }
    }

    /// Whether a call is due as soon as the gate admits one.
    #[must_use]
    pub fn needs_call(&self, now: Instant) -> bool {
        match &self.task {
            Task::Idle => false,
            Task::Snapshot(task) => task.call.is_none(),
            Task::Compaction(compaction) => compaction.needs_call(now),
        }
    }

    fn next_task(&self, ledger: &Ledger, cx: &mut Cx<'_>) -> Task {
        if ledger.next_seq() >= self.snapshot + cx.cfg.snapshot_every {
            return Task::Snapshot(self.snapshot_of(ledger, cx));
        }
        let retention = cx.cfg.claim_retention.as_millis() as u64;
        let Some(cutoff) = ledger.log_time().checked_sub(retention) else { return Task::Idle };
        let segments = ledger.next_seq().saturating_sub(ledger.floor());
        if cutoff <= self.compact_at || segments < cx.cfg.compact_batch as u64 {
            return Task::Idle;
        }
        let bounds = CompactionBounds {
            floor: ledger.floor(),
            snapshot: self.snapshot,
            log_time: cutoff,
            min_segments: cx.cfg.compact_batch,
            parts: cx.cfg.usage_parts,
        };
        Task::Compaction(Box::new(Compaction::new(self.shard, bounds)))
    }

    fn snapshot_of(&self, ledger: &Ledger, cx: &mut Cx<'_>) -> SnapshotTask {
        let next_seq = ledger.next_seq();
        let nonce = cx.rng.random();
        let parts = snapshot::encode(ledger, nonce);
        let key = |part: usize| snapshot::part_key(self.shard, next_seq, nonce, part);
        let numbered = parts.into_iter().enumerate();
        let mut puts: VecDeque<(ObjectKey, Bytes)> =
            numbered.map(|(part, body)| (key(part), body)).collect();
        puts.make_contiguous().reverse();
        let first_kept = snapshot::part_prefix(self.shard, next_seq);
        let deletes = self.parts.iter().filter(|key| **key < first_kept).cloned().collect();
        SnapshotTask { next_seq, puts, deletes, call: None }
    }
}

impl SnapshotTask {
    fn advance(&mut self, shard: ShardId, cx: &mut Cx<'_>) {
        if self.call.is_some() {
            return;
        }
        let put = self.puts.front().map(|(key, body)| StoreOp::Put {
            key: key.clone(),
            value: body.clone(),
            condition: Condition::Any,
        });
        let delete = || {
            let key = self.deletes.front()?.clone();
            Some(StoreOp::Delete { key, condition: Condition::Any })
        };
        if let Some(op) = put.or_else(delete) {
            self.call = cx.call(shard, || op);
        }
    }

    /// Handles the result of a call; returns the part that became durable.
    fn finish(&mut self, call: CallId, result: &StoreResult) -> Option<ObjectKey> {
        if self.call != Some(call) {
            return None;
        }
        self.call = None;
        if result.is_err() {
            return None;
        }
        if let Some((key, _)) = self.puts.pop_front() {
            return Some(key);
        }
        self.deletes.pop_front();
        None
    }

    fn is_written(&self) -> bool {
        self.puts.is_empty()
    }

    fn is_done(&self) -> bool {
        self.puts.is_empty() && self.deletes.is_empty()
    }
}
