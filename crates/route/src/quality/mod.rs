//! Quality estimates, and the model or cascade that each request gets.
//!
//! Every whole answer, delivered or not, is kept for a while with its engine's confidence and, for the sampled ones,
//! its rating. At intervals the answers are fitted anew ([`mixture`], [`window`]) and plans made from the fit are used
//! until the next ([`plan`]). A class that nothing is known of is answered by the best model; cheaper ones become
//! known by exploration, which is bounded by the acceptable answers that it is expected to cost.

mod explore;
mod fit;
mod mixture;
mod peers;
mod plan;
mod tokens;
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
use crate::permit::AllowedVersion;
use crate::shared::SharedQuality;
use explore::Explorer;
use mixture::Mixture;
use peers::PeerSums;
use plan::Candidate;
use plan::ClassInput;
pub(crate) use plan::Plan;
pub(crate) use plan::Stage;
pub(crate) use tokens::Kind;
use tokens::Tokens;
use window::Answer;
use window::Window;

const FIT_INTERVAL: Duration = Duration::from_secs(10);
/// Fits in a row when a mixture is started.
const FIRST_FITS: usize = 20;
/// Answers with a confidence, and ratings that found a fault, before a mixture is started.
const MIN_CONFIDENCES: usize = 100;
const MIN_FAULTS: usize = 8;
/// Windows that are kept; the first by name is evicted.
const MAX_WINDOWS: usize = 256;
/// Workspaces and classes that are told apart; others share the last number.
const MAX_WORKSPACES: usize = 10_000;
const MAX_PLANS: usize = 10_000;
/// Own answers from which on a workspace is planned for by itself.
const MIN_OWN_WORTH: f64 = 100.0;
/// Fall of a model's share for each point of doubt in another's answer, before anything is known, and the weight of
/// that.
const PRIOR_DEPENDENCE: f64 = 0.12;
const DEPENDENCE_WEIGHT: f64 = 3.0;
const PLAN_SEED: u64 = 0x9a7e;

/// What is known of the quality of versions.
#[derive(Debug)]
pub(crate) struct Quality {
    mechanisms: Mechanisms,
    windows: BTreeMap<WindowKey, Window>,
    workspaces: BTreeMap<WorkspaceId, u32>,
    /// Worth of each workspace's own answers, by class.
    own_worth: BTreeMap<TaskClass, BTreeMap<u32, f64>>,
    tokens: Tokens,
    mixture: Option<Mixture>,
    dependence: f64,
    fitted: Option<Instant>,
    plans: BTreeMap<PlanKey, Plan>,
    explorer: Explorer,
    peers: PeerSums,
    /// Sums of the last fit, to be told to the peers.
    share: Option<SharedQuality>,
}

/// A version's answers to a class; those after another model fell short apart, as they are to harder requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WindowKey {
    class: TaskClass,
    model_version: ModelVersion,
    escalated: bool,
}

/// Where an answer is kept until its rating comes.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    key: WindowKey,
    number: u64,
}

/// An answer to be kept.
#[derive(Clone, Debug)]
pub(crate) struct NewAnswer<'a> {
    pub(crate) workspace: &'a WorkspaceId,
    pub(crate) class: &'a TaskClass,
    pub(crate) model_version: &'a ModelVersion,
    pub(crate) confidence: Option<f64>,
    /// See [`Answer::doubt`]; `None` for a first stage.
    pub(crate) doubt: Option<f64>,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
}

/// A request to be planned for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked<'a> {
    pub(crate) workspace: &'a WorkspaceId,
    pub(crate) kind: &'a Kind,
    /// The request keeps its session's version.
    pub(crate) follows: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlanKey {
    /// `None` for workspaces that are planned for together.
    workspace: Option<u32>,
    /// Hash of the versions allowed and of the preset's rules.
    rules: u64,
    kind: Kind,
}

/// A plan and whether it explores.
#[derive(Clone, Debug)]
pub(crate) struct Planned {
    pub(crate) plan: Plan,
    pub(crate) explores: bool,
}

impl Quality {
    pub(crate) fn new(mechanisms: Mechanisms) -> Quality {
        Quality {
            mechanisms,
            windows: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            own_worth: BTreeMap::new(),
            tokens: Tokens::default(),
            mixture: None,
            dependence: PRIOR_DEPENDENCE,
            fitted: None,
            plans: BTreeMap::new(),
            explorer: Explorer::default(),
            peers: PeerSums::default(),
            share: None,
        }
    }

