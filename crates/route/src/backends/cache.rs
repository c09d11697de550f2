//! Which parts of prompts an engine probably holds.
//!
//! Only this host's own requests are seen, so the record is a guess that errs towards less. Parts are kept for each
//! model, and a part counts only if all parts before it are held too.

use std::collections::BTreeMap;
use std::time::Instant;

use foxtailhoist_model::ModelId;

use crate::flight::PromptPart;

/// Parts that are recorded for one engine; a part takes about 80 bytes.
const MAX_PARTS: usize = 512;

/// Parts of prompts that one engine has read.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheRecord {
    parts: BTreeMap<(ModelId, u64), Instant>,
}

impl CacheRecord {
    /// Tokens at the head of the prompt that need not be read again.
    pub(crate) fn held(&self, model: &str, parts: &[PromptPart]) -> u64 {
        let mut held = 0;
        for part in parts {
            if !self.parts.contains_key(&(model.to_owned(), part.id)) {
                break;
            }
            held += part.tokens;
        }
        held
    }

    /// Records that the engine has read the parts; `tokens` is what its cache holds in all.
    pub(crate) fn read(&mut self, model: &str, parts: &[PromptPart], now: Instant) {
        for part in parts {
            self.parts.insert((model.to_owned(), part.id), now);
        }
        while self.parts.len() > MAX_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, at)| **at).map(|(key, _)| key.clone());
            if let Some(key) = oldest {
                self.parts.remove(&key);
            }
        }
    }
}
