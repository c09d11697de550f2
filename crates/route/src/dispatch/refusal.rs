//! Refusals, consistent with whether the request may have run, and the time after which a caller may retry.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;

use super::Dispatcher;
use crate::in_flight::ExecutionStatus;
use crate::in_flight::InFlightRequest;
use crate::routes::Repeatability;

/// Delay after which a refused caller may retry, as a fraction of the time left until its deadline.
const RETRY_AFTER_SHARE: f64 = 0.1;
/// Minimum of that delay.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(60);
/// Maximum of that delay.
pub(super) const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_500);

impl Dispatcher {
    /// Refuses a request whose deadline has passed or is too near for another attempt.
    pub(super) fn refuse_expired(&self, req: &InFlightRequest) -> Refusal {
        match req.execution {
            ExecutionStatus::NotRun => refusal_for(ErrorKind::DeadlineTooShort, req),
            _ => refusal_for(ErrorKind::DeadlineExceeded, req),
        }
    }

    /// Refuses a request that is allowed no further attempt.
    pub(super) fn refuse_exhausted(&self, req: &InFlightRequest, now: Instant) -> Refusal {
        let kind = match req.execution {
            ExecutionStatus::NotRun => ErrorKind::Overloaded,
            ExecutionStatus::MayHaveRun => ErrorKind::OutcomeUnknown,
            ExecutionStatus::Ran => ErrorKind::BackendFailed,
        };
        self.refuse(req, kind, now)
    }

    /// Refuses a request, with the kind changed if it would contradict that the request may have run.
    pub(super) fn refuse(&self, req: &InFlightRequest, kind: ErrorKind, now: Instant) -> Refusal {
        let left = req.deadline.saturating_duration_since(now);
        let may_be_resent =
            req.execution == ExecutionStatus::NotRun || req.route.repeatability.allows_retry();
        let kind = match (may_be_resent, req.execution) {
            (true, _) => kind,
            (false, ExecutionStatus::Ran) => ErrorKind::BackendFailed,
            (false, _) => ErrorKind::OutcomeUnknown,
        };
        let wait = left.mul_f64(RETRY_AFTER_SHARE).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        let mut refusal = refusal_for(kind, req);
        refusal.retry_after = (refusal.ran == Ran::NotRun).then_some(wait);
        refusal
    }
}

/// Creates a refusal of a request that was not admitted.
pub(super) fn refusal(kind: ErrorKind, retry_after: Option<Duration>) -> Refusal {
    Refusal { kind, ran: kind.response().ran, message: String::new(), retry_after }
}

/// Creates a refusal that reports the request's execution status.
pub(super) fn refusal_for(kind: ErrorKind, req: &InFlightRequest) -> Refusal {
    let ran = match req.execution {
        ExecutionStatus::NotRun => Ran::NotRun,
        ExecutionStatus::MayHaveRun => Ran::Unknown,
        ExecutionStatus::Ran => Ran::Ran,
    };
    let message = match req.route.repeatability {
        Repeatability::AtMostOnce if ran != Ran::NotRun => "do not repeat it blindly".to_owned(),
        _ => String::new(),
    };
    Refusal { kind, ran, message, retry_after: None }
}
