//! Latency histograms that merge without loss.
//!
//! All histograms have the same bounds and precision, so merging two adds the counts of equal buckets. A histogram
//! that is being recorded into is held decoded, at about 20 kB; one that was merged, received or compressed is held
//! in the HDR V2 encoding, whose size grows with the buckets in use. One without latencies takes no memory.

use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use hdrhistogram::serialization::Serializer;
use hdrhistogram::serialization::V2Serializer;
use serde::Deserialize;
use serde::Serialize;

/// Lowest latency that is distinguished, in milliseconds.
const LOWEST_MS: u64 = 1;
/// Highest latency that is distinguished, in milliseconds; longer ones are counted as this.
const HIGHEST_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Byte range of an encoding that holds its bounds and precision.
const FORMAT_BYTES: std::ops::Range<usize> = 8..40;
/// Maximum length of an accepted encoding, in bytes.
const ENCODED_LIMIT_BYTES: usize = 64 * 1024;

/// Histogram of latencies in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(into = "Bytes", try_from = "Bytes")]
pub struct Latencies {
    state: State,
}

#[derive(Clone, Debug)]
enum State {
    Empty,
    Decoded(Histogram<u64>),
    Encoded(Bytes),
}

impl Latencies {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        let mut histogram = self.take_decoded();
        histogram.saturating_record(u64::try_from(latency.as_millis()).unwrap_or(HIGHEST_MS));
        self.state = State::Decoded(histogram);
    }

    /// Merges another histogram into this one.
    pub fn merge(&mut self, other: &Latencies) {
        if matches!(other.state, State::Empty) {
            return;
        }
        let mut histogram = self.take_decoded();
        histogram.add(other.decoded()).expect("all histograms have the same bounds");
        self.state = State::Encoded(encode(&histogram));
    }

    /// Frees the memory of the decoded histogram; recording remains possible.
    pub fn compress(&mut self) {
        if let State::Decoded(histogram) = &self.state {
            self.state = State::Encoded(encode(histogram));
        }
    }

    /// Number of latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.decoded().len()
    }

    /// Latency at a quantile from 0 to 1; `None` if nothing was recorded.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let histogram = self.decoded();
        if histogram.is_empty() {
            return None;
        }
        Some(Duration::from_millis(histogram.value_at_quantile(share)))
    }

    fn decoded(&self) -> Histogram<u64> {
        match &self.state {
            State::Empty => empty(),
            State::Decoded(histogram) => histogram.clone(),
            State::Encoded(encoded) => {
                decode(encoded).expect("the encoding was validated on receipt")
            }
        }
    }

    fn take_decoded(&mut self) -> Histogram<u64> {
        match std::mem::replace(&mut self.state, State::Empty) {
            State::Empty => empty(),
            State::Decoded(histogram) => histogram,
            State::Encoded(encoded) => {
                decode(&encoded).expect("the encoding was validated on receipt")
            }
        }
    }
}

impl Default for Latencies {
    fn default() -> Latencies {
        Latencies { state: State::Empty }
    }
}

impl PartialEq for Latencies {
    fn eq(&self, other: &Latencies) -> bool {
        self.decoded() == other.decoded()
    }
}

impl From<Latencies> for Bytes {
    fn from(latencies: Latencies) -> Bytes {
        match latencies.state {
            State::Empty => encode(&empty()),
            State::Decoded(histogram) => encode(&histogram),
            State::Encoded(encoded) => encoded,
        }
    }
}

impl TryFrom<Bytes> for Latencies {
    type Error = &'static str;

    fn try_from(encoded: Bytes) -> Result<Latencies, &'static str> {
        // Bounds are compared before decoding, because they determine how much memory decoding allocates.
        let expected = encode(&empty());
        if encoded.len() > ENCODED_LIMIT_BYTES
            || encoded.get(FORMAT_BYTES) != expected.get(FORMAT_BYTES)
        {
            return Err("latencies with other bounds or precision");
        }
        decode(&encoded).ok_or("latencies that cannot be decoded")?;
        Ok(Latencies { state: State::Encoded(encoded) })
    }
}

fn empty() -> Histogram<u64> {
    Histogram::new_with_bounds(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constant and valid")
}

fn encode(histogram: &Histogram<u64>) -> Bytes {
    let mut encoded = Vec::new();
    V2Serializer::new()
        .serialize(histogram, &mut encoded)
        .expect("writing to memory does not fail and the counts fit");
    encoded.into()
}

fn decode(encoded: &[u8]) -> Option<Histogram<u64>> {
    let mut bytes = encoded;
    Deserializer::new().deserialize(&mut bytes).ok()
}
