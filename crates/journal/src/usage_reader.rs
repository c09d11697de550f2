//! Reads usage: the daily sums, and the bills of live segments that the sums do not cover.
//!
//! The reader performs no I/O. Its caller performs [`UsageReader::next_op`] and passes the result to
//! [`UsageReader::finish`] until [`UsageReader::report`] returns the sums. Segments are read first, then the floor,
//! then the sums: a concurrent compaction moves bills only from objects already read to objects read later, and the
//! sums record the segments they cover.

use std::collections::BTreeMap;

use foxtailhoist_model::Object;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;

use crate::entry::Entry;
use crate::entry::Segment;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::entry::floor_key;
use crate::entry::segment_prefix;
use crate::entry::seq_of;
use crate::floor::Floor;
use crate::load::SEGMENTS_PER_LIST;
use crate::usage::USAGE_PREFIX;
use crate::usage::UsageKey;
use crate::usage::UsageObject;
use crate::usage::UsageObjectId;
use crate::usage::UsageSum;

const SUMS_PER_LIST: usize = 16;

/// Sums of bills by day.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    pub days: BTreeMap<String, BTreeMap<UsageKey, UsageSum>>,
}

/// Reads the usage of a store.
#[derive(Clone, Debug)]
pub struct UsageReader {
    shards: u32,
    parts: u32,
    step: Step,
    live: Vec<LiveSum>,
    floors: BTreeMap<ShardId, Seq>,
    covered: BTreeMap<UsageObjectId, UsageObject>,
}

/// Sum of the bills of one segment that belong to one usage object.
#[derive(Clone, Debug)]
struct LiveSum {
    seq: Seq,
    id: UsageObjectId,
    sum: UsageObject,
}

#[derive(Clone, Debug)]
enum Step {
    Segments { shard: ShardId, after: Option<ObjectKey> },
    Floor { shard: ShardId },
    Sums { after: Option<ObjectKey> },
    Done,
}

impl UsageReport {
    /// Sums over all days.
    #[must_use]
    pub fn total(&self) -> BTreeMap<UsageKey, UsageSum> {
        let mut total: BTreeMap<UsageKey, UsageSum> = BTreeMap::new();
        for (key, sum) in self.days.values().flatten() {
            total.entry(key.clone()).or_default().add_sum(*sum);
        }
        total
    }
}

impl UsageReader {
    /// Creates a reader for a store whose journals use these numbers of shards and usage parts.
    #[must_use]
    pub fn new(shards: u32, usage_parts: u32) -> UsageReader {
        UsageReader {
            shards,
            parts: usage_parts,
            step: Step::Segments { shard: 0, after: None },
            live: Vec::new(),
            floors: BTreeMap::new(),
            covered: BTreeMap::new(),
        }
    }

    /// The next call; `None` when everything is read.
    #[must_use]
    pub fn next_op(&self) -> Option<StoreOp> {
        match &self.step {
            Step::Segments { shard, after } => Some(StoreOp::List {
                prefix: segment_prefix(*shard),
                after: after.clone(),
                limit: SEGMENTS_PER_LIST,
            }),
            Step::Floor { shard } => Some(StoreOp::Get { key: floor_key(*shard) }),
            Step::Sums { after } => Some(StoreOp::List {
                prefix: USAGE_PREFIX.to_owned(),
                after: after.clone(),
                limit: SUMS_PER_LIST,
            }),
            Step::Done => None,
        }
    }

    /// Handles the result of the call; after an error the same call is returned again.
    pub fn finish(&mut self, result: &StoreResult) {
        let Ok(reply) = result else { return };
        match (self.step.clone(), reply) {
            (Step::Segments { shard, .. }, StoreReply::Objects { objects, .. }) => {
                self.read_segments(shard, objects);
            }
            (Step::Floor { shard }, StoreReply::Object(object)) => {
                self.floors.insert(shard, Floor::of(object.as_ref()));
                let next = shard + 1;
                self.step = if next < self.shards {
                    Step::Segments { shard: next, after: None }
                } else {
                    Step::Sums { after: None }
                };
            }
            (Step::Sums { .. }, StoreReply::Objects { objects, .. }) => self.read_sums(objects),
            _ => {}
        }
    }

    /// The sums, once everything is read.
    #[must_use]
    pub fn report(&self) -> Option<UsageReport> {
        if !matches!(self.step, Step::Done) {
            return None;
        }
        let mut report = UsageReport::default();
        for (id, object) in &self.covered {
            report.add(id, object);
        }
        for live in self.live.iter().filter(|live| !self.is_covered(live)) {
            report.add(&live.id, &live.sum);
        }
        Some(report)
    }

    fn read_segments(&mut self, shard: ShardId, objects: &[Object]) {
        for object in objects {
            let segment = Segment::decode(&object.value);
            if let (Some(seq), Some(segment)) = (seq_of(&object.key), segment) {
                self.add_segment(shard, seq, &segment);
            }
        }
        self.step = match objects.last().filter(|_| objects.len() == SEGMENTS_PER_LIST) {
            Some(last) => Step::Segments { shard, after: Some(last.key.clone()) },
            None => Step::Floor { shard },
        };
    }

    fn add_segment(&mut self, shard: ShardId, seq: Seq, segment: &Segment) {
        let mut sums: BTreeMap<UsageObjectId, UsageObject> = BTreeMap::new();
        for entry in &segment.entries {
            if let Entry::Bill(bill) = entry {
                sums.entry(UsageObjectId::of(bill, shard, self.parts)).or_default().add(bill);
            }
        }
        self.live.extend(sums.into_iter().map(|(id, sum)| LiveSum { seq, id, sum }));
    }

    fn read_sums(&mut self, objects: &[Object]) {
        for object in objects {
            let sum = UsageObject::decode(&object.value);
            if let (Some(id), Some(sum)) = (UsageObjectId::parse(&object.key), sum) {
                self.covered.insert(id, sum);
            }
        }
        self.step = match objects.last().filter(|_| objects.len() == SUMS_PER_LIST) {
            Some(last) => Step::Sums { after: Some(last.key.clone()) },
            None => Step::Done,
        };
    }

    /// Whether a segment's bills are already in the sums, or the segment is below the floor and void.
    fn is_covered(&self, live: &LiveSum) -> bool {
        let floor = self.floors.get(&live.id.shard).copied().unwrap_or_default();
        let covers = self.covered.get(&live.id).map_or(0, |object| object.covers);
        live.seq < floor.max(covers)
    }
}

impl UsageReport {
    fn add(&mut self, id: &UsageObjectId, object: &UsageObject) {
        let day = self.days.entry(id.day.clone()).or_default();
        for (key, sum) in &object.sums {
            day.entry(key.clone()).or_default().add_sum(*sum);
        }
    }
}
