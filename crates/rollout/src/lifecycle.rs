//! The life cycle of a version, read from `charts/version.yaml`.

use foxtailhoist_chart::Chart;
use foxtailhoist_chart::ChartError;
use foxtailhoist_model::Stage;
use serde::Deserialize;

/// State of the chart: a [`Stage`] without its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageName {
    Registered,
    Canary,
    Settled,
    Withdrawing,
    Withdrawn,
}

/// What moves a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageEvent {
    /// An operator starts the roll-out.
    RollOut,
    /// No entry host has a quota of callers at the present step.
    QuotasMissing,
    /// Hold time, rated answers and the judge allow the next step.
    StepPassed,
    /// The judge of some entry host vetoed the version.
    Vetoed,
    /// An operator withdraws it.
    Withdraw,
    /// Requests that were running when it was withdrawn have ended.
    Drained,
    /// An operator makes it available for another roll-out.
    Restore,
}

/// Condition of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageGuard {
    LastStep,
}

/// What the controller asks for on a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageEffect {
    AllocateQuotas,
    NextStep,
    Settle,
    Withdraw,
    End,
}

/// The chart of `charts/version.yaml`.
pub type LifeCycle = Chart<StageName, StageEvent, StageGuard, StageEffect>;

/// Reads the chart.
///
/// # Errors
///
/// Returns the first fault of the file; a test shows that there is none.
pub fn life_cycle() -> Result<LifeCycle, ChartError> {
    LifeCycle::parse(include_str!("../../../charts/version.yaml"))
}

impl StageName {
    #[must_use]
    pub fn of(stage: &Stage) -> StageName {
        match stage {
            Stage::Registered => StageName::Registered,
            Stage::Canary { .. } => StageName::Canary,
            Stage::Settled => StageName::Settled,
            Stage::Withdrawing => StageName::Withdrawing,
            Stage::Withdrawn => StageName::Withdrawn,
        }
    }
}
