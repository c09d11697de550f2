//! A driver that runs commands step by step against a store with injected faults, and test configurations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_config::ACTIVE_KEY;
use foxtailhoist_config::Active;
use foxtailhoist_config::Applied;
use foxtailhoist_config::Change;
use foxtailhoist_config::ChangeConfig;
use foxtailhoist_config::ChangeRefusal;
use foxtailhoist_config::Command;
use foxtailhoist_config::change::Effect;
use foxtailhoist_config::change::Event;
use foxtailhoist_config::decode;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::Limits;
use foxtailhoist_model::Model;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Preset;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_model::Revision;
use foxtailhoist_model::RolloutPolicy;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_model::Workspace;
use foxtailhoist_objects::MemoryStore;

/// Fault injected into one store call.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The call takes effect but its answer is lost.
    AnswerLost,
    /// The call does not take effect and gets no answer.
    Dropped,
    Unavailable,
}

pub type Outcome = Result<Applied, ChangeRefusal>;

/// A command that runs in steps, so that tests can interleave several commands.
#[allow(dead_code)]
pub struct RunningCommand {
    pub change: Change,
    pub now: Instant,
    pub call: Option<(u64, StoreOp)>,
    pub outcome: Option<Outcome>,
}

#[allow(dead_code)]
impl RunningCommand {
    pub fn start(command: Command, known: Revision, seed: u64) -> RunningCommand {
        let now = Instant::now();
        let cfg = ChangeConfig { known, enforcement: Enforcement::Panic };
        let change = Change::new(command, cfg, SystemTime::UNIX_EPOCH, seed, now);
        let mut running = RunningCommand { change, now, call: None, outcome: None };
        running.tick();
        running
    }

    /// Advances time to the next wake time and sends a tick.
    pub fn tick(&mut self) {
        if let Some(wake) = self.change.next_wake() {
            self.now = self.now.max(wake);
        }
        let effects = self.change.handle(Event::Tick, self.now);
        self.apply_effects(effects);
    }

    pub fn complete_call(&mut self, result: StoreResult) {
        let (call, _) = self.call.take().expect("a call is in flight");
        self.now += Duration::from_millis(2);
        let effects = self.change.handle(Event::Store { call, result }, self.now);
        self.apply_effects(effects);
    }

    /// Performs the call in flight, or advances to the next one.
    pub fn step(&mut self, store: &mut MemoryStore, fault: Fault) {
        let Some((_, op)) = &self.call else {
            self.tick();
            return;
        };
        let result = match fault {
            Fault::None => store.apply(op),
            Fault::AnswerLost => {
                let _ = store.apply(op);
                Err(StoreError::Unknown)
            }
            Fault::Dropped => Err(StoreError::Unknown),
            Fault::Unavailable => Err(StoreError::Unavailable),
        };
        self.complete_call(result);
    }

    pub fn finish(&mut self, store: &mut MemoryStore) -> Outcome {
        self.finish_with(store, |_, _| Fault::None)
    }

    /// Runs the command to its end; `fault` gets each call and its number and returns the fault to inject.
    pub fn finish_with(
        &mut self,
        store: &mut MemoryStore,
        mut fault: impl FnMut(&StoreOp, u32) -> Fault,
    ) -> Outcome {
        let mut calls = 0;
        while self.outcome.is_none() {
            let next = self.call.as_ref().map_or(Fault::None, |(_, op)| fault(op, calls));
            calls += u32::from(self.call.is_some());
            self.step(store, next);
        }
        self.outcome.clone().expect("the loop ended")
    }

    /// Runs until the next call is the write of `config/active`.
    pub fn run_to_active_write(&mut self, store: &mut MemoryStore) {
        while !self.call.as_ref().is_some_and(|(_, op)| writes(op, ACTIVE_KEY)) {
            assert!(self.outcome.is_none(), "ended early: {:?}", self.outcome);
            self.step(store, Fault::None);
        }
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store { call, op } => self.call = Some((call, op)),
                Effect::Done(outcome) => self.outcome = Some(*outcome),
            }
        }
    }
}

