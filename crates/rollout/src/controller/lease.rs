//! The controller's lease in the object API.
//!
//! The object holds the holder, a fencing number that grows with each new holder, and a nonce that tells a host's own
//! write from another's when the answer to the write was lost. No calendar time is involved: an observer lets the
//! lease run out on its own monotonic clock, counted from when it saw the object change, while the holder counts from
//! before it sent the renewal. So the holder's view always ends first. Hosts look the less often the later they stand
//! in the order of hosts, which bounds the reads of a large fleet.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::Condition;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::FencingNumber;
use foxtailhoist_model::Object;
use foxtailhoist_model::ObjectVersion;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::RolloutConfig;
use crate::event::CallId;
use crate::event::Effect;

/// Key of the lease object.
pub const LEASE_KEY: &str = "lease/rollout";
/// Longest interval between looks of a host that is far back in the order.
const LONGEST_LOOK_INTERVAL: Duration = Duration::from_secs(60);
/// Hosts that look at the shortest interval.
const FIRST_IN_LINE: usize = 3;
/// Time after which a call without an answer is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What the lease object holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// `None` once its holder gave it back.
    pub holder: Option<EntryHostId>,
    pub fencing: FencingNumber,
    pub nonce: u64,
}

/// One host's part in the lease.
#[derive(Debug)]
pub struct Lease {
    cfg: RolloutConfig,
    rank: usize,
    /// The object as last seen, and when it was first seen so.
    seen: Option<SeenLease>,
    call: Option<PendingCall>,
    next_call: CallId,
    held: Option<HeldLease>,
    /// A write whose answer was lost.
    unsure: Option<PendingWrite>,
    next_look: Option<Instant>,
    stopping: bool,
}

/// The lease in this host's hands.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    pub fencing: FencingNumber,
    /// From then on the holder acts no more.
    pub act_until: Instant,
}

#[derive(Debug)]
struct SeenLease {
    version: ObjectVersion,
    record: Option<LeaseRecord>,
    since: Instant,
}

#[derive(Debug)]
struct PendingCall {
    id: CallId,
    sent_at: Instant,
    write: Option<PendingWrite>,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    record: LeaseRecord,
    sent_at: Instant,
}

impl Lease {
    #[must_use]
    pub fn new(cfg: RolloutConfig) -> Lease {
        Lease {
            cfg,
            rank: 0,
            seen: None,
            call: None,
            next_call: 0,
            held: None,
            unsure: None,
            next_look: None,
            stopping: false,
        }
    }

