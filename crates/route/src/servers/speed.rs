//! Learned speeds of prefill and decode.

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Tokens that every prefill is taken to have besides its prompt's.
const BASE_TOKENS: f64 = 64.0;
/// Seconds for each prompt token before anything is known.
const INITIAL_PREFILL: f64 = 1.0 / 8000.0;
/// Seconds for each generated token before anything is known.
const INITIAL_DECODE: f64 = 0.02;

/// Moving averages of seconds for each token; `None` until a sample came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    prefill: Option<f64>,
    decode: Option<f64>,
    /// The best prefill that was seen, rising slowly.
    best_prefill: Option<f64>,
}

impl Speed {
    /// Takes in a first byte, in seconds, for the prompt tokens that had to be computed before it. Returns the time
    /// relative to the best.
    pub(crate) fn observe_prefill(&mut self, first_byte: f64, tokens: f64) -> f64 {
        let sample = first_byte / (tokens + BASE_TOKENS);
        self.prefill = Some(average(self.prefill, sample));
        relative_to_best(&mut self.best_prefill, sample)
    }

    /// Takes in the time of the whole answer after its first byte, in seconds.
    pub(crate) fn observe_decode(&mut self, seconds: f64, tokens: f64) {
        let sample = seconds.max(0.0) / tokens.max(1.0);
        self.decode = Some(average(self.decode, sample));
    }

    /// Seconds for a number of prompt tokens, from this speed or else from a more general one.
    pub(crate) fn prefill(&self, general: &Speed, tokens: f64) -> f64 {
        let per_token = self.prefill.or(general.prefill).unwrap_or(INITIAL_PREFILL);
        per_token * (tokens + BASE_TOKENS)
    }

    /// Seconds for a number of generated tokens, from this speed or else from a more general one.
    pub(crate) fn decode(&self, general: &Speed, tokens: f64) -> f64 {
        self.decode.or(general.decode).unwrap_or(INITIAL_DECODE) * tokens
    }
}

/// Latency, relative to the expected, that 95 in 100 attempts stay below; learned by small steps towards the quantile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tail {
    ratio: f64,
}

impl Tail {
    const STEP: f64 = 0.05;
    const QUANTILE: f64 = 0.95;
    const MIN: f64 = 1.5;
    const MAX: f64 = 20.0;

    pub(crate) fn observe(&mut self, ratio: f64) {
        let step = if ratio > self.ratio { Tail::QUANTILE } else { Tail::QUANTILE - 1.0 };
        self.ratio = (self.ratio * (1.0 + Tail::STEP * step)).clamp(Tail::MIN, Tail::MAX);
    }

    pub(crate) fn ratio(&self) -> f64 {
        self.ratio
    }
}

impl Default for Tail {
    fn default() -> Tail {
        Tail { ratio: 4.0 }
    }
}

/// A sample relative to the best so far, which follows it down at once and up slowly.
fn relative_to_best(best: &mut Option<f64>, sample: f64) -> f64 {
    const RISE: f64 = 0.002;
    let present = best.unwrap_or(sample);
    let next = if sample < present { sample } else { present + RISE * (sample - present) };
    *best = Some(next);
    sample / next.max(1e-9)
}

fn average(present: Option<f64>, sample: f64) -> f64 {
    match present {
        Some(present) => present + SAMPLE_WEIGHT * (sample - present),
        None => sample,
    }
}
