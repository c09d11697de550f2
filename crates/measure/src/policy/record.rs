//! What became of each request of a run.

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::ErrorKind;
use serde::Serialize;

use crate::policy::clock::Time;

/// One request's fate.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Attempt whose output goes to the caller.
    pub delivered: Option<AttemptId>,
    /// When the caller saw the first token, after it sent the request.
    pub first_token: Option<Time>,
    pub answer: Option<Answer>,
    pub refused: Option<ErrorKind>,
    /// Money for all engine work on the request.
    pub cost: f64,
    /// Money for the delivered attempt.
    pub useful_cost: f64,
    pub attempts: Attempts,
}

/// A whole answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// When the caller had it, after it sent the request.
    pub after: Time,
    pub model: usize,
    pub next_version: bool,
    pub acceptable: bool,
}

/// Attempts of a request by their cause.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    pub all: u32,
    /// After one failed.
    pub retries: u32,
    /// Beside one that runs.
    pub hedges: u32,
    /// After a whole answer that was not delivered.
    pub cascades: u32,
    /// Money for each cause's attempts.
    pub retry_cost: f64,
}

/// What became of versions and vetoes in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct VersionOutcome {
    /// When the first host vetoed the faulty version.
    pub vetoed_at: Option<Time>,
    /// Rated and failed answers of the faulty version, fleet-wide, when the first host vetoed it or the run ended.
    pub rated_before: u64,
    pub failed_before: u64,
    /// Distinct callers whose requests went to the faulty version while it was bad.
    pub exposed: usize,
    /// Callers seen in the run.
    pub callers: usize,
    /// Vetoes of versions without a fault.
    pub false_vetoes: u64,
    /// The version in roll-out was settled by the end.
    pub settled: bool,
}
