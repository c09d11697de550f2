//! Shift of a service's traffic to a new version before a deadline, without coordination between hosts.
//!
//! Operators order a shift. Every host follows the same schedule from the start of the order: a trial with requests
//! that have no session, then growing shares of the sessions, then all traffic, and finally the completion report. The
//! trial goes on until enough answers tell whether the version is good; if they do not before the deadline, the version is
//! rolled back.
//! Each host tests the version on the answers that it sees itself; the first host that finds it bad withdraws it for
//! all. The order and its outcome are in the store, so a host that starts during a shift resumes from there.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::StoreRevision;
use foxtailhoist_model::VersionId;
use serde::Deserialize;
use serde::Serialize;

use crate::judge::sequential::OutcomeCount;
use crate::shift::baseline::Baseline;
use crate::shift::baseline::Finding;
use crate::shift::baseline::Observation;
use crate::shift::evidence::Conclusion;
use crate::shift::evidence::Evidence;
use crate::shift::shared::HostEvidence;
use crate::shift::shared::SharedEvidence;

pub mod baseline;
pub mod evidence;
pub mod shared;

/// Steps of a shift: fraction of the ordered duration at which the step starts, and share of the sessions from then on.
/// Before the first step only requests without a session take part, and none while too little is known of the target.
const STEPS: [(f64, f64); 3] = [(0.52, TRIAL_SHARE), (0.62, 0.5), (0.72, 1.0)];
/// Share of the requests, and from the first step on of the sessions, that take part in a trial. A trial in the second
/// half of a shift reaches the exposure limit about at its end, so that no session has to go back.
const TRIAL_SHARE: f64 = 0.24;
/// Share of the requests without a session that take part once the target seems good, until the first step.
const CONFIRMATION_SHARE: f64 = 0.06;
/// Fraction of the ordered duration at which completion is reported, so that requests on the old version can end.
const COMPLETION_FRACTION: f64 = 0.86;
/// Fraction of the ordered duration for which the target takes all traffic before completion is reported.
const SETTLING_FRACTION: f64 = 0.14;
/// The same for a target that is found good late.
const MIN_SETTLING_FRACTION: f64 = 0.05;
/// Fraction of the ordered duration by which completion is reported if the shorter settling time allows it.
const LATE_COMPLETION_FRACTION: f64 = 0.94;
/// Longest range of the delays after which hosts send a report that any of them may send; with different delays, usually
/// only one host sends it.
const MAX_REPORT_SPREAD: Duration = Duration::from_millis(900);
/// Range of these delays as a fraction of the ordered duration, so that short shifts complete in time.
const REPORT_SPREAD_FRACTION: f64 = 0.05;
/// The same for a report near the deadline.
const LATE_REPORT_SPREAD_FRACTION: f64 = 0.015;
/// Fraction of the ordered duration at which a version is rolled back that is still not known to be good.
const UNPROVEN_FRACTION: f64 = 0.92;
/// Fraction of the ordered duration for which a host follows a shift before it may find the target unproven: a host that
/// has just started does not know the evidence of the others yet.
const MIN_FOLLOWED_FRACTION: f64 = 0.15;

/// Phase of an ordered shift in the store, in the order in which one may replace another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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
    /// Time in which the shift must complete.
    pub duration: Duration,
    /// `None` until the first report.
    pub phase: Option<ShiftPhase>,
    /// Start in Unix milliseconds, set by the first report.
    pub started_ms: Option<u64>,
    /// Revision of the order's object in the store; reports are conditional on it.
    pub revision: StoreRevision,
}

/// Report to write on condition that the order's object is unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftReport {
    pub service: ServiceId,
    pub target: VersionId,
    pub phase: ShiftPhase,
    pub started_ms: u64,
    pub revision: StoreRevision,
}

/// Versions that may take new work at a point of the schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum ShiftRule {
    /// The target takes a share of the sessions; during the trial, existing sessions stay where they are.
    Share { target: VersionId, share: f64, is_trial: bool },
    /// The target takes a share of the sessions too, within the exposure limit.
    SessionTrial { target: VersionId, share: f64 },
    /// Only the target, which replaced all others.
    Only(VersionId),
    /// Any version but the target.
    Except(VersionId),
}

/// What the answers so far tell about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few answers.
    Unknown,
    /// No worse than the other versions, within the tolerance.
    Good,
    /// Worse than the other versions.
    Bad,
}

/// Progress of one ordered shift on this host.
#[derive(Debug)]
pub struct Shift {
    order: ShiftOrder,
    /// Phase that the store's object states; after a restore of the store, earlier than that of `order`.
    stored: Option<ShiftPhase>,
    started: Instant,
    /// When this host began to follow the order.
    followed_since: Instant,
    target: OutcomeCount,
    others: OutcomeCount,
    evidence: Evidence,
    shared: SharedEvidence,
    /// Why this host withdrew the target, if it did.
    conclusion: Option<Conclusion>,
    /// Whether sessions have moved to the target; they stay there unless it is withdrawn.
    has_moved: bool,
    /// When the target first took all traffic.
    all_moved_at: Option<Instant>,
}

