//! Targets of the router, each with its measured value.

use std::fmt;

use serde::Serialize;

use crate::policy::fault::Defect;
use crate::policy::fault::Fault;
use crate::policy::kind::Policy;
use crate::policy::record::VersionOutcome;
use crate::policy::report::DeploymentReport;
use crate::policy::report::FaultTable;
use crate::policy::report::Row;
use crate::policy::site::FIRST_STEP_CALLERS;
use crate::policy::summary::QUALITY_TOLERANCE;

/// Maximum 95th percentile of the time to first token, in seconds.
const MAX_FIRST_TOKEN_S: f64 = 0.64;
/// Maximum p99 time to first token relative to least in-flight on the same models.
const MAX_AFFINITY_RATIO: f64 = 0.7;
/// Minimum goodput under overload relative to goodput at capacity.
const MIN_OVERLOAD_GOODPUT: f64 = 0.95;
/// Maximum retries and hedges per dispatched request.
const MAX_RETRY_SHARE: f64 = 0.1;
/// Maximum rated answers before a version with unacceptable answers is vetoed.
const RATED_LIMIT: u64 = 50;
/// Maximum failed answers before a version that fails is vetoed.
const FAILED_LIMIT: u64 = 20;
/// Maximum share of all callers that is exposed to a faulty canary.
const MAX_EXPOSED_SHARE: f64 = 0.01;

/// A target with its bound, measured value and verdict.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    pub deployment: String,
    pub name: String,
    pub bound: String,
    pub measured: String,
    pub met: bool,
}

/// Maximum cost relative to always-best, by deployment.
fn cost_bound(deployment: &str) -> f64 {
    if deployment == "merrimack" { 0.70 } else { 0.40 }
}

/// Compares a deployment's results with the targets; targets whose runs were left out are absent.
#[must_use]
pub fn evaluate(report: &DeploymentReport) -> Vec<Target> {
    let mut targets = Vec::new();
    if let Some(router) = router(report, "ordinary") {
        targets.extend(cost_and_quality(report, router));
    }
    for title in ["ordinary", "peak"] {
        if let Some(router) = router(report, title).filter(|_| report.streamed) {
            let name = format!("first token, 95 in 100, {title}");
            let worst = router.first_token_p95.max;
            targets.push(at_most(report, &name, worst, MAX_FIRST_TOKEN_S, " s"));
        }
    }
    targets.extend(affinity(report));
    targets.extend(overload(report));
    for fault in &report.faults {
        targets.extend(fault_targets(report, fault));
    }
    targets
}

fn router<'a>(report: &'a DeploymentReport, title: &str) -> Option<&'a Row> {
    report.table(title)?.row(Policy::Router)
}

fn cost_and_quality(report: &DeploymentReport, router: &Row) -> Vec<Target> {
    let cost = router.relative_cost;
    let excess = router.excess;
    vec![
        Target {
            deployment: report.name.clone(),
            name: "cost of always-best's, ordinary".to_owned(),
            bound: format!("at most {:.2}", cost_bound(&report.name)),
            measured: format!("{:.3} ({:.3} to {:.3})", cost.mean, cost.min, cost.max),
            met: cost.mean <= cost_bound(&report.name),
        },
        Target {
            deployment: report.name.clone(),
            name: "answers below target above always-best's, ordinary".to_owned(),
            bound: "at most 1 point".to_owned(),
            measured: format!(
                "{:.2} points ({:.2} to {:.2})",
                excess.mean * 100.0,
                excess.min * 100.0,
                excess.max * 100.0
            ),
            met: excess.mean <= QUALITY_TOLERANCE,
        },
        Target {
            deployment: report.name.clone(),
            name: "workspaces beyond that by over two standard errors, ordinary".to_owned(),
            bound: "none".to_owned(),
            measured: format!(
                "{:.2} a run; worst {:.1} standard errors",
                router.workspaces_beyond.mean, router.worst_workspace.max
            ),
            met: router.workspaces_beyond.max < 0.5,
        },
    ]
}

fn affinity(report: &DeploymentReport) -> Option<Target> {
    let table = report.table("80% of capacity").filter(|_| report.streamed)?;
    let router_p99 = table.row(Policy::Router)?.first_token_p99.mean;
    let least_in_flight_p99 = table.row(Policy::ReplayedLeastInFlight)?.first_token_p99.mean;
    let name = "p99 first token of least in-flight's on the same models, 80% load";
    Some(at_most(report, name, router_p99 / least_in_flight_p99.max(1e-9), MAX_AFFINITY_RATIO, ""))
}

