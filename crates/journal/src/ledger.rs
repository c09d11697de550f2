//! State of one shard's log: its claims and recent bills, built by applying its segments in order.
//!
//! A ledger is a pure function of the segments below `next_seq`. Positive facts (a bill is committed, a key is
//! claimed) stay true when the ledger is out of date, so they may be answered at once. Everything else has to be
//! written, and the conditional create shows whether the ledger was up to date.
//!
//! Retention is measured in log time, which each segment carries: the writer adds the time since it read the previous
//! segment, on its own monotonic clock and at most `MAX_LOG_GAP`. So log time never runs ahead of real time, needs no
//! synchronised clocks, and hardly advances while the store is down.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Invariants;
use serde::Deserialize;
use serde::Serialize;

use crate::config::MAX_BILLS_PER_SHARD;
use crate::config::MAX_CLAIMS_PER_SHARD;
use crate::config::MAX_ENTRIES_PER_SEGMENT;
use crate::config::MAX_LOG_GAP;
use crate::entry::BillHash;
use crate::entry::ClaimHash;
use crate::entry::ClaimTag;
use crate::entry::Entry;
use crate::entry::Segment;
use crate::entry::Seq;
use crate::entry::bill_hash;
use crate::entry::claim_hash;
use crate::message::HeldEntry;
use crate::message::Verdict;

/// How long a ledger keeps claims and bills, in log time.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    pub claims: Duration,
    pub bills: Duration,
}

/// A claim that won its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    pub tag: ClaimTag,
    /// Hash of the request's content.
    pub content: u64,
    pub outcome: Option<ClaimOutcome>,
    /// Log time of the claim, in milliseconds.
    pub log_time: u64,
}

/// A bill in a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRecord {
    pub id: BillHash,
    pub seq: Seq,
    /// Log time of the segment, in milliseconds.
    pub log_time: u64,
}

/// Decision of a ledger on an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    Decided(Verdict),
    /// Only a write to the log can decide the entry.
    Write,
    /// The ledger must first be extended back to this segment, since the entry may be older than its bills.
    LoadFrom(Seq),
}

/// State built from a shard's segments.
#[derive(Clone, Debug)]
pub struct Ledger {
    retention: Retention,
    next_seq: Seq,
    log_time: u64,
    last_read_at: Option<Instant>,
    claims: BTreeMap<ClaimHash, ClaimRecord>,
    claim_order: VecDeque<(u64, ClaimHash)>,
    bills: BTreeSet<BillHash>,
    bill_order: VecDeque<BillRecord>,
    /// Bills of every segment from this one on are known.
    bills_from: Seq,
    /// Bills of segments from this one on are kept past their retention.
    keep_bills_from: Option<Seq>,
    floor: Seq,
}

impl ClaimRecord {
    /// Length of the stored response body prefix, in bytes.
    #[must_use]
    pub fn body_length(&self) -> usize {
        match &self.outcome {
            Some(ClaimOutcome::Ran { body, .. }) => body.len(),
            Some(ClaimOutcome::NotRun) | None => 0,
        }
    }
}

impl Ledger {
    /// Creates a ledger with no segments applied.
    #[must_use]
    pub fn new(retention: Retention) -> Ledger {
        Ledger {
            retention,
            next_seq: 0,
            log_time: 0,
            last_read_at: None,
            claims: BTreeMap::new(),
            claim_order: VecDeque::new(),
            bills: BTreeSet::new(),
            bill_order: VecDeque::new(),
            bills_from: 0,
            keep_bills_from: None,
            floor: 0,
        }
    }

    /// Restores a ledger up to `next_seq` from the contents of a snapshot.
    #[must_use]
    pub fn restore(
        retention: Retention,
        next_seq: Seq,
        log_time: u64,
        bills_from: Seq,
        claims: Vec<(ClaimHash, ClaimRecord)>,
        bills: Vec<BillRecord>,
    ) -> Ledger {
        let mut claim_order: Vec<(u64, ClaimHash)> =
            claims.iter().map(|(hash, record)| (record.log_time, *hash)).collect();
        claim_order.sort_unstable();
        Ledger {
            next_seq,
            log_time,
            bills_from,
            claims: claims.into_iter().collect(),
            claim_order: claim_order.into(),
            bills: bills.iter().map(|bill| bill.id).collect(),
            bill_order: bills.into(),
            ..Ledger::new(retention)
        }
    }

