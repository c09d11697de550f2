//! Runs a scenario and checks what it expects.

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
use crate::book::Ending;
use crate::spec::AnswersExpected;
use crate::spec::Expectation;

/// What a run showed.
pub struct Outcome {
    pub trace: Trace,
    pub violations: Vec<Violation>,
    /// Events that took place.
    pub steps: u64,
}

/// Runs a scenario to its end.
///
/// # Panics
///
/// Panics when an invariant inside an entry host is violated.
#[must_use]
pub fn run(scenario: &Scenario) -> Outcome {
    let mut world = World::new(scenario.world());
    for timed in &scenario.acts {
        world.act_at(timed.at.0, timed.act.clone());
    }
    world.run_until(scenario.until.0, u64::MAX);
    world.check_unanswered();
    world.check_bills();
    let mut violations = world.book().violations.clone();
    for expectation in &scenario.expect {
        violations.extend(check(&world, scenario, expectation));
    }
    Outcome { trace: world.trace().clone(), violations, steps: world.steps() }
}

fn check(world: &World, scenario: &Scenario, expectation: &Expectation) -> Vec<Violation> {
    let mut faults = Faults::default();
    match expectation {
        Expectation::Answers(expected) => check_answers(world, scenario, expected, &mut faults),
        Expectation::VersionsUsed(expected) => {
            let seen: BTreeSet<ModelVersion> = world.book().versions.keys().cloned().collect();
            faults.require(
                seen == *expected,
                format!("work for {expected:?}"),
                format!("{seen:?}"),
            );
        }
        Expectation::NoWorkAfter { version, after } => {
            let last = world.book().versions.get(version).and_then(|used| used.last_dispatch);
            let holds = last.is_none_or(|last| last <= after.0);
            faults.require(
                holds,
                format!("no work for {version} after {after}"),
                format!("work at {last:?}"),
            );
        }
        Expectation::WorkAfter { version, after } => {
            let last = world.book().versions.get(version).and_then(|used| used.last_dispatch);
            let holds = last.is_some_and(|last| last > after.0);
            faults.require(
                holds,
                format!("work for {version} after {after}"),
                format!("last at {last:?}"),
            );
        }
        Expectation::ExposedAtMost { version, callers } => {
            let seen = world.book().versions.get(version).map_or(0, |used| used.callers.len());
            faults.require(
                seen <= *callers,
                format!("at most {callers} callers on {version}"),
                format!("{seen}"),
            );
        }
        Expectation::Revision(expected) => {
            faults.on_each(world, &format!("revision {expected}"), |host| {
                let revision = host.configuration().map(|configuration| configuration.revision);
                (revision == Some(*expected)).then_some(()).ok_or_else(|| format!("{revision:?}"))
            })
        }
        Expectation::Preset(expected) => {
            faults.on_each(world, &format!("preset {expected}"), |host| {
                let preset = host.configuration().map(|configuration| configuration.preset.clone());
                (preset.as_ref() == Some(expected))
                    .then_some(())
                    .ok_or_else(|| format!("{preset:?}"))
            })
        }
        Expectation::Bills { workspace, count } => {
            let seen = world.bills().get(workspace).copied().unwrap_or(0);
            faults.require(
                seen == *count,
                format!("{count} bills for {workspace}"),
                format!("{seen}"),
            );
        }
        Expectation::RunsEachAtMost(most) => {
            let seen = world.book().runs.values().max().copied().unwrap_or(0);
            faults.require(
                seen <= *most,
                format!("at most {most} runs of a key"),
                format!("{seen}"),
            );
        }
        Expectation::Runs(expected) => {
            let seen: u32 = world.book().runs.values().sum();
            faults.require(seen == *expected, format!("{expected} runs"), format!("{seen}"));
        }
        Expectation::Commands { done, refused } => {
            let replies = &world.book().replies;
            let seen_done = replies.iter().filter(|reply| reply.is_ok()).count();
            let seen_refused = replies.len() - seen_done;
            let holds = (seen_done, seen_refused) == (*done, *refused);
            let seen = format!("{seen_done} done, {seen_refused} refused");
            faults.require(holds, format!("{done} commands done, {refused} refused"), seen);
        }
        Expectation::Vetoed(expected) => {
            faults.on_each(world, &format!("vetoes {expected:?}"), |host| {
                let vetoes: BTreeSet<ModelVersion> = host.status().vetoes.into_iter().collect();
                (vetoes == *expected).then_some(()).ok_or_else(|| format!("{vetoes:?}"))
            })
        }
        Expectation::HostsRunning(expected) => {
            let seen = world.alive().count();
            faults.require(
                seen == *expected,
                format!("{expected} hosts running"),
                format!("{seen}"),
            );
        }
        Expectation::MembersSeen(expected) => {
            faults.on_each(world, &format!("{expected} members"), |host| {
                let seen = host.status().hosts.len();
                (seen == *expected).then_some(()).ok_or_else(|| format!("{seen}"))
            })
        }
    }
    faults.violations
}

#[derive(Default)]
struct Faults {
    violations: Vec<Violation>,
}

impl Faults {
    fn require(&mut self, holds: bool, expected: String, seen: String) {
        if !holds {
            self.violations.push(Violation::Expectation { expected, seen });
        }
    }

    fn on_each(
        &mut self,
        world: &World,
        expected: &str,
        check: impl Fn(&EntryHost) -> Result<(), String>,
    ) {
        for (id, host) in world.alive() {
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
    faults: &mut Faults,
) {
    let index = scenario.traffic.iter().position(|traffic| traffic.name == expected.traffic);
    let none = Vec::new();
    let endings = index.and_then(|index| world.book().endings.get(&index)).unwrap_or(&none);
    let name = &expected.traffic;
    let count = |fits: fn(&Ending) -> bool| endings.iter().filter(|ending| fits(ending)).count();
    let whole = count(|ending| matches!(ending, Ending::Whole { .. }));
    let replayed = count(|ending| matches!(ending, Ending::Replayed));
    let lost = count(|ending| matches!(ending, Ending::Lost));
    let unknown =
        count(|ending| matches!(ending, Ending::Refused { ran: Ran::Unknown, .. } | Ending::Lost));
    let exact = |wanted: Option<usize>, seen: usize| wanted.is_none_or(|wanted| wanted == seen);
    let least = |wanted: Option<usize>, seen: usize| wanted.is_none_or(|wanted| wanted <= seen);
    let mut refused: BTreeMap<ErrorKind, usize> = BTreeMap::new();
    for ending in endings {
        if let Ending::Refused { kind, .. } = ending {
            *refused.entry(*kind).or_default() += 1;
        }
    }
    let seen = format!(
        "{whole} whole, {replayed} replayed, {lost} lost, refused {refused:?} of {}",
        endings.len()
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
    faults.require(holds, format!("answers of {name}: {expected:?}"), seen);
}
