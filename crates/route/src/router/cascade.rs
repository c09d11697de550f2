//! Cascades: the confidence of a cheap answer is checked before delivery; below the threshold, a better model answers.

use std::time::Instant;

use foxtailhoist_model::RequestId;

use super::Router;
use super::TimerKind;
use super::admission::SelectionError;
use crate::active_request::Attempt;
use crate::active_request::CompleteAnswer;
use crate::event::AnswerSummary;
use crate::event::Effect;
use crate::lifecycle::State;
use crate::lifecycle::Trigger;
use crate::quality::AnswerRef;
use crate::quality::NewAnswer;

/// Maximum expected time of a better answer, as a fraction of the remaining time.
const MAX_ESCALATION_FRACTION: f64 = 0.6;
/// Fraction of the remaining time after which the fallback is delivered.
const FALLBACK_FRACTION: f64 = 0.95;

impl Router {
    /// Records an answer for the quality estimates.
    pub(super) fn keep_answer(
        &mut self,
        id: RequestId,
        ended: &Attempt,
        summary: &AnswerSummary,
    ) -> Option<AnswerRef> {
        let active = self.requests.get(&id)?;
        let answer = NewAnswer {
            workspace: &active.request.workspace,
            class: active.class()?,
            model_version: ended.destination.model_version()?,
            confidence: summary.confidence,
            shortfall: active.doubt,
            prompt_tokens: summary.usage.prompt_tokens,
            output_tokens: summary.usage.output_tokens,
        };
        Some(self.quality.record_answer(&answer))
    }

    /// Whether the plan requires a better answer and the deadline allows one.
    pub(super) fn should_escalate(
        &self,
        id: RequestId,
        answer: &CompleteAnswer,
        now: Instant,
    ) -> bool {
        let Some(active) = self.requests.get(&id) else {
            return false;
        };
        // Another model may have substituted for the planned one.
        let stage = active.current_stage().filter(|stage| {
            Some(&stage.model_version) == answer.attempt.destination.model_version()
        });
        let Some(accept_from) = stage.and_then(|stage| stage.accept_from) else {
            return false;
        };
        let accepted = answer.summary.confidence.is_some_and(|c| c >= accept_from);
        let replaceable = !active.request.streamed() && !active.request.at_most_once();
        !accepted && replaceable && active.request.deadline > now
    }

    /// Starts the next stage and keeps the current answer as the fallback.
    pub(super) fn escalate(
        &mut self,
        id: RequestId,
        answer: CompleteAnswer,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some((class, version)) =
            active.class().zip(answer.attempt.destination.model_version())
        {
            let doubt = self.quality.shortfall(class, version, answer.summary.confidence);
            active.doubt = Some(active.doubt.unwrap_or(0.0) + doubt);
        }
        active.stage += 1;
        active.avoided.clear();
        active.fallback = Some(answer);
        let remaining = active.remaining(now);
        match self.select_server(id, now) {
            Ok(selection)
                if selection.chosen.total <= remaining.mul_f64(MAX_ESCALATION_FRACTION) =>
            {
                self.stats.escalations += 1;
                self.start_attempt(id, selection, now, out);
            }
            Err(SelectionError::Full) => {
                self.stats.escalations += 1;
                self.advance(id, Trigger::NoPlace, now, out);
            }
            _ => self.deliver_fallback(id, now, out),
        }
        self.set_timer(now + remaining.mul_f64(FALLBACK_FRACTION), TimerKind::Fallback, id);
    }

    pub(super) fn fallback_due(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let has_fallback = self.requests.get(&id).is_some_and(|active| active.fallback.is_some());
        if has_fallback {
            self.deliver_fallback(id, now, out);
        }
    }

    /// Stops waiting for a better answer and delivers the fallback.
    pub(super) fn deliver_fallback(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(answer) = active.fallback.take() else {
            return;
        };
        if active.state == State::Queued {
            let workspace = active.request.workspace.clone();
            self.queue.remove(id, active.request.priority, &workspace);
        }
        self.cancel_others(id, answer.attempt.id, now, out);
        self.accept_answer(id, answer, now, out);
    }
}
