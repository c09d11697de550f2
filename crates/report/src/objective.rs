//! Service-level objectives of the workspaces.

use std::collections::BTreeMap;
use std::time::Duration;

use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// Target for the first token of a streamed answer.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(640);

/// Service-level objective of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// The first token of a streamed answer comes within [`FIRST_TOKEN_TARGET`].
    FirstToken,
    /// A request that was sent is answered completely before its deadline.
    InTime,
    /// A rated answer is acceptable.
    Quality,
    /// A request is not refused.
    Accepted,
}

/// Target share of good events for each objective, from 0 to below 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkspaceObjectives {
    pub first_token: f64,
    pub in_time: f64,
    pub quality: f64,
    pub accepted: f64,
}

/// Objectives of all workspaces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objectives {
    /// Default for workspaces without their own entry.
    pub standard: WorkspaceObjectives,
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceObjectives>,
}

impl Objective {
    /// All objectives, in declaration order.
    pub const ALL: [Objective; 4] =
        [Objective::FirstToken, Objective::InTime, Objective::Quality, Objective::Accepted];

    /// Display name in reports.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Objective::FirstToken => "First token within 640 ms",
            Objective::InTime => "Whole answer in time",
            Objective::Quality => "Answer acceptable",
            Objective::Accepted => "Request not refused",
        }
    }
}

impl WorkspaceObjectives {
    /// Target share of good events for an objective.
    #[must_use]
    pub fn target(&self, objective: Objective) -> f64 {
        match objective {
            Objective::FirstToken => self.first_token,
            Objective::InTime => self.in_time,
            Objective::Quality => self.quality,
            Objective::Accepted => self.accepted,
        }
    }
}

impl Default for WorkspaceObjectives {
    fn default() -> WorkspaceObjectives {
        WorkspaceObjectives { first_token: 0.95, in_time: 0.99, quality: 0.90, accepted: 0.99 }
    }
}

impl Objectives {
    /// Objectives of one workspace.
    #[must_use]
    pub fn of(&self, workspace: &str) -> &WorkspaceObjectives {
        self.workspaces.get(workspace).unwrap_or(&self.standard)
    }
}
