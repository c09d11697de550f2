//! Settings of the journal, as a builder with defaults for a single shard.

use std::time::Duration;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;

/// Shards of an installation with the default settings.
pub const DEFAULT_SHARDS: u32 = 1;
/// Shards of an installation of 490 entry hosts.
pub const SHARDS_LARGE: u32 = 64;
/// How long a claim and its outcome are kept for retries of its key, in log time.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(3600);
/// How long a shard keeps the ids of committed bills in memory and in snapshots, in log time.
pub const BILL_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of claims that a shard keeps; further ones are refused.
pub const MAX_CLAIMS_PER_SHARD: usize = 131_072;
/// Maximum number of bill ids that a shard keeps within their retention.
pub const MAX_BILLS_PER_SHARD: usize = 1_048_576;
/// Number of uncommitted entries of this host at which new claims are refused.
pub const LOCAL_ENTRIES_THRESHOLD: usize = 131_072;
/// Number of granted claims of this host without an outcome at which new claims are refused.
pub const RUNNING_CLAIMS_THRESHOLD: usize = 16_384;
/// Maximum number of replicas held for other hosts.
pub const MAX_REPLICAS: usize = 131_072;
/// Maximum number of entries that wait in a shard's writer.
pub const MAX_PENDING_PER_SHARD: usize = 131_072;
/// Maximum number of entries in one segment.
pub const MAX_ENTRIES_PER_SEGMENT: usize = 1_000;
/// Maximum estimated encoded size of the entries of one segment, in bytes.
pub const MAX_SEGMENT_BYTES: usize = 500_000;
/// Maximum number of entries or ids in one message to a peer.
pub const MAX_BATCH_ENTRIES: usize = 256;
/// Maximum estimated encoded size of the entries of one message to a peer, in bytes.
pub const MAX_BATCH_BYTES: usize = 65_536;
/// Maximum length of the response body prefix stored in an outcome, in bytes.
pub const MAX_OUTCOME_BODY_BYTES: usize = 2_048;
/// Writes per second of all shards together, divided equally among them.
pub const TOTAL_WRITES_PER_SECOND: f64 = 256.0;
/// Upper bound of one shard's writes per second, whatever its share.
pub const MAX_SHARD_WRITES_PER_SECOND: f64 = 16.0;
/// Lower bound of one shard's writes per second, whatever its share.
pub const MIN_SHARD_WRITES_PER_SECOND: f64 = 2.0;
/// Age of the last successful create beyond which the floor is read again. Well below [`CLAIM_RETENTION`].
pub const FRESH_BOUND: Duration = Duration::from_secs(600);
/// Maximum age of a known end of the log that is used for new entries. Well below [`BILL_RETENTION`].
pub const HEAD_AGE_LIMIT: Duration = Duration::from_secs(20);
/// Maximum time that the gap between two segments adds to a shard's log time.
pub const MAX_LOG_GAP: Duration = Duration::from_secs(10);

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
    /// Age at which a bill that is neither committed nor replicated is reported as held.
    pub(crate) held_after: Duration,
    /// How long an owner may take to accept an entry or to report the end of its log.
    pub(crate) owner_timeout: Duration,
    /// How long a peer may take to confirm a replica before another peer is asked.
    pub(crate) replica_timeout: Duration,
    /// Age at which a replica's sender is asked whether the entry is committed.
    pub(crate) query_sender_after: Duration,
    pub(crate) stop_timeout: Duration,
    pub(crate) store_calls_per_second: f64,
    pub(crate) store_burst: f64,
    pub(crate) snapshot_every: u64,
    pub(crate) compact_batch: usize,
    pub(crate) usage_parts: u32,
}