    /// First segment that is not applied.
    #[must_use]
    pub fn next_seq(&self) -> Seq {
        self.next_seq
    }

    /// Log time of the last segment, in milliseconds.
    #[must_use]
    pub fn log_time(&self) -> u64 {
        self.log_time
    }

    /// Bills of every segment from this one on are known.
    #[must_use]
    pub fn bills_from(&self) -> Seq {
        self.bills_from
    }

    /// Highest known floor.
    #[must_use]
    pub fn floor(&self) -> Seq {
        self.floor
    }

    /// Retained claims.
    pub fn claims(&self) -> impl Iterator<Item = (ClaimHash, &ClaimRecord)> {
        self.claims.iter().map(|(hash, record)| (*hash, record))
    }

    /// Retained bills, oldest first.
    pub fn bills(&self) -> impl Iterator<Item = &BillRecord> {
        self.bill_order.iter()
    }

    /// Raises the known floor.
    pub fn raise_floor(&mut self, floor: Seq) {
        self.floor = self.floor.max(floor);
    }

    /// Records that the log was read up to `next_seq` at `now`.
    pub fn mark_read(&mut self, now: Instant) {
        self.last_read_at = Some(now);
    }

    /// Log time for a segment that is written now.
    #[must_use]
    pub fn log_time_at(&self, now: Instant) -> u64 {
        let gap = self.last_read_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.log_time + gap.min(MAX_LOG_GAP).as_millis() as u64
    }

    /// Decides an entry, as far as the applied segments allow.
    #[must_use]
    pub fn decide(&self, held: &HeldEntry) -> Decision {
        match &held.entry {
            Entry::Claim { claim, tag } => {
                self.decide_claim(claim_hash(&claim.key), claim.content, *tag)
            }
            Entry::Outcome { key, tag, .. } => {
                let record = self.claims.get(&claim_hash(key));
                let recorded =
                    record.is_some_and(|record| record.tag == *tag && record.outcome.is_some());
                if recorded { Decision::Decided(Verdict::Committed) } else { Decision::Write }
            }
            Entry::Bill(bill) if self.bills.contains(&bill_hash(bill)) => {
                Decision::Decided(Verdict::Committed)
            }
            Entry::Bill(_) => self.decide_bill(held.since),
        }
    }

