//! Summary statistics of a run, and their mean and range over seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::policy::clock::Time;
use crate::policy::record::Record;
use crate::policy::site::Site;
use crate::policy::trace::Arrival;
use crate::policy::world::RunResult;

/// A workspace's quality is compared separately only with more answers than this.
const MIN_WORKSPACE_ANSWERS: usize = 500;
/// Tolerated excess of the unacceptable share over [`Policy::AlwaysBest`](crate::policy::kind::Policy::AlwaysBest).
pub const QUALITY_TOLERANCE: f64 = 0.01;

/// Summary of one run, over the requests that were sent after the warm-up.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Price of all engine work divided by the number of acceptable answers within the deadline.
    pub cost_per_accepted: f64,
    /// `cost_per_accepted` relative to always-best on the same arrivals.
    pub relative_cost: f64,
    /// Share of answers that are not acceptable.
    pub below_target: f64,
    /// Excess of that share over always-best's, over requests that both answered.
    pub excess: f64,
    /// Number of workspaces whose excess is beyond the tolerance by more than two standard errors.
    pub workspaces_beyond: f64,
    /// Largest excess of any workspace beyond the tolerance, in standard errors.
    pub worst_workspace: f64,
    /// Seconds to the first token of streamed answers.
    pub first_token: Quantiles,
    /// Seconds to the complete answer.
    pub total: Quantiles,
    /// Share of requests answered within the deadline.
    pub in_time: f64,
    /// Answers within the deadline per second.
    pub goodput: f64,
    /// Share of the engine cost that was spent on work not delivered to a caller.
    pub wasted: f64,
    /// Retries and hedges per dispatched request.
    pub retry_share: f64,
    /// Cascades per dispatched request.
    pub cascade_share: f64,
    /// Share of answers by model, cheapest first.
    pub models: Vec<f64>,
}

/// Quantiles in seconds; 0 without values.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

/// Mean and range of a statistic over seeds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    pub mean: f64,
    pub min: f64,
    pub max: f64,
}

/// Difference in quality between a policy and always-best in one workspace.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceExcess {
    pub workspace: usize,
    pub answers: usize,
    pub excess: f64,
    pub standard_error: f64,
}

impl Summary {
    /// Summarises a run; `best` is the always-best run on the same arrivals.
    #[must_use]
    pub fn of(
        site: &Site,
        arrivals: &[Arrival],
        result: &RunResult,
        best: &RunResult,
        from: Time,
    ) -> Summary {
        let measured: Vec<usize> =
            (0..arrivals.len()).filter(|index| arrivals[*index].at >= from).collect();
        let records = || measured.iter().map(|index| &result.records[*index]);
        let deadline = site.deadline();
        let workspaces = workspace_excesses(arrivals, &measured, result, best);
        let beyond = workspaces.iter().map(WorkspaceExcess::standard_errors_beyond);
        let answered = records().filter(|record| record.answer.is_some()).count().max(1) as f64;
        let bad = records().filter(|record| record.answer.is_some_and(|a| !a.acceptable)).count();
        let in_time = records().filter(|record| in_time(record, deadline)).count() as f64;
        let cost: f64 = records().map(|record| record.cost).sum();
        let useful: f64 = records().map(|record| record.useful_cost).sum();
        let sent = measured.len().max(1) as f64;
        let dispatched = records().filter(|record| record.attempts.all > 0).count().max(1) as f64;
        let extra: u32 =
            records().map(|record| record.attempts.retries + record.attempts.hedges).sum();
        let cascades: u32 = records().map(|record| record.attempts.cascades).sum();
        let per_accepted = cost_per_accepted(&measured, result, deadline);
        let span = result.duration.saturating_sub(from).as_secs_f64().max(1.0);
        let models = (0..site.models.len()).map(|model| {
            let by = records().filter(|record| record.answer.is_some_and(|a| a.model == model));
            by.count() as f64 / answered
        });
        Summary {
            cost_per_accepted: per_accepted,
            relative_cost: per_accepted / cost_per_accepted(&measured, best, deadline),
            below_target: bad as f64 / answered,
            excess: mean(&differences(&measured, result, best)),
            workspaces_beyond: beyond.clone().filter(|beyond| *beyond > 2.0).count() as f64,
            worst_workspace: beyond.fold(f64::NEG_INFINITY, f64::max).max(-99.0),
            first_token: first_tokens(site, arrivals, &measured, result),
            total: Quantiles::of(
                records()
                    .filter_map(|record| record.answer.map(|answer| answer.after.as_secs_f64())),
            ),
            in_time: in_time / sent,
            goodput: in_time / span,
            wasted: if cost > 0.0 { 1.0 - useful / cost } else { 0.0 },
            retry_share: f64::from(extra) / dispatched,
            cascade_share: f64::from(cascades) / dispatched,
            models: models.collect(),
        }
    }
}

