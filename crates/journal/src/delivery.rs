//! Delivers this host's entries to the log, through the shard's owner or by a local write, and replicates them to peers
//! until they are committed.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Invariant;

use crate::cx::Waiter;
use crate::entry::Entry;
use crate::entry::EntryId;
use crate::entry::ShardId;
use crate::event::BillSafety;
use crate::event::Effect;
use crate::host_table::MIN_REPLICAS;
use crate::journal::Journal;
use crate::journal::KnownHead;
use crate::journal::RunningClaim;
use crate::local::LocalEntry;
use crate::local::Origin;
use crate::local::Route;
use crate::message::JournalMessage;
use crate::message::Verdict;

/// Maximum time between two reviews of an entry that waits only for other hosts.
const REVIEW_INTERVAL: Duration = Duration::from_secs(5);
/// How long a refused claim is kept while another request's claim on its key is undecided. If the owner cannot write
/// for longer, the key stays undecided until its claim expires.
const ABANDONED_RETENTION: Duration = Duration::from_secs(300);
/// Interval between two queries for a shard's head.
const HEAD_QUERY_INTERVAL: Duration = Duration::from_millis(100);

impl Journal {
    /// Reviews every entry that is due.
    pub(crate) fn review_due(&mut self, now: Instant) {
        while let Some(id) = self.replicas.due(now) {
            self.review_replica(id, now);
        }
        while let Some(id) = self.local.due(now) {
            self.local.review_at(id, now + REVIEW_INTERVAL);
            self.review(id, now);
        }
    }

    /// Bypasses a host that could not be reached.
    pub(crate) fn bypass(&mut self, host: &EntryHostId, now: Instant) {
        if self.host_table.bypass(host, now) {
            self.local.review_all(now);
        }
    }

    /// Number of replicas at peers that make an entry safe without the store; 0 when there is no peer.
    pub(crate) fn replicas_required(&self, now: Instant) -> usize {
        self.host_table.replica_candidates(EntryId::Bill(0), now).len().min(MIN_REPLICAS)
    }

    /// Applies the verdict of the log to an entry of this host.
    pub(crate) fn complete_entry(&mut self, id: EntryId, verdict: Verdict, now: Instant) {
        self.replicas.remove(id);
        if self.retains_abandoned(id, &verdict, now) {
            return;
        }
        let Some(local) = self.local.remove(id) else { return };
        for peer in local.replica_requests.keys() {
            self.outbox.to(peer).release.push(id);
        }
        match local.origin.clone() {
            Origin::Claim { request, key } => {
                let result = claim_result(&verdict);
                if let (ClaimResult::Granted, Entry::Claim { tag, .. }) = (&result, &local.entry) {
                    let running = RunningClaim { tag: *tag, granted_at: now };
                    let retention = self.cfg.claim_retention.saturating_sub(self.cfg.claim_wait);
                    let is_expired = |claim: RunningClaim| now >= claim.granted_at + retention;
                    let holds = self.running.insert(key.clone(), running).is_none_or(is_expired);
                    self.invariants.check(Invariant::AtMostOneRunPerKey, holds, || {
                        format!(
                            "claim {key:?} was granted while it is already running on this host"
                        )
                    });
                }
                self.effects.push(Effect::Claimed { request, key, result });
            }
            Origin::AbandonedClaim { key } => self.release_abandoned(local, key, &verdict, now),
            Origin::Outcome { request } if !local.is_notified => {
                self.effects.push(Effect::OutcomeSafe { request });
            }
            Origin::Bill { request } if !local.is_notified => {
                let how = match verdict {
                    Verdict::Committed => BillSafety::Committed,
                    Verdict::Claim(_) | Verdict::Expired => BillSafety::Held,
                };
                self.effects.push(Effect::Billed { request, how });
            }
            Origin::Outcome { .. } | Origin::Bill { .. } | Origin::Unattended => {}
        }
    }

    /// Keeps a refused claim that an owner may hold while another request's claim on the key is undecided; true when it
    /// is kept. Once that claim is released, the owner's copy may be written, and only this host can free the key then.
    /// The next review asks the log again.
    fn retains_abandoned(&mut self, id: EntryId, verdict: &Verdict, now: Instant) -> bool {
        let Some(local) = self.local.find_mut(id) else { return false };
        let is_retained = matches!(local.origin, Origin::AbandonedClaim { .. })
            && local.may_be_at_owner()
            && now < local.tracked_at + ABANDONED_RETENTION;
        if !is_retained || claim_result(verdict) != ClaimResult::Undecided {
            return false;
        }
        local.route = Route::Undetermined;
        self.local.review_at(id, now + REVIEW_INTERVAL);
        true
    }

