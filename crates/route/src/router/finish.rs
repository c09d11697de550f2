//! Ends of requests: refusal, billing, completion and selection for rating.

use std::time::Instant;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Target;

use super::Router;
use super::admission::deadline_refusal;
use crate::active_request::ActiveRequest;
use crate::event::Completion;
use crate::event::Effect;
use crate::lifecycle::State;
use crate::lifecycle::Trigger;
use crate::sampling::PendingRating;

impl Router {
    pub(super) fn caller_gone(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        // Cancelling a non-idempotent attempt would leave its outcome unknown forever. It continues, and the caller
        // gets the recorded answer on a retry.
        let must_continue =
            |active: &ActiveRequest| active.request.at_most_once() && active.may_have_started();
        if self.requests.get(&id).is_some_and(must_continue) {
            return;
        }
        let message = "the caller left before the answer was whole";
        self.refuse(id, Refusal::new(ErrorKind::CallerGone, message), now, out);
    }

    pub(super) fn deadline_passed(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        if let Some(active) = self.requests.get(&id) {
            let refusal = deadline_refusal(active.may_have_started());
            self.refuse(id, refusal, now, out);
        }
    }

    /// Refuses a request, or delivers its fallback unless the caller disconnected. Ignored once an answer is selected.
    pub(super) fn refuse(
        &mut self,
        id: RequestId,
        refusal: Refusal,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        if active.state == State::Billed {
            return;
        }
        if active.fallback.is_some() && refusal.kind != ErrorKind::CallerGone {
            self.deliver_fallback(id, now, out);
            return;
        }
        let ran = match (active.may_have_started(), refusal.ran) {
            (false, _) => Ran::NotRun,
            (true, Ran::NotRun) => Ran::Unknown,
            (true, ran) => ran,
        };
        active.refusal = Some(refusal.with_ran(ran));
        for attempt in active.live.clone() {
            self.end_attempt(attempt.id, now);
            out.push(Effect::Cancel { attempt: attempt.id });
            if let Some(active) = self.requests.get_mut(&id) {
                active.may_have_run = true;
            }
        }
        self.advance(id, Trigger::Rejected, now, out);
    }

    pub(super) fn send_refusal(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let internal = || Refusal::new(ErrorKind::Internal, "the request ended without a reason");
        let refusal = active.refusal.take().unwrap_or_else(internal);
        let holds = refusal.ran != Ran::NotRun || !active.may_have_started();
        *self.stats.refused.entry(refusal.kind).or_default() += 1;
        self.invariants.check(Invariant::NotRunMeansNotDispatched, holds, || format!("{id:x}"));
        out.push(Effect::Refuse { request: id, refusal });
    }

    pub(super) fn deliver(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let attempt = self.requests.get(&id).and_then(|active| active.delivered_attempt);
        if let Some(attempt) = attempt {
            out.push(Effect::Deliver { request: id, attempt });
        }
    }

    pub(super) fn bill(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(answer) = self.requests.get(&id).and_then(|active| active.answer.as_ref()) else {
            return;
        };
        let model_version = answer.attempt.destination.model_version().cloned();
        out.push(Effect::Bill { request: id, model_version, usage: answer.summary.usage });
    }

    pub(super) fn complete(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let Some(answer) = &active.answer else {
            return;
        };
        let session = match &active.request.target {
            Target::Chat { session, .. } => session.as_ref().map(|pin| pin.session.clone()),
            Target::Service { .. } => None,
        };
        let server = self.servers.server(answer.attempt.chosen.slot);
        self.stats.completed += 1;
        out.push(Effect::Complete(Completion {
            request: id,
            attempt: answer.attempt.id,
            workspace: active.request.workspace.clone(),
            class: active.class().cloned(),
            model_version: answer.attempt.destination.model_version().cloned(),
            server: server.map(|server| server.listed.id.clone()).unwrap_or_default(),
            revision: answer.attempt.revision,
            usage: answer.summary.usage,
            attempts: active.attempts,
            first_byte: active.first_byte.unwrap_or_default(),
            total: now.saturating_duration_since(active.arrived),
            session,
            session_moved: active.session_moved,
        }));
        self.offer_for_rating(id, now, out);
    }

    /// Requests a rating of a complete answer, if the rating service's rate allows it.
    fn offer_for_rating(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let Some((answer, class)) = active.answer.as_ref().zip(active.class()) else {
            return;
        };
        let Some(model_version) = answer.attempt.destination.model_version() else {
            return;
        };
        let Some(kept) = answer.kept.clone() else {
            return;
        };
        let worth = 0.5 + 0.5 * self.quality.uncertainty(class, model_version);
        let sample = PendingRating {
            caller: active.request.caller,
            class: class.clone(),
            model_version: model_version.clone(),
            kept,
        };
        if self.sampling.try_sample(id, sample, worth, now) {
            self.stats.ratings_requested += 1;
            out.push(Effect::Rate { request: id });
        }
    }
}
