//! Heartbeats and the news that they carry.
//!
//! News is passed on at once to a few hosts, then with the next heartbeats, each item in a fixed number of rounds. What
//! is lost on the way is found by the digests that each gossip carries: a host whose tables have been quiet for a while
//! and still differ from a peer's asks for the buckets that differ.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use super::Peers;
use crate::event::Effect;
use crate::member::MemberTable;
use crate::member::PeerState;
use crate::message::CentreStatus;
use crate::message::GOSSIP_MEMBERS;
use crate::message::Gossip;
use crate::message::MemberRecord;
use crate::message::PeerMessage;
use crate::message::Rumour;
use crate::message::Sync;
use crate::message::SyncRequest;
use crate::message::combined;
use foxtailhoist_model::EntryHostId;

/// Wait before news is passed on, in which more may come.
const FLUSH_DELAY: Duration = Duration::from_millis(20);
/// Wait before announcements are passed on again.
const REFLUSH_DELAY: Duration = Duration::from_millis(250);
/// Rounds in which a member change is passed on.
const MEMBER_ROUNDS: u32 = 3;
/// Time without a change after which tables that differ are compared.
const QUIET: Duration = Duration::from_secs(1);
/// Shortest time between two comparisons.
const SYNC_SPACING: Duration = Duration::from_secs(1);

impl Peers {
    /// Sends news to the next hosts without asking for an answer.
    pub(super) fn flush(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.flush_at = None;
        self.round(false, now, effects);
        if !self.rumours.spreading_now(now).is_empty() {
            self.flush_at = Some(now + REFLUSH_DELAY);
        }
    }

    pub(super) fn flush_soon(&mut self, now: Instant) {
        let at = now + FLUSH_DELAY;
        self.flush_at = Some(self.flush_at.map_or(at, |flush_at| flush_at.min(at)));
    }

    /// Sends one round of gossip; `probing` asks for answers.
    pub(super) fn round(&mut self, probing: bool, now: Instant, effects: &mut Vec<Effect>) {
        let gossip = self.round_gossip(now);
        for host in self.view.targets(&mut self.rng) {
            if probing {
                self.detector.sent(&host, now);
            }
            self.send_gossip(&host, gossip.clone(), probing, effects);
        }
        if !self.watcher {
            return;
        }
        for host in self.link_targets(now) {
            let mut gossip = gossip.clone();
            if probing {
                gossip.centres = self.centres.statuses();
                self.link_sent(&host, now);
            }
            self.send_gossip(&host, gossip, probing, effects);
        }
    }

    /// Answers a heartbeat, with the states of data centres that are newer than those that it carried.
    pub(super) fn acknowledge(
        &mut self,
        to: &EntryHostId,
        sequence: u64,
        known: &[CentreStatus],
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let rumours = self.rumours.spreading_now(now);
        let mut gossip = self.gossip(self.spreading_members(), rumours, now);
        if !known.is_empty() {
            gossip.centres = self.centres.newer_than(known);
        }
        self.add_record_of(to, &mut gossip);
        self.send(to, PeerMessage::Ack { sequence, gossip: Box::new(gossip) }, effects);
    }

    /// Sends a heartbeat to one host, such as a second probe.
    pub(super) fn send_heartbeat(
        &mut self,
        to: &EntryHostId,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let gossip = self.gossip(Vec::new(), Vec::new(), now);
        self.send_gossip(to, gossip, true, effects);
    }

    /// Takes what a peer says about itself and others.
    pub(super) fn take_gossip(
        &mut self,
        from: &EntryHostId,
        gossip: &Gossip,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if gossip.sender.host != *from {
            return;
        }
        self.take_record(&gossip.sender, now);
        if let Some(entry) = self.members.get_mut(from)
            && entry.record.incarnation == gossip.sender.incarnation
        {
            entry.heard_at = Some(now);
            entry.failed_at = None;
            entry.revision = gossip.revision;
        }
        self.take_records(&gossip.members, now);
        self.take_rumours(gossip.rumours.clone(), now, effects);
        for status in &gossip.centres {
            self.centres.merge(status, now);
        }
        self.take_revision(from, gossip.revision, gossip.confirmed_age_ms, now, effects);
        self.compare(from, gossip, now, effects);
    }

    pub(super) fn take_records(&mut self, records: &[MemberRecord], now: Instant) {
        for record in records {
            self.take_record(record, now);
        }
    }

    pub(super) fn take_rumours(
        &mut self,
        rumours: Vec<Rumour>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        for rumour in rumours {
            let age = Duration::from_millis(rumour.age_ms);
            if self.rumours.merge(rumour.announcement.clone(), age, now) {
                effects.push(Effect::Learned(rumour.announcement));
                self.flush_soon(now);
            }
        }
    }

    /// Passes a member's change on.
    pub(super) fn note_change(&mut self, host: &EntryHostId, now: Instant) {
        self.spreading.insert(host.clone(), MEMBER_ROUNDS);
        self.view_stale = true;
        self.flush_soon(now);
    }

