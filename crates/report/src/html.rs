//! Renders the report as a self-contained, printable HTML page: styles and plots are inline and there are no scripts.

use std::fmt::Write;

use crate::breakdown::HourPoint;
use crate::calendar::minute_text;
use crate::format::escaped;
use crate::format::percent;
use crate::objective::Objective;
use crate::observation::NANO_PER_UNIT;
use crate::report::Report;
use crate::svg::Bar;
use crate::svg::Line;
use crate::svg::bar_plot;
use crate::svg::line_plot;
use crate::table::Table;
use crate::table::contributors_table;
use crate::table::exposure_table;
use crate::table::latency_table;
use crate::table::objectives_table;
use crate::table::presets_table;
use crate::table::versions_table;

/// Maximum bars in one plot.
const BARS_LIMIT: usize = 12;
/// Lowest remaining share of a budget that a bar shows: a lower value would make all other bars too short to compare.
const BUDGET_BAR_MIN: f64 = -2.0;
const STYLE: &str = include_str!("report.css");

impl Report {
    /// Renders the report as an HTML page.
    #[must_use]
    pub fn to_html(&self) -> String {
        let begin = minute_text(self.begin);
        let end = minute_text(self.end);
        let mut html = format!(
            "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
             <title>Service-level burn report, {end} UTC</title>\n<style>\n{STYLE}</style>\n</head>\n<body>\n\
             <h1>Service-level burn report</h1>\n<p class=\"window\">{begin} to {end} UTC (3 days)</p>\n"
        );
        for sentence in &self.summary {
            let _ = writeln!(html, "<p class=\"summary\">{}</p>", escaped(sentence));
        }
        push_figure(&mut html, "Error budget left, least first", &self.budget_plot());
        push_figure(&mut html, "Share of events that burnt a budget, by hour", &self.bad_plot());
        push_figure(&mut html, "What burnt the budgets", &self.contributor_plot());
        push_figure(
            &mut html,
            "Cost by hour, and with the best model alone (the first and last hour are not whole)",
            &self.cost_plot(),
        );
        for table in [
            objectives_table(self),
            latency_table(self),
            contributors_table(self),
            versions_table(self),
            presets_table(self),
            exposure_table(self),
        ] {
            push_table(&mut html, &table);
        }
        html.push_str(NOTES);
        html.push_str("</body>\n</html>\n");
        html
    }

    fn budget_plot(&self) -> String {
        let mut rows: Vec<_> =
            self.all_objectives().filter(|(_, objective)| objective.events.total > 0).collect();
        rows.sort_by(|(_, a), (_, b)| a.budget_left.total_cmp(&b.budget_left));
        let bars = rows.into_iter().take(BARS_LIMIT).map(|(workspace, objective)| Bar {
            name: format!("{}: {}", workspace.workspace, objective.objective.title()),
            value: objective.budget_left.max(BUDGET_BAR_MIN),
            label: percent(objective.budget_left),
            is_bad: objective.budget_left < 0.0,
        });
        bar_plot("Error budget left", &bars.collect::<Vec<_>>())
    }

    fn bad_plot(&self) -> String {
        let lines = Objective::ALL.map(|objective| Line {
            name: objective.title().to_owned(),
            points: self.points(|hour| hour.counters.events(objective).bad_share()),
        });
        line_plot("Share of bad events by hour", &lines, percent)
    }

    fn contributor_plot(&self) -> String {
        let bars = self.contributors.iter().take(BARS_LIMIT).map(|contributor| Bar {
            name: format!("{} {}", contributor.dimension.title(), contributor.name),
            value: contributor.bad_share,
            label: percent(contributor.bad_share),
            is_bad: contributor
                .traffic_share
                .is_some_and(|share| contributor.bad_share > 2.0 * share),
        });
        bar_plot("Share of all bad events", &bars.collect::<Vec<_>>())
    }

    fn cost_plot(&self) -> String {
        let units = |nano: u64| nano as f64 / NANO_PER_UNIT;
        let lines = [
            Line {
                name: "as routed".to_owned(),
                points: self.points(|hour| units(hour.counters.cost)),
            },
            Line {
                name: "best model alone".to_owned(),
                points: self.points(|hour| units(hour.counters.best_cost)),
            },
        ];
        line_plot("Cost by hour", &lines, money_text)
    }

    fn points(&self, value: impl Fn(&HourPoint) -> f64) -> Vec<(u64, f64)> {
        self.hours.iter().map(|hour| (hour.begin, value(hour))).collect()
    }
}

const NOTES: &str = "<p class=\"notes\">A budget is the share of events that an objective allows to be bad. A burn \
    rate of 1 uses it up exactly; alarms need both windows of a pair (The Site Reliability Workbook, 2018, chapter 5). \
    Requests refused for the callers' own faults are left out. In the bars of what burnt the budgets, the darker red \
    ones have more than twice their share of the requests. Callers exposed are summed over entry hosts, so the figure \
    is an upper bound.</p>\n";

fn push_figure(html: &mut String, title: &str, svg: &str) {
    if svg.is_empty() {
        return;
    }
    let _ = writeln!(html, "<figure>\n<figcaption>{title}</figcaption>\n{svg}</figure>");
}

fn push_table(html: &mut String, table: &Table) {
    if table.rows.is_empty() {
        return;
    }
    let _ = write!(html, "<h2>{}</h2>\n<table>\n<thead>", escaped(table.title));
    push_row(html, table, &table.head, "th");
    html.push_str("</thead>\n<tbody>\n");
    for row in &table.rows {
        push_row(html, table, row, "td");
    }
    html.push_str("</tbody>\n</table>\n");
}

fn push_row(html: &mut String, table: &Table, row: &[String], tag: &str) {
    html.push_str("<tr>");
    for (column, cell) in row.iter().enumerate() {
        let class = if table.is_text(column) { "text" } else { "number" };
        let _ = write!(html, "<{tag} class=\"{class}\">{}</{tag}>", escaped(cell));
    }
    html.push_str("</tr>\n");
}

/// Formats money for an axis; amounts below 1 get more decimals, so that neighbouring labels differ.
fn money_text(value: f64) -> String {
    if value < 1.0 { format!("{value:.4}") } else { format!("{value:.2}") }
}
