//! Model cascade: replaces low-confidence answers of a small model by a larger model's.

use std::time::Duration;
use std::time::Instant;

use super::AnswerHead;
use super::Dispatcher;
use crate::in_flight::Attempt;
use crate::in_flight::InFlightRequest;
use crate::in_flight::LowConfidenceAnswer;
use crate::latency_pressure::LatencyPressure;

/// Fraction of the retry allowance that escalations leave for retries after failures.
const RETRY_RESERVE: f64 = 0.3;

impl Dispatcher {
    /// Records how long an engine took until the first event.
    pub(super) fn sample_latency_pressure(
        &mut self,
        req: &InFlightRequest,
        attempt: &Attempt,
        wait: Duration,
        now: Instant,
    ) {
        let Some(target) = req.route.latency_target.filter(|_| attempt.model.is_some()) else {
            return;
        };
        let share = wait.as_secs_f64() / target.as_secs_f64().max(0.001);
        let pressure = self
            .latency_pressures
            .entry(attempt.service.clone())
            .or_insert(LatencyPressure::new(now));
        pressure.sample(share, now);
    }

    /// Whether a low-confidence answer is dropped and requested from a larger model.
    pub(super) fn should_escalate(
        &mut self,
        req: &mut InFlightRequest,
        head: &AnswerHead,
        now: Instant,
    ) -> bool {
        let largest = req.route.models.len().saturating_sub(1);
        let floors = &self.cfg.confidence_floors;
        let floor = floors.get(usize::from(req.route.priority)).or(floors.last());
        let (Some(floor), Some(confidence)) = (floor, head.confidence) else {
            return false;
        };
        if req.answer_started || req.model_index >= largest || confidence >= *floor {
            return false;
        }
        let part = self
            .latency_pressures
            .get(&req.service)
            .map_or(1.0, |pressure| pressure.floor_part(now));
        let is_affordable = f64::from(confidence) < f64::from(*floor) * part
            && req.route.repeatability.allows_retry()
            && self.plan_attempt(req, RETRY_RESERVE, now).is_ok();
        if !is_affordable {
            req.low_confidence_answer =
                Some(LowConfidenceAnswer { confidence, floor: *floor, floor_part: part });
        }
        is_affordable
    }
}
