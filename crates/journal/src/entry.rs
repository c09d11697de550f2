//! Entries of the log, the segments that hold them, and their keys in the object API.

use bytes::Bytes;
use foxtailhoist_model::Bill;
use foxtailhoist_model::Claim;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::stable_hash;
use serde::Deserialize;
use serde::Serialize;

/// Number of a shard.
pub type ShardId = u32;
/// Sequence number of a segment in its shard, starting at 0.
pub type Seq = u64;
/// Identifies one attempt to claim a key; unique to the host, its incarnation and the attempt.
pub type ClaimTag = u128;
/// Hash of a claim's key.
pub type ClaimHash = u128;
/// Hash of a bill's workspace and request.
pub type BillHash = u128;

const SHARD_SEED: u64 = 0x5ead;
const LOW_SEED: u64 = 0x10;
const HIGH_SEED: u64 = 0x41;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    Claim { claim: Claim, tag: ClaimTag },
    Outcome { key: ClaimKey, tag: ClaimTag, outcome: ClaimOutcome },
    Bill(Bill),
}

/// Identity of an entry; entries with the same id are duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EntryId {
    Claim(ClaimTag),
    Outcome(ClaimTag),
    Bill(BillHash),
}

/// Writer of a segment, by which a host distinguishes its own write from another's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    pub host: EntryHostId,
    pub incarnation: Incarnation,
    pub nonce: u64,
}

/// Body of one segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    pub writer: Writer,
    /// Time that the shard's log has been in use, in milliseconds; never ahead of real time.
    pub log_time: u64,
    pub entries: Vec<Entry>,
}

impl Entry {
    /// Identity of the entry.
    #[must_use]
    pub fn id(&self) -> EntryId {
        match self {
            Entry::Claim { tag, .. } => EntryId::Claim(*tag),
            Entry::Outcome { tag, .. } => EntryId::Outcome(*tag),
            Entry::Bill(bill) => EntryId::Bill(bill_hash(bill)),
        }
    }

    /// Shard that holds the entry.
    #[must_use]
    pub fn shard(&self, shards: u32) -> ShardId {
        let hash = match self {
            Entry::Claim { claim, .. } => key_shard_hash(&claim.key),
            Entry::Outcome { key, .. } => key_shard_hash(key),
            Entry::Bill(bill) => {
                let request = bill.request.to_le_bytes();
                stable_hash(SHARD_SEED, &[bill.workspace.as_bytes(), &request])
            }
        };
        (hash % u64::from(shards)) as ShardId
    }

    /// Whether a request waits for the entry's commit in the store.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        // A retry of the request asks for the outcome.
        matches!(self, Entry::Claim { .. } | Entry::Outcome { .. })
    }

    /// Whether the entry must be in the store before its request can go on, so that replicas do not suffice.
    #[must_use]
    pub fn needs_commit(&self) -> bool {
        matches!(self, Entry::Claim { .. })
    }

    /// Upper estimate of the encoded length, in bytes.
    #[must_use]
    pub fn encoded_estimate(&self) -> usize {
        const FIXED_BYTES: usize = 160;
        let variable = match self {
            Entry::Claim { claim, .. } => key_length(&claim.key),
            Entry::Outcome { key, outcome: ClaimOutcome::Ran { body, .. }, .. } => {
                // The body is encoded as an array of integers, each of at most two bytes.
                key_length(key) + 2 * body.len()
            }
            Entry::Outcome { key, .. } => key_length(key),
            Entry::Bill(bill) => bill.workspace.len(),
        };
        FIXED_BYTES + variable
    }
}

impl Segment {
    /// Encoded body.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let buf =
            rmp_serde::to_vec(self).expect("segments hold only types that MessagePack can encode");
        Bytes::from(buf)
    }

    /// Decodes the body of a segment object; `None` when it is malformed.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Segment> {
        rmp_serde::from_slice(value).ok()
    }
}

/// Hash of a claim's key.
#[must_use]
pub fn claim_hash(key: &ClaimKey) -> ClaimHash {
    wide_hash(&[key.workspace.as_bytes(), key.idempotency_key.as_bytes()])
}

/// Hash of a bill's workspace and request.
#[must_use]
pub fn bill_hash(bill: &Bill) -> BillHash {
    wide_hash(&[bill.workspace.as_bytes(), &bill.request.to_le_bytes()])
}

/// Key prefix of a shard's segments.
#[must_use]
pub fn segment_prefix(shard: ShardId) -> String {
    format!("journal/{shard:04}/")
}

/// Key of a segment.
#[must_use]
pub fn segment_key(shard: ShardId, seq: Seq) -> ObjectKey {
    format!("journal/{shard:04}/{seq:016}")
}

/// Sequence number in a segment's key.
#[must_use]
pub fn seq_of(key: &str) -> Option<Seq> {
    key.rsplit('/').next()?.parse().ok()
}

/// Key of a shard's floor.
#[must_use]
pub fn floor_key(shard: ShardId) -> ObjectKey {
    format!("floor/{shard:04}")
}

fn wide_hash(parts: &[&[u8]]) -> u128 {
    let low = u128::from(stable_hash(LOW_SEED, parts));
    let high = u128::from(stable_hash(HIGH_SEED, parts));
    high << 64 | low
}

fn key_shard_hash(key: &ClaimKey) -> u64 {
    stable_hash(SHARD_SEED, &[key.workspace.as_bytes(), key.idempotency_key.as_bytes()])
}

fn key_length(key: &ClaimKey) -> usize {
    key.workspace.len() + key.idempotency_key.len()
}
