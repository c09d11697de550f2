//! Evidence on one version and the tests that run on it.

use foxtailhoist_model::Tally;

use crate::judge::evidence::Differences;
use crate::judge::evidence::Increment;
use crate::judge::record::Record;
use crate::judge::sequential::ChangeTest;
use crate::judge::sequential::Count;
use crate::judge::sequential::MixtureTest;

/// Shares of bad outcomes that a version is measured against.
#[derive(Clone, Copy, Debug)]
pub struct Reference {
    /// Ratings of the model's settled versions; `None` where there is none.
    pub unacceptable: Option<f64>,
    /// Failures of all other versions lately: a fault of the network or a data centre shows there too.
    pub failed: f64,
    /// Slow answers of the model's settled versions lately; `None` where there is none.
    pub slow: Option<f64>,
}

/// Kind of outcome that spoke against a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grounds {
    Ratings,
    Failures,
    Latency,
}

/// All that is known about one version.
#[derive(Clone, Debug)]
pub struct VersionEvidence {
    own: Differences,
    others: Differences,
    /// Ratings since the version came into use, and its own long-term shares.
    rated: Count,
    unacceptable: Record,
    failed: Record,
    recently_failed: Record,
    recently_slow: Record,
    canary: MixtureTest,
    rating_change: ChangeTest,
    /// Reference of `rating_change`, fixed while the sum is above 0 so that a fault does not become its own norm.
    rating_reference: f64,
    failure_change: ChangeTest,
    /// Reference of `failure_change`, fixed likewise.
    failure_reference: f64,
    slow_change: ChangeTest,
}

/// Chance of a false veto by the mixture test is at most the inverse.
const CANARY_LOG_THRESHOLD: f64 = 9.4;
/// Thresholds of the change tests on ratings and latency, and on failures, whose usual share lies far below its
/// reference.
const CHANGE_LOG_THRESHOLD: f64 = 14.0;
const FAILURE_LOG_THRESHOLD: f64 = 12.2;
/// Share of unacceptable answers above the settled one's that is still tolerated in a canary.
const CANARY_TOLERANCE: f64 = 0.03;
/// Share above its own record that a settled version's ratings may show.
const SETTLED_TOLERANCE: f64 = 0.05;
/// Lowest reference share for a settled version's ratings: the mix of task classes moves the share.
const SETTLED_REFERENCE_FLOOR: f64 = 0.15;
/// Share of unacceptable answers that means a fault, and least distance from the reference.
const FAULT_SHARE: f64 = 0.5;
const FAULT_DISTANCE: f64 = 0.25;
/// Reference for a canary of a model that has no settled version.
const UNKNOWN_UNACCEPTABLE: f64 = 0.5;
/// Lowest reference share of failures; servers die and come back in ordinary use.
const FAILURE_REFERENCE_FLOOR: f64 = 0.02;
/// Highest reference share of failures: whatever happens elsewhere, a version that only fails is vetoed.
const FAILURE_REFERENCE_LIMIT: f64 = 0.3;
/// Factor from the failures seen elsewhere to the reference.
const FAILURE_TOLERANCE: f64 = 2.0;
/// A failure weighs at most this factor, so that the crash of one server with a few requests is no veto.
const FAILURE_RATIO: f64 = std::f64::consts::E;
/// Lowest reference share of slow answers and factor from the settled version's.
const SLOW_REFERENCE_FLOOR: f64 = 0.15;
const SLOW_TOLERANCE: f64 = 1.5;
/// Observations that the records remember.
const LONG_WINDOW: f64 = 2000.0;
const RECENT_WINDOW: f64 = 200.0;
/// Weight of a record, in ratings, from which its share is held fixed while a change is suspected.
const LEARNT_WEIGHT: f64 = 100.0;

impl Default for VersionEvidence {
    fn default() -> VersionEvidence {
        VersionEvidence {
            own: Differences::default(),
            others: Differences::default(),
            rated: Count::default(),
            unacceptable: Record::new(0.2, 20.0, LONG_WINDOW),
            failed: Record::new(0.005, 100.0, LONG_WINDOW),
            recently_failed: Record::new(0.005, 40.0, RECENT_WINDOW),
            recently_slow: Record::new(0.05, 40.0, RECENT_WINDOW),
            canary: MixtureTest::default(),
            rating_change: ChangeTest::default(),
            rating_reference: 0.0,
            failure_change: ChangeTest::default(),
            failure_reference: 0.0,
            slow_change: ChangeTest::default(),
        }
    }
}

impl VersionEvidence {
    /// Takes this host's cumulative tally.
    pub fn own(&mut self, tally: Tally) -> Increment {
        self.own.advance(tally)
    }

