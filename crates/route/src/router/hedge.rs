//! Hedges: a second attempt beside one that is slower than nearly all others (Dean and Barroso, "The tail at scale",
//! 2013). The first attempt to stream a byte, or to finish an answer that is not streamed, wins and the other is
//! cancelled.

use std::time::Instant;

use foxtailhoist_model::Invariant;
use foxtailhoist_model::RequestId;

use super::Router;
use super::TimerKind;
use super::admission::Selection;
use crate::event::Effect;
use crate::lifecycle::State;

impl Router {
    /// Sets the timer that hedges a newly started attempt if it is slow.
    pub(super) fn schedule_hedge(&mut self, id: RequestId, now: Instant) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let suspect = self.poison.is_suspect(active.request.fingerprint, now);
        // Without streaming, the time to a chat answer depends more on the length of the answer than on the server.
        let latency_reflects_server = active.request.streamed() || active.class().is_none();
        let eligible = self.cfg.mechanisms.hedging
            && latency_reflects_server
            && !active.request.at_most_once()
            && !suspect;
        let Some(attempt) = active.live.last().filter(|_| eligible && active.live.len() == 1)
        else {
            return;
        };
        let streamed = active.request.streamed();
        let expected = if streamed { attempt.chosen.first_byte } else { attempt.chosen.total };
        let tail = self.servers.latency_tail(&attempt.destination, streamed);
        let at = now + expected.mul_f64(tail);
        // Nothing is hedged after the deadline, and a useless timer must not outlive its request for long.
        if at < active.request.deadline {
            self.set_timer(at, TimerKind::Hedge, id);
        }
    }

    pub(super) fn hedge_due(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let [slow] = &active.live[..] else {
            return;
        };
        let streamed = active.request.streamed();
        let expected = if streamed { slow.chosen.first_byte } else { slow.chosen.total };
        let tail = self.servers.latency_tail(&slow.destination, streamed);
        // The timer may have been set for an earlier attempt.
        let due = now >= slow.started + expected.mul_f64(tail) && slow.first_byte.is_none();
        if active.state != State::Dispatched || !due || active.request.deadline <= now {
            return;
        }
        if self.poison.is_suspect(active.request.fingerprint, now) {
            return;
        }
        let destination = slow.destination.clone();
        let avoided: Vec<usize> =
            active.avoided.iter().copied().chain([slow.chosen.slot]).collect();
        let work = active.work(self.quality.mean_output(active.class()));
        let chosen =
            self.servers.select_excluding(&destination, &work, &avoided, now, &mut self.rng);
        let Ok(chosen) = chosen else {
            return;
        };
        let Ok(permit) = self.permissions.permit(&active.request, &destination) else {
            return;
        };
        if !self.budget.spend(&active.request.workspace) {
            return;
        }
        let within_budget = self.budget.is_within_earned();
        self.invariants.check(Invariant::RetryBudget, within_budget, || format!("{id:x}"));
        self.stats.hedges += 1;
        self.dispatch(id, Selection { destination, chosen }, permit, now, out);
    }
}
