//! Leads roll-outs while this host holds the lease.
//!
//! The controller keeps nothing that a successor would miss: where each version stands is in the configuration, and
//! the time at a step counts from when a host first saw the step. With the store down the lease runs out and nothing
//! advances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Preset;
use foxtailhoist_model::RolloutStep;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StoreResult;
use foxtailhoist_model::VersionRecord;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::RolloutConfig;
use crate::controller::lease::HeldLease;
use crate::controller::lease::Lease;
use crate::controller::quota::Quotas;
use crate::event::CallId;
use crate::event::Effect;
use crate::judge::Judge;
use crate::judge::Verdict;
use crate::lifecycle::LifeCycle;
use crate::lifecycle::StageEffect;
use crate::lifecycle::StageEvent;
use crate::lifecycle::StageGuard;
use crate::lifecycle::StageName;
use crate::lifecycle::life_cycle;

pub mod lease;
pub mod quota;

/// Time after which a stage that was asked for and never answered is asked for again.
const STAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which versions in roll-out are looked at.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Leads the roll-outs of all versions.
#[derive(Debug)]
pub struct Controller {
    chart: LifeCycle,
    lease: Lease,
    rng: ChaCha8Rng,
    configuration: Option<Arc<Configuration>>,
    /// Entry hosts alive.
    hosts: Vec<EntryHostId>,
    host: EntryHostId,
    progress: BTreeMap<ModelVersion, Progress>,
    leading: bool,
    next_review: Option<Instant>,
    invariants: Invariants,
}

/// How long a version has stood where it stands, as this host saw it.
#[derive(Clone, Debug)]
struct Progress {
    place: Place,
    since: Instant,
    /// Ratings of the version when the step was first seen.
    rated_before: u64,
    /// No other stage is asked for before then.
    asked_until: Option<Instant>,
}

/// A stage without its quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    stage: StageName,
    step: usize,
}

/// A stage to be asked for.
struct Proposal {
    stage: Stage,
    vetoed: bool,
    reason: String,
}

impl Controller {
    #[must_use]
    pub fn new(cfg: RolloutConfig, seed: u64) -> Controller {
        Controller {
            chart: life_cycle().expect("a test reads the chart that is compiled in"),
            invariants: Invariants::new(cfg.enforcement),
            host: cfg.host.clone(),
            lease: Lease::new(cfg),
            rng: ChaCha8Rng::seed_from_u64(seed),
            configuration: None,
            hosts: Vec::new(),
            progress: BTreeMap::new(),
            leading: false,
            next_review: None,
        }
    }

    /// Takes over a configuration.
    pub fn configure(&mut self, configuration: Arc<Configuration>, judge: &Judge, now: Instant) {
        self.progress.retain(|name, _| configuration.versions.contains_key(name));
        for (name, record) in &configuration.versions {
            let place = Place::of(&record.stage);
            if self.progress.get(name).is_none_or(|progress| progress.place != place) {
                let rated_before = judge.rated(name);
                let progress = Progress { place, since: now, rated_before, asked_until: None };
                self.progress.insert(name.clone(), progress);
            }
        }
        self.configuration = Some(configuration);
        self.next_review = Some(now);
    }

    /// Takes the entry hosts alive, this one included.
    pub fn set_hosts(&mut self, mut hosts: Vec<EntryHostId>) {
        hosts.sort();
        hosts.dedup();
        self.lease
            .set_rank(hosts.iter().position(|host| *host == self.host).unwrap_or(hosts.len()));
        self.hosts = hosts;
    }

    pub fn store_result(&mut self, call: CallId, result: StoreResult, now: Instant) {
        self.lease.store_result(call, result, now);
    }

    /// Learns what became of a stage that was asked for.
    pub fn stage_set(&mut self, name: &ModelVersion, accepted: bool, now: Instant) {
        if let Some(progress) = self.progress.get_mut(name) {
            // An accepted stage shows in a configuration soon; a refused one is tried again later, from what is then
            // in force.
            let wait = if accepted { STAGE_TIMEOUT } else { REVIEW_INTERVAL };
            progress.asked_until = Some(now + wait);
        }
    }

    /// Gives the lease back.
    pub fn stop(&mut self, now: Instant) {
        self.lease.stop();
        self.next_review = Some(now);
    }

