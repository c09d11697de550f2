//! Builds the report from metrics: objectives, how far each was met, and what burnt the error budgets.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::breakdown::Breakdown;
use crate::breakdown::Contributor;
use crate::breakdown::ExposureReport;
use crate::breakdown::HourPoint;
use crate::breakdown::PresetUse;
use crate::breakdown::VersionUse;
use crate::burn::Alarm;
use crate::burn::Burn;
use crate::burn::REPORT_WINDOW;
use crate::burn::WINDOW_PAIRS;
use crate::burn::budget_left;
use crate::calendar::Minute;
use crate::calendar::minute_of;
use crate::calendar::minutes;
use crate::counters::Counters;
use crate::counters::Events;
use crate::distributions::Distributions;
use crate::latencies::Latencies;
use crate::metrics::Metrics;
use crate::objective::Objective;
use crate::objective::Objectives;
use crate::series::SeriesKey;

/// Service-level burn report. Times are in minutes since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub begin: Minute,
    pub end: Minute,
    /// Summary in plain sentences.
    pub summary: Vec<String>,
    pub totals: Counters,
    /// Workspaces, least remaining budget first.
    pub workspaces: Vec<WorkspaceReport>,
    /// Contributors to budget burn, by dimension, largest first.
    pub contributors: Vec<Contributor>,
    pub presets: Vec<PresetUse>,
    pub versions: Vec<VersionUse>,
    pub exposure: Vec<ExposureReport>,
    pub hours: Vec<HourPoint>,
    /// Buckets skipped because a host's clock is ahead.
    pub skipped_buckets: u64,
    /// Hosts whose metrics are included or missing.
    #[serde(default)]
    pub coverage: Coverage,
}

/// Entry hosts whose metrics were requested.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    pub answered: Vec<EntryHostId>,
    /// Known hosts whose metrics are missing.
    pub unanswered: Vec<EntryHostId>,
}

/// Figures of one workspace over the report's window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceReport {
    pub workspace: WorkspaceId,
    pub counters: Counters,
    pub objectives: Vec<ObjectiveReport>,
    pub first_token: Option<Quantiles>,
    pub total: Option<Quantiles>,
}

/// Figures of one objective of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveReport {
    pub objective: Objective,
    /// Target share of good events.
    pub target: f64,
    pub events: Events,
    /// Remaining share of the window's error budget; negative when overspent.
    pub budget_left: f64,
    pub burns: Vec<Burn>,
    /// Most urgent alarm over all window pairs.
    pub alarm: Alarm,
}

/// Median, 95th and 99th percentile of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    pub p50_ms: u64,
    pub p95_ms: u64,
    pub p99_ms: u64,
}

impl Report {
    /// Builds the report for the window that ends at `now`.
    #[must_use]
    pub fn build(metrics: &Metrics, objectives: &Objectives, now: SystemTime) -> Report {
        let end = minute_of(now);
        let windows = WindowCounters::new(metrics, now);
        let distributions = sum_distributions(metrics, now);
        let breakdown = Breakdown::new(metrics, now);
        let mut workspaces: Vec<WorkspaceReport> = windows
            .of(REPORT_WINDOW)
            .iter()
            .map(|(workspace, counters)| {
                let latencies = distributions.get(workspace);
                WorkspaceReport {
                    workspace: workspace.clone(),
                    counters: counters.clone(),
                    objectives: objective_reports(workspace, &windows, objectives),
                    first_token: latencies.and_then(|latencies| quantiles(&latencies.first_token)),
                    total: latencies.and_then(|latencies| quantiles(&latencies.total)),
                }
            })
            .collect();
        workspaces.sort_by(|a, b| a.worst_budget().total_cmp(&b.worst_budget()));
        let mut report = Report {
            begin: end.saturating_sub(minutes(REPORT_WINDOW)),
            end,
            summary: Vec::new(),
            totals: breakdown.totals.clone(),
            workspaces,
            contributors: breakdown.contributors(),
            presets: breakdown.presets(),
            versions: breakdown.versions(),
            exposure: ExposureReport::list(metrics),
            hours: breakdown.hours(),
            skipped_buckets: metrics.skipped_buckets(),
            coverage: Coverage::default(),
        };
        report.summary = crate::summary::sentences(&report);
        report
    }

    /// Sets the hosts that the report covers and updates the summary, which names missing hosts.
    #[must_use]
    pub fn with_coverage(mut self, coverage: Coverage) -> Report {
        self.coverage = coverage;
        self.summary = crate::summary::sentences(&self);
        self
    }