impl JournalConfig {
    /// Creates the settings of an entry host, with defaults for everything else.
    #[must_use]
    pub fn new(host: &str, data_centre: &str, incarnation: Incarnation) -> JournalConfig {
        JournalConfig {
            host: host.to_owned(),
            data_centre: data_centre.to_owned(),
            incarnation,
            enforcement: Enforcement::Count,
            shards: DEFAULT_SHARDS,
            claim_retention: CLAIM_RETENTION,
            bill_retention: BILL_RETENTION,
            fresh_bound: FRESH_BOUND,
            head_age_limit: HEAD_AGE_LIMIT,
            write_interval: write_interval(DEFAULT_SHARDS),
            bill_window: Duration::from_secs(6),
            bill_batch: 500,
            claim_wait: Duration::from_secs(1),
            held_after: Duration::from_millis(400),
            owner_timeout: Duration::from_millis(300),
            replica_timeout: Duration::from_millis(100),
            query_sender_after: Duration::from_secs(30),
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

    /// Number of shards. Must be the same on every host and never change for a given store.
    #[must_use]
    pub fn shards(mut self, shards: u32) -> JournalConfig {
        self.shards = shards.max(1);
        self.write_interval = write_interval(self.shards);
        self
    }

    /// Minimum time between two writes of a shard. `shards` sets it too.
    #[must_use]
    pub fn write_interval(mut self, write_interval: Duration) -> JournalConfig {
        self.write_interval = write_interval;
        self
    }

    /// Retention of claims and of the ids of bills, in log time.
    #[must_use]
    pub fn retention(mut self, claims: Duration, bills: Duration) -> JournalConfig {
        self.claim_retention = claims;
        self.bill_retention = bills.min(claims);
        self.fresh_bound = FRESH_BOUND.min(claims / 6);
        self.head_age_limit = HEAD_AGE_LIMIT.min(self.bill_retention / 6);
        self
    }

    /// Maximum time that a bill or an outcome waits for its group to be written.
    #[must_use]
    pub fn bill_window(mut self, bill_window: Duration) -> JournalConfig {
        self.bill_window = bill_window;
        self
    }

    /// Number of waiting entries at which a group is written before its window ends.
    #[must_use]
    pub fn bill_batch(mut self, bill_batch: usize) -> JournalConfig {
        self.bill_batch = bill_batch.clamp(1, MAX_ENTRIES_PER_SEGMENT);
        self
    }

    /// Maximum time that a request waits for its claim.
    #[must_use]
    pub fn claim_wait(mut self, claim_wait: Duration) -> JournalConfig {
        self.claim_wait = claim_wait;
        self
    }

    /// This host's share of the store's rate limit: calls per second and burst.
    #[must_use]
    pub fn store_share(mut self, calls_per_second: f64, burst: f64) -> JournalConfig {
        self.store_calls_per_second = calls_per_second.max(0.1);
        self.store_burst = burst.max(1.0);
        self
    }

    /// Number of segments between two snapshots of a shard.
    #[must_use]
    pub fn snapshot_every(mut self, segments: u64) -> JournalConfig {
        self.snapshot_every = segments.max(1);
        self
    }

    /// Minimum number of segments that one compaction covers.
    #[must_use]
    pub fn compact_batch(mut self, segments: usize) -> JournalConfig {
        self.compact_batch = segments.max(1);
        self
    }

    /// Usage objects per day and shard. Must be the same on every host and never change for a given store.
    #[must_use]
    pub fn usage_parts(mut self, parts: u32) -> JournalConfig {
        self.usage_parts = parts.max(1);
        self
    }

    /// Number of shards, as [`UsageReader`](crate::UsageReader) requires it.
    #[must_use]
    pub fn shard_count(&self) -> u32 {
        self.shards
    }

    /// Usage objects per day and shard, as [`UsageReader`](crate::UsageReader) requires it.
    #[must_use]
    pub fn usage_part_count(&self) -> u32 {
        self.usage_parts
    }

    /// Maximum duration of a stop; it then completes even if entries are neither committed nor replicated.
    #[must_use]
    pub fn stop_timeout(mut self, stop_timeout: Duration) -> JournalConfig {
        self.stop_timeout = stop_timeout;
        self
    }
}

/// Minimum time between two writes of one shard out of `shards`.
#[must_use]
pub fn write_interval(shards: u32) -> Duration {
    let part = TOTAL_WRITES_PER_SECOND / f64::from(shards);
    Duration::from_secs_f64(
        1.0 / part.clamp(MIN_SHARD_WRITES_PER_SECOND, MAX_SHARD_WRITES_PER_SECOND),
    )
}
