//! The controller's lease in the object API.
//!
//! The lease object contains the holder, a fencing number that grows with each new holder, and a nonce by which a host
//! recognises its own write after the store's answer was lost. No wall-clock time is involved: an observer expires the
//! lease by its own monotonic clock, counted from when it saw the object change, while the holder counts from before it
//! sent the renewal. So the lease always expires for its holder first. The poll interval grows with a host's rank in
//! the order of hosts, which bounds the reads of a large fleet.

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
/// Longest poll interval of a host with a high rank.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Consecutive ranks that share a poll interval; each further group waits one renewal interval longer.
const RANKS_PER_INTERVAL: usize = 3;
/// Time after which a store call without an answer is abandoned.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Content of the lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// `None` after the holder released the lease.
    pub holder: Option<EntryHostId>,
    pub fencing: FencingNumber,
    pub nonce: u64,
}

/// Lease state of one host, as holder or observer.
#[derive(Debug)]
pub struct Lease {
    cfg: RolloutConfig,
    rank: usize,
    /// The object as last read or written, and when it was first seen in this version.
    seen: Option<SeenLease>,
    call: Option<PendingCall>,
    next_call: CallId,
    held: Option<HeldLease>,
    /// Write whose answer was lost, so that its effect is unknown.
    unconfirmed: Option<PendingWrite>,
    /// When the next read or write of the lease is due.
    next_poll: Option<Instant>,
    stopping: bool,
}

/// The lease while this host holds it.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    pub fencing: FencingNumber,
    /// Time from which the holder no longer acts.
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
            unconfirmed: None,
            next_poll: None,
            stopping: false,
        }
    }

    /// Sets this host's position in the order of hosts.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// The lease, if this host holds it and may act at `now`.
    #[must_use]
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        self.held.filter(|held| now < held.act_until)
    }

    /// Releases the lease at the next opportunity and stops requesting it.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.next_poll = None;
    }

    /// Store call that is due, if any.
    pub fn advance(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> Option<Effect> {
        self.expire(now);
        if self.call.is_some() || self.next_poll.is_some_and(|at| now < at) {
            return None;
        }
        if self.stopping {
            // A call that completed after the stop may have scheduled a poll, whose time would keep waking the host.
            self.next_poll = None;
            return self.release(now, rng);
        }
        self.next_poll = Some(now + self.poll_interval());
        let fencing = self.fencing_to_write(now);
        match fencing {
            Some(fencing) => Some(self.write(Some(self.cfg.host.clone()), fencing, now, rng)),
            None => Some(self.read(now)),
        }
    }

    /// When [`Lease::advance`] has something to do.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let call_timeout = self.call.as_ref().map(|call| call.sent_at + CALL_TIMEOUT);
        let poll = self.next_poll.filter(|_| self.call.is_none());
        let expiry = self.held.map(|held| held.act_until);
        [call_timeout, poll, expiry].into_iter().flatten().min()
    }

    /// Handles the result of a store call; results of unknown calls are ignored.
    pub fn store_result(&mut self, id: CallId, result: StoreResult, now: Instant) {
        let Some(call) = self.call.take_if(|call| call.id == id) else {
            return;
        };
        match (call.write, result) {
            (Some(write), Ok(StoreReply::Written(version))) => self.on_written(write, version, now),
            (Some(_), Ok(StoreReply::Conflict)) => self.on_conflict(now),
            (Some(write), Err(StoreError::Unknown)) => self.unconfirmed = Some(write),
            (None, Ok(StoreReply::Object(object))) => self.on_read(object, now),
            (_, Ok(_) | Err(_)) => {}
        }
    }

    fn expire(&mut self, now: Instant) {
        self.held = self.held(now);
        let timed_out = |call: &mut PendingCall| now >= call.sent_at + CALL_TIMEOUT;
        if let Some(call) = self.call.take_if(timed_out) {
            self.unconfirmed = call.write.or(self.unconfirmed.take());
        }
    }

    /// Fencing number to write, if a write is due: unchanged to renew the lease, one higher to take over a released or
    /// expired one, and 1 for the first.
    fn fencing_to_write(&self, now: Instant) -> Option<FencingNumber> {
        if self.unconfirmed.is_some() {
            return None;
        }
        if let Some(held) = self.held {
            return Some(held.fencing);
        }
        let seen = self.seen.as_ref()?;
        let Some(record) = &seen.record else {
            return Some(1);
        };
        let has_expired = now >= seen.since + self.cfg.lease_duration;
        (record.holder.is_none() || has_expired).then_some(record.fencing + 1)
    }

    fn poll_interval(&self) -> Duration {
        if self.held.is_some() {
            return self.cfg.renew_interval;
        }
        let intervals = 1 + self.rank / RANKS_PER_INTERVAL;
        let interval = self.cfg.renew_interval * u32::try_from(intervals).unwrap_or(u32::MAX);
        interval.min(MAX_POLL_INTERVAL)
    }

    fn release(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> Option<Effect> {
        let held = self.held.take()?;
        Some(self.write(None, held.fencing, now, rng))
    }

    fn read(&mut self, now: Instant) -> Effect {
        let op = StoreOp::Get { key: LEASE_KEY.to_owned() };
        self.start_call(op, None, now)
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
        self.start_call(op, Some(PendingWrite { record, sent_at: now }), now)
    }

    fn start_call(&mut self, op: StoreOp, write: Option<PendingWrite>, now: Instant) -> Effect {
        self.next_call += 1;
        self.call = Some(PendingCall { id: self.next_call, sent_at: now, write });
        Effect::Store { call: self.next_call, op }
    }

    fn on_written(&mut self, write: PendingWrite, version: ObjectVersion, now: Instant) {
        let valid_for = self.cfg.lease_duration.saturating_sub(self.cfg.lease_margin);
        self.held = (write.record.holder.as_ref() == Some(&self.cfg.host)).then_some(HeldLease {
            fencing: write.record.fencing,
            act_until: write.sent_at + valid_for,
        });
        self.unconfirmed = None;
        self.seen = Some(SeenLease { version, record: Some(write.record), since: now });
    }

    fn on_conflict(&mut self, now: Instant) {
        self.held = None;
        self.unconfirmed = None;
        self.seen = None;
        self.next_poll = Some(now);
    }

    fn on_read(&mut self, object: Option<Object>, now: Instant) {
        let version = object.as_ref().map_or(0, |object| object.version);
        let record = object.and_then(|object| parse_record(&object.value));
        if let Some(write) = self.unconfirmed.take()
            && record.as_ref() == Some(&write.record)
        {
            self.on_written(write, version, now);
            return;
        }
        if self.seen.as_ref().is_none_or(|seen| seen.version != version) {
            self.held = None;
            self.seen = Some(SeenLease { version, record, since: now });
            if self.fencing_to_write(now).is_some() {
                self.next_poll = Some(now);
            }
        }
    }
}

/// Parses the lease object. An unreadable one counts as a released lease with the lowest fencing number.
fn parse_record(value: &[u8]) -> Option<LeaseRecord> {
    let unreadable = LeaseRecord { holder: None, fencing: 0, nonce: 0 };
    Some(serde_json::from_slice(value).unwrap_or(unreadable))
}
