//! Quality estimates, and the choice of the model or cascade for each request.
//!
//! Every complete answer, delivered or not, is kept for a while with its engine's confidence and, if it was sampled,
//! its rating. At intervals the estimates are fitted to these answers ([`mixture`], [`window`]); plans made from one
//! fit are cached until the next ([`plan`]). The best model answers a class without data. Data on cheaper models comes
//! from exploration, which is bounded by the acceptable answers that it is expected to lose.

mod explore;
mod fit;
mod mixture;
mod peers;
mod plan;
mod traffic;
mod window;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Preset;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_model::TaskClass;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_model::stable_hash;
use rand_chacha::ChaCha8Rng;

use crate::config::Mechanisms;
use crate::permit::Allowed;
use crate::shared::SharedQuality;
use explore::Explorer;
use mixture::Mixture;
use peers::PeerSums;
use plan::Candidate;
use plan::ClassInput;
pub(crate) use plan::Plan;
pub(crate) use plan::PlanStage;
pub(crate) use traffic::RequestKind;
use traffic::TrafficStats;
use window::Answer;
use window::Window;

const FIT_INTERVAL: Duration = Duration::from_secs(10);
/// Rounds of a fit that starts without a mixture; any other fit is one round.
const INITIAL_FIT_ROUNDS: usize = 20;
/// Answers with a confidence that are needed to initialise the mixture.
const MIN_CONFIDENCES: usize = 100;
/// Ratings as unacceptable that are needed to initialise the mixture.
const MIN_UNACCEPTABLE_RATINGS: usize = 8;
/// Windows that are kept; beyond that, the first in key order is evicted.
const MAX_WINDOWS: usize = 256;
/// Workspaces with a number of their own; all others share the next number.
const MAX_WORKSPACES: usize = 10_000;
/// Cached plans; beyond that, the first in key order is evicted.
const MAX_PLANS: usize = 10_000;
/// Effective samples of a workspace's own answers to a class from which the workspace gets its own plan.
const MIN_WORKSPACE_SAMPLES: f64 = 100.0;
/// Prior for [`ClassInput::dependence`].
const PRIOR_DEPENDENCE: f64 = 0.12;
/// Weight of the prior in the regression, as a sum of squared shortfalls.
const PRIOR_DEPENDENCE_WEIGHT: f64 = 3.0;
const RULES_HASH_SEED: u64 = 0x9a7e;

/// Estimates the answer quality of versions and plans requests with them.
#[derive(Debug)]
pub(crate) struct QualityEstimator {
    mechanisms: Mechanisms,
    windows: BTreeMap<WindowKey, Window>,
    /// Number of each workspace; see [`MAX_WORKSPACES`].
    workspaces: BTreeMap<WorkspaceId, u32>,
    /// Effective samples of each workspace's own answers, by class.
    workspace_samples: BTreeMap<TaskClass, BTreeMap<u32, f64>>,
    traffic: TrafficStats,
    mixture: Option<Mixture>,
    /// See [`ClassInput::dependence`].
    dependence: f64,
    fitted_at: Option<Instant>,
    plans: BTreeMap<PlanKey, Plan>,
    explorer: Explorer,
    peers: PeerSums,
    /// Sums of the last fit, to be sent to the peers.
    unsent_sums: Option<SharedQuality>,
}

/// Key of a window. Escalated answers, which replace a rejected answer of a cheaper model, are kept apart because their
/// requests are harder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WindowKey {
    class: TaskClass,
    model_version: ModelVersion,
    escalated: bool,
}

/// Reference to a kept answer, used to record its rating.
#[derive(Clone, Debug)]
pub(crate) struct AnswerRef {
    key: WindowKey,
    answer_number: u64,
}

