//! Messages between the journals of entry hosts.
//!
//! Every list is bounded by [`BATCH_ENTRIES`](crate::config::BATCH_ENTRIES). Entries carry ids, so a repeated or
//! crossed message is harmless.

use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use crate::entry::EntryId;
use crate::entry::Seq;
use crate::entry::ShardId;

/// A message between journals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalMessage {
    /// To a shard's home: commit these.
    Append { entries: Vec<HeldEntry> },
    /// From the home: it keeps these in memory until they are committed.
    Accepted { ids: Vec<EntryId> },
    /// From the home: it can't commit these now; the sender writes the shard itself.
    Declined { ids: Vec<EntryId> },
    /// From the home: these are decided.
    Appended { results: Vec<EntryResult> },
    /// To the home: where does the log end?
    HeadQuery { shard: ShardId },
    /// From the home: entries made from now on are not in a segment below `head`.
    Head { shard: ShardId, head: Seq },
    /// To a peer: keep these in memory until they are committed.
    Park { entries: Vec<HeldEntry> },
    /// From a peer: it keeps these.
    Parked { ids: Vec<EntryId> },
    /// To a peer: this host started and keeps nothing that it kept before.
    Started { incarnation: Incarnation },
    /// From a peer: it knows of the start.
    StartSeen { incarnation: Incarnation },
    /// To a peer: these are committed.
    Release { ids: Vec<EntryId> },
}

/// An entry that is not known to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEntry {
    pub entry: Entry,
    /// The entry is in no segment below this one; `None` when the log's end was not known.
    pub since: Option<Seq>,
}

/// What became of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryResult {
    pub id: EntryId,
    pub verdict: Verdict,
}

/// How an entry was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// A bill or an outcome is in the log.
    Committed,
    /// A claim is decided by the log.
    Claim(ClaimResult),
    /// Too old to tell whether it is in the log; it is dropped and counted.
    Expired,
}