    /// Does what is due: calls on the lease, and stages while it is held.
    pub fn advance(&mut self, judge: &Judge, now: Instant) -> Vec<Effect> {
        let mut effects: Vec<Effect> = self.lease.advance(now, &mut self.rng).into_iter().collect();
        let held = self.lease.held(now);
        if self.leading != held.is_some() {
            self.leading = held.is_some();
            effects.push(Effect::Leading(self.leading));
        }
        let Some(held) = held else {
            self.next_review = None;
            return effects;
        };
        self.next_review = Some(now + REVIEW_INTERVAL);
        if let Some(configuration) = self.configuration.clone() {
            for (name, record) in &configuration.versions {
                effects.extend(self.review(name, record, judge, held, now));
            }
        }
        effects
    }

    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        [self.lease.next_wake(), self.next_review].into_iter().flatten().min()
    }

    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    fn review(
        &mut self,
        name: &ModelVersion,
        record: &VersionRecord,
        judge: &Judge,
        held: HeldLease,
        now: Instant,
    ) -> Option<Effect> {
        let progress = self.progress.get(name)?;
        if progress.asked_until.is_some_and(|until| now < until) {
            return None;
        }
        let event = self.event(name, record, progress, judge, now)?;
        let proposal = self.propose(name, record, event, judge)?;
        self.check(name, &proposal, held, now);
        let progress = self.progress.get_mut(name)?;
        progress.asked_until = Some(now + STAGE_TIMEOUT);
        Some(Effect::SetStage {
            model_version: name.clone(),
            stage: proposal.stage,
            vetoed: proposal.vetoed,
            fencing: held.fencing,
            reason: proposal.reason,
        })
    }

    /// What has happened to a version, of the events that the controller causes.
    fn event(
        &self,
        name: &ModelVersion,
        record: &VersionRecord,
        progress: &Progress,
        judge: &Judge,
        now: Instant,
    ) -> Option<StageEvent> {
        let stayed = now.saturating_duration_since(progress.since);
        match &record.stage {
            Stage::Canary { .. } | Stage::Settled if judge.is_vetoed(name) => {
                Some(StageEvent::Vetoed)
            }
            Stage::Canary { quotas, .. } if quotas.is_empty() => {
                (!self.hosts.is_empty()).then_some(StageEvent::QuotasMissing)
            }
            Stage::Canary { step, .. } => {
                let policy = self.step(*step)?;
                let rated = judge.rated(name).saturating_sub(progress.rated_before);
                let passed = stayed >= Duration::from_secs(policy.hold_seconds)
                    && rated >= u64::from(policy.rated_answers)
                    && judge.verdict(name) == Verdict::NotWorse;
                passed.then_some(StageEvent::StepPassed)
            }
            Stage::Withdrawing => (stayed >= self.drain_time()).then_some(StageEvent::Drained),
            Stage::Registered | Stage::Settled | Stage::Withdrawn => None,
        }
    }

    fn propose(
        &self,
        name: &ModelVersion,
        record: &VersionRecord,
        event: StageEvent,
        judge: &Judge,
    ) -> Option<Proposal> {
        let (step, previous) = match &record.stage {
            Stage::Canary { step, quotas, .. } => (*step, quotas.clone()),
            _ => (0, Quotas::new()),
        };
        let is_last = |StageGuard::LastStep| step + 1 >= self.steps().len();
        let transition = self.chart.step(StageName::of(&record.stage), event, is_last)?;
        let vetoed = record.vetoed || judge.is_vetoed(name);
        let (stage, reason) = match transition.effects.first()? {
            StageEffect::AllocateQuotas => {
                (self.canary(name, step, &previous)?, "quotas allocated")
            }
            StageEffect::NextStep => (self.canary(name, step + 1, &previous)?, "step passed"),
            StageEffect::Settle => (Stage::Settled, "last step passed"),
            StageEffect::Withdraw => (Stage::Withdrawing, "vetoed"),
            StageEffect::End => (Stage::Withdrawn, "running requests have ended"),
        };
        Some(Proposal { stage, vetoed, reason: reason.to_owned() })
    }

    fn canary(&self, name: &ModelVersion, step: usize, previous: &Quotas) -> Option<Stage> {
        let policy = self.step(step)?;
        let quotas = quota::allocate(name, policy.callers, &self.hosts, previous);
        Some(Stage::Canary { step, share: policy.share, quotas })
    }

    /// A step's policy. A step beyond a preset that has fewer is judged by the last.
    fn step(&self, step: usize) -> Option<&RolloutStep> {
        let steps = self.steps();
        steps.get(step).or(steps.last())
    }

    fn steps(&self) -> &[RolloutStep] {
        self.preset().map_or(&[], |preset| &preset.rollout.steps)
    }

    /// Twice the default deadline: requests that were running have ended by then.
    fn drain_time(&self) -> Duration {
        self.preset().map(|preset| preset.limits.default_deadline() * 2).unwrap_or_default()
    }

    fn preset(&self) -> Option<&Preset> {
        self.configuration.as_ref()?.preset_in_force()
    }

    fn check(&mut self, name: &ModelVersion, proposal: &Proposal, held: HeldLease, now: Instant) {
        self.invariants.check(Invariant::FencedActsOnly, now < held.act_until, || {
            format!("stage of {name} asked for after the lease's margin")
        });
        if let Stage::Canary { step, quotas, .. } = &proposal.stage {
            let bound = self.step(*step).map_or(0, |policy| u64::from(policy.callers));
            let total = quota::total(quotas);
            self.invariants.check(Invariant::ExposedCallersBound, total <= bound, || {
                format!("quotas of {name} sum to {total}, the bound is {bound}")
            });
        }
    }
}

impl Place {
    fn of(stage: &Stage) -> Place {
        let step = match stage {
            Stage::Canary { step, .. } => *step,
            Stage::Registered | Stage::Settled | Stage::Withdrawing | Stage::Withdrawn => 0,
        };
        Place { stage: StageName::of(stage), step }
    }
}
