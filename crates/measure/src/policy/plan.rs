//! Selection of the runs of a measurement, and collection of their results.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::policy::PolicyOptions;
use crate::policy::RunKind;
use crate::policy::fault::Defect;
use crate::policy::fault::Fault;
use crate::policy::kind::Mechanism;
use crate::policy::kind::Policy;
use crate::policy::record::VersionOutcome;
use crate::policy::report::CapacityRow;
use crate::policy::report::DeploymentReport;
use crate::policy::report::FaultTable;
use crate::policy::report::Row;
use crate::policy::report::Table;
use crate::policy::runs::Comparison;
use crate::policy::runs::Outcomes;
use crate::policy::runs::Runner;
use crate::policy::runs::after_warm_up;
use crate::policy::site::Site;
use crate::policy::summary::Spread;
use crate::policy::workload::Workloads;

/// Factor between consecutive rates of the capacity sweep.
const SWEEP_FACTOR: f64 = 1.12;
/// Maximum number of rates in the capacity sweep.
const SWEEP_POINTS: u32 = 24;
/// Measured time at each rate of the capacity sweep.
const SWEEP_DURATION: Duration = Duration::from_secs(480);
/// Minimum share of requests answered in time at a rate within capacity.
const MIN_IN_TIME_SHARE: f64 = 0.99;
/// Rate of the run below capacity, relative to capacity; also the sweep's first rate, relative to the ordinary rate.
const NEAR_CAPACITY_FACTOR: f64 = 0.8;
/// Rate of the overload run relative to capacity.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Maximum number of seeds used in the capacity sweep.
const SWEEP_SEEDS: usize = 2;

/// A fault with its name in the report.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct NamedFault {
    pub name: &'static str,
    pub fault: Fault,
}

/// Executes the selected runs of one deployment.
#[must_use]
pub fn measure(
    name: &str,
    workloads: &Arc<Workloads>,
    site: Site,
    options: &PolicyOptions,
) -> DeploymentReport {
    let site = Arc::new(site);
    let runner = Runner {
        site: site.clone(),
        workloads: workloads.clone(),
        seeds: options.seeds.clone(),
        threads: options.threads,
    };
    let plan = Plan { runner, options };
    let rates = site.deployment.rate_per_s;
    let includes = |kind| options.runs.contains(&kind);
    let mut tables = Vec::new();
    if includes(RunKind::Ordinary) {
        tables.push(plan.table("ordinary", rates.ordinary, plan.all_policies()));
    }
    if includes(RunKind::Peak) {
        tables.push(plan.table("peak", rates.peak, plan.all_policies()));
    }
    let mut capacities = Vec::new();
    if includes(RunKind::Capacity) {
        capacities = plan.capacities();
        let router = capacities.iter().find(|row| row.policy == Policy::Router);
        if let Some(capacity) = router.map(|row| row.rate_per_s) {
            tables.extend(plan.around_capacity(capacity));
        }
    }
    let faults = if includes(RunKind::Faults) { plan.faults(rates.ordinary) } else { Vec::new() };
    let streamed = site.classes.iter().any(|class| class.spec.streamed);
    DeploymentReport { name: name.to_owned(), streamed, tables, capacities, faults }
}

struct Plan<'a> {
    runner: Runner,
    options: &'a PolicyOptions,
}

