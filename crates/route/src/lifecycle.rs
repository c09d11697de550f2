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
    PlaceFound,
    NoPlace,
    AttemptLost,
    AnswerBegun,
    AnswerWhole,
    BillSafe,
    Rejected,
}

/// Condition of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Guard {
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
