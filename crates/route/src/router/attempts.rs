//! Attempts from dispatch to their end.

use std::time::Instant;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::RequestId;

use super::Router;
use crate::active_request::Attempt;
use crate::active_request::CompleteAnswer;
use crate::event::AnswerSummary;
use crate::event::Effect;
use crate::event::Evidence;
use crate::event::EvidenceKind;
use crate::lifecycle::Trigger;

impl Router {
    pub(super) fn sent(&mut self, attempt: AttemptId) {
        let id = self.attempts.get(&attempt);
        let active = id.and_then(|id| self.requests.get_mut(id));
        if let Some(attempt) = active.and_then(|active| active.attempt(attempt)) {
            attempt.sent = true;
        }
    }

    pub(super) fn first_byte(&mut self, attempt: AttemptId, now: Instant, out: &mut Vec<Effect>) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let streamed = active.request.streamed();
        let Some(running) = active.attempt(attempt).filter(|a| a.first_byte.is_none()) else {
            return;
        };
        running.first_byte = Some(now);
        let running = running.clone();
        if streamed {
            let seconds = now.saturating_duration_since(running.started).as_secs_f64();
            self.servers.observe_first_byte(&running.chosen, &running.destination, seconds);
            self.cancel_others(id, attempt, now, out);
            self.set_delivered_attempt(id, attempt, now);
            self.advance(id, Trigger::AnswerBegun, now, out);
        }
    }

    pub(super) fn progress(&mut self, attempt: AttemptId, tokens: u32) {
        let Some(active) = self.attempts.get(&attempt).and_then(|id| self.requests.get_mut(id))
        else {
            return;
        };
        if active.delivered_attempt == Some(attempt) {
            active.delivered_tokens = active.delivered_tokens.max(tokens);
        }
    }

    pub(super) fn finished(
        &mut self,
        attempt: AttemptId,
        summary: AnswerSummary,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some((id, ended)) = self.end_attempt(attempt, now) else {
            return;
        };
        if summary.leaving {
            self.mark_leaving(&ended, out);
        }
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let streamed = active.request.streamed();
        let tokens = f64::from(summary.usage.output_tokens);
        let since = ended.first_byte.filter(|_| streamed).unwrap_or(ended.started);
        let mut seconds = now.saturating_duration_since(since).as_secs_f64();
        if !streamed {
            // The end of the prefill is not observable here, so its expected duration is subtracted.
            seconds -= ended.chosen.first_byte.as_secs_f64();
        }
        self.servers.observe_answer(&ended.chosen, &ended.destination, seconds, tokens);
        self.report_success(id, &ended, &summary, now, out);
        self.cancel_others(id, attempt, now, out);
        let kept = self.keep_answer(id, &ended, &summary);
        if let Some(active) = self.requests.get_mut(&id) {
            active.may_have_run = true;
        }
        let answer = CompleteAnswer { attempt: ended, summary, kept };
        if self.should_escalate(id, &answer, now) {
            self.escalate(id, answer, now, out);
            return;
        }
        let stage = self.requests.get(&id).and_then(|active| active.current_stage());
        self.stats.accepted += u64::from(stage.is_some_and(|stage| stage.accept_from.is_some()));
        self.accept_answer(id, answer, now, out);
    }

    /// Selects a complete answer for the caller; it is delivered once its bill is safely recorded.
    pub(super) fn accept_answer(
        &mut self,
        id: RequestId,
        answer: CompleteAnswer,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.set_delivered_attempt(id, answer.attempt.id, now);
        if let Some(active) = self.requests.get_mut(&id) {
            active.answer = Some(answer);
            active.fallback = None;
        }
        self.advance(id, Trigger::AnswerWhole, now, out);
    }

    /// Removes a running attempt and releases its capacity on the server.
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        now: Instant,
    ) -> Option<(RequestId, Attempt)> {
        let id = self.attempts.remove(&attempt)?;
        let active = self.requests.get_mut(&id)?;
        let ended = active.take_attempt(attempt)?;
        // The first byte of an answer that is not streamed arrives with the last byte, so its prefill still counts as
        // pending on the server.
        let prefill_ended = ended.first_byte.is_some() && active.request.streamed();
        self.servers.end_attempt(&ended.chosen, &ended.destination, prefill_ended);
        self.drain_rate.record_release(now);
        self.queue_check_due = true;
        Some((id, ended))
    }

    /// Cancels every attempt of a request but one.
    pub(super) fn cancel_others(
        &mut self,
        id: RequestId,
        kept: AttemptId,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let live = self.requests.get(&id).map(|active| active.live.clone()).unwrap_or_default();
        for attempt in live.into_iter().filter(|attempt| attempt.id != kept) {
            self.end_attempt(attempt.id, now);
            out.push(Effect::Cancel { attempt: attempt.id });
            if let Some(active) = self.requests.get_mut(&id) {
                active.may_have_run = true;
            }
        }
    }

    fn set_delivered_attempt(&mut self, id: RequestId, attempt: AttemptId, now: Instant) {
        if let Some(active) = self.requests.get_mut(&id) {
            active.delivered_attempt = Some(attempt);
            let first_byte = now.saturating_duration_since(active.arrived);
            active.first_byte.get_or_insert(first_byte);
        }
    }

    fn mark_leaving(&mut self, ended: &Attempt, out: &mut Vec<Effect>) {
        let server = self.servers.server(ended.chosen.slot);
        let Some(id) = server.map(|server| server.listed.id.clone()) else {
            return;
        };
        if self.servers.mark_leaving(&id) {
            out.push(Effect::Leaving(id));
        }
    }

    fn report_success(
        &mut self,
        id: RequestId,
        ended: &Attempt,
        summary: &AnswerSummary,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.report_evidence(id, ended, EvidenceKind::Ended { failed: false }, out);
        let Some(first_byte_at) = ended.first_byte else {
            return;
        };
        let first_byte = first_byte_at.saturating_duration_since(ended.started);
        let tokens = summary.usage.output_tokens.max(1);
        let per_token = now.saturating_duration_since(first_byte_at) / tokens;
        self.report_evidence(id, ended, EvidenceKind::Latency { first_byte, per_token }, out);
    }

    /// Reports an observation from an attempt, by which its version is judged.
    pub(super) fn report_evidence(
        &self,
        id: RequestId,
        ended: &Attempt,
        kind: EvidenceKind,
        out: &mut Vec<Effect>,
    ) {
        let active = self.requests.get(&id);
        let class = active.and_then(|active| active.class());
        let model_version = ended.destination.model_version();
        if let Some(((active, class), model_version)) = active.zip(class).zip(model_version) {
            out.push(Effect::Evidence(Evidence {
                model_version: model_version.clone(),
                caller: active.request.caller,
                class: class.clone(),
                kind,
            }));
        }
    }
}
