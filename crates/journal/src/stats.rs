//! Counters for metrics and measurements.

use foxtailhoist_model::StoreOp;

/// Current sizes and counters of a journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalStats {
    /// Uncommitted entries that this host has to deliver.
    pub entries_held: usize,
    /// Replicas held for other hosts.
    pub parked: usize,
    /// Entries that wait in this host's shard writers.
    pub pending: usize,
    /// Segments that this host committed.
    pub segments: u64,
    /// Entries in those segments.
    pub entries_committed: u64,
    /// Writes and end reads of this host that found a segment of another writer at their sequence number.
    pub collisions: u64,
    /// Creates and reads that found their sequence number below the floor or its segment missing.
    pub void_creates: u64,
    /// Bills that were dropped because they were too old to determine whether they had been committed.
    pub expired: u64,
    /// Claims that became durable after their request was refused.
    pub late_claims: u64,
    /// Shard loads started.
    pub loads: u64,
    pub snapshots: u64,
    pub compactions: u64,
    pub calls: StoreCalls,
}

/// Number of store calls by kind.
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
