//! What the journal does for its peers: commits for them where it is home, keeps entries, answers.

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
use crate::message::EntryResult;
use crate::message::HeldEntry;
use crate::message::JournalMessage;
use crate::own::Origin;
use crate::own::OwnEntry;
use crate::own::Route;

/// Time between two messages to a peer that has not seen this host's start.
const START_INTERVAL: Duration = Duration::from_secs(2);

impl Journal {
    pub(crate) fn receive(&mut self, from: EntryHostId, message: JournalMessage, now: Instant) {
        match message {
            JournalMessage::Append { entries } => self.append(&from, entries, now),
            JournalMessage::Accepted { ids } => self.accepted(&from, &ids, now),
            JournalMessage::Declined { ids } => self.declined(&from, &ids, now),
            JournalMessage::Appended { results } => {
                for result in results {
                    self.settle(result.id, result.verdict, now);
                }
            }
            JournalMessage::HeadQuery { shard } => self.answer_head_query(&from, shard, now),
            JournalMessage::Head { shard, head } => self.learn_head(shard, head, now),
            JournalMessage::Park { entries } => self.park(&from, entries, now),
            JournalMessage::Parked { ids } => self.parked(&from, &ids, now),
            JournalMessage::Started { incarnation } => self.peer_started(&from, incarnation, now),
            JournalMessage::StartSeen { incarnation } => self.start_seen(&from, incarnation),
            JournalMessage::Release { ids } => {
                ids.into_iter().for_each(|id| self.parked.remove(id))
            }
        }
    }

    /// Takes over a parked entry whose owner is gone; asks an owner that takes long whether it is committed.
    pub(crate) fn review_parked(&mut self, id: EntryId, now: Instant) {
        let Some(parked) = self.parked.find(id) else { return };
        let (held, owner) = (parked.held.clone(), parked.owner.clone());
        let is_orphan = parked.is_orphan;
        let age = now.saturating_duration_since(parked.at);
        self.parked.review_at(id, now + age.max(self.cfg.ask_owner_after));
        if self.places.is_alive(&owner) && !is_orphan {
            if age >= self.cfg.ask_owner_after {
                self.outbox.to(&owner).parked.push(id);
            }
            return;
        }
        let shard = held.entry.shard(self.cfg.shards);
        let mut own = OwnEntry::new(held.entry, shard, Origin::Unattended, now);
        own.since = held.since;
        own.placed = true;
        self.own.insert(own);
    }

    /// Tells whoever waits what was decided.
    pub(crate) fn deliver_decided(&mut self, now: Instant) {
        for decided in std::mem::take(&mut self.decided) {
            for waiter in decided.waiters {
                match waiter {
                    Waiter::Own => self.settle(decided.id, decided.verdict.clone(), now),
                    Waiter::Peer(host) => {
                        let result =
                            EntryResult { id: decided.id, verdict: decided.verdict.clone() };
                        self.outbox.to(&host).appended.push(result);
                    }
                }
            }
        }
    }

    /// Tells the peers that have not seen it yet that this host started.
    pub(crate) fn announce_start(&mut self, now: Instant) {
        if self.start_unseen.is_empty() || self.announce_start_at.is_some_and(|at| now < at) {
            return;
        }
        self.announce_start_at = Some(now + START_INTERVAL);
        let incarnation = self.cfg.incarnation;
        for peer in &self.start_unseen {
            self.outbox.to(peer).single.push(JournalMessage::Started { incarnation });
        }
    }

    /// A peer keeps nothing any more of what it kept before its start.
    fn peer_started(&mut self, from: &EntryHostId, incarnation: Incarnation, now: Instant) {
        self.outbox.to(from).single.push(JournalMessage::StartSeen { incarnation });
        let known = self.incarnations.insert(from.clone(), incarnation);
        if known == Some(incarnation) {
            return;
        }
        self.own.forget_copies(from);
        self.own.review_all(now);
        self.parked.orphan(from, now);
    }

    fn start_seen(&mut self, from: &EntryHostId, incarnation: Incarnation) {
        if incarnation == self.cfg.incarnation {
            self.start_unseen.remove(from);
        }
    }

    fn append(&mut self, from: &EntryHostId, entries: Vec<HeldEntry>, now: Instant) {
        for held in entries {
            let id = held.entry.id();
            let shard = held.entry.shard(self.cfg.shards);
            let has_room = self.shards.get(shard as usize).is_some_and(|shard| shard.has_room());
            if !has_room || self.gate.is_failing() || self.stopping.is_some() {
                self.outbox.to(from).declined.push(id);
                continue;
            }
            self.outbox.to(from).accepted.push(id);
            let waiter = Waiter::Peer(from.clone());
            self.with_shard(shard, now, |shard, cx| shard.add(held, waiter, cx));
        }
    }

    fn accepted(&mut self, from: &EntryHostId, ids: &[EntryId], now: Instant) {
        self.places.answered(from);
        for id in ids {
            let Some(own) = self.own.find_mut(*id) else { continue };
            if let Route::Home { home, accepted, .. } = &mut own.route {
                *accepted |= home == from;
            }
            self.own.review_at(*id, now);
        }
    }

    fn declined(&mut self, from: &EntryHostId, ids: &[EntryId], now: Instant) {
        self.places.bypass(from, now);
        for id in ids {
            if let Some(own) = self.own.find_mut(*id) {
                own.declined += 1;
            }
            self.own.review_at(*id, now);
        }
    }

    fn answer_head_query(&mut self, from: &EntryHostId, shard: ShardId, now: Instant) {
        let Some(state) = self.shards.get_mut(shard as usize) else { return };
        match state.head(now, self.cfg.head_age_limit) {
            Some(head) => {
                self.outbox.to(from).single.push(JournalMessage::Head { shard, head });
            }
            None => {
                state.want();
                self.head_waiters.entry(shard).or_default().insert(from.clone());
            }
        }
    }

    /// Answers those who waited for the end of the shard's log.
    pub(crate) fn tell_head(&mut self, shard: ShardId, head: Seq, now: Instant) {
        for host in self.head_waiters.remove(&shard).unwrap_or_default() {
            self.outbox.to(&host).single.push(JournalMessage::Head { shard, head });
        }
        self.own.review_waiting(shard, now);
    }

    fn learn_head(&mut self, shard: ShardId, head: Seq, now: Instant) {
        self.heads.insert(shard, KnownHead { head: Some((head, now)), asked_at: None });
        self.own.review_waiting(shard, now);
    }

    fn park(&mut self, from: &EntryHostId, entries: Vec<HeldEntry>, now: Instant) {
        for held in entries {
            let id = held.entry.id();
            let review_at = now + self.cfg.ask_owner_after;
            if self.stopping.is_none() && self.parked.insert(held, from.clone(), now, review_at) {
                self.outbox.to(from).parked.push(id);
            }
        }
    }

    fn parked(&mut self, from: &EntryHostId, ids: &[EntryId], now: Instant) {
        for id in ids {
            match self.own.find_mut(*id) {
                Some(own) => {
                    own.holders.insert(from.clone());
                    self.own.review_at(*id, now);
                }
                None => self.outbox.to(from).release.push(*id),
            }
        }
    }
}
