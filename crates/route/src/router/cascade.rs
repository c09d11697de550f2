//! Cascades: a cheap answer is looked at before it is delivered, and replaced where it falls short.

use std::time::Instant;

use foxtailhoist_model::RequestId;

use super::Router;
use super::TimerKind;
use super::arrive::Unplaced;
use crate::entry::Attempt;
use crate::entry::Whole;
use crate::event::AnswerSummary;
use crate::event::Effect;
use crate::life::State;
use crate::life::Step;
use crate::quality::AnswerRef;
use crate::quality::NewAnswer;

/// Part of the remaining time that a better answer may be expected to take.
const USABLE_TIME: f64 = 0.6;
/// Part of the remaining time after which the fallback is delivered.
const FALLBACK_AFTER: f64 = 0.95;

impl Router {
    /// Keeps an answer for the quality estimates.
    pub(super) fn keep_answer(
        &mut self,
        id: RequestId,
        ended: &Attempt,
        summary: &AnswerSummary,
    ) -> Option<AnswerRef> {
        let entry = self.requests.get(&id)?;
        let answer = NewAnswer {
            workspace: &entry.request.workspace,
            class: entry.class()?,
            model_version: ended.destination.model_version()?,
            confidence: summary.confidence,
            shortfall: entry.doubt,
            prompt_tokens: summary.usage.prompt_tokens,
            output_tokens: summary.usage.output_tokens,
        };
        Some(self.quality.record_answer(&answer))
    }

    /// Whether the plan wants a better answer and there is time for one.
    pub(super) fn falls_short(&self, id: RequestId, whole: &Whole, now: Instant) -> bool {
        let Some(entry) = self.requests.get(&id) else {
            return false;
        };
        // A dearer model may have stood in for the planned one.
        let stage = entry.present_stage().filter(|stage| {
            Some(&stage.model_version) == whole.attempt.destination.model_version()
        });
        let Some(accept_from) = stage.and_then(|stage| stage.accept_from) else {
            return false;
        };
        let accepted = whole.summary.confidence.is_some_and(|c| c >= accept_from);
        let replaceable = !entry.request.streamed() && !entry.request.at_most_once();
        !accepted && replaceable && entry.request.deadline > now
    }

    /// Starts the next stage; the present answer stays in reserve.
    pub(super) fn escalate(
        &mut self,
        id: RequestId,
        whole: Whole,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some((class, version)) = entry.class().zip(whole.attempt.destination.model_version())
        {
            let doubt = self.quality.shortfall(class, version, whole.summary.confidence);
            entry.doubt = Some(entry.doubt.unwrap_or(0.0) + doubt);
        }
        entry.stage += 1;
        entry.avoided.clear();
        entry.fallback = Some(whole);
        let remaining = entry.remaining(now);
        match self.find_place(id, now) {
            Ok(place) if place.chosen.total <= remaining.mul_f64(USABLE_TIME) => {
                self.stats.escalations += 1;
                self.start(id, place, now, out);
            }
            Err(Unplaced::Full) => {
                self.stats.escalations += 1;
                self.advance(id, Step::NoPlace, now, out);
            }
            _ => self.deliver_fallback(id, now, out),
        }
        self.set_timer(now + remaining.mul_f64(FALLBACK_AFTER), TimerKind::Fallback, id);
    }

    pub(super) fn fallback_due(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let waits = self.requests.get(&id).is_some_and(|entry| entry.fallback.is_some());
        if waits {
            self.deliver_fallback(id, now, out);
        }
    }

    /// Gives up on a better answer and delivers the one in reserve.
    pub(super) fn deliver_fallback(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(whole) = entry.fallback.take() else {
            return;
        };
        if entry.state == State::Queued {
            let workspace = entry.request.workspace.clone();
            self.queue.remove(id, entry.request.priority, &workspace);
        }
        self.cancel_others(id, whole.attempt.id, now, out);
        self.answer(id, whole, now, out);
    }
}
