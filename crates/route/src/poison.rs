//! Contents that were running when a backend server died.
//!
//! The first such death makes a content a suspect: it is never hedged and its one repeat runs alone. A second death
//! quarantines it. Both marks are shared with the peers, expire, and live in bounded tables whose oldest entry goes
//! first.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Fingerprint;

const SUSPECT_TTL: Duration = Duration::from_secs(600);
const QUARANTINE_TTL: Duration = Duration::from_secs(3600);
/// Contents in each table.
const MAX_CONTENTS: usize = 4096;

/// What a death did to a content's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    Suspect,
    Quarantined,
}

/// Suspected and quarantined contents, with their expiry.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    suspects: BTreeMap<Fingerprint, Instant>,
    quarantined: BTreeMap<Fingerprint, Instant>,
}

impl Poison {
    /// Records that a backend server died with the content running.
    pub(crate) fn died(&mut self, content: Fingerprint, now: Instant) -> Standing {
        if self.is_suspect(content, now) {
            self.quarantine(content, now);
            return Standing::Quarantined;
        }
        self.suspect(content, now);
        Standing::Suspect
    }

    pub(crate) fn suspect(&mut self, content: Fingerprint, now: Instant) {
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

    /// Contents in the larger table.
    pub(crate) fn len(&self) -> usize {
        self.suspects.len().max(self.quarantined.len())
    }

    /// Most contents in each table.
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
