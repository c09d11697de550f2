//! How long requests wait for their first event, so that one which would come too late is refused at once.
//!
//! Pattern: admission by predicted wait (Little's law). Engines queue what they cannot run, so the wait is what tells an
//! overload. It is seen in the ages of the requests that wait, and in their number beside the rate at which they begin;
//! the lesser of both counts, so that nobody is refused who would be answered. Each priority is judged by its own wait,
//! since engines run urgent requests first. Only what would miss its deadline is refused: a caller that is sent away for
//! less comes back and asks for the same work.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::flight::CallerRequestId;

/// Requests that have to wait before their ages are a measure, and before any is refused: the wait goes on being seen.
const LEAST_WAITING: usize = 4;
/// Rank, from the youngest, of the age by which those that wait are measured: a few at a lost server do not count.
const AGE_RANK: f64 = 0.75;
/// Time over which the rate of first events is taken.
const RATE_TIME: Duration = Duration::from_millis(1_500);

/// Waits of the requests of one service and priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sojourn {
    waiting: BTreeSet<(Instant, CallerRequestId)>,
    /// First events lately, fading with [`RATE_TIME`], and when the number was last changed.
    events: Option<(f64, Instant)>,
}

impl Sojourn {
    /// A request was sent and waits for its first event.
    pub(crate) fn sent(&mut self, id: &CallerRequestId, now: Instant) {
        self.waiting.insert((now, id.clone()));
    }

    /// The wait that began then is over; `has_event` tells whether by an event.
    pub(crate) fn ended(
        &mut self,
        id: &CallerRequestId,
        since: Instant,
        has_event: bool,
        now: Instant,
    ) {
        if !self.waiting.remove(&(since, id.clone())) || !has_event {
            return;
        }
        self.events = Some((self.events_at(now) + 1.0, now));
    }

    /// The wait that a request which is sent now has to expect; `None` while too few wait to tell.
    pub(crate) fn expected(&self, now: Instant) -> Option<Duration> {
        let count = self.waiting.len();
        if count < LEAST_WAITING {
            return None;
        }
        // Ages are spread evenly from nothing to the whole wait.
        let rank = (count as f64 * AGE_RANK) as usize;
        let age = self.waiting.iter().nth_back(rank.min(count - 1));
        let age = age.map_or(Duration::ZERO, |(since, _)| now.saturating_duration_since(*since));
        // Little's law: those that wait, over the rate at which they begin.
        let rate = self.events_at(now) / RATE_TIME.as_secs_f64();
        let predicted = count as f64 / rate.max(0.001);
        Some(Duration::from_secs_f64(predicted.min(age.as_secs_f64() / AGE_RANK)))
    }

    fn events_at(&self, now: Instant) -> f64 {
        self.events.map_or(0.0, |(events, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            events * (-age / RATE_TIME.as_secs_f64()).exp()
        })
    }
}
