//! Results of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// Results of a run of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetReport {
    pub served: usize,
    /// Sound requests that were refused because a content or a part was quarantined.
    pub sound_quarantined: usize,
    /// Requests that crash servers that were refused for that.
    pub crashing_refused: usize,
    /// Requests refused for other reasons.
    pub unserved: usize,
    /// Servers that crashed, for whatever reason.
    pub crashes: usize,
    /// When requests crashed servers, since the start.
    pub crashes_by_requests: Vec<Duration>,
    /// When requests that crash servers were sent to them.
    pub crashing_arrivals: Vec<Duration>,
    /// Messages between hosts that arrived.
    pub messages: usize,
    /// Bytes that all hosts sent.
    pub bytes: usize,
    /// When the last answer ended.
    pub last_answer: Duration,
    /// When the last message was sent.
    pub last_message: Duration,
    /// Changes of what hosts refuse.
    pub verdict_changes: usize,
    /// Pairs of a host and a sound part that it refuses at the end.
    pub sound_parts_refused: usize,
    /// Hosts that refuse what crashes servers at the end.
    pub hosts_that_refuse_the_culprit: usize,
    /// Bytes that a host sent in a second, by host and second.
    #[serde(skip)]
    sent: BTreeMap<(usize, u64), usize>,
}

impl FleetReport {
    pub(super) fn sent(&mut self, host: usize, bytes: usize, at: Duration) {
        self.bytes += bytes;
        self.last_message = at;
        *self.sent.entry((host, at.as_secs())).or_default() += bytes;
    }

    /// The most bytes that a host sent in a second.
    #[must_use]
    pub fn max_bytes_per_second(&self) -> usize {
        self.sent.values().copied().max().unwrap_or_default()
    }

    /// Requests that crash servers sent to them later than `contact` after the crash with this number, from 1.
    #[must_use]
    pub fn late_arrivals(&self, crash: usize, contact: Duration) -> usize {
        let Some(at) = crash.checked_sub(1).and_then(|index| self.crashes_by_requests.get(index))
        else {
            return 0;
        };
        self.crashing_arrivals.iter().filter(|arrival| **arrival > *at + contact).count()
    }
}
