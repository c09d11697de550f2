//! Arrivals of a run with the outcome of each model, drawn in advance.
//!
//! All policies of a run see the same arrivals with the same outcomes, so that their results can be compared in pairs.

use std::time::Duration;

use foxtailhoist_model::CallerId;
use foxtailhoist_model::Fingerprint;
use foxtailhoist_model::PrefixHash;
use foxtailhoist_model::stable_hash;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::policy::clock::Time;
use crate::policy::random::Weighted;
use crate::policy::random::exponential;
use crate::policy::random::geometric;
use crate::policy::random::normal;
use crate::policy::random::normal_cdf;
use crate::policy::random::tokens;
use crate::policy::site::Site;
use crate::policy::workload::ConfidenceByOutcome;
use crate::policy::workload::Workloads;

/// Callers per workspace.
pub const CALLERS_PER_WORKSPACE: usize = 320;

/// A request and the outcome of each model's answer.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time at which the client sends it.
    pub at: Time,
    pub workspace: usize,
    pub caller: CallerId,
    pub class: usize,
    pub session: Option<u32>,
    pub prefix: PrefixHash,
    pub prefix_tokens: u32,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub fingerprint: Fingerprint,
    /// Crashes every engine that runs it.
    pub poison: bool,
    outcomes: Vec<ModelOutcome>,
    /// Uniform draw; the rating is wrong when this is below the service's share of wrong ratings.
    rating_error: f64,
}

/// Random draws for one model's answer.
#[derive(Clone, Copy, Debug)]
struct ModelOutcome {
    /// Uniform; the answer is acceptable when this is below the model's probability of that in the class.
    difficulty: f64,
    /// Standard normal.
    confidence: f64,
}

/// Parameters of a run's arrivals: a warm-up phase, then the measured phase.
#[derive(Clone, Copy, Debug)]
pub struct TraceSpec {
    pub seed: u64,
    pub warm_up: Phase,
    pub measured: Phase,
}

/// A period with a constant arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub rate_per_s: f64,
    pub duration: Duration,
}

/// A request that crashes engines, resent by its caller.
#[derive(Clone, Copy, Debug)]
pub struct PoisonSpec {
    pub first: Time,
    pub every: Duration,
    pub times: u32,
}

impl Arrival {
    /// Whether a model's answer is acceptable, given the probability that it is.
    #[must_use]
    pub fn acceptable(&self, model: usize, probability: f64) -> bool {
        self.outcomes[model].difficulty < probability
    }

    /// Confidence that the engine reports with a model's answer.
    #[must_use]
    pub fn confidence(&self, model: usize, acceptable: bool, by: &ConfidenceByOutcome) -> f64 {
        let spec = if acceptable { by.acceptable } else { by.unacceptable };
        spec.mean + spec.sd * self.outcomes[model].confidence
    }

    /// Whether the rating service rates the answer acceptable.
    #[must_use]
    pub fn rating(&self, acceptable: bool, wrong_share: f64) -> bool {
        acceptable != (self.rating_error < wrong_share)
    }
}

/// Draws the arrivals of a run, sorted by time.
#[must_use]
pub fn generate(site: &Site, workloads: &Workloads, spec: TraceSpec) -> Vec<Arrival> {
    let mut generator = Generator::new(site, workloads, spec.seed);
    let end = spec.warm_up.duration + spec.measured.duration;
    let mut arrivals = Vec::new();
    generator.phase(Time::ZERO, spec.warm_up, end, &mut arrivals);
    generator.phase(spec.warm_up.duration, spec.measured, end, &mut arrivals);
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Adds a request that crashes engines, and its resends.
pub fn add_poison(arrivals: &mut Vec<Arrival>, spec: PoisonSpec) {
    let Some(template) = arrivals.iter().find(|arrival| arrival.session.is_none()).cloned() else {
        return;
    };
    for number in 0..spec.times {
        let at = spec.first + spec.every * number;
        arrivals.push(Arrival { at, poison: true, fingerprint: 0xDEAD, ..template.clone() });
    }
    arrivals.sort_by_key(|arrival| arrival.at);
}

struct Generator<'a> {
    site: &'a Site,
    rho: f64,
    rng: ChaCha8Rng,
    workspaces: Weighted,
    classes: Weighted,
    prefixes: Weighted,
    sessions: u32,
}

