//! Model cascade: replaces low-confidence answers of a small model by a larger model's.

use std::time::Duration;
use std::time::Instant;

use super::AnswerHead;
use super::Dispatcher;
use crate::backends::choose::Choice;
use crate::in_flight::Attempt;
use crate::in_flight::InFlightRequest;
use crate::in_flight::LowConfidenceAnswer;
use crate::in_flight::work;
use crate::latency_pressure::LatencyPressure;

/// Fraction of the retry allowance that escalations leave for retries after failures.
const RETRY_RESERVE: f64 = 0.3;
/// Fraction of the confidence floor that applies if the larger model's first event is expected after the latency target: an
/// answer that comes too late is worth less to its caller than a doubtful one in time.
const LATE_FLOOR_PART: f64 = 0.5;

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
        let pressure = self.latency_pressures.get(&req.service);
        let mut part = pressure.map_or(1.0, |pressure| pressure.floor_part(now));
        let mut is_affordable = f64::from(confidence) < f64::from(*floor) * part
            && req.route.repeatability.allows_retry()
            && self.can_finish_stream(&req.service, req.max_output_tokens, now);
        if is_affordable {
            is_affordable = self.plan_attempt(req, RETRY_RESERVE, now).is_ok_and(|choice| {
                if self.would_be_late(req, &choice, now) {
                    part = part.min(LATE_FLOOR_PART);
                }
                f64::from(confidence) < f64::from(*floor) * part
            });
        }
        if !is_affordable {
            req.low_confidence_answer =
                Some(LowConfidenceAnswer { confidence, floor: *floor, floor_part: part });
        }
        is_affordable
    }

    /// Whether the first event of the largest model is expected after a latency target that the present answer meets.
    fn would_be_late(&self, req: &InFlightRequest, choice: &Choice, now: Instant) -> bool {
        let Some(target) = req.route.latency_target else {
            return false;
        };
        let mean = self
            .backends
            .mean_first_byte(&req.service, req.route.models.last().map(String::as_str));
        let expected = mean.unwrap_or_default() * work(choice.prefill_tokens);
        let due = req.arrived + target;
        now < due && now + Duration::from_secs_f64(expected / 1_000.0) > due
    }
}
