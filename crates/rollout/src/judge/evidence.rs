//! Differences between cumulative tallies.
//!
//! Hosts report counters that only grow while they run. The sum over the other hosts falls when one of them vanishes
//! and jumps when it returns; neither is new evidence.

use foxtailhoist_model::Tally;

/// Turns one source's cumulative tallies into increments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Differences {
    seen: Option<Tally>,
    /// Evidence that vanished with a host and is counted again when the host returns.
    missing: Tally,
}

/// New evidence from a source.
#[derive(Clone, Copy, Debug)]
pub struct Increment {
    pub tally: Tally,
    /// The source was heard for the first time: the tally may reach back to before this host started.
    pub first: bool,
}

impl Differences {
    /// Evidence that `tally` holds beyond what was seen before.
    pub fn advance(&mut self, tally: Tally) -> Increment {
        let Some(seen) = self.seen.replace(tally) else {
            return Increment { tally, first: true };
        };
        let fallen = minus(seen, tally);
        if fallen != Tally::default() {
            self.missing = self.missing.plus(fallen);
            return Increment { tally: Tally::default(), first: false };
        }
        let mut increment = minus(tally, seen);
        if self.has_returned(increment) {
            increment = minus(increment, self.missing);
            self.missing = Tally::default();
        }
        Increment { tally: increment, first: false }
    }

    fn has_returned(&self, increment: Tally) -> bool {
        let missing = self.missing;
        missing != Tally::default()
            && increment.rated >= missing.rated
            && increment.ended >= missing.ended
            && increment.timed >= missing.timed
    }
}

fn minus(a: Tally, b: Tally) -> Tally {
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
