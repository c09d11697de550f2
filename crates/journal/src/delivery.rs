//! Brings this host's entries into the log: by the shard's home, or by a write of its own, with copies at peers while
//! the commit takes its time.

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
use crate::journal::Journal;
use crate::journal::KnownHead;
use crate::journal::RunningClaim;
use crate::message::JournalMessage;
use crate::message::Verdict;
use crate::own::Origin;
use crate::own::OwnEntry;
use crate::own::Route;
use crate::places::COPIES;

/// Longest wait of an entry that waits only for others before it is looked at again.
const REVIEW_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a refused claim is kept while another's claim stands undecided; a home that cannot write for longer
/// leaves its key undecided until claims are forgotten.
const ABANDONED_KEPT: Duration = Duration::from_secs(300);
/// Time between two questions for a shard's head.
const HEAD_QUERY_INTERVAL: Duration = Duration::from_millis(100);

impl Journal {
    /// Looks at every entry that is due.
    pub(crate) fn review_due(&mut self, now: Instant) {
        while let Some(id) = self.parked.due(now) {
            self.review_parked(id, now);
        }
        while let Some(id) = self.own.due(now) {
            self.own.review_at(id, now + REVIEW_INTERVAL);
            self.review(id, now);
        }
    }

    /// Passes over a host that could not be reached.
    pub(crate) fn bypass(&mut self, host: &EntryHostId, now: Instant) {
        if self.places.bypass(host, now) {
            self.own.review_all(now);
        }
    }

    /// Copies at peers that an entry needs to be safe without the store; 0 when there is no peer.
    pub(crate) fn copies_wanted(&self, now: Instant) -> usize {
        self.places.holders(EntryId::Bill(0), now).len().min(COPIES)
    }

    /// Carries out what the log decided about an entry of this host.
    pub(crate) fn settle(&mut self, id: EntryId, verdict: Verdict, now: Instant) {
        self.parked.remove(id);
        if self.keeps_abandoned(id, &verdict, now) {
            return;
        }
        let Some(own) = self.own.remove(id) else { return };
        for holder in own.asked.keys() {
            self.outbox.to(holder).release.push(id);
        }
        match own.origin.clone() {
            Origin::Claim { request, key } => {
                let result = claim_result(&verdict);
                if let (ClaimResult::Granted, Entry::Claim { tag, .. }) = (&result, &own.entry) {
                    let running = RunningClaim { tag: *tag, granted_at: now };
                    let retention = self.cfg.claim_retention.saturating_sub(self.cfg.claim_wait);
                    let is_past = |claim: RunningClaim| now >= claim.granted_at + retention;
                    let holds = self.running.insert(key.clone(), running).is_none_or(is_past);
                    self.invariants.check(Invariant::AtMostOneRunPerKey, holds, || {
                        format!("{key:?} was granted while it runs here")
                    });
                }
                self.effects.push(Effect::Claimed { request, key, result });
            }
            Origin::AbandonedClaim { key } => self.release_abandoned(own, key, &verdict, now),
            Origin::Outcome { request } if !own.told => {
                self.effects.push(Effect::OutcomeSafe { request });
            }
            Origin::Bill { request } if !own.told => {
                let how = match verdict {
                    Verdict::Committed => BillSafety::Committed,
                    Verdict::Claim(_) | Verdict::Expired => BillSafety::Held,
                };
                self.effects.push(Effect::Billed { request, how });
            }
            Origin::Outcome { .. } | Origin::Bill { .. } | Origin::Unattended => {}
        }
    }

    /// Keeps a refused claim that a home may hold while another's claim stands undecided: once that one is released, the
    /// home's copy may be written, and only this host can free its key then. The log is asked again at the next review.
    fn keeps_abandoned(&mut self, id: EntryId, verdict: &Verdict, now: Instant) -> bool {
        let Some(own) = self.own.find_mut(id) else { return false };
        let is_kept = matches!(own.origin, Origin::AbandonedClaim { .. })
            && own.is_exposed()
            && now < own.at + ABANDONED_KEPT;
        if !is_kept || claim_result(verdict) != ClaimResult::Undecided {
            return false;
        }
        own.route = Route::Undetermined;
        self.own.review_at(id, now + REVIEW_INTERVAL);
        true
    }

