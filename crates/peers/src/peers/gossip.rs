//! Heartbeats and gossip.
//!
//! Changes are sent to a few hosts at once and then with the next heartbeats, each in a fixed number of rounds. Lost
//! updates are found by the digests in each gossip message: a host whose tables have not changed for a while requests
//! the buckets that still differ from those of a peer.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use super::Peers;
use crate::event::Effect;
use crate::member::MemberTable;
use crate::member::PeerState;
use crate::message::CentreStatus;
use crate::message::Gossip;
use crate::message::GossipUpdate;
use crate::message::MAX_GOSSIP_MEMBERS;
use crate::message::MemberRecord;
use crate::message::PeerMessage;
use crate::message::Sync;
use crate::message::SyncRequest;
use crate::message::combine_digests;
use foxtailhoist_model::EntryHostId;

/// Delay before changes are sent, which batches those that follow.
const FLUSH_DELAY: Duration = Duration::from_millis(20);
/// Delay before announcements are sent again.
const REFLUSH_DELAY: Duration = Duration::from_millis(250);
/// Number of rounds in which a member change is sent.
const MEMBER_ROUNDS: u32 = 3;
/// Time without a change after which a sync may be requested.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Minimum time between sync requests.
const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(1);

impl Peers {
    /// Sends one round of gossip that is not acknowledged.
    pub(super) fn flush(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.flush_at = None;
        self.send_round(false, now, effects);
        if !self.updates.forwarded(now).is_empty() {
            self.flush_at = Some(now + REFLUSH_DELAY);
        }
    }

    pub(super) fn schedule_flush(&mut self, now: Instant) {
        let at = now + FLUSH_DELAY;
        self.flush_at = Some(self.flush_at.map_or(at, |flush_at| flush_at.min(at)));
    }

    /// Sends one round of gossip, as heartbeats if `probing`.
    pub(super) fn send_round(&mut self, probing: bool, now: Instant, effects: &mut Vec<Effect>) {
        let gossip = self.round_gossip(now);
        for host in self.view.heartbeat_targets(&mut self.rng) {
            if probing {
                self.detector.heartbeat_sent(&host, now);
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
                self.link_heartbeat_sent(&host, now);
            }
            self.send_gossip(&host, gossip, probing, effects);
        }
    }

    /// Acknowledges a heartbeat, with the data centre statuses that are newer than `known`, the ones that it carried.
    pub(super) fn acknowledge(
        &mut self,
        to: &EntryHostId,
        sequence: u64,
        known: &[CentreStatus],
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let updates = self.updates.forwarded(now);
        let mut gossip = self.gossip(self.spreading_members(), updates, now);
        if !known.is_empty() {
            gossip.centres = self.centres.newer_than(known);
        }
        self.add_record_of(to, &mut gossip);
        self.send(to, PeerMessage::Ack { sequence, gossip: Box::new(gossip) }, effects);
    }

    /// Sends a single heartbeat, as a second or relayed probe.
    pub(super) fn send_heartbeat(
        &mut self,
        to: &EntryHostId,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let gossip = self.gossip(Vec::new(), Vec::new(), now);
        self.send_gossip(to, gossip, true, effects);
    }

    /// Merges a gossip message.
    pub(super) fn handle_gossip(
        &mut self,
        from: &EntryHostId,
        gossip: &Gossip,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if gossip.sender.host != *from {
            return;
        }
        self.merge_record(&gossip.sender, now);
        if let Some(entry) = self.members.get_mut(from)
            && entry.record.incarnation == gossip.sender.incarnation
        {
            entry.last_gossip_at = Some(now);
            entry.last_failure_at = None;
            entry.revision = gossip.revision;
        }
        self.merge_records(&gossip.members, now);
        self.merge_updates(gossip.rumours.clone(), now, effects);
        for status in &gossip.centres {
            self.centres.merge(status, now);
        }
        self.handle_revision(from, gossip.revision, gossip.confirmed_age_ms, now, effects);
        self.request_sync_if_different(from, gossip, now, effects);
    }

    pub(super) fn merge_records(&mut self, records: &[MemberRecord], now: Instant) {
        for record in records {
            self.merge_record(record, now);
        }
    }

