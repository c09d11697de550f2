//! Runs one command against the store.
//!
//! The state machine reads the proposal, `config/active` and the bodies that the plan needs, and then writes. The write
//! of `config/active` is conditional on the version that the plan is based on. If its answer is lost, it is retried
//! with the same content, so at most one attempt can take effect. Once the object has a newer version, the change id in
//! it shows whether this change was applied. After further changes the audit record shows it, because every change
//! writes its predecessor's record before its own update.

mod call;
mod command;
mod plan;
mod reply;

pub use command::Applied;
pub use command::ChangeRefusal;
pub use command::Command;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::plan::Plan;
use self::plan::PlanTarget;
use crate::Active;
use crate::AuditRecord;
use crate::CallId;
use crate::ChangeId;
use crate::Digest;
use crate::Proposal;
use crate::ProposalId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::ObjectVersion;
use foxtailhoist_model::Revision;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;

/// Time after which a command ends with the outcome known by then.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay after the first failed call; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Number of plans after which the command gives up, if `config/active` changed before each of them was written.
const MAX_PLANS: u32 = 16;
/// Number of reads with a revision below the known one after which the store counts as fallen back.
const MAX_LOW_READS: u32 = 4;

/// Input of a [`Change`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A store call completed.
    Store { call: CallId, result: StoreResult },
    /// The time returned by [`Change::next_wake`] was reached; also starts the command.
    Tick,
}

/// Action that the caller must perform.
#[derive(Clone, Debug)]
pub enum Effect {
    Store {
        call: CallId,
        op: StoreOp,
    },
    /// The command ended; the last effect.
    Done(Box<Result<Applied, ChangeRefusal>>),
}

/// Settings of one command.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeConfig {
    /// Highest revision that this host or its peers have in force.
    pub known: Revision,
    pub enforcement: Enforcement,
}

/// A running command.
#[derive(Clone, Debug)]
pub struct Change {
    cfg: ChangeConfig,
    command: Command,
    /// When the command was issued.
    at: SystemTime,
    id: ChangeId,
    proposal_id: ProposalId,
    rng: ChaCha8Rng,
    invariants: Invariants,
    step: Step,
    pending: Option<CallId>,
    next_call: CallId,
    /// When the next store call is due; `None` when no call is left.
    call_at: Option<Instant>,
    deadline: Instant,
    failures: u32,
    low_reads: u32,
    failed_plans: u32,
    active: Option<(ObjectVersion, Active)>,
    /// Revision of the last change by an operator when the command first read `config/active`.
    first_operator_revision: Option<Revision>,
    proposal: Option<(ObjectVersion, Proposal)>,
    bodies: BTreeMap<Digest, Bytes>,
    plan: Option<Plan>,
    /// Whether the answer to the write that decides the command's outcome was lost.
    answer_lost: bool,
    applied: Option<Applied>,
    done: bool,
}

/// Store call that is due or in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    ReadProposal,
    ReadActive,
    ReadBody(Digest),
    WriteBody,
    /// Writes the audit record of the previous change, which the active object still contains.
    WritePreviousAudit,
    WriteActive,
    /// Checks for this change after an answer was lost.
    ReadBackActive,
    /// Checks the audit log for this change after a later change replaced the active object.
    ReadBackAudit,
    WriteProposal,
    /// Checks whether this command wrote the proposal, after the condition of the write failed.
    ReadBackProposal,
    WriteAudit,
    /// Writes the audit record of an act that creates no revision.
    WriteAct,
}

