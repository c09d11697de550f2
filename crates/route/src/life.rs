//! Chart of a request's life, read from `charts/request.yaml`.

use foxtailhoist_chart::Chart;
use serde::Deserialize;

/// Where a request stands.
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

/// What moves a request on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
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

/// Conditions on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Guard {
    NeedsNoClaim,
}

/// What a step does besides changing the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Act {
    Enqueue,
    Deliver,
    Bill,
    Complete,
    Refuse,
}

/// Chart of a request's life.
pub(crate) type Life = Chart<State, Step, Guard, Act>;

const CHART: &str = include_str!("../../../charts/request.yaml");

/// Reads the chart that the program was built with.
pub(crate) fn life() -> Life {
    Life::parse(CHART).expect("the chart is part of the program and a test reads it")
}
