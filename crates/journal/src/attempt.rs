//! One attempt to create the segment at a sequence number, until it is known who wrote that segment.
//!
//! A create whose response was lost may still take effect later. Its entries stay undecided, and the same bytes with
//! the same nonce are resent for the same sequence number until a read or a conflict shows whose segment exists there.
//! The condition `Absent` lets at most one create of a key take effect, so a retry is harmless.

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

/// Delay before a segment that is known to exist is read again.
const STALE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Reads that miss a segment known to exist before the shard is reloaded.
const MAX_STALE_READS: u32 = 10;

/// An attempt in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    shard: ShardId,
    seq: Seq,
    segment: Segment,
    body: Bytes,
    ids: Vec<EntryId>,
    /// When the create was first sent.
    sent_at: Option<Instant>,
    /// Only reads the segments at the sequence number and after.
    read_only: bool,
    /// A response was lost: the create may have taken effect or may still do so.
    may_take_effect: bool,
    misses: u32,
    retry_at: Option<Instant>,
    step: Step,
}

/// Next or current call. `exists` means that a conflict showed a segment at the sequence number: a read that misses it
/// is stale, or the segment has been deleted.
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
    /// Segments found at the attempt's sequence number and after.
    Found { segments: Vec<Segment>, floor: Option<Seq> },
    /// The create did not take effect; `end_read` is true when a read found no segment there.
    NotWritten { end_read: bool },
    /// The sequence number is below the floor, or its segment is missing although it or a later one is known to exist.
    Void { floor: Option<Seq> },
}

impl Attempt {
    /// Creates an attempt to write a segment that holds the entries `ids`.
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
            may_take_effect: false,
            misses: 0,
            retry_at: None,
            step: Step::Create,
        }
    }

    /// Creates an attempt that only reads the segments at `seq` and after.
    #[must_use]
    pub fn read(shard: ShardId, seq: Seq, writer: Writer) -> Attempt {
        let segment = Segment { writer, log_time: 0, entries: Vec::new() };
        let attempt = Attempt::new(shard, seq, segment, Vec::new());
        Attempt { read_only: true, step: Step::Read { exists: false }, ..attempt }
    }

    /// Ids of the entries in the segment.
    #[must_use]
    pub fn ids(&self) -> &[EntryId] {
        &self.ids
    }

    /// When the create was first sent.
    #[must_use]
    pub fn sent_at(&self) -> Option<Instant> {
        self.sent_at
    }

    /// When a read that missed its segment is retried.
    #[must_use]
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Whether a segment was written by this attempt.
    #[must_use]
    pub fn is_own(&self, segment: &Segment) -> bool {
        segment.writer == self.segment.writer
    }

    /// Whether a call is due as soon as the gate admits one.
    #[must_use]
    pub fn needs_call(&self, now: Instant) -> bool {
        let is_idle = match &self.step {
            Step::Create | Step::Read { .. } => true,
            Step::Check { check, .. } => check.needs_call(),
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

    /// Handles the result of a call. `is_fresh` means that no segment from this one on can have been deleted yet.
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
            Ok(StoreReply::Written(_)) => self.accept_found(vec![self.segment.clone()], is_fresh),
            Ok(_) => {
                self.step = Step::Read { exists: true };
                None
            }
            Err(StoreError::Unknown) => {
                self.may_take_effect = true;
                self.step = Step::Read { exists: false };
                None
            }
            Err(_) if self.may_take_effect => {
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
            return self.accept_found(segments, is_fresh);
        }
        let log_continues = objects.iter().any(|object| seq_of(&object.key) > Some(self.seq));
        if self.read_only && log_continues {
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
        if self.misses >= MAX_STALE_READS {
            return Some(AttemptEnd::Void { floor: None });
        }
        self.retry_at = Some(now + STALE_RETRY_DELAY);
        self.step = Step::Read { exists };
        None
    }

    /// Accepts the segments found, after confirming that the floor is not above them unless `is_fresh`.
    fn accept_found(&mut self, segments: Vec<Segment>, is_fresh: bool) -> Option<AttemptEnd> {
        if is_fresh {
            return Some(AttemptEnd::Found { segments, floor: None });
        }
        self.step = Step::Check { check: FloorCheck::new(self.shard), found: segments };
        None
    }
}
