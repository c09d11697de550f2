//! Compacts segments past their retention into usage objects, raises the floor, and only then deletes them.
//!
//! Any number of hosts may compact concurrently, and any of them may be paused at any step: each usage object records
//! the segments it covers, the floor only rises, and a delete below the floor is idempotent.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Bill;
use foxtailhoist_model::Condition;
use foxtailhoist_model::Object;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;

use crate::cx::Cx;
use crate::entry::Entry;
use crate::entry::Segment;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::entry::segment_key;
use crate::entry::segment_prefix;
use crate::entry::seq_of;
use crate::event::CallId;
use crate::floor::FloorCheck;
use crate::load::SEGMENTS_PER_LIST;
use crate::load::contiguous;
use crate::usage::UsageObject;
use crate::usage::UsageObjectId;

/// Delay before a usage object that changed concurrently is read again.
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Range of the log that may be compacted.
#[derive(Clone, Copy, Debug)]
pub struct CompactionBounds {
    /// Highest known floor.
    pub floor: Seq,
    /// A durable snapshot covers the segments below this one.
    pub snapshot: Seq,
    /// Segments with this log time, in milliseconds, or an older one are past their retention.
    pub log_time: u64,
    /// Minimum number of expired segments for a compaction.
    pub min_segments: usize,
    /// Usage objects per day and shard.
    pub parts: u32,
}

/// A compaction in progress.
#[derive(Clone, Debug)]
pub struct Compaction {
    shard: ShardId,
    bounds: CompactionBounds,
    retry_at: Option<Instant>,
    /// First segment that is kept.
    end: Seq,
    sums: VecDeque<DaySum>,
    deletes: VecDeque<ObjectKey>,
    step: Step,
}

/// Bills that belong to one usage object.
#[derive(Clone, Debug)]
struct DaySum {
    id: UsageObjectId,
    bills: Vec<(Seq, Bill)>,
}

#[derive(Clone, Debug)]
enum Step {
    List,
    Listing(CallId),
    FindFloor(FloorCheck),
    ReadSum,
    ReadingSum(CallId),
    WriteSum { sum: UsageObject, condition: Condition },
    WritingSum(CallId),
    RaiseFloor(FloorCheck),
    Delete,
    Deleting(CallId),
}

/// How a compaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactionEnd {
    /// Segments below the floor are deleted.
    Done { floor: Seq },
    /// Too few segments are past their retention; retried once segments of this log time are.
    TooEarly { floor: Seq, log_time: u64 },
}

impl Compaction {
    #[must_use]
    pub fn new(shard: ShardId, bounds: CompactionBounds) -> Compaction {
        Compaction {
            shard,
            bounds,
            retry_at: None,
            end: bounds.floor,
            sums: VecDeque::new(),
            deletes: VecDeque::new(),
            step: Step::List,
        }
    }

    /// When a write that failed is retried.
    #[must_use]
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Whether a call is due as soon as the gate admits one.
    #[must_use]
    pub fn needs_call(&self, now: Instant) -> bool {
        let is_idle = match &self.step {
            Step::List | Step::ReadSum | Step::WriteSum { .. } | Step::Delete => true,
            Step::FindFloor(check) | Step::RaiseFloor(check) => check.needs_call(),
            Step::Listing(_) | Step::ReadingSum(_) | Step::WritingSum(_) | Step::Deleting(_) => {
                false
            }
        };
        is_idle && self.retry_at.is_none_or(|at| at <= now)
    }

    /// Makes the next call, if one is due and admitted.
    pub fn advance(&mut self, cx: &mut Cx<'_>) {
        if !self.needs_call(cx.now) {
            return;
        }
        self.retry_at = None;
        match &mut self.step {
            Step::FindFloor(check) | Step::RaiseFloor(check) => return check.advance(cx),
            _ => {}
        }
        let Some(op) = self.next_op() else { return };
        let Some(call) = cx.call(self.shard, || op) else { return };
        self.step = match &self.step {
            Step::List => Step::Listing(call),
            Step::ReadSum => Step::ReadingSum(call),
            Step::WriteSum { .. } => Step::WritingSum(call),
            _ => Step::Deleting(call),
        };
    }

    /// Handles the result of a call; returns how the compaction ended once it has.
    #[must_use]
    pub fn finish(
        &mut self,
        call: CallId,
        result: &StoreResult,
        now: Instant,
    ) -> Option<CompactionEnd> {
        match &mut self.step {
            Step::Listing(sent) if *sent == call => match result {
                Ok(StoreReply::Objects { objects, .. }) => self.plan(objects),
                _ => self.enter(Step::List),
            },
            Step::FindFloor(check) => {
                let floor = check.finish(call, result)?;
                // Log time 0 lets the next compaction start at once, from the floor found.
                Some(CompactionEnd::TooEarly { floor, log_time: 0 })
            }
            Step::ReadingSum(sent) if *sent == call => match result {
                Ok(StoreReply::Object(object)) => self.add_to_sum(object.as_ref()),
                _ => self.enter(Step::ReadSum),
            },
            Step::WritingSum(sent) if *sent == call => match result {
                Ok(StoreReply::Written(_)) => self.next_sum(),
                _ => {
                    self.retry_at = Some(now + CONFLICT_RETRY_DELAY);
                    self.enter(Step::ReadSum)
                }
            },
            Step::RaiseFloor(check) => {
                let floor = check.finish(call, result)?;
                self.bounds.floor = floor;
                self.next_delete()
            }
            Step::Deleting(sent) if *sent == call => {
                if result.is_ok() {
                    self.deletes.pop_front();
                }
                self.next_delete()
            }
            _ => None,
        }
    }