    /// Renders the report as JSON.
    ///
    /// # Errors
    ///
    /// Fails only on a number that JSON cannot represent; a report from [`Report::build`] contains none.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// Objectives with an alarm, most urgent first.
    #[must_use]
    pub fn alarms(&self) -> Vec<(&WorkspaceReport, &ObjectiveReport)> {
        let mut alarms: Vec<_> =
            self.all_objectives().filter(|(_, objective)| objective.alarm != Alarm::None).collect();
        alarms.sort_by_key(|(_, objective)| std::cmp::Reverse(objective.alarm));
        alarms
    }

    /// Every objective of every workspace.
    pub(crate) fn all_objectives(
        &self,
    ) -> impl Iterator<Item = (&WorkspaceReport, &ObjectiveReport)> {
        self.workspaces.iter().flat_map(|workspace| {
            workspace.objectives.iter().map(move |objective| (workspace, objective))
        })
    }
}

impl WorkspaceReport {
    /// Least remaining budget over all objectives.
    pub(crate) fn worst_budget(&self) -> f64 {
        let budgets = self.objectives.iter().map(|objective| objective.budget_left);
        budgets.fold(f64::INFINITY, f64::min)
    }
}

/// Counters by workspace for each window length.
struct WindowCounters {
    by_length: BTreeMap<Duration, BTreeMap<WorkspaceId, Counters>>,
}

impl WindowCounters {
    fn new(metrics: &Metrics, now: SystemTime) -> WindowCounters {
        let lengths = WINDOW_PAIRS.iter().flat_map(|pair| [pair.short, pair.long]);
        let lengths = lengths.chain([REPORT_WINDOW]);
        let by_length = lengths.map(|length| (length, sum_by_workspace(metrics, now, length)));
        WindowCounters { by_length: by_length.collect() }
    }

    fn of(&self, length: Duration) -> &BTreeMap<WorkspaceId, Counters> {
        &self.by_length[&length]
    }

    fn events(&self, length: Duration, workspace: &str, objective: Objective) -> Events {
        let counters = self.of(length).get(workspace);
        counters.map(|counters| counters.events(objective)).unwrap_or_default()
    }
}

fn sum_by_workspace(
    metrics: &Metrics,
    now: SystemTime,
    length: Duration,
) -> BTreeMap<WorkspaceId, Counters> {
    let mut sums: BTreeMap<WorkspaceId, Counters> = BTreeMap::new();
    for timed in metrics.window(now, length) {
        for (key, counters) in timed.series.iter() {
            if let SeriesKey::Workspace(workspace) = key {
                sums.entry(workspace.clone()).or_default().add(counters);
            }
        }
    }
    sums
}

fn sum_distributions(metrics: &Metrics, now: SystemTime) -> BTreeMap<WorkspaceId, Distributions> {
    let mut sums: BTreeMap<WorkspaceId, Distributions> = BTreeMap::new();
    for half_day in metrics.distributions(now, REPORT_WINDOW) {
        for (workspace, distributions) in half_day.iter() {
            sums.entry(workspace.clone()).or_default().merge(distributions);
        }
    }
    sums
}

fn objective_reports(
    workspace: &str,
    windows: &WindowCounters,
    objectives: &Objectives,
) -> Vec<ObjectiveReport> {
    let targets = objectives.of(workspace);
    let report = |objective| {
        let target = targets.target(objective);
        let events = windows.events(REPORT_WINDOW, workspace, objective);
        let burns: Vec<Burn> = WINDOW_PAIRS
            .iter()
            .map(|pair| {
                let short = windows.events(pair.short, workspace, objective);
                let long = windows.events(pair.long, workspace, objective);
                Burn::new(*pair, target, short, long)
            })
            .collect();
        let alarm = burns.iter().map(|burn| burn.alarm).max().unwrap_or(Alarm::None);
        let budget_left = budget_left(events, target);
        ObjectiveReport { objective, target, events, budget_left, burns, alarm }
    };
    Objective::ALL.into_iter().map(report).collect()
}

fn quantiles(latencies: &Latencies) -> Option<Quantiles> {
    let ms = |share| latencies.quantile(share).map(|time| time.as_millis() as u64);
    Some(Quantiles { p50_ms: ms(0.5)?, p95_ms: ms(0.95)?, p99_ms: ms(0.99)? })
}
