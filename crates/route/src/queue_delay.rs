//! Predicted time to the first event, so that a request that would miss its deadline is refused on arrival.
//!
//! Pattern: admission control by predicted queueing time (Little's law). Engines queue what they cannot run, so the
//! queueing time is the signal of an overload. Two estimates are made: one from the ages of the waiting requests, one
//! from their number and the rate of first events. The lower one is used, so that no request is refused that would be
//! answered in time. Each priority has its own estimate, since engines run urgent requests first. Only requests that
//! would miss their deadline are refused: to refuse others would only make their callers retry the same work.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::in_flight::CallerRequestId;

/// Minimum number of waiting requests for an estimate, and so for a refusal: with fewer, requests are still admitted
/// and the queueing time continues to be observed.
const MIN_WAITING: usize = 4;
/// Quantile of the waiting requests' ages that is used; the oldest are left out, since a few may wait at a server that
/// is unreachable.
const AGE_QUANTILE: f64 = 0.75;
/// Time constant of the exponential decay with which the rate of first events is averaged.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Queueing times of the requests of one service and priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueDelay {
    /// Send time and id of each request without a first event.
    waiting: BTreeSet<(Instant, CallerRequestId)>,
    /// Number of recent first events, decaying with [`RATE_TIME_CONSTANT`], and the time of the last update.
    events: Option<(f64, Instant)>,
}

impl QueueDelay {
    /// Records that a request was sent and waits for its first event.
    pub(crate) fn sent(&mut self, id: &CallerRequestId, now: Instant) {
        self.waiting.insert((now, id.clone()));
    }

    /// Ends the wait that started at `since`; `has_event` tells whether the first event arrived.
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

    /// Expected wait of a request sent now; `None` while too few requests wait for an estimate.
    pub(crate) fn expected(&self, now: Instant) -> Option<Duration> {
        let count = self.waiting.len();
        if count < MIN_WAITING {
            return None;
        }
        // Ages are assumed to be uniform between zero and the full wait.
        let rank = (count as f64 * AGE_QUANTILE) as usize;
        let age = self.waiting.iter().nth_back(rank.min(count - 1));
        let age = age.map_or(Duration::ZERO, |(since, _)| now.saturating_duration_since(*since));
        // Little's law: number of waiting requests divided by the rate of first events.
        let rate = self.events_at(now) / RATE_TIME_CONSTANT.as_secs_f64();
        let predicted = count as f64 / rate.max(0.001);
        Some(Duration::from_secs_f64(predicted.min(age.as_secs_f64() / AGE_QUANTILE)))
    }

    fn events_at(&self, now: Instant) -> f64 {
        self.events.map_or(0.0, |(events, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            events * (-age / RATE_TIME_CONSTANT.as_secs_f64()).exp()
        })
    }
}
