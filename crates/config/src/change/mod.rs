//! One command against the store.
//!
//! The machine works out the next call from what it knows: the proposal, `config/active`, the bodies that a plan
//! needs, then the writes. The write of `config/active` is conditional on the version that the plan was made from, and
//! is repeated with the same content when its answer was lost: at most one of the repeats can take effect. Once the
//! object has moved on, the change id in it, or in the audit record that every later change writes before its own
//! update, tells whether this change was the one.

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

/// Longest time that a command takes before it ends with what is known.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// First and longest wait after a failed call.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
const BACKOFF_LONGEST: Duration = Duration::from_secs(2);
/// Plans that lost the race for `config/active` before the command gives up.
const PLANS: u32 = 16;
/// Reads that show a revision below the known one before the store counts as fallen back.
const LOW_READS: u32 = 4;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A store call ended.
    Store { call: CallId, result: StoreResult },
    /// The time named by [`Change::next_wake`] has come; also starts the command.
    Tick,
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    Store {
        call: CallId,
        op: StoreOp,
    },
    /// The command ended; nothing follows.
    Done(Box<Result<Applied, ChangeRefusal>>),
}

/// Settings of one command.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeConfig {
    /// Highest revision that this host or its peers have in force.
    pub known: Revision,
    pub enforcement: Enforcement,
}

/// A command under way.
#[derive(Clone, Debug)]
pub struct Change {
    cfg: ChangeConfig,
    command: Command,
    at: SystemTime,
    id: ChangeId,
    proposal_id: ProposalId,
    rng: ChaCha8Rng,
    invariants: Invariants,
    step: Step,
    pending: Option<CallId>,
    next_call: CallId,
    call_at: Option<Instant>,
    deadline: Instant,
    failures: u32,
    low_reads: u32,
    plans: u32,
    active: Option<(ObjectVersion, Active)>,
    first_operator_revision: Option<Revision>,
    proposal: Option<(ObjectVersion, Proposal)>,
    bodies: BTreeMap<Digest, Bytes>,
    plan: Option<Plan>,
    /// A write that decides the command was sent and its answer did not come.
    answer_lost: bool,
    applied: Option<Applied>,
    done: bool,
}

/// Call that is due or in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    ReadProposal,
    ReadActive,
    ReadBody(Digest),
    WriteBody,
    /// Writes the audit record of the change before, which the active object still carries.
    WritePreviousAudit,
    WriteActive,
    /// Looks for the own change after an answer was lost.
    ReadBackActive,
    ReadBackAudit,
    WriteProposal,
    ReadBackProposal,
    WriteAudit,
    WriteAct,
}

impl Change {
    /// A command given at `at`; the first [`Event::Tick`] starts it.
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
        let fresh_proposal = format!("{:016x}", rng.random::<u64>());
        let step = if command.proposal().is_some() { Step::ReadProposal } else { Step::ReadActive };
        let proposal_id = command.proposal().cloned().unwrap_or(fresh_proposal);
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
            plans: 0,
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

    /// Names the attempt in audit records and messages.
    #[must_use]
    pub fn id(&self) -> &ChangeId {
        &self.id
    }

    /// Takes one event at `now`.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.done {
            return effects;
        }
        if let Event::Store { call, result } = event {
            if self.pending.take_if(|pending| *pending == call).is_none() {
                return effects;
            }
            if let Err(refusal) = self.take_result(result, now) {
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

    /// Time of the next tick that is needed.
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
            None if self.decision_unknown() => Err(ChangeRefusal::Unknown(self.id.clone())),
            None => Err(ChangeRefusal::StoreUnavailable),
        }
    }

    /// Whether the deciding write may have taken effect, now or later.
    fn decision_unknown(&self) -> bool {
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
