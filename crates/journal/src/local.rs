//! Entries that this host has to deliver to the log: its own, and those taken over from a host that failed.

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

/// Source of an entry, which determines who is notified of its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    Claim {
        request: RequestId,
        key: ClaimKey,
    },
    /// The request was refused because its claim was unavailable.
    AbandonedClaim {
        key: ClaimKey,
    },
    Outcome {
        request: RequestId,
    },
    Bill {
        request: RequestId,
    },
    /// No request of this host waits for the entry.
    Unattended,
}

/// How an entry is delivered to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    Undetermined,
    Owner { owner: EntryHostId, sent_at: Instant, accepted: bool },
    Local { queued_at: Instant },
}

/// An entry that this host has to deliver and that is not known to be committed.
#[derive(Clone, Debug)]
pub struct LocalEntry {
    pub entry: Entry,
    pub shard: ShardId,
    pub origin: Origin,
    /// The entry is in no segment below this one, if that is known.
    pub since: Option<Seq>,
    /// `since` is final, so the entry may be sent to other hosts.
    pub is_positioned: bool,
    /// Number of times that the entry was sent to an owner.
    pub sent: u32,
    /// Number of times that an owner declined the entry.
    pub declined: u32,
    pub tracked_at: Instant,
    pub route: Route,
    /// Peers that were asked to hold a replica, and when.
    pub replica_requests: BTreeMap<EntryHostId, Instant>,
    /// Peers that confirmed that they hold a replica.
    pub replica_hosts: BTreeSet<EntryHostId>,
    /// Whether the request was notified that the entry is replicated or only held.
    pub is_notified: bool,
    review_at: Instant,
}

/// Entries by id, with the times at which the journal next reviews each: checks its deadlines and takes its next step.
#[derive(Clone, Debug, Default)]
pub struct LocalTable {
    entries: BTreeMap<EntryId, LocalEntry>,
    reviews: BTreeSet<(Instant, EntryId)>,
    /// Entries whose `since` is not final.
    unpositioned: BTreeSet<EntryId>,
}

impl LocalEntry {
    #[must_use]
    pub fn new(entry: Entry, shard: ShardId, origin: Origin, now: Instant) -> LocalEntry {
        // Only the decision on a bill depends on `since`.
        let is_positioned = !matches!(entry, Entry::Bill(_));
        LocalEntry {
            entry,
            shard,
            origin,
            since: None,
            is_positioned,
            sent: 0,
            declined: 0,
            tracked_at: now,
            route: Route::Undetermined,
            replica_requests: BTreeMap::new(),
            replica_hosts: BTreeSet::new(),
            is_notified: false,
            review_at: now,
        }
    }

    /// The entry as sent to other hosts.
    #[must_use]
    pub fn held(&self) -> HeldEntry {
        HeldEntry { entry: self.entry.clone(), since: self.since }
    }

    /// Whether replicas at peers make the entry safe until it is committed.
    #[must_use]
    pub fn is_replicable(&self) -> bool {
        !self.entry.needs_commit()
    }

    /// Whether an owner may hold the entry.
    #[must_use]
    pub fn may_be_at_owner(&self) -> bool {
        self.sent > self.declined
    }

    /// Number of other hosts that hold the entry.
    #[must_use]
    pub fn replica_count(&self) -> usize {
        let at_owner = match &self.route {
            Route::Owner { owner, accepted: true, .. } => !self.replica_hosts.contains(owner),
            Route::Owner { .. } | Route::Local { .. } | Route::Undetermined => false,
        };
        self.replica_hosts.len() + usize::from(at_owner)
    }
}

impl LocalTable {
    /// Adds an entry for review now; false when it is already present.
    pub fn insert(&mut self, local: LocalEntry) -> bool {
        let id = local.entry.id();
        if self.entries.contains_key(&id) {
            return false;
        }
        self.reviews.insert((local.review_at, id));
        if !local.is_positioned {
            self.unpositioned.insert(id);
        }
        self.entries.insert(id, local);
        true
    }

    pub fn remove(&mut self, id: EntryId) -> Option<LocalEntry> {
        let local = self.entries.remove(&id)?;
        self.reviews.remove(&(local.review_at, id));
        self.unpositioned.remove(&id);
        Some(local)
    }

    #[must_use]
    pub fn find(&self, id: EntryId) -> Option<&LocalEntry> {
        self.entries.get(&id)
    }

    #[must_use]
    pub fn find_mut(&mut self, id: EntryId) -> Option<&mut LocalEntry> {
        self.entries.get_mut(&id)
    }

    /// Sets the final lower bound of an entry's position.
    pub fn set_position(&mut self, id: EntryId, since: Option<Seq>) {
        self.unpositioned.remove(&id);
        if let Some(local) = self.entries.get_mut(&id) {
            local.since = since;
            local.is_positioned = true;
        }
    }

    /// Schedules the next review of an entry.
    pub fn review_at(&mut self, id: EntryId, at: Instant) {
        if let Some(local) = self.entries.get_mut(&id) {
            self.reviews.remove(&(local.review_at, id));
            local.review_at = at;
            self.reviews.insert((at, id));
        }
    }

    /// Schedules a review of an entry no later than `at`.
    pub fn review_by(&mut self, id: EntryId, at: Instant) {
        if self.entries.get(&id).is_some_and(|local| at < local.review_at) {
            self.review_at(id, at);
        }
    }

    /// Schedules a review now of the shard's entries whose `since` is not final.
    pub fn review_waiting(&mut self, shard: ShardId, now: Instant) {
        let of_shard =
            |id: &&EntryId| self.entries.get(id).is_some_and(|local| local.shard == shard);
        let ids: Vec<EntryId> = self.unpositioned.iter().filter(of_shard).copied().collect();
        for id in ids {
            self.review_at(id, now);
        }
    }

    /// Forgets the entries and replicas that a peer was known to hold.
    pub fn forget_replicas(&mut self, peer: &EntryHostId) {
        for local in self.entries.values_mut() {
            local.replica_hosts.remove(peer);
            local.replica_requests.remove(peer);
            if let Route::Owner { owner, .. } = &local.route
                && owner == peer
            {
                local.route = Route::Undetermined;
            }
        }
    }

    /// Schedules a review of every entry now.
    pub fn review_all(&mut self, now: Instant) {
        let ids: Vec<EntryId> = self.entries.keys().copied().collect();
        for id in ids {
            self.review_at(id, now);
        }
    }

    /// An entry whose review is due.
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

    pub fn iter(&self) -> impl Iterator<Item = &LocalEntry> {
        self.entries.values()
    }
}