/// A complete answer to record.
#[derive(Clone, Debug)]
pub(crate) struct NewAnswer<'a> {
    pub(crate) workspace: &'a WorkspaceId,
    pub(crate) class: &'a TaskClass,
    pub(crate) model_version: &'a ModelVersion,
    pub(crate) confidence: Option<f64>,
    /// See [`Answer::shortfall`]; `None` for a first stage.
    pub(crate) shortfall: Option<f64>,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
}

/// A request to plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanRequest<'a> {
    pub(crate) workspace: &'a WorkspaceId,
    pub(crate) kind: &'a RequestKind,
    /// Whether the request is bound to its session's version.
    pub(crate) keeps_version: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlanKey {
    /// `None` for the plan that all workspaces with few answers of their own share.
    workspace: Option<u32>,
    /// Hash of the versions to choose from, their output prices and the preset's quality target.
    rules_hash: u64,
    kind: RequestKind,
}

/// A plan and whether it explores.
#[derive(Clone, Debug)]
pub(crate) struct Planned {
    pub(crate) plan: Plan,
    pub(crate) explores: bool,
}

impl QualityEstimator {
    pub(crate) fn new(mechanisms: Mechanisms) -> QualityEstimator {
        QualityEstimator {
            mechanisms,
            windows: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            workspace_samples: BTreeMap::new(),
            traffic: TrafficStats::default(),
            mixture: None,
            dependence: PRIOR_DEPENDENCE,
            fitted_at: None,
            plans: BTreeMap::new(),
            explorer: Explorer::default(),
            peers: PeerSums::default(),
            unsent_sums: None,
        }
    }

    /// Records a complete answer.
    pub(crate) fn record_answer(&mut self, answer: &NewAnswer<'_>) -> AnswerRef {
        self.traffic.observe(answer.class, answer.prompt_tokens, answer.output_tokens);
        let workspace = self.workspace_number(answer.workspace);
        let key = WindowKey {
            class: answer.class.clone(),
            model_version: answer.model_version.clone(),
            escalated: answer.shortfall.is_some(),
        };
        if self.windows.len() >= MAX_WINDOWS && !self.windows.contains_key(&key) {
            self.windows.pop_first();
        }
        let window = self.windows.entry(key.clone()).or_insert_with(Window::new);
        let answer_number = window.push(Answer {
            workspace,
            confidence: answer.confidence.map(|confidence| confidence as f32),
            acceptable: None,
            shortfall: answer.shortfall.unwrap_or(0.0) as f32,
        });
        AnswerRef { key, answer_number }
    }

    /// Records the rating of an answer.
    pub(crate) fn record_rating(&mut self, answer_ref: &AnswerRef, acceptable: bool) {
        if let Some(window) = self.windows.get_mut(&answer_ref.key) {
            window.rate(answer_ref.answer_number, acceptable);
        }
    }

    /// Amount by which an answer's probability of being acceptable lies below its model's share of acceptable answers;
    /// 0 without a mixture or a confidence.
    pub(crate) fn shortfall(
        &self,
        class: &TaskClass,
        model_version: &ModelVersion,
        confidence: Option<f64>,
    ) -> f64 {
        let share = self.estimate(class, model_version, None).share;
        let Some((mixture, confidence)) = self.mixture.as_ref().zip(confidence) else {
            return 0.0;
        };
        (share - mixture.posterior(share, Some(confidence), None)).clamp(-1.0, 1.0)
    }

