//! Handling of the result of each step's store call.

use std::time::Instant;

use rand::RngExt;
use serde::de::DeserializeOwned;

use super::Applied;
use super::Change;
use super::ChangeRefusal;
use super::Command;
use super::INITIAL_BACKOFF;
use super::MAX_BACKOFF;
use super::MAX_LOW_READS;
use super::MAX_PLANS;
use super::Step;
use super::plan::Plan;
use super::plan::PlanTarget;
use super::plan::Planned;
use crate::Active;
use crate::AuditRecord;
use crate::Digest;
use crate::Proposal;
use crate::ProposalState;
use crate::act_key;
use crate::audit_key;
use crate::body_key;
use crate::decode;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Object;
use foxtailhoist_model::ObjectVersion;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;

impl Change {
    pub(super) fn handle_result(
        &mut self,
        result: StoreResult,
        now: Instant,
    ) -> Result<(), ChangeRefusal> {
        let is_deciding_write = matches!(self.step, Step::WriteActive | Step::WriteProposal);
        match result {
            Ok(reply) => {
                self.failures = 0;
                self.call_at = Some(now);
                self.handle_reply(reply, now)
            }
            Err(StoreError::Refused { reason }) if self.applied.is_none() => {
                Err(ChangeRefusal::Invalid(reason))
            }
            Err(error) => {
                self.answer_lost |= is_deciding_write && error == StoreError::Unknown;
                self.back_off(now);
                Ok(())
            }
        }
    }

