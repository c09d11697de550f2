//! Hosts that share a store and a configuration, in virtual time.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::FencingNumber;
use foxtailhoist_model::Limits;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Preset;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_model::RolloutPolicy;
use foxtailhoist_model::RolloutStep;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::Tally;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_objects::MemoryStore;
use foxtailhoist_rollout::Rollout;
use foxtailhoist_rollout::RolloutConfig;
use foxtailhoist_rollout::event::Effect;
use foxtailhoist_rollout::event::Event;

pub fn settled() -> ModelVersion {
    ModelVersion::new("levain", "1")
}

pub fn canary() -> ModelVersion {
    ModelVersion::new("levain", "2")
}

pub fn step_zero() -> Stage {
    Stage::Canary { step: 0, share: 0.05, quotas: BTreeMap::new() }
}

/// One settled version and a second one at the given stage; roll-out steps of 10 and 60 callers.
pub fn configuration(stage: Stage) -> Configuration {
    let step = |share, callers| RolloutStep { share, callers, hold_seconds: 60, rated_answers: 30 };
    let preset = Preset {
        allowed: BTreeMap::new(),
        cheaper_for: BTreeSet::new(),
        quality: QualityTarget::BelowBest(0.01),
        rollout: RolloutPolicy { steps: vec![step(0.05, 10), step(0.3, 60)] },
        limits: Limits::default(),
    };
    let record = |stage| VersionRecord { stage, vetoed: false };
    Configuration {
        revision: 1,
        preset: "ordinary".to_owned(),
        presets: BTreeMap::from([("ordinary".to_owned(), preset)]),
        workspaces: BTreeMap::new(),
        models: BTreeMap::new(),
        versions: BTreeMap::from([(settled(), record(Stage::Settled)), (canary(), record(stage))]),
        services: BTreeMap::new(),
    }
}

pub fn host(name: &str) -> Rollout {
    let cfg = RolloutConfig::new(name.to_owned()).with_enforcement(Enforcement::Panic);
    Rollout::new(cfg, name.bytes().map(u64::from).sum())
}

pub fn rated(good: u64, bad: u64) -> Tally {
    Tally { rated: good + bad, unacceptable: bad, ..Tally::default() }
}

pub fn vetoes(effects: &[Effect]) -> Vec<ModelVersion> {
    let veto = |effect: &Effect| match effect {
        Effect::Veto { model_version, .. } => Some(model_version.clone()),
        _ => None,
    };
    effects.iter().filter_map(veto).collect()
}

/// Stage that a host requested.
#[derive(Clone, Debug)]
pub struct StageRequest {
    pub host: EntryHostId,
    pub model_version: ModelVersion,
    pub stage: Stage,
    pub vetoed: bool,
    pub fencing: FencingNumber,
}

/// Hosts, their store and the configuration that it holds.
pub struct Fleet {
    pub now: Instant,
    pub store: MemoryStore,
    pub store_up: bool,
    pub hosts: BTreeMap<EntryHostId, Rollout>,
    /// Hosts whose process is paused.
    pub paused: BTreeSet<EntryHostId>,
    pub configuration: Configuration,
    pub requests: Vec<StageRequest>,
    /// Requests with a lower fencing number are refused, as by the configuration crate.
    pub highest_fencing: FencingNumber,
    pub leaders: BTreeSet<EntryHostId>,
    pub vetoes: Vec<ModelVersion>,
}

impl Fleet {
    pub fn new(names: &[&str], stage: Stage) -> Fleet {
        let mut fleet = Fleet {
            now: Instant::now(),
            store: MemoryStore::default(),
            store_up: true,
            hosts: names.iter().map(|name| ((*name).to_owned(), host(name))).collect(),
            paused: BTreeSet::new(),
            configuration: configuration(stage),
            requests: Vec::new(),
            highest_fencing: 0,
            leaders: BTreeSet::new(),
            vetoes: Vec::new(),
        };
        fleet.announce_hosts();
        fleet.announce_configuration();
        fleet
    }

    pub fn announce_hosts(&mut self) {
        let names: Vec<EntryHostId> = self.hosts.keys().cloned().collect();
        self.broadcast(&Event::Hosts(names));
    }

    pub fn announce_configuration(&mut self) {
        self.broadcast(&Event::Configured(Arc::new(self.configuration.clone())));
    }

    pub fn broadcast(&mut self, event: &Event) {
        let names: Vec<EntryHostId> = self.hosts.keys().cloned().collect();
        for name in names {
            self.send(&name, event.clone());
        }
    }

    pub fn send(&mut self, name: &str, event: Event) {
        if self.paused.contains(name) {
            return;
        }
        let Some(rollout) = self.hosts.get_mut(name) else {
            return;
        };
        let effects = rollout.handle(event, self.now);
        for effect in effects {
            self.perform(name, effect);
        }
    }

    /// Sends every host the same cumulative ratings as the sum of its peers.
    pub fn rate(&mut self, model_version: &ModelVersion, good: u64, bad: u64) {
        let tallies = BTreeMap::from([(model_version.clone(), rated(good, bad))]);
        self.broadcast(&Event::PeerTallies(tallies));
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(250);
            let names: Vec<EntryHostId> = self.hosts.keys().cloned().collect();
            for name in names {
                let due = self.hosts[&name].next_wake().is_some_and(|at| at <= self.now);
                if due {
                    self.send(&name, Event::Tick);
                }
            }
        }
    }

    pub fn stage(&self, model_version: &ModelVersion) -> &Stage {
        &self.configuration.versions[model_version].stage
    }

    fn perform(&mut self, name: &str, effect: Effect) {
        match effect {
            Effect::Store { call, op } => {
                let result = if self.store_up {
                    self.store.apply(&op)
                } else {
                    Err(StoreError::Unavailable)
                };
                self.send(name, Event::Store { call, result });
            }
            Effect::SetStage { model_version, stage, vetoed, fencing, .. } => {
                let host = name.to_owned();
                self.set_stage(StageRequest { host, model_version, stage, vetoed, fencing });
            }
            Effect::Leading(true) => {
                self.leaders.insert(name.to_owned());
            }
            Effect::Leading(false) => {
                self.leaders.remove(name);
            }
            Effect::Veto { model_version, .. } => self.vetoes.push(model_version),
        }
    }

    pub fn set_stage(&mut self, request: StageRequest) -> bool {
        self.requests.push(request.clone());
        let accepted = self.store_up && request.fencing >= self.highest_fencing;
        if accepted {
            self.highest_fencing = request.fencing;
            let record = VersionRecord { stage: request.stage, vetoed: request.vetoed };
            self.configuration.versions.insert(request.model_version.clone(), record);
            self.configuration.revision += 1;
        }
        let event = Event::StageSet { model_version: request.model_version, accepted };
        self.send(&request.host, event);
        if accepted {
            self.announce_configuration();
        }
        accepted
    }
}
