//! Claims and bills on the object API.
//!
//! The journal is a sharded append-only log whose segments are written by conditional create. It is a plain state
//! machine: [`event::Event`]s and the present time go in, [`event::Effect`]s come out.
//!
//! [`Journal`] takes what the requests of one entry host need made durable. A shard's home, found by rendezvous
//! hashing, commits for all hosts in groups; this saves store calls but no safety rests on it, since two hosts that
//! write the same shard collide on the next sequence number. `docs/decisions/0003-journal.md` says what was weighed.

mod attempt;
mod compaction;
mod config;
mod cx;
mod delivery;
mod entry;
pub mod event;
mod floor;
mod gate;
mod journal;
mod ledger;
mod load;
mod message;
mod outbox;
mod own;
mod parked;
mod pending;
mod places;
mod serving;
mod shard;
mod snapshot;
mod stats;
mod upkeep;
mod usage;
mod usage_reader;

pub use config::CLAIM_RETENTION;
pub use config::JournalConfig;
pub use config::SHARDS_LARGE;
pub use config::SHARDS_TODAY;
pub use config::write_interval;
pub use entry::Entry;
pub use entry::EntryId;
pub use entry::Segment;
pub use entry::Seq;
pub use entry::ShardId;
pub use journal::Journal;
pub use message::EntryResult;
pub use message::HeldEntry;
pub use message::JournalMessage;
pub use message::Verdict;
pub use stats::JournalStats;
pub use stats::StoreCalls;
pub use usage::UsageKey;
pub use usage::UsageSum;
pub use usage_reader::UsageReader;
pub use usage_reader::UsageReport;
