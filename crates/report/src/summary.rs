//! Summary sentences at the top of a report.

use crate::burn::Alarm;
use crate::calendar::minute_text;
use crate::counters::Counters;
use crate::format::count;
use crate::format::money;
use crate::format::percent;
use crate::report::ObjectiveReport;
use crate::report::Report;
use crate::report::WorkspaceReport;

/// Overspent objectives that the summary names individually.
const NAMED_LIMIT: usize = 4;

/// Builds the summary. Names in it are not escaped.
pub(crate) fn sentences(report: &Report) -> Vec<String> {
    let mut sentences = vec![traffic(report)];
    if report.totals.requests() > 0 {
        sentences.extend(budgets(report));
        sentences.push(alarms(report));
    }
    sentences.extend(cost(&report.totals));
    sentences.extend(exposure(report));
    sentences.extend(coverage(report));
    if report.skipped_buckets > 0 {
        let skipped = count(report.skipped_buckets);
        sentences.push(format!(
            "{skipped} time buckets of hosts whose clock is ahead were left out; check those clocks."
        ));
    }
    sentences
}

fn traffic(report: &Report) -> String {
    let end = minute_text(report.end);
    let totals = &report.totals;
    if totals.requests() == 0 {
        return format!("No requests were counted in the 3 days to {end} UTC.");
    }
    let completed_share = totals.completed as f64 / totals.requests() as f64;
    format!(
        "In the 3 days to {end} UTC, {} requests were handled: {} were answered whole, {} were refused without being \
         run, and {} were sent and failed.",
        count(totals.requests()),
        percent(completed_share),
        count(totals.refused),
        count(totals.failed),
    )
}

fn budgets(report: &Report) -> Vec<String> {
    let overspent: Vec<_> =
        report.all_objectives().filter(|(_, objective)| objective.budget_left < 0.0).collect();
    let kept = report.workspaces.iter().filter(|workspace| workspace.worst_budget() >= 0.0).count();
    let mut sentences = vec![format!(
        "{kept} of {} workspaces kept all their objectives.",
        report.workspaces.len()
    )];
    let mut worst = overspent.clone();
    worst.sort_by(|(_, a), (_, b)| a.budget_left.total_cmp(&b.budget_left));
    sentences.extend(
        worst
            .iter()
            .take(NAMED_LIMIT)
            .map(|(workspace, objective)| overspent_sentence(workspace, objective)),
    );
    if worst.len() > NAMED_LIMIT {
        let more = worst.len() - NAMED_LIMIT;
        sentences.push(format!("{more} more objectives were missed; the table lists them."));
    }
    sentences
}

fn overspent_sentence(workspace: &WorkspaceReport, objective: &ObjectiveReport) -> String {
    format!(
        "{} missed '{}': {} of {} were good, where {} were promised.",
        workspace.workspace,
        objective.objective.title(),
        percent(1.0 - objective.events.bad_share()),
        count(objective.events.total),
        percent(objective.target),
    )
}

fn alarms(report: &Report) -> String {
    let alarms = report.alarms();
    let pages = alarms.iter().filter(|(_, objective)| objective.alarm == Alarm::Page).count();
    let tickets = alarms.len() - pages;
    if alarms.is_empty() {
        return "No budget is being used up too fast at the moment.".to_owned();
    }
    format!(
        "At the moment, budgets are being used up too fast: {pages} to page for, {tickets} for a ticket."
    )
}

fn cost(totals: &Counters) -> Option<String> {
    if totals.best_cost == 0 {
        return None;
    }
    let ratio = totals.cost as f64 / totals.best_cost as f64;
    Some(format!(
        "Answers cost {}; the best allowed model alone would have cost {}, so the bill was {} of that.",
        money(totals.cost),
        money(totals.best_cost),
        percent(ratio),
    ))
}

fn exposure(report: &Report) -> Option<String> {
    let bad: Vec<_> = report.exposure.iter().filter(|row| row.vetoed.is_some()).collect();
    if bad.is_empty() {
        return None;
    }
    let callers: u64 = bad.iter().map(|row| row.callers).sum();
    let versions = if bad.len() == 1 { "version" } else { "versions" };
    let were = if callers == 1 { "caller was" } else { "callers were" };
    Some(format!(
        "At most {} {were} exposed to {} {versions} that turned out bad.",
        count(callers),
        bad.len()
    ))
}

fn coverage(report: &Report) -> Option<String> {
    let coverage = &report.coverage;
    let asked = coverage.answered.len() + coverage.unanswered.len();
    if asked == 0 {
        return None;
    }
    if coverage.unanswered.is_empty() {
        return Some(format!("The report covers all {asked} entry hosts."));
    }
    Some(format!(
        "The report covers {} of {asked} entry hosts; no metrics came from {}.",
        coverage.answered.len(),
        coverage.unanswered.join(", ")
    ))
}