    /// Takes the sum of the other hosts' cumulative tallies.
    pub fn others(&mut self, tally: Tally) -> Increment {
        self.others.advance(tally)
    }

    /// Tests a canary on new evidence.
    pub fn test_canary(&mut self, tally: Tally, reference: Reference) -> Option<Grounds> {
        let ratings = ratings(tally);
        let unacceptable = reference.unacceptable.unwrap_or(UNKNOWN_UNACCEPTABLE);
        self.canary.add(ratings, unacceptable + CANARY_TOLERANCE);
        self.test_failures(failures(tally), 0.0, reference.failed);
        self.test_slow(Count { bad: tally.slow, all: tally.timed }, reference.slow);
        self.learn(tally);
        if self.canary.log_evidence() >= CANARY_LOG_THRESHOLD {
            return Some(Grounds::Ratings);
        }
        if self.failure_change.log_evidence() >= FAILURE_LOG_THRESHOLD {
            return Some(Grounds::Failures);
        }
        let slow = self.slow_change.log_evidence() >= CHANGE_LOG_THRESHOLD;
        slow.then_some(Grounds::Latency)
    }

    /// Tests a settled version on new evidence, against its own record. Latency is no ground: overload slows it too.
    pub fn test_settled(&mut self, tally: Tally, reference: Reference) -> Option<Grounds> {
        let learnt = self.unacceptable.weight() >= LEARNT_WEIGHT;
        if !learnt || self.rating_change.log_evidence() <= 0.0 {
            let expected = self.unacceptable.share() + SETTLED_TOLERANCE;
            self.rating_reference = expected.max(SETTLED_REFERENCE_FLOOR);
        }
        let changed = FAULT_SHARE.max(self.rating_reference + FAULT_DISTANCE);
        self.rating_change.add(ratings(tally), self.rating_reference, changed);
        if self.failure_change.log_evidence() <= 0.0 {
            self.failure_reference = FAILURE_TOLERANCE * self.failed.share();
        }
        self.test_failures(failures(tally), self.failure_reference, reference.failed);
        self.learn(tally);
        if self.rating_change.log_evidence() >= CHANGE_LOG_THRESHOLD {
            return Some(Grounds::Ratings);
        }
        let failing = self.failure_change.log_evidence() >= FAILURE_LOG_THRESHOLD;
        failing.then_some(Grounds::Failures)
    }

    /// Learns from evidence without testing it.
    pub fn learn(&mut self, tally: Tally) {
        self.rated = self.rated.plus(ratings(tally));
        self.unacceptable.add(ratings(tally));
        self.failed.add(failures(tally));
        self.recently_failed.add(failures(tally));
        self.recently_slow.add(Count { bad: tally.slow, all: tally.timed });
    }

    /// Drops the record of ratings: the mix of task classes is about to change.
    pub fn forget_ratings(&mut self) {
        let fresh = VersionEvidence::default();
        self.unacceptable = fresh.unacceptable;
        self.rating_change = fresh.rating_change;
    }

    /// Restarts the tests and records but not the count of what was seen.
    #[must_use]
    pub fn restarted(&self) -> VersionEvidence {
        VersionEvidence { own: self.own, others: self.others, ..VersionEvidence::default() }
    }

    /// Whether a canary's ratings are within the tolerance, one standard error allowed.
    #[must_use]
    pub fn not_worse(&self, reference: Reference) -> bool {
        if self.rated.all == 0 {
            return false;
        }
        let expected = reference.unacceptable.unwrap_or(UNKNOWN_UNACCEPTABLE) + CANARY_TOLERANCE;
        let answers = self.rated.all as f64;
        let standard_error = (expected * (1.0 - expected).max(0.0) / answers).sqrt();
        self.rated.bad as f64 / answers <= expected + standard_error
    }

    /// Ratings seen.
    #[must_use]
    pub fn rated(&self) -> u64 {
        self.rated.all
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

    fn test_failures(&mut self, count: Count, expected: f64, elsewhere: f64) {
        let reference = expected.max(FAILURE_TOLERANCE * elsewhere);
        let reference = reference.clamp(FAILURE_REFERENCE_FLOOR, FAILURE_REFERENCE_LIMIT);
        self.failure_change.add(count, reference, reference * FAILURE_RATIO);
    }

    fn test_slow(&mut self, count: Count, settled: Option<f64>) {
        let Some(settled) = settled else {
            return;
        };
        let reference = (settled * SLOW_TOLERANCE).max(SLOW_REFERENCE_FLOOR);
        self.slow_change.add(count, reference, FAULT_SHARE.max(reference * 2.0));
    }
}

fn ratings(tally: Tally) -> Count {
    Count { bad: tally.unacceptable, all: tally.rated }
}

fn failures(tally: Tally) -> Count {
    Count { bad: tally.failed, all: tally.ended }
}
