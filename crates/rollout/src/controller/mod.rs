//! Controls roll-outs while this host holds the lease.
//!
//! The controller keeps no state that a successor would need: the stage of each version is in the configuration, and
//! the time at a step counts from when a host first saw the step. While the store is down the lease expires and no
//! roll-out advances.

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
use crate::lifecycle::LifecycleChart;
use crate::lifecycle::StageEffect;
use crate::lifecycle::StageEvent;
use crate::lifecycle::StageGuard;
use crate::lifecycle::StageName;
use crate::lifecycle::lifecycle_chart;

pub mod lease;
pub mod quota;

/// Time after which a stage request without a result is retried.
const STAGE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the lease holder checks all versions for due transitions.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Requests the stage changes of all versions while this host holds the lease.
#[derive(Debug)]
pub struct Controller {
    chart: LifecycleChart,
    lease: Lease,
    rng: ChaCha8Rng,
    configuration: Option<Arc<Configuration>>,
    /// Live entry hosts.
    hosts: Vec<EntryHostId>,
    host: EntryHostId,
    progress: BTreeMap<ModelVersion, Progress>,
    leading: bool,
    next_review: Option<Instant>,
    invariants: Invariants,
}

/// Current stage and step of a version, and when this host first saw them.
#[derive(Clone, Debug)]
struct Progress {
    position: Position,
    since: Instant,
    /// Ratings of the version when the step was first seen.
    rated_before: u64,
    /// No further stage is requested before this time.
    retry_at: Option<Instant>,
}

/// Stage and step without share and quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Position {
    stage: StageName,
    step: usize,
}

/// Stage that the controller requests for a version.
struct StageChange {
    stage: Stage,
    vetoed: bool,
    reason: String,
}

