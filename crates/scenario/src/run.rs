//! Runs a scenario and checks its expectations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use foxtailhoist_host::EntryHost;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Ran;

use crate::Scenario;
use crate::Trace;
use crate::Violation;
use crate::World;
use crate::observations::RequestOutcome;
use crate::spec::AnswersExpected;
use crate::spec::Expectation;

/// Result of a run.
pub struct RunReport {
    pub trace: Trace,
    pub violations: Vec<Violation>,
    /// Events handled.
    pub steps: u64,
}

/// Runs a scenario to its end.
///
/// # Panics
///
/// Panics when an invariant inside an entry host is violated.
#[must_use]
pub fn run(scenario: &Scenario) -> RunReport {
    let mut world = World::new(scenario.world());
    for timed in &scenario.acts {
        world.act_at(timed.at.0, timed.act.clone());
    }
    world.run_until(scenario.until.0, u64::MAX);
    world.check_unanswered();
    world.check_bills();
    let mut violations = world.observations().violations.clone();
    for expectation in &scenario.expect {
        violations.extend(check(&world, scenario, expectation));
    }
    RunReport { trace: world.trace().clone(), violations, steps: world.steps() }
}

fn check(world: &World, scenario: &Scenario, expectation: &Expectation) -> Vec<Violation> {
    let mut failures = FailureCollector::default();
    match expectation {
        Expectation::Answers(expected) => check_answers(world, scenario, expected, &mut failures),
        Expectation::VersionsUsed(expected) => {
            let seen: BTreeSet<ModelVersion> =
                world.observations().versions.keys().cloned().collect();
            failures.require(
                seen == *expected,
                format!("work for {expected:?}"),
                format!("{seen:?}"),
            );
        }
        Expectation::NoWorkAfter { version, after } => {
            let last =
                world.observations().versions.get(version).and_then(|used| used.last_dispatch);
            let holds = last.is_none_or(|last| last <= after.0);
            failures.require(
                holds,
                format!("no work for {version} after {after}"),
                format!("work at {last:?}"),
            );
        }
        Expectation::WorkAfter { version, after } => {
            let last =
                world.observations().versions.get(version).and_then(|used| used.last_dispatch);
            let holds = last.is_some_and(|last| last > after.0);
            failures.require(
                holds,
                format!("work for {version} after {after}"),
                format!("last at {last:?}"),
            );
        }
        Expectation::ExposedAtMost { version, callers } => {
            let seen =
                world.observations().versions.get(version).map_or(0, |used| used.callers.len());
            failures.require(
                seen <= *callers,
                format!("at most {callers} callers on {version}"),
                format!("{seen}"),
            );
        }
        Expectation::Revision(expected) => {
            failures.require_on_each_host(world, &format!("revision {expected}"), |host| {
                let revision = host.configuration().map(|configuration| configuration.revision);
                (revision == Some(*expected)).then_some(()).ok_or_else(|| format!("{revision:?}"))
            })
        }
        Expectation::Preset(expected) => {
            failures.require_on_each_host(world, &format!("preset {expected}"), |host| {
                let preset = host.configuration().map(|configuration| configuration.preset.clone());
                (preset.as_ref() == Some(expected))
                    .then_some(())
                    .ok_or_else(|| format!("{preset:?}"))
            })
        }
        Expectation::Bills { workspace, count } => {
            let seen = world.bills().get(workspace).copied().unwrap_or(0);
            failures.require(
                seen == *count,
                format!("{count} bills for {workspace}"),
                format!("{seen}"),
            );
        }
        Expectation::RunsEachAtMost(most) => {
            let seen = world.observations().runs.values().max().copied().unwrap_or(0);
            failures.require(
                seen <= *most,
                format!("at most {most} runs of a key"),
                format!("{seen}"),
            );
        }
        Expectation::Runs(expected) => {
            let seen: u32 = world.observations().runs.values().sum();
            failures.require(seen == *expected, format!("{expected} runs"), format!("{seen}"));
        }
        Expectation::Commands { done, refused } => {
            let replies = &world.observations().replies;
            let seen_done = replies.iter().filter(|reply| reply.is_ok()).count();
            let seen_refused = replies.len() - seen_done;
            let holds = (seen_done, seen_refused) == (*done, *refused);
            let seen = format!("{seen_done} done, {seen_refused} refused");
            failures.require(holds, format!("{done} commands done, {refused} refused"), seen);
        }
        Expectation::Vetoed(expected) => {
            failures.require_on_each_host(world, &format!("vetoes {expected:?}"), |host| {
                let vetoes: BTreeSet<ModelVersion> = host.status().vetoes.into_iter().collect();
                (vetoes == *expected).then_some(()).ok_or_else(|| format!("{vetoes:?}"))
            })
        }
        Expectation::HostsRunning(expected) => {
            let seen = world.running_hosts().count();
            failures.require(
                seen == *expected,
                format!("{expected} hosts running"),
                format!("{seen}"),
            );
        }
        Expectation::MembersSeen(expected) => {
            failures.require_on_each_host(world, &format!("{expected} members"), |host| {
                let seen = host.status().hosts.len();
                (seen == *expected).then_some(()).ok_or_else(|| format!("{seen}"))
            })
        }
    }
    failures.violations
}

