//! Request counters. All are integers, so that merging is exact.

use std::collections::BTreeMap;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use serde::Deserialize;
use serde::Serialize;

use crate::objective::Objective;
use crate::observation::CompletedRequest;
use crate::observation::NanoMoney;
use crate::observation::RefusedRequest;
use crate::observation::is_callers_fault;

/// Counters of one series.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Counters {
    pub completed: u64,
    /// Completed after the deadline.
    pub late: u64,
    /// Streamed answers with a first token.
    pub streamed: u64,
    /// Streamed answers whose first token came later than [`FIRST_TOKEN_TARGET`](crate::FIRST_TOKEN_TARGET).
    pub slow_first_token: u64,
    /// Requests refused without being run, callers' faults excluded.
    pub refused: u64,
    /// Requests that were sent to a backend server and ended without a complete answer.
    pub failed: u64,
    /// Refusals caused by the callers; see [`is_callers_fault`].
    pub callers_faults: u64,
    pub rated: u64,
    pub unacceptable: u64,
    pub cost: NanoMoney,
    pub best_cost: NanoMoney,
    /// Refusals and failures by kind, callers' faults included.
    pub errors: BTreeMap<ErrorKind, u64>,
}

/// Events counted by an objective, and how many of them burn its budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    pub total: u64,
    pub bad: u64,
}

impl Counters {
    pub(crate) fn record_completed(&mut self, request: &CompletedRequest, slow_first_token: bool) {
        self.completed += 1;
        self.late += u64::from(!request.in_time);
        self.streamed += u64::from(request.first_token.is_some());
        self.slow_first_token += u64::from(slow_first_token);
        self.cost += request.cost;
        self.best_cost += request.best_cost;
    }

    pub(crate) fn record_refused(&mut self, request: &RefusedRequest) {
        *self.errors.entry(request.kind).or_default() += 1;
        if is_callers_fault(request.kind) {
            self.callers_faults += 1;
        } else if request.ran == Ran::NotRun {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }

    pub(crate) fn record_rating(&mut self, acceptable: bool) {
        self.rated += 1;
        self.unacceptable += u64::from(!acceptable);
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Counters) {
        self.completed += other.completed;
        self.late += other.late;
        self.streamed += other.streamed;
        self.slow_first_token += other.slow_first_token;
        self.refused += other.refused;
        self.failed += other.failed;
        self.callers_faults += other.callers_faults;
        self.rated += other.rated;
        self.unacceptable += other.unacceptable;
        self.cost += other.cost;
        self.best_cost += other.best_cost;
        for (kind, count) in &other.errors {
            *self.errors.entry(*kind).or_default() += count;
        }
    }

    /// Number of requests, callers' faults excluded.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.completed + self.failed + self.refused
    }

    /// Events of an objective. A request that was sent and failed counts as not in time; one that was refused without
    /// being run counts only as refused, so that no request burns both budgets.
    #[must_use]
    pub fn events(&self, objective: Objective) -> Events {
        match objective {
            Objective::FirstToken => Events { total: self.streamed, bad: self.slow_first_token },
            Objective::InTime => {
                Events { total: self.completed + self.failed, bad: self.late + self.failed }
            }
            Objective::Quality => Events { total: self.rated, bad: self.unacceptable },
            Objective::Accepted => Events { total: self.requests(), bad: self.refused },
        }
    }

    /// Number of events over all objectives that burn a budget.
    #[must_use]
    pub fn bad_events(&self) -> u64 {
        Objective::ALL.iter().map(|objective| self.events(*objective).bad).sum()
    }
}

impl Events {
    /// Share of bad events; 0 if there are no events.
    #[must_use]
    pub fn bad_share(self) -> f64 {
        if self.total == 0 { 0.0 } else { self.bad as f64 / self.total as f64 }
    }
}
