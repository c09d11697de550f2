//! Delivers store calls and messages, applying the active faults.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_journal::JournalMessage;
use foxtailhoist_journal::event::CallId;
use foxtailhoist_journal::event::Effect;
use foxtailhoist_journal::event::Event;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;
use rand::RngExt;

use super::Action;
use super::CALL_TIMEOUT;
use super::MESSAGE_TIME;
use super::Node;
use super::Notification;
use super::World;

impl World {
    pub(super) fn effect(&mut self, host: &str, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Store { call, op } => self.call(host, incarnation, call, op),
            Effect::Send { to, message } => self.send(host, &to, message),
            Effect::Claimed { request, key, result } => {
                let notification = Notification {
                    host: host.to_owned(),
                    request,
                    value: (key, result),
                    at: self.now,
                };
                self.claims.push(notification);
            }
            Effect::Billed { request, how } => {
                let notification =
                    Notification { host: host.to_owned(), request, value: how, at: self.now };
                self.bills.push(notification);
            }
            Effect::OutcomeSafe { request } => self.safe_outcomes.push(request),
            Effect::Stopped => {
                self.stopped.insert(host.to_owned());
            }
        }
    }

    fn call(&mut self, host: &str, incarnation: u64, call: CallId, op: StoreOp) {
        if self.record_ops {
            self.ops.push((host.to_owned(), op.clone()));
        }
        if self.faults.down {
            let result = Err(StoreError::Unavailable);
            self.reply(host, incarnation, call, result, Duration::from_millis(20));
            return;
        }
        if op.is_write() && self.rng.random_bool(self.faults.late_effects) {
            self.reply(host, incarnation, call, Err(StoreError::Unknown), CALL_TIMEOUT);
            self.schedule(self.now + self.faults.late_by, Action::LateEffect { op });
            return;
        }
        let half = self.faults.call_time.mul_f64(self.rng.random_range(0.4..0.6));
        let host = host.to_owned();
        self.schedule(self.now + half, Action::Perform { host, incarnation, call, op });
    }

    fn perform(&mut self, host: &str, incarnation: u64, call: CallId, op: &StoreOp) {
        let half = self.faults.call_time.mul_f64(self.rng.random_range(0.4..0.6));
        let is_stale = !op.is_write() && self.rng.random_bool(self.faults.stale_reads);
        let stale = self.stale_copies.first_mut().filter(|_| is_stale);
        let result = match stale {
            Some((_, copy)) => copy.apply(op),
            None => self.store.apply(op),
        };
        if self.rng.random_bool(self.faults.lost_responses) {
            self.reply(host, incarnation, call, Err(StoreError::Unknown), CALL_TIMEOUT);
        } else {
            self.reply(host, incarnation, call, result, half);
        }
    }

    fn reply(
        &mut self,
        host: &str,
        incarnation: u64,
        call: CallId,
        result: StoreResult,
        after: Duration,
    ) {
        let event = Box::new(Event::Store { call, result });
        let action =
            Action::Deliver { host: host.to_owned(), incarnation: Some(incarnation), event };
        self.schedule(self.now + after, action);
    }

    fn send(&mut self, from: &str, to: &str, message: JournalMessage) {
        self.messages += 1;
        let cut = self.cut_links.contains(&(from.to_owned(), to.to_owned()));
        if cut || !self.nodes.contains_key(to) {
            let event = Box::new(Event::SendFailed { to: to.to_owned() });
            let action = Action::Deliver { host: from.to_owned(), incarnation: None, event };
            self.schedule(self.now + MESSAGE_TIME, action);
            return;
        }
        let event = Box::new(Event::Message { from: from.to_owned(), message });
        let action = Action::Deliver { host: to.to_owned(), incarnation: None, event };
        let delay = MESSAGE_TIME.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(self.now + delay, action);
    }

    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Perform { host, incarnation, call, op } => {
                self.perform(&host, incarnation, call, &op);
            }
            Action::LateEffect { op } => {
                let _ = self.store.apply(&op);
            }
            Action::Deliver { host, incarnation, event } => {
                let node = self.nodes.get(&host);
                let is_same = |node: &Node| incarnation.is_none_or(|at| at == node.incarnation);
                if node.is_some_and(is_same) {
                    self.event(&host, *event);
                }
            }
            Action::Wake { host, incarnation } => {
                let now = self.now;
                let is_due = |node: &Node| {
                    node.incarnation == incarnation && node.wake.is_some_and(|at| at <= now)
                };
                if self.nodes.get(&host).is_some_and(is_due) {
                    self.tick(&host);
                }
            }
        }
    }

    pub(super) fn tick(&mut self, host: &str) {
        if self.is_paused(host) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(host) {
            node.wake = None;
        }
        let wall = self.wall();
        self.event(host, Event::Tick { wall });
    }

    pub(super) fn schedule_wake(&mut self, host: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(host) else { return };
        let Some(at) = node.journal.next_wake() else { return };
        let at = at.max(now);
        if node.wake.is_some_and(|wake| wake <= at && wake > now) {
            return;
        }
        node.wake = Some(at);
        let action = Action::Wake { host: host.to_owned(), incarnation: node.incarnation };
        self.schedule(at, action);
    }

    fn schedule(&mut self, at: Instant, action: Action) {
        self.next_action += 1;
        self.queue.insert((at, self.next_action), action);
    }
}