impl Plan<'_> {
    fn all_policies(&self) -> Vec<Policy> {
        let mut policies = Policy::BASELINES.to_vec();
        policies.push(Policy::Router);
        policies.extend(Mechanism::ALL.map(Policy::Without));
        policies
    }

    fn table(&self, title: &str, rate_per_s: f64, policies: Vec<Policy>) -> Table {
        let comparison = Comparison {
            rate_per_s,
            duration: self.measured_duration(),
            fault: Fault::None,
            policies,
        };
        table(title, rate_per_s, &self.runner.compare(&comparison))
    }

    fn measured_duration(&self) -> Duration {
        Duration::from_secs(60 * self.options.minutes)
    }

    /// Finds each policy's capacity: the highest rate of the sweep at which it answers enough requests in time.
    fn capacities(&self) -> Vec<CapacityRow> {
        let policies = [
            Policy::AlwaysBest,
            Policy::Cheapest,
            Policy::LeastInFlight,
            Policy::FixedByClass,
            Policy::RoundRobinRetries,
            Policy::Router,
        ];
        let mut active: BTreeSet<Policy> = policies.into_iter().collect();
        let mut capacities: BTreeMap<Policy, f64> = BTreeMap::new();
        let runner = self.sweep_runner();
        let mut rate_per_s = self.runner.site.deployment.rate_per_s.ordinary * NEAR_CAPACITY_FACTOR;
        for _ in 0..SWEEP_POINTS {
            let comparison = Comparison {
                rate_per_s,
                duration: SWEEP_DURATION,
                fault: Fault::None,
                policies: active.iter().copied().collect(),
            };
            for (policy, outcomes) in runner.compare(&comparison) {
                let share = outcomes.iter().map(|outcome| outcome.summary.in_time);
                if Spread::over(share).mean >= MIN_IN_TIME_SHARE {
                    capacities.insert(policy, rate_per_s);
                } else {
                    active.remove(&policy);
                }
            }
            if active.is_empty() {
                break;
            }
            rate_per_s *= SWEEP_FACTOR;
        }
        let row = |policy: Policy| CapacityRow {
            rate_per_s: capacities.get(&policy).copied().unwrap_or(0.0),
            policy,
        };
        policies.map(row).into()
    }

    fn sweep_runner(&self) -> Runner {
        let seeds = self.runner.seeds.iter().copied().take(SWEEP_SEEDS);
        Runner { seeds: seeds.collect(), ..self.runner.clone() }
    }

    fn around_capacity(&self, capacity: f64) -> Vec<Table> {
        let near = vec![
            Policy::Router,
            Policy::ReplayedLeastInFlight,
            Policy::LeastInFlight,
            Policy::Without(Mechanism::Affinity),
        ];
        let over = vec![
            Policy::Router,
            Policy::FixedByClass,
            Policy::RoundRobinRetries,
            Policy::Without(Mechanism::AdaptiveLimits),
            Policy::Without(Mechanism::EarlyShedding),
            Policy::Without(Mechanism::FairShare),
        ];
        vec![
            self.table("80% of capacity", capacity * NEAR_CAPACITY_FACTOR, near),
            self.table("capacity", capacity, over.clone()),
            self.table("1.5 times capacity", capacity * OVERLOAD_FACTOR, over),
        ]
    }

    fn faults(&self, rate_per_s: f64) -> Vec<FaultTable> {
        let compared = [
            Policy::AlwaysBest,
            Policy::LeastInFlight,
            Policy::RoundRobinRetries,
            Policy::Router,
            Policy::Without(Mechanism::Retries),
            Policy::Without(Mechanism::Hedging),
        ];
        let faults = named_faults(&self.runner.site);
        let table = |named: &NamedFault| {
            let comparison = Comparison {
                rate_per_s,
                duration: self.measured_duration(),
                fault: named.fault,
                policies: compared.to_vec(),
            };
            let outcomes = self.runner.compare(&comparison);
            let versions = outcomes.get(&Policy::Router).into_iter().flatten();
            FaultTable {
                fault: named.fault,
                versions: versions.map(|outcome| outcome.versions.clone()).collect(),
                table: self::table(named.name, rate_per_s, &outcomes),
            }
        };
        faults.iter().map(table).collect()
    }
}

/// Faults to measure; faulty versions are those of the best or middle model, which most requests use.
fn named_faults(site: &Site) -> Vec<NamedFault> {
    let middle = site.models.len() / 2;
    let best = site.best_model();
    let quality = Defect::Quality(0.4);
    let errors = Defect::Errors(0.5);
    let from = after_warm_up(120);
    let settled = |model, badness| Fault::BadSettled { model, from, badness };
    let canary = |badness| Fault::BadCanary { model: best, badness };
    let cut = Fault::CutDataCentre { data_centre: 1, from, until: after_warm_up(420) };
    let poison = Fault::Poison { first: from, every: Duration::from_secs(15), times: 12 };
    let late = Fault::LateRatings { delay: Duration::from_secs(120) };
    let named = |name, fault| NamedFault { name, fault };
    vec![
        named("one server slow", Fault::SlowServer { model: best, factor: 6.0 }),
        named("a data centre cut off", cut),
        named("canary with bad answers", canary(quality)),
        named("canary that fails", canary(errors)),
        named("good canary", Fault::GoodCanary { model: best }),
        named("best model's settled version: bad answers", settled(best, quality)),
        named("best model's settled version: failures", settled(best, errors)),
        named("middle model's settled version: bad answers", settled(middle, quality)),
        named("a request that crashes engines, resent", poison),
        named("ratings late by two minutes", late),
        named("no ratings", Fault::NoRatings),
    ]
}

fn table(title: &str, rate_per_s: f64, outcomes: &Outcomes) -> Table {
    let rows = outcomes.iter().map(|(policy, outcomes)| {
        let summaries: Vec<_> = outcomes.iter().map(|outcome| outcome.summary.clone()).collect();
        let versions: Vec<VersionOutcome> =
            outcomes.iter().map(|outcome| outcome.versions.clone()).collect();
        Row::new(*policy, &summaries, &versions)
    });
    Table { title: title.to_owned(), rate_per_s, rows: rows.collect() }
}