    /// Frees the key of a claim that became durable after its request was refused, since nothing ran.
    fn release_abandoned(
        &mut self,
        local: LocalEntry,
        key: ClaimKey,
        verdict: &Verdict,
        now: Instant,
    ) {
        let Entry::Claim { tag, .. } = local.entry else { return };
        if claim_result(verdict) == ClaimResult::Granted {
            self.stats.late_claims += 1;
            let outcome = ClaimOutcome::NotRun;
            self.track(Entry::Outcome { key, tag, outcome }, Origin::Unattended, now);
        }
    }

    fn review(&mut self, id: EntryId, now: Instant) {
        if self.refuse_late_claim(id, now) || !self.resolve_position(id, now) {
            return;
        }
        self.route_entry(id, now);
        self.request_replicas(id, now);
        self.notify_safety(id, now);
    }

    /// Refuses a claim that is not durable within its timeout; true when the entry is removed.
    fn refuse_late_claim(&mut self, id: EntryId, now: Instant) -> bool {
        let Some(local) = self.local.find_mut(id) else { return true };
        let Origin::Claim { request, key } = local.origin.clone() else { return false };
        let deadline = local.tracked_at + self.cfg.claim_wait;
        if now < deadline {
            self.local.review_by(id, deadline);
            return false;
        }
        local.origin = Origin::AbandonedClaim { key: key.clone() };
        let (shard, may_be_at_owner) = (local.shard, local.may_be_at_owner());
        let result = ClaimResult::Unavailable;
        self.effects.push(Effect::Claimed { request, key, result });
        if may_be_at_owner {
            return false;
        }
        let mut withdrawn = false;
        self.with_shard(shard, now, |shard, _| withdrawn = shard.withdraw(id));
        if withdrawn {
            self.local.remove(id);
        }
        withdrawn
    }

    /// Records the end of the log as the entry's lower bound before any other host sees the entry, or no bound if the
    /// end stays unknown for the owner timeout; true once done.
    fn resolve_position(&mut self, id: EntryId, now: Instant) -> bool {
        let Some(local) = self.local.find(id) else { return false };
        if local.is_positioned {
            return true;
        }
        let shard = local.shard;
        let give_up_at = local.tracked_at + self.cfg.owner_timeout;
        let age_limit = self.cfg.head_age_limit;
        let local_head = self.shards[shard as usize].head(now, age_limit);
        let reported_head = self.heads.get(&shard).and_then(|known| known.head);
        let reported_head =
            reported_head.filter(|(_, at)| now < *at + age_limit).map(|(head, _)| head);
        let head = local_head.max(reported_head);
        if head.is_none() && now < give_up_at {
            self.request_head(shard, self.host_table.is_owner(shard), now);
            self.local.review_by(id, give_up_at);
            return false;
        }
        self.local.set_position(id, head);
        true
    }

    fn request_head(&mut self, shard: ShardId, is_owner: bool, now: Instant) {
        if is_owner {
            self.shards[shard as usize].request_end_read();
            return;
        }
        let known = self.heads.entry(shard).or_insert(KnownHead { head: None, requested_at: None });
        if known.requested_at.is_some_and(|at| now < at + HEAD_QUERY_INTERVAL) {
            return;
        }
        known.requested_at = Some(now);
        let owner = self.host_table.owner(shard).clone();
        self.outbox.to(&owner).single.push(JournalMessage::HeadQuery { shard });
    }

    /// Sends an entry to its shard's owner, or writes it locally when the owner does not respond.
    fn route_entry(&mut self, id: EntryId, now: Instant) {
        let Some(local) = self.local.find(id) else { return };
        let owner = self.host_table.owner(local.shard).clone();
        let was_declined = !local.may_be_at_owner();
        match local.route.clone() {
            Route::Undetermined => self.send_or_write(id, owner, now),
            Route::Owner { owner: sent_to, .. } if sent_to != owner => {
                self.send_or_write(id, owner, now);
            }
            Route::Owner { .. } if was_declined || self.host_table.is_bypassed(&owner, now) => {
                self.write_locally(id, now);
            }
            Route::Owner { sent_at, accepted, .. } => {
                let timeout = self.owner_reply_timeout(accepted);
                if now < sent_at + timeout {
                    self.local.review_by(id, sent_at + timeout);
                } else if accepted {
                    self.send_to_owner(id, owner, now);
                } else {
                    self.host_table.bypass(&owner, now);
                    self.write_locally(id, now);
                }
            }
            Route::Local { queued_at } if now >= queued_at + REVIEW_INTERVAL => {
                self.return_to_owner(id, owner, now);
            }
            Route::Local { .. } => {}
        }
    }

    fn send_or_write(&mut self, id: EntryId, owner: EntryHostId, now: Instant) {
        if owner != self.cfg.host && self.host_table.try_owner(&owner, now) {
            self.send_to_owner(id, owner, now);
        } else {
            self.write_locally(id, now);
        }
    }