    fn back_off(&mut self, now: Instant) {
        let doubled = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(10));
        let wait = doubled.min(MAX_BACKOFF).mul_f64(self.rng.random_range(0.5..1.5));
        self.failures += 1;
        self.call_at = Some(now + wait);
    }

    fn handle_reply(&mut self, reply: StoreReply, now: Instant) -> Result<(), ChangeRefusal> {
        match (self.step.clone(), reply) {
            (Step::ReadProposal, StoreReply::Object(object)) => self.read_proposal(object),
            (Step::ReadActive, StoreReply::Object(object)) => self.read_active(object, now),
            (Step::ReadBody(digest), StoreReply::Object(object)) => self.read_body(digest, object),
            (Step::WriteBody, _) => {
                self.step = match self.plan.as_ref().map(|plan| &plan.target) {
                    Some(PlanTarget::Proposal(_)) => Step::WriteProposal,
                    _ if self.active.is_some() => Step::WritePreviousAudit,
                    _ => Step::WriteActive,
                };
                Ok(())
            }
            (Step::WritePreviousAudit, _) => {
                self.step = Step::WriteActive;
                Ok(())
            }
            (Step::WriteActive, StoreReply::Written(_)) => {
                self.record_applied(Step::WriteAudit);
                Ok(())
            }
            (Step::WriteActive, _) => self.handle_conflict(now),
            (Step::ReadBackActive, StoreReply::Object(object)) => {
                self.read_back_active(object, now)
            }
            (Step::ReadBackAudit, StoreReply::Object(object)) => self.read_back_audit(object, now),
            (Step::WriteProposal, StoreReply::Written(_)) => {
                self.record_applied(Step::WriteAct);
                Ok(())
            }
            (Step::WriteProposal, _) => {
                self.step = Step::ReadBackProposal;
                Ok(())
            }
            (Step::ReadBackProposal, StoreReply::Object(object)) => self.read_back_proposal(object),
            (Step::WriteAudit | Step::WriteAct, _) => {
                self.call_at = None;
                Ok(())
            }
            (_, _) => {
                self.back_off(now);
                Ok(())
            }
        }
    }

    fn read_proposal(&mut self, object: Option<Object>) -> Result<(), ChangeRefusal> {
        let Some(object) = object else {
            return Err(ChangeRefusal::NoSuchProposal(self.proposal_id.clone()));
        };
        let proposal: Proposal = decode_object(&object)?;
        self.step = match (&self.command, &proposal.state) {
            (Command::Approve { operator, .. }, _) if *operator == proposal.operator => {
                return Err(ChangeRefusal::ApprovedByProposer(proposal.id));
            }
            (Command::Approve { .. } | Command::Refuse { .. }, ProposalState::Refused(_)) => {
                return Err(ChangeRefusal::ProposalRefused(proposal.id));
            }
            (Command::Approve { .. } | Command::Refuse { .. }, _) => Step::WriteProposal,
            _ => Step::ReadActive,
        };
        self.proposal = Some((object.version, proposal));
        Ok(())
    }

    fn read_active(&mut self, object: Option<Object>, now: Instant) -> Result<(), ChangeRefusal> {
        let active: Option<(ObjectVersion, Active)> = match object {
            Some(object) => Some((object.version, decode_object(&object)?)),
            None => None,
        };
        let store = active.as_ref().map_or(0, |(_, active)| active.revision);
        let restores = matches!(self.command, Command::Restore { .. });
        if store < self.cfg.known && !restores {
            self.low_reads += 1;
            if self.low_reads >= MAX_LOW_READS {
                return Err(ChangeRefusal::StoreFellBack { store, known: self.cfg.known });
            }
            self.back_off(now);
            return Ok(());
        }
        self.active = active;
        if self.first_operator_revision.is_none() {
            let seen = self.active().map_or(0, |active| active.operator_change.revision);
            self.first_operator_revision = Some(seen);
        }
        self.make_plan()
    }

    fn make_plan(&mut self) -> Result<(), ChangeRefusal> {
        if let Some(applied) = self.previously_applied() {
            self.applied = Some(applied);
            self.call_at = None;
            return Ok(());
        }
        match self.plan()? {
            Planned::NeedsBody(digest) => self.step = Step::ReadBody(digest),
            Planned::Ready(plan) => {
                self.plan = Some(plan);
                self.step = Step::WriteBody;
            }
        }
        Ok(())
    }

    /// Outcome of an earlier command that already applied the same proposal.
    fn previously_applied(&self) -> Option<Applied> {
        let change = &self.active()?.operator_change;
        let same = matches!(self.command, Command::Apply { .. })
            && change.proposal.as_ref() == self.command.proposal();
        same.then(|| self.applied_change(change, false))
    }

    fn read_body(&mut self, digest: Digest, object: Option<Object>) -> Result<(), ChangeRefusal> {
        let Some(object) = object else {
            return Err(ChangeRefusal::Damaged(body_key(&digest), "it is missing".to_owned()));
        };
        self.bodies.insert(digest, object.value);
        self.make_plan()
    }

    fn record_applied(&mut self, next: Step) {
        let applied = match self.plan.as_ref().and_then(Plan::change) {
            Some(change) => self.applied_change(change, self.answer_lost),
            None => self.applied_to_proposal(),
        };
        self.check_invariants();
        self.applied = Some(applied);
        self.step = next;
    }

    fn check_invariants(&mut self) {
        let Some(PlanTarget::Active(next)) = self.plan.as_ref().map(|plan| &plan.target) else {
            return;
        };
        let before = self.active.as_ref().map_or(0, |(_, active)| active.revision);
        let fencing = self.active.as_ref().map_or(0, |(_, active)| active.controller_fencing);
        let after = next.revision;
        let after_fencing = next.controller_fencing;
        self.invariants.check(Invariant::RevisionNeverFalls, after > before, || {
            format!("revision {before} was replaced by {after}")
        });
        self.invariants.check(Invariant::FencedActsOnly, after_fencing >= fencing, || {
            format!("fencing number {after_fencing} acted after {fencing}")
        });
    }

    fn applied_change(&self, change: &AuditRecord, answer_lost: bool) -> Applied {
        Applied {
            change: change.change.clone(),
            revision: change.revision,
            audit: audit_key(change.revision),
            proposal: change.proposal.clone(),
            answer_lost,
        }
    }

    fn applied_to_proposal(&self) -> Applied {
        let base = match self.plan.as_ref().map(|plan| &plan.target) {
            Some(PlanTarget::Proposal(proposal)) => proposal.base_revision,
            _ => self.proposal().map_or(0, |proposal| proposal.base_revision),
        };
        Applied {
            change: self.id.clone(),
            revision: base,
            audit: act_key(self.at, &self.id),
            proposal: Some(self.proposal_id.clone()),
            answer_lost: self.answer_lost,
        }
    }

    /// Handles a failed condition of the write of the active object.
    fn handle_conflict(&mut self, now: Instant) -> Result<(), ChangeRefusal> {
        if self.answer_lost {
            self.step = Step::ReadBackActive;
            return Ok(());
        }
        self.replan(now)
    }

    fn replan(&mut self, now: Instant) -> Result<(), ChangeRefusal> {
        self.failed_plans += 1;
        if self.failed_plans >= MAX_PLANS {
            return Err(ChangeRefusal::Contended);
        }
        self.plan = None;
        self.answer_lost = false;
        self.step = Step::ReadActive;
        self.back_off(now);
        Ok(())
    }

    fn read_back_active(
        &mut self,
        object: Option<Object>,
        now: Instant,
    ) -> Result<(), ChangeRefusal> {
        let Some(object) = object else {
            self.back_off(now);
            return Ok(());
        };
        let active: Active = decode_object(&object)?;
        if active.change.change == self.id {
            self.record_applied(Step::WriteAudit);
        } else if active.revision < self.planned_revision() {
            // Stale read: the write's condition failed, so the object is newer than this one.
            self.back_off(now);
        } else if active.revision == self.planned_revision() {
            // Another change created the revision, so the condition of this write cannot hold any more.
            return self.replan(now);
        } else {
            self.step = Step::ReadBackAudit;
        }
        Ok(())
    }

    fn read_back_audit(
        &mut self,
        object: Option<Object>,
        now: Instant,
    ) -> Result<(), ChangeRefusal> {
        let Some(object) = object else {
            // Stale read: the next change wrote this record before its own update.
            self.back_off(now);
            return Ok(());
        };
        let record: AuditRecord = decode_object(&object)?;
        if record.change != self.id {
            return self.replan(now);
        }
        self.record_applied(Step::WriteAudit);
        self.call_at = None;
        Ok(())
    }

    fn read_back_proposal(&mut self, object: Option<Object>) -> Result<(), ChangeRefusal> {
        let Some(object) = object else {
            return Err(ChangeRefusal::NoSuchProposal(self.proposal_id.clone()));
        };
        let proposal: Proposal = decode_object(&object)?;
        let is_own_write = match &proposal.state {
            ProposalState::Waiting => self.plan.is_some(),
            ProposalState::Approved(approval) | ProposalState::Refused(approval) => {
                self.plan.is_some() || approval.change == self.id
            }
        };
        if is_own_write {
            self.record_applied(Step::WriteAct);
            return Ok(());
        }
        // Another operator decided first: check against the newer state and retry.
        self.read_proposal(Some(object))
    }
}

fn decode_object<T: DeserializeOwned>(object: &Object) -> Result<T, ChangeRefusal> {
    decode(&object.value).map_err(|reason| ChangeRefusal::Damaged(object.key.clone(), reason))
}