impl Shift {
    /// Follows an order; `now_ms` is the time of day in Unix milliseconds.
    #[must_use]
    pub fn new(order: ShiftOrder, now: Instant, now_ms: u64) -> Shift {
        let elapsed_ms = order.started_ms.map_or(0, |started_ms| now_ms.saturating_sub(started_ms));
        let elapsed = Duration::from_millis(elapsed_ms).min(order.duration);
        Shift {
            started: now.checked_sub(elapsed).unwrap_or(now),
            followed_since: now,
            stored: order.phase,
            order,
            target: OutcomeCount::default(),
            others: OutcomeCount::default(),
            evidence: Evidence::default(),
            shared: SharedEvidence::default(),
            conclusion: None,
            has_moved: false,
            all_moved_at: None,
        }
    }

    #[must_use]
    pub fn order(&self) -> &ShiftOrder {
        &self.order
    }

    /// Applies a store update of the order's object. The phase never goes back, even if that in the store does.
    pub fn update(&mut self, order: ShiftOrder) {
        self.stored = order.phase;
        let phase = self.order.phase.max(order.phase);
        let started_ms = self.order.started_ms.or(order.started_ms);
        self.order = ShiftOrder { phase, started_ms, ..order };
    }

    /// Whether `order` is this order at a later revision rather than a new order.
    #[must_use]
    pub fn is_same_order(&self, order: &ShiftOrder) -> bool {
        let ended = matches!(self.stored, Some(ShiftPhase::Completed | ShiftPhase::RolledBack));
        let is_repeated = ended && order.phase.is_none() && !self.is_restored(order);
        self.order.target == order.target && self.order.duration == order.duration && !is_repeated
    }

    /// Whether the store was restored from a copy since the last update, so that `order` may lack what was reported.
    #[must_use]
    pub fn is_restored(&self, order: &ShiftOrder) -> bool {
        order.revision.era > self.order.revision.era
    }

    /// Adds a finding about an answer of one of the service's servers. The baseline holds the other versions' answers,
    /// and the target's once the shift is complete.
    pub fn observe(&mut self, observation: &Observation, baseline: &mut Baseline, now: Instant) {
        let is_target = observation.version == self.order.target;
        if let Finding::Ended { is_bad } = observation.finding {
            let count = OutcomeCount { bad: u64::from(is_bad), total: 1 };
            let counted = if is_target { &mut self.target } else { &mut self.others };
            *counted = counted.plus(count);
        }
        if !is_target || self.order.phase == Some(ShiftPhase::Completed) {
            baseline.record(observation, now);
            return;
        }
        let Observation { route, server, finding, .. } = observation;
        match finding {
            Finding::Ended { is_bad } => {
                self.evidence.add_end(route, server, *is_bad, baseline.bad_share(route));
            }
            Finding::Pace { model, pace } => {
                if let Some(band) = baseline.band(route, model.as_ref(), *pace, now) {
                    self.evidence.add_pace(route, server, band);
                }
            }
        }
        if self.conclusion.is_none() {
            self.conclusion = self.evidence.conclusion();
        }
    }

    /// Adds peers' evidence; `host` is this host.
    pub fn merge(&mut self, evidence: Vec<HostEvidence>, host: &EntryHostId) {
        let mut is_new = false;
        for evidence in evidence {
            is_new |= evidence.host != *host && self.shared.merge(evidence);
        }
        if !is_new {
            return;
        }
        self.evidence.set_peers(self.shared.sums(host));
        if self.conclusion.is_none() {
            self.conclusion = self.evidence.conclusion();
        }
    }

