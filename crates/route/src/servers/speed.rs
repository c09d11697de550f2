//! Measured speeds of prefill and decode.

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Tokens that every prefill is assumed to process besides its prompt.
const BASE_TOKENS: f64 = 64.0;
/// Prefill time per prompt token before the first sample.
const INITIAL_SECONDS_PER_PROMPT_TOKEN: f64 = 1.0 / 8000.0;
/// Decode time per generated token before the first sample.
const INITIAL_SECONDS_PER_OUTPUT_TOKEN: f64 = 0.02;

/// Moving averages of seconds per token; `None` before the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    prefill: Option<f64>,
    decode: Option<f64>,
    /// Shortest prefill time per token seen, rising slowly.
    best_prefill: Option<f64>,
}

impl Speed {
    /// Records the seconds to a first byte and the prompt tokens that had to be processed before it. Returns the time
    /// per token relative to the best.
    pub(crate) fn observe_prefill(&mut self, first_byte: f64, tokens: f64) -> f64 {
        let sample = first_byte / (tokens + BASE_TOKENS);
        self.prefill = Some(average(self.prefill, sample));
        relative_to_best(&mut self.best_prefill, sample)
    }

    /// Records the seconds from the first byte to the complete answer, and its tokens.
    pub(crate) fn observe_decode(&mut self, seconds: f64, tokens: f64) {
        let sample = seconds.max(0.0) / tokens.max(1.0);
        self.decode = Some(average(self.decode, sample));
    }

    /// Expected seconds for a number of prompt tokens; uses `fallback` before the first sample.
    pub(crate) fn prefill(&self, fallback: &Speed, tokens: f64) -> f64 {
        let per_token =
            self.prefill.or(fallback.prefill).unwrap_or(INITIAL_SECONDS_PER_PROMPT_TOKEN);
        per_token * (tokens + BASE_TOKENS)
    }

    /// Expected seconds for a number of generated tokens; uses `fallback` before the first sample.
    pub(crate) fn decode(&self, fallback: &Speed, tokens: f64) -> f64 {
        self.decode.or(fallback.decode).unwrap_or(INITIAL_SECONDS_PER_OUTPUT_TOKEN) * tokens
    }
}

/// 95th percentile of latency relative to the expected latency, tracked by small steps towards the quantile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyTail {
    ratio: f64,
}

impl LatencyTail {
    const STEP: f64 = 0.05;
    const QUANTILE: f64 = 0.95;
    const MIN_RATIO: f64 = 1.5;
    const MAX_RATIO: f64 = 20.0;

    pub(crate) fn observe(&mut self, ratio: f64) {
        let step =
            if ratio > self.ratio { LatencyTail::QUANTILE } else { LatencyTail::QUANTILE - 1.0 };
        self.ratio = (self.ratio * (1.0 + LatencyTail::STEP * step))
            .clamp(LatencyTail::MIN_RATIO, LatencyTail::MAX_RATIO);
    }

    pub(crate) fn ratio(&self) -> f64 {
        self.ratio
    }
}

impl Default for LatencyTail {
    fn default() -> LatencyTail {
        LatencyTail { ratio: 4.0 }
    }
}

/// Returns a sample relative to the best so far, which falls to a lower sample at once and rises slowly.
fn relative_to_best(best: &mut Option<f64>, sample: f64) -> f64 {
    /// Share of the distance to a higher sample by which the best rises.
    const RISE: f64 = 0.002;
    let current = best.unwrap_or(sample);
    let next = if sample < current { sample } else { current + RISE * (sample - current) };
    *best = Some(next);
    sample / next.max(1e-9)
}

fn average(current: Option<f64>, sample: f64) -> f64 {
    match current {
        Some(current) => current + SAMPLE_WEIGHT * (sample - current),
        None => sample,
    }
}
