//! The store call of each step.

use bytes::Bytes;
use serde::Serialize;

use super::Change;
use super::ChangeRefusal;
use super::Command;
use super::Step;
use super::plan::Plan;
use super::plan::PlanTarget;
use crate::ACTIVE_KEY;
use crate::ActRecord;
use crate::Approval;
use crate::Proposal;
use crate::ProposalState;
use crate::act_key;
use crate::audit_key;
use crate::body_key;
use crate::encode;
use crate::proposal_key;
use foxtailhoist_model::Condition;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::Revision;
use foxtailhoist_model::StoreOp;

impl Change {
    pub(super) fn op(&self) -> Result<StoreOp, ChangeRefusal> {
        let key = self.key();
        let (value, condition) = match &self.step {
            Step::ReadProposal
            | Step::ReadActive
            | Step::ReadBody(_)
            | Step::ReadBackActive
            | Step::ReadBackAudit
            | Step::ReadBackProposal => return Ok(StoreOp::Get { key }),
            Step::WriteBody => (self.plan_value(|plan| Ok(plan.body.clone()))?, Condition::Absent),
            Step::WritePreviousAudit => {
                (encoded(&self.active().map(|active| &active.change))?, Condition::Absent)
            }
            Step::WriteActive => (self.plan_value(encoded_target)?, self.active_condition()),
            Step::WriteProposal => self.proposal_write()?,
            Step::WriteAudit => {
                (self.plan_value(|plan| encoded(&plan.change()))?, Condition::Absent)
            }
            Step::WriteAct => (encoded(&self.act_record())?, Condition::Any),
        };
        Ok(StoreOp::Put { key, value, condition })
    }

    fn key(&self) -> ObjectKey {
        match &self.step {
            Step::ReadProposal | Step::WriteProposal | Step::ReadBackProposal => {
                proposal_key(&self.proposal_id)
            }
            Step::ReadActive | Step::WriteActive | Step::ReadBackActive => ACTIVE_KEY.to_owned(),
            Step::ReadBody(digest) => body_key(digest),
            Step::WriteBody => body_key(self.plan.as_ref().map_or("", |plan| plan.digest.as_str())),
            Step::WritePreviousAudit => {
                audit_key(self.active().map_or(0, |active| active.revision))
            }
            Step::ReadBackAudit | Step::WriteAudit => audit_key(self.planned_revision()),
            Step::WriteAct => act_key(self.at, &self.id),
        }
    }

    pub(super) fn planned_revision(&self) -> Revision {
        self.plan.as_ref().and_then(Plan::change).map_or(0, |change| change.revision)
    }

    fn plan_value(
        &self,
        value: impl Fn(&Plan) -> Result<Bytes, ChangeRefusal>,
    ) -> Result<Bytes, ChangeRefusal> {
        self.plan.as_ref().map_or(Err(ChangeRefusal::Contended), value)
    }

    fn active_condition(&self) -> Condition {
        match &self.active {
            Some((version, _)) => Condition::Version(*version),
            None => Condition::Absent,
        }
    }

    /// Value and condition for writing a new proposal or the decision on one.
    fn proposal_write(&self) -> Result<(Bytes, Condition), ChangeRefusal> {
        if self.plan.is_some() {
            return Ok((self.plan_value(encoded_target)?, Condition::Absent));
        }
        let Some((version, proposal)) = &self.proposal else {
            return Err(ChangeRefusal::NoSuchProposal(self.proposal_id.clone()));
        };
        let approval = Approval {
            change: self.id.clone(),
            operator: self.command.actor().to_owned(),
            at: self.at,
        };
        let state = match self.command {
            Command::Refuse { .. } => ProposalState::Refused(approval),
            _ => ProposalState::Approved(approval),
        };
        let decided = Proposal { state, ..proposal.clone() };
        Ok((encoded(&decided)?, Condition::Version(*version)))
    }

    fn act_record(&self) -> Option<ActRecord> {
        let proposal = match self.plan.as_ref().map(|plan| &plan.target) {
            Some(PlanTarget::Proposal(proposal)) => proposal,
            _ => self.proposal()?,
        };
        Some(ActRecord {
            change: self.id.clone(),
            act: self.command.act(),
            actor: self.command.actor().to_owned(),
            why: self.why(),
            at: self.at,
            proposal: proposal.id.clone(),
            before: Some(proposal.base_digest.clone()),
            after: proposal.digest.clone(),
            diff: proposal.diff.clone(),
        })
    }
}

fn encoded_target(plan: &Plan) -> Result<Bytes, ChangeRefusal> {
    match &plan.target {
        PlanTarget::Active(active) => encoded(active),
        PlanTarget::Proposal(proposal) => encoded(proposal),
    }
}

fn encoded<T: Serialize>(value: &T) -> Result<Bytes, ChangeRefusal> {
    encode(value).map_err(ChangeRefusal::Invalid)
}
