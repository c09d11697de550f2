//! Computes the configuration that a command writes.
//!
//! A plan is recomputed whenever `config/active` was read, so every check applies to the object that the conditional
//! update replaces. A proposal is based on the revision that its author saw. Later changes by operators are conflicts.
//! Stages that a roll-out controller set since then are kept, because roll-outs change them every few seconds; they
//! conflict only if the proposal changes the same entry.

use bytes::Bytes;

use super::Change;
use super::ChangeRefusal;
use super::Command;
use crate::Active;
use crate::AuditRecord;
use crate::BODY_LIMIT_BYTES;
use crate::Delta;
use crate::Digest;
use crate::Proposal;
use crate::ProposalState;
use crate::decode_configuration;
use crate::diff;
use crate::encode_body;
use crate::sha256_hex;
use crate::validate;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::FencingNumber;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Stage;

/// Body to write and the object that refers to it.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub body: Bytes,
    pub digest: Digest,
    pub target: PlanTarget,
}

/// Object that refers to the body.
#[derive(Clone, Debug)]
pub(super) enum PlanTarget {
    Active(Box<Active>),
    Proposal(Box<Proposal>),
}

/// Result of planning a command.
pub(super) enum Planned {
    Ready(Plan),
    /// The body with this digest must be read first.
    NeedsBody(Digest),
}

impl Change {
    /// Plans the command against the active object as last read.
    pub(super) fn plan(&self) -> Result<Planned, ChangeRefusal> {
        let Some(active) = self.active() else {
            return self.plan_initial();
        };
        self.check_operator_changes(active)?;
        let Some(current) = self.decode_body(active, &active.digest)? else {
            return Ok(Planned::NeedsBody(active.digest.clone()));
        };
        match &self.command {
            Command::Initialise { .. } => Err(ChangeRefusal::AlreadyInitialised),
            Command::Propose { configuration, .. } => {
                self.plan_proposal(active, &current, configuration)
            }
            Command::Apply { .. } => self.plan_apply(active, &current),
            Command::SwitchPreset { preset, .. } => {
                if !current.presets.contains_key(preset) {
                    return Err(ChangeRefusal::UnknownPreset(preset.clone()));
                }
                let mut next = current.clone();
                next.preset.clone_from(preset);
                self.plan_active(Some((active, &current)), next, active.controller_fencing)
            }
            Command::SetStage { model_version, stage, vetoed, fencing, .. } => {
                let fencing = fencing.unwrap_or(active.controller_fencing);
                let next = set_stage(active, &current, model_version, stage, *vetoed, fencing)?;
                self.plan_active(Some((active, &current)), next, fencing)
            }
            Command::ClearVeto { model_version, .. } => {
                let next = clear_veto(&current, model_version)?;
                self.plan_active(Some((active, &current)), next, active.controller_fencing)
            }
            Command::Restore { configuration, .. } => {
                self.plan_restore(active, &current, configuration)
            }
            Command::Approve { .. } | Command::Refuse { .. } => Err(ChangeRefusal::Contended),
        }
    }

    fn plan_initial(&self) -> Result<Planned, ChangeRefusal> {
        match &self.command {
            Command::Initialise { configuration, .. } | Command::Restore { configuration, .. } => {
                self.plan_active(None, configuration.clone(), 0)
            }
            _ => Err(ChangeRefusal::NotInitialised),
        }
    }

    /// Returns a conflict if an operator has changed the configuration since this command first read it.
    fn check_operator_changes(&self, active: &Active) -> Result<(), ChangeRefusal> {
        let first_seen = self.first_operator_revision.unwrap_or(Revision::MAX);
        if self.command.by_controller() || active.operator_change.revision <= first_seen {
            return Ok(());
        }
        Err(ChangeRefusal::Conflict { theirs: Box::new(active.operator_change.clone()) })
    }

    fn plan_proposal(
        &self,
        active: &Active,
        current: &Configuration,
        proposed: &Configuration,
    ) -> Result<Planned, ChangeRefusal> {
        validate(proposed).map_err(ChangeRefusal::Invalid)?;
        let (body, digest) = encode_checked_body(proposed)?;
        let proposal = Proposal {
            id: self.proposal_id.clone(),
            operator: self.command.actor().to_owned(),
            why: self.why(),
            at: self.at,
            base_revision: active.revision,
            base_digest: active.digest.clone(),
            base_preset: active.preset.clone(),
            preset: proposed.preset.clone(),
            digest: digest.clone(),
            diff: diff(current, proposed),
            state: ProposalState::Waiting,
        };
        let target = PlanTarget::Proposal(Box::new(proposal));
        Ok(Planned::Ready(Plan { body, digest, target }))
    }

    fn plan_apply(
        &self,
        active: &Active,
        current: &Configuration,
    ) -> Result<Planned, ChangeRefusal> {
        let Some(proposal) = self.proposal() else {
            return Err(ChangeRefusal::NoSuchProposal(self.proposal_id.clone()));
        };
        match &proposal.state {
            ProposalState::Waiting => return Err(ChangeRefusal::NotApproved(proposal.id.clone())),
            ProposalState::Refused(_) => {
                return Err(ChangeRefusal::ProposalRefused(proposal.id.clone()));
            }
            // An approval in the author's name does not count, whoever wrote the object.
            ProposalState::Approved(approval) if approval.operator == proposal.operator => {
                return Err(ChangeRefusal::ApprovedByProposer(proposal.id.clone()));
            }
            ProposalState::Approved(_) => {}
        }
        if active.operator_change.revision > proposal.base_revision {
            let theirs = Box::new(active.operator_change.clone());
            return Err(ChangeRefusal::Conflict { theirs });
        }
        let Some(mut next) = self.decode_body(active, &proposal.digest)? else {
            return Ok(Planned::NeedsBody(proposal.digest.clone()));
        };
        next.preset.clone_from(&proposal.preset);
        if active.revision != proposal.base_revision {
            let Some(base) = self.decode_body(active, &proposal.base_digest)? else {
                return Ok(Planned::NeedsBody(proposal.base_digest.clone()));
            };
            next = rebase(active, &base, &next, current)?;
        }
        self.plan_active(Some((active, current)), next, active.controller_fencing)
    }

