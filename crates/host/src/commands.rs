//! Operators' commands in progress.
//!
//! A change of the configuration runs against the store. Once it is applied, the reply waits a bounded time for the
//! other entry hosts to put it in force, so that it can name the hosts that have not.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_config::Applied;
use foxtailhoist_config::Change;
use foxtailhoist_config::ChangeRefusal;
use foxtailhoist_config::Command;
use foxtailhoist_config::adopter;
use foxtailhoist_config::change;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::OperatorId;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StoreResult;
use foxtailhoist_peers::event::Announcement;
use foxtailhoist_rollout::event as rollout;

use crate::EntryHost;
use crate::calls::Owner;
use crate::entry_host::InternalEvent;
use crate::entry_host::StopPhase;
use crate::entry_host::journal_config;
use crate::event::CommandId;
use crate::event::Effect;
use crate::operator::HostStatus;
use crate::operator::OperatorCommand;
use crate::operator::OperatorReply;
use crate::operator::VersionStatus;
use crate::readers::Reader;

/// Longest time a reply waits for the other entry hosts to put a change in force.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Origin of a change.
#[derive(Clone, Debug)]
pub(crate) enum ChangeSource {
    /// An operator's command, which expects a reply.
    Operator { command: CommandId, follow_up: FollowUp },
    /// The roll-out controller.
    Controller { model_version: ModelVersion },
}

/// Action after an operator's change was applied.
#[derive(Clone, Debug)]
pub(crate) enum FollowUp {
    /// Wait for the other hosts to adopt the new revision, then reply.
    AwaitAdoption,
    /// Reply with the proposal's id and diff.
    Proposal { diff: Vec<String> },
    /// Reply with the approved proposal's id.
    Approval,
    /// Lift the veto on all hosts, then wait as for [`FollowUp::AwaitAdoption`].
    ClearVeto { operator: OperatorId, model_version: ModelVersion },
}

/// Commands in progress.
pub(crate) struct Commands {
    seed: u64,
    next: u64,
    changes: BTreeMap<u64, RunningChange>,
    adoptions: BTreeMap<CommandId, Adoption>,
    pub(crate) readers: BTreeMap<CommandId, Reader>,
}

struct RunningChange {
    change: Change,
    source: ChangeSource,
}

/// An applied change whose reply waits for the other hosts.
struct Adoption {
    applied: Applied,
    until: Instant,
}

impl Commands {
    pub fn new(seed: u64) -> Commands {
        Commands {
            seed,
            next: 0,
            changes: BTreeMap::new(),
            adoptions: BTreeMap::new(),
            readers: BTreeMap::new(),
        }
    }

    /// Seed for the random number generator of the next change.
    pub fn next_seed(&self) -> u64 {
        self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(self.next)
    }

    pub fn add(&mut self, change: Change, source: ChangeSource) -> u64 {
        self.next += 1;
        self.changes.insert(self.next, RunningChange { change, source });
        self.next
    }

    pub fn next_wake(&self) -> Option<Instant> {
        let changes = self.changes.values().filter_map(|running| running.change.next_wake());
        let adoptions = self.adoptions.values().map(|adoption| adoption.until);
        changes.chain(adoptions).min()
    }
}

impl EntryHost {
    pub(crate) fn handle_command(
        &mut self,
        command: CommandId,
        operator_command: OperatorCommand,
        now: Instant,
    ) {
        match operator_command {
            OperatorCommand::PresetList => self.reply_from_configuration(command, presets),
            OperatorCommand::PresetShow { preset } => {
                self.reply_from_configuration(command, |configuration| {
                    show_preset(configuration, &preset)
                });
            }
            OperatorCommand::VersionList => {
                let reply = self.versions();
                self.reply(command, reply);
            }
            OperatorCommand::Status => {
                let reply = OperatorReply::Status(Box::new(self.status()));
                self.reply(command, Ok(reply));
            }
            OperatorCommand::VersionVeto { operator, model_version, why } => {
                let reason = format!("{operator}: {why}");
                let epoch = self.vetoes.epoch(&model_version);
                self.raise_veto(model_version.clone(), epoch, reason);
                let lines = vec![format!(
                    "{model_version} is vetoed on this host and spreads to its peers"
                )];
                self.reply(command, Ok(OperatorReply::Text { lines }));
            }
            OperatorCommand::ConfigLog { limit } => {
                self.start_reader(command, Reader::audit(limit), now)
            }
            OperatorCommand::ConfigDiff { proposal } => {
                self.start_reader(command, Reader::proposal(&proposal), now);
            }
            OperatorCommand::Usage => {
                let reader = Reader::usage(&journal_config(&self.cfg));
                self.start_reader(command, reader, now);
            }
            change => self.handle_change_command(command, change, now),
        }
    }