impl Controller {
    #[must_use]
    pub fn new(cfg: RolloutConfig, seed: u64) -> Controller {
        Controller {
            chart: lifecycle_chart().expect("the compiled-in chart is valid; a test parses it"),
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

    /// Applies a configuration.
    pub fn configure(&mut self, configuration: Arc<Configuration>, judge: &Judge, now: Instant) {
        self.progress.retain(|name, _| configuration.versions.contains_key(name));
        for (name, record) in &configuration.versions {
            let position = Position::of(&record.stage);
            if self.progress.get(name).is_none_or(|progress| progress.position != position) {
                let rated_before = judge.rated(name);
                let progress = Progress { position, since: now, rated_before, retry_at: None };
                self.progress.insert(name.clone(), progress);
            }
        }
        self.configuration = Some(configuration);
        self.next_review = Some(now);
    }

    /// Sets the live entry hosts, including this one.
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

    /// Records the result of a stage request.
    pub fn stage_set(&mut self, name: &ModelVersion, accepted: bool, now: Instant) {
        if let Some(progress) = self.progress.get_mut(name) {
            // An accepted stage soon appears in a configuration; after a refusal the transition is determined again
            // from the configuration then in force.
            let wait = if accepted { STAGE_REQUEST_TIMEOUT } else { REVIEW_INTERVAL };
            progress.retry_at = Some(now + wait);
        }
    }

    /// Releases the lease.
    pub fn stop(&mut self, now: Instant) {
        self.lease.stop();
        self.next_review = Some(now);
    }

    /// Returns the lease call that is due and, while the lease is held, the stage requests that are due.
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
        if progress.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        let event = self.due_event(name, record, progress, judge, now)?;
        let change = self.plan_change(name, record, event, judge)?;
        self.check_invariants(name, &change, held, now);
        let progress = self.progress.get_mut(name)?;
        progress.retry_at = Some(now + STAGE_REQUEST_TIMEOUT);
        Some(Effect::SetStage {
            model_version: name.clone(),
            stage: change.stage,
            vetoed: change.vetoed,
            fencing: held.fencing,
            reason: change.reason,
        })
    }

    /// Event that the controller must trigger for a version, if any.
    fn due_event(
        &self,
        name: &ModelVersion,
        record: &VersionRecord,
        progress: &Progress,
        judge: &Judge,
        now: Instant,
    ) -> Option<StageEvent> {
        let elapsed = now.saturating_duration_since(progress.since);
        match &record.stage {
            Stage::Canary { .. } | Stage::Settled if judge.is_vetoed(name) => {
                Some(StageEvent::Vetoed)
            }
            Stage::Canary { quotas, .. } if quotas.is_empty() => {
                (!self.hosts.is_empty()).then_some(StageEvent::QuotasMissing)
            }
            Stage::Canary { step, .. } => {
                let policy = self.step_policy(*step)?;
                let rated = judge.rated(name).saturating_sub(progress.rated_before);
                let passed = elapsed >= Duration::from_secs(policy.hold_seconds)
                    && rated >= u64::from(policy.rated_answers)
                    && judge.verdict(name) == Verdict::NotWorse;
                passed.then_some(StageEvent::StepPassed)
            }
            Stage::Withdrawing => (elapsed >= self.drain_time()).then_some(StageEvent::Drained),
            Stage::Registered | Stage::Settled | Stage::Withdrawn => None,
        }
    }

    fn plan_change(
        &self,
        name: &ModelVersion,
        record: &VersionRecord,
        event: StageEvent,
        judge: &Judge,
    ) -> Option<StageChange> {
        let (step, previous) = match &record.stage {
            Stage::Canary { step, quotas, .. } => (*step, quotas.clone()),
            _ => (0, Quotas::new()),
        };
        let is_last = |StageGuard::LastStep| step + 1 >= self.steps().len();
        let transition = self.chart.step(StageName::of(&record.stage), event, is_last)?;
        let vetoed = record.vetoed || judge.is_vetoed(name);
        let (stage, reason) = match transition.effects.first()? {
            StageEffect::AllocateQuotas => {
                (self.canary_stage(name, step, &previous)?, "quotas allocated")
            }
            StageEffect::NextStep => (self.canary_stage(name, step + 1, &previous)?, "step passed"),
            StageEffect::Settle => (Stage::Settled, "last step passed"),
            StageEffect::Withdraw => (Stage::Withdrawing, "vetoed"),
            StageEffect::End => (Stage::Withdrawn, "running requests have ended"),
        };
        Some(StageChange { stage, vetoed, reason: reason.to_owned() })
    }

    fn canary_stage(&self, name: &ModelVersion, step: usize, previous: &Quotas) -> Option<Stage> {
        let policy = self.step_policy(step)?;
        let quotas = quota::allocate(name, policy.callers, &self.hosts, previous);
        Some(Stage::Canary { step, share: policy.share, quotas })
    }

    /// Policy of a step; the last step's policy when the preset in force has fewer steps.
    fn step_policy(&self, step: usize) -> Option<&RolloutStep> {
        let steps = self.steps();
        steps.get(step).or(steps.last())
    }

    fn steps(&self) -> &[RolloutStep] {
        self.preset().map_or(&[], |preset| &preset.rollout.steps)
    }

    /// Time after which requests that were running at the withdrawal have ended: twice the default deadline.
    fn drain_time(&self) -> Duration {
        self.preset().map(|preset| preset.limits.default_deadline() * 2).unwrap_or_default()
    }

    fn preset(&self) -> Option<&Preset> {
        self.configuration.as_ref()?.preset_in_force()
    }

    fn check_invariants(
        &mut self,
        name: &ModelVersion,
        change: &StageChange,
        held: HeldLease,
        now: Instant,
    ) {
        self.invariants.check(Invariant::FencedActsOnly, now < held.act_until, || {
            format!("stage of {name} requested within the lease's margin")
        });
        if let Stage::Canary { step, quotas, .. } = &change.stage {
            let bound = self.step_policy(*step).map_or(0, |policy| u64::from(policy.callers));
            let total = quota::total(quotas);
            self.invariants.check(Invariant::ExposedCallersBound, total <= bound, || {
                format!("quotas of {name} sum to {total}, the bound is {bound}")
            });
        }
    }
}

impl Position {
    fn of(stage: &Stage) -> Position {
        let step = match stage {
            Stage::Canary { step, .. } => *step,
            Stage::Registered | Stage::Settled | Stage::Withdrawing | Stage::Withdrawn => 0,
        };
        Position { stage: StageName::of(stage), step }
    }
}