    fn plan_restore(
        &self,
        active: &Active,
        current: &Configuration,
        in_force: &Configuration,
    ) -> Result<Planned, ChangeRefusal> {
        if active.revision >= in_force.revision {
            let theirs = Box::new(active.change.clone());
            return Err(ChangeRefusal::Conflict { theirs });
        }
        self.plan_active(Some((active, current)), in_force.clone(), active.controller_fencing)
    }

    fn plan_active(
        &self,
        before: Option<(&Active, &Configuration)>,
        next: Configuration,
        controller_fencing: FencingNumber,
    ) -> Result<Planned, ChangeRefusal> {
        validate(&next).map_err(ChangeRefusal::Invalid)?;
        let (body, digest) = encode_checked_body(&next)?;
        let store_revision = before.map_or(0, |(active, _)| active.revision);
        let revision = store_revision.max(self.revision_floor()) + 1;
        let change = AuditRecord {
            change: self.id.clone(),
            revision,
            act: self.command.act(),
            actor: self.command.actor().to_owned(),
            why: self.why(),
            at: self.at,
            proposal: self.command.proposal().cloned(),
            approved_by: self.approver(),
            before: before.map(|(active, _)| active.digest.clone()),
            after: digest.clone(),
            diff: before.map_or_else(Vec::new, |(_, current)| diff(current, &next)),
        };
        let operator_change = match before {
            Some((active, _)) if self.command.by_controller() => active.operator_change.clone(),
            _ => change.clone(),
        };
        let preset = next.preset;
        let active = Active {
            revision,
            preset,
            digest: digest.clone(),
            controller_fencing,
            change,
            operator_change,
        };
        let target = PlanTarget::Active(Box::new(active));
        Ok(Planned::Ready(Plan { body, digest, target }))
    }

    /// Revision that the new one must exceed as well as the store's revision.
    fn revision_floor(&self) -> Revision {
        match &self.command {
            Command::Restore { configuration, .. } => configuration.revision.max(self.cfg.known),
            _ => 0,
        }
    }

    fn approver(&self) -> Option<String> {
        match &self.proposal()?.state {
            ProposalState::Approved(approval) => Some(approval.operator.clone()),
            ProposalState::Waiting | ProposalState::Refused(_) => None,
        }
    }

    /// Decodes a body with the active revision and preset; `None` if it was not read yet.
    fn decode_body(
        &self,
        active: &Active,
        digest: &Digest,
    ) -> Result<Option<Configuration>, ChangeRefusal> {
        let Some(body) = self.bodies.get(digest) else {
            return Ok(None);
        };
        let with_digest = Active { digest: digest.clone(), ..active.clone() };
        let key = crate::body_key(digest);
        let configuration = decode_configuration(&with_digest, body);
        configuration.map(Some).map_err(|reason| ChangeRefusal::Damaged(key, reason))
    }
}

/// Applies a proposal's changes on top of the stages that a controller set since the proposal's base.
fn rebase(
    active: &Active,
    base: &Configuration,
    proposed: &Configuration,
    current: &Configuration,
) -> Result<Configuration, ChangeRefusal> {
    let ours = Delta::between(base, proposed);
    let theirs = Delta::between(base, current);
    if ours.overlaps(&theirs) {
        return Err(ChangeRefusal::Conflict { theirs: Box::new(active.change.clone()) });
    }
    let mut next = ours.rebase(current);
    next.preset.clone_from(&proposed.preset);
    Ok(next)
}

fn set_stage(
    active: &Active,
    current: &Configuration,
    model_version: &ModelVersion,
    stage: &Stage,
    vetoed: bool,
    fencing: FencingNumber,
) -> Result<Configuration, ChangeRefusal> {
    if fencing < active.controller_fencing {
        let newest = active.controller_fencing;
        return Err(ChangeRefusal::Fenced { own: fencing, newest });
    }
    let mut next = current.clone();
    let Some(record) = next.versions.get_mut(model_version) else {
        return Err(ChangeRefusal::UnknownVersion(model_version.clone()));
    };
    record.vetoed |= vetoed;
    if record.vetoed && stage.takes_new_work() {
        return Err(ChangeRefusal::Vetoed(model_version.clone()));
    }
    record.stage = stage.clone();
    Ok(next)
}

fn clear_veto(
    current: &Configuration,
    model_version: &ModelVersion,
) -> Result<Configuration, ChangeRefusal> {
    let mut next = current.clone();
    let Some(record) = next.versions.get_mut(model_version) else {
        return Err(ChangeRefusal::UnknownVersion(model_version.clone()));
    };
    record.vetoed = false;
    Ok(next)
}

fn encode_checked_body(configuration: &Configuration) -> Result<(Bytes, Digest), ChangeRefusal> {
    let body = encode_body(configuration).map_err(ChangeRefusal::Invalid)?;
    if body.len() > BODY_LIMIT_BYTES {
        let reason = format!("{} bytes, at most {BODY_LIMIT_BYTES} fit", body.len());
        return Err(ChangeRefusal::Invalid(reason));
    }
    let digest = sha256_hex(&body);
    Ok((body, digest))
}
