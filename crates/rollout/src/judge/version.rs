//! Evidence about one version and the statistical tests that run on it.

use foxtailhoist_model::Tally;

use crate::judge::decaying_share::DecayingShare;
use crate::judge::evidence::Increment;
use crate::judge::evidence::IncrementTracker;
use crate::judge::sequential::CusumTest;
use crate::judge::sequential::MixtureTest;
use crate::judge::sequential::OutcomeCount;

/// Shares of bad outcomes that a version is compared with.
#[derive(Clone, Copy, Debug)]
pub struct Reference {
    /// Share of unacceptable ratings of the model's settled versions; `None` without a settled version.
    pub unacceptable: Option<f64>,
    /// Recent share of failures of all other versions, which a fault of the network or a data centre raises too.
    pub failed: f64,
    /// Recent share of slow answers of the model's settled versions; `None` without a settled version.
    pub slow: Option<f64>,
}

/// Kind of outcome that caused a veto.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VetoCause {
    Ratings,
    Failures,
    Latency,
}

/// Ratings, failures and latency of one version, and the state of its tests.
#[derive(Clone, Debug)]
pub struct VersionEvidence {
    own: IncrementTracker,
    peers: IncrementTracker,
    /// Ratings since the version came into use.
    rated: OutcomeCount,
    /// Long-term share of unacceptable ratings.
    unacceptable: DecayingShare,
    failed: DecayingShare,
    recently_failed: DecayingShare,
    recently_slow: DecayingShare,
    canary: MixtureTest,
    rating_change: CusumTest,
    /// Reference of `rating_change`, fixed while its sum is above 0 so that a fault does not raise its own reference.
    rating_reference: f64,
    failure_change: CusumTest,
    /// Reference of `failure_change`, fixed for the same reason.
    failure_reference: f64,
    slow_change: CusumTest,
}

/// Threshold of the mixture test on a canary's ratings; a false veto has a probability of at most `exp(-9.4)`.
const CANARY_LOG_THRESHOLD: f64 = 9.4;
/// Threshold of the change tests on ratings and latency.
const CHANGE_LOG_THRESHOLD: f64 = 14.0;
/// Threshold of the change test on failures; lower because the usual share of failures lies far below the reference.
const FAILURE_LOG_THRESHOLD: f64 = 12.2;
/// Excess of a canary's share of unacceptable answers over the settled versions' share that is tolerated.
const CANARY_TOLERANCE: f64 = 0.03;
/// Excess of a settled version's share of unacceptable answers over its long-term share that is tolerated.
const SETTLED_TOLERANCE: f64 = 0.05;
/// Lowest reference share for a settled version's ratings, because the mix of task classes changes the share.
const SETTLED_REFERENCE_FLOOR: f64 = 0.15;
/// Lowest share of bad answers that the change tests treat as a fault.
const FAULT_SHARE: f64 = 0.5;
/// Smallest distance between a settled version's reference and the share of unacceptable ratings treated as a fault.
const MIN_FAULT_DISTANCE: f64 = 0.25;
/// Reference share of unacceptable answers for a canary of a model without a settled version.
const DEFAULT_UNACCEPTABLE: f64 = 0.5;
/// Lowest reference share of failures, because servers crash and restart in normal operation.
const FAILURE_REFERENCE_FLOOR: f64 = 0.02;
/// Highest reference share of failures, so that a version that always fails is vetoed even when others fail too.
const FAILURE_REFERENCE_LIMIT: f64 = 0.3;
/// Factor from the expected share of failures to the reference.
const FAILURE_FACTOR: f64 = 2.0;
/// Largest likelihood ratio of one failure, so that the crash of one server with a few requests causes no veto.
const FAILURE_LIKELIHOOD_RATIO: f64 = std::f64::consts::E;
/// Lowest reference share of slow answers.
const SLOW_REFERENCE_FLOOR: f64 = 0.15;
/// Factor from the settled versions' share of slow answers to the reference.
const SLOW_FACTOR: f64 = 1.5;
/// Observations that the long-term shares remember.
const LONG_WINDOW: f64 = 2000.0;
/// Observations that the recent shares remember.
const RECENT_WINDOW: f64 = 200.0;
/// Effective number of ratings in the long-term share from which the reference is fixed while a change is suspected.
const MIN_BASELINE_RATINGS: f64 = 100.0;

impl Default for VersionEvidence {
    fn default() -> VersionEvidence {
        VersionEvidence {
            own: IncrementTracker::default(),
            peers: IncrementTracker::default(),
            rated: OutcomeCount::default(),
            unacceptable: DecayingShare::new(0.2, 20.0, LONG_WINDOW),
            failed: DecayingShare::new(0.005, 100.0, LONG_WINDOW),
            recently_failed: DecayingShare::new(0.005, 40.0, RECENT_WINDOW),
            recently_slow: DecayingShare::new(0.05, 40.0, RECENT_WINDOW),
            canary: MixtureTest::default(),
            rating_change: CusumTest::default(),
            rating_reference: 0.0,
            failure_change: CusumTest::default(),
            failure_reference: 0.0,
            slow_change: CusumTest::default(),
        }
    }
}

impl VersionEvidence {
    /// Records this host's cumulative tally.
    pub fn update_own(&mut self, tally: Tally) -> Increment {
        self.own.update(tally)
    }

