//! How requests end.

use std::time::Instant;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Target;

use super::Router;
use super::arrive::deadline_passed;
use crate::entry::Entry;
use crate::event::Completion;
use crate::event::Effect;
use crate::life::State;
use crate::life::Step;
use crate::sampling::PendingRating;

impl Router {
    pub(super) fn caller_gone(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        // Cancelling a non-idempotent attempt would leave its outcome unknown for good; run on, and the caller's repeat
        // gets the recorded answer.
        let runs_on = |entry: &Entry| entry.request.at_most_once() && entry.ran_somewhere();
        if self.requests.get(&id).is_some_and(runs_on) {
            return;
        }
        let message = "the caller left before the answer was whole";
        self.refuse(id, Refusal::new(ErrorKind::CallerGone, message), now, out);
    }

    pub(super) fn deadline_passed(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        if let Some(entry) = self.requests.get(&id) {
            let refusal = deadline_passed(entry.ran_somewhere());
            self.refuse(id, refusal, now, out);
        }
    }

    /// Ends a request without a whole answer; ignored once its answer is whole.
    pub(super) fn refuse(
        &mut self,
        id: RequestId,
        refusal: Refusal,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        if entry.state == State::Billed {
            return;
        }
        if entry.fallback.is_some() && refusal.kind != ErrorKind::CallerGone {
            self.deliver_fallback(id, now, out);
            return;
        }
        let ran = match (entry.ran_somewhere(), refusal.ran) {
            (false, _) => Ran::NotRun,
            (true, Ran::NotRun) => Ran::Unknown,
            (true, ran) => ran,
        };
        entry.refusal = Some(refusal.with_ran(ran));
        for attempt in entry.live.clone() {
            self.end_attempt(attempt.id, now);
            out.push(Effect::Cancel { attempt: attempt.id });
            if let Some(entry) = self.requests.get_mut(&id) {
                entry.may_have_run = true;
            }
        }
        self.advance(id, Step::Rejected, now, out);
    }

    pub(super) fn send_refusal(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let internal = || Refusal::new(ErrorKind::Internal, "the request ended without a reason");
        let refusal = entry.refusal.take().unwrap_or_else(internal);
        let holds = refusal.ran != Ran::NotRun || !entry.ran_somewhere();
        *self.stats.refused.entry(refusal.kind).or_default() += 1;
        self.invariants.check(Invariant::NotRunMeansNotDispatched, holds, || format!("{id:x}"));
        out.push(Effect::Refuse { request: id, refusal });
    }

    pub(super) fn deliver(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let attempt = self.requests.get(&id).and_then(|entry| entry.delivered);
        if let Some(attempt) = attempt {
            out.push(Effect::Deliver { request: id, attempt });
        }
    }

    pub(super) fn bill(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(whole) = self.requests.get(&id).and_then(|entry| entry.whole.as_ref()) else {
            return;
        };
        let model_version = whole.attempt.destination.model_version().cloned();
        out.push(Effect::Bill { request: id, model_version, usage: whole.summary.usage });
    }

    pub(super) fn complete(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let Some(whole) = &entry.whole else {
            return;
        };
        let session = match &entry.request.target {
            Target::Chat { session, .. } => session.as_ref().map(|pin| pin.session.clone()),
            Target::Service { .. } => None,
        };
        let server = self.servers.server(whole.attempt.chosen.slot);
        self.stats.completed += 1;
        out.push(Effect::Complete(Completion {
            request: id,
            attempt: whole.attempt.id,
            workspace: entry.request.workspace.clone(),
            class: entry.class().cloned(),
            model_version: whole.attempt.destination.model_version().cloned(),
            server: server.map(|server| server.listed.id.clone()).unwrap_or_default(),
            revision: whole.attempt.revision,
            usage: whole.summary.usage,
            attempts: entry.attempts,
            first_byte: entry.first_byte.unwrap_or_default(),
            total: now.saturating_duration_since(entry.arrived),
            session,
            session_moved: entry.session_moved,
        }));
        self.offer_for_rating(id, now, out);
    }

    /// Asks for a verdict on a whole answer where the rating service's rate allows it.
    fn offer_for_rating(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let Some((whole, class)) = entry.whole.as_ref().zip(entry.class()) else {
            return;
        };
        let Some(model_version) = whole.attempt.destination.model_version() else {
            return;
        };
        let Some(kept) = whole.kept.clone() else {
            return;
        };
        let worth = 0.5 + 0.5 * self.quality.uncertainty(class, model_version);
        let sample = PendingRating {
            caller: entry.request.caller,
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