    /// Keeps a whole answer.
    pub(crate) fn keep(&mut self, answer: &NewAnswer<'_>) -> Kept {
        self.tokens.observe(answer.class, answer.prompt_tokens, answer.output_tokens);
        let workspace = self.workspace(answer.workspace);
        let key = WindowKey {
            class: answer.class.clone(),
            model_version: answer.model_version.clone(),
            escalated: answer.doubt.is_some(),
        };
        if self.windows.len() >= MAX_WINDOWS && !self.windows.contains_key(&key) {
            self.windows.pop_first();
        }
        let window = self.windows.entry(key.clone()).or_insert_with(Window::new);
        let number = window.push(Answer {
            workspace,
            confidence: answer.confidence.map(|confidence| confidence as f32),
            acceptable: None,
            doubt: answer.doubt.unwrap_or(0.0) as f32,
        });
        Kept { key, number }
    }

    /// Notes the rating of a kept answer.
    pub(crate) fn rate(&mut self, kept: &Kept, acceptable: bool) {
        if let Some(window) = self.windows.get_mut(&kept.key) {
            window.rate(kept.number, acceptable);
        }
    }

    /// How far an answer's probability of being acceptable lies below its model's share.
    pub(crate) fn doubt(
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

    /// Chooses the model or cascade for a request. `allowed` is in order of price and not empty.
    pub(crate) fn plan(
        &mut self,
        asked: Asked<'_>,
        allowed: &[AllowedVersion],
        preset: &Preset,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Planned {
        self.fit_if_due(now);
        let models = one_of_each_price(allowed, rng);
        let Some(best) = models.last() else {
            return Planned { plan: Plan { stages: Vec::new(), loss: 0.0 }, explores: false };
        };
        let direct = Plan::direct(ModelVersion::clone(&best.model_version));
        let cheaper =
            self.mechanisms.cheaper_models && preset.cheaper_for.contains(&asked.kind.class);
        if cheaper && asked.follows {
            self.tokens.observe_follower(asked.workspace, &asked.kind.class);
            // What a session loses was spent at its start.
            let slack = self.slack(preset, &models, asked);
            self.explorer.earn(slack, 0.0);
        }
        if !cheaper || models.len() < 2 {
            return Planned { plan: direct, explores: false };
        }
        self.tokens.observe_request(asked.workspace, asked.kind);
        let slack = self.slack(preset, &models, asked);
        let planned = self.cached_plan(asked, &models, preset, slack);
        self.explorer.earn(slack, planned.loss);
        let may_withhold =
            !asked.kind.streamed && self.mechanisms.cascade && self.mixture.is_some();
        if self.mechanisms.exploration && self.explorer.due(may_withhold, rng) {
            let candidates = self.candidates(&asked.kind.class, None, &models);
            let starts = asked.kind.starts_session;
            let followers = if starts { self.tokens.followers(&asked.kind.class) } else { 0.0 };
            let explored = self.explorer.choose(&planned, &candidates, followers, may_withhold);
            if let Some(plan) = explored {
                return Planned { plan, explores: true };
            }
        }
        Planned { plan: planned, explores: false }
    }

    /// Mean tokens of a class's answers, once there were any.
    pub(crate) fn usual_output(&self, class: Option<&TaskClass>) -> Option<f64> {
        self.tokens.usual_output(class?)
    }

    /// Takes in what a peer learned.
    pub(crate) fn learn(&mut self, from: EntryHostId, shared: Arc<SharedQuality>, now: Instant) {
        self.peers.learn(from, shared, now);
    }

    /// What was learned since the last call, to be told to the peers.
    pub(crate) fn take_share(&mut self) -> Option<SharedQuality> {
        self.share.take()
    }

    /// Number of windows, plans and workspaces, each with the most there may be.
    pub(crate) fn tables(&self) -> [(usize, usize); 3] {
        [
            (self.windows.len(), MAX_WINDOWS),
            (self.plans.len(), MAX_PLANS),
            (self.workspaces.len(), MAX_WORKSPACES),
        ]
    }

    /// How little is known of a version's answers to a class, from 0 to 1.
    pub(crate) fn uncertainty(&self, class: &TaskClass, model_version: &ModelVersion) -> f64 {
        const WELL_KNOWN: f64 = 400.0;
        let worth = self.estimate(class, model_version, None).worth;
        1.0 - (worth / WELL_KNOWN).min(1.0)
    }

    fn cached_plan(
        &mut self,
        asked: Asked<'_>,
        models: &[AllowedVersion],
        preset: &Preset,
        slack: f64,
    ) -> Plan {
        let number = self.workspace(asked.workspace);
        let own = self.own_worth.get(&asked.kind.class).and_then(|own| own.get(&number)).copied();
        let workspace = Some(number).filter(|_| own.unwrap_or(0.0) >= MIN_OWN_WORTH);
        let rules = rules(models, preset);
        let key = PlanKey { workspace, rules, kind: asked.kind.clone() };
        if let Some(plan) = self.plans.get(&key) {
            return plan.clone();
        }
        let mix = match workspace {
            Some(_) => self.tokens.mix(Some(asked.workspace), &preset.cheaper_for),
            None => self.tokens.mix(None, &preset.cheaper_for),
        };
        let inputs: Vec<ClassInput> = mix
            .iter()
            .map(|part| ClassInput {
                weight: part.weight,
                candidates: self.candidates(&part.kind.class, workspace, models),
                cascade: !part.kind.streamed && self.mechanisms.cascade,
                followers: part.followers,
                dependence: self.dependence,
            })
            .collect();
        let plans = plan::plan(&inputs, self.mixture.as_ref(), slack);
        for (part, plan) in mix.into_iter().zip(plans) {
            if self.plans.len() >= MAX_PLANS {
                self.plans.pop_first();
            }
            let key = PlanKey { workspace, rules, kind: part.kind };
            self.plans.insert(key, plan);
        }
        let direct = || Plan::direct(ModelVersion::clone(&models[models.len() - 1].model_version));
        self.plans.get(&key).cloned().unwrap_or_else(direct)
    }

    fn candidates(
        &self,
        class: &TaskClass,
        workspace: Option<u32>,
        models: &[AllowedVersion],
    ) -> Vec<Candidate> {
        let (prompt, output) = self.tokens.means(class);
        let candidate = |allowed: &AllowedVersion| Candidate {
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
            (Some(window), Some(workspace)) => window.estimate_for(workspace),
            (Some(window), None) => window.estimate(),
            (None, _) => Window::new().estimate(),
        }
    }

    /// Loss of acceptable answers that the preset's target allows.
    fn slack(&self, preset: &Preset, models: &[AllowedVersion], asked: Asked<'_>) -> f64 {
        match preset.quality {
            QualityTarget::BelowBest(slack) => slack,
            QualityTarget::AtLeast(share) => {
                let best = models.last().map(|best| &best.model_version);
                let best = best.map(|best| self.estimate(&asked.kind.class, best, None).share);
                (best.unwrap_or(share) - share).max(0.0)
            }
        }
    }

    fn workspace(&mut self, workspace: &WorkspaceId) -> u32 {
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

/// One version for each price, in ascending order of price; versions of one price share the requests.
fn one_of_each_price(allowed: &[AllowedVersion], rng: &mut ChaCha8Rng) -> Vec<AllowedVersion> {
    use rand::RngExt;
    let allowed: Vec<AllowedVersion> = allowed.iter().filter(|a| !a.standby).cloned().collect();
    let groups = allowed.chunk_by(|a, b| a.price_out == b.price_out);
    let pick = |group: &[AllowedVersion]| {
        let index = if group.len() > 1 { rng.random_range(0..group.len()) } else { 0 };
        group[index].clone()
    };
    groups.map(pick).collect()
}

fn rules(models: &[AllowedVersion], preset: &Preset) -> u64 {
    let target = match preset.quality {
        QualityTarget::BelowBest(slack) => slack,
        QualityTarget::AtLeast(share) => -share,
    };
    models.iter().fold(target.to_bits(), |hash, allowed| {
        let ModelVersion { model, version } = &*allowed.model_version;
        let price = allowed.price_out.to_bits().to_be_bytes();
        stable_hash(hash ^ PLAN_SEED, &[model.as_bytes(), version.as_bytes(), &price])
    })
}
