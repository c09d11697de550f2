//! Sealed session tokens: the version that a session is pinned to, readable by any entry host.
//!
//! A token holds the session and the version in clear text and an HMAC-SHA256 tag over them and the
//! workspace. Two keys are valid at a time, so that keys can be rotated without ending a session.

use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::SessionPin;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use thiserror::Error;

/// Maximum length of a token, in bytes.
const MAX_TOKEN_LENGTH: usize = 1024;

/// Keys that seal and open session tokens.
#[derive(Clone)]
pub struct SessionKeys {
    /// Key that seals new tokens, and opens them.
    pub current: Vec<u8>,
    /// Key that opens tokens sealed before the last key rotation.
    pub previous: Option<Vec<u8>>,
}

/// Why a session token was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SessionTokenError {
    #[error("the session token cannot be read; send the token of the last answer unchanged")]
    Malformed,
    #[error(
        "the session token is not of this workspace, or its key has expired; start a new session"
    )]
    NotValid,
}

impl SessionKeys {
    /// Returns a token that pins a session to a version, valid for one workspace.
    #[must_use]
    pub fn seal(&self, workspace: &str, session: &str, model_version: &ModelVersion) -> String {
        let version = model_version.to_string();
        let tag = mac(&self.current, workspace, session, &version).finalize().into_bytes();
        let parts = [session.as_bytes(), version.as_bytes(), tag.as_slice()];
        parts.map(to_hex).join(".")
    }

    /// Verifies a token and returns the session and the version it is pinned to.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a token, or if neither key verifies it for the workspace.
    pub fn open(&self, workspace: &str, token: &str) -> Result<SessionPin, SessionTokenError> {
        if token.len() > MAX_TOKEN_LENGTH {
            return Err(SessionTokenError::Malformed);
        }
        let mut parts = token.split('.');
        let session = text_part(parts.next())?;
        let version = text_part(parts.next())?;
        let tag = from_hex(parts.next()).ok_or(SessionTokenError::Malformed)?;
        if parts.next().is_some() {
            return Err(SessionTokenError::Malformed);
        }
        let keys = [Some(&self.current), self.previous.as_ref()];
        let verifies =
            |key: &Vec<u8>| mac(key, workspace, &session, &version).verify_slice(&tag).is_ok();
        if !keys.into_iter().flatten().any(verifies) {
            return Err(SessionTokenError::NotValid);
        }
        let version = version.parse().map_err(|_| SessionTokenError::Malformed)?;
        Ok(SessionPin { session, version: Some(version) })
    }
}

fn mac(key: &[u8], workspace: &str, session: &str, version: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    for part in [workspace, session, version] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part.as_bytes());
    }
    mac
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(part: Option<&str>) -> Option<Vec<u8>> {
    let digits = part?.as_bytes();
    if digits.len() % 2 != 0 {
        return None;
    }
    let digit = |byte: u8| char::from(byte).to_digit(16).map(|digit| digit as u8);
    digits.chunks_exact(2).map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?)).collect()
}

fn text_part(part: Option<&str>) -> Result<String, SessionTokenError> {
    let bytes = from_hex(part).ok_or(SessionTokenError::Malformed)?;
    String::from_utf8(bytes).map_err(|_| SessionTokenError::Malformed)
}
