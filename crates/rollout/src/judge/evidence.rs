//! Increments between cumulative tallies.
//!
//! Hosts report counters that only grow while they run. The sum over the other hosts drops when one of them becomes
//! unreachable and jumps when it returns; neither is new evidence.

use foxtailhoist_model::Tally;

/// Turns one source's cumulative tallies into increments.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncrementTracker {
    last: Option<Tally>,
    /// Tally of unreachable hosts, which must not count as new when they return.
    missing: Tally,
}

/// New evidence from a source.
#[derive(Clone, Copy, Debug)]
pub struct Increment {
    pub tally: Tally,
    /// First tally of this source, which may include evidence from before this host started.
    pub is_first: bool,
}

impl IncrementTracker {
    /// Records the source's latest `tally` and returns what is new in it.
    pub fn update(&mut self, tally: Tally) -> Increment {
        let Some(last) = self.last.replace(tally) else {
            return Increment { tally, is_first: true };
        };
        let decrease = saturating_minus(last, tally);
        if decrease != Tally::default() {
            self.missing = self.missing.plus(decrease);
            return Increment { tally: Tally::default(), is_first: false };
        }
        let mut increment = saturating_minus(tally, last);
        if self.has_returned(increment) {
            increment = saturating_minus(increment, self.missing);
            self.missing = Tally::default();
        }
        Increment { tally: increment, is_first: false }
    }

    /// Whether the increment is large enough to contain the tally of the unreachable hosts.
    fn has_returned(&self, increment: Tally) -> bool {
        let missing = self.missing;
        missing != Tally::default()
            && increment.rated >= missing.rated
            && increment.ended >= missing.ended
            && increment.timed >= missing.timed
    }
}

fn saturating_minus(a: Tally, b: Tally) -> Tally {
    Tally {
        rated: a.rated.saturating_sub(b.rated),
        unacceptable: a.unacceptable.saturating_sub(b.unacceptable),
        ended: a.ended.saturating_sub(b.ended),
        failed: a.failed.saturating_sub(b.failed),
        timed: a.timed.saturating_sub(b.timed),
        slow: a.slow.saturating_sub(b.slow),
        callers: a.callers.saturating_sub(b.callers),
    }
}