    /// Returns an entry to an owner that may have recovered, unless a local write of it is in progress.
    fn return_to_owner(&mut self, id: EntryId, owner: EntryHostId, now: Instant) {
        let Some(local) = self.local.find(id) else { return };
        let shard = local.shard;
        if owner == self.cfg.host || !self.host_table.try_owner(&owner, now) {
            return;
        }
        let mut withdrawn = false;
        self.with_shard(shard, now, |shard, _| withdrawn = shard.withdraw(id));
        if withdrawn {
            self.send_to_owner(id, owner, now);
        }
    }

    /// How long the owner may take to accept an entry, or to commit one that it accepted.
    fn owner_reply_timeout(&self, accepted: bool) -> Duration {
        if accepted { self.cfg.bill_window + REVIEW_INTERVAL } else { self.cfg.owner_timeout }
    }

    fn send_to_owner(&mut self, id: EntryId, owner: EntryHostId, now: Instant) {
        let timeout = self.owner_reply_timeout(false);
        let Some(local) = self.local.find_mut(id) else { return };
        let accepted =
            matches!(&local.route, Route::Owner { owner: at, accepted: true, .. } if *at == owner);
        local.route = Route::Owner { owner: owner.clone(), sent_at: now, accepted };
        local.sent += 1;
        let held = local.held();
        self.outbox.to(&owner).append.push(held);
        self.local.review_by(id, now + timeout);
    }

    fn write_locally(&mut self, id: EntryId, now: Instant) {
        let Some(local) = self.local.find_mut(id) else { return };
        local.route = Route::Local { queued_at: now };
        let (held, shard) = (local.held(), local.shard);
        self.with_shard(shard, now, |shard, cx| shard.add(held, Waiter::Local, cx));
    }

    /// Asks peers to hold replicas of a bill or an outcome until there are enough.
    fn request_replicas(&mut self, id: EntryId, now: Instant) {
        let Some(local) = self.local.find_mut(id) else { return };
        if !local.is_replicable() {
            return;
        }
        let host_table = &self.host_table;
        local.replica_hosts.retain(|peer| host_table.is_alive(peer));
        let owner = match &local.route {
            Route::Owner { owner, .. } => Some(owner.clone()),
            Route::Local { .. } | Route::Undetermined => None,
        };
        let timeout = self.cfg.replica_timeout;
        let is_waiting = |at: &Instant| now < *at + timeout;
        let unanswered = local
            .replica_requests
            .iter()
            .filter(|(peer, at)| is_waiting(at) && !local.replica_hosts.contains(*peer));
        let mut expected =
            local.replica_hosts.len() + unanswered.count() + usize::from(owner.is_some());
        let held = local.held();
        let mut review_at = None;
        for peer in host_table.replica_candidates(id, now) {
            let is_requested =
                local.replica_requests.get(&peer).is_some_and(|at| now < *at + REVIEW_INTERVAL);
            if expected >= MIN_REPLICAS {
                break;
            }
            if Some(&peer) == owner.as_ref() || local.replica_hosts.contains(&peer) || is_requested
            {
                continue;
            }
            expected += 1;
            local.replica_requests.insert(peer.clone(), now);
            self.outbox.to(&peer).park.push(held.clone());
            review_at = Some(now + timeout);
        }
        if let Some(at) = review_at {
            self.local.review_by(id, at);
        }
    }

    /// Notifies the request once its bill or outcome is replicated; a bill that takes too long is reported as held.
    fn notify_safety(&mut self, id: EntryId, now: Instant) {
        let Some(local) = self.local.find_mut(id) else { return };
        if local.is_notified || !local.is_replicable() {
            return;
        }
        let is_replicated = local.replica_count() >= MIN_REPLICAS;
        let held_at = local.tracked_at + self.cfg.held_after;
        match local.origin {
            Origin::Bill { request } if is_replicated => {
                local.is_notified = true;
                self.effects.push(Effect::Billed { request, how: BillSafety::Replicated });
            }
            Origin::Bill { request } if now >= held_at => {
                local.is_notified = true;
                self.effects.push(Effect::Billed { request, how: BillSafety::Held });
            }
            Origin::Outcome { request } if is_replicated => {
                local.is_notified = true;
                self.effects.push(Effect::OutcomeSafe { request });
            }
            Origin::Bill { .. } => self.local.review_by(id, held_at),
            _ => {}
        }
    }
}

fn claim_result(verdict: &Verdict) -> ClaimResult {
    match verdict {
        Verdict::Claim(result) => result.clone(),
        Verdict::Committed | Verdict::Expired => ClaimResult::Unavailable,
    }
}
