//! Entries that wait in a shard's writer, in arrival order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::cx::Waiter;
use crate::entry::ClaimTag;
use crate::entry::EntryId;
use crate::message::HeldEntry;

/// An undecided entry and the parties that wait for its verdict.
#[derive(Clone, Debug)]
pub struct PendingEntry {
    pub held: HeldEntry,
    pub waiters: BTreeSet<Waiter>,
    pub arrived_at: Instant,
    arrival: u64,
}

/// Entries by id and by arrival.
#[derive(Clone, Debug, Default)]
pub struct Pending {
    entries: BTreeMap<EntryId, PendingEntry>,
    arrivals: BTreeMap<u64, EntryId>,
    next_arrival: u64,
}

impl Pending {
    /// Adds an entry, or a waiter to an entry that is already present.
    pub fn add(&mut self, held: HeldEntry, waiter: Waiter, now: Instant) {
        let id = held.entry.id();
        if let Some(entry) = self.entries.get_mut(&id) {
            // Both are valid lower bounds, so the higher one is used; `None` is the lowest.
            entry.held.since = entry.held.since.max(held.since);
            entry.waiters.insert(waiter);
            return;
        }
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.arrivals.insert(arrival, id);
        let waiters = BTreeSet::from([waiter]);
        self.entries.insert(id, PendingEntry { held, waiters, arrived_at: now, arrival });
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: EntryId) -> Option<PendingEntry> {
        let entry = self.entries.remove(&id)?;
        self.arrivals.remove(&entry.arrival);
        Some(entry)
    }

    #[must_use]
    pub fn find(&self, id: EntryId) -> Option<&PendingEntry> {
        self.entries.get(&id)
    }

    /// Ids in arrival order.
    pub fn ids(&self) -> impl Iterator<Item = EntryId> {
        self.arrivals.values().copied()
    }

    /// Arrival time of the oldest entry.
    #[must_use]
    pub fn oldest(&self) -> Option<Instant> {
        let id = self.arrivals.values().next()?;
        self.entries.get(id).map(|entry| entry.arrived_at)
    }

    /// Whether a claim waits, which is written without waiting for a group.
    #[must_use]
    pub fn has_claims(&self) -> bool {
        self.claims().next().is_some()
    }

    /// Ids of claims.
    pub fn claims(&self) -> impl Iterator<Item = EntryId> {
        let claims = EntryId::Claim(ClaimTag::MIN)..=EntryId::Claim(ClaimTag::MAX);
        self.entries.range(claims).map(|(id, _)| *id)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
