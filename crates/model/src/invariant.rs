//! Invariants that the program checks while it runs.
//!
//! Tests and random runs panic on a violation; production counts it and the driver logs it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// The closed list of invariants that are checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    DispatchAllowed,
    DispatchNotWithdrawn,
    SessionKeepsVersion,
    RetryBudget,
    InFlightLimit,
    AttemptBeforeDeadline,
    AtMostOneAttempt,
    NotRunMeansNotDispatched,
    ExposedCallersBound,
    AtMostOneRunPerKey,
    OneBillPerAnswer,
    NoBillForNotRun,
    RevisionNeverFalls,
    OnePresetPerRevision,
    FencedActsOnly,
    NoWorkToLeavingServer,
    TablesBounded,
    AnswerMatchesRequest,
}

/// What a violation does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Enforcement {
    /// Panics: tests, scenarios and random runs.
    Panic,
    /// Counts and keeps the last detail: production.
    #[default]
    Count,
}

/// Counters of violations, one set for each decision module.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    enforcement: Enforcement,
    violations: BTreeMap<Invariant, u64>,
    last: Option<String>,
}

impl Invariants {
    #[must_use]
    pub fn new(enforcement: Enforcement) -> Invariants {
        Invariants { enforcement, ..Invariants::default() }
    }

    /// Records a violation unless `holds`.
    ///
    /// # Panics
    ///
    /// Panics on a violation under [`Enforcement::Panic`].
    pub fn check(&mut self, invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) {
        if holds {
            return;
        }
        let detail = detail();
        assert!(
            self.enforcement == Enforcement::Count,
            "invariant {invariant:?} violated: {detail}"
        );
        *self.violations.entry(invariant).or_default() += 1;
        self.last = Some(detail);
    }

    /// Violations so far.
    #[must_use]
    pub fn violations(&self) -> &BTreeMap<Invariant, u64> {
        &self.violations
    }

    /// Detail of the latest violation.
    #[must_use]
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}