impl Quantiles {
    fn of(values: impl Iterator<Item = f64>) -> Quantiles {
        let mut values: Vec<f64> = values.collect();
        values.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let index = (values.len() as f64 * share) as usize;
            values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
        };
        Quantiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

impl Spread {
    /// Spread of a statistic over runs.
    #[must_use]
    pub fn of(summaries: &[Summary], figure: impl Fn(&Summary) -> f64) -> Spread {
        Spread::over(summaries.iter().map(figure))
    }

    /// Spread of values.
    #[must_use]
    pub fn over(values: impl Iterator<Item = f64>) -> Spread {
        let values: Vec<f64> = values.collect();
        Spread {
            mean: mean(&values),
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

impl WorkspaceExcess {
    /// Excess beyond the tolerance, in standard errors.
    #[must_use]
    pub fn standard_errors_beyond(&self) -> f64 {
        (self.excess - QUALITY_TOLERANCE) / self.standard_error.max(1e-9)
    }
}

/// Excess of each workspace that has more than `MIN_WORKSPACE_ANSWERS` answers.
#[must_use]
pub fn workspace_excesses(
    arrivals: &[Arrival],
    measured: &[usize],
    result: &RunResult,
    best: &RunResult,
) -> Vec<WorkspaceExcess> {
    let mut by_workspace: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for index in measured {
        by_workspace.entry(arrivals[*index].workspace).or_default().push(*index);
    }
    let excess = |(workspace, indexes): (usize, Vec<usize>)| {
        let differences = differences(&indexes, result, best);
        let answers = differences.len();
        let excess = mean(&differences);
        let squares = differences.iter().map(|difference| (difference - excess).powi(2));
        let variance = squares.sum::<f64>() / answers.saturating_sub(1).max(1) as f64;
        let standard_error = (variance / answers.max(1) as f64).sqrt();
        WorkspaceExcess { workspace, answers, excess, standard_error }
    };
    let excesses = by_workspace.into_iter().map(excess);
    excesses.filter(|excess| excess.answers > MIN_WORKSPACE_ANSWERS).collect()
}

/// Time to first token of streamed answers; callers of other answers do not see it.
fn first_tokens(
    site: &Site,
    arrivals: &[Arrival],
    measured: &[usize],
    result: &RunResult,
) -> Quantiles {
    let streamed =
        measured.iter().filter(|index| site.classes[arrivals[**index].class].spec.streamed);
    Quantiles::of(streamed.filter_map(|index| {
        let record = &result.records[*index];
        record.answer.and(record.first_token).map(|after| after.as_secs_f64())
    }))
}

/// Whether a request was answered within its deadline, with a tolerance of 10 ms.
#[must_use]
pub fn in_time(record: &Record, deadline: Duration) -> bool {
    record.answer.is_some_and(|answer| answer.after <= deadline + Duration::from_millis(10))
}

fn cost_per_accepted(measured: &[usize], result: &RunResult, deadline: Duration) -> f64 {
    let records = || measured.iter().map(|index| &result.records[*index]);
    let cost: f64 = records().map(|record| record.cost).sum();
    let accepted = records().filter(|record| {
        in_time(record, deadline) && record.answer.is_some_and(|answer| answer.acceptable)
    });
    cost / accepted.count().max(1) as f64
}

/// For each request that both answered: 1 if only this policy's answer is unacceptable, -1 if only always-best's is.
fn differences(measured: &[usize], result: &RunResult, best: &RunResult) -> Vec<f64> {
    let both = measured.iter().filter_map(|index| {
        let answer = result.records[*index].answer?;
        let reference = best.records[*index].answer?;
        Some(f64::from(i8::from(reference.acceptable) - i8::from(answer.acceptable)))
    });
    both.collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
