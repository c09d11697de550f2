//! Settings of the journal, as a builder with defaults for today's sizes.

use std::time::Duration;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;

/// Shards of an installation of today's size.
pub const SHARDS_TODAY: u32 = 1;
/// Shards of an installation of 490 entry hosts.
pub const SHARDS_LARGE: u32 = 64;
/// How long a claim answers for its key.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(3600);
/// How long a shard keeps the ids of committed bills in memory and in snapshots.
pub const BILL_RETENTION: Duration = Duration::from_secs(120);
/// Most claims that a shard keeps; further ones are refused.
pub const CLAIMS_PER_SHARD: usize = 131_072;
/// Most ids of bills that a shard keeps within their retention.
pub const BILLS_PER_SHARD: usize = 1_048_576;
/// Most entries of this host that wait for their commit before new claims are refused.
pub const OWN_ENTRIES: usize = 131_072;
/// Most granted claims of this host without an outcome before new claims are refused.
pub const RUNNING_CLAIMS: usize = 16_384;
/// Most entries kept for other hosts.
pub const PARKED_ENTRIES: usize = 131_072;
/// Most entries that a shard's writer holds.
pub const PENDING_PER_SHARD: usize = 131_072;
/// Most entries of one segment.
pub const ENTRIES_PER_SEGMENT: usize = 1_000;
/// Largest encoded sum of entries of one segment, in bytes.
pub const SEGMENT_BYTES: usize = 500_000;
/// Most entries or ids of one message to a peer.
pub const BATCH_ENTRIES: usize = 256;
/// Largest sum of entries of one message to a peer, in bytes.
pub const BATCH_BYTES: usize = 65_536;
/// Longest head of an answer that an outcome keeps, in bytes.
pub const OUTCOME_BODY_BYTES: usize = 2_048;
/// Writes a second that all shards together may make; each takes an equal part.
pub const WRITES_PER_SECOND: f64 = 256.0;
/// Most and fewest writes a second of one shard, whatever its part.
pub const SHARD_WRITES_MOST: f64 = 16.0;
pub const SHARD_WRITES_FEWEST: f64 = 2.0;
/// Age of the last checked create beyond which the floor is read again. Well below [`CLAIM_RETENTION`].
pub const FRESH_BOUND: Duration = Duration::from_secs(600);
/// Age up to which a known end of the log is used for new entries. Well below [`BILL_RETENTION`].
pub const HEAD_AGE_LIMIT: Duration = Duration::from_secs(20);
/// Most time that the gap between two segments adds to a shard's log time.
pub const LOG_GAP_LIMIT: Duration = Duration::from_secs(10);

/// Settings of one journal.
#[derive(Clone, Debug)]
pub struct JournalConfig {
    pub(crate) host: EntryHostId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) incarnation: Incarnation,
    pub(crate) enforcement: Enforcement,
    pub(crate) shards: u32,
    pub(crate) claim_retention: Duration,
    pub(crate) bill_retention: Duration,
    pub(crate) fresh_bound: Duration,
    pub(crate) head_age_limit: Duration,
    pub(crate) write_interval: Duration,
    pub(crate) bill_window: Duration,
    pub(crate) bill_batch: usize,
    pub(crate) claim_wait: Duration,
    pub(crate) held_after: Duration,
    pub(crate) home_timeout: Duration,
    pub(crate) park_timeout: Duration,
    pub(crate) ask_owner_after: Duration,
    pub(crate) stop_timeout: Duration,
    pub(crate) store_calls_per_second: f64,
    pub(crate) store_burst: f64,
    pub(crate) snapshot_every: u64,
    pub(crate) compact_batch: usize,
    pub(crate) usage_parts: u32,
}

