//! Replicas of entries, held in memory for other hosts until they are committed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;

use crate::config::MAX_REPLICAS;
use crate::entry::EntryId;
use crate::message::HeldEntry;

/// A replica of an entry, held for the host that sent it.
#[derive(Clone, Debug)]
pub struct ReplicaEntry {
    pub held: HeldEntry,
    pub sender: EntryHostId,
    pub received_at: Instant,
    /// Whether the sender lost the entry in a restart.
    pub is_orphan: bool,
    review_at: Instant,
}

/// Replicas by id, with the times at which the journal next reviews each: checks whether its sender is still live.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    entries: BTreeMap<EntryId, ReplicaEntry>,
    reviews: BTreeSet<(Instant, EntryId)>,
}

impl ReplicaTable {
    /// Adds a replica, to be reviewed at `review_at`; false when the table is full.
    #[must_use]
    pub fn insert(
        &mut self,
        held: HeldEntry,
        sender: EntryHostId,
        now: Instant,
        review_at: Instant,
    ) -> bool {
        let id = held.entry.id();
        if self.entries.contains_key(&id) {
            return true;
        }
        if self.entries.len() >= MAX_REPLICAS {
            return false;
        }
        self.reviews.insert((review_at, id));
        self.entries.insert(
            id,
            ReplicaEntry { held, sender, received_at: now, is_orphan: false, review_at },
        );
        true
    }

    pub fn remove(&mut self, id: EntryId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.reviews.remove(&(entry.review_at, id));
        }
    }

    #[must_use]
    pub fn find(&self, id: EntryId) -> Option<&ReplicaEntry> {
        self.entries.get(&id)
    }

    /// Schedules the next review of a replica.
    pub fn review_at(&mut self, id: EntryId, at: Instant) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.reviews.remove(&(entry.review_at, id));
            entry.review_at = at;
            self.reviews.insert((at, id));
        }
    }

    /// Marks the replicas of a sender that lost its entries in a restart, and schedules a review of all replicas now.
    pub fn mark_orphaned(&mut self, sender: &EntryHostId, now: Instant) {
        let is_of = |entry: &&mut ReplicaEntry| entry.sender == *sender;
        for entry in self.entries.values_mut().filter(is_of) {
            entry.is_orphan = true;
        }
        self.review_all(now);
    }

    /// Schedules a review of every replica now.
    pub fn review_all(&mut self, now: Instant) {
        let ids: Vec<EntryId> = self.entries.keys().copied().collect();
        for id in ids {
            self.review_at(id, now);
        }
    }

    /// A replica whose review is due.
    #[must_use]
    pub fn due(&self, now: Instant) -> Option<EntryId> {
        self.reviews.first().filter(|(at, _)| *at <= now).map(|(_, id)| *id)
    }

    /// When the next review is due.
    #[must_use]
    pub fn next_review(&self) -> Option<Instant> {
        self.reviews.first().map(|(at, _)| *at)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