#[derive(Default)]
struct FailureCollector {
    violations: Vec<Violation>,
}

impl FailureCollector {
    fn require(&mut self, holds: bool, expected: String, seen: String) {
        if !holds {
            self.violations.push(Violation::Expectation { expected, seen });
        }
    }

    fn require_on_each_host(
        &mut self,
        world: &World,
        expected: &str,
        check: impl Fn(&EntryHost) -> Result<(), String>,
    ) {
        for (id, host) in world.running_hosts() {
            if let Err(seen) = check(host) {
                self.require(false, format!("{expected} on {id}"), seen);
            }
        }
    }
}

fn check_answers(
    world: &World,
    scenario: &Scenario,
    expected: &AnswersExpected,
    failures: &mut FailureCollector,
) {
    let index = scenario.traffic.iter().position(|traffic| traffic.name == expected.traffic);
    let none = Vec::new();
    let outcomes =
        index.and_then(|index| world.observations().outcomes.get(&index)).unwrap_or(&none);
    let name = &expected.traffic;
    let count =
        |fits: fn(&RequestOutcome) -> bool| outcomes.iter().filter(|outcome| fits(outcome)).count();
    let whole = count(|outcome| matches!(outcome, RequestOutcome::Completed { .. }));
    let replayed = count(|outcome| matches!(outcome, RequestOutcome::Replayed));
    let lost = count(|outcome| matches!(outcome, RequestOutcome::Lost));
    let unknown = count(|outcome| {
        matches!(outcome, RequestOutcome::Refused { ran: Ran::Unknown, .. } | RequestOutcome::Lost)
    });
    let exact = |wanted: Option<usize>, seen: usize| wanted.is_none_or(|wanted| wanted == seen);
    let least = |wanted: Option<usize>, seen: usize| wanted.is_none_or(|wanted| wanted <= seen);
    let mut refused: BTreeMap<ErrorKind, usize> = BTreeMap::new();
    for outcome in outcomes {
        if let RequestOutcome::Refused { kind, .. } = outcome {
            *refused.entry(*kind).or_default() += 1;
        }
    }
    let seen = format!(
        "{whole} whole, {replayed} replayed, {lost} lost, refused {refused:?} of {}",
        outcomes.len()
    );
    let holds = exact(expected.whole, whole)
        && least(expected.whole_at_least, whole)
        && exact(expected.replayed, replayed)
        && least(expected.replayed_at_least, replayed)
        && expected.lost_at_most.is_none_or(|most| lost <= most)
        && expected.refused.as_ref().is_none_or(|wanted| *wanted == refused)
        && expected
            .refused_only
            .as_ref()
            .is_none_or(|only| refused.keys().all(|kind| only.contains(kind)))
        && !(expected.none_unknown && unknown > 0);
    failures.require(holds, format!("answers of {name}: {expected:?}"), seen);
}
