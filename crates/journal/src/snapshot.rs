//! Snapshots of a shard's ledger, so that a load reads one snapshot and a few segments.
//!
//! A snapshot is keyed by the first segment that it does not cover and split into numbered parts below the store's
//! value limit. Part 0 is written last; an incomplete snapshot is not used. A paused host can only add an older
//! snapshot, and deletes only snapshots older than its own.

use bytes::Bytes;
use foxtailhoist_model::Object;
use foxtailhoist_model::ObjectKey;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::ClaimHash;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::ledger::BillRecord;
use crate::ledger::ClaimRecord;
use crate::ledger::Ledger;
use crate::ledger::Retention;

/// Maximum estimated size of a part, in bytes; the store's limit is 1,000,000.
const MAX_PART_BYTES: usize = 600_000;
const BILL_BYTES_ESTIMATE: usize = 40;
const CLAIM_BYTES_ESTIMATE: usize = 64;

/// One part of a snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SnapshotPart {
    pub next_seq: Seq,
    pub log_time: u64,
    pub bills_from: Seq,
    /// Distinguishes the snapshots of different writers.
    pub nonce: u64,
    pub parts: u32,
    pub claims: Vec<(ClaimHash, ClaimRecord)>,
    pub bills: Vec<BillRecord>,
}

impl SnapshotPart {
    fn name(&self) -> (Seq, u64) {
        (self.next_seq, self.nonce)
    }
}

/// Key prefix of a shard's snapshots.
#[must_use]
pub fn prefix(shard: ShardId) -> String {
    format!("snapshot/{shard:04}/")
}

/// Key prefix of the snapshots that cover the segments below `next_seq`.
#[must_use]
pub fn part_prefix(shard: ShardId, next_seq: Seq) -> String {
    format!("snapshot/{shard:04}/{next_seq:016}-")
}

/// Key of a part.
#[must_use]
pub fn part_key(shard: ShardId, next_seq: Seq, nonce: u64, part: usize) -> ObjectKey {
    format!("snapshot/{shard:04}/{next_seq:016}-{nonce:016x}/{part:04}")
}

/// Encodes a ledger as the parts of a snapshot, in order.
#[must_use]
pub fn encode(ledger: &Ledger, nonce: u64) -> Vec<Bytes> {
    let mut parts = split(ledger);
    let count = parts.len() as u32;
    for part in &mut parts {
        part.parts = count;
        part.nonce = nonce;
    }
    let encode = |part: &SnapshotPart| {
        rmp_serde::to_vec(part).expect("snapshots hold only types that MessagePack can encode")
    };
    parts.iter().map(|part| Bytes::from(encode(part))).collect()
}

/// Restores the ledger of the latest complete snapshot among listed objects.
#[must_use]
pub fn latest(objects: &[Object], retention: Retention) -> Option<Ledger> {
    let parts: Vec<SnapshotPart> =
        objects.iter().filter_map(|object| rmp_serde::from_slice(&object.value).ok()).collect();
    let is_complete = |candidate: &&SnapshotPart| {
        let found = parts.iter().filter(|part| part.name() == candidate.name()).count();
        found == candidate.parts as usize
    };
    let newest = parts.iter().filter(is_complete).max_by_key(|part| part.name())?;
    let of_newest = || parts.iter().filter(|part| part.name() == newest.name());
    Some(Ledger::restore(
        retention,
        newest.next_seq,
        newest.log_time,
        newest.bills_from,
        of_newest().flat_map(|part| part.claims.clone()).collect(),
        of_newest().flat_map(|part| part.bills.clone()).collect(),
    ))
}

fn split(ledger: &Ledger) -> Vec<SnapshotPart> {
    let empty = SnapshotPart {
        next_seq: ledger.next_seq(),
        log_time: ledger.log_time(),
        bills_from: ledger.bills_from(),
        ..SnapshotPart::default()
    };
    let mut parts = vec![empty.clone()];
    let mut length = 0;
    let mut reserve = |parts: &mut Vec<SnapshotPart>, bytes: usize| {
        if length + bytes > MAX_PART_BYTES {
            parts.push(empty.clone());
            length = 0;
        }
        length += bytes;
    };
    for (hash, record) in ledger.claims() {
        reserve(&mut parts, CLAIM_BYTES_ESTIMATE + record.body_length() * 2);
        parts.last_mut().expect("there is at least one part").claims.push((hash, record.clone()));
    }
    for bill in ledger.bills() {
        reserve(&mut parts, BILL_BYTES_ESTIMATE);
        parts.last_mut().expect("there is at least one part").bills.push(*bill);
    }
    parts
}