    pub(crate) fn handle_change_result(
        &mut self,
        id: u64,
        call: u64,
        result: StoreResult,
        now: Instant,
    ) {
        self.step_change(id, change::Event::Store { call, result }, now);
    }

    pub(crate) fn step_change(&mut self, id: u64, event: change::Event, now: Instant) {
        let Some(running) = self.commands.changes.get_mut(&id) else {
            return;
        };
        for effect in running.change.handle(event, now) {
            match effect {
                change::Effect::Store { call, op } => {
                    let call = self.calls.open(Owner::Change(id), call);
                    self.effects.push(Effect::Store { call, op });
                }
                change::Effect::Done(outcome) => {
                    self.change_done(id, *outcome, now);
                    return;
                }
            }
        }
    }

    pub(crate) fn tick_commands(&mut self, now: Instant) {
        let due = |(id, running): (&u64, &RunningChange)| {
            running.change.next_wake().filter(|at| *at <= now).map(|_| *id)
        };
        let ids: Vec<u64> = self.commands.changes.iter().filter_map(due).collect();
        for id in ids {
            self.step_change(id, change::Event::Tick, now);
        }
        self.check_adoptions(now);
    }

    /// Replies to the commands whose change is in force on every host or whose wait has timed out.
    pub(crate) fn check_adoptions(&mut self, now: Instant) {
        let commands: Vec<CommandId> = self.commands.adoptions.keys().copied().collect();
        for command in commands {
            let Some(adoption) = self.commands.adoptions.get(&command) else {
                continue;
            };
            let reply = self.adoption_reply(&adoption.applied);
            let all_confirmed = matches!(&reply, OperatorReply::Applied { unconfirmed, .. } if unconfirmed.is_empty());
            if all_confirmed || now >= adoption.until {
                self.commands.adoptions.remove(&command);
                self.reply(command, Ok(reply));
            }
        }
    }

    pub(crate) fn reply(&mut self, command: CommandId, reply: Result<OperatorReply, Refusal>) {
        self.effects.push(Effect::Operator { command, reply });
    }

    /// Status of this host and its view of the fleet.
    #[must_use]
    pub fn status(&self) -> HostStatus {
        let revision = self.revision();
        let violations =
            self.invariants().iter().flat_map(|invariants| invariants.violations().values()).sum();
        HostStatus {
            host: self.cfg.host.clone(),
            data_centre: self.cfg.data_centre.clone(),
            revision,
            preset: self
                .configuration
                .as_ref()
                .map(|configuration| configuration.preset.clone())
                .unwrap_or_default(),
            confirmed: self.confirmed,
            stopping: self.stop_phase != StopPhase::No,
            watcher: self.watcher,
            leading_rollouts: self.leading,
            hosts: self.revisions(),
            backend_servers: self.servers.len(),
            running: self.running.len(),
            vetoes: self.vetoes.in_force().cloned().collect(),
            invariant_violations: violations,
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.revision)
    }

    /// Revision that each live host last reported to have in force.
    fn revisions(&self) -> BTreeMap<String, u64> {
        let mut revisions: BTreeMap<String, u64> =
            self.peers.members().into_iter().map(|member| (member.host, member.revision)).collect();
        revisions.insert(self.cfg.host.clone(), self.revision());
        revisions
    }

    fn reply_from_configuration(
        &mut self,
        command: CommandId,
        reply: impl FnOnce(&Configuration) -> Result<OperatorReply, Refusal>,
    ) {
        let reply = match &self.configuration {
            Some(configuration) => reply(configuration),
            None => Err(not_configured()),
        };
        self.reply(command, reply);
    }

