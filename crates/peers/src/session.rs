//! Versions of sessions that callers name without a sealed token.
//!
//! Soft state at two homes: one in the data centre of the entry host that served the session, one in the whole fleet.
//! A lookup asks both, so a session is found from any data centre, and within its own also while that is cut off.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_model::stable_hash;

/// Most sessions; the least recently used is evicted.
pub const SESSIONS: usize = 8192;
/// Time without use after which a session is dropped.
pub const SESSION_TTL: Duration = Duration::from_secs(1800);
/// Most lookups under way; further ones end at once as not found.
pub const LOOKUPS: usize = 1024;
/// Longest wait for a home's answer.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Workspace and session, hashed; sessions of different workspaces never share a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionKey(u64, u64);

impl SessionKey {
    #[must_use]
    pub fn new(workspace: &WorkspaceId, session: &SessionId) -> SessionKey {
        let parts = [workspace.as_bytes(), session.as_bytes()];
        SessionKey(stable_hash(11, &parts), stable_hash(12, &parts))
    }

    pub(crate) fn to_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }
}

/// Sessions that this host is a home of.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionTable {
    sessions: BTreeMap<SessionKey, Kept>,
    by_use: BTreeMap<(Instant, SessionKey), ()>,
}

#[derive(Clone, Debug)]
struct Kept {
    model_version: ModelVersion,
    used_at: Instant,
}

impl SessionTable {
    pub fn store(&mut self, key: SessionKey, model_version: ModelVersion, now: Instant) {
        self.remove(key);
        self.expire(now);
        if self.sessions.len() >= SESSIONS
            && let Some((&(_, oldest), ())) = self.by_use.first_key_value()
        {
            self.remove(oldest);
        }
        self.by_use.insert((now, key), ());
        self.sessions.insert(key, Kept { model_version, used_at: now });
    }

    pub fn find(&mut self, key: SessionKey, now: Instant) -> Option<ModelVersion> {
        self.expire(now);
        let model_version = self.sessions.get(&key)?.model_version.clone();
        self.store(key, model_version.clone(), now);
        Some(model_version)
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((&(used_at, key), ())) = self.by_use.first_key_value() {
            if now < used_at + SESSION_TTL {
                return;
            }
            self.remove(key);
        }
    }

    fn remove(&mut self, key: SessionKey) {
        if let Some(kept) = self.sessions.remove(&key) {
            self.by_use.remove(&(kept.used_at, key));
        }
    }
}

/// Lookups of this host that wait for a home.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lookups {
    waiting: BTreeMap<u64, Lookup>,
}

#[derive(Clone, Debug)]
struct Lookup {
    /// Homes that have not answered.
    open: usize,
    until: Instant,
}

impl Lookups {
    /// Starts a lookup at `open` homes; false when there are too many.
    pub fn start(&mut self, token: u64, open: usize, now: Instant) -> bool {
        if open == 0 || self.waiting.len() >= LOOKUPS {
            return false;
        }
        self.waiting.insert(token, Lookup { open, until: now + LOOKUP_TIMEOUT });
        true
    }

    /// Takes a home's answer; true when the lookup ends with it.
    pub fn answered(&mut self, token: u64, found: bool) -> bool {
        let Some(lookup) = self.waiting.get_mut(&token) else {
            return false;
        };
        lookup.open -= 1;
        let ends = found || lookup.open == 0;
        if ends {
            self.waiting.remove(&token);
        }
        ends
    }

    /// Lookups whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let expired: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, lookup)| lookup.until <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in &expired {
            self.waiting.remove(token);
        }
        expired
    }

    pub fn next_expiry(&self) -> Option<Instant> {
        self.waiting.values().map(|lookup| lookup.until).min()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }
}
