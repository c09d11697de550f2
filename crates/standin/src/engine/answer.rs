//! What a stand-in engine says: words, whether they are acceptable, and its confidence in them.
//!
//! Everything follows from the seed, the version and the prompt, so that a resumed answer continues the same text, and
//! answers of two versions to one prompt tend to fail together: some prompts are hard.

use foxtailhoist_edge::CompletionRequest;
use foxtailhoist_edge::CompletionUsage;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::stable_hash;

use super::spec::EngineFaults;
use super::spec::EngineSpec;
use crate::draw::unit_interval;
use crate::rating::UNACCEPTABLE_MARK;

/// Generated tokens of a request that states no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 32;
/// Most generated tokens of any request.
const OUTPUT_TOKENS_LIMIT: u32 = 16_384;
/// Share of prompts on which all versions draw the same luck.
const SHARED_LUCK_SHARE: f64 = 0.6;
/// An answer that is not acceptable shows its mark once in this many tokens.
const MARK_INTERVAL: u32 = 16;
const WORDS: [&str; 12] = [
    "flour", "water", "feed", "warm", "rest", "roll", "pulp", "sheet", "order", "ship", "early",
    "daily",
];

/// An answer before it is generated.
#[derive(Clone, Debug)]
pub(crate) struct PlannedAnswer {
    hash: u64,
    pub(crate) acceptable: bool,
    pub(crate) fails: bool,
    pub(crate) confidence: f64,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
}

impl PlannedAnswer {
    pub(crate) fn new(
        spec: &EngineSpec,
        faults: &EngineFaults,
        version: &ModelVersion,
        request: &CompletionRequest,
        attempt: u128,
    ) -> PlannedAnswer {
        let prompt = prompt_hash(spec.seed, request);
        let hash = stable_hash(prompt, &[version.to_string().as_bytes()]);
        let bad_share = faults.bad(version).map_or(0.0, |bad| bad.unacceptable_share);
        let acceptable = luck(prompt, hash) < spec.acceptable && draw(hash, "bad") >= bad_share;
        // Errors strike an attempt, not a prompt: a repeat may pass.
        let error_draw = unit_interval(stable_hash(spec.seed, &[&attempt.to_le_bytes()]));
        PlannedAnswer {
            hash,
            acceptable,
            fails: error_draw < faults.error_share(version),
            confidence: confidence(hash, acceptable),
            prompt_tokens: request.prompt_tokens(),
            output_tokens: request
                .max_tokens
                .unwrap_or(DEFAULT_OUTPUT_TOKENS)
                .clamp(1, OUTPUT_TOKENS_LIMIT),
        }
    }

    /// Text of one token.
    pub(crate) fn token(&self, index: u32) -> String {
        if !self.acceptable && index.is_multiple_of(MARK_INTERVAL) {
            return format!("{UNACCEPTABLE_MARK} ");
        }
        let draw = stable_hash(self.hash, &[&index.to_le_bytes()]);
        let count = WORDS.len() as u64;
        let word = usize::try_from(draw % count).map_or(WORDS[0], |index| WORDS[index]);
        format!("{word} ")
    }

    /// Text of all tokens from an index on.
    pub(crate) fn text_from(&self, index: u32) -> String {
        (index..self.output_tokens).map(|index| self.token(index)).collect()
    }

    /// Usage when so many tokens have been generated.
    pub(crate) fn usage(&self, output_tokens: u32) -> CompletionUsage {
        CompletionUsage { prompt_tokens: self.prompt_tokens, completion_tokens: output_tokens }
    }
}

fn prompt_hash(seed: u64, request: &CompletionRequest) -> u64 {
    let parts: Vec<&[u8]> =
        request.messages.iter().map(|message| message.text().as_bytes()).collect();
    stable_hash(seed, &parts)
}

/// Number from 0 to below 1: the prompt's own for a share of the prompts, else the version's.
fn luck(prompt: u64, answer: u64) -> f64 {
    let hash = if draw(prompt, "shared") < SHARED_LUCK_SHARE { prompt } else { answer };
    draw(hash, "luck")
}

/// About normal with deviation 1, around 1 for acceptable answers and around -1 for others: the sum of twelve uniform
/// draws has variance 1.
fn confidence(hash: u64, acceptable: bool) -> f64 {
    let draws = (0..12_u32).map(|index| unit_interval(stable_hash(hash, &[&index.to_be_bytes()])));
    let noise = draws.sum::<f64>() - 6.0;
    if acceptable { 1.0 + noise } else { -1.0 + noise }
}

fn draw(hash: u64, purpose: &str) -> f64 {
    unit_interval(stable_hash(hash, &[purpose.as_bytes()]))
}
