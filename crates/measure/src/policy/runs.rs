//! Comparison runs of several policies on the same arrivals, on a pool of threads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::policy::clock::Time;
use crate::policy::fault::Fault;
use crate::policy::kind::Policy;
use crate::policy::record::Record;
use crate::policy::record::VersionOutcome;
use crate::policy::site::Site;
use crate::policy::summary::Summary;
use crate::policy::trace::Arrival;
use crate::policy::trace::Phase;
use crate::policy::trace::PoisonSpec;
use crate::policy::trace::TraceSpec;
use crate::policy::trace::add_poison;
use crate::policy::trace::generate;
use crate::policy::workload::Workloads;
use crate::policy::world::RunResult;
use crate::policy::world::RunSpec;
use crate::policy::world::run;

/// Warm-up at the ordinary arrival rate; its requests are left out of the results.
pub const WARM_UP: Duration = Duration::from_secs(600);

/// A set of policies to run with the same arrivals and the same fault.
#[derive(Clone, Debug)]
pub struct Comparison {
    pub rate_per_s: f64,
    /// Time after the warm-up.
    pub duration: Duration,
    pub fault: Fault,
    /// Policies to run; [`Policy::AlwaysBest`] always runs as the reference.
    pub policies: Vec<Policy>,
}

/// Results of one policy for one seed.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub summary: Summary,
    pub versions: VersionOutcome,
}

/// Outcomes by policy, one per seed.
pub type Outcomes = BTreeMap<Policy, Vec<Outcome>>;

/// Runs comparisons on one site.
#[derive(Clone, Debug)]
pub struct Runner {
    pub site: Arc<Site>,
    pub workloads: Arc<Workloads>,
    pub seeds: Vec<u64>,
    pub threads: usize,
}

impl Runner {
    /// Runs a comparison for every seed.
    #[must_use]
    pub fn compare(&self, comparison: &Comparison) -> Outcomes {
        let mut outcomes = Outcomes::new();
        for seed in &self.seeds {
            for (policy, outcome) in self.compare_seed(comparison, *seed) {
                outcomes.entry(policy).or_default().push(outcome);
            }
        }
        outcomes
    }

    fn compare_seed(&self, comparison: &Comparison, seed: u64) -> Vec<(Policy, Outcome)> {
        let arrivals = Arc::new(self.arrivals(comparison, seed));
        let spec = |policy: Policy, replayed: Vec<usize>| RunSpec {
            site: self.site.clone(),
            workloads: self.workloads.clone(),
            arrivals: arrivals.clone(),
            policy,
            fault: comparison.fault,
            seed,
            replayed: Arc::new(replayed),
        };
        let mut policies = comparison.policies.clone();
        policies.retain(|policy| *policy != Policy::ReplayedLeastInFlight);
        if !policies.contains(&Policy::AlwaysBest) {
            policies.push(Policy::AlwaysBest);
        }
        let specs = policies.iter().map(|policy| spec(*policy, Vec::new())).collect();
        let mut results: BTreeMap<Policy, RunResult> =
            policies.into_iter().zip(self.run_all(specs)).collect();
        let replays = comparison.policies.contains(&Policy::ReplayedLeastInFlight);
        if let Some(router) = results.get(&Policy::Router).filter(|_| replays) {
            let models = self.chosen_models(router);
            let replay = run(spec(Policy::ReplayedLeastInFlight, models));
            results.insert(Policy::ReplayedLeastInFlight, replay);
        }
        self.summarise(&arrivals, &results)
    }

    fn summarise(
        &self,
        arrivals: &[Arrival],
        results: &BTreeMap<Policy, RunResult>,
    ) -> Vec<(Policy, Outcome)> {
        let best = &results[&Policy::AlwaysBest];
        let outcome = |(policy, result): (&Policy, &RunResult)| {
            let summary = Summary::of(&self.site, arrivals, result, best, WARM_UP);
            (*policy, Outcome { summary, versions: result.versions.clone() })
        };
        results.iter().map(outcome).collect()
    }

    fn arrivals(&self, comparison: &Comparison, seed: u64) -> Vec<Arrival> {
        let ordinary = self.site.deployment.rate_per_s.ordinary;
        let spec = TraceSpec {
            seed,
            warm_up: Phase { rate_per_s: ordinary, duration: WARM_UP },
            measured: Phase { rate_per_s: comparison.rate_per_s, duration: comparison.duration },
        };
        let mut arrivals = generate(&self.site, &self.workloads, spec);
        if let Fault::Poison { first, every, times } = comparison.fault {
            add_poison(&mut arrivals, PoisonSpec { first, every, times });
        }
        arrivals
    }

    /// Model that answered each request; the best model for requests without an answer.
    fn chosen_models(&self, result: &RunResult) -> Vec<usize> {
        let best = self.site.best_model();
        let model = |record: &Record| record.answer.map_or(best, |answer| answer.model);
        result.records.iter().map(model).collect()
    }

    /// Executes runs on several threads; results are in the order of `specs`.
    #[must_use]
    pub fn run_all(&self, specs: Vec<RunSpec>) -> Vec<RunResult> {
        let count = specs.len();
        let pending = Mutex::new(specs.into_iter().enumerate());
        let done: Mutex<BTreeMap<usize, RunResult>> = Mutex::new(BTreeMap::new());
        let work = || {
            loop {
                let next = pending.lock().ok().and_then(|mut pending| pending.next());
                let Some((index, spec)) = next else {
                    return;
                };
                let result = run(spec);
                if let Ok(mut done) = done.lock() {
                    done.insert(index, result);
                }
            }
        };
        std::thread::scope(|scope| {
            for _ in 0..self.threads.clamp(1, count.max(1)) {
                scope.spawn(work);
            }
        });
        done.into_inner().map(|done| done.into_values().collect()).unwrap_or_default()
    }
}

/// Time in a run that is `seconds` after the end of the warm-up.
#[must_use]
pub fn after_warm_up(seconds: u64) -> Time {
    WARM_UP + Duration::from_secs(seconds)
}