    /// Applies the segment at `next_seq`.
    pub fn apply(&mut self, segment: &Segment, now: Instant, invariants: &mut Invariants) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.log_time = self.log_time.max(segment.log_time);
        self.last_read_at = Some(now);
        for entry in &segment.entries {
            self.apply_entry(seq, entry, invariants);
        }
        self.evict();
        let (claims, bills) = (self.claims.len(), self.bills.len());
        let within = claims <= MAX_CLAIMS_PER_SHARD + MAX_ENTRIES_PER_SEGMENT
            && bills <= MAX_BILLS_PER_SHARD;
        invariants.check(Invariant::TablesBounded, within, || {
            format!("a shard keeps {claims} claims and {bills} bills")
        });
    }

    /// Adds the bills of segments from `from` on that are below `next_seq`, and keeps them past their retention.
    pub fn extend_bills(&mut self, from: Seq, segments: &[(Seq, Segment)]) {
        let range = from..self.next_seq;
        for (seq, segment) in segments.iter().filter(|(seq, _)| range.contains(seq)) {
            for entry in &segment.entries {
                if let Entry::Bill(bill) = entry {
                    self.insert_bill(*seq, segment.log_time, bill_hash(bill));
                }
            }
        }
        self.bill_order.make_contiguous().sort_by_key(|bill| bill.seq);
        self.bills_from = self.bills_from.min(from);
        self.keep_bills_from = Some(from);
    }

    /// Allows the bills that `extend_bills` added to be evicted at the next segment.
    pub fn end_extension(&mut self) {
        self.keep_bills_from = None;
    }

    /// Decides a bill that is not among the retained ones.
    fn decide_bill(&self, since: Option<Seq>) -> Decision {
        let since = since.unwrap_or(self.floor);
        if since >= self.bills_from {
            Decision::Write
        } else if since >= self.floor {
            Decision::LoadFrom(since)
        } else {
            Decision::Decided(Verdict::Expired)
        }
    }

    fn decide_claim(&self, hash: ClaimHash, content: u64, tag: ClaimTag) -> Decision {
        let Some(record) = self.claims.get(&hash) else {
            if self.claims.len() >= MAX_CLAIMS_PER_SHARD {
                return Decision::Decided(Verdict::Claim(ClaimResult::Unavailable));
            }
            return Decision::Write;
        };
        let result = match &record.outcome {
            None if record.tag == tag => ClaimResult::Granted,
            Some(outcome) if record.tag == tag => ClaimResult::Recorded(outcome.clone()),
            Some(ClaimOutcome::NotRun) => return Decision::Write,
            _ if record.content != content => ClaimResult::ContentDiffers,
            Some(outcome) => ClaimResult::Recorded(outcome.clone()),
            None => ClaimResult::Undecided,
        };
        Decision::Decided(Verdict::Claim(result))
    }

    fn apply_entry(&mut self, seq: Seq, entry: &Entry, invariants: &mut Invariants) {
        match entry {
            Entry::Claim { claim, tag } => {
                let hash = claim_hash(&claim.key);
                let free = self
                    .claims
                    .get(&hash)
                    .is_none_or(|record| record.outcome == Some(ClaimOutcome::NotRun));
                invariants.check(Invariant::AtMostOneRunPerKey, free, || {
                    format!("segment {seq} claims {:?} a second time", claim.key)
                });
                let record = ClaimRecord {
                    tag: *tag,
                    content: claim.content,
                    outcome: None,
                    log_time: self.log_time,
                };
                self.claims.insert(hash, record);
                self.claim_order.push_back((self.log_time, hash));
            }
            Entry::Outcome { key, tag, outcome } => {
                let record = self.claims.get_mut(&claim_hash(key));
                if let Some(record) = record.filter(|record| record.tag == *tag) {
                    record.outcome.get_or_insert_with(|| outcome.clone());
                }
            }
            Entry::Bill(bill) => {
                let hash = bill_hash(bill);
                invariants.check(Invariant::OneBillPerAnswer, !self.bills.contains(&hash), || {
                    format!("segment {seq} bills request {} a second time", bill.request)
                });
                self.insert_bill(seq, self.log_time, hash);
            }
        }
    }

    fn insert_bill(&mut self, seq: Seq, log_time: u64, id: BillHash) {
        if self.bills.insert(id) {
            self.bill_order.push_back(BillRecord { id, seq, log_time });
        }
    }

    /// Evicts claims and bills that are past their retention.
    fn evict(&mut self) {
        let oldest_claim = self.log_time.saturating_sub(self.retention.claims.as_millis() as u64);
        while let Some((log_time, hash)) =
            self.claim_order.pop_front_if(|(at, _)| *at < oldest_claim)
        {
            let is_current =
                self.claims.get(&hash).is_some_and(|record| record.log_time == log_time);
            if is_current {
                self.claims.remove(&hash);
            }
        }
        let oldest_bill = self.log_time.saturating_sub(self.retention.bills.as_millis() as u64);
        let keep_from = self.keep_bills_from.unwrap_or(Seq::MAX);
        let expired = |bill: &mut BillRecord| bill.log_time < oldest_bill && bill.seq < keep_from;
        while let Some(bill) = self.bill_order.pop_front_if(expired) {
            self.bills.remove(&bill.id);
            self.bills_from = self.bills_from.max(bill.seq + 1);
        }
    }
}
