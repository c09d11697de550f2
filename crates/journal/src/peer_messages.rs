//! Handles messages from peers: commits their entries to shards that this host owns, holds replicas, answers queries.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;

use crate::cx::Waiter;
use crate::entry::EntryId;
use crate::entry::Seq;
use crate::entry::ShardId;
use crate::journal::Journal;
use crate::journal::KnownHead;
use crate::local::LocalEntry;
use crate::local::Origin;
use crate::local::Route;
use crate::message::EntryResult;
use crate::message::HeldEntry;
use crate::message::JournalMessage;

/// Interval between two announcements to a peer that has not acknowledged this host's start.
const START_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

impl Journal {
    pub(crate) fn receive(&mut self, from: EntryHostId, message: JournalMessage, now: Instant) {
        match message {
            JournalMessage::Append { entries } => self.handle_append(&from, entries, now),
            JournalMessage::Accepted { ids } => self.handle_accepted(&from, &ids, now),
            JournalMessage::Declined { ids } => self.handle_declined(&from, &ids, now),
            JournalMessage::Appended { results } => {
                for result in results {
                    self.complete_entry(result.id, result.verdict, now);
                }
            }
            JournalMessage::HeadQuery { shard } => self.handle_head_query(&from, shard, now),
            JournalMessage::Head { shard, head } => self.record_head(shard, head, now),
            JournalMessage::Park { entries } => self.handle_park(&from, entries, now),
            JournalMessage::Parked { ids } => self.handle_parked(&from, &ids, now),
            JournalMessage::Started { incarnation } => self.handle_started(&from, incarnation, now),
            JournalMessage::StartSeen { incarnation } => self.handle_start_seen(&from, incarnation),
            JournalMessage::Release { ids } => {
                ids.into_iter().for_each(|id| self.replicas.remove(id))
            }
        }
    }

    /// Takes over a replica whose sender failed or lost it; asks a live sender whether an old replica is committed.
    pub(crate) fn review_replica(&mut self, id: EntryId, now: Instant) {
        let Some(replica) = self.replicas.find(id) else { return };
        let (held, sender) = (replica.held.clone(), replica.sender.clone());
        let is_orphan = replica.is_orphan;
        let age = now.saturating_duration_since(replica.received_at);
        self.replicas.review_at(id, now + age.max(self.cfg.query_sender_after));
        if self.host_table.is_alive(&sender) && !is_orphan {
            if age >= self.cfg.query_sender_after {
                self.outbox.to(&sender).parked.push(id);
            }
            return;
        }
        let shard = held.entry.shard(self.cfg.shards);
        let mut local = LocalEntry::new(held.entry, shard, Origin::Unattended, now);
        local.since = held.since;
        local.is_positioned = true;
        self.local.insert(local);
    }

    /// Delivers verdicts to the waiting parties.
    pub(crate) fn deliver_decided(&mut self, now: Instant) {
        for decided in std::mem::take(&mut self.decided) {
            for waiter in decided.waiters {
                match waiter {
                    Waiter::Local => self.complete_entry(decided.id, decided.verdict.clone(), now),
                    Waiter::Peer(host) => {
                        let result =
                            EntryResult { id: decided.id, verdict: decided.verdict.clone() };
                        self.outbox.to(&host).appended.push(result);
                    }
                }
            }
        }
    }

    /// Announces this host's start to the peers that have not acknowledged it.
    pub(crate) fn announce_start(&mut self, now: Instant) {
        if self.start_unseen.is_empty() || self.announce_start_at.is_some_and(|at| now < at) {
            return;
        }
        self.announce_start_at = Some(now + START_ANNOUNCE_INTERVAL);
        let incarnation = self.cfg.incarnation;
        for peer in &self.start_unseen {
            self.outbox.to(peer).single.push(JournalMessage::Started { incarnation });
        }
    }

