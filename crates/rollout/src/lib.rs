//! Evaluates model versions and controls their roll-outs.
//!
//! Every entry host evaluates versions; one of them, which holds a lease in the object API, writes the outcome to the
//! configuration. Both parts are plain state machines: they take [`event::Event`]s and the current time and return
//! [`event::Effect`]s. [`Rollout`] combines them. The [`judge`] needs no store, so vetoes work while the store is down;
//! the [`controller`] acts only while its lease is valid by its own clock. The transitions that the controller makes
//! in each stage are read from `charts/version.yaml`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::ModelVersion;

use crate::controller::Controller;
use crate::event::Effect;
use crate::event::Event;
use crate::judge::Judge;

pub mod controller;
pub mod event;
pub mod judge;
pub mod lifecycle;
pub mod shift;

/// Settings of one entry host's judge and controller.
#[derive(Clone, Debug)]
pub struct RolloutConfig {
    /// This entry host.
    pub host: EntryHostId,
    pub enforcement: Enforcement,
    /// Validity of a lease after its last renewal.
    pub lease_duration: Duration,
    /// Time before the lease expires during which its holder no longer acts.
    pub lease_margin: Duration,
    /// Interval between renewals, and shortest interval at which other hosts poll the lease.
    pub renew_interval: Duration,
}

/// Judge and controller of one entry host.
#[derive(Debug)]
pub struct Rollout {
    judge: Judge,
    controller: Controller,
}

impl RolloutConfig {
    /// Default settings for an entry host.
    #[must_use]
    pub fn new(host: EntryHostId) -> RolloutConfig {
        RolloutConfig {
            host,
            enforcement: Enforcement::default(),
            lease_duration: Duration::from_secs(10),
            lease_margin: Duration::from_secs(3),
            renew_interval: Duration::from_secs(2),
        }
    }

    #[must_use]
    pub fn with_enforcement(self, enforcement: Enforcement) -> RolloutConfig {
        RolloutConfig { enforcement, ..self }
    }
}

impl Rollout {
    /// A judge and controller without a configuration. `seed` determines the lease's nonces.
    #[must_use]
    pub fn new(cfg: RolloutConfig, seed: u64) -> Rollout {
        Rollout { judge: Judge::default(), controller: Controller::new(cfg, seed) }
    }

    /// Handles one event and returns the resulting effects in order.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Configured(configuration) => {
                self.judge.configure(&configuration);
                self.controller.configure(configuration, &self.judge, now);
            }
            Event::OwnTally { model_version, tally } => {
                effects.extend(self.judge.observe_own(&model_version, tally));
            }
            Event::PeerTallies(tallies) => effects.extend(self.judge.observe_peers(&tallies)),
            Event::Hosts(hosts) => self.controller.set_hosts(hosts),
            Event::Vetoed { model_version, epoch } => self.judge.record_veto(&model_version, epoch),
            Event::VetoCleared { model_version, epoch } => {
                self.judge.clear_veto(&model_version, epoch);
            }
            Event::Store { call, result } => self.controller.store_result(call, result, now),
            Event::StageSet { model_version, accepted } => {
                self.controller.stage_set(&model_version, accepted, now);
            }
            Event::Stop => self.controller.stop(now),
            Event::Tick => {}
        }
        effects.extend(self.controller.advance(&self.judge, now));
        effects
    }

    /// When [`Event::Tick`] is due, if nothing else happens before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.controller.next_wake()
    }

    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        self.controller.invariants()
    }

    /// Versions vetoed by evidence or by the configuration.
    #[must_use]
    pub fn vetoed(&self) -> BTreeSet<ModelVersion> {
        self.judge.vetoed()
    }

    /// The judge's verdict on each version in use.
    #[must_use]
    pub fn verdicts(&self) -> BTreeMap<ModelVersion, judge::Verdict> {
        self.judge.verdicts()
    }
}
