//! State chart of a request's lifecycle, read from `charts/request.yaml`.

use foxtailhoist_chart::Chart;
use serde::Deserialize;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    Received,
    Permitted,
    Claimed,
    Queued,
    Dispatched,
    Streaming,
    Billed,
    Answered,
    Refused,
}

/// Event that causes a state transition of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Trigger {
    PermitGranted,
    ClaimGranted,
    ClaimRefused,
    /// A server was selected for the next attempt.
    PlaceFound,
    /// No server has capacity.
    NoPlace,
    /// The last running attempt failed and a retry is scheduled.
    AttemptLost,
    /// The first byte of a streamed answer arrived.
    AnswerBegun,
    /// A complete answer was selected for the caller.
    AnswerWhole,
    /// The bill is safely recorded.
    BillSafe,
    /// The router ends the request with a refusal.
    Rejected,
}

/// Condition of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Guard {
    /// The request is idempotent, so it runs without a claim.
    NeedsNoClaim,
}

/// Effect of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    Enqueue,
    Deliver,
    Bill,
    Complete,
    Refuse,
}

pub(crate) type Lifecycle = Chart<State, Trigger, Guard, Action>;

const CHART: &str = include_str!("../../../charts/request.yaml");

/// Parses the chart that is embedded in the binary.
pub(crate) fn lifecycle() -> Lifecycle {
    Lifecycle::parse(CHART).expect("the embedded chart is valid")
}
