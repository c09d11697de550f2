//! What happens to attempts until they end.

use std::time::Instant;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::RequestId;

use super::Router;
use crate::entry::Attempt;
use crate::entry::Whole;
use crate::event::AnswerSummary;
use crate::event::Effect;
use crate::event::Evidence;
use crate::event::EvidenceKind;
use crate::life::Step;

impl Router {
    pub(super) fn sent(&mut self, attempt: AttemptId) {
        let id = self.attempts.get(&attempt);
        let entry = id.and_then(|id| self.requests.get_mut(id));
        if let Some(attempt) = entry.and_then(|entry| entry.attempt(attempt)) {
            attempt.sent = true;
        }
    }

    pub(super) fn first_byte(&mut self, attempt: AttemptId, now: Instant, out: &mut Vec<Effect>) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let streamed = entry.request.streamed();
        let Some(under_way) = entry.attempt(attempt).filter(|a| a.first_byte.is_none()) else {
            return;
        };
        under_way.first_byte = Some(now);
        let under_way = under_way.clone();
        if streamed {
            let seconds = now.saturating_duration_since(under_way.started).as_secs_f64();
            self.servers.observe_first_byte(&under_way.chosen, &under_way.destination, seconds);
            self.cancel_others(id, attempt, now, out);
            self.choose_delivered(id, attempt, now);
            self.advance(id, Step::AnswerBegun, now, out);
        }
    }

    pub(super) fn progress(&mut self, attempt: AttemptId, tokens: u32) {
        let Some(entry) = self.attempts.get(&attempt).and_then(|id| self.requests.get_mut(id))
        else {
            return;
        };
        if entry.delivered == Some(attempt) {
            entry.delivered_tokens = entry.delivered_tokens.max(tokens);
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
            self.server_leaves(&ended, out);
        }
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let streamed = entry.request.streamed();
        let tokens = f64::from(summary.usage.output_tokens);
        let since = ended.first_byte.filter(|_| streamed).unwrap_or(ended.started);
        let mut seconds = now.saturating_duration_since(since).as_secs_f64();
        if !streamed {
            seconds -= ended.chosen.first_byte.as_secs_f64();
        }
        self.servers.observe_answer(&ended.chosen, &ended.destination, seconds, tokens);
        self.evidence_of_whole(id, &ended, &summary, now, out);
        self.cancel_others(id, attempt, now, out);
        let kept = self.keep_answer(id, &ended, &summary);
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.may_have_run = true;
        }
        let whole = Whole { attempt: ended, summary, kept };
        if self.falls_short(id, &whole, now) {
            self.escalate(id, whole, now, out);
            return;
        }
        let cascades = self.requests.get(&id).and_then(|entry| entry.present_stage());
        self.stats.accepted += u64::from(cascades.is_some_and(|stage| stage.accept_from.is_some()));
        self.answer(id, whole, now, out);
    }

    /// Gives the caller a whole answer, once its bill is safe.
    pub(super) fn answer(
        &mut self,
        id: RequestId,
        whole: Whole,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.choose_delivered(id, whole.attempt.id, now);
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.whole = Some(whole);
            entry.fallback = None;
        }
        self.advance(id, Step::AnswerWhole, now, out);
    }

    /// Takes an attempt out of the books.
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        now: Instant,
    ) -> Option<(RequestId, Attempt)> {
        let id = self.attempts.remove(&attempt)?;
        let entry = self.requests.get_mut(&id)?;
        let ended = entry.take_attempt(attempt)?;
        // The first byte of an answer that is not streamed comes with the last: its prefill is still on the books.
        let prefill_ended = ended.first_byte.is_some() && entry.request.streamed();
        self.servers.end_attempt(&ended.chosen, &ended.destination, prefill_ended);
        self.pace.freed(now);
        self.pump_due = true;
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
        let live = self.requests.get(&id).map(|entry| entry.live.clone()).unwrap_or_default();
        for attempt in live.into_iter().filter(|attempt| attempt.id != kept) {
            self.end_attempt(attempt.id, now);
            out.push(Effect::Cancel { attempt: attempt.id });
            if let Some(entry) = self.requests.get_mut(&id) {
                entry.may_have_run = true;
            }
        }
    }

    fn choose_delivered(&mut self, id: RequestId, attempt: AttemptId, now: Instant) {
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.delivered = Some(attempt);
            let first_byte = now.saturating_duration_since(entry.arrived);
            entry.first_byte.get_or_insert(first_byte);
        }
    }

    fn server_leaves(&mut self, ended: &Attempt, out: &mut Vec<Effect>) {
        let server = self.servers.server(ended.chosen.slot);
        let Some(id) = server.map(|server| server.listed.id.clone()) else {
            return;
        };
        if self.servers.mark_leaving(&id) {
            out.push(Effect::Leaving(id));
        }
    }

    fn evidence_of_whole(
        &mut self,
        id: RequestId,
        ended: &Attempt,
        summary: &AnswerSummary,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.evidence(id, ended, EvidenceKind::Ended { failed: false }, out);
        let Some(begun) = ended.first_byte else {
            return;
        };
        let first_byte = begun.saturating_duration_since(ended.started);
        let tokens = summary.usage.output_tokens.max(1);
        let per_token = now.saturating_duration_since(begun) / tokens;
        self.evidence(id, ended, EvidenceKind::Latency { first_byte, per_token }, out);
    }

    /// Tells the judge of versions what an attempt showed.
    pub(super) fn evidence(
        &self,
        id: RequestId,
        ended: &Attempt,
        kind: EvidenceKind,
        out: &mut Vec<Effect>,
    ) {
        let entry = self.requests.get(&id);
        let class = entry.and_then(|entry| entry.class());
        let model_version = ended.destination.model_version();
        if let Some(((entry, class), model_version)) = entry.zip(class).zip(model_version) {
            out.push(Effect::Evidence(Evidence {
                model_version: model_version.clone(),
                caller: entry.request.caller,
                class: class.clone(),
                kind,
            }));
        }
    }
}
