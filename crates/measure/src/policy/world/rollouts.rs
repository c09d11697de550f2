//! Roll-out controllers on every host, with the tallies that they exchange.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Stage;
use foxtailhoist_model::Tally;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_model::stable_hash;
use foxtailhoist_rollout::Rollout;
use foxtailhoist_rollout::RolloutConfig;
use foxtailhoist_rollout::event::Effect;
use foxtailhoist_rollout::event::Event;
use foxtailhoist_route::event::Event as RouteEvent;
use foxtailhoist_route::event::Evidence;
use foxtailhoist_route::event::EvidenceKind;

use super::SimEvent;
use super::World;
use super::feeds::GOSSIP_DELAY;
use crate::policy::clock::Time;
use crate::policy::site::NEXT_VERSION;
use crate::policy::site::Site;

/// Interval at which hosts exchange tallies.
const TALLY_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of a call on the object API.
const STORE_DELAY: Duration = Duration::from_millis(5);
/// Time until a new configuration is in force on all hosts.
const CONFIGURATION_DELAY: Duration = Duration::from_secs(1);
/// Multiple of the average latency above which an answer counts as slow.
const SLOW_FACTOR: f64 = 3.0;
/// Weight of a new sample in the moving average of latency.
const LATENCY_WEIGHT: f64 = 0.02;

/// Roll-out controllers of all hosts and their evidence.
#[derive(Debug)]
pub(super) struct RolloutControllers {
    controllers: Vec<Rollout>,
    wakes: Vec<Option<Time>>,
    own_tallies: Vec<BTreeMap<ModelVersion, Tally>>,
    /// Moving average of the latency of each model's first version, by host.
    average_latency: Vec<BTreeMap<String, AnswerLatency>>,
}

#[derive(Clone, Copy, Debug)]
struct AnswerLatency {
    first_byte_s: f64,
    per_token_s: f64,
}

impl RolloutControllers {
    pub(super) fn new(site: &Site, seed: u64) -> RolloutControllers {
        let controllers = site.hosts.iter().map(|host| {
            let cfg = RolloutConfig::new(host.id.clone()).with_enforcement(Enforcement::Panic);
            Rollout::new(cfg, stable_hash(seed, &[host.id.as_bytes()]))
        });
        RolloutControllers {
            controllers: controllers.collect(),
            wakes: vec![None; site.hosts.len()],
            own_tallies: vec![BTreeMap::new(); site.hosts.len()],
            average_latency: vec![BTreeMap::new(); site.hosts.len()],
        }
    }
}

impl World {
    pub(super) fn start_rollouts(&mut self, configuration: &Arc<Configuration>) {
        let names: Vec<String> = self.spec.site.hosts.iter().map(|host| host.id.clone()).collect();
        for host in 0..self.hosts.len() {
            self.handle_rollout(host, Event::Hosts(names.clone()));
            self.handle_rollout(host, Event::Configured(configuration.clone()));
        }
        self.queue.push_after(TALLY_INTERVAL, SimEvent::ExchangeTallies);
    }

    pub(super) fn record_evidence(&mut self, host: usize, evidence: &Evidence) {
        let model_version = &evidence.model_version;
        let slow = match evidence.kind {
            EvidenceKind::Latency { first_byte, per_token } => {
                self.is_slow(host, model_version, first_byte, per_token)
            }
            EvidenceKind::Rated { .. } | EvidenceKind::Ended { .. } => false,
        };
        let tally = self.rollouts.own_tallies[host].entry(model_version.clone()).or_default();
        match evidence.kind {
            EvidenceKind::Rated { acceptable } => {
                tally.rated += 1;
                tally.unacceptable += u64::from(!acceptable);
            }
            EvidenceKind::Ended { failed } => {
                tally.ended += 1;
                tally.failed += u64::from(failed);
            }
            EvidenceKind::Latency { .. } => {
                tally.timed += 1;
                tally.slow += u64::from(slow);
            }
        }
        let event = Event::OwnTally { model_version: model_version.clone(), tally: *tally };
        let event = Box::new(event);
        self.queue.push_after(Duration::ZERO, SimEvent::Rollout { host, event });
    }

    fn is_slow(
        &mut self,
        host: usize,
        model_version: &ModelVersion,
        first_byte: Duration,
        per_token: Duration,
    ) -> bool {
        let sample = AnswerLatency {
            first_byte_s: first_byte.as_secs_f64(),
            per_token_s: per_token.as_secs_f64(),
        };
        let average = self.rollouts.average_latency[host]
            .entry(model_version.model.clone())
            .or_insert(sample);
        let slow = sample.first_byte_s > SLOW_FACTOR * average.first_byte_s
            || sample.per_token_s > SLOW_FACTOR * average.per_token_s;
        if model_version.version != NEXT_VERSION {
            average.first_byte_s += LATENCY_WEIGHT * (sample.first_byte_s - average.first_byte_s);
            average.per_token_s += LATENCY_WEIGHT * (sample.per_token_s - average.per_token_s);
        }
        slow
    }

