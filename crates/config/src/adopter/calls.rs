//! Store calls of an adopter and the handling of their results.

use std::sync::Arc;
use std::time::Instant;

use rand::RngExt;

use super::AUDIT_REPAIR_DELAY;
use super::Adopter;
use super::AuditRepair;
use super::CALL_TIMEOUT;
use super::Effect;
use super::INITIAL_BACKOFF;
use super::MAX_BACKOFF;
use super::MIN_WATCH_INTERVAL;
use super::POLL_INTERVAL;
use super::Pending;
use super::PendingKind;
use super::SeenActive;
use super::WATCH_WAIT;
use crate::ACTIVE_KEY;
use crate::Active;
use crate::CallId;
use crate::audit_key;
use crate::body_key;
use crate::decode;
use crate::decode_configuration;
use crate::encode;
use foxtailhoist_model::Condition;
use foxtailhoist_model::Object;
use foxtailhoist_model::ObjectVersion;
use foxtailhoist_model::Revision;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;

impl Adopter {
    pub(super) fn expire_call(&mut self, now: Instant) {
        let lost =
            self.pending.as_ref().is_some_and(|pending| now >= pending.sent_at + CALL_TIMEOUT);
        if lost {
            self.pending = None;
            self.back_off(now);
        }
    }

    /// Starts the store call that is due, if any. At most one call is in flight.
    pub(super) fn start_call(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.pending.is_some() || self.call_at.is_none_or(|at| now < at) {
            return;
        }
        if let Some(op) = self.due_repair(now) {
            self.send(PendingKind::Audit, op, now, effects);
            return;
        }
        if self.watcher {
            let after = self.seen.map_or(0, |seen| seen.version);
            let op = StoreOp::Watch { prefix: ACTIVE_KEY.to_owned(), after, wait: WATCH_WAIT };
            self.send(PendingKind::Watch, op, now, effects);
            return;
        }
        if let Some(at) = self.postponed_poll(now) {
            self.call_at = Some(at);
            return;
        }
        let op = StoreOp::Get { key: ACTIVE_KEY.to_owned() };
        self.send(PendingKind::Get, op, now, effects);
    }

    /// Time to which a poll is postponed because a recent confirmation makes it unnecessary now.
    fn postponed_poll(&self, now: Instant) -> Option<Instant> {
        self.in_force.as_ref().filter(|_| self.announced <= self.revision())?;
        let at = self.confirmed_at? + POLL_INTERVAL;
        (at > now).then_some(at)
    }

    fn due_repair(&mut self, now: Instant) -> Option<StoreOp> {
        let repair = self.repair.as_ref().filter(|repair| self.watcher && repair.at <= now)?;
        let key = audit_key(repair.active.revision);
        let value = encode(&repair.active.change);
        self.repair = None;
        Some(StoreOp::Put { key, value: value.ok()?, condition: Condition::Absent })
    }

    fn send(&mut self, kind: PendingKind, op: StoreOp, now: Instant, effects: &mut Vec<Effect>) {
        self.next_call += 1;
        let call = self.next_call;
        self.pending = Some(Pending { call, sent_at: now, kind });
        self.call_at = None;
        effects.push(Effect::Store { call, op });
    }

    pub(super) fn finish_call(
        &mut self,
        call: CallId,
        result: StoreResult,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.take_if(|pending| pending.call == call) else {
            return;
        };
        let Ok(reply) = result else {
            self.back_off(now);
            return;
        };
        self.failures = 0;
        self.schedule_next(pending.sent_at, now);
        match (pending.kind, reply) {
            (PendingKind::Watch, StoreReply::Objects { objects, at }) => {
                let active = objects.into_iter().find(|object| object.key == ACTIVE_KEY);
                self.handle_watch(active, at, pending.sent_at, now, effects);
            }
            (PendingKind::Get, StoreReply::Object(Some(object))) => {
                self.handle_active(&object, pending.sent_at, now, effects);
            }
            (PendingKind::Get, StoreReply::Object(None)) => self.report_fall_back(0, effects),
            (PendingKind::Body { active, requested_at }, StoreReply::Object(body)) => {
                self.handle_body(*active, body, requested_at, now, effects);
            }
            _ => {}
        }
    }

