//! Counts of the calls made to the object API, whose rates are limited.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use foxtailhoist_model::StoreOp;

/// Call counter that all clones of a client share.
#[derive(Debug, Default)]
pub struct CallCounter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// Number of calls made so far, including failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallTotals {
    /// Gets and lists.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    pub watches: u64,
}

impl CallCounter {
    /// Number of calls made so far.
    #[must_use]
    pub fn totals(&self) -> CallTotals {
        CallTotals {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn count(&self, op: &StoreOp) {
        let counter = match op {
            StoreOp::Get { .. } | StoreOp::List { .. } => &self.reads,
            StoreOp::Put { .. } | StoreOp::Delete { .. } => &self.writes,
            StoreOp::Watch { .. } => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
