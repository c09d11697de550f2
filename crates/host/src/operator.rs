//! Operators' commands and the replies to them.

use std::collections::BTreeMap;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::OperatorId;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// A command from an operator, accepted by any entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case", deny_unknown_fields)]
pub enum OperatorCommand {
    /// List the presets and show which one is in force.
    PresetList,
    PresetShow {
        preset: PresetId,
    },
    /// Put a preset in force.
    PresetSwitch {
        operator: OperatorId,
        preset: PresetId,
        why: String,
    },
    /// Store a configuration for approval.
    ConfigPropose {
        operator: OperatorId,
        why: String,
        configuration: Box<Configuration>,
    },
    /// Show what a proposal would change.
    ConfigDiff {
        proposal: String,
    },
    ConfigApprove {
        operator: OperatorId,
        proposal: String,
    },
    /// Put an approved proposal in force.
    ConfigApply {
        operator: OperatorId,
        proposal: String,
    },
    /// Show the audit log, newest entry last.
    ConfigLog {
        limit: usize,
    },
    VersionList,
    /// Start the roll-out of a registered version.
    VersionRollout {
        operator: OperatorId,
        model_version: ModelVersion,
        why: String,
    },
    VersionWithdraw {
        operator: OperatorId,
        model_version: ModelVersion,
        why: String,
    },
    VersionVeto {
        operator: OperatorId,
        model_version: ModelVersion,
        why: String,
    },
    /// Lift the vetoes on a version.
    VersionClear {
        operator: OperatorId,
        model_version: ModelVersion,
        why: String,
    },
    Status,
    /// Sum the bills by workspace, model and version.
    Usage,
}

/// Reply to a command that succeeded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum OperatorReply {
    Presets {
        in_force: PresetId,
        presets: Vec<PresetId>,
    },
    /// Human-readable lines.
    Text {
        lines: Vec<String>,
    },
    /// A change that is stored, with the hosts that do and do not have it in force yet.
    Applied {
        revision: Revision,
        change: String,
        detail: Vec<String>,
        confirmed: Vec<EntryHostId>,
        unconfirmed: Vec<EntryHostId>,
    },
    Proposed {
        proposal: String,
        diff: Vec<String>,
    },
    Approved {
        proposal: String,
    },
    Versions {
        versions: BTreeMap<ModelVersion, VersionStatus>,
    },
    Status(Box<HostStatus>),
    Usage {
        rows: Vec<UsageRow>,
    },
}

/// A version as this host sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionStatus {
    pub record: VersionRecord,
    /// A veto is in force on this host; the configuration may not show it yet.
    pub vetoed_here: bool,
}

/// Status of an entry host and its view of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    pub host: EntryHostId,
    pub data_centre: DataCentreId,
    pub revision: Revision,
    pub preset: PresetId,
    /// Whether the configuration in force was recently confirmed as the store's newest.
    pub confirmed: bool,
    pub stopping: bool,
    /// Whether the host is a watcher of its data centre.
    pub watcher: bool,
    /// Whether the host holds the lease of the roll-out controller.
    pub leading_rollouts: bool,
    /// Revision that each live entry host last reported to have in force.
    pub hosts: BTreeMap<EntryHostId, Revision>,
    pub backend_servers: usize,
    /// Requests that have not ended.
    pub running: usize,
    pub vetoes: Vec<ModelVersion>,
    pub invariant_violations: u64,
}

/// Sum of the bills of a workspace for a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRow {
    pub workspace: WorkspaceId,
    pub model_version: Option<ModelVersion>,
    pub answers: u64,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
}

impl OperatorCommand {
    /// Sets the operator to the one whose key authenticated the command, whatever the command itself named.
    #[must_use]
    pub fn by(mut self, name: &OperatorId) -> OperatorCommand {
        match &mut self {
            OperatorCommand::PresetSwitch { operator, .. }
            | OperatorCommand::ConfigPropose { operator, .. }
            | OperatorCommand::ConfigApprove { operator, .. }
            | OperatorCommand::ConfigApply { operator, .. }
            | OperatorCommand::VersionRollout { operator, .. }
            | OperatorCommand::VersionWithdraw { operator, .. }
            | OperatorCommand::VersionVeto { operator, .. }
            | OperatorCommand::VersionClear { operator, .. } => operator.clone_from(name),
            OperatorCommand::PresetList
            | OperatorCommand::PresetShow { .. }
            | OperatorCommand::ConfigDiff { .. }
            | OperatorCommand::ConfigLog { .. }
            | OperatorCommand::VersionList
            | OperatorCommand::Status
            | OperatorCommand::Usage => {}
        }
        self
    }
}
