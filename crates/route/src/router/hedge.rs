//! Hedges: a second attempt beside one that is slower than nearly all others (Dean and Barroso, "The tail at scale",
//! 2013). The first to show a sign of its answer wins and the other is cancelled.

use std::time::Instant;

use foxtailhoist_model::Invariant;
use foxtailhoist_model::RequestId;

use super::Router;
use super::TimerKind;
use super::arrive::Place;
use crate::event::Effect;
use crate::life::State;

impl Router {
    /// Plans a look at an attempt that has just started.
    pub(super) fn watch_for_hedge(&mut self, id: RequestId, now: Instant) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let suspect = self.poison.is_suspect(entry.request.fingerprint, now);
        // Without a first token, the time that an answer takes tells of its length more than of its server.
        let telling = entry.request.streamed() || entry.class().is_none();
        let wanted =
            self.cfg.mechanisms.hedging && telling && !entry.request.at_most_once() && !suspect;
        let Some(attempt) = entry.live.last().filter(|_| wanted && entry.live.len() == 1) else {
            return;
        };
        let streamed = entry.request.streamed();
        let expected = if streamed { attempt.chosen.first_byte } else { attempt.chosen.total };
        let tail = self.servers.latency_tail(&attempt.destination, streamed);
        let at = now + expected.mul_f64(tail);
        // Nothing is hedged after the deadline, and a timer that cannot act must not outlive its request for long.
        if at < entry.request.deadline {
            self.set_timer(at, TimerKind::Hedge, id);
        }
    }

    pub(super) fn hedge_due(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let [slow] = &entry.live[..] else {
            return;
        };
        let streamed = entry.request.streamed();
        let expected = if streamed { slow.chosen.first_byte } else { slow.chosen.total };
        let tail = self.servers.latency_tail(&slow.destination, streamed);
        // The timer of an earlier attempt says nothing of this one.
        let due = now >= slow.started + expected.mul_f64(tail) && slow.first_byte.is_none();
        if entry.state != State::Dispatched || !due || entry.request.deadline <= now {
            return;
        }
        if self.poison.is_suspect(entry.request.fingerprint, now) {
            return;
        }
        let destination = slow.destination.clone();
        let avoided: Vec<usize> = entry.avoided.iter().copied().chain([slow.chosen.slot]).collect();
        let work = entry.work(self.quality.mean_output(entry.class()));
        let chosen =
            self.servers.select_excluding(&destination, &work, &avoided, now, &mut self.rng);
        let Ok(chosen) = chosen else {
            return;
        };
        let Ok(permit) = self.permissions.permit(&entry.request, &destination) else {
            return;
        };
        if !self.budget.spend(&entry.request.workspace) {
            return;
        }
        let kept = self.budget.kept();
        self.invariants.check(Invariant::RetryBudget, kept, || format!("{id:x}"));
        self.stats.hedges += 1;
        self.dispatch(id, Place { destination, chosen }, permit, now, out);
    }
}
