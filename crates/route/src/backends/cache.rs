//! Estimate of the prompt parts in an engine's prefix cache.
//!
//! Only this host's own requests are known, so the estimate tends to be too low. Parts are recorded per model, and a
//! part counts only if all parts before it are cached too.

use std::collections::BTreeMap;
use std::time::Instant;

use foxtailhoist_model::ModelId;

use crate::in_flight::PromptPart;

/// Maximum number of parts recorded for one engine; a part takes about 80 bytes.
const MAX_PARTS: usize = 512;

/// Prompt parts that one engine has processed, by model, with the time of last use.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCacheEstimate {
    models: BTreeMap<ModelId, BTreeMap<u64, Instant>>,
}

impl PrefixCacheEstimate {
    /// Tokens at the start of the prompt that are probably cached and need no prefill.
    pub(crate) fn cached_tokens(&self, model: &str, parts: &[PromptPart]) -> u64 {
        let Some(known) = self.models.get(model) else {
            return 0;
        };
        let cached = parts.iter().take_while(|part| known.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Records that the engine has processed the parts; beyond the limit the least recently used are evicted.
    pub(crate) fn record_processed(&mut self, model: &str, parts: &[PromptPart], now: Instant) {
        let known = self.models.entry(model.to_owned()).or_default();
        known.extend(parts.iter().map(|part| (part.id, now)));
        while self.models.values().map(BTreeMap::len).sum::<usize>() > MAX_PARTS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
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
