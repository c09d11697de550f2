//! Rate limits that backend servers name in their answers.
//!
//! A limit holds for one incarnation of its server, from the answer that names it until one that does not. It counts the
//! requests of all entry hosts, which tell each other of it and deal its requests among them.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use serde::Deserialize;
use serde::Serialize;

/// Least rate that is used, in requests a second: without requests nobody would learn that a limit has ended.
const MIN_RATE: f64 = 0.25;
/// Relative change of a limit from which on other hosts are told at once.
const MIN_NEWS_CHANGE: f64 = 0.1;
/// Time after which other hosts are told of an unchanged limit again.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// What the head of an answer states of the rate that its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The server takes any rate.
    #[default]
    None,
    /// Requests a second from all hosts together; zero or more and finite.
    PerSecond(f64),
    /// A limit that cannot be read. What was known stays.
    Unreadable,
}

/// What is known of a server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct KnownLimit {
    /// Requests a second from all hosts together; `None` if there is no limit.
    pub(crate) per_second: Option<f64>,
    /// When that was stated last; `None` if no limit was ever stated.
    pub(crate) as_of: Option<Instant>,
}

impl KnownLimit {
    /// Takes a limit that was stated at `as_of`; returns whether it is another than before.
    pub(crate) fn state(&mut self, per_second: f64, as_of: Instant) -> bool {
        if self.as_of.is_some_and(|known| as_of < known) {
            return false;
        }
        let before = self.per_second.replace(per_second);
        self.as_of = Some(as_of);
        before != self.per_second
    }

    /// Requests a second that all hosts together send; `None` without a limit.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.per_second.map(|per_second| per_second.max(MIN_RATE))
    }

    /// Time since the limit was stated last.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        self.as_of.map_or(Duration::MAX, |as_of| now.saturating_duration_since(as_of))
    }

    /// Ends the limit unless it was stated after `as_of`; returns whether there was one.
    pub(crate) fn end(&mut self, as_of: Instant) -> bool {
        if self.as_of.is_none_or(|known| as_of <= known) {
            return false;
        }
        self.as_of = Some(as_of);
        self.per_second.take().is_some()
    }
}

/// What a host knows of a server's limit, as hosts share it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitFinding {
    pub server: BackendServerId,
    /// Start of the server's process in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// Requests a second; `None` if there is no limit any more.
    pub per_second: Option<f64>,
    /// Time since the server stated that.
    pub age: Duration,
}

/// Whether other hosts are told of a server's limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SharedLimit {
    per_second: Option<f64>,
    at: Option<Instant>,
}

impl SharedLimit {
    /// Whether other hosts should be told of a limit; if so, they count as told.
    pub(crate) fn share(&mut self, per_second: Option<f64>, now: Instant) -> bool {
        let is_changed = match (self.per_second, per_second) {
            (None, None) => return false,
            (Some(before), Some(after)) => (after - before).abs() > before * MIN_NEWS_CHANGE,
            (None, Some(_)) | (Some(_), None) => true,
        };
        let is_old = self.at.is_none_or(|at| now.saturating_duration_since(at) >= NEWS_INTERVAL);
        if is_changed || is_old {
            *self = SharedLimit { per_second, at: Some(now) };
        }
        is_changed || is_old
    }
}