    pub(super) fn exchange_tallies(&mut self) {
        self.queue.push_after(TALLY_INTERVAL, SimEvent::ExchangeTallies);
        for host in 0..self.hosts.len() {
            let mut sum: BTreeMap<ModelVersion, Tally> = BTreeMap::new();
            for other in (0..self.hosts.len()).filter(|other| *other != host) {
                let from = self.spec.site.hosts[other].data_centre;
                if self.is_disconnected(from, host) {
                    continue;
                }
                for (model_version, tally) in &self.rollouts.own_tallies[other] {
                    let total = sum.entry(model_version.clone()).or_default();
                    *total = total.plus(*tally);
                }
            }
            let event = Box::new(Event::PeerTallies(sum));
            self.queue.push_after(GOSSIP_DELAY, SimEvent::Rollout { host, event });
        }
    }

    pub(super) fn handle_rollout(&mut self, host: usize, event: Event) {
        let now = self.queue.instant();
        let effects = self.rollouts.controllers[host].handle(event, now);
        for effect in effects {
            self.perform_effect(host, effect);
        }
        self.schedule_rollout_wake(host);
    }

    fn schedule_rollout_wake(&mut self, host: usize) {
        let Some(due) = self.rollouts.controllers[host].next_wake() else {
            return;
        };
        let due = self.queue.to_time(due).max(self.queue.now());
        if self.rollouts.wakes[host].is_none_or(|wake| due < wake) {
            self.rollouts.wakes[host] = Some(due);
            self.queue.push(due, SimEvent::RolloutWake(host));
        }
    }

    pub(super) fn rollout_wakes(&mut self, host: usize) {
        let now = self.queue.now();
        if self.rollouts.wakes[host].is_some_and(|wake| wake <= now) {
            self.rollouts.wakes[host] = None;
            self.handle_rollout(host, Event::Tick);
        }
    }

    fn perform_effect(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Veto { model_version, epoch, .. } => self.veto(host, model_version, epoch),
            Effect::Store { call, op } => {
                let result = self.store.apply(&op);
                let event = Box::new(Event::Store { call, result });
                self.queue.push_after(STORE_DELAY, SimEvent::Rollout { host, event });
            }
            Effect::SetStage { model_version, stage, vetoed, .. } => {
                let record = VersionRecord { stage, vetoed };
                self.configuration.versions.insert(model_version.clone(), record);
                self.configuration.revision += 1;
                let event = Box::new(Event::StageSet { model_version, accepted: true });
                self.queue.push_after(STORE_DELAY, SimEvent::Rollout { host, event });
                self.queue.push_after(CONFIGURATION_DELAY, SimEvent::Configure);
            }
            Effect::Leading(_) => {}
        }
    }

    fn veto(&mut self, host: usize, model_version: ModelVersion, epoch: u64) {
        self.record_veto(&model_version);
        self.gossip(host, &RouteEvent::Vetoed(model_version.clone()));
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            let event = Box::new(Event::Vetoed { model_version: model_version.clone(), epoch });
            self.queue.push_after(GOSSIP_DELAY, SimEvent::Rollout { host: other, event });
        }
        self.handle_event(host, RouteEvent::Vetoed(model_version));
    }

    fn record_veto(&mut self, model_version: &ModelVersion) {
        let now = self.queue.now();
        let model = self.spec.site.model_index(&model_version.model).unwrap_or_default();
        let is_faulty =
            self.spec.fault.defect(model, model_version.version == NEXT_VERSION, now).is_some();
        if !is_faulty {
            self.versions.false_vetoes += 1;
            return;
        }
        if self.versions.vetoed_at.is_none() {
            self.versions.vetoed_at = Some(now);
            self.versions.rated_before = self.faulty.rated;
            self.versions.failed_before = self.faulty.failed;
        }
    }

    pub(super) fn announce_configuration(&mut self) {
        let configuration = Arc::new(self.configuration.clone());
        for host in 0..self.hosts.len() {
            self.handle_event(host, RouteEvent::Configured(configuration.clone()));
            self.handle_rollout(host, Event::Configured(configuration.clone()));
        }
    }

    pub(super) fn rolled_out_is_settled(&self) -> bool {
        let Some(model) = self.spec.fault.rolled_out() else {
            return false;
        };
        let model_version = self.spec.site.version(model, NEXT_VERSION);
        let record = self.configuration.versions.get(&model_version);
        record.is_some_and(|record| record.stage == Stage::Settled)
    }
}