    /// A claim became durable after its request was refused: nothing ran, so the key is freed.
    fn release_abandoned(&mut self, own: OwnEntry, key: ClaimKey, verdict: &Verdict, now: Instant) {
        let Entry::Claim { tag, .. } = own.entry else { return };
        if claim_result(verdict) == ClaimResult::Granted {
            self.stats.late_claims += 1;
            let outcome = ClaimOutcome::NotRun;
            self.hold(Entry::Outcome { key, tag, outcome }, Origin::Unattended, now);
        }
    }

    fn review(&mut self, id: EntryId, now: Instant) {
        if self.refuse_late_claim(id, now) || !self.place_in_log(id, now) {
            return;
        }
        self.direct(id, now);
        self.ask_holders(id, now);
        self.tell_safety(id, now);
    }

    /// Refuses a claim that is not durable within its bounded wait; true when it is gone for good.
    fn refuse_late_claim(&mut self, id: EntryId, now: Instant) -> bool {
        let Some(own) = self.own.find_mut(id) else { return true };
        let Origin::Claim { request, key } = own.origin.clone() else { return false };
        let deadline = own.at + self.cfg.claim_wait;
        if now < deadline {
            self.own.review_by(id, deadline);
            return false;
        }
        own.origin = Origin::AbandonedClaim { key: key.clone() };
        let (shard, is_exposed) = (own.shard, own.is_exposed());
        let result = ClaimResult::Unavailable;
        self.effects.push(Effect::Claimed { request, key, result });
        if is_exposed {
            return false;
        }
        let mut withdrawn = false;
        self.with_shard(shard, now, |shard, _| withdrawn = shard.withdraw(id));
        if withdrawn {
            self.own.remove(id);
        }
        withdrawn
    }

    /// Finds a place in the log before the entry, which no other host has seen yet.
    fn place_in_log(&mut self, id: EntryId, now: Instant) -> bool {
        let Some(own) = self.own.find(id) else { return false };
        if own.placed {
            return true;
        }
        let shard = own.shard;
        let give_up_at = own.at + self.cfg.home_timeout;
        let age_limit = self.cfg.head_age_limit;
        let own_head = self.shards[shard as usize].head(now, age_limit);
        let told_head = self.heads.get(&shard).and_then(|known| known.head);
        let told_head = told_head.filter(|(_, at)| now < *at + age_limit).map(|(head, _)| head);
        let head = own_head.max(told_head);
        if head.is_none() && now < give_up_at {
            self.ask_for_head(shard, self.places.is_home(shard), now);
            self.own.review_by(id, give_up_at);
            return false;
        }
        self.own.place(id, head);
        true
    }

    fn ask_for_head(&mut self, shard: ShardId, is_home: bool, now: Instant) {
        if is_home {
            self.shards[shard as usize].want();
            return;
        }
        let known = self.heads.entry(shard).or_insert(KnownHead { head: None, asked_at: None });
        if known.asked_at.is_some_and(|at| now < at + HEAD_QUERY_INTERVAL) {
            return;
        }
        known.asked_at = Some(now);
        let home = self.places.home(shard).clone();
        self.outbox.to(&home).single.push(JournalMessage::HeadQuery { shard });
    }

    /// Sends an entry to its shard's home, or writes it here when the home does not answer.
    fn direct(&mut self, id: EntryId, now: Instant) {
        let Some(own) = self.own.find(id) else { return };
        let home = self.places.home(own.shard).clone();
        let was_declined = !own.is_exposed();
        match own.route.clone() {
            Route::Undetermined => self.send_or_write(id, home, now),
            Route::Home { home: sent_to, .. } if sent_to != home => {
                self.send_or_write(id, home, now);
            }
            Route::Home { .. } if was_declined || self.places.is_bypassed(&home, now) => {
                self.write_here(id, now);
            }
            Route::Home { sent_at, accepted, .. } => {
                let patience = self.home_patience(accepted);
                if now < sent_at + patience {
                    self.own.review_by(id, sent_at + patience);
                } else if accepted {
                    self.send_home(id, home, now);
                } else {
                    self.places.bypass(&home, now);
                    self.write_here(id, now);
                }
            }
            Route::Local { since } if now >= since + REVIEW_INTERVAL => {
                self.return_home(id, home, now);
            }
            Route::Local { .. } => {}
        }
    }