impl Change {
    /// A command issued at `at`; the first [`Event::Tick`] starts it.
    #[must_use]
    pub fn new(
        command: Command,
        cfg: ChangeConfig,
        at: SystemTime,
        seed: u64,
        now: Instant,
    ) -> Change {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let id = format!("{:032x}", rng.random::<u128>());
        let new_proposal = format!("{:016x}", rng.random::<u64>());
        let step = if command.proposal().is_some() { Step::ReadProposal } else { Step::ReadActive };
        let proposal_id = command.proposal().cloned().unwrap_or(new_proposal);
        Change {
            cfg,
            command,
            at,
            id,
            proposal_id,
            rng,
            invariants: Invariants::new(cfg.enforcement),
            step,
            pending: None,
            next_call: 0,
            call_at: Some(now),
            deadline: now + COMMAND_TIMEOUT,
            failures: 0,
            low_reads: 0,
            failed_plans: 0,
            active: None,
            first_operator_revision: None,
            proposal: None,
            bodies: BTreeMap::new(),
            plan: None,
            answer_lost: false,
            applied: None,
            done: false,
        }
    }

    /// Identifier of this attempt in audit records and messages.
    #[must_use]
    pub fn id(&self) -> &ChangeId {
        &self.id
    }

    /// Handles one event at `now`.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.done {
            return effects;
        }
        if let Event::Store { call, result } = event {
            if self.pending.take_if(|pending| *pending == call).is_none() {
                return effects;
            }
            if let Err(refusal) = self.handle_result(result, now) {
                self.finish(Err(refusal), &mut effects);
                return effects;
            }
        }
        if let Some(applied) = self.applied.clone().filter(|_| self.call_at.is_none()) {
            self.finish(Ok(applied), &mut effects);
            return effects;
        }
        if now >= self.deadline {
            let outcome = self.outcome_at_deadline();
            self.finish(outcome, &mut effects);
            return effects;
        }
        self.start_call(now, &mut effects);
        effects
    }

    /// Time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        if self.done {
            return None;
        }
        let call_at = self.call_at.filter(|_| self.pending.is_none());
        Some(call_at.map_or(self.deadline, |at| at.min(self.deadline)))
    }

    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    fn active(&self) -> Option<&Active> {
        self.active.as_ref().map(|(_, active)| active)
    }

    fn proposal(&self) -> Option<&Proposal> {
        self.proposal.as_ref().map(|(_, proposal)| proposal)
    }

    fn why(&self) -> String {
        match &self.command {
            Command::Initialise { why, .. }
            | Command::Propose { why, .. }
            | Command::Refuse { why, .. }
            | Command::SwitchPreset { why, .. }
            | Command::SetStage { why, .. }
            | Command::ClearVeto { why, .. }
            | Command::Restore { why, .. } => why.clone(),
            Command::Approve { .. } | Command::Apply { .. } => {
                self.proposal().map(|proposal| proposal.why.clone()).unwrap_or_default()
            }
        }
    }

    fn finish(&mut self, outcome: Result<Applied, ChangeRefusal>, effects: &mut Vec<Effect>) {
        self.done = true;
        effects.push(Effect::Done(Box::new(outcome)));
    }

    fn outcome_at_deadline(&self) -> Result<Applied, ChangeRefusal> {
        match &self.applied {
            Some(applied) => Ok(applied.clone()),
            None if self.is_outcome_unknown() => Err(ChangeRefusal::Unknown(self.id.clone())),
            None => Err(ChangeRefusal::StoreUnavailable),
        }
    }

    /// Whether the deciding write may have taken effect, now or later.
    fn is_outcome_unknown(&self) -> bool {
        let in_flight =
            self.pending.is_some() && matches!(self.step, Step::WriteActive | Step::WriteProposal);
        self.answer_lost || in_flight
    }

    fn start_call(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.pending.is_some() || self.call_at.is_none_or(|at| now < at) {
            return;
        }
        match self.op() {
            Ok(op) => {
                self.next_call += 1;
                self.pending = Some(self.next_call);
                effects.push(Effect::Store { call: self.next_call, op });
            }
            Err(refusal) => self.finish(Err(refusal), effects),
        }
    }
}

impl Plan {
    fn change(&self) -> Option<&AuditRecord> {
        match &self.target {
            PlanTarget::Active(active) => Some(&active.change),
            PlanTarget::Proposal(_) => None,
        }
    }
}
