//! Admission control: refuses requests that would miss their deadline in the engines' queues.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::ServiceId;

use super::Dispatcher;
use super::priority;
use crate::in_flight::Attempt;
use crate::in_flight::InFlightRequest;

/// Service and priority, which share one queue delay estimate.
pub(super) type QueueDelayKey = (ServiceId, u8);

impl Dispatcher {
    /// Refuses a model request whose first event is expected after its deadline, unless it resumes a stream.
    pub(super) fn refuse_if_late(
        &self,
        req: &InFlightRequest,
        now: Instant,
    ) -> Result<(), Refusal> {
        if req.model().is_none() || req.last_event.is_some() {
            return Ok(());
        }
        match self.expected_first_event(req, now) {
            Some(expected) if now + expected >= req.deadline => {
                let mut refusal = self.refuse(req, ErrorKind::Overloaded, now);
                let expected = expected.as_millis();
                refusal.message = format!("first event expected in {expected} ms");
                Err(refusal)
            }
            _ => Ok(()),
        }
    }

    /// Expected time to the first event of a request that is sent now; `None` while it cannot be told.
    pub(super) fn expected_first_event(
        &self,
        req: &InFlightRequest,
        now: Instant,
    ) -> Option<Duration> {
        self.queue_delays.get(&key(req)).and_then(|delay| delay.expected(now))
    }

    /// Records that the request was sent and waits for its first event.
    pub(super) fn first_event_wait_started(
        &mut self,
        req: &mut InFlightRequest,
        attempt: &Attempt,
        now: Instant,
    ) {
        if attempt.model.is_some() {
            self.queue_delays.entry(key(req)).or_default().sent(&req.id, now);
            req.awaiting_first_event_since = Some(now);
        }
    }

    /// Records the end of the wait for the first event, either by the event or by the end of the attempt.
    pub(super) fn first_event_wait_ended(
        &mut self,
        req: &mut InFlightRequest,
        has_event: bool,
        now: Instant,
    ) {
        if let Some(since) = req.awaiting_first_event_since.take()
            && let Some(delay) = self.queue_delays.get_mut(&key(req))
        {
            delay.ended(&req.id, since, has_event, now);
        }
    }
}

fn key(req: &InFlightRequest) -> QueueDelayKey {
    (req.service.clone(), priority(req))
}