fn overload(report: &DeploymentReport) -> Option<Target> {
    let at = router(report, "capacity")?.goodput.mean;
    let over = router(report, "1.5 times capacity")?.goodput.mean;
    Some(Target {
        deployment: report.name.clone(),
        name: "goodput at 1.5 times capacity".to_owned(),
        bound: format!("at least {:.0}% of that at capacity", MIN_OVERLOAD_GOODPUT * 100.0),
        measured: format!("{:.1}% ({over:.1}/s of {at:.1}/s)", over / at * 100.0),
        met: over >= MIN_OVERLOAD_GOODPUT * at,
    })
}

fn fault_targets(report: &DeploymentReport, fault: &FaultTable) -> Vec<Target> {
    let title = &fault.table.title;
    let mut targets = Vec::new();
    if let Some(router) = fault.table.row(Policy::Router) {
        let name = format!("retries' and hedges' share of load: {title}");
        targets.push(at_most(report, &name, router.retry_share.max, MAX_RETRY_SHARE, ""));
    }
    match fault.fault {
        Fault::BadCanary { .. } => targets.push(exposure(report, fault)),
        Fault::BadSettled { badness, .. } => targets.push(veto(report, fault, badness)),
        _ => {}
    }
    let false_vetoes: u64 = fault.versions.iter().map(|outcome| outcome.false_vetoes).sum();
    targets.push(Target {
        deployment: report.name.clone(),
        name: format!("vetoes of good versions: {title}"),
        bound: "none".to_owned(),
        measured: format!("{false_vetoes} over all seeds"),
        met: false_vetoes == 0,
    });
    targets
}

fn exposure(report: &DeploymentReport, fault: &FaultTable) -> Target {
    let exposed = fault.versions.iter().map(|outcome| outcome.exposed).max().unwrap_or(0);
    let callers = fault.versions.iter().map(|outcome| outcome.callers).min().unwrap_or(0);
    let share = exposed as f64 / callers.max(1) as f64;
    let vetoed = fault.versions.iter().filter(|outcome| outcome.vetoed_at.is_some()).count();
    Target {
        deployment: report.name.clone(),
        name: format!("callers exposed: {}", fault.table.title),
        bound: format!("at most {FIRST_STEP_CALLERS} and 1%"),
        measured: format!(
            "{exposed} of {callers} at most; vetoed in {vetoed} of {} runs",
            fault.versions.len()
        ),
        met: exposed <= FIRST_STEP_CALLERS as usize && share <= MAX_EXPOSED_SHARE,
    }
}

fn veto(report: &DeploymentReport, fault: &FaultTable, defect: Defect) -> Target {
    let met = fault.versions.iter().all(|outcome| {
        // Without a veto, the counts cover the whole run and must still be within the bound.
        match defect {
            Defect::Quality(_) => outcome.rated_before <= RATED_LIMIT,
            Defect::Errors(_) => outcome.failed_before <= FAILED_LIMIT,
        }
    });
    let bound = match defect {
        Defect::Quality(_) => format!("within {RATED_LIMIT} rated answers"),
        Defect::Errors(_) => format!("within {FAILED_LIMIT} failed answers"),
    };
    let figure = |outcome: &VersionOutcome| match outcome.vetoed_at {
        Some(_) => format!("{} rated, {} failed", outcome.rated_before, outcome.failed_before),
        None => {
            let VersionOutcome { rated_before, failed_before, .. } = outcome;
            format!("no veto, {rated_before} rated, {failed_before} failed")
        }
    };
    let figures: Vec<String> = fault.versions.iter().map(figure).collect();
    Target {
        deployment: report.name.clone(),
        name: format!("veto: {}", fault.table.title),
        bound,
        measured: figures.join("; "),
        met,
    }
}

fn at_most(report: &DeploymentReport, name: &str, value: f64, bound: f64, unit: &str) -> Target {
    Target {
        deployment: report.name.clone(),
        name: name.to_owned(),
        bound: format!("at most {bound:.2}{unit}"),
        measured: format!("{value:.3}{unit}"),
        met: value <= bound,
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.met { "met   " } else { "missed" };
        let Target { deployment, name, bound, measured, .. } = self;
        write!(f, "{verdict} {deployment}: {name}: {bound}; measured {measured}")
    }
}
