//! Counters for metrics and measurements.

use foxtailhoist_model::StoreOp;

/// What the journal holds and has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalStats {
    /// Entries of this host that are not committed.
    pub entries_held: usize,
    /// Entries kept for other hosts.
    pub parked: usize,
    /// Entries that wait in the writers of this host.
    pub pending: usize,
    /// Segments that this host committed.
    pub segments: u64,
    /// Entries in those segments.
    pub entries_committed: u64,
    /// Segments of other hosts found where this host wanted to write.
    pub collisions: u64,
    /// Creates that took effect below the floor.
    pub void_creates: u64,
    /// Bills that were too old to tell whether they had been committed, and were dropped.
    pub expired: u64,
    /// Claims that became durable after their request had been refused.
    pub late_claims: u64,
    /// Loads of a shard.
    pub loads: u64,
    pub snapshots: u64,
    pub compactions: u64,
    pub calls: StoreCalls,
}

/// Calls to the store by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCalls {
    pub gets: u64,
    pub lists: u64,
    pub puts: u64,
    pub deletes: u64,
    pub watches: u64,
}

impl StoreCalls {
    /// All calls.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.gets + self.lists + self.puts + self.deletes + self.watches
    }

    pub(crate) fn count(&mut self, op: &StoreOp) {
        match op {
            StoreOp::Get { .. } => self.gets += 1,
            StoreOp::List { .. } => self.lists += 1,
            StoreOp::Put { .. } => self.puts += 1,
            StoreOp::Delete { .. } => self.deletes += 1,
            StoreOp::Watch { .. } => self.watches += 1,
        }
    }
}
