//! Authentication keys of operators, peers and workspaces.
//!
//! A presented key is hashed first, so that the constant-time comparison always covers 32 bytes, independent of the
//! key's length. API keys are looked up by their digest in the configuration: the time of that lookup depends on the
//! digest, which reveals nothing about the key.

use std::collections::BTreeMap;
use std::fmt;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::OperatorId;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_route::session::SessionKeys;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Keys that this entry host accepts, and those with which it seals session tokens.
#[derive(Clone)]
pub struct KeyRing {
    operators: BTreeMap<OperatorId, KeyDigest>,
    peer: KeyDigest,
    sessions: SessionKeys,
}

type KeyDigest = [u8; 32];

impl KeyRing {
    #[must_use]
    pub fn new(
        operators: &BTreeMap<OperatorId, String>,
        peer: &str,
        sessions: SessionKeys,
    ) -> KeyRing {
        let operators =
            operators.iter().map(|(operator, key)| (operator.clone(), digest(key))).collect();
        KeyRing { operators, peer: digest(peer), sessions }
    }

    /// The operator whose key was presented.
    #[must_use]
    pub fn operator(&self, presented: &str) -> Option<&OperatorId> {
        let presented = digest(presented);
        let mut found = None;
        // Compares every key, so that the time does not reveal which one matched.
        for (operator, key) in &self.operators {
            if bool::from(key.ct_eq(&presented)) {
                found = Some(operator);
            }
        }
        found
    }

    /// Whether the presented key is the shared peer key.
    #[must_use]
    pub fn is_peer(&self, presented: &str) -> bool {
        self.peer.ct_eq(&digest(presented)).into()
    }

    /// Keys that seal session tokens.
    #[must_use]
    pub fn sessions(&self) -> &SessionKeys {
        &self.sessions
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRing").field("operators", &self.operators.keys()).finish_non_exhaustive()
    }
}

/// Workspaces by the digest of their API keys.
#[derive(Clone, Debug, Default)]
pub struct ApiKeys {
    workspaces: BTreeMap<String, WorkspaceId>,
}

impl ApiKeys {
    #[must_use]
    pub fn from_configuration(configuration: &Configuration) -> ApiKeys {
        let mut workspaces = BTreeMap::new();
        for (id, workspace) in &configuration.workspaces {
            for key_digest in &workspace.api_key_digests {
                workspaces.insert(key_digest.clone(), id.clone());
            }
        }
        ApiKeys { workspaces }
    }

    /// The workspace whose API key was presented.
    #[must_use]
    pub fn workspace(&self, presented: &str) -> Option<&WorkspaceId> {
        self.workspaces.get(&hex(&digest(presented)))
    }
}

/// Extracts the key from an `Authorization: Bearer` header.
#[must_use]
pub fn bearer_key(header: &str) -> Option<&str> {
    header.strip_prefix("Bearer ").map(str::trim).filter(|key| !key.is_empty())
}

fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
