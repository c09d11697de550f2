//! Tables of the report, shared by the text and HTML renderers.

use crate::calendar::minute_text;
use crate::format::count;
use crate::format::money;
use crate::format::ms;
use crate::format::percent;
use crate::format::rate;
use crate::format::window;
use crate::report::Quantiles;
use crate::report::Report;
use crate::text::percent_or_dash;

/// A table whose cells are not escaped.
pub(crate) struct Table {
    pub(crate) title: &'static str,
    /// Number of leading text columns; the others hold numbers.
    text_columns: usize,
    pub(crate) head: Vec<String>,
    pub(crate) rows: Vec<Vec<String>>,
}

impl Table {
    fn new(title: &'static str, text_columns: usize, head: &[&str]) -> Table {
        let head = head.iter().map(|cell| (*cell).to_owned()).collect();
        Table { title, text_columns, head, rows: Vec::new() }
    }

    pub(crate) fn is_text(&self, column: usize) -> bool {
        column < self.text_columns
    }
}

/// Objectives that have events, with their budgets and burn rates.
pub(crate) fn objectives_table(report: &Report) -> Table {
    let head = ["workspace", "objective", "alarm", "target", "good", "events", "budget left"];
    let mut table = Table::new("Objectives, with burn rates over short/long windows", 3, &head);
    let burns = report.workspaces.iter().flat_map(|workspace| &workspace.objectives).next();
    for burn in burns.map(|objective| objective.burns.as_slice()).unwrap_or_default() {
        table.head.push(format!("{}/{}", window(burn.short_minutes), window(burn.long_minutes)));
    }
    for (workspace, objective) in report.all_objectives() {
        if objective.events.total == 0 {
            continue;
        }
        let mut row = vec![
            workspace.workspace.clone(),
            objective.objective.title().to_owned(),
            objective.alarm.title().to_owned(),
            percent(objective.target),
            percent(1.0 - objective.events.bad_share()),
            count(objective.events.total),
            percent(objective.budget_left),
        ];
        let burns = objective.burns.iter();
        row.extend(burns.map(|burn| format!("{}/{}", rate(burn.short_rate), rate(burn.long_rate))));
        table.rows.push(row);
    }
    table
}

/// Latencies by workspace.
pub(crate) fn latency_table(report: &Report) -> Table {
    let head = ["workspace", "first token p50", "p95", "p99", "whole answer p50", "p95", "p99"];
    let mut table = Table::new("Latency", 1, &head);
    for workspace in &report.workspaces {
        let mut row = vec![workspace.workspace.clone()];
        row.extend(quantile_cells(workspace.first_token));
        row.extend(quantile_cells(workspace.total));
        table.rows.push(row);
    }
    table
}

fn quantile_cells(quantiles: Option<Quantiles>) -> [String; 3] {
    match quantiles {
        Some(found) => [ms(found.p50_ms), ms(found.p95_ms), ms(found.p99_ms)],
        None => ["-", "-", "-"].map(str::to_owned),
    }
}

/// Largest contributors to budget burn.
pub(crate) fn contributors_table(report: &Report) -> Table {
    let head = ["by", "name", "bad events", "of all bad", "of requests"];
    let mut table = Table::new("What burnt the budgets", 2, &head);
    for contributor in &report.contributors {
        table.rows.push(vec![
            contributor.dimension.title().to_owned(),
            contributor.name.clone(),
            count(contributor.bad),
            percent(contributor.bad_share),
            percent_or_dash(contributor.traffic_share),
        ]);
    }
    table
}

/// Versions in use.
pub(crate) fn versions_table(report: &Report) -> Table {
    let head = ["version", "from", "to", "requests", "share", "not acceptable", "rated", "cost"];
    let mut table = Table::new("Versions in use", 3, &head);
    for version in &report.versions {
        let counters = &version.counters;
        let rated = counters.rated;
        let unacceptable = (rated > 0).then(|| counters.unacceptable as f64 / rated as f64);
        table.rows.push(vec![
            version.model_version.to_string(),
            minute_text(version.first),
            minute_text(version.last),
            count(counters.requests()),
            percent(version.traffic_share),
            percent_or_dash(unacceptable),
            count(rated),
            money(counters.cost),
        ]);
    }
    table
}

/// Presets in force.
pub(crate) fn presets_table(report: &Report) -> Table {
    let head = ["preset", "from", "to", "revisions", "requests"];
    let mut table = Table::new("Presets in force", 3, &head);
    for preset in &report.presets {
        table.rows.push(vec![
            preset.preset.clone(),
            minute_text(preset.first),
            minute_text(preset.last),
            preset.revisions.map_or_else(
                || "-".to_owned(),
                |revisions| format!("{} to {}", revisions.first, revisions.last),
            ),
            count(preset.requests),
        ]);
    }
    table
}

/// Callers exposed to versions.
pub(crate) fn exposure_table(report: &Report) -> Table {
    let head = ["version", "first exposed", "vetoed", "callers until the veto, at most"];
    let mut table = Table::new("Exposure in roll-outs", 3, &head);
    for row in &report.exposure {
        table.rows.push(vec![
            row.model_version.to_string(),
            minute_text(row.since),
            row.vetoed.map_or_else(|| "no".to_owned(), minute_text),
            count(row.callers),
        ]);
    }
    table
}
