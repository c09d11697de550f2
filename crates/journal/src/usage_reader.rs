//! Reads the bills back: the daily sums, and the live segments that they do not cover.
//!
//! The reader is pure. Its user performs [`UsageReader::next_op`] and passes the result to [`UsageReader::finish`]
//! until [`UsageReader::report`] has the sums. Segments are read first, then the floor, then the sums: a compaction
//! meanwhile moves bills only from what was read to what is read later, and the sums say what they cover.

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
use crate::load::LIST_SEGMENTS;
use crate::usage::USAGE_PREFIX;
use crate::usage::UsageKey;
use crate::usage::UsageObject;
use crate::usage::UsagePlace;
use crate::usage::UsageSum;

const LIST_SUMS: usize = 16;

/// Sums of bills by day, and over all days.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    pub days: BTreeMap<String, BTreeMap<UsageKey, UsageSum>>,
}

/// Reads all bills of a store.
#[derive(Clone, Debug)]
pub struct UsageReader {
    shards: u32,
    parts: u32,
    step: Step,
    live: Vec<LiveSum>,
    floors: BTreeMap<ShardId, Seq>,
    covered: BTreeMap<UsagePlace, UsageObject>,
}

/// Bills of one segment that belong into one usage object.
#[derive(Clone, Debug)]
struct LiveSum {
    seq: Seq,
    place: UsagePlace,
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
    /// Reader for a store whose journals have these numbers of shards and usage parts.
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

    /// Call to be made next; `None` when everything is read.
    #[must_use]
    pub fn next_op(&self) -> Option<StoreOp> {
        match &self.step {
            Step::Segments { shard, after } => Some(StoreOp::List {
                prefix: segment_prefix(*shard),
                after: after.clone(),
                limit: LIST_SEGMENTS,
            }),
            Step::Floor { shard } => Some(StoreOp::Get { key: floor_key(*shard) }),
            Step::Sums { after } => Some(StoreOp::List {
                prefix: USAGE_PREFIX.to_owned(),
                after: after.clone(),
                limit: LIST_SUMS,
            }),
            Step::Done => None,
        }
    }

    /// Takes the result of the call; after an error the same call comes next again.
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

    /// Sums, once everything is read.
    #[must_use]
    pub fn report(&self) -> Option<UsageReport> {
        if !matches!(self.step, Step::Done) {
            return None;
        }
        let mut report = UsageReport::default();
        for (place, object) in &self.covered {
            report.add(place, object);
        }
        for live in self.live.iter().filter(|live| !self.is_covered(live)) {
            report.add(&live.place, &live.sum);
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
        self.step = match objects.last().filter(|_| objects.len() == LIST_SEGMENTS) {
            Some(last) => Step::Segments { shard, after: Some(last.key.clone()) },
            None => Step::Floor { shard },
        };
    }

    fn add_segment(&mut self, shard: ShardId, seq: Seq, segment: &Segment) {
        let mut sums: BTreeMap<UsagePlace, UsageObject> = BTreeMap::new();
        for entry in &segment.entries {
            if let Entry::Bill(bill) = entry {
                sums.entry(UsagePlace::of(bill, shard, self.parts)).or_default().add(bill);
            }
        }
        self.live.extend(sums.into_iter().map(|(place, sum)| LiveSum { seq, place, sum }));
    }

    fn read_sums(&mut self, objects: &[Object]) {
        for object in objects {
            let sum = UsageObject::decode(&object.value);
            if let (Some(place), Some(sum)) = (UsagePlace::parse(&object.key), sum) {
                self.covered.insert(place, sum);
            }
        }
        self.step = match objects.last().filter(|_| objects.len() == LIST_SUMS) {
            Some(last) => Step::Sums { after: Some(last.key.clone()) },
            None => Step::Done,
        };
    }

    /// Whether a segment's bills are in the sums already, or the segment is below the floor and void.
    fn is_covered(&self, live: &LiveSum) -> bool {
        let floor = self.floors.get(&live.place.shard).copied().unwrap_or_default();
        let covers = self.covered.get(&live.place).map_or(0, |object| object.covers);
        live.seq < floor.max(covers)
    }
}

impl UsageReport {
    fn add(&mut self, place: &UsagePlace, object: &UsageObject) {
        let day = self.days.entry(place.day.clone()).or_default();
        for (key, sum) in &object.sums {
            day.entry(key.clone()).or_default().add_sum(*sum);
        }
    }
}
