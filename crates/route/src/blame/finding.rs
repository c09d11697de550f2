//! What entry hosts tell each other of crashes of servers.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Fingerprint;
use serde::Deserialize;
use serde::Serialize;

/// Time since the last finding after which a content's findings expire.
const CONTENT_TTL: Duration = Duration::from_secs(3_600);
/// The same for a part, whose quarantine affects more callers.
const PART_TTL: Duration = Duration::from_secs(600);
/// Identifies the crash of one incarnation of a server, identically on all hosts. While the store is away, hosts do not learn that
/// a server has started again, so its next crash has the same id and differs in time only.
pub type CrashId = u64;

/// What may crash servers. The names of variants are short on the wire, which carries many of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Culprit {
    /// Requests with this content.
    #[serde(rename = "c")]
    Content(Fingerprint),
    /// Requests whose prompts have the part with this id before their last part.
    #[serde(rename = "p")]
    Part(u64),
}

/// What a host found on a culprit, as hosts share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashFinding {
    /// A server crashed that was beginning to answer it.
    #[serde(rename = "s")]
    Suspected {
        culprit: Culprit,
        /// Index of a part in its prompt; 0 for a content.
        position: u8,
        /// Content that the server was beginning to answer.
        content: Fingerprint,
        crash: CrashId,
        /// Milliseconds since the crash.
        age_ms: u32,
    },
    /// A server answered it and survived.
    #[serde(rename = "c")]
    Cleared {
        culprit: Culprit,
        /// Milliseconds since the answer began.
        age_ms: u32,
    },
}

/// What a host tells another one of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    pub findings: Vec<CrashFinding>,
    /// Some crashes of late, whatever the servers were running: they tell an outage from a culprit.
    pub crashes: Vec<CrashAge>,
}

/// A crash, and the milliseconds since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashAge {
    pub crash: CrashId,
    pub age_ms: u32,
}

impl fmt::Display for Culprit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Culprit::Content(content) => write!(f, "content:{content:016x}"),
            Culprit::Part(id) => write!(f, "part:{id:x}"),
        }
    }
}

impl Culprit {
    /// Name of its kind in metrics.
    #[must_use]
    pub fn kind_name(self) -> &'static str {
        match self {
            Culprit::Content(_) => "content",
            Culprit::Part(_) => "part",
        }
    }

    pub(super) fn ttl(self) -> Duration {
        match self {
            Culprit::Content(_) => CONTENT_TTL,
            Culprit::Part(_) => PART_TTL,
        }
    }
}

impl CrashFinding {
    #[must_use]
    pub fn culprit(&self) -> Culprit {
        match self {
            CrashFinding::Suspected { culprit, .. } | CrashFinding::Cleared { culprit, .. } => {
                *culprit
            }
        }
    }

    pub(super) fn age_ms(&self) -> u32 {
        match self {
            CrashFinding::Suspected { age_ms, .. } | CrashFinding::Cleared { age_ms, .. } => {
                *age_ms
            }
        }
    }

    /// The finding with its age as of now.
    pub(super) fn at_age(mut self, age: Duration) -> CrashFinding {
        match &mut self {
            CrashFinding::Suspected { age_ms, .. } | CrashFinding::Cleared { age_ms, .. } => {
                *age_ms = millis(age);
            }
        }
        self
    }
}

pub(super) fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// The moment that was so many milliseconds ago.
pub(super) fn moment(age_ms: u32, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(age_ms))).unwrap_or(now)
}