    fn send_or_write(&mut self, id: EntryId, home: EntryHostId, now: Instant) {
        if home != self.cfg.host && self.places.try_home(&home, now) {
            self.send_home(id, home, now);
        } else {
            self.write_here(id, now);
        }
    }

    /// Hands an entry back to a home that may work again, unless a write of it is under way here.
    fn return_home(&mut self, id: EntryId, home: EntryHostId, now: Instant) {
        let Some(own) = self.own.find(id) else { return };
        let shard = own.shard;
        if home == self.cfg.host || !self.places.try_home(&home, now) {
            return;
        }
        let mut withdrawn = false;
        self.with_shard(shard, now, |shard, _| withdrawn = shard.withdraw(id));
        if withdrawn {
            self.send_home(id, home, now);
        }
    }

    /// How long the home may take to answer.
    fn home_patience(&self, accepted: bool) -> Duration {
        if accepted { self.cfg.bill_window + REVIEW_INTERVAL } else { self.cfg.home_timeout }
    }

    fn send_home(&mut self, id: EntryId, home: EntryHostId, now: Instant) {
        let patience = self.home_patience(false);
        let Some(own) = self.own.find_mut(id) else { return };
        let accepted =
            matches!(&own.route, Route::Home { home: at, accepted: true, .. } if *at == home);
        own.route = Route::Home { home: home.clone(), sent_at: now, accepted };
        own.sent += 1;
        let held = own.held();
        self.outbox.to(&home).append.push(held);
        self.own.review_by(id, now + patience);
    }

    fn write_here(&mut self, id: EntryId, now: Instant) {
        let Some(own) = self.own.find_mut(id) else { return };
        own.route = Route::Local { since: now };
        let (held, shard) = (own.held(), own.shard);
        self.with_shard(shard, now, |shard, cx| shard.add(held, Waiter::Own, cx));
    }

    /// Asks peers to keep a bill or an outcome until enough do.
    fn ask_holders(&mut self, id: EntryId, now: Instant) {
        let Some(own) = self.own.find_mut(id) else { return };
        if !own.may_park() {
            return;
        }
        let places = &self.places;
        own.holders.retain(|holder| places.is_alive(holder));
        let home = match &own.route {
            Route::Home { home, .. } => Some(home.clone()),
            Route::Local { .. } | Route::Undetermined => None,
        };
        let timeout = self.cfg.park_timeout;
        let is_waiting = |at: &Instant| now < *at + timeout;
        let unanswered =
            own.asked.iter().filter(|(peer, at)| is_waiting(at) && !own.holders.contains(*peer));
        let mut expected = own.holders.len() + unanswered.count() + usize::from(home.is_some());
        let held = own.held();
        let mut review_at = None;
        for peer in places.holders(id, now) {
            let is_asked = own.asked.get(&peer).is_some_and(|at| now < *at + REVIEW_INTERVAL);
            if expected >= COPIES {
                break;
            }
            if Some(&peer) == home.as_ref() || own.holders.contains(&peer) || is_asked {
                continue;
            }
            expected += 1;
            own.asked.insert(peer.clone(), now);
            self.outbox.to(&peer).park.push(held.clone());
            review_at = Some(now + timeout);
        }
        if let Some(at) = review_at {
            self.own.review_by(id, at);
        }
    }

    /// Tells the request where its bill or outcome is safe.
    fn tell_safety(&mut self, id: EntryId, now: Instant) {
        let Some(own) = self.own.find_mut(id) else { return };
        if own.told || !own.may_park() {
            return;
        }
        let is_parked = own.copies() >= COPIES;
        let held_at = own.at + self.cfg.held_after;
        match own.origin {
            Origin::Bill { request } if is_parked => {
                own.told = true;
                self.effects.push(Effect::Billed { request, how: BillSafety::Parked });
            }
            Origin::Bill { request } if now >= held_at => {
                own.told = true;
                self.effects.push(Effect::Billed { request, how: BillSafety::Held });
            }
            Origin::Outcome { request } if is_parked => {
                own.told = true;
                self.effects.push(Effect::OutcomeSafe { request });
            }
            Origin::Bill { .. } => self.own.review_by(id, held_at),
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
