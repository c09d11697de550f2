//! Distribution of latencies, in a form that merges without error.
//!
//! All distributions have the same bounds and precision, so adding two adds the counts of equal cells. A distribution
//! that is being recorded into is a live histogram of some 20 kB; one that has been merged, sent or put aside is only
//! its V2 encoding, which grows with the cells in use. One without latencies holds nothing.

use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use hdrhistogram::serialization::Serializer;
use hdrhistogram::serialization::V2Serializer;
use serde::Deserialize;
use serde::Serialize;

/// Smallest latency that is told apart, in milliseconds.
const LOWEST_MS: u64 = 1;
/// Largest latency that is told apart, in milliseconds; longer ones count as this.
const HIGHEST_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Bytes of an encoding that state its bounds and precision.
const FORMAT_BYTES: std::ops::Range<usize> = 8..40;
/// Longest encoding that is taken, in bytes.
const ENCODED_LIMIT_BYTES: usize = 64 * 1024;

/// Latencies in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(into = "Bytes", try_from = "Bytes")]
pub struct Latencies {
    state: State,
}

#[derive(Clone, Debug)]
enum State {
    Empty,
    Live(Histogram<u64>),
    Sealed(Bytes),
}

impl Latencies {
    /// Adds one latency.
    pub fn record(&mut self, latency: Duration) {
        let mut histogram = self.take_live();
        histogram.saturating_record(u64::try_from(latency.as_millis()).unwrap_or(HIGHEST_MS));
        self.state = State::Live(histogram);
    }

    /// Adds all latencies of another distribution.
    pub fn merge(&mut self, other: &Latencies) {
        if matches!(other.state, State::Empty) {
            return;
        }
        let mut histogram = self.take_live();
        histogram.add(other.decoded()).expect("all distributions have the same bounds");
        self.state = State::Sealed(encode(&histogram));
    }

    /// Gives up the live histogram's memory; recording goes on all the same.
    pub fn seal(&mut self) {
        if let State::Live(histogram) = &self.state {
            self.state = State::Sealed(encode(histogram));
        }
    }

    /// Number of latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.decoded().len()
    }

    /// Latency that this share, from 0 to 1, does not exceed; `None` without any.
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
            State::Live(histogram) => histogram.clone(),
            State::Sealed(encoded) => decode(encoded).expect("checked when it was taken in"),
        }
    }

    fn take_live(&mut self) -> Histogram<u64> {
        match std::mem::replace(&mut self.state, State::Empty) {
            State::Empty => empty(),
            State::Live(histogram) => histogram,
            State::Sealed(encoded) => decode(&encoded).expect("checked when it was taken in"),
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
            State::Live(histogram) => encode(&histogram),
            State::Sealed(encoded) => encoded,
        }
    }
}

impl TryFrom<Bytes> for Latencies {
    type Error = &'static str;

    fn try_from(encoded: Bytes) -> Result<Latencies, &'static str> {
        // Bounds are compared before decoding: they decide how much memory that takes.
        let expected = encode(&empty());
        if encoded.len() > ENCODED_LIMIT_BYTES
            || encoded.get(FORMAT_BYTES) != expected.get(FORMAT_BYTES)
        {
            return Err("latencies with other bounds or precision");
        }
        decode(&encoded).ok_or("latencies that cannot be decoded")?;
        Ok(Latencies { state: State::Sealed(encoded) })
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
