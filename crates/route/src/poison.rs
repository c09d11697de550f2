//! Poison requests: request contents that were running when a backend server died.
//!
//! The first such death makes a content a suspect: it is never hedged and its only retry runs alone on a server. A
//! second death quarantines it. Both states are shared with the peers, expire, and are kept in bounded tables that
//! evict the oldest entry first.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Fingerprint;

const SUSPECT_TTL: Duration = Duration::from_secs(600);
const QUARANTINE_TTL: Duration = Duration::from_secs(3600);
/// Maximum number of contents in each table.
const MAX_CONTENTS: usize = 4096;

/// Status of a content after a server death.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineStatus {
    Suspect,
    Quarantined,
}

/// Suspected and quarantined contents, each with its expiration time.
#[derive(Debug, Default)]
pub(crate) struct PoisonTable {
    suspects: BTreeMap<Fingerprint, Instant>,
    quarantined: BTreeMap<Fingerprint, Instant>,
}

impl PoisonTable {
    /// Records that a backend server died while it ran the content.
    pub(crate) fn record_server_death(
        &mut self,
        content: Fingerprint,
        now: Instant,
    ) -> QuarantineStatus {
        if self.is_suspect(content, now) {
            self.quarantine(content, now);
            return QuarantineStatus::Quarantined;
        }
        self.mark_suspect(content, now);
        QuarantineStatus::Suspect
    }

    pub(crate) fn mark_suspect(&mut self, content: Fingerprint, now: Instant) {
        insert(&mut self.suspects, content, now + SUSPECT_TTL);
    }

    pub(crate) fn quarantine(&mut self, content: Fingerprint, now: Instant) {
        insert(&mut self.quarantined, content, now + QUARANTINE_TTL);
    }

    pub(crate) fn is_suspect(&self, content: Fingerprint, now: Instant) -> bool {
        self.suspects.get(&content).is_some_and(|expiry| now < *expiry)
    }

    pub(crate) fn is_quarantined(&self, content: Fingerprint, now: Instant) -> bool {
        self.quarantined.get(&content).is_some_and(|expiry| now < *expiry)
    }

    /// Number of contents in the larger table.
    pub(crate) fn len(&self) -> usize {
        self.suspects.len().max(self.quarantined.len())
    }

    /// Maximum number of contents in each table.
    pub(crate) fn capacity() -> usize {
        MAX_CONTENTS
    }
}

fn insert(table: &mut BTreeMap<Fingerprint, Instant>, content: Fingerprint, expiry: Instant) {
    if table.len() >= MAX_CONTENTS && !table.contains_key(&content) {
        let oldest = table.iter().min_by_key(|(_, expiry)| **expiry).map(|(content, _)| *content);
        if let Some(oldest) = oldest {
            table.remove(&oldest);
        }
    }
    table.insert(content, expiry);
}