    fn schedule_next(&mut self, sent_at: Instant, now: Instant) {
        let at = if self.watcher {
            now.max(sent_at + MIN_WATCH_INTERVAL)
        } else {
            now + POLL_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25))
        };
        self.call_at = Some(at);
    }

    /// Schedules a retry after a failure. Resets `seen`, so that the next watch returns the current object at once.
    fn back_off(&mut self, now: Instant) {
        self.seen = None;
        let doubled = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(10));
        let wait = doubled.min(MAX_BACKOFF).mul_f64(self.rng.random_range(0.5..1.5));
        self.failures += 1;
        self.call_at = Some(now + wait);
    }

    fn handle_watch(
        &mut self,
        active: Option<Object>,
        store_version: ObjectVersion,
        sent_at: Instant,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(object) = active {
            self.handle_active(&object, sent_at, now, effects);
            return;
        }
        match self.seen {
            // The store's version decreased, so the next watch must start from the beginning.
            Some(seen) if store_version < seen.version => self.seen = None,
            Some(seen) => self.confirm_by_store(seen.revision, sent_at, now, effects),
            // There is no configuration yet, or the store does not support watches: wait before the next call.
            None => {
                self.report_fall_back(0, effects);
                self.back_off(now);
                self.failures = 0;
            }
        }
    }

    fn handle_active(
        &mut self,
        object: &Object,
        sent_at: Instant,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let active: Active = match decode(&object.value) {
            Ok(active) => active,
            Err(reason) => {
                effects.push(Effect::BodyRefused { revision: 0, reason });
                self.back_off(now);
                return;
            }
        };
        self.seen = Some(SeenActive { version: object.version, revision: active.revision });
        let in_force = self.revision();
        if active.revision < in_force {
            self.report_fall_back(active.revision, effects);
            return;
        }
        self.fell_back = None;
        if active.revision > in_force {
            let op = StoreOp::Get { key: body_key(&active.digest) };
            let kind = PendingKind::Body { active: Box::new(active), requested_at: sent_at };
            self.send(kind, op, now, effects);
            return;
        }
        self.check_preset(active.revision, &active.preset);
        self.confirm_by_store(active.revision, sent_at, now, effects);
    }

    fn report_fall_back(&mut self, store: Revision, effects: &mut Vec<Effect>) {
        let in_force = self.revision();
        if store >= in_force || self.fell_back == Some(store) {
            return;
        }
        self.fell_back = Some(store);
        effects.push(Effect::StoreFellBack { store, in_force });
    }

    fn confirm_by_store(
        &mut self,
        revision: Revision,
        at: Instant,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if revision != self.revision() {
            return;
        }
        self.confirm(Some(at));
        let age = now.duration_since(at);
        effects.push(Effect::StoreConfirmed { revision, age });
    }

    fn handle_body(
        &mut self,
        active: Active,
        body: Option<Object>,
        requested_at: Instant,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let body = body.ok_or_else(|| "body is missing".to_owned());
        match body.and_then(|object| decode_configuration(&active, &object.value)) {
            Ok(configuration) => {
                self.adopt(Arc::new(configuration), effects);
                self.confirm_by_store(active.revision, requested_at, now, effects);
                let jitter = AUDIT_REPAIR_DELAY.mul_f64(self.rng.random::<f64>());
                let at = now + AUDIT_REPAIR_DELAY + jitter;
                self.repair = Some(AuditRepair { at, active: Box::new(active) });
            }
            Err(reason) => {
                effects.push(Effect::BodyRefused { revision: active.revision, reason });
                self.back_off(now);
            }
        }
    }
}
