//! Refusal of requests that would miss their deadline in the engines' queues.

use std::time::Instant;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::ServiceId;

use super::Dispatcher;
use super::priority;
use crate::flight::Attempt;
use crate::flight::Flight;

/// Service and priority, whose waits are counted together.
pub(super) type SojournKey = (ServiceId, u8);

impl Dispatcher {
    /// Refuses a new stream whose first event is expected after its deadline.
    pub(super) fn refuse_late(&self, flight: &Flight, now: Instant) -> Result<(), Refusal> {
        if flight.model().is_none() || flight.last_event.is_some() {
            return Ok(());
        }
        let expected = self.sojourns.get(&key(flight)).and_then(|sojourn| sojourn.expected(now));
        match expected {
            Some(expected) if now + expected >= flight.deadline => {
                let mut refusal = self.refuse(flight, ErrorKind::Overloaded, now);
                let expected = expected.as_millis();
                refusal.message = format!("first event expected in {expected} ms");
                Err(refusal)
            }
            _ => Ok(()),
        }
    }

    /// The request was sent and waits for its first event.
    pub(super) fn wait_began(&mut self, flight: &mut Flight, attempt: &Attempt, now: Instant) {
        if attempt.model.is_some() {
            self.sojourns.entry(key(flight)).or_default().sent(&flight.id, now);
            flight.waits_for_event = Some(now);
        }
    }

    /// The wait for the first event is over, by the event or by the end of the attempt.
    pub(super) fn wait_ended(&mut self, flight: &mut Flight, has_event: bool, now: Instant) {
        if let Some(since) = flight.waits_for_event.take()
            && let Some(sojourn) = self.sojourns.get_mut(&key(flight))
        {
            sojourn.ended(&flight.id, since, has_event, now);
        }
    }
}

fn key(flight: &Flight) -> SojournKey {
    (flight.service.clone(), priority(flight))
}
