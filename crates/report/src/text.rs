//! Renders the report for a terminal.

use std::fmt::Write;

use crate::calendar::minute_text;
use crate::format::count;
use crate::format::money;
use crate::format::percent;
use crate::format::printable;
use crate::format::rate;
use crate::format::window;
use crate::report::Report;
use crate::table::Table;
use crate::table::contributors_table;
use crate::table::exposure_table;
use crate::table::latency_table;
use crate::table::objectives_table;
use crate::table::presets_table;
use crate::table::versions_table;

impl Report {
    /// Renders the report as plain text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let begin = minute_text(self.begin);
        let end = minute_text(self.end);
        push_line(&mut text, &format!("Service-level burn report, {begin} to {end} UTC"));
        push_line(&mut text, "");
        for sentence in &self.summary {
            push_line(&mut text, &printable(sentence));
        }
        for (workspace, objective) in self.alarms() {
            let burns = objective.burns.iter().filter(|burn| burn.alarm == objective.alarm);
            for burn in burns {
                let line = format!(
                    "{}: {}, {}: burn rate {} over {} and {} over {}, alarm threshold {}",
                    objective.alarm.title().to_uppercase(),
                    printable(&workspace.workspace),
                    objective.objective.title(),
                    rate(burn.short_rate),
                    window(burn.short_minutes),
                    rate(burn.long_rate),
                    window(burn.long_minutes),
                    rate(burn.threshold),
                );
                push_line(&mut text, &line);
            }
        }
        let totals = &self.totals;
        push_line(
            &mut text,
            &format!(
                "\nCost {} of {} ({} requests, {} rated, {} callers' own faults)",
                money(totals.cost),
                money(totals.best_cost),
                count(totals.requests()),
                count(totals.rated),
                count(totals.callers_faults),
            ),
        );
        for table in [
            objectives_table(self),
            latency_table(self),
            contributors_table(self),
            versions_table(self),
            presets_table(self),
            exposure_table(self),
        ] {
            push_table(&mut text, &table);
        }
        text
    }
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}

/// Appends a table with columns as wide as their widest cell; text is left-aligned, numbers are right-aligned.
fn push_table(text: &mut String, table: &Table) {
    if table.rows.is_empty() {
        return;
    }
    push_line(text, &format!("\n{}", table.title));
    let all = || std::iter::once(&table.head).chain(&table.rows);
    let widths: Vec<usize> = (0..table.head.len())
        .map(|column| all().map(|row| printable(&row[column]).chars().count()).max().unwrap_or(0))
        .collect();
    for row in all() {
        let mut line = String::new();
        for (column, (cell, width)) in row.iter().zip(&widths).enumerate() {
            let cell = printable(cell);
            let written = if table.is_text(column) {
                write!(line, "{cell:<width$}  ")
            } else {
                write!(line, "{cell:>width$}  ")
            };
            written.expect("writing to memory does not fail");
        }
        push_line(text, line.trim_end());
    }
}

/// Formats a share as a percentage, or a dash if there is none.
pub(crate) fn percent_or_dash(share: Option<f64>) -> String {
    share.map_or_else(|| "-".to_owned(), percent)
}
