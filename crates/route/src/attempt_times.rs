//! Times of the attempt in flight, as evidence of its server's pace.
//!
//! Each attempt yields at most one pace. A stream with enough events yields the mean gap between them, since the time to
//! its head depends mostly on what was queued before it. Other attempts yield the time to their head.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Pace;
use foxtailhoist_model::PaceKind;

use crate::dispatch::AnswerHead;
use crate::in_flight::Attempt;
use crate::in_flight::AttemptOutcome;

/// Gaps between events after which a stream's pace is known.
const GAPS_PER_PACE: u32 = 8;
/// Fewest gaps that make a pace at the end of a stream.
const MIN_GAPS: u32 = 2;
/// Time after its head in which an answer counts as beginning.
pub(crate) const BEGINNING: Duration = Duration::from_millis(500);
/// Time between two events after the beginning that shows that a server still sends. After a suspension, all events that arrived
/// meanwhile are read within less.
const SIGN_OF_LIFE: Duration = Duration::from_millis(100);

/// Times of one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptTimes {
    /// Number of the attempt; a request may have two of them for a time, of which the later one is timed.
    number: u32,
    sent: Option<Instant>,
    head: Option<Instant>,
    /// Whether the head shows that the server ran the request, and the framing where its answer ends.
    is_sound_head: bool,
    first_event: Option<Instant>,
    last_event: Option<Instant>,
    gaps: u32,
    /// First event after the beginning of the answer.
    late_event: Option<Instant>,
    /// Whether the server is known to have survived the beginning of the answer.
    has_survived: bool,
    /// Whether the pace was taken.
    is_taken: bool,
}

impl AttemptTimes {
    pub(crate) fn sent(attempt: &Attempt, now: Instant) -> AttemptTimes {
        AttemptTimes { number: attempt.number, sent: Some(now), ..AttemptTimes::default() }
    }

    pub(crate) fn record_head(&mut self, head: &AnswerHead, now: Instant) {
        self.head = Some(now);
        self.is_sound_head = (200..300).contains(&head.status) && !head.ends_with_connection;
    }

    /// When an attempt was sent, unless a later one was.
    pub(crate) fn sent_at(&self, attempt: &Attempt) -> Option<Instant> {
        self.sent.filter(|_| attempt.number == self.number)
    }

    /// When an answer began, if it is whole and so shows that its server ran the request and survived. An error may come
    /// before the request is run, and an answer without framing may have ended because its server did.
    pub(crate) fn sound_since(&self, attempt: &Attempt) -> Option<Instant> {
        self.head.filter(|_| self.is_sound_head && attempt.number == self.number)
    }

    /// When an answer began, once its events show that its server survived the beginning, and only once.
    pub(crate) fn survived_since(&mut self, attempt: &Attempt, now: Instant) -> Option<Instant> {
        let began = self.sound_since(attempt).filter(|_| !self.has_survived)?;
        if now.saturating_duration_since(began) <= BEGINNING {
            return None;
        }
        let late_event = *self.late_event.get_or_insert(now);
        self.has_survived = now.saturating_duration_since(late_event) >= SIGN_OF_LIFE;
        self.has_survived.then_some(began)
    }

    /// Whether the server is known to have survived the beginning of an answer.
    pub(crate) fn has_survived(&self, attempt: &Attempt) -> bool {
        self.has_survived && attempt.number == self.number
    }

    /// Time since the head of an attempt's answer arrived; `None` if none has. An earlier attempt that was set aside
    /// counts as answering for as long as its request exists.
    pub(crate) fn answering(&self, attempt: &Attempt, now: Instant) -> Option<Duration> {
        if attempt.number != self.number {
            return Some(Duration::MAX);
        }
        self.head.map(|head| now.saturating_duration_since(head))
    }

    /// Records events that arrived together; returns the pace once enough of them have arrived.
    pub(crate) fn record_event(&mut self, attempt: &Attempt, now: Instant) -> Option<Pace> {
        if attempt.number != self.number {
            return None;
        }
        if self.first_event.is_none() {
            self.first_event = Some(now);
        } else {
            self.gaps += 1;
        }
        self.last_event = Some(now);
        if self.is_taken || self.gaps < GAPS_PER_PACE {
            return None;
        }
        self.is_taken = true;
        self.event_gap(now, self.gaps, false)
    }

    /// Returns the attempt's pace at its end, unless it was taken before or is unknown.
    pub(crate) fn end(
        &mut self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> Option<Pace> {
        if self.is_taken || attempt.number != self.number {
            return None;
        }
        self.is_taken = true;
        match outcome {
            AttemptOutcome::Whole | AttemptOutcome::Dropped => match self.last_event {
                Some(last) if self.gaps >= MIN_GAPS => self.event_gap(last, self.gaps, false),
                _ => self.head_pace(attempt, self.head?, false),
            },
            AttemptOutcome::Silent | AttemptOutcome::Cancelled => match self.head {
                Some(_) if self.first_event.is_some() => self.event_gap(now, self.gaps + 1, true),
                Some(head) => self.head_pace(attempt, head, false),
                None => self.head_pace(attempt, now, true),
            },
            AttemptOutcome::Failed
            | AttemptOutcome::Garbled
            | AttemptOutcome::Broken
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Misdirected
            | AttemptOutcome::Evacuated
            | AttemptOutcome::Full { .. } => None,
        }
    }

    fn head_pace(&self, attempt: &Attempt, at: Instant, is_lower_bound: bool) -> Option<Pace> {
        let elapsed = at.saturating_duration_since(self.sent?);
        let millis = elapsed.as_secs_f64() * 1_000.0 / attempt.work();
        Some(Pace { kind: PaceKind::Head, millis, is_lower_bound })
    }

    fn event_gap(&self, until: Instant, gaps: u32, is_lower_bound: bool) -> Option<Pace> {
        let elapsed = until.saturating_duration_since(self.first_event?);
        let millis = elapsed.as_secs_f64() * 1_000.0 / f64::from(gaps.max(1));
        Some(Pace { kind: PaceKind::EventGap, millis, is_lower_bound })
    }
}