    fn versions(&self) -> Result<OperatorReply, Refusal> {
        let configuration = self.configuration.as_ref().ok_or_else(not_configured)?;
        let status = |(version, record): (&ModelVersion, _)| {
            let vetoed_here = self.vetoes.contains(version);
            (version.clone(), VersionStatus { record: Clone::clone(record), vetoed_here })
        };
        Ok(OperatorReply::Versions {
            versions: configuration.versions.iter().map(status).collect(),
        })
    }

    fn handle_change_command(
        &mut self,
        command: CommandId,
        operator_command: OperatorCommand,
        now: Instant,
    ) {
        match self.plan_change(operator_command) {
            Ok((change, follow_up)) => {
                self.start_change(change, ChangeSource::Operator { command, follow_up }, now)
            }
            Err(refusal) => self.reply(command, Err(refusal)),
        }
    }

    fn plan_change(
        &self,
        operator_command: OperatorCommand,
    ) -> Result<(Command, FollowUp), Refusal> {
        let await_adoption = FollowUp::AwaitAdoption;
        match operator_command {
            OperatorCommand::PresetSwitch { operator, preset, why } => {
                Ok((Command::SwitchPreset { operator, preset, why }, await_adoption))
            }
            OperatorCommand::ConfigPropose { operator, why, configuration } => {
                Ok(self.plan_proposal(operator, why, *configuration))
            }
            OperatorCommand::ConfigApprove { operator, proposal } => {
                Ok((Command::Approve { operator, proposal }, FollowUp::Approval))
            }
            OperatorCommand::ConfigApply { operator, proposal } => {
                Ok((Command::Apply { operator, proposal }, await_adoption))
            }
            OperatorCommand::VersionRollout { operator, model_version, why } => {
                self.check_stage(
                    &model_version,
                    |stage| *stage == Stage::Registered,
                    "registered",
                )?;
                let stage = self.first_step()?;
                Ok((stage_command(operator, model_version, stage, why), await_adoption))
            }
            OperatorCommand::VersionWithdraw { operator, model_version, why } => {
                self.check_stage(&model_version, Stage::takes_new_work, "in roll-out or settled")?;
                Ok((
                    stage_command(operator, model_version, Stage::Withdrawing, why),
                    await_adoption,
                ))
            }
            OperatorCommand::VersionClear { operator, model_version, why } => {
                let follow_up = FollowUp::ClearVeto {
                    operator: operator.clone(),
                    model_version: model_version.clone(),
                };
                Ok((Command::ClearVeto { operator, model_version, why }, follow_up))
            }
            other => {
                let message = format!("{other:?} does not change the configuration");
                Err(Refusal::new(ErrorKind::Internal, &message))
            }
        }
    }

    /// Plans a proposal. The first configuration of a deployment needs no approval, because it replaces nothing.
    fn plan_proposal(
        &self,
        operator: OperatorId,
        why: String,
        configuration: Configuration,
    ) -> (Command, FollowUp) {
        match &self.configuration {
            Some(current) => {
                let diff = foxtailhoist_config::diff(current, &configuration);
                (Command::Propose { operator, why, configuration }, FollowUp::Proposal { diff })
            }
            None => (Command::Initialise { operator, why, configuration }, FollowUp::AwaitAdoption),
        }
    }

    /// Refuses a command that does not fit the version's stage.
    fn check_stage(
        &self,
        model_version: &ModelVersion,
        fits: impl Fn(&Stage) -> bool,
        expected: &str,
    ) -> Result<(), Refusal> {
        let configuration = self.configuration.as_ref().ok_or_else(not_configured)?;
        let unknown =
            || Refusal::new(ErrorKind::NotFound, &format!("there is no version {model_version}"));
        let record = configuration.versions.get(model_version).ok_or_else(unknown)?;
        if fits(&record.stage) {
            return Ok(());
        }
        let message = format!(
            "{model_version} is {:?}; this takes a version that is {expected}",
            record.stage
        );
        Err(Refusal::new(ErrorKind::Invalid, &message))
    }

    /// First roll-out step of the preset in force, without quotas; the controller allocates them.
    fn first_step(&self) -> Result<Stage, Refusal> {
        let configuration = self.configuration.as_ref().ok_or_else(not_configured)?;
        let step = configuration.preset_in_force().and_then(|preset| preset.rollout.steps.first());
        let none = || Refusal::new(ErrorKind::Invalid, "the preset in force has no roll-out steps");
        let share = step.ok_or_else(none)?.share;
        Ok(Stage::Canary { step: 0, share, quotas: BTreeMap::new() })
    }

