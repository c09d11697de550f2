//! Answers of a stand-in engine: their text, whether they are acceptable, and the engine's confidence.
//!
//! Text, acceptability and confidence are derived from the seed, the version and the prompt, so that a resumed answer
//! continues the same text. Answers of two versions to one prompt tend to be unacceptable together, because some
//! prompts are harder than others.

use foxtailhoist_edge::CompletionRequest;
use foxtailhoist_edge::CompletionUsage;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::stable_hash;

use super::spec::EngineFaults;
use super::spec::EngineSpec;
use crate::draw::unit_interval;
use crate::rating::UNACCEPTABLE_MARK;

/// Tokens generated for a request without a limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 32;
/// Maximum tokens generated for any request.
const OUTPUT_TOKENS_LIMIT: u32 = 16_384;
/// Share of prompts whose difficulty is the same for all versions.
const SHARED_DIFFICULTY_SHARE: f64 = 0.6;
/// Tokens between two marks in an unacceptable answer.
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
        let bad_share = faults.bad_version(version).map_or(0.0, |bad| bad.unacceptable_share);
        let acceptable =
            difficulty(prompt, hash) < spec.acceptable && draw(hash, "bad") >= bad_share;
        // Errors depend on the attempt, not on the prompt, so a retry may succeed.
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

    /// Usage after `output_tokens` generated tokens.
    pub(crate) fn usage(&self, output_tokens: u32) -> CompletionUsage {
        CompletionUsage { prompt_tokens: self.prompt_tokens, completion_tokens: output_tokens }
    }
}

fn prompt_hash(seed: u64, request: &CompletionRequest) -> u64 {
    let parts: Vec<&[u8]> =
        request.messages.iter().map(|message| message.text().as_bytes()).collect();
    stable_hash(seed, &parts)
}

/// Difficulty in [0, 1): derived from the prompt alone for [`SHARED_DIFFICULTY_SHARE`] of the prompts, otherwise also
/// from the version.
fn difficulty(prompt: u64, answer: u64) -> f64 {
    let hash = if draw(prompt, "shared") < SHARED_DIFFICULTY_SHARE { prompt } else { answer };
    draw(hash, "luck")
}

/// Approximately normal with standard deviation 1 and mean 1 for acceptable answers, -1 for others. The sum of twelve
/// uniform draws has variance 1.
fn confidence(hash: u64, acceptable: bool) -> f64 {
    let draws = (0..12_u32).map(|index| unit_interval(stable_hash(hash, &[&index.to_be_bytes()])));
    let noise = draws.sum::<f64>() - 6.0;
    if acceptable { 1.0 + noise } else { -1.0 + noise }
}

fn draw(hash: u64, purpose: &str) -> f64 {
    unit_interval(stable_hash(hash, &[purpose.as_bytes()]))
}