    /// Discards what a peer was known to hold before it restarted.
    fn handle_started(&mut self, from: &EntryHostId, incarnation: Incarnation, now: Instant) {
        self.outbox.to(from).single.push(JournalMessage::StartSeen { incarnation });
        let known = self.incarnations.insert(from.clone(), incarnation);
        if known == Some(incarnation) {
            return;
        }
        self.local.forget_replicas(from);
        self.local.review_all(now);
        self.replicas.mark_orphaned(from, now);
    }

    fn handle_start_seen(&mut self, from: &EntryHostId, incarnation: Incarnation) {
        if incarnation == self.cfg.incarnation {
            self.start_unseen.remove(from);
        }
    }

    fn handle_append(&mut self, from: &EntryHostId, entries: Vec<HeldEntry>, now: Instant) {
        for held in entries {
            let id = held.entry.id();
            let shard = held.entry.shard(self.cfg.shards);
            let has_capacity =
                self.shards.get(shard as usize).is_some_and(|shard| shard.has_capacity());
            if !has_capacity || self.gate.is_failing() || self.stopping.is_some() {
                self.outbox.to(from).declined.push(id);
                continue;
            }
            self.outbox.to(from).accepted.push(id);
            let waiter = Waiter::Peer(from.clone());
            self.with_shard(shard, now, |shard, cx| shard.add(held, waiter, cx));
        }
    }

    fn handle_accepted(&mut self, from: &EntryHostId, ids: &[EntryId], now: Instant) {
        self.host_table.mark_reachable(from);
        for id in ids {
            let Some(local) = self.local.find_mut(*id) else { continue };
            if let Route::Owner { owner, accepted, .. } = &mut local.route {
                *accepted |= owner == from;
            }
            self.local.review_at(*id, now);
        }
    }

    fn handle_declined(&mut self, from: &EntryHostId, ids: &[EntryId], now: Instant) {
        self.host_table.bypass(from, now);
        for id in ids {
            if let Some(local) = self.local.find_mut(*id) {
                local.declined += 1;
            }
            self.local.review_at(*id, now);
        }
    }

    fn handle_head_query(&mut self, from: &EntryHostId, shard: ShardId, now: Instant) {
        let Some(state) = self.shards.get_mut(shard as usize) else { return };
        match state.head(now, self.cfg.head_age_limit) {
            Some(head) => {
                self.outbox.to(from).single.push(JournalMessage::Head { shard, head });
            }
            None => {
                state.request_end_read();
                self.head_waiters.entry(shard).or_default().insert(from.clone());
            }
        }
    }

    /// Sends the end of a shard's log to the peers that wait for it.
    pub(crate) fn send_head(&mut self, shard: ShardId, head: Seq, now: Instant) {
        for host in self.head_waiters.remove(&shard).unwrap_or_default() {
            self.outbox.to(&host).single.push(JournalMessage::Head { shard, head });
        }
        self.local.review_waiting(shard, now);
    }

    fn record_head(&mut self, shard: ShardId, head: Seq, now: Instant) {
        self.heads.insert(shard, KnownHead { head: Some((head, now)), requested_at: None });
        self.local.review_waiting(shard, now);
    }

    fn handle_park(&mut self, from: &EntryHostId, entries: Vec<HeldEntry>, now: Instant) {
        for held in entries {
            let id = held.entry.id();
            let review_at = now + self.cfg.query_sender_after;
            if self.stopping.is_none() && self.replicas.insert(held, from.clone(), now, review_at) {
                self.outbox.to(from).parked.push(id);
            }
        }
    }

    fn handle_parked(&mut self, from: &EntryHostId, ids: &[EntryId], now: Instant) {
        for id in ids {
            match self.local.find_mut(*id) {
                Some(local) => {
                    local.replica_hosts.insert(from.clone());
                    self.local.review_at(*id, now);
                }
                None => self.outbox.to(from).release.push(*id),
            }
        }
    }
}
