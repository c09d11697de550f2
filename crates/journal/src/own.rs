//! Entries that this host has to bring into the log: its own, and those it took over from a host that is gone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::RequestId;

use crate::entry::Entry;
use crate::entry::EntryId;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::message::HeldEntry;

/// Whom the fate of an entry concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    Claim {
        request: RequestId,
        key: ClaimKey,
    },
    /// The request was told that its claim is unavailable.
    AbandonedClaim {
        key: ClaimKey,
    },
    Outcome {
        request: RequestId,
    },
    Bill {
        request: RequestId,
    },
    /// Nobody at this host waits.
    Unattended,
}

/// Which way an entry is on to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    Undetermined,
    Home { home: EntryHostId, sent_at: Instant, accepted: bool },
    Local { since: Instant },
}

/// An entry that is not known to be committed.
#[derive(Clone, Debug)]
pub struct OwnEntry {
    pub entry: Entry,
    pub shard: ShardId,
    pub origin: Origin,
    /// The entry is in no segment below this one, if that is known.
    pub since: Option<Seq>,
    /// `since` is settled, so other hosts may see the entry.
    pub placed: bool,
    /// Times that the entry was sent to a home, and times that a home declined it.
    pub sent: u32,
    pub declined: u32,
    pub at: Instant,
    pub route: Route,
    /// Peers that were asked to keep it, and when.
    pub asked: BTreeMap<EntryHostId, Instant>,
    /// Peers that said that they keep it.
    pub holders: BTreeSet<EntryHostId>,
    /// The request was told where the entry is safe.
    pub told: bool,
    review_at: Instant,
}

/// Entries by id, and when each is looked at next.
#[derive(Clone, Debug, Default)]
pub struct OwnTable {
    entries: BTreeMap<EntryId, OwnEntry>,
    reviews: BTreeSet<(Instant, EntryId)>,
    /// Entries without a settled place in the log.
    unplaced: BTreeSet<EntryId>,
}

impl OwnEntry {
    #[must_use]
    pub fn new(entry: Entry, shard: ShardId, origin: Origin, now: Instant) -> OwnEntry {
        let placed = !matches!(entry, Entry::Bill(_));
        OwnEntry {
            entry,
            shard,
            origin,
            since: None,
            placed,
            sent: 0,
            declined: 0,
            at: now,
            route: Route::Undetermined,
            asked: BTreeMap::new(),
            holders: BTreeSet::new(),
            told: false,
            review_at: now,
        }
    }

    /// The entry as other hosts get it.
    #[must_use]
    pub fn held(&self) -> HeldEntry {
        HeldEntry { entry: self.entry.clone(), since: self.since }
    }

    /// Whether the entry may be kept by peers while it waits for its commit.
    #[must_use]
    pub fn may_park(&self) -> bool {
        !self.entry.needs_commit()
    }

    /// Whether a home may hold the entry.
    #[must_use]
    pub fn is_exposed(&self) -> bool {
        self.sent > self.declined
    }

    /// Hosts other than this one that keep the entry.
    #[must_use]
    pub fn copies(&self) -> usize {
        let at_home = match &self.route {
            Route::Home { home, accepted: true, .. } => !self.holders.contains(home),
            Route::Home { .. } | Route::Local { .. } | Route::Undetermined => false,
        };
        self.holders.len() + usize::from(at_home)
    }
}

impl OwnTable {
    /// Adds an entry that is to be looked at now; false when it is there already.
    pub fn insert(&mut self, own: OwnEntry) -> bool {
        let id = own.entry.id();
        if self.entries.contains_key(&id) {
            return false;
        }
        self.reviews.insert((own.review_at, id));
        if !own.placed {
            self.unplaced.insert(id);
        }
        self.entries.insert(id, own);
        true
    }

    pub fn remove(&mut self, id: EntryId) -> Option<OwnEntry> {
        let own = self.entries.remove(&id)?;
        self.reviews.remove(&(own.review_at, id));
        self.unplaced.remove(&id);
        Some(own)
    }

    #[must_use]
    pub fn find(&self, id: EntryId) -> Option<&OwnEntry> {
        self.entries.get(&id)
    }

    #[must_use]
    pub fn find_mut(&mut self, id: EntryId) -> Option<&mut OwnEntry> {
        self.entries.get_mut(&id)
    }

    /// Settles an entry's place in the log.
    pub fn place(&mut self, id: EntryId, since: Option<Seq>) {
        self.unplaced.remove(&id);
        if let Some(own) = self.entries.get_mut(&id) {
            own.since = since;
            own.placed = true;
        }
    }

    /// Sets when an entry is looked at next.
    pub fn review_at(&mut self, id: EntryId, at: Instant) {
        if let Some(own) = self.entries.get_mut(&id) {
            self.reviews.remove(&(own.review_at, id));
            own.review_at = at;
            self.reviews.insert((at, id));
        }
    }

    /// Has an entry looked at no later than `at`.
    pub fn review_by(&mut self, id: EntryId, at: Instant) {
        if self.entries.get(&id).is_some_and(|own| at < own.review_at) {
            self.review_at(id, at);
        }
    }

    /// Has the entries of a shard that have no place in the log yet looked at now.
    pub fn review_waiting(&mut self, shard: ShardId, now: Instant) {
        let of_shard = |id: &&EntryId| self.entries.get(id).is_some_and(|own| own.shard == shard);
        let ids: Vec<EntryId> = self.unplaced.iter().filter(of_shard).copied().collect();
        for id in ids {
            self.review_at(id, now);
        }
    }

    /// Drops what a peer was known to keep.
    pub fn forget_copies(&mut self, peer: &EntryHostId) {
        for own in self.entries.values_mut() {
            own.holders.remove(peer);
            own.asked.remove(peer);
            if let Route::Home { home, .. } = &own.route
                && home == peer
            {
                own.route = Route::Undetermined;
            }
        }
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

    pub fn iter(&self) -> impl Iterator<Item = &OwnEntry> {
        self.entries.values()
    }
}
