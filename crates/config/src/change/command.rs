//! Commands that change the configuration, and their outcomes.

use thiserror::Error;

use crate::Act;
use crate::AuditRecord;
use crate::ChangeId;
use crate::ProposalId;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::FencingNumber;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::OperatorId;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Stage;

/// Command of an operator or of the entry host that holds the roll-out controller's lease.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Creates revision 1; refused if there is a configuration already.
    Initialise { operator: OperatorId, why: String, configuration: Configuration },
    /// Records a configuration for approval.
    Propose { operator: OperatorId, why: String, configuration: Configuration },
    /// Approves a proposal; the proposer may not.
    Approve { operator: OperatorId, proposal: ProposalId },
    /// Closes a proposal permanently.
    Refuse { operator: OperatorId, proposal: ProposalId, why: String },
    /// Puts an approved proposal in force.
    Apply { operator: OperatorId, proposal: ProposalId },
    /// Puts another preset of the configuration in force.
    SwitchPreset { operator: OperatorId, preset: PresetId, why: String },
    /// Changes a version's stage. `vetoed` can set the version's veto but not clear it.
    SetStage {
        /// An entry host, or an operator.
        actor: String,
        model_version: ModelVersion,
        stage: Stage,
        vetoed: bool,
        /// Fencing number of the controller's lease; `None` for an operator, who needs no lease.
        fencing: Option<FencingNumber>,
        why: String,
    },
    /// Clears a version's veto.
    ClearVeto { operator: OperatorId, model_version: ModelVersion, why: String },
    /// Writes the configuration that the hosts have in force to a store that fell back to an older revision.
    Restore { operator: OperatorId, why: String, configuration: Configuration },
}

/// A command that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    pub change: ChangeId,
    /// Revision that the command created, or that the proposal is based on.
    pub revision: Revision,
    /// Key of the audit record.
    pub audit: ObjectKey,
    /// Proposal that the command created, decided on or applied.
    pub proposal: Option<ProposalId>,
    /// The store's answer to the deciding write was lost; the outcome was determined by a retry or by reading back.
    pub answer_lost: bool,
}

/// Reason that a command had no effect or that its effect is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeRefusal {
    #[error(
        "{} changed the configuration to revision {}: {} ({}); make a new proposal on top of it",
        theirs.actor, theirs.revision, theirs.why, theirs.diff.join("; ")
    )]
    Conflict { theirs: Box<AuditRecord> },
    #[error("proposal {0} is not approved; another operator than its author must approve it")]
    NotApproved(ProposalId),
    #[error("proposal {0} was refused; make a new one")]
    ProposalRefused(ProposalId),
    #[error("the author of proposal {0} cannot approve it; ask another operator")]
    ApprovedByProposer(ProposalId),
    #[error("there is no proposal {0}; list the proposals")]
    NoSuchProposal(ProposalId),
    #[error("there is a configuration already; propose a change to it")]
    AlreadyInitialised,
    #[error("there is no configuration yet; initialise it")]
    NotInitialised,
    #[error("preset '{0}' is not defined; propose a configuration that defines it")]
    UnknownPreset(PresetId),
    #[error("version {0} is not in the configuration; propose a configuration that registers it")]
    UnknownVersion(ModelVersion),
    #[error("version {0} is vetoed; an operator must clear the veto first")]
    Vetoed(ModelVersion),
    #[error("fencing number {own} is below {newest}; another host leads the roll-outs")]
    Fenced { own: FencingNumber, newest: FencingNumber },
    #[error("the configuration is not valid: {0}")]
    Invalid(String),
    #[error(
        "the object API shows revision {store}, the hosts have {known} in force; restore it first"
    )]
    StoreFellBack { store: Revision, known: Revision },
    #[error("{0} cannot be read: {1}")]
    Damaged(ObjectKey, String),
    #[error("not applied: the object API cannot be reached")]
    StoreUnavailable,
    #[error("unknown whether applied: the object API cannot be reached; look for change {0} later")]
    Unknown(ChangeId),
    #[error("not applied: other changes kept coming first; try again")]
    Contended,
}

impl Command {
    /// Act that the audit record names.
    #[must_use]
    pub fn act(&self) -> Act {
        match self {
            Command::Initialise { .. } => Act::Initialise,
            Command::Propose { .. } => Act::Propose,
            Command::Approve { .. } => Act::Approve,
            Command::Refuse { .. } => Act::Refuse,
            Command::Apply { .. } => Act::Apply,
            Command::SwitchPreset { .. } => Act::SwitchPreset,
            Command::SetStage { .. } => Act::SetStage,
            Command::ClearVeto { .. } => Act::ClearVeto,
            Command::Restore { .. } => Act::Restore,
        }
    }

    /// Operator, or entry host that controls the roll-outs.
    #[must_use]
    pub fn actor(&self) -> &str {
        match self {
            Command::SetStage { actor, .. } => actor,
            Command::Initialise { operator, .. }
            | Command::Propose { operator, .. }
            | Command::Approve { operator, .. }
            | Command::Refuse { operator, .. }
            | Command::Apply { operator, .. }
            | Command::SwitchPreset { operator, .. }
            | Command::ClearVeto { operator, .. }
            | Command::Restore { operator, .. } => operator,
        }
    }

    /// Existing proposal that the command decides on or applies.
    #[must_use]
    pub fn proposal(&self) -> Option<&ProposalId> {
        match self {
            Command::Approve { proposal, .. }
            | Command::Refuse { proposal, .. }
            | Command::Apply { proposal, .. } => Some(proposal),
            _ => None,
        }
    }

    /// Whether the command creates a revision.
    #[must_use]
    pub fn makes_revision(&self) -> bool {
        !matches!(self.act(), Act::Propose | Act::Approve | Act::Refuse)
    }

    /// Whether the command comes from a roll-out controller rather than an operator.
    #[must_use]
    pub fn by_controller(&self) -> bool {
        matches!(self, Command::SetStage { fencing: Some(_), .. })
    }
}

impl ChangeRefusal {
    /// Kind of error that is reported to the operator.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            ChangeRefusal::Conflict { .. }
            | ChangeRefusal::AlreadyInitialised
            | ChangeRefusal::StoreFellBack { .. }
            | ChangeRefusal::Contended => ErrorKind::Conflict,
            ChangeRefusal::NotApproved(_)
            | ChangeRefusal::ProposalRefused(_)
            | ChangeRefusal::ApprovedByProposer(_)
            | ChangeRefusal::Vetoed(_)
            | ChangeRefusal::Fenced { .. } => ErrorKind::Forbidden,
            ChangeRefusal::NoSuchProposal(_)
            | ChangeRefusal::UnknownPreset(_)
            | ChangeRefusal::UnknownVersion(_)
            | ChangeRefusal::NotInitialised => ErrorKind::NotFound,
            ChangeRefusal::Invalid(_) => ErrorKind::Invalid,
            ChangeRefusal::Damaged(..) => ErrorKind::Internal,
            ChangeRefusal::StoreUnavailable => ErrorKind::StoreUnavailable,
            ChangeRefusal::Unknown(_) => ErrorKind::OutcomeUnknown,
        }
    }
}
