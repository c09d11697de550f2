//! Parses, checks and interprets state charts written in YAML.
//!
//! A chart file names states, events, guards and effects. The names are those of closed enums in the crate that owns
//! the chart, so that parsing rejects an unknown name. The owner calls [`Chart::step`] for the transition that an event
//! causes in a state and carries out the effects in the order given. Because the transitions are in a file, operators
//! can read them and tests can walk all of them.
//!
//! ```yaml
//! initial: alive
//! states:
//!   alive:
//!     silent: [{ to: suspect, effects: [ask_others] }]
//!   suspect:
//!     heard: [{ to: alive }]
//!     expired: [{ to: gone, guard: confirmed, effects: [forget] }]
//!   gone: {}
//! ```

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Debug;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A chart over closed enums of states `S`, events `E`, guards `G` and effects `F`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(
    bound = "S: DeserializeOwned + Ord, E: DeserializeOwned + Ord, G: DeserializeOwned, F: DeserializeOwned"
)]
pub struct Chart<S, E, G, F> {
    initial: S,
    states: BTreeMap<S, EventTable<S, E, G, F>>,
}

/// Transitions out of one state, by event, in the order in which they are tried.
type EventTable<S, E, G, F> = BTreeMap<E, Vec<Transition<S, G, F>>>;

/// A transition out of a state.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(bound = "S: DeserializeOwned, G: DeserializeOwned, F: DeserializeOwned")]
pub struct Transition<S, G, F> {
    pub to: S,
    /// Condition of the transition; `None` always holds. The first transition whose guard holds is taken.
    pub guard: Option<G>,
    #[serde(default = "Vec::new")]
    pub effects: Vec<F>,
}

/// Guard type of a chart without guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum NoGuard {}

/// Effect type of a chart without effects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum NoEffect {}

/// Why a chart cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChartError {
    /// Not YAML of the expected shape, or a name outside the enums.
    #[error("chart cannot be read: {0}")]
    Syntax(String),
    /// The initial state or the target of a transition has no entry.
    #[error(
        "state {0} is the initial state or the target of a transition but has no entry under 'states'"
    )]
    MissingState(String),
    /// No path leads to the state.
    #[error("state {0} cannot be reached from the initial state")]
    Unreachable(String),
    /// A transition comes after one without a guard, so it can never be taken.
    #[error("state {state}: event {event} has a transition after one without a guard")]
    Shadowed { state: String, event: String },
}

impl<S, E, G, F> Chart<S, E, G, F>
where
    S: DeserializeOwned + Copy + Ord + Debug,
    E: DeserializeOwned + Copy + Ord + Debug,
    G: DeserializeOwned + Copy,
    F: DeserializeOwned + Copy,
{
    /// Reads and checks a chart.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn parse(yaml: &str) -> Result<Chart<S, E, G, F>, ChartError> {
        let chart: Chart<S, E, G, F> =
            serde_saphyr::from_str(yaml).map_err(|e| ChartError::Syntax(e.to_string()))?;
        chart.check_shadowing()?;
        chart.check_targets()?;
        chart.check_reachable()?;
        Ok(chart)
    }

    /// State in which an instance of the chart starts.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Transition that an event causes in a state; `None` if the chart ignores the event there or no guard holds.
    #[must_use]
    pub fn step(
        &self,
        state: S,
        event: E,
        guard_holds: impl Fn(G) -> bool,
    ) -> Option<&Transition<S, G, F>> {
        let transitions = self.states.get(&state)?.get(&event)?;
        transitions.iter().find(|transition| transition.guard.is_none_or(&guard_holds))
    }

    /// Whether a state handles no events.
    #[must_use]
    pub fn is_final(&self, state: S) -> bool {
        self.states.get(&state).is_none_or(BTreeMap::is_empty)
    }

    /// States that the chart lists, in the order of `S`.
    pub fn states(&self) -> impl Iterator<Item = S> {
        self.states.keys().copied()
    }

    fn check_shadowing(&self) -> Result<(), ChartError> {
        for (state, events) in &self.states {
            for (event, transitions) in events {
                let last = transitions.len().saturating_sub(1);
                let shadows =
                    transitions.iter().take(last).any(|transition| transition.guard.is_none());
                if shadows {
                    return Err(ChartError::Shadowed {
                        state: format!("{state:?}"),
                        event: format!("{event:?}"),
                    });
                }
            }
        }
        Ok(())
    }

    fn check_targets(&self) -> Result<(), ChartError> {
        let targets = self.states.values().flat_map(targets).chain([self.initial]);
        for target in targets {
            if !self.states.contains_key(&target) {
                return Err(ChartError::MissingState(format!("{target:?}")));
            }
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut reached = BTreeSet::from([self.initial]);
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            let next = self.states.get(&state).into_iter().flat_map(targets);
            pending.extend(next.filter(|target| reached.insert(*target)));
        }
        match self.states.keys().find(|state| !reached.contains(state)) {
            Some(state) => Err(ChartError::Unreachable(format!("{state:?}"))),
            None => Ok(()),
        }
    }
}

fn targets<S: Copy, E, G, F>(events: &EventTable<S, E, G, F>) -> Vec<S> {
    events.values().flatten().map(|transition| transition.to).collect()
}