    /// Sends the entries of the buckets that differ.
    pub(super) fn answer_sync(
        &mut self,
        to: &EntryHostId,
        request: &SyncRequest,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let start = usize::from(self.rng.random::<u16>());
        let own_digests = MemberTable::fold_own(request.members, &self.own);
        let sync = Sync {
            members: self.members.differing(&own_digests, start),
            rumours: self.rumours.differing(&request.rumours, start, now),
        };
        if !sync.members.is_empty() || !sync.rumours.is_empty() {
            self.send(to, PeerMessage::Sync(Box::new(sync)), effects);
        }
    }

    fn send_gossip(
        &mut self,
        to: &EntryHostId,
        mut gossip: Gossip,
        probing: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.add_record_of(to, &mut gossip);
        let gossip = Box::new(gossip);
        if !probing {
            self.send(to, PeerMessage::Gossip(gossip), effects);
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.send(to, PeerMessage::Heartbeat { sequence, gossip }, effects);
    }

    /// Tells a host that is suspected or taken for gone, so that it can refute.
    fn add_record_of(&self, to: &EntryHostId, gossip: &mut Gossip) {
        let doubted = |state| matches!(state, PeerState::Suspect | PeerState::Gone);
        let record = self.members.get(to).map(|entry| &entry.record);
        if let Some(record) = record.filter(|record| doubted(record.state)) {
            gossip.members.truncate(GOSSIP_MEMBERS - 1);
            gossip.members.push(record.clone());
        }
    }

    fn round_gossip(&mut self, now: Instant) -> Gossip {
        let members = self.spreading_members();
        for record in &members {
            let Some(rounds) = self.spreading.get_mut(&record.host) else {
                continue;
            };
            *rounds -= 1;
            if *rounds == 0 {
                self.spreading.remove(&record.host);
            }
        }
        let rumours = self.rumours.take_round(now);
        self.gossip(members, rumours, now)
    }

    fn spreading_members(&self) -> Vec<MemberRecord> {
        let mut hosts: Vec<(&EntryHostId, &u32)> = self.spreading.iter().collect();
        hosts.sort_by_key(|(_, rounds)| std::cmp::Reverse(**rounds));
        let entries = hosts.into_iter().filter_map(|(host, _)| self.members.get(host));
        entries.take(GOSSIP_MEMBERS).map(|entry| entry.record.clone()).collect()
    }

    fn gossip(&self, members: Vec<MemberRecord>, rumours: Vec<Rumour>, now: Instant) -> Gossip {
        let own_digests = MemberTable::fold_own(*self.members.digests(), &self.own);
        Gossip {
            sender: self.own.clone(),
            revision: self.spread.revision(),
            confirmed_age_ms: self.spread.confirmed_age(now).map(|age| age.as_millis() as u64),
            members,
            rumours,
            members_digest: combined(&own_digests),
            rumours_digest: self.rumours.digest(),
            centres: Vec::new(),
        }
    }

    fn take_record(&mut self, record: &MemberRecord, now: Instant) {
        if record.host == self.own.host {
            self.refute(record, now);
            return;
        }
        let incarnation =
            |peers: &Peers| peers.members.get(&record.host).map(|entry| entry.record.incarnation);
        let before = incarnation(self);
        if !self.members.merge(record, now) {
            return;
        }
        if before != incarnation(self)
            && let Some(entry) = self.members.get_mut(&record.host)
        {
            entry.revision = 0;
        }
        self.note_change(&record.host, now);
    }

    /// Answers a false record of this host with a higher incarnation.
    fn refute(&mut self, record: &MemberRecord, now: Instant) {
        let newer = record.incarnation > self.own.incarnation;
        let worse = record.incarnation == self.own.incarnation && record.state > self.own.state;
        if newer || worse {
            self.own.incarnation = record.incarnation + 1;
            self.flush_soon(now);
        }
    }

    /// Asks a peer whose tables differ, once they have had time to agree.
    fn compare(
        &mut self,
        from: &EntryHostId,
        gossip: &Gossip,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let own_digests = MemberTable::fold_own(*self.members.digests(), &self.own);
        let members_digest = combined(&own_digests);
        let same = gossip.members_digest == members_digest
            && gossip.rumours_digest == self.rumours.digest();
        if same || !self.may_sync(now) {
            return;
        }
        self.synced_at = Some(now);
        let request = SyncRequest { members: own_digests, rumours: *self.rumours.digests() };
        self.send(from, PeerMessage::SyncRequest(Box::new(request)), effects);
    }

    fn may_sync(&self, now: Instant) -> bool {
        let Some(synced_at) = self.synced_at else {
            return true;
        };
        let changed_at = self.members.changed_at().max(self.rumours.changed_at());
        let quiet = changed_at.is_none_or(|at| now >= at + QUIET);
        quiet && now >= synced_at + SYNC_SPACING
    }
}
