//! Secret keys and their sources.

use std::env;
use std::fmt;
use std::fs;
use std::path::PathBuf;

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Shortest key, in bytes.
pub(crate) const KEY_MIN_BYTES: usize = 16;

/// A key that is redacted in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret {
    text: String,
}

/// Source of a key. Inline keys are for development.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "RawKeySource")]
pub(crate) enum KeySource {
    /// Path of a file that contains only the key.
    File(PathBuf),
    /// Name of an environment variable.
    Env(String),
    Inline(Secret),
}

/// A key source as written in the file. A value of any other form is discarded unread: it may be the key itself, which
/// must not appear in a fault.
#[derive(Deserialize)]
#[serde(untagged)]
enum RawKeySource {
    File(FileSource),
    Env(EnvSource),
    Inline(InlineSource),
    Other(IgnoredAny),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileSource {
    file: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EnvSource {
    env: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InlineSource {
    inline: String,
}

impl Secret {
    #[must_use]
    pub fn new(text: &str) -> Secret {
        Secret { text: text.to_owned() }
    }

    /// The key itself; it must not be logged.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.text
    }
}

impl TryFrom<RawKeySource> for KeySource {
    type Error = &'static str;

    fn try_from(raw: RawKeySource) -> Result<KeySource, &'static str> {
        match raw {
            RawKeySource::File(FileSource { file }) => Ok(KeySource::File(file)),
            RawKeySource::Env(EnvSource { env }) => Ok(KeySource::Env(env)),
            RawKeySource::Inline(InlineSource { inline }) => {
                Ok(KeySource::Inline(Secret { text: inline }))
            }
            RawKeySource::Other(_) => Err("something other than one of file, env and inline"),
        }
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl KeySource {
    /// Fetches the key and trims white space. The error describes what was found, but never contains the key.
    pub(crate) fn fetch(&self) -> Result<Secret, String> {
        let text = match self {
            KeySource::File(path) => fs::read_to_string(path)
                .map_err(|e| format!("file {} that cannot be read: {e}", path.display()))?,
            KeySource::Env(name) => env::var(name)
                .map_err(|_| format!("environment variable {name}, which is not set"))?,
            KeySource::Inline(secret) => secret.text.clone(),
        };
        let secret = Secret::new(text.trim());
        if secret.text.len() < KEY_MIN_BYTES {
            return Err(format!("a key of {} bytes", secret.text.len()));
        }
        if !secret.text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("a key with characters that are not allowed in a header".to_owned());
        }
        Ok(secret)
    }
}
