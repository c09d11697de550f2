//! Outcomes of the requests and model versions of a run.

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::ErrorKind;
use serde::Serialize;

use crate::policy::clock::Time;

/// Outcome of one request.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Attempt whose output is forwarded to the caller.
    pub delivered: Option<AttemptId>,
    /// Time from sending the request until the caller received the first token.
    pub first_token: Option<Time>,
    pub answer: Option<Answer>,
    pub refused: Option<ErrorKind>,
    /// Price of all engine work on the request.
    pub cost: f64,
    /// Price of the attempt whose answer was completed.
    pub useful_cost: f64,
    pub attempts: Attempts,
}

/// A complete answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Time from sending the request until the caller had the complete answer.
    pub after: Time,
    pub model: usize,
    pub next_version: bool,
    pub acceptable: bool,
}

/// Number of attempts of a request, by cause.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    pub all: u32,
    /// Attempts that follow a failed one.
    pub retries: u32,
    /// Attempts started while another one is running.
    pub hedges: u32,
    /// Attempts that follow a complete answer that was not delivered.
    pub cascades: u32,
    /// Price of retries and hedges.
    pub retry_cost: f64,
}

/// Outcome of model versions and vetoes in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct VersionOutcome {
    /// Time at which the first host vetoed the faulty version.
    pub vetoed_at: Option<Time>,
    /// Rated answers of the faulty version on all hosts until the first host vetoed it or the run ended.
    pub rated_before: u64,
    /// Failed answers of the faulty version on all hosts until the first host vetoed it or the run ended.
    pub failed_before: u64,
    /// Distinct callers whose requests were dispatched to a version while it was faulty.
    pub exposed: usize,
    /// Distinct callers of the run.
    pub callers: usize,
    /// Vetoes of versions that were not faulty.
    pub false_vetoes: u64,
    /// Whether the version in roll-out was settled at the end of the run.
    pub settled: bool,
}