impl<'a> Generator<'a> {
    fn new(site: &'a Site, workloads: &Workloads, seed: u64) -> Generator<'a> {
        let deployment = &site.deployment;
        Generator {
            site,
            rho: workloads.difficulty_rho,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workspaces: Weighted::zipf(deployment.workspaces.count, deployment.workspaces.zipf),
            classes: Weighted::new(site.classes.iter().map(|class| class.spec.share)),
            prefixes: Weighted::zipf(deployment.prefixes.groups, deployment.prefixes.zipf),
            sessions: 0,
        }
    }

    /// Draws the single requests and sessions that start within a phase; sessions may outlast it.
    fn phase(&mut self, from: Time, phase: Phase, end: Time, arrivals: &mut Vec<Arrival>) {
        let sessions = self.site.deployment.sessions;
        for at in self.start_times(from, phase.duration, phase.rate_per_s * (1.0 - sessions.share))
        {
            arrivals.push(self.arrival(at, None));
        }
        let session_rate = phase.rate_per_s * sessions.share / sessions.turns_mean;
        for at in self.start_times(from, phase.duration, session_rate) {
            self.sessions += 1;
            self.session(self.sessions, at, end, arrivals);
        }
    }

    fn start_times(&mut self, from: Time, duration: Duration, rate: f64) -> Vec<Time> {
        let mut start_times = Vec::new();
        let mut at_s = exponential(&mut self.rng, 1.0 / rate);
        while at_s < duration.as_secs_f64() {
            start_times.push(from + Duration::from_secs_f64(at_s));
            at_s += exponential(&mut self.rng, 1.0 / rate);
        }
        start_times
    }

    /// Draws the turns of a session, which share caller, class and prefix and are sent regardless of earlier outcomes.
    fn session(&mut self, number: u32, at: Time, end: Duration, arrivals: &mut Vec<Arrival>) {
        let spec = self.site.deployment.sessions;
        let turns = geometric(&mut self.rng, spec.turns_mean);
        let mut first: Option<Arrival> = None;
        let mut at = at;
        for _ in 0..turns {
            if at >= end {
                return;
            }
            let mut turn = self.arrival(at, Some(number));
            if let Some(first) = &first {
                turn = self.continue_session(first, turn);
            } else {
                first = Some(turn.clone());
            }
            arrivals.push(turn);
            let gap_s = spec.gap_s * (0.5 + self.rng.random::<f64>());
            at += Duration::from_secs_f64(gap_s);
        }
    }

    fn continue_session(&mut self, first: &Arrival, turn: Arrival) -> Arrival {
        let spec = &self.site.classes[first.class].spec;
        Arrival {
            workspace: first.workspace,
            caller: first.caller,
            class: first.class,
            prefix: first.prefix,
            prefix_tokens: first.prefix_tokens,
            prompt_tokens: spec.prefix_tok + tokens(&mut self.rng, spec.prompt_tok),
            output_tokens: tokens(&mut self.rng, spec.output_tok),
            ..turn
        }
    }

    fn arrival(&mut self, at: Time, session: Option<u32>) -> Arrival {
        let workspace = self.workspaces.draw(&mut self.rng);
        let class = self.classes.draw(&mut self.rng);
        let group = self.prefixes.draw(&mut self.rng);
        let spec = &self.site.classes[class].spec;
        let caller = self.rng.random_range(0..CALLERS_PER_WORKSPACE);
        let hash = |kind: u64, number: usize| stable_hash(kind, &[&number.to_le_bytes()]);
        Arrival {
            at,
            workspace,
            caller: hash(1, workspace * CALLERS_PER_WORKSPACE + caller),
            class,
            session,
            prefix: hash(2, class * self.site.deployment.prefixes.groups + group),
            prefix_tokens: spec.prefix_tok,
            prompt_tokens: spec.prefix_tok + tokens(&mut self.rng, spec.prompt_tok),
            output_tokens: tokens(&mut self.rng, spec.output_tok),
            fingerprint: self.rng.random(),
            poison: false,
            outcomes: self.outcomes(),
            rating_error: self.rng.random(),
        }
    }

    /// Correlates the models' outcomes by a Gaussian copula: one shared draw per request and one per model.
    fn outcomes(&mut self) -> Vec<ModelOutcome> {
        let shared = normal(&mut self.rng);
        let outcome = |_| {
            let own = normal(&mut self.rng);
            let value = self.rho.sqrt() * shared + (1.0 - self.rho).sqrt() * own;
            ModelOutcome { difficulty: normal_cdf(value), confidence: normal(&mut self.rng) }
        };
        (0..self.site.models.len()).map(outcome).collect()
    }
}