impl JournalConfig {
    /// Settings for an entry host; everything else has a default.
    #[must_use]
    pub fn new(host: &str, data_centre: &str, incarnation: Incarnation) -> JournalConfig {
        JournalConfig {
            host: host.to_owned(),
            data_centre: data_centre.to_owned(),
            incarnation,
            enforcement: Enforcement::Count,
            shards: SHARDS_TODAY,
            claim_retention: CLAIM_RETENTION,
            bill_retention: BILL_RETENTION,
            fresh_bound: FRESH_BOUND,
            head_age_limit: HEAD_AGE_LIMIT,
            write_interval: write_interval(SHARDS_TODAY),
            bill_window: Duration::from_secs(6),
            bill_batch: 500,
            claim_wait: Duration::from_secs(1),
            held_after: Duration::from_millis(400),
            home_timeout: Duration::from_millis(300),
            park_timeout: Duration::from_millis(100),
            ask_owner_after: Duration::from_secs(30),
            stop_timeout: Duration::from_secs(10),
            store_calls_per_second: 40.0,
            store_burst: 80.0,
            snapshot_every: 32,
            compact_batch: 64,
            usage_parts: 1,
        }
    }

    /// What a violated invariant does.
    #[must_use]
    pub fn enforcement(mut self, enforcement: Enforcement) -> JournalConfig {
        self.enforcement = enforcement;
        self
    }

    /// Number of shards; the same on every host for the life of the store.
    #[must_use]
    pub fn shards(mut self, shards: u32) -> JournalConfig {
        self.shards = shards.max(1);
        self.write_interval = write_interval(self.shards);
        self
    }

    /// Shortest time between two writes of a shard. `shards` sets it too.
    #[must_use]
    pub fn write_interval(mut self, write_interval: Duration) -> JournalConfig {
        self.write_interval = write_interval;
        self
    }

    /// How long claims and the ids of bills are kept, in log time.
    #[must_use]
    pub fn retention(mut self, claims: Duration, bills: Duration) -> JournalConfig {
        self.claim_retention = claims;
        self.bill_retention = bills.min(claims);
        self.fresh_bound = FRESH_BOUND.min(claims / 6);
        self.head_age_limit = HEAD_AGE_LIMIT.min(self.bill_retention / 6);
        self
    }

    /// Longest wait of a bill or an outcome for the group that is written with it.
    #[must_use]
    pub fn bill_window(mut self, bill_window: Duration) -> JournalConfig {
        self.bill_window = bill_window;
        self
    }

    /// Number of waiting entries at which a group is written before the window ends.
    #[must_use]
    pub fn bill_batch(mut self, bill_batch: usize) -> JournalConfig {
        self.bill_batch = bill_batch.clamp(1, ENTRIES_PER_SEGMENT);
        self
    }

    /// Longest wait of a request for its claim.
    #[must_use]
    pub fn claim_wait(mut self, claim_wait: Duration) -> JournalConfig {
        self.claim_wait = claim_wait;
        self
    }

    /// This host's share of the store's rate, in calls a second, and its burst in calls.
    #[must_use]
    pub fn store_share(mut self, calls_per_second: f64, burst: f64) -> JournalConfig {
        self.store_calls_per_second = calls_per_second.max(0.1);
        self.store_burst = burst.max(1.0);
        self
    }

    /// Segments between two snapshots of a shard.
    #[must_use]
    pub fn snapshot_every(mut self, segments: u64) -> JournalConfig {
        self.snapshot_every = segments.max(1);
        self
    }

    /// Segments that one compaction covers.
    #[must_use]
    pub fn compact_batch(mut self, segments: usize) -> JournalConfig {
        self.compact_batch = segments.max(1);
        self
    }

    /// Usage objects for each day and shard; the same on every host for the life of the store.
    #[must_use]
    pub fn usage_parts(mut self, parts: u32) -> JournalConfig {
        self.usage_parts = parts.max(1);
        self
    }

    /// Number of shards, for a reader of the bills.
    #[must_use]
    pub fn shard_count(&self) -> u32 {
        self.shards
    }

    /// Usage objects for each day and shard, for a reader of the bills.
    #[must_use]
    pub fn usage_part_count(&self) -> u32 {
        self.usage_parts
    }

    /// Longest time that a stop waits for commits.
    #[must_use]
    pub fn stop_timeout(mut self, stop_timeout: Duration) -> JournalConfig {
        self.stop_timeout = stop_timeout;
        self
    }
}

/// Shortest time between two writes of one of `shards` shards.
#[must_use]
pub fn write_interval(shards: u32) -> Duration {
    let part = WRITES_PER_SECOND / f64::from(shards);
    Duration::from_secs_f64(1.0 / part.clamp(SHARD_WRITES_FEWEST, SHARD_WRITES_MOST))
}
