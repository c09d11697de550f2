//! Entries kept in memory for other hosts until they are committed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;

use crate::config::PARKED_ENTRIES;
use crate::entry::EntryId;
use crate::message::HeldEntry;

/// An entry kept for its owner.
#[derive(Clone, Debug)]
pub struct ParkedEntry {
    pub held: HeldEntry,
    pub owner: EntryHostId,
    pub at: Instant,
    /// The owner lost it in a restart.
    pub is_orphan: bool,
    review_at: Instant,
}

/// Entries by id, and when each is looked at next.
#[derive(Clone, Debug, Default)]
pub struct ParkedTable {
    entries: BTreeMap<EntryId, ParkedEntry>,
    reviews: BTreeSet<(Instant, EntryId)>,
}

impl ParkedTable {
    /// Keeps an entry, to be looked at `review_at`; false when there is no room.
    #[must_use]
    pub fn insert(
        &mut self,
        held: HeldEntry,
        owner: EntryHostId,
        now: Instant,
        review_at: Instant,
    ) -> bool {
        let id = held.entry.id();
        if self.entries.contains_key(&id) {
            return true;
        }
        if self.entries.len() >= PARKED_ENTRIES {
            return false;
        }
        self.reviews.insert((review_at, id));
        self.entries.insert(id, ParkedEntry { held, owner, at: now, is_orphan: false, review_at });
        true
    }

    pub fn remove(&mut self, id: EntryId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.reviews.remove(&(entry.review_at, id));
        }
    }

    #[must_use]
    pub fn find(&self, id: EntryId) -> Option<&ParkedEntry> {
        self.entries.get(&id)
    }

    /// Sets when an entry is looked at next.
    pub fn review_at(&mut self, id: EntryId, at: Instant) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.reviews.remove(&(entry.review_at, id));
            entry.review_at = at;
            self.reviews.insert((at, id));
        }
    }

    /// Has the entries of an owner that lost them in a restart looked at now.
    pub fn orphan(&mut self, owner: &EntryHostId, now: Instant) {
        let is_of = |entry: &&mut ParkedEntry| entry.owner == *owner;
        for entry in self.entries.values_mut().filter(is_of) {
            entry.is_orphan = true;
        }
        self.review_all(now);
    }

    /// Has every entry looked at now.
    pub fn review_all(&mut self, now: Instant) {
        let ids: Vec<EntryId> = self.entries.keys().copied().collect();
        for id in ids {
            self.review_at(id, now);
        }
    }

    /// An entry that is to be looked at by now.
    #[must_use]
    pub fn due(&self, now: Instant) -> Option<EntryId> {
        self.reviews.first().filter(|(at, _)| *at <= now).map(|(_, id)| *id)
    }

    /// When the next entry is to be looked at.
    #[must_use]
    pub fn next_review(&self) -> Option<Instant> {
        self.reviews.first().map(|(at, _)| *at)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
