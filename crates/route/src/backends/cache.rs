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
    models: BTreeMap<ModelId, BTreeMap<u64, Instant>>,
}

impl CacheRecord {
    /// Tokens at the head of the prompt that need not be read again.
    pub(crate) fn held(&self, model: &str, parts: &[PromptPart]) -> u64 {
        let Some(known) = self.models.get(model) else {
            return 0;
        };
        let held = parts.iter().take_while(|part| known.contains_key(&part.id));
        held.map(|part| part.tokens).sum()
    }

    /// Records that the engine has read the parts; those read longest ago are forgotten beyond the limit.
    pub(crate) fn read(&mut self, model: &str, parts: &[PromptPart], now: Instant) {
        let known = self.models.entry(model.to_owned()).or_default();
        known.extend(parts.iter().map(|part| (part.id, now)));
        while self.models.values().map(BTreeMap::len).sum::<usize>() > MAX_PARTS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest_of_models = self.models.iter().filter_map(|(model, known)| {
            let (part, at) = known.iter().min_by_key(|(_, at)| **at)?;
            Some((*at, model, *part))
        });
        let oldest = oldest_of_models.min().map(|(_, model, part)| (model.clone(), part));
        if let Some((model, part)) = oldest
            && let Some(known) = self.models.get_mut(&model)
        {
            known.remove(&part);
        }
    }
}
