//! Claims and bills on the object API.
//!
//! The journal is a sharded append-only log whose segments are written by conditional create. It is a pure state
//! machine that performs no I/O: [`event::Event`]s and the current time go in, [`event::Effect`]s come out.
//!
//! [`Journal`] makes the claims, outcomes and bills of one entry host durable. Each shard has an owner, chosen by
//! rendezvous hashing, that commits the entries of all hosts in groups. This saves store calls but is not needed for
//! safety: two hosts that write the same shard collide on the next sequence number. The alternatives considered are in
//! `docs/decisions/0003-journal.md`.

mod attempt;
mod compaction;
mod config;
mod cx;
mod delivery;
mod entry;
pub mod event;
mod floor;
mod gate;
mod host_table;
mod journal;
mod ledger;
mod load;
mod local;
mod maintenance;
mod message;
mod outbox;
mod peer_messages;
mod pending;
mod replicas;
mod shard;
mod snapshot;
mod stats;
mod usage;
mod usage_reader;

pub use config::CLAIM_RETENTION;
pub use config::DEFAULT_SHARDS;
pub use config::JournalConfig;
pub use config::SHARDS_LARGE;
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
