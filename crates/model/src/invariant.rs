//! Invariants that the program checks while it runs.
//!
//! Tests and random runs panic on a violation; production counts it and keeps its detail.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// The closed list of invariants. All but [`NoBillForNotRun`](Invariant::NoBillForNotRun) and
/// [`AnswerMatchesRequest`](Invariant::AnswerMatchesRequest) are checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A chat request goes only to a model that the preset allows its workspace.
    DispatchAllowed,
    /// A chat request goes only to a version that takes new work and is not vetoed.
    DispatchNotWithdrawn,
    /// A session leaves its pinned version only when that version is no longer allowed.
    SessionKeepsVersion,
    /// Retries and hedges stay within the host's retry budget.
    RetryBudget,
    /// A server gets no request above its limit of in-flight requests.
    InFlightLimit,
    /// No attempt starts at or after the deadline of its request.
    AttemptBeforeDeadline,
    /// A non-idempotent request that may have run is not dispatched again.
    AtMostOneAttempt,
    /// A request that is refused as not run has no attempt that may have run.
    NotRunMeansNotDispatched,
    /// A host exposes new callers to a canary only within its quota, and the quotas sum to at most the step's limit.
    ExposedCallersBound,
    /// An idempotency key is claimed again only after its claim ended as not run or expired.
    AtMostOneRunPerKey,
    /// The journal records at most one bill per workspace and request.
    OneBillPerAnswer,
    /// A request that did not run is not billed.
    NoBillForNotRun,
    /// A configuration is never replaced by one of a lower revision.
    RevisionNeverFalls,
    /// A revision has the same preset wherever it is seen.
    OnePresetPerRevision,
    /// A lease holder acts only while its lease is valid, and never after a holder with a higher fencing number.
    FencedActsOnly,
    /// A server that is leaving gets no new work.
    NoWorkToLeavingServer,
    /// Tables in memory and messages between peers stay within their size limits.
    TablesBounded,
    /// A caller gets the answer to its own request.
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
