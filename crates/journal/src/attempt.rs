//! One attempt to create the segment at a sequence number, till it is known who wrote that segment.
//!
//! A create whose answer was lost may still take effect later. Its entries stay undecided, and the same bytes with the
//! same nonce are sent for the same sequence number until a read or a conflict shows whose segment stands there. The
//! condition `Absent` lets at most one create of a name take effect, so a repeat is harmless.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::Condition;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;

use crate::cx::Cx;
use crate::entry::EntryId;
use crate::entry::Segment;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::entry::Writer;
use crate::entry::segment_key;
use crate::entry::seq_of;
use crate::event::CallId;
use crate::floor::FloorCheck;
use crate::load::contiguous;
use crate::load::list_segments;

/// Wait before a segment that must exist is read again.
const STALE_RETRY: Duration = Duration::from_millis(100);
/// Reads that miss a segment which must exist, after which the shard is loaded anew.
const STALE_READS: u32 = 10;

/// An attempt under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    shard: ShardId,
    seq: Seq,
    segment: Segment,
    body: Bytes,
    ids: Vec<EntryId>,
    /// When the create was first sent.
    sent_at: Option<Instant>,
    /// Only reads what stands at the sequence number.
    read_only: bool,
    /// An answer was lost: the create may have taken effect or may yet.
    may_land: bool,
    misses: u32,
    retry_at: Option<Instant>,
    step: Step,
}

#[derive(Clone, Debug)]
enum Step {
    Create,
    Creating(CallId),
    Read { exists: bool },
    Reading { call: CallId, exists: bool },
    Check { check: FloorCheck, found: Vec<Segment> },
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// These segments stand at the attempt's sequence number and after.
    Found { segments: Vec<Segment>, floor: Option<Seq> },
    /// Nothing took effect; `end_read` tells whether a read found no segment there.
    NotWritten { end_read: bool },
    /// The sequence number is below the floor, or its segment can't be found.
    Void { floor: Option<Seq> },
}

impl Attempt {
    /// Attempt to write a segment that holds the entries `ids`.
    #[must_use]
    pub fn new(shard: ShardId, seq: Seq, segment: Segment, ids: Vec<EntryId>) -> Attempt {
        Attempt {
            shard,
            seq,
            body: segment.encode(),
            segment,
            ids,
            sent_at: None,
            read_only: false,
            may_land: false,
            misses: 0,
            retry_at: None,
            step: Step::Create,
        }
    }

    /// Reads what others wrote at `seq` and after, and writes nothing.
    #[must_use]
    pub fn read(shard: ShardId, seq: Seq, writer: Writer) -> Attempt {
        let segment = Segment { writer, log_time: 0, entries: Vec::new() };
        let attempt = Attempt::new(shard, seq, segment, Vec::new());
        Attempt { read_only: true, step: Step::Read { exists: false }, ..attempt }
    }

    /// Entries of the segment.
    #[must_use]
    pub fn ids(&self) -> &[EntryId] {
        &self.ids
    }

    /// When the create was first sent.
    #[must_use]
    pub fn sent_at(&self) -> Option<Instant> {
        self.sent_at
    }

    /// When a read that missed its segment is repeated.
    #[must_use]
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Whether a segment is the one that this attempt writes.
    #[must_use]
    pub fn is_own(&self, segment: &Segment) -> bool {
        segment.writer == self.segment.writer
    }

    /// Whether a call is to be made as soon as one is admitted.
    #[must_use]
    pub fn wants_call(&self, now: Instant) -> bool {
        let is_idle = match &self.step {
            Step::Create | Step::Read { .. } => true,
            Step::Check { check, .. } => check.wants_call(),
            Step::Creating(_) | Step::Reading { .. } => false,
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
            Step::Create => {
                let op = || StoreOp::Put {
                    key: segment_key(self.shard, self.seq),
                    value: self.body.clone(),
                    condition: Condition::Absent,
                };
                if let Some(call) = cx.call(self.shard, op) {
                    self.sent_at.get_or_insert(cx.now);
                    self.step = Step::Creating(call);
                }
            }
            Step::Read { exists } => {
                let exists = *exists;
                if let Some(call) = cx.call(self.shard, || list_segments(self.shard, self.seq)) {
                    self.step = Step::Reading { call, exists };
                }
            }
            Step::Check { check, .. } => check.advance(cx),
            Step::Creating(_) | Step::Reading { .. } => {}
        }
    }

    /// Takes the result of a call. `is_fresh` tells whether no segment from this one on can have been deleted yet.
    #[must_use]
    pub fn finish(
        &mut self,
        call: CallId,
        result: &StoreResult,
        now: Instant,
        is_fresh: bool,
    ) -> Option<AttemptEnd> {
        match &mut self.step {
            Step::Creating(sent) if *sent == call => self.finish_create(result, is_fresh),
            Step::Reading { call: sent, exists } if *sent == call => {
                let exists = *exists;
                self.finish_read(result, exists, now, is_fresh)
            }
            Step::Check { check, found } => {
                let floor = check.finish(call, result)?;
                let segments = std::mem::take(found);
                if self.seq < floor {
                    return Some(AttemptEnd::Void { floor: Some(floor) });
                }
                Some(AttemptEnd::Found { segments, floor: Some(floor) })
            }
            _ => None,
        }
    }

    fn finish_create(&mut self, result: &StoreResult, is_fresh: bool) -> Option<AttemptEnd> {
        match result {
            Ok(StoreReply::Written(_)) => self.found(vec![self.segment.clone()], is_fresh),
            Ok(_) => {
                self.step = Step::Read { exists: true };
                None
            }
            Err(StoreError::Unknown) => {
                self.may_land = true;
                self.step = Step::Read { exists: false };
                None
            }
            Err(_) if self.may_land => {
                self.step = Step::Create;
                None
            }
            Err(_) => Some(AttemptEnd::NotWritten { end_read: false }),
        }
    }

    fn finish_read(
        &mut self,
        result: &StoreResult,
        exists: bool,
        now: Instant,
        is_fresh: bool,
    ) -> Option<AttemptEnd> {
        let Ok(StoreReply::Objects { objects, .. }) = result else {
            self.step = Step::Read { exists };
            return None;
        };
        let segments: Vec<Segment> =
            contiguous(objects, self.seq).into_iter().map(|(_, segment)| segment).collect();
        if !segments.is_empty() {
            return self.found(segments, is_fresh);
        }
        let goes_on = objects.iter().any(|object| seq_of(&object.key) > Some(self.seq));
        if self.read_only && goes_on {
            return Some(AttemptEnd::Void { floor: None });
        }
        if self.read_only {
            return Some(AttemptEnd::NotWritten { end_read: true });
        }
        if !exists {
            self.step = Step::Create;
            return None;
        }
        self.misses += 1;
        if self.misses >= STALE_READS {
            return Some(AttemptEnd::Void { floor: None });
        }
        self.retry_at = Some(now + STALE_RETRY);
        self.step = Step::Read { exists };
        None
    }

    /// Segments stand; they count once the floor is known not to be above them.
    fn found(&mut self, segments: Vec<Segment>, is_fresh: bool) -> Option<AttemptEnd> {
        if is_fresh {
            return Some(AttemptEnd::Found { segments, floor: None });
        }
        self.step = Step::Check { check: FloorCheck::new(self.shard), found: segments };
        None
    }
}