    /// Records the sum of the other hosts' cumulative tallies.
    pub fn update_peers(&mut self, tally: Tally) -> Increment {
        self.peers.update(tally)
    }

    /// Tests a canary on new evidence.
    pub fn test_canary(&mut self, tally: Tally, reference: Reference) -> Option<VetoCause> {
        let ratings = ratings(tally);
        let unacceptable = reference.unacceptable.unwrap_or(DEFAULT_UNACCEPTABLE);
        self.canary.add(ratings, unacceptable + CANARY_TOLERANCE);
        self.test_failures(failures(tally), 0.0, reference.failed);
        self.test_latency(OutcomeCount { bad: tally.slow, total: tally.timed }, reference.slow);
        self.record(tally);
        if self.canary.log_evidence() >= CANARY_LOG_THRESHOLD {
            return Some(VetoCause::Ratings);
        }
        if self.failure_change.log_evidence() >= FAILURE_LOG_THRESHOLD {
            return Some(VetoCause::Failures);
        }
        let slow = self.slow_change.log_evidence() >= CHANGE_LOG_THRESHOLD;
        slow.then_some(VetoCause::Latency)
    }

    /// Tests a settled version on new evidence against its long-term shares. Latency is not tested, because overload
    /// raises it too.
    pub fn test_settled(&mut self, tally: Tally, reference: Reference) -> Option<VetoCause> {
        let has_baseline = self.unacceptable.weight() >= MIN_BASELINE_RATINGS;
        if !has_baseline || self.rating_change.log_evidence() <= 0.0 {
            let expected = self.unacceptable.share() + SETTLED_TOLERANCE;
            self.rating_reference = expected.max(SETTLED_REFERENCE_FLOOR);
        }
        let changed = FAULT_SHARE.max(self.rating_reference + MIN_FAULT_DISTANCE);
        self.rating_change.add(ratings(tally), self.rating_reference, changed);
        if self.failure_change.log_evidence() <= 0.0 {
            self.failure_reference = FAILURE_FACTOR * self.failed.share();
        }
        self.test_failures(failures(tally), self.failure_reference, reference.failed);
        self.record(tally);
        if self.rating_change.log_evidence() >= CHANGE_LOG_THRESHOLD {
            return Some(VetoCause::Ratings);
        }
        let failing = self.failure_change.log_evidence() >= FAILURE_LOG_THRESHOLD;
        failing.then_some(VetoCause::Failures)
    }

    /// Adds evidence to the shares without testing it.
    pub fn record(&mut self, tally: Tally) {
        self.rated = self.rated.plus(ratings(tally));
        self.unacceptable.add(ratings(tally));
        self.failed.add(failures(tally));
        self.recently_failed.add(failures(tally));
        self.recently_slow.add(OutcomeCount { bad: tally.slow, total: tally.timed });
    }

    /// Resets the long-term share of ratings, because the mix of task classes is about to change.
    pub fn reset_ratings(&mut self) {
        let fresh = VersionEvidence::default();
        self.unacceptable = fresh.unacceptable;
        self.rating_change = fresh.rating_change;
    }

    /// Evidence with reset tests and shares that still knows the tallies already counted.
    #[must_use]
    pub fn with_reset_tests(&self) -> VersionEvidence {
        VersionEvidence { own: self.own, peers: self.peers, ..VersionEvidence::default() }
    }

    /// Whether a canary's ratings are within the tolerance plus one standard error.
    #[must_use]
    pub fn not_worse(&self, reference: Reference) -> bool {
        if self.rated.total == 0 {
            return false;
        }
        let expected = reference.unacceptable.unwrap_or(DEFAULT_UNACCEPTABLE) + CANARY_TOLERANCE;
        let answers = self.rated.total as f64;
        let standard_error = (expected * (1.0 - expected).max(0.0) / answers).sqrt();
        self.rated.bad as f64 / answers <= expected + standard_error
    }

    /// Number of ratings since the version came into use.
    #[must_use]
    pub fn rated(&self) -> u64 {
        self.rated.total
    }

    #[must_use]
    pub fn unacceptable_share(&self) -> f64 {
        self.unacceptable.share()
    }

    #[must_use]
    pub fn recently_failed_share(&self) -> f64 {
        self.recently_failed.share()
    }

    #[must_use]
    pub fn recently_slow_share(&self) -> f64 {
        self.recently_slow.share()
    }

    fn test_failures(&mut self, count: OutcomeCount, expected: f64, failed_elsewhere: f64) {
        let reference = expected.max(FAILURE_FACTOR * failed_elsewhere);
        let reference = reference.clamp(FAILURE_REFERENCE_FLOOR, FAILURE_REFERENCE_LIMIT);
        self.failure_change.add(count, reference, reference * FAILURE_LIKELIHOOD_RATIO);
    }

    fn test_latency(&mut self, count: OutcomeCount, settled: Option<f64>) {
        let Some(settled) = settled else {
            return;
        };
        let reference = (settled * SLOW_FACTOR).max(SLOW_REFERENCE_FLOOR);
        self.slow_change.add(count, reference, FAULT_SHARE.max(reference * 2.0));
    }
}

fn ratings(tally: Tally) -> OutcomeCount {
    OutcomeCount { bad: tally.unacceptable, total: tally.rated }
}

fn failures(tally: Tally) -> OutcomeCount {
    OutcomeCount { bad: tally.failed, total: tally.ended }
}
