//! Lifecycle of a version, defined by the state chart in `charts/version.yaml`.

use foxtailhoist_chart::Chart;
use foxtailhoist_chart::ChartError;
use foxtailhoist_model::Stage;
use serde::Deserialize;

/// State of the chart: a [`Stage`] without its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageName {
    Registered,
    Canary,
    Settled,
    Withdrawing,
    Withdrawn,
}

/// Event that changes a version's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageEvent {
    /// An operator starts the roll-out.
    RollOut,
    /// No entry host has a caller quota at the current step.
    QuotasMissing,
    /// Hold time, number of rated answers and the judge's verdict allow the next step.
    StepPassed,
    /// An entry host's judge or the configuration vetoes the version.
    Vetoed,
    /// An operator withdraws the version.
    Withdraw,
    /// Requests that were running at the withdrawal have ended.
    Drained,
    /// An operator makes the version available for another roll-out.
    Restore,
}

/// Condition of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageGuard {
    LastStep,
}

/// Change that the controller requests on a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageEffect {
    AllocateQuotas,
    NextStep,
    Settle,
    Withdraw,
    End,
}

/// State chart defined in `charts/version.yaml`.
pub type LifecycleChart = Chart<StageName, StageEvent, StageGuard, StageEffect>;

/// Parses the chart that is compiled in.
///
/// # Errors
///
/// Returns the first error in the file; a test checks that there is none.
pub fn lifecycle_chart() -> Result<LifecycleChart, ChartError> {
    LifecycleChart::parse(include_str!("../../../charts/version.yaml"))
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