    /// Place of this host in the order of hosts.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// The lease, if this host holds it and may act at `now`.
    #[must_use]
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        self.held.filter(|held| now < held.act_until)
    }

    /// Gives the lease back at the next opportunity and asks for it no more.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.next_look = None;
    }

    /// The call that is due, if any.
    pub fn advance(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> Option<Effect> {
        self.expire(now);
        if self.call.is_some() || self.next_look.is_some_and(|at| now < at) {
            return None;
        }
        if self.stopping {
            // A call that ended after the stop may have planned another look; nobody takes it.
            self.next_look = None;
            return self.release(now, rng);
        }
        self.next_look = Some(now + self.look_interval());
        let fencing = self.wanted_fencing(now);
        match fencing {
            Some(fencing) => Some(self.write(Some(self.cfg.host.clone()), fencing, now, rng)),
            None => Some(self.read(now)),
        }
    }

    /// When [`Lease::advance`] has something to do.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let call_timeout = self.call.as_ref().map(|call| call.sent_at + CALL_TIMEOUT);
        let look = self.next_look.filter(|_| self.call.is_none());
        let lapse = self.held.map(|held| held.act_until);
        [call_timeout, look, lapse].into_iter().flatten().min()
    }

    /// Takes the end of a call; others' calls are ignored.
    pub fn store_result(&mut self, id: CallId, result: StoreResult, now: Instant) {
        let Some(call) = self.call.take_if(|call| call.id == id) else {
            return;
        };
        match (call.write, result) {
            (Some(write), Ok(StoreReply::Written(version))) => self.written(write, version, now),
            (Some(_), Ok(StoreReply::Conflict)) => self.lost(now),
            (Some(write), Err(StoreError::Unknown)) => self.unsure = Some(write),
            (None, Ok(StoreReply::Object(object))) => self.observed(object, now),
            (_, Ok(_) | Err(_)) => {}
        }
    }

    fn expire(&mut self, now: Instant) {
        self.held = self.held(now);
        let timed_out = |call: &mut PendingCall| now >= call.sent_at + CALL_TIMEOUT;
        if let Some(call) = self.call.take_if(timed_out) {
            self.unsure = call.write.or(self.unsure.take());
        }
    }

    /// Fencing number to write: kept on a renewal, one higher on taking a lease that ran out.
    fn wanted_fencing(&self, now: Instant) -> Option<FencingNumber> {
        if self.unsure.is_some() {
            return None;
        }
        if let Some(held) = self.held {
            return Some(held.fencing);
        }
        let seen = self.seen.as_ref()?;
        let Some(record) = &seen.record else {
            return Some(1);
        };
        let ran_out = now >= seen.since + self.cfg.lease_duration;
        (record.holder.is_none() || ran_out).then_some(record.fencing + 1)
    }

    fn look_interval(&self) -> Duration {
        if self.held.is_some() {
            return self.cfg.renew_interval;
        }
        let places = 1 + self.rank / FIRST_IN_LINE;
        let interval = self.cfg.renew_interval * u32::try_from(places).unwrap_or(u32::MAX);
        interval.min(LONGEST_LOOK_INTERVAL)
    }

    fn release(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> Option<Effect> {
        let held = self.held.take()?;
        Some(self.write(None, held.fencing, now, rng))
    }

    fn read(&mut self, now: Instant) -> Effect {
        let op = StoreOp::Get { key: LEASE_KEY.to_owned() };
        self.start(op, None, now)
    }

    fn write(
        &mut self,
        holder: Option<EntryHostId>,
        fencing: FencingNumber,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Effect {
        let record = LeaseRecord { holder, fencing, nonce: rng.next_u64() };
        let condition = match &self.seen {
            Some(SeenLease { version, record: Some(_), .. }) => Condition::Version(*version),
            Some(SeenLease { record: None, .. }) | None => Condition::Absent,
        };
        let value = serde_json::to_vec(&record).map(Bytes::from).unwrap_or_default();
        let op = StoreOp::Put { key: LEASE_KEY.to_owned(), value, condition };
        self.start(op, Some(PendingWrite { record, sent_at: now }), now)
    }

    fn start(&mut self, op: StoreOp, write: Option<PendingWrite>, now: Instant) -> Effect {
        self.next_call += 1;
        self.call = Some(PendingCall { id: self.next_call, sent_at: now, write });
        Effect::Store { call: self.next_call, op }
    }

    fn written(&mut self, write: PendingWrite, version: ObjectVersion, now: Instant) {
        let valid_for = self.cfg.lease_duration.saturating_sub(self.cfg.lease_margin);
        self.held = (write.record.holder.as_ref() == Some(&self.cfg.host)).then_some(HeldLease {
            fencing: write.record.fencing,
            act_until: write.sent_at + valid_for,
        });
        self.unsure = None;
        self.seen = Some(SeenLease { version, record: Some(write.record), since: now });
    }

    fn lost(&mut self, now: Instant) {
        self.held = None;
        self.unsure = None;
        self.seen = None;
        self.next_look = Some(now);
    }

    fn observed(&mut self, object: Option<Object>, now: Instant) {
        let version = object.as_ref().map_or(0, |object| object.version);
        let record = object.and_then(|object| parse(&object.value));
        if let Some(write) = self.unsure.take()
            && record.as_ref() == Some(&write.record)
        {
            self.written(write, version, now);
            return;
        }
        if self.seen.as_ref().is_none_or(|seen| seen.version != version) {
            self.held = None;
            self.seen = Some(SeenLease { version, record, since: now });
            if self.wanted_fencing(now).is_some() {
                self.next_look = Some(now);
            }
        }
    }
}

/// An object that cannot be read counts as a lease of nobody with the lowest number.
fn parse(value: &[u8]) -> Option<LeaseRecord> {
    let unreadable = LeaseRecord { holder: None, fencing: 0, nonce: 0 };
    Some(serde_json::from_slice(value).unwrap_or(unreadable))
}
