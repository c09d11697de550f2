//! Loads a shard: the latest snapshot, the segments after it, and then the floor.
//!
//! The floor is confirmed last. Until then nothing that was read is used, because a stale copy may contain segments
//! that have since been compacted, or a delayed create below the floor.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Invariants;
use foxtailhoist_model::Object;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;

use crate::cx::Cx;
use crate::entry::Segment;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::entry::segment_key;
use crate::entry::segment_prefix;
use crate::entry::seq_of;
use crate::event::CallId;
use crate::floor::FloorCheck;
use crate::ledger::Ledger;
use crate::ledger::Retention;
use crate::snapshot;

/// Maximum number of segments in one list call.
pub const SEGMENTS_PER_LIST: usize = 64;
/// Maximum number of snapshot parts in one list call.
const PARTS_PER_LIST: usize = 64;
/// Delay before a load that read stale copies restarts.
const STALE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A load in progress.
#[derive(Clone, Debug)]
pub struct Load {
    shard: ShardId,
    retention: Retention,
    /// Bills are loaded from this segment on.
    bills_from: Option<Seq>,
    step: Step,
    ledger: Ledger,
    snapshot_parts: BTreeSet<ObjectKey>,
    segments: Vec<(Seq, Segment)>,
    retry_at: Option<Instant>,
}

/// Result of a load.
#[derive(Clone, Debug)]
pub struct Loaded {
    pub ledger: Ledger,
    /// The latest snapshot covers the segments below this one.
    pub snapshot: Seq,
    /// Parts of all snapshots.
    pub snapshot_parts: BTreeSet<ObjectKey>,
}

#[derive(Clone, Debug)]
enum Step {
    Snapshot,
    ReadingSnapshot(CallId),
    Segments,
    ReadingSegments(CallId),
    Floor(FloorCheck),
}

impl Load {
    /// Creates a load of a shard, including its bills from `bills_from` on if given.
    #[must_use]
    pub fn new(shard: ShardId, retention: Retention, bills_from: Option<Seq>) -> Load {
        Load {
            shard,
            retention,
            bills_from,
            step: Step::Snapshot,
            ledger: Ledger::new(retention),
            snapshot_parts: BTreeSet::new(),
            segments: Vec::new(),
            retry_at: None,
        }
    }

    /// When a load that read stale copies restarts.
    #[must_use]
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Whether a call is due as soon as the gate admits one.
    #[must_use]
    pub fn needs_call(&self, now: Instant) -> bool {
        let is_idle = match &self.step {
            Step::Snapshot | Step::Segments => true,
            Step::Floor(check) => check.needs_call(),
            Step::ReadingSnapshot(_) | Step::ReadingSegments(_) => false,
        };
        is_idle && self.retry_at.is_none_or(|at| at <= now)
    }

    /// Makes the next call, if one is due and admitted.
    pub fn advance(&mut self, cx: &mut Cx<'_>) {
        if self.retry_at.is_some_and(|at| cx.now < at) {
            return;
        }
        self.retry_at = None;
        match &mut self.step {
            Step::Snapshot => {
                let op = || StoreOp::List {
                    prefix: snapshot::prefix(self.shard),
                    after: None,
                    limit: PARTS_PER_LIST,
                };
                if let Some(call) = cx.call(self.shard, op) {
                    self.step = Step::ReadingSnapshot(call);
                }
            }
            Step::Segments => {
                let op = list_segments(self.shard, self.next_to_list());
                if let Some(call) = cx.call(self.shard, || op) {
                    self.step = Step::ReadingSegments(call);
                }
            }
            Step::Floor(check) => check.advance(cx),
            Step::ReadingSnapshot(_) | Step::ReadingSegments(_) => {}
        }
    }

    /// Handles the result of a call; returns the loaded state once complete.
    #[must_use]
    pub fn finish(
        &mut self,
        call: CallId,
        result: &StoreResult,
        now: Instant,
        invariants: &mut Invariants,
    ) -> Option<Loaded> {
        match (&mut self.step, result) {
            (Step::ReadingSnapshot(sent), Ok(StoreReply::Objects { objects, .. }))
                if *sent == call =>
            {
                self.snapshot_parts = objects.iter().map(|object| object.key.clone()).collect();
                if let Some(ledger) = snapshot::latest(objects, self.retention) {
                    self.ledger = ledger;
                }
                self.step = Step::Segments;
            }
            (Step::ReadingSnapshot(sent), _) if *sent == call => self.step = Step::Snapshot,
            (Step::ReadingSegments(sent), Ok(StoreReply::Objects { objects, .. }))
                if *sent == call =>
            {
                let segments = contiguous(objects, self.next_to_list());
                let is_last = segments.len() < SEGMENTS_PER_LIST;
                self.segments.extend(segments);
                self.step =
                    if is_last { Step::Floor(FloorCheck::new(self.shard)) } else { Step::Segments };
            }
            (Step::ReadingSegments(sent), _) if *sent == call => self.step = Step::Segments,
            (Step::Floor(check), _) => {
                let floor = check.finish(call, result)?;
                return self.complete(floor, now, invariants);
            }
            _ => {}
        }
        None
    }

    /// First segment that has not been listed.
    fn next_to_list(&self) -> Seq {
        let first =
            self.bills_from.map_or(self.ledger.next_seq(), |from| from.min(self.ledger.next_seq()));
        self.segments.last().map_or(first, |(seq, _)| seq + 1)
    }

    fn complete(
        &mut self,
        floor: Seq,
        now: Instant,
        invariants: &mut Invariants,
    ) -> Option<Loaded> {
        let listed_all_below = self.next_to_list() >= self.ledger.next_seq();
        if self.ledger.next_seq() < floor || !listed_all_below {
            self.restart(floor, now);
            return None;
        }
        let mut ledger = self.ledger.clone();
        ledger.raise_floor(floor);
        if let Some(from) = self.bills_from {
            ledger.extend_bills(from.max(floor), &self.segments);
        }
        for (seq, segment) in &self.segments {
            if *seq == ledger.next_seq() {
                ledger.apply(segment, now, invariants);
            }
        }
        ledger.mark_read(now);
        let snapshot = self.ledger.next_seq();
        let snapshot_parts = std::mem::take(&mut self.snapshot_parts);
        Some(Loaded { ledger, snapshot, snapshot_parts })
    }

    fn restart(&mut self, floor: Seq, now: Instant) {
        let bills_from = self.bills_from.map(|from| from.max(floor));
        *self = Load::new(self.shard, self.retention, bills_from);
        self.retry_at = Some(now + STALE_RETRY_DELAY);
    }
}

/// Builds a call that lists segments from `first` on.
#[must_use]
pub fn list_segments(shard: ShardId, first: Seq) -> StoreOp {
    StoreOp::List {
        prefix: segment_prefix(shard),
        after: first.checked_sub(1).map(|seq| segment_key(shard, seq)),
        limit: SEGMENTS_PER_LIST,
    }
}

/// Decodes the listed segments from `first` on, up to the first gap.
#[must_use]
pub fn contiguous(objects: &[Object], first: Seq) -> Vec<(Seq, Segment)> {
    let mut segments = Vec::new();
    for (seq, object) in (first..).zip(objects) {
        let decoded = Segment::decode(&object.value);
        match (seq_of(&object.key), decoded) {
            (Some(found), Some(segment)) if found == seq => segments.push((seq, segment)),
            _ => break,
        }
    }
    segments
}
