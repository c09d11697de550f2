//! Counters of a router, for metrics and measurements.

use std::collections::BTreeMap;

use foxtailhoist_model::ErrorKind;

/// Counters since the start; they only grow, but for the two gauges at the end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Requests refused, by kind.
    pub refused: BTreeMap<ErrorKind, u64>,
    /// Attempts started.
    pub dispatched: u64,
    /// Attempts that repeat a failed one.
    pub retries: u64,
    /// Second attempts beside a slow one.
    pub hedges: u64,
    /// Cheap answers that a better model's replaced.
    pub escalations: u64,
    /// Cheap answers that were accepted.
    pub accepted: u64,
    /// Requests sent to a model that is not proven.
    pub explorations: u64,
    /// Answers handed to the rating service.
    pub ratings_asked: u64,
    /// Verdicts that came back.
    pub ratings: u64,
    /// Attempts sent to a server that holds the prompt's prefix.
    pub prefix_hits: u64,
    /// Requests with an id that is still being worked on; ignored.
    pub duplicates: u64,
    /// Requests that wait for a place now.
    pub queued: u64,
    /// Attempts under way now.
    pub in_flight: u64,
}