    /// Evidence to pass on to a few peers in this round; none once the shift has ended.
    pub fn news(&mut self, host: &EntryHostId, now_ms: u64) -> Vec<HostEvidence> {
        if matches!(self.order.phase, Some(ShiftPhase::Completed | ShiftPhase::RolledBack)) {
            return Vec::new();
        }
        let updated_ms = self.shared.next_update(host, now_ms);
        if let Some(own) = self.evidence.take_news(host, updated_ms) {
            self.shared.merge(own);
        }
        self.shared.take_news()
    }

    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.conclusion.is_some()
    }

    /// Why this host withdrew the target, if it did.
    #[must_use]
    pub fn conclusion(&self) -> Option<&Conclusion> {
        self.conclusion.as_ref()
    }

    #[must_use]
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    #[must_use]
    pub fn verdict(&self) -> Verdict {
        if self.is_withdrawn() {
            Verdict::Bad
        } else if self.evidence.is_good() {
            Verdict::Good
        } else {
            Verdict::Unknown
        }
    }

    /// Which versions may take new work.
    #[must_use]
    pub fn rule(&mut self, now: Instant) -> ShiftRule {
        let target = self.order.target.clone();
        match self.order.phase {
            Some(ShiftPhase::RolledBack) => return ShiftRule::Except(target),
            Some(ShiftPhase::Completed) => return ShiftRule::Only(target),
            Some(ShiftPhase::InProgress) | None => {}
        }
        let verdict = self.verdict();
        let elapsed_fraction = self.elapsed_fraction(now);
        let step = STEPS.iter().rev().find(|(start, _)| elapsed_fraction >= *start);
        match (verdict, step) {
            (Verdict::Bad, _) => ShiftRule::Except(target),
            (Verdict::Unknown, _) if self.is_unproven(now) => ShiftRule::Except(target),
            (Verdict::Unknown, Some((_, share))) if self.has_moved => {
                ShiftRule::Share { target, share: *share, is_trial: false }
            }
            (Verdict::Unknown, None) => {
                ShiftRule::Share { target, share: TRIAL_SHARE, is_trial: true }
            }
            (Verdict::Unknown, Some(_)) => ShiftRule::SessionTrial { target, share: TRIAL_SHARE },
            (Verdict::Good, None) => {
                ShiftRule::Share { target, share: CONFIRMATION_SHARE, is_trial: true }
            }
            (Verdict::Good, Some((_, share))) => {
                self.has_moved = true;
                if *share >= 1.0 {
                    self.all_moved_at.get_or_insert(now);
                }
                ShiftRule::Share { target, share: *share, is_trial: false }
            }
        }
    }

    /// Report that is due; `has_target` tells whether servers of the target version accept work.
    #[must_use]
    pub fn due_report(&self, has_target: bool, now: Instant, now_ms: u64) -> Option<ShiftReport> {
        let phase = match self.order.phase {
            _ if self.stored > Some(ShiftPhase::InProgress) => return None,
            Some(ended @ (ShiftPhase::Completed | ShiftPhase::RolledBack)) => ended,
            _ if self.is_withdrawn() => ShiftPhase::RolledBack,
            _ if self.is_unproven(now) => ShiftPhase::RolledBack,
            _ if self.stored.is_none() => ShiftPhase::InProgress,
            None | Some(ShiftPhase::InProgress) => {
                let may_complete = has_target && self.verdict() == Verdict::Good;
                if !may_complete || !self.has_settled(now) {
                    return None;
                }
                ShiftPhase::Completed
            }
        };
        let elapsed_ms = now.saturating_duration_since(self.started).as_millis();
        let started_ms = now_ms.saturating_sub(u64::try_from(elapsed_ms).unwrap_or(0));
        Some(ShiftReport {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            phase,
            started_ms: self.order.started_ms.unwrap_or(started_ms),
            revision: self.order.revision,
        })
    }

    /// Range of the delays after which hosts send a report that any of them may send.
    #[must_use]
    pub fn report_spread(&self, now: Instant) -> Duration {
        let is_late = self.elapsed_fraction(now) >= LATE_COMPLETION_FRACTION;
        let fraction = if is_late { LATE_REPORT_SPREAD_FRACTION } else { REPORT_SPREAD_FRACTION };
        self.order.duration.mul_f64(fraction).min(MAX_REPORT_SPREAD)
    }

    /// Answers of the target and of all other versions, for the log.
    #[must_use]
    pub fn counts(&self) -> (OutcomeCount, OutcomeCount) {
        (self.target, self.others)
    }

    /// Whether it is too late to find the target good: the trial ends, and no traffic has moved.
    fn is_unproven(&self, now: Instant) -> bool {
        self.verdict() == Verdict::Unknown
            && !self.has_moved
            && self.elapsed_fraction(now) >= UNPROVEN_FRACTION
            && now.saturating_duration_since(self.followed_since)
                >= self.order.duration.mul_f64(MIN_FOLLOWED_FRACTION)
    }

    /// Whether the target has taken all traffic for long enough that requests on other versions have ended.
    fn has_settled(&self, now: Instant) -> bool {
        let Some(moved_at) = self.all_moved_at else {
            return false;
        };
        let elapsed = self.elapsed_fraction(now);
        let settled = elapsed - self.elapsed_fraction(moved_at);
        let needed = if elapsed < LATE_COMPLETION_FRACTION {
            SETTLING_FRACTION
        } else {
            MIN_SETTLING_FRACTION
        };
        elapsed >= COMPLETION_FRACTION && settled >= needed
    }

    fn elapsed_fraction(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        elapsed / self.order.duration.as_secs_f64().max(0.001)
    }
}