    fn enter(&mut self, step: Step) -> Option<CompactionEnd> {
        self.step = step;
        None
    }

    fn next_op(&self) -> Option<StoreOp> {
        match &self.step {
            Step::List => Some(StoreOp::List {
                prefix: segment_prefix(self.shard),
                after: None,
                limit: SEGMENTS_PER_LIST,
            }),
            Step::ReadSum => self.sums.front().map(|sum| StoreOp::Get { key: sum.id.key() }),
            Step::WriteSum { sum, condition } => self.sums.front().map(|day_sum| StoreOp::Put {
                key: day_sum.id.key(),
                value: sum.encode(),
                condition: *condition,
            }),
            Step::Delete => self
                .deletes
                .front()
                .map(|key| StoreOp::Delete { key: key.clone(), condition: Condition::Any }),
            _ => None,
        }
    }

    /// Selects the segments. Those below the floor are only deleted, since they are already compacted or void.
    fn plan(&mut self, objects: &[Object]) -> Option<CompactionEnd> {
        let floor = self.bounds.floor;
        let is_below = |object: &&Object| seq_of(&object.key).is_some_and(|seq| seq < floor);
        let below: Vec<ObjectKey> =
            objects.iter().filter(is_below).map(|object| object.key.clone()).collect();
        let segments = contiguous(&objects[below.len()..], floor);
        self.deletes.extend(below);
        // The segment at the known floor is missing although later ones exist, so another host has raised the floor.
        if segments.is_empty() && objects.len() > self.deletes.len() {
            return self.enter(Step::FindFloor(FloorCheck::new(self.shard)));
        }
        let is_expired = |(seq, segment): &&(Seq, Segment)| {
            *seq < self.bounds.snapshot && segment.log_time <= self.bounds.log_time
        };
        let expired: Vec<&(Seq, Segment)> = segments.iter().take_while(is_expired).collect();
        let min_segments = self.bounds.min_segments.min(SEGMENTS_PER_LIST / 2);
        if expired.len() < min_segments {
            let awaited = segments.get(min_segments - 1).or(segments.last());
            let log_time = awaited.map_or(self.bounds.log_time, |(_, segment)| segment.log_time);
            if self.deletes.is_empty() {
                return Some(CompactionEnd::TooEarly { floor, log_time });
            }
            return self.next_delete();
        }
        self.end = floor + expired.len() as Seq;
        self.deletes.extend(expired.iter().map(|(seq, _)| segment_key(self.shard, *seq)));
        self.sums = self.day_sums(&expired);
        self.next_sum_step()
    }

    fn day_sums(&self, segments: &[&(Seq, Segment)]) -> VecDeque<DaySum> {
        let mut by_id: BTreeMap<UsageObjectId, Vec<(Seq, Bill)>> = BTreeMap::new();
        for (seq, segment) in segments {
            for entry in &segment.entries {
                if let Entry::Bill(bill) = entry {
                    let id = UsageObjectId::of(bill, self.shard, self.bounds.parts);
                    by_id.entry(id).or_default().push((*seq, bill.clone()));
                }
            }
        }
        by_id.into_iter().map(|(id, bills)| DaySum { id, bills }).collect()
    }

    /// Adds the bills that the usage object does not cover yet.
    fn add_to_sum(&mut self, object: Option<&Object>) -> Option<CompactionEnd> {
        let decoded = object.and_then(|object| UsageObject::decode(&object.value));
        let mut sum = decoded.unwrap_or_default();
        if sum.covers >= self.end {
            return self.next_sum();
        }
        let bills = self.sums.front().map(|day_sum| day_sum.bills.as_slice()).unwrap_or_default();
        let covers = sum.covers;
        for (_, bill) in bills.iter().filter(|(seq, _)| *seq >= covers) {
            sum.add(bill);
        }
        sum.covers = self.end;
        let condition =
            object.map_or(Condition::Absent, |object| Condition::Version(object.version));
        self.enter(Step::WriteSum { sum, condition })
    }

    fn next_sum(&mut self) -> Option<CompactionEnd> {
        self.sums.pop_front();
        self.next_sum_step()
    }

    fn next_sum_step(&mut self) -> Option<CompactionEnd> {
        if !self.sums.is_empty() {
            return self.enter(Step::ReadSum);
        }
        self.enter(Step::RaiseFloor(FloorCheck::raise(self.shard, self.end)))
    }

    fn next_delete(&mut self) -> Option<CompactionEnd> {
        if self.deletes.is_empty() {
            return Some(CompactionEnd::Done { floor: self.bounds.floor });
        }
        self.enter(Step::Delete)
    }
}
