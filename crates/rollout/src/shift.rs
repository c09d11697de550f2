//! Shift of a service's traffic to a new version, against a deadline and without talk between hosts.
//!
//! The operators order a shift; every host follows the same timetable from the order's start: a trial without sessions,
//! growing shares, everything, and the report that it is done. Each host judges the version on its own answers; the
//! first that finds it bad withdraws it for all. The order and its outcome are in the store, so a host that starts in
//! the middle goes on from there.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;
use serde::Deserialize;
use serde::Serialize;

use crate::judge::sequential::Count;
use crate::judge::sequential::MixtureTest;

/// Steps of a shift: from this part of the ordered duration on, this share of the sessions. Up to the first step only
/// requests without a session take part.
const STEPS: [(f64, f64); 4] = [(0.52, 0.06), (0.59, 0.2), (0.66, 0.45), (0.72, 1.0)];
/// Share of the requests without a session that take part before the first step.
const TRIAL_SHARE: f64 = 0.06;
/// Part of the ordered duration at which the shift is reported done, so that what runs on the old version can end.
const REPORT_AT: f64 = 0.86;
/// Logarithm of the odds against the version at which it is withdrawn: one false alarm in a hundred.
const WITHDRAW_EVIDENCE: f64 = 4.6;
/// Bad answers and servers that gave them before a version is withdrawn.
const LEAST_BAD: u64 = 3;
const LEAST_BAD_SERVERS: usize = 2;
/// Answers of the old version with which its share of bad ones is assumed to start, and how many of them were bad.
const PRIOR: (f64, f64) = (25.0, 0.5);
/// Largest share of bad answers that the old version is believed to have.
const REFERENCE_MAX: f64 = 0.5;

/// Where an ordered shift stands in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShiftPhase {
    InProgress,
    Completed,
    RolledBack,
}

/// An order to shift a service's traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShiftOrder {
    pub service: ServiceId,
    pub target: VersionId,
    /// Time that the operators give for it.
    pub duration: Duration,
    /// `None` until the first report.
    pub phase: Option<ShiftPhase>,
    /// Unix milliseconds of the start, from the first report.
    pub started_ms: Option<u64>,
    /// Version of the order's object in the store; reports are conditional on it.
    pub revision: u64,
}

/// A report to be written, on condition that the order's object is unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftReport {
    pub service: ServiceId,
    pub target: VersionId,
    pub phase: ShiftPhase,
    pub started_ms: u64,
    pub revision: u64,
}

/// What the timetable says of the versions that take work.
#[derive(Clone, Debug, PartialEq)]
pub enum ShiftRule {
    /// A share of the sessions goes to the target; in the trial, old sessions stay.
    Share { target: VersionId, share: f64, is_trial: bool },
    /// Only the target.
    Only(VersionId),
    /// Anything but the target.
    Except(VersionId),
}

/// One ordered shift as this host follows it.
#[derive(Debug)]
pub struct Shift {
    order: ShiftOrder,
    started: Instant,
    target: Count,
    others: Count,
    bad_servers: BTreeSet<BackendServerId>,
    test: MixtureTest,
    is_withdrawn: bool,
}

impl Shift {
    /// Follows an order; `now_ms` is the time of day in Unix milliseconds.
    #[must_use]
    pub fn new(order: ShiftOrder, now: Instant, now_ms: u64) -> Shift {
        let since = order.started_ms.map_or(0, |started| now_ms.saturating_sub(started));
        let since = Duration::from_millis(since).min(order.duration);
        Shift {
            started: now.checked_sub(since).unwrap_or(now),
            order,
            target: Count::default(),
            others: Count::default(),
            bad_servers: BTreeSet::new(),
            test: MixtureTest::default(),
            is_withdrawn: false,
        }
    }

    #[must_use]
    pub fn order(&self) -> &ShiftOrder {
        &self.order
    }

    /// Takes in the order's object as it is in the store now.
    pub fn update(&mut self, order: ShiftOrder) {
        self.order = order;
    }

    /// Whether an object in the store is this order at a later revision.
    #[must_use]
    pub fn is_same(&self, order: &ShiftOrder) -> bool {
        let ended =
            matches!(self.order.phase, Some(ShiftPhase::Completed | ShiftPhase::RolledBack));
        self.order.target == order.target
            && self.order.duration == order.duration
            && !(ended && order.phase.is_none())
    }

    /// Counts an answer of one of the service's servers.
    pub fn observe(&mut self, version: &str, server: &BackendServerId, is_bad: bool) {
        let count = Count { bad: u64::from(is_bad), all: 1 };
        if version != self.order.target {
            self.others = self.others.plus(count);
            return;
        }
        self.target = self.target.plus(count);
        let (answers, bad) = PRIOR;
        let reference = (self.others.bad as f64 + bad) / (self.others.all as f64 + answers);
        self.test.add(count, reference.min(REFERENCE_MAX));
        if is_bad {
            self.bad_servers.insert(server.clone());
        }
        let is_enough = self.target.bad >= LEAST_BAD && self.bad_servers.len() >= LEAST_BAD_SERVERS;
        if is_enough && self.test.log_evidence() >= WITHDRAW_EVIDENCE {
            self.is_withdrawn = true;
        }
    }

    /// The rule for new work.
    #[must_use]
    pub fn rule(&self, now: Instant) -> ShiftRule {
        let target = self.order.target.clone();
        match self.order.phase {
            Some(ShiftPhase::RolledBack) => return ShiftRule::Except(target),
            Some(ShiftPhase::Completed) => return ShiftRule::Only(target),
            Some(ShiftPhase::InProgress) | None => {}
        }
        if self.is_withdrawn {
            return ShiftRule::Except(target);
        }
        let part = self.part(now);
        match STEPS.iter().rev().find(|(begin, _)| part >= *begin) {
            None => ShiftRule::Share { target, share: TRIAL_SHARE, is_trial: true },
            Some((_, share)) if *share >= 1.0 => ShiftRule::Only(target),
            Some((_, share)) => ShiftRule::Share { target, share: *share, is_trial: false },
        }
    }

    /// The report that is due; `has_target` tells whether servers of the target take work.
    #[must_use]
    pub fn due_report(&self, has_target: bool, now: Instant, now_ms: u64) -> Option<ShiftReport> {
        let phase = match self.order.phase {
            Some(ShiftPhase::Completed | ShiftPhase::RolledBack) => return None,
            _ if self.is_withdrawn => ShiftPhase::RolledBack,
            None => ShiftPhase::InProgress,
            Some(ShiftPhase::InProgress) => {
                if self.part(now) < REPORT_AT || !has_target {
                    return None;
                }
                ShiftPhase::Completed
            }
        };
        let since = now.saturating_duration_since(self.started).as_millis();
        let started = now_ms.saturating_sub(u64::try_from(since).unwrap_or(0));
        Some(ShiftReport {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            phase,
            started_ms: self.order.started_ms.unwrap_or(started),
            revision: self.order.revision,
        })
    }

    /// Answers of the target and of all others, for the log.
    #[must_use]
    pub fn counts(&self) -> (Count, Count) {
        (self.target, self.others)
    }

    fn part(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.started).as_secs_f64();
        since / self.order.duration.as_secs_f64().max(0.001)
    }
}