#[allow(dead_code)]
pub fn writes(op: &StoreOp, prefix: &str) -> bool {
    matches!(op, StoreOp::Put { key, .. } if key.starts_with(prefix))
}

#[allow(dead_code)]
pub fn run(store: &mut MemoryStore, command: Command, seed: u64) -> Outcome {
    RunningCommand::start(command, 0, seed).finish(store)
}

#[allow(dead_code)]
pub fn active(store: &MemoryStore) -> Active {
    let object = store.object(ACTIVE_KEY).expect("a configuration is in force");
    decode(&object.value).expect("the object is valid")
}

pub fn configuration() -> Configuration {
    let preset = Preset {
        allowed: BTreeMap::from([("bakery".to_owned(), BTreeSet::from(["levain".to_owned()]))]),
        cheaper_for: BTreeSet::new(),
        quality: QualityTarget::AtLeast(0.9),
        rollout: RolloutPolicy { steps: Vec::new() },
        limits: Limits::default(),
    };
    let workspace = Workspace {
        api_key_digests: BTreeSet::new(),
        weight: 1.0,
        priority: foxtailhoist_model::Priority::Normal,
        when_stale: foxtailhoist_model::StalePolicy::Settled,
    };
    Configuration {
        revision: 0,
        preset: "ordinary".to_owned(),
        presets: BTreeMap::from([
            ("ordinary".to_owned(), preset.clone()),
            ("peak".to_owned(), preset),
        ]),
        workspaces: BTreeMap::from([("bakery".to_owned(), workspace)]),
        models: BTreeMap::from([("levain".to_owned(), Model { price_in: 1.0, price_out: 2.0 })]),
        versions: BTreeMap::from([
            (ModelVersion::new("levain", "1"), record(Stage::Settled)),
            (ModelVersion::new("levain", "2"), record(Stage::Registered)),
        ]),
        services: BTreeMap::new(),
    }
}

pub fn record(stage: Stage) -> VersionRecord {
    VersionRecord { stage, vetoed: false }
}

#[allow(dead_code)]
pub fn initialised() -> MemoryStore {
    let mut store = MemoryStore::default();
    let command = Command::Initialise {
        operator: "anna".to_owned(),
        why: "first".to_owned(),
        configuration: configuration(),
    };
    run(&mut store, command, 1).expect("the store is empty");
    store
}

/// The test configuration with another queue limit in the preset `peak`.
#[allow(dead_code)]
pub fn with_peak_queue_limit(queue: usize) -> Configuration {
    let mut configuration = configuration();
    configuration.presets.get_mut("peak").expect("defined").limits.queue = queue;
    configuration
}

#[allow(dead_code)]
pub fn propose(store: &mut MemoryStore, configuration: Configuration, seed: u64) -> String {
    let command = Command::Propose {
        operator: "anna".to_owned(),
        why: "more queue".to_owned(),
        configuration,
    };
    run(store, command, seed).expect("the proposal is valid").proposal.expect("it has an id")
}

#[allow(dead_code)]
pub fn approved_proposal(
    store: &mut MemoryStore,
    configuration: Configuration,
    seed: u64,
) -> String {
    let proposal = propose(store, configuration, seed);
    let command = Command::Approve { operator: "bo".to_owned(), proposal: proposal.clone() };
    run(store, command, seed + 1).expect("bo may approve");
    proposal
}

#[allow(dead_code)]
pub fn apply(proposal: &str) -> Command {
    Command::Apply { operator: "anna".to_owned(), proposal: proposal.to_owned() }
}

#[allow(dead_code)]
pub fn switch(operator: &str, preset: &str) -> Command {
    Command::SwitchPreset {
        operator: operator.to_owned(),
        preset: preset.to_owned(),
        why: "the evening peak".to_owned(),
    }
}

#[allow(dead_code)]
pub fn set_stage(version: &str, stage: Stage, fencing: u64) -> Command {
    Command::SetStage {
        actor: "entry-1".to_owned(),
        model_version: ModelVersion::new("levain", version),
        stage,
        vetoed: false,
        fencing: Some(fencing),
        why: "next step".to_owned(),
    }
}
