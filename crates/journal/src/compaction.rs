//! Compacts segments past their retention into usage objects, raises the floor, and only then deletes them.
//!
//! Any number of hosts may do this at once and any of them may be paused at any step: the usage objects say what they
//! cover, the floor only rises, and a delete below the floor can be repeated.

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
use crate::load::LIST_SEGMENTS;
use crate::load::contiguous;
use crate::usage::UsageObject;
use crate::usage::UsagePlace;

/// Wait before a usage object that changed meanwhile is read again.
const CONFLICT_RETRY: Duration = Duration::from_millis(100);

/// Up to where the log may be compacted.
#[derive(Clone, Copy, Debug)]
pub struct CompactionBounds {
    /// Highest floor that is known.
    pub floor: Seq,
    /// A durable snapshot covers the segments below this one.
    pub snapshot: Seq,
    /// Segments of this log time, in milliseconds, or an older one are past their retention.
    pub log_time: u64,
    /// Fewest segments worth a compaction.
    pub least: usize,
    /// Usage objects for each day and shard.
    pub parts: u32,
}

/// A compaction under way.
#[derive(Clone, Debug)]
pub struct Compaction {
    shard: ShardId,
    bounds: CompactionBounds,
    retry_at: Option<Instant>,
    /// First segment that stays.
    end: Seq,
    sums: VecDeque<DaySum>,
    deletes: VecDeque<ObjectKey>,
    step: Step,
}

/// Bills that belong into one usage object.
#[derive(Clone, Debug)]
struct DaySum {
    place: UsagePlace,
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
    /// Segments below the floor are gone.
    Done { floor: Seq },
    /// Too few segments are past their retention; worth another look at this log time of theirs.
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

    /// When a write that met a conflict is repeated.
    #[must_use]
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Whether a call is to be made as soon as one is admitted.
    #[must_use]
    pub fn wants_call(&self, now: Instant) -> bool {
        let is_idle = match &self.step {
            Step::List | Step::ReadSum | Step::WriteSum { .. } | Step::Delete => true,
            Step::FindFloor(check) | Step::RaiseFloor(check) => check.wants_call(),
            Step::Listing(_) | Step::ReadingSum(_) | Step::WritingSum(_) | Step::Deleting(_) => {
                false
            }
        };
        is_idle && self.retry_at.is_none_or(|at| at <= now)
    }

    /// Makes the next call, if one is due and admitted.
    pub fn advance(&mut self, cx: &mut Cx<'_>) {
        if !self.wants_call(cx.now) {
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

    /// Takes the result of a call; returns the end once it is reached.
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
                _ => self.go(Step::List),
            },
            Step::FindFloor(check) => {
                let floor = check.finish(call, result)?;
                Some(CompactionEnd::TooEarly { floor, log_time: 0 })
            }
            Step::ReadingSum(sent) if *sent == call => match result {
                Ok(StoreReply::Object(object)) => self.add_to_sum(object.as_ref()),
                _ => self.go(Step::ReadSum),
            },
            Step::WritingSum(sent) if *sent == call => match result {
                Ok(StoreReply::Written(_)) => self.next_sum(),
                _ => {
                    self.retry_at = Some(now + CONFLICT_RETRY);
                    self.go(Step::ReadSum)
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

    fn go(&mut self, step: Step) -> Option<CompactionEnd> {
        self.step = step;
        None
    }

    fn next_op(&self) -> Option<StoreOp> {
        match &self.step {
            Step::List => Some(StoreOp::List {
                prefix: segment_prefix(self.shard),
                after: None,
                limit: LIST_SEGMENTS,
            }),
            Step::ReadSum => self.sums.front().map(|sum| StoreOp::Get { key: sum.place.key() }),
            Step::WriteSum { sum, condition } => self.sums.front().map(|of| StoreOp::Put {
                key: of.place.key(),
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

    /// Chooses the segments: those below the floor are only deleted, since they are compacted already or void.
    fn plan(&mut self, objects: &[Object]) -> Option<CompactionEnd> {
        let floor = self.bounds.floor;
        let is_below = |object: &&Object| seq_of(&object.key).is_some_and(|seq| seq < floor);
        let below: Vec<ObjectKey> =
            objects.iter().filter(is_below).map(|object| object.key.clone()).collect();
        let segments = contiguous(&objects[below.len()..], floor);
        self.deletes.extend(below);
        if segments.is_empty() && objects.len() > self.deletes.len() {
            return self.go(Step::FindFloor(FloorCheck::new(self.shard)));
        }
        let is_past = |(seq, segment): &&(Seq, Segment)| {
            *seq < self.bounds.snapshot && segment.log_time <= self.bounds.log_time
        };
        let past: Vec<&(Seq, Segment)> = segments.iter().take_while(is_past).collect();
        let least = self.bounds.least.min(LIST_SEGMENTS / 2);
        if past.len() < least {
            let awaited = segments.get(least - 1).or(segments.last());
            let log_time = awaited.map_or(self.bounds.log_time, |(_, segment)| segment.log_time);
            if self.deletes.is_empty() {
                return Some(CompactionEnd::TooEarly { floor, log_time });
            }
            return self.next_delete();
        }
        self.end = floor + past.len() as Seq;
        self.deletes.extend(past.iter().map(|(seq, _)| segment_key(self.shard, *seq)));
        self.sums = self.day_sums(&past);
        self.next_step_of_sums()
    }

    fn day_sums(&self, segments: &[&(Seq, Segment)]) -> VecDeque<DaySum> {
        let mut by_place: BTreeMap<UsagePlace, Vec<(Seq, Bill)>> = BTreeMap::new();
        for (seq, segment) in segments {
            for entry in &segment.entries {
                if let Entry::Bill(bill) = entry {
                    let place = UsagePlace::of(bill, self.shard, self.bounds.parts);
                    by_place.entry(place).or_default().push((*seq, bill.clone()));
                }
            }
        }
        by_place.into_iter().map(|(place, bills)| DaySum { place, bills }).collect()
    }

    /// Adds the bills that the object does not cover yet.
    fn add_to_sum(&mut self, object: Option<&Object>) -> Option<CompactionEnd> {
        let decoded = object.and_then(|object| UsageObject::decode(&object.value));
        let mut sum = decoded.unwrap_or_default();
        if sum.covers >= self.end {
            return self.next_sum();
        }
        let bills = self.sums.front().map(|of| of.bills.as_slice()).unwrap_or_default();
        let covers = sum.covers;
        for (_, bill) in bills.iter().filter(|(seq, _)| *seq >= covers) {
            sum.add(bill);
        }
        sum.covers = self.end;
        let condition =
            object.map_or(Condition::Absent, |object| Condition::Version(object.version));
        self.go(Step::WriteSum { sum, condition })
    }

    fn next_sum(&mut self) -> Option<CompactionEnd> {
        self.sums.pop_front();
        self.next_step_of_sums()
    }

    fn next_step_of_sums(&mut self) -> Option<CompactionEnd> {
        if !self.sums.is_empty() {
            return self.go(Step::ReadSum);
        }
        self.go(Step::RaiseFloor(FloorCheck::raise(self.shard, self.end)))
    }

    fn next_delete(&mut self) -> Option<CompactionEnd> {
        if self.deletes.is_empty() {
            return Some(CompactionEnd::Done { floor: self.bounds.floor });
        }
        self.go(Step::Delete)
    }
}
