//! Messages between the journals of entry hosts.
//!
//! Every list is bounded by [`MAX_BATCH_ENTRIES`](crate::config::MAX_BATCH_ENTRIES). Entries carry ids, so a duplicated
//! or reordered message is harmless.

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
    /// To a shard's owner: commit these entries.
    Append { entries: Vec<HeldEntry> },
    /// From the owner: it holds these entries in memory until they are committed.
    Accepted { ids: Vec<EntryId> },
    /// From the owner: it cannot commit these entries now; the sender writes the shard itself.
    Declined { ids: Vec<EntryId> },
    /// From the owner: verdicts of entries.
    Appended { results: Vec<EntryResult> },
    /// To the owner: asks for the end of the log.
    HeadQuery { shard: ShardId },
    /// From the owner: entries created from now on are not in a segment below `head`.
    Head { shard: ShardId, head: Seq },
    /// To a peer: hold replicas of these entries in memory until they are committed.
    Park { entries: Vec<HeldEntry> },
    /// From a peer: it holds replicas of these entries. Repeated to ask whether they are committed.
    Parked { ids: Vec<EntryId> },
    /// To a peer: this host started and no longer holds anything from before its start.
    Started { incarnation: Incarnation },
    /// From a peer: acknowledges `Started`.
    StartSeen { incarnation: Incarnation },
    /// To a peer: drop the replicas of these entries.
    Release { ids: Vec<EntryId> },
}

/// An entry that is not known to be committed, with a lower bound of its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEntry {
    pub entry: Entry,
    /// The entry is in no segment below this one; `None` when the end of the log was unknown.
    pub since: Option<Seq>,
}

/// An entry's id and the verdict on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryResult {
    pub id: EntryId,
    pub verdict: Verdict,
}

/// Final result of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// A bill or an outcome is in the log.
    Committed,
    /// The log decided a claim.
    Claim(ClaimResult),
    /// The entry is too old to determine whether it is in the log; it is dropped and counted.
    Expired,
}
