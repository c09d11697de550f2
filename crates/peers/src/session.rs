//! Versions of sessions whose callers send the bare session id instead of a sealed token, which names the version.
//!
//! Each session is soft state on two owning hosts: one in the data centre of the entry host that served the session,
//! and one in the whole fleet. A lookup queries both, so a session is found from any data centre, and within its own
//! also while that data centre is partitioned from the others.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_model::stable_hash;

/// Maximum number of sessions; the least recently used is evicted.
pub const MAX_SESSIONS: usize = 8192;
/// Time without use after which a session expires.
pub const SESSION_TTL: Duration = Duration::from_secs(1800);
/// Maximum number of concurrent lookups; further ones return not found at once.
pub const MAX_LOOKUPS: usize = 1024;
/// Timeout of a lookup at the owning hosts.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Hash of workspace and session, so that sessions of different workspaces have different keys.
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

/// Sessions that this host owns.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionTable {
    sessions: BTreeMap<SessionKey, PinnedSession>,
    by_use: BTreeMap<(Instant, SessionKey), ()>,
}

#[derive(Clone, Debug)]
struct PinnedSession {
    model_version: ModelVersion,
    used_at: Instant,
}

impl SessionTable {
    pub fn store(&mut self, key: SessionKey, model_version: ModelVersion, now: Instant) {
        self.remove(key);
        self.expire(now);
        if self.sessions.len() >= MAX_SESSIONS
            && let Some((&(_, oldest), ())) = self.by_use.first_key_value()
        {
            self.remove(oldest);
        }
        self.by_use.insert((now, key), ());
        self.sessions.insert(key, PinnedSession { model_version, used_at: now });
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
        if let Some(pinned) = self.sessions.remove(&key) {
            self.by_use.remove(&(pinned.used_at, key));
        }
    }
}

/// Lookups of this host that wait for the owning hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lookups {
    pending: BTreeMap<u64, Lookup>,
}

#[derive(Clone, Debug)]
struct Lookup {
    /// Number of owning hosts that have not answered.
    unanswered: usize,
    deadline: Instant,
}

impl Lookups {
    /// Starts a lookup at `unanswered` hosts; returns false if there are no hosts or too many lookups.
    pub fn start(&mut self, token: u64, unanswered: usize, now: Instant) -> bool {
        if unanswered == 0 || self.pending.len() >= MAX_LOOKUPS {
            return false;
        }
        self.pending.insert(token, Lookup { unanswered, deadline: now + LOOKUP_TIMEOUT });
        true
    }

    /// Records an owning host's answer; returns whether it ends the lookup.
    pub fn answered(&mut self, token: u64, found: bool) -> bool {
        let Some(lookup) = self.pending.get_mut(&token) else {
            return false;
        };
        lookup.unanswered -= 1;
        let ends = found || lookup.unanswered == 0;
        if ends {
            self.pending.remove(&token);
        }
        ends
    }

    /// Removes and returns lookups that timed out.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, lookup)| lookup.deadline <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in &expired {
            self.pending.remove(token);
        }
        expired
    }

    pub fn next_expiry(&self) -> Option<Instant> {
        self.pending.values().map(|lookup| lookup.deadline).min()
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }
}
