//! Duration of streams, by the output length that their callers allow.
//!
//! Pattern: a bound from the mean and the mean deviation (Jacobson, "Congestion avoidance and control", 1988). A host
//! that is stopping admits only streams that it expects to finish, so short ones until shortly before it exits and long
//! ones only while enough time is left.

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Distance of the bound above the mean, in mean deviations.
const BOUND_DEVIATIONS: f64 = 4.0;
/// Output tokens that take roughly as long as the wait for the first event.
const FIRST_EVENT_TOKENS: f64 = 40.0;
/// Bound before any stream has completed, and for streams of unknown length.
const DEFAULT_BOUND: Duration = Duration::from_secs(5);
/// Time added to the bound for the detection of a server failure and for the retransmission of lost packets.
const MARGIN: Duration = Duration::from_millis(1_000);
/// Runs that a stream may need: a second one if its server fails.
const MAX_RUNS: u32 = 2;

/// Duration of one service's streams per output token.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTime {
    /// Mean and mean deviation in seconds.
    estimate: Option<(f64, f64)>,
}

impl StreamTime {
    /// Records the duration of a complete stream whose caller allowed `tokens` of output.
    pub(crate) fn sample(&mut self, tokens: u64, elapsed: Duration) {
        if tokens == 0 {
            return;
        }
        let sample = elapsed.as_secs_f64() / (tokens as f64 + FIRST_EVENT_TOKENS);
        let (mean, deviation) = self.estimate.unwrap_or((sample, sample / 2.0));
        let error = sample - mean;
        self.estimate = Some((
            mean + MEAN_WEIGHT * error,
            deviation + DEVIATION_WEIGHT * (error.abs() - deviation),
        ));
    }

    /// Time within which a stream that starts now is expected to end, even if its server fails. Where two runs and
    /// [`MARGIN`] take longer than [`DEFAULT_BOUND`], the bound is [`DEFAULT_BOUND`] or the time of one run, whichever
    /// is longer, and may not cover a second run.
    pub(crate) fn bound(&self, tokens: u64) -> Duration {
        match self.estimate {
            Some((mean, deviation)) if tokens > 0 => {
                let per_token = mean + BOUND_DEVIATIONS * deviation;
                let run = Duration::from_secs_f64(per_token * (tokens as f64 + FIRST_EVENT_TOKENS));
                (MAX_RUNS * run + MARGIN).min(run.max(DEFAULT_BOUND))
            }
            _ => DEFAULT_BOUND,
        }
    }
}
