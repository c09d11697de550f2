//! How long streams take, by the output that their callers allow.
//!
//! Pattern: a bound from the mean and the mean deviation (Jacobson, "Congestion avoidance and control", 1988). A host that
//! stops admits only streams that it expects to finish: short ones until shortly before its end, long ones no more.

use std::time::Duration;

/// Weights of a new sample in the mean and in the mean deviation.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// Mean deviations that the bound lies above the mean.
const DEVIATIONS: f64 = 4.0;
/// Output tokens that take as long as the wait for the first event, roughly.
const FIRST_EVENT_TOKENS: f64 = 40.0;
/// Assumed until streams were seen, and for those whose length is not known.
const UNKNOWN: Duration = Duration::from_secs(5);
/// Time beyond the bound, in which a server that fails is noticed and lost packets are sent again.
const MARGIN: Duration = Duration::from_millis(1_000);
/// Times that a stream may have to be begun: once more when its server fails.
const RUNS: u32 = 2;

/// Time of one service's streams for each token of output.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTime {
    /// Mean and mean deviation in seconds.
    seen: Option<(f64, f64)>,
}

impl StreamTime {
    /// Takes in how long a whole stream took whose caller allowed so many tokens of output.
    pub(crate) fn sample(&mut self, tokens: u64, elapsed: Duration) {
        if tokens == 0 {
            return;
        }
        let sample = elapsed.as_secs_f64() / (tokens as f64 + FIRST_EVENT_TOKENS);
        let (mean, deviation) = self.seen.unwrap_or((sample, sample / 2.0));
        let error = sample - mean;
        self.seen = Some((
            mean + MEAN_WEIGHT * error,
            deviation + DEVIATION_WEIGHT * (error.abs() - deviation),
        ));
    }

    /// Time in which a stream that begins now ends, also if its server fails. Streams without room for a repeat within
    /// [`UNKNOWN`] are given that time, or what they take without one if that is more.
    pub(crate) fn bound(&self, tokens: u64) -> Duration {
        match self.seen {
            Some((mean, deviation)) if tokens > 0 => {
                let each = mean + DEVIATIONS * deviation;
                let run = Duration::from_secs_f64(each * (tokens as f64 + FIRST_EVENT_TOKENS));
                (RUNS * run + MARGIN).min(run.max(UNKNOWN))
            }
            _ => UNKNOWN,
        }
    }
}