    fn change_done(&mut self, id: u64, outcome: Result<Applied, ChangeRefusal>, now: Instant) {
        let Some(running) = self.commands.changes.remove(&id) else {
            return;
        };
        if let Ok(applied) = &outcome {
            self.enqueue(InternalEvent::Adopter(adopter::Event::PeerRevision(applied.revision)));
        }
        match running.source {
            ChangeSource::Controller { model_version } => {
                let accepted = outcome.is_ok();
                self.enqueue(InternalEvent::Rollout(rollout::Event::StageSet {
                    model_version,
                    accepted,
                }));
            }
            ChangeSource::Operator { command, follow_up } => match outcome {
                Ok(applied) => self.operator_change_applied(command, follow_up, applied, now),
                Err(refusal) => self.reply(command, Err(change_refusal(&refusal))),
            },
        }
    }

    fn operator_change_applied(
        &mut self,
        command: CommandId,
        follow_up: FollowUp,
        applied: Applied,
        now: Instant,
    ) {
        let proposal = applied.proposal.clone().unwrap_or_default();
        match follow_up {
            FollowUp::Proposal { diff } => {
                self.reply(command, Ok(OperatorReply::Proposed { proposal, diff }))
            }
            FollowUp::Approval => self.reply(command, Ok(OperatorReply::Approved { proposal })),
            FollowUp::AwaitAdoption => self.await_adoption(command, applied, now),
            FollowUp::ClearVeto { operator, model_version } => {
                let epoch = self.vetoes.epoch(&model_version) + 1;
                let model_version_cleared = model_version.clone();
                self.announce(Announcement::VetoCleared { model_version, epoch, operator });
                self.apply_veto_clearance(model_version_cleared, epoch);
                self.await_adoption(command, applied, now);
            }
        }
    }

    fn await_adoption(&mut self, command: CommandId, applied: Applied, now: Instant) {
        let adoption = Adoption { applied, until: now + ADOPTION_TIMEOUT };
        self.commands.adoptions.insert(command, adoption);
    }

    fn adoption_reply(&self, applied: &Applied) -> OperatorReply {
        let (confirmed, unconfirmed): (Vec<_>, Vec<_>) =
            self.revisions().into_iter().partition(|(_, revision)| *revision >= applied.revision);
        let names = |hosts: Vec<(String, u64)>| hosts.into_iter().map(|(host, _)| host).collect();
        let mut detail = Vec::new();
        if applied.answer_lost {
            detail.push(
                "the store's answer was lost; the change was found in force by reading back"
                    .to_owned(),
            );
        }
        OperatorReply::Applied {
            revision: applied.revision,
            change: applied.change.clone(),
            detail,
            confirmed: names(confirmed),
            unconfirmed: names(unconfirmed),
        }
    }
}

fn stage_command(
    actor: OperatorId,
    model_version: ModelVersion,
    stage: Stage,
    why: String,
) -> Command {
    Command::SetStage { actor, model_version, stage, vetoed: false, fencing: None, why }
}

fn presets(configuration: &Configuration) -> Result<OperatorReply, Refusal> {
    Ok(OperatorReply::Presets {
        in_force: configuration.preset.clone(),
        presets: configuration.presets.keys().cloned().collect(),
    })
}

fn show_preset(configuration: &Configuration, preset: &str) -> Result<OperatorReply, Refusal> {
    let unknown = || {
        Refusal::new(
            ErrorKind::NotFound,
            &format!("there is no preset '{preset}'; see `preset list`"),
        )
    };
    let preset = configuration.presets.get(preset).ok_or_else(unknown)?;
    let text = serde_json::to_string_pretty(preset)
        .map_err(|e| Refusal::new(ErrorKind::Internal, &e.to_string()))?;
    Ok(OperatorReply::Text { lines: text.lines().map(str::to_owned).collect() })
}

fn not_configured() -> Refusal {
    Refusal::new(
        ErrorKind::NotFound,
        "there is no configuration yet; send one with `config propose FILE`",
    )
}

fn change_refusal(refusal: &ChangeRefusal) -> Refusal {
    Refusal::new(refusal.kind(), &refusal.to_string())
}
