//! Whether a small model's weak answer is replaced by a larger model's.

use std::time::Duration;
use std::time::Instant;

use super::AnswerHead;
use super::Dispatcher;
use crate::flight::Attempt;
use crate::flight::Flight;
use crate::flight::KeptWeak;
use crate::strain::Strain;

/// Part of the retry allowance that a change of model leaves for retries after failures.
const KEEP_FOR_RETRIES: f64 = 0.3;

impl Dispatcher {
    /// Takes in how long an engine's first event took.
    pub(super) fn note_wait(
        &mut self,
        flight: &Flight,
        attempt: &Attempt,
        wait: Duration,
        now: Instant,
    ) {
        let Some(target) = flight.route.latency_target.filter(|_| attempt.model.is_some()) else {
            return;
        };
        let share = wait.as_secs_f64() / target.as_secs_f64().max(0.001);
        let strain = self.strains.entry(attempt.service.clone()).or_insert(Strain::new(now));
        strain.sample(share, now);
    }

    /// Whether a weak answer is dropped for a larger model's.
    pub(super) fn should_escalate(
        &mut self,
        flight: &mut Flight,
        head: &AnswerHead,
        now: Instant,
    ) -> bool {
        let largest = flight.route.models.len().saturating_sub(1);
        let floors = &self.cfg.confidence_floors;
        let floor = floors.get(usize::from(flight.route.priority)).or(floors.last());
        let (Some(floor), Some(confidence)) = (floor, head.confidence) else {
            return false;
        };
        if flight.started || flight.model_step >= largest || confidence >= *floor {
            return false;
        }
        let part = self.strains.get(&flight.service).map_or(1.0, |strain| strain.floor_part(now));
        let is_affordable = f64::from(confidence) < f64::from(*floor) * part
            && flight.attempts < flight.route.max_attempts
            && flight.route.repeatability.may_run_again()
            && self.retries.has_room(&flight.service, KEEP_FOR_RETRIES, now);
        if !is_affordable {
            flight.kept_weak = Some(KeptWeak { confidence, floor: *floor, floor_part: part });
        }
        is_affordable
    }
}
