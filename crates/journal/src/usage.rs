//! Daily sums of bills, which are kept after the segments that held the bills are deleted.
//!
//! `usage/<day>/<shard>/<part>` sums the bills of one day, one shard and the workspaces of one part. The object also
//! records up to which segment it covers, and both change in one conditional update: a compaction that is retried, or
//! performed by two hosts, adds only the bills that are not yet covered.

use std::collections::BTreeMap;
use std::time::SystemTime;

use bytes::Bytes;
use foxtailhoist_model::Bill;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_model::stable_hash;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::Seq;
use crate::entry::ShardId;

/// Key prefix of all usage objects.
pub const USAGE_PREFIX: &str = "usage/";
const PART_SEED: u64 = 0x9a7;
const SECONDS_PER_DAY: u64 = 86_400;

/// Grouping key of the sums.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageKey {
    pub workspace: WorkspaceId,
    /// `None` for a plain service.
    pub model_version: Option<ModelVersion>,
}

/// Sum of bills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSum {
    pub bills: u64,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
}

/// Body of a usage object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageObject {
    /// Bills of segments below this one are included in the sums.
    pub covers: Seq,
    pub sums: BTreeMap<UsageKey, UsageSum>,
}

/// Identifies a usage object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageObjectId {
    /// Date in UTC, as in 2026-03-01.
    pub day: String,
    pub shard: ShardId,
    pub part: u32,
}

impl UsageObject {
    /// Adds a bill.
    pub fn add(&mut self, bill: &Bill) {
        let key = UsageKey {
            workspace: bill.workspace.clone(),
            model_version: bill.model_version.clone(),
        };
        self.sums.entry(key).or_default().add(bill);
    }

    #[must_use]
    pub fn encode(&self) -> Bytes {
        Bytes::from(
            rmp_serde::to_vec(self)
                .expect("usage objects hold only types that MessagePack can encode"),
        )
    }

    #[must_use]
    pub fn decode(value: &[u8]) -> Option<UsageObject> {
        rmp_serde::from_slice(value).ok()
    }
}

impl UsageSum {
    /// Adds a bill.
    pub fn add(&mut self, bill: &Bill) {
        self.bills += 1;
        self.prompt_tokens += u64::from(bill.usage.prompt_tokens);
        self.output_tokens += u64::from(bill.usage.output_tokens);
    }

    /// Adds another sum.
    pub fn add_sum(&mut self, other: UsageSum) {
        self.bills += other.bills;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
    }
}

impl UsageObjectId {
    /// Identifier of the object that includes a bill of a shard.
    #[must_use]
    pub fn of(bill: &Bill, shard: ShardId, parts: u32) -> UsageObjectId {
        let hash = stable_hash(PART_SEED, &[bill.workspace.as_bytes()]);
        let part = (hash % u64::from(parts)) as u32;
        UsageObjectId { day: day_of(bill.at), shard, part }
    }

    /// Key of the object.
    #[must_use]
    pub fn key(&self) -> ObjectKey {
        format!("{USAGE_PREFIX}{}/{:04}/{:04}", self.day, self.shard, self.part)
    }

    /// Parses the key of a usage object.
    #[must_use]
    pub fn parse(key: &str) -> Option<UsageObjectId> {
        let mut parts = key.strip_prefix(USAGE_PREFIX)?.split('/');
        let day = parts.next()?.to_owned();
        let shard = parts.next()?.parse().ok()?;
        let part = parts.next()?.parse().ok()?;
        Some(UsageObjectId { day, shard, part })
    }
}

/// Date in UTC.
#[must_use]
pub fn day_of(at: SystemTime) -> String {
    let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    date_of((since_epoch.as_secs() / SECONDS_PER_DAY) as i64)
}

/// Date a number of days after 1970-01-01, by Hinnant's `civil_from_days` algorithm.
fn date_of(days: i64) -> String {
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let day_of_era = shifted.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = era * 400 + year_of_era + i64::from(month <= 2);
    format!("{year:04}-{month:02}-{day:02}")
}
