//! What one host tells of the servers it used.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;
use serde::Deserialize;
use serde::Serialize;

use super::PrefixKey;
use super::ServerKey;
use super::ServerPrefixes;
use super::TOKEN_UNIT;
use super::encode_log;

/// Bounds of one sample: time relative to the service's mean.
const RATIO_BOUNDS: (f64, f64) = (0.1, 6.0);
/// Gaps between events that weigh as much as one prompt.
const GAPS_PER_SAMPLE: f64 = 8.0;
/// Interval after which a prefix in use is reported again, so that it stays known.
const REPEAT_AFTER: Duration = Duration::from_secs(5);
/// Maximum number of prefixes in one report, and remembered as reported.
const MAX_PREFIXES: usize = 256;
const MAX_REPORTED: usize = 1_024;

/// What one host tells: the load it causes now, and the samples since its last message to the same receiver.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub host: EntryHostId,
    /// Start of the digest's sender and its last change that this host has; zero if none.
    pub seen: (u64, u64),
    pub servers: Vec<ServerReport>,
    pub prefixes: ServerPrefixes,
}

/// One host's load on a server and its samples of the server's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    pub server: ServerKey,
    pub in_flight: u8,
    /// Prompt tokens not yet processed, in units of 256.
    pub pending: u8,
    /// Logarithm of the time for prompts relative to the service's mean, in hundredths, and the number of samples.
    pub prompt: (i8, u8),
    /// The same for the time between events.
    pub gap: (i8, u8),
}

/// Sum and number of relative times.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    sum: f64,
    count: f64,
}

/// Samples of one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerSamples {
    prompt: Samples,
    gap: Samples,
}

/// What this host has measured since its last two messages. Messages go to two receivers in turn, so each message has
/// what was measured since the one before the last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reporter {
    current: Window,
    previous: Window,
    /// When prefixes were last reported.
    reported: BTreeMap<(ServerKey, PrefixKey), Instant>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    samples: BTreeMap<ServerKey, ServerSamples>,
    prefixes: BTreeMap<(ServerKey, PrefixKey), u16>,
}

impl Reporter {
    /// Records the time to an answer's head relative to the service's mean.
    pub(crate) fn record_prompt(&mut self, server: ServerKey, ratio: f64) {
        self.current.samples.entry(server).or_default().prompt.add(ratio);
    }

    /// Records the time between two events relative to the service's mean.
    pub(crate) fn record_gap(&mut self, server: ServerKey, ratio: f64) {
        self.current.samples.entry(server).or_default().gap.add(ratio);
    }

    /// Records prefixes that a server has processed or found cached, each with its length in tokens.
    pub(crate) fn record_prefixes(
        &mut self,
        server: ServerKey,
        prefixes: &[(PrefixKey, u64)],
        now: Instant,
    ) {
        for (prefix, tokens) in prefixes {
            let key = (server, *prefix);
            let is_known = self.reported.get(&key).is_some_and(|at| now < *at + REPEAT_AFTER);
            if is_known || self.current.prefixes.len() >= MAX_PREFIXES {
                continue;
            }
            if self.reported.len() >= MAX_REPORTED {
                self.reported.retain(|_, at| now < *at + REPEAT_AFTER);
            }
            if self.reported.len() < MAX_REPORTED {
                self.reported.insert(key, now);
            }
            let units = u16::try_from(tokens / 16).unwrap_or(u16::MAX);
            self.current.prefixes.insert(key, units);
        }
    }

    /// Takes the next report's samples and adds the present load; `loads` has the requests in flight and pending prompt
    /// tokens of each server in use. Returns `None` if there is nothing to tell.
    pub(crate) fn take(
        &mut self,
        loads: impl Iterator<Item = (ServerKey, u32, u64)>,
    ) -> Option<Report> {
        let next = std::mem::take(&mut self.current);
        let window = std::mem::replace(&mut self.previous, next);
        let last = &self.previous;
        let mut servers: BTreeMap<ServerKey, ServerReport> = BTreeMap::new();
        let measured: BTreeSet<ServerKey> =
            window.samples.keys().chain(last.samples.keys()).copied().collect();
        for server in measured {
            let [a, b] = [&window, last].map(|w| w.samples.get(&server).copied());
            let (a, b) = (a.unwrap_or_default(), b.unwrap_or_default());
            let prompt = a.prompt.merged(b.prompt).encode(1.0);
            let gap = a.gap.merged(b.gap).encode(GAPS_PER_SAMPLE);
            servers.insert(server, ServerReport { server, prompt, gap, ..ServerReport::default() });
        }
        for (server, in_flight, tokens) in loads {
            let report = servers.entry(server).or_default();
            report.server = server;
            report.in_flight = u8::try_from(in_flight).unwrap_or(u8::MAX);
            report.pending = u8::try_from(tokens.div_ceil(TOKEN_UNIT)).unwrap_or(u8::MAX);
        }
        let mut prefixes: BTreeMap<ServerKey, Vec<(PrefixKey, u16)>> = BTreeMap::new();
        for ((server, prefix), units) in window.prefixes.iter().chain(&last.prefixes) {
            prefixes.entry(*server).or_default().push((*prefix, *units));
        }
        if servers.is_empty() && prefixes.is_empty() {
            return None;
        }
        Some(Report {
            servers: servers.into_values().collect(),
            prefixes: prefixes.into_iter().collect(),
            ..Report::default()
        })
    }
}

impl Samples {
    fn add(&mut self, ratio: f64) {
        self.sum += ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.count += 1.0;
    }

    fn merged(self, other: Samples) -> Samples {
        Samples { sum: self.sum + other.sum, count: self.count + other.count }
    }

    /// Logarithm of the mean, and the number of samples, rounded up.
    fn encode(self, per_sample: f64) -> (i8, u8) {
        if self.count == 0.0 {
            return (0, 0);
        }
        let count = (self.count / per_sample).ceil().min(255.0);
        (encode_log((self.sum / self.count).ln()), count as u8)
    }
}
