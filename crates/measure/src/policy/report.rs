//! Report of a measurement, printed as text or JSON.

use std::fmt;

use serde::Serialize;

use crate::policy::fault::Fault;
use crate::policy::kind::Policy;
use crate::policy::record::VersionOutcome;
use crate::policy::summary::Spread;
use crate::policy::summary::Summary;
use crate::policy::targets::Target;

/// Results of the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    pub seeds: Vec<u64>,
    /// Simulated minutes of each run after its warm-up.
    pub minutes: u64,
    pub deployments: Vec<DeploymentReport>,
    pub targets: Vec<Target>,
}

/// Results for one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct DeploymentReport {
    pub name: String,
    /// Whether any request class of the deployment is streamed.
    pub streamed: bool,
    pub tables: Vec<Table>,
    pub capacities: Vec<CapacityRow>,
    pub faults: Vec<FaultTable>,
}

/// Results of several policies on the same arrivals.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    pub title: String,
    pub rate_per_s: f64,
    pub rows: Vec<Row>,
}

/// Results of one policy, each as the mean and range over seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub policy: Policy,
    pub cost_per_accepted: Spread,
    pub relative_cost: Spread,
    pub below_target: Spread,
    pub excess: Spread,
    pub workspaces_beyond: Spread,
    pub worst_workspace: Spread,
    pub first_token_p50: Spread,
    pub first_token_p95: Spread,
    pub first_token_p99: Spread,
    pub total_p50: Spread,
    pub total_p95: Spread,
    pub total_p99: Spread,
    pub in_time: Spread,
    pub goodput: Spread,
    pub wasted: Spread,
    pub retry_share: Spread,
    pub cascade_share: Spread,
    /// Vetoes of versions that were not faulty, over all seeds.
    pub false_vetoes: u64,
    /// Share of answers by model, cheapest first; means over seeds.
    pub models: Vec<f64>,
}

/// Capacity of a policy: the highest rate of the sweep at which 99% of requests are answered in time.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityRow {
    pub policy: Policy,
    pub rate_per_s: f64,
}

/// Results of several policies under a fault.
#[derive(Clone, Debug, Serialize)]
pub struct FaultTable {
    pub fault: Fault,
    pub table: Table,
    /// Version outcomes under the router, one per seed.
    pub versions: Vec<VersionOutcome>,
}

impl Row {
    #[must_use]
    pub fn new(policy: Policy, summaries: &[Summary], versions: &[VersionOutcome]) -> Row {
        let of = |figure: fn(&Summary) -> f64| Spread::of(summaries, figure);
        let count = summaries.first().map_or(0, |summary| summary.models.len());
        let models = (0..count).map(|model| Spread::of(summaries, |s| s.models[model]).mean);
        Row {
            policy,
            cost_per_accepted: of(|s| s.cost_per_accepted),
            relative_cost: of(|s| s.relative_cost),
            below_target: of(|s| s.below_target),
            excess: of(|s| s.excess),
            workspaces_beyond: of(|s| s.workspaces_beyond),
            worst_workspace: of(|s| s.worst_workspace),
            first_token_p50: of(|s| s.first_token.p50),
            first_token_p95: of(|s| s.first_token.p95),
            first_token_p99: of(|s| s.first_token.p99),
            total_p50: of(|s| s.total.p50),
            total_p95: of(|s| s.total.p95),
            total_p99: of(|s| s.total.p99),
            in_time: of(|s| s.in_time),
            goodput: of(|s| s.goodput),
            wasted: of(|s| s.wasted),
            retry_share: of(|s| s.retry_share),
            cascade_share: of(|s| s.cascade_share),
            false_vetoes: versions.iter().map(|outcome| outcome.false_vetoes).sum(),
            models: models.collect(),
        }
    }
}

impl Table {
    /// Returns the row of a policy.
    #[must_use]
    pub fn row(&self, policy: Policy) -> Option<&Row> {
        self.rows.iter().find(|row| row.policy == policy)
    }
}

