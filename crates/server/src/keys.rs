//! Keys of operators, peers and workspaces, compared in constant time.
//!
//! A presented key is hashed first, so that comparison always runs over 32 bytes whatever was presented. API keys are
//! found by their digest in the configuration: the time of that look-up depends on the digest, which tells nothing
//! about the key.

use std::collections::BTreeMap;
use std::fmt;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::OperatorId;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_route::session::SessionKeys;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Keys that this entry host accepts or signs with.
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
        // Looks at every key, so that the time does not tell which one matched.
        for (operator, key) in &self.operators {
            if bool::from(key.ct_eq(&presented)) {
                found = Some(operator);
            }
        }
        found
    }

    /// Whether the presented key is the one that peers share.
    #[must_use]
    pub fn is_peer(&self, presented: &str) -> bool {
        self.peer.ct_eq(&digest(presented)).into()
    }

    /// Keys of session tokens.
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
    pub fn of(configuration: &Configuration) -> ApiKeys {
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

/// Key of an `Authorization: Bearer` header.
#[must_use]
pub fn bearer(header: &str) -> Option<&str> {
    header.strip_prefix("Bearer ").map(str::trim).filter(|key| !key.is_empty())
}

fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