    /// Chooses the model or cascade for a request. `allowed` is in ascending order of price and not empty.
    pub(crate) fn plan(
        &mut self,
        request: PlanRequest<'_>,
        allowed: &[Allowed],
        preset: &Preset,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Planned {
        self.fit_if_due(now);
        let models = pick_one_per_price(allowed, rng);
        let Some(best) = models.last() else {
            return Planned { plan: Plan { stages: Vec::new(), loss: 0.0 }, explores: false };
        };
        let direct = Plan::direct(ModelVersion::clone(&best.model_version));
        let cheaper =
            self.mechanisms.cheaper_models && preset.cheaper_for.contains(&request.kind.class);
        if cheaper && request.keeps_version {
            self.traffic.observe_follow_up(request.workspace, &request.kind.class);
            // The plan of the session's first request was charged for the loss of the whole session.
            let slack = self.slack(preset, &models, request);
            self.explorer.credit(slack, 0.0);
        }
        if !cheaper || models.len() < 2 {
            return Planned { plan: direct, explores: false };
        }
        self.traffic.observe_request(request.workspace, request.kind);
        let slack = self.slack(preset, &models, request);
        let planned = self.cached_plan(request, &models, preset, slack);
        self.explorer.credit(slack, planned.loss);
        let may_withhold =
            !request.kind.streamed && self.mechanisms.cascade && self.mixture.is_some();
        if self.mechanisms.exploration && self.explorer.may_explore(may_withhold, rng) {
            let candidates = self.candidates(&request.kind.class, None, &models);
            let starts = request.kind.starts_session;
            let follow_ups =
                if starts { self.traffic.follow_ups(&request.kind.class) } else { 0.0 };
            let explored = self.explorer.choose(&planned, &candidates, follow_ups, may_withhold);
            if let Some(plan) = explored {
                return Planned { plan, explores: true };
            }
        }
        Planned { plan: planned, explores: false }
    }

    /// Mean tokens of a class's answers; `None` while there are no answers.
    pub(crate) fn mean_output(&self, class: Option<&TaskClass>) -> Option<f64> {
        self.traffic.mean_output(class?)
    }

    /// Records the sums that a peer shared.
    pub(crate) fn update_peer(
        &mut self,
        from: EntryHostId,
        shared: Arc<SharedQuality>,
        now: Instant,
    ) {
        self.peers.update(from, shared, now);
    }

    /// Takes the sums of the last fit, to be sent to the peers; `None` if they were taken already.
    pub(crate) fn take_shared(&mut self) -> Option<SharedQuality> {
        self.unsent_sums.take()
    }

    /// Numbers of windows, plans and workspaces, each with its limit.
    pub(crate) fn tables(&self) -> [(usize, usize); 3] {
        [
            (self.windows.len(), MAX_WINDOWS),
            (self.plans.len(), MAX_PLANS),
            (self.workspaces.len(), MAX_WORKSPACES),
        ]
    }

    /// Uncertainty about a version's answers to a class, from 0 to 1.
    pub(crate) fn uncertainty(&self, class: &TaskClass, model_version: &ModelVersion) -> f64 {
        /// Effective samples from which the uncertainty is 0.
        const WELL_KNOWN_SAMPLES: f64 = 400.0;
        let effective_samples = self.estimate(class, model_version, None).effective_samples;
        1.0 - (effective_samples / WELL_KNOWN_SAMPLES).min(1.0)
    }

    fn cached_plan(
        &mut self,
        request: PlanRequest<'_>,
        models: &[Allowed],
        preset: &Preset,
        slack: f64,
    ) -> Plan {
        let workspace_number = self.workspace_number(request.workspace);
        let own = self
            .workspace_samples
            .get(&request.kind.class)
            .and_then(|own| own.get(&workspace_number))
            .copied();
        let workspace =
            Some(workspace_number).filter(|_| own.unwrap_or(0.0) >= MIN_WORKSPACE_SAMPLES);
        let rules_hash = rules_hash(models, preset);
        let key = PlanKey { workspace, rules_hash, kind: request.kind.clone() };
        if let Some(plan) = self.plans.get(&key) {
            return plan.clone();
        }
        let mix = match workspace {
            Some(_) => self.traffic.mix(Some(request.workspace), &preset.cheaper_for),
            None => self.traffic.mix(None, &preset.cheaper_for),
        };
        let inputs: Vec<ClassInput> = mix
            .iter()
            .map(|part| ClassInput {
                weight: part.weight,
                candidates: self.candidates(&part.kind.class, workspace, models),
                may_withhold: !part.kind.streamed && self.mechanisms.cascade,
                follow_ups: part.follow_ups,
                dependence: self.dependence,
            })
            .collect();
        let plans = plan::plan(&inputs, self.mixture.as_ref(), slack);
        for (part, plan) in mix.into_iter().zip(plans) {
            if self.plans.len() >= MAX_PLANS {
                self.plans.pop_first();
            }
            let key = PlanKey { workspace, rules_hash, kind: part.kind };
            self.plans.insert(key, plan);
        }
        let direct = || Plan::direct(ModelVersion::clone(&models[models.len() - 1].model_version));
        self.plans.get(&key).cloned().unwrap_or_else(direct)
    }

    fn candidates(
        &self,
        class: &TaskClass,
        workspace: Option<u32>,
        models: &[Allowed],
    ) -> Vec<Candidate> {
        let (prompt, output) = self.traffic.mean_tokens(class);
        let candidate = |allowed: &Allowed| Candidate {
            model_version: ModelVersion::clone(&allowed.model_version),
            cost: prompt * allowed.price_in + output * allowed.price_out,
            estimate: self.estimate(class, &allowed.model_version, workspace),
        };
        models.iter().map(candidate).collect()
    }

    fn estimate(
        &self,
        class: &TaskClass,
        model_version: &ModelVersion,
        workspace: Option<u32>,
    ) -> window::Estimate {
        let key = WindowKey {
            class: class.clone(),
            model_version: model_version.clone(),
            escalated: false,
        };
        match (self.windows.get(&key), workspace) {
            (Some(window), Some(workspace)) => window.estimate_for_workspace(workspace),
            (Some(window), None) => window.estimate(),
            (None, _) => Window::new().estimate(),
        }
    }

    /// Expected loss of acceptable answers per request that the preset's quality target allows.
    fn slack(&self, preset: &Preset, models: &[Allowed], request: PlanRequest<'_>) -> f64 {
        match preset.quality {
            QualityTarget::BelowBest(slack) => slack,
            QualityTarget::AtLeast(share) => {
                let best = models.last().map(|best| &best.model_version);
                let best = best.map(|best| self.estimate(&request.kind.class, best, None).share);
                (best.unwrap_or(share) - share).max(0.0)
            }
        }
    }

    fn workspace_number(&mut self, workspace: &WorkspaceId) -> u32 {
        if let Some(number) = self.workspaces.get(workspace) {
            return *number;
        }
        let number = self.workspaces.len() as u32;
        if self.workspaces.len() < MAX_WORKSPACES {
            self.workspaces.insert(workspace.clone(), number);
        }
        number
    }
}

/// Picks one version at random for each output price, in ascending order of price. Standby versions are left out.
fn pick_one_per_price(allowed: &[Allowed], rng: &mut ChaCha8Rng) -> Vec<Allowed> {
    use rand::RngExt;
    let allowed: Vec<Allowed> = allowed.iter().filter(|a| !a.standby).cloned().collect();
    let groups = allowed.chunk_by(|a, b| a.price_out == b.price_out);
    let pick = |group: &[Allowed]| {
        let index = if group.len() > 1 { rng.random_range(0..group.len()) } else { 0 };
        group[index].clone()
    };
    groups.map(pick).collect()
}

fn rules_hash(models: &[Allowed], preset: &Preset) -> u64 {
    let target = match preset.quality {
        QualityTarget::BelowBest(slack) => slack,
        QualityTarget::AtLeast(share) => -share,
    };
    models.iter().fold(target.to_bits(), |hash, allowed| {
        let ModelVersion { model, version } = &*allowed.model_version;
        let price = allowed.price_out.to_bits().to_be_bytes();
        stable_hash(hash ^ RULES_HASH_SEED, &[model.as_bytes(), version.as_bytes(), &price])
    })
}