impl DeploymentReport {
    /// Returns the table with a title.
    #[must_use]
    pub fn table(&self, title: &str) -> Option<&Table> {
        self.tables.iter().find(|table| table.title == title)
    }
}

impl fmt::Display for PolicyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seeds {:?}, {} simulated minutes after a warm-up of 10; figures: mean (lowest to highest)",
            self.seeds, self.minutes
        )?;
        for deployment in &self.deployments {
            write!(f, "\n{deployment}")?;
        }
        writeln!(f, "\ntargets")?;
        for target in &self.targets {
            writeln!(f, "  {target}")?;
        }
        Ok(())
    }
}

impl fmt::Display for DeploymentReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "== {} ==", self.name)?;
        for table in &self.tables {
            writeln!(f, "{table}")?;
        }
        if !self.capacities.is_empty() {
            writeln!(f, "capacity: highest rate with 99% in time")?;
        }
        for row in &self.capacities {
            writeln!(f, "  {:<32} {:>7.1}/s", row.policy, row.rate_per_s)?;
        }
        for fault in &self.faults {
            write!(f, "\n{}", fault.table)?;
            for outcome in &fault.versions {
                writeln!(f, "  router, one seed: {outcome}")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} ({:.1} requests a second)", self.title, self.rate_per_s)?;
        writeln!(
            f,
            "  {:<32} {:>18} {:>18} {:>20} {:>6} {:>15} {:>18} {:>6} {:>7} {:>6} {:>6} {:>6} {:>6}  models",
            "policy",
            "cost/best",
            "below target",
            "points above best",
            "wsp",
            "first p50/95/99",
            "total p50/95/99",
            "in t.",
            "good/s",
            "waste",
            "retry",
            "casc.",
            "vetoes"
        )?;
        self.rows.iter().try_for_each(|row| writeln!(f, "  {row}"))
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |spread: &Spread| {
            let Spread { mean, min, max } = spread;
            format!("{:.1} ({:.1} to {:.1})", mean * 100.0, min * 100.0, max * 100.0)
        };
        let Spread { mean, min, max } = self.relative_cost;
        let first = [&self.first_token_p50, &self.first_token_p95, &self.first_token_p99];
        let total = [&self.total_p50, &self.total_p95, &self.total_p99];
        let seconds = |spreads: [&Spread; 3], digits: usize| {
            let texts = spreads.map(|spread| format!("{:.*}", digits, spread.mean));
            texts.join("/")
        };
        let models: Vec<String> =
            self.models.iter().map(|share| format!("{:.0}", share * 100.0)).collect();
        write!(
            f,
            "{:<32} {:>18} {:>18} {:>20} {:>6.1} {:>15} {:>18} {:>6.1} {:>7.1} {:>6.1} {:>6.1} {:>6.1} {:>6}  {}",
            self.policy,
            format!("{mean:.2} ({min:.2} to {max:.2})"),
            percent(&self.below_target),
            percent(&self.excess),
            self.workspaces_beyond.mean,
            seconds(first, 2),
            seconds(total, 1),
            self.in_time.mean * 100.0,
            self.goodput.mean,
            self.wasted.mean * 100.0,
            self.retry_share.mean * 100.0,
            self.cascade_share.mean * 100.0,
            self.false_vetoes,
            models.join("/"),
        )
    }
}

impl fmt::Display for VersionOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.vetoed_at {
            Some(at) => write!(
                f,
                "vetoed at {} s after {} rated and {} failed answers; ",
                at.as_secs(),
                self.rated_before,
                self.failed_before
            )?,
            None => write!(
                f,
                "not vetoed, {} rated and {} failed answers; ",
                self.rated_before, self.failed_before
            )?,
        }
        write!(
            f,
            "{} of {} callers exposed, {} vetoes of good versions, rolled out: {}",
            self.exposed, self.callers, self.false_vetoes, self.settled
        )
    }
}