    pub(super) fn merge_updates(
        &mut self,
        updates: Vec<GossipUpdate>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        for update in updates {
            let age = Duration::from_millis(update.age_ms);
            if self.updates.merge(update.announcement.clone(), age, now) {
                effects.push(Effect::Learned(update.announcement));
                self.schedule_flush(now);
            }
        }
    }

    /// Schedules a member's change to be spread.
    pub(super) fn spread_change(&mut self, host: &EntryHostId, now: Instant) {
        self.spreading.insert(host.clone(), MEMBER_ROUNDS);
        self.view_stale = true;
        self.schedule_flush(now);
    }

    /// Responds to a sync request with entries of the buckets that differ.
    pub(super) fn answer_sync(
        &mut self,
        to: &EntryHostId,
        request: &SyncRequest,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let start = usize::from(self.rng.random::<u16>());
        let digests_without_own = MemberTable::toggle_own_record(request.members, &self.own);
        let sync = Sync {
            members: self.members.differing(&digests_without_own, start),
            rumours: self.updates.differing(&request.rumours, start, now),
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

    /// Adds the receiver's own record if it is suspect or gone, so that the receiver can refute it.
    fn add_record_of(&self, to: &EntryHostId, gossip: &mut Gossip) {
        let is_refutable = |state| matches!(state, PeerState::Suspect | PeerState::Gone);
        let record = self.members.get(to).map(|entry| &entry.record);
        if let Some(record) = record.filter(|record| is_refutable(record.state)) {
            gossip.members.truncate(MAX_GOSSIP_MEMBERS - 1);
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
        let updates = self.updates.next_round(now);
        self.gossip(members, updates, now)
    }

    fn spreading_members(&self) -> Vec<MemberRecord> {
        let mut hosts: Vec<(&EntryHostId, &u32)> = self.spreading.iter().collect();
        hosts.sort_by_key(|(_, rounds)| std::cmp::Reverse(**rounds));
        let entries = hosts.into_iter().filter_map(|(host, _)| self.members.get(host));
        entries.take(MAX_GOSSIP_MEMBERS).map(|entry| entry.record.clone()).collect()
    }

    fn gossip(
        &self,
        members: Vec<MemberRecord>,
        rumours: Vec<GossipUpdate>,
        now: Instant,
    ) -> Gossip {
        let own_digests = MemberTable::toggle_own_record(*self.members.digests(), &self.own);
        Gossip {
            sender: self.own.clone(),
            revision: self.replica.revision(),
            confirmed_age_ms: self.replica.confirmed_age(now).map(|age| age.as_millis() as u64),
            members,
            rumours,
            members_digest: combine_digests(&own_digests),
            rumours_digest: self.updates.digest(),
            centres: Vec::new(),
        }
    }

    fn merge_record(&mut self, record: &MemberRecord, now: Instant) {
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
        self.spread_change(&record.host, now);
    }

    /// Refutes a false record of this host by raising its incarnation.
    fn refute(&mut self, record: &MemberRecord, now: Instant) {
        let newer = record.incarnation > self.own.incarnation;
        let worse = record.incarnation == self.own.incarnation && record.state > self.own.state;
        if newer || worse {
            self.own.incarnation = record.incarnation + 1;
            self.schedule_flush(now);
        }
    }

    /// Requests a sync from a peer whose tables differ, once the tables have had time to converge.
    fn request_sync_if_different(
        &mut self,
        from: &EntryHostId,
        gossip: &Gossip,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let own_digests = MemberTable::toggle_own_record(*self.members.digests(), &self.own);
        let members_digest = combine_digests(&own_digests);
        let same = gossip.members_digest == members_digest
            && gossip.rumours_digest == self.updates.digest();
        if same || !self.may_sync(now) {
            return;
        }
        self.last_sync_at = Some(now);
        let request = SyncRequest { members: own_digests, rumours: *self.updates.digests() };
        self.send(from, PeerMessage::SyncRequest(Box::new(request)), effects);
    }

    fn may_sync(&self, now: Instant) -> bool {
        let Some(last_sync_at) = self.last_sync_at else {
            return true;
        };
        let changed_at = self.members.changed_at().max(self.updates.changed_at());
        let is_quiet = changed_at.is_none_or(|at| now >= at + QUIET_TIME);
        is_quiet && now >= last_sync_at + MIN_SYNC_INTERVAL
    }
}
