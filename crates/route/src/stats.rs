//! Counters of a router, for metrics and measurements.

use std::collections::BTreeMap;

use foxtailhoist_model::ErrorKind;

/// Counters since the start, which only grow, and the gauges `queued` and `in_flight`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests received.
    pub arrived: u64,
    /// Requests answered completely.
    pub completed: u64,
    /// Requests refused, by kind.
    pub refused: BTreeMap<ErrorKind, u64>,
    /// Attempts started.
    pub dispatched: u64,
    /// Attempts that retry a failed one.
    pub retries: u64,
    /// Second attempts made in parallel with a slow one.
    pub hedges: u64,
    /// Answers of a cheap model replaced by a better model's.
    pub escalations: u64,
    /// Answers of a cheap model that were accepted.
    pub accepted: u64,
    /// Requests sent to a model whose quality is not yet established.
    pub explorations: u64,
    /// Answers sent to the rating service.
    pub ratings_requested: u64,
    /// Verdicts received from the rating service.
    pub ratings: u64,
    /// Attempts sent to a server that has the prompt's prefix in its cache.
    pub prefix_hits: u64,
    /// Requests ignored because a request with the same id is still in progress.
    pub duplicates: u64,
    /// Requests waiting for a server now.
    pub queued: u64,
    /// Attempts in flight now.
    pub in_flight: u64,
}
