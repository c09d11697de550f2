//! Refusals that are true for what is known of a request's runs, and when a refused caller may come back.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;

use super::Dispatcher;
use crate::flight::Flight;
use crate::flight::Knowledge;
use crate::routes::Repeatability;

/// Return times told to refused callers: a share of the time that they have left, within bounds.
const RETURN_SHARE: f64 = 0.1;
pub(super) const RETURN_MIN: Duration = Duration::from_millis(60);
pub(super) const RETURN_MAX: Duration = Duration::from_millis(1_500);

impl Dispatcher {
    pub(super) fn out_of_time(&self, flight: &Flight) -> Refusal {
        match flight.knowledge {
            Knowledge::NotRun => refusal_after(ErrorKind::DeadlineTooShort, flight),
            _ => refusal_after(ErrorKind::DeadlineExceeded, flight),
        }
    }

    /// No further attempt is allowed.
    pub(super) fn give_up(&self, flight: &Flight, now: Instant) -> Refusal {
        let kind = match flight.knowledge {
            Knowledge::NotRun => ErrorKind::Overloaded,
            Knowledge::MayHaveRun => ErrorKind::OutcomeUnknown,
            Knowledge::Ran => ErrorKind::BackendFailed,
        };
        self.refuse(flight, kind, now)
    }

    /// A refusal that is true for what is known of the request's runs.
    pub(super) fn refuse(&self, flight: &Flight, kind: ErrorKind, now: Instant) -> Refusal {
        let left = flight.deadline.saturating_duration_since(now);
        let may_promise =
            flight.knowledge == Knowledge::NotRun || flight.route.repeatability.may_run_again();
        let kind = match (may_promise, flight.knowledge) {
            (true, _) => kind,
            (false, Knowledge::Ran) => ErrorKind::BackendFailed,
            (false, _) => ErrorKind::OutcomeUnknown,
        };
        let wait = left.mul_f64(RETURN_SHARE).clamp(RETURN_MIN, RETURN_MAX);
        let mut refusal = refusal_after(kind, flight);
        refusal.retry_after = (refusal.ran == Ran::NotRun).then_some(wait);
        refusal
    }
}

pub(super) fn refusal(kind: ErrorKind, retry_after: Option<Duration>) -> Refusal {
    Refusal { kind, ran: kind.response().ran, message: String::new(), retry_after }
}

/// A refusal that says of the run what is known of the flight.
pub(super) fn refusal_after(kind: ErrorKind, flight: &Flight) -> Refusal {
    let ran = match flight.knowledge {
        Knowledge::NotRun => Ran::NotRun,
        Knowledge::MayHaveRun => Ran::Unknown,
        Knowledge::Ran => Ran::Ran,
    };
    let message = match flight.route.repeatability {
        Repeatability::AtMostOnce if ran != Ran::NotRun => "do not repeat it blindly".to_owned(),
        _ => String::new(),
    };
    Refusal { kind, ran, message, retry_after: None }
}
