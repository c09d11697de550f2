//! The closed list of error kinds, and how each is answered.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Why a request or an operator's command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request's JSON, headers or fields cannot be read.
    BadRequest,
    /// The body is over the limit.
    BodyTooLarge,
    /// The request did not arrive completely in time.
    SlowSender,
    /// The key is absent or unknown.
    Unauthenticated,
    /// The key does not permit this.
    Forbidden,
    /// No such path, service, object or preset.
    NotFound,
    /// The preset allows the workspace no version that fits the request.
    NoVersionAllowed,
    /// No backend server for an allowed version is known to be alive.
    NoServer,
    /// Limits are reached; the request would have to wait too long.
    Overloaded,
    /// The workspace is over its fair share while others wait.
    OverFairShare,
    /// The deadline can no longer be met; nothing was sent.
    DeadlineTooShort,
    /// The deadline passed after the request was sent.
    DeadlineExceeded,
    /// This entry host is being stopped.
    Stopping,
    /// The configuration is unconfirmed and the workspace's policy is to refuse.
    ConfigurationStale,
    /// A claim cannot be made, so a non-idempotent request cannot be run.
    JournalUnavailable,
    /// Another request with the key has no recorded outcome yet.
    Undecided,
    /// The idempotency key was used with different content.
    KeyReused,
    /// Requests with this content were running when backend servers crashed.
    Quarantined,
    /// The backend server failed before any of the answer reached the caller.
    BackendFailed,
    /// The stream broke after part of the answer reached the caller.
    StreamBroken,
    /// A non-idempotent request was sent and its answer was lost.
    OutcomeUnknown,
    /// The caller disconnected.
    CallerGone,
    /// Another operator's change came first.
    Conflict,
    /// A configuration, preset or command is not valid.
    Invalid,
    /// The object API cannot be reached or an operator's command got no answer in time; not used for callers' requests.
    StoreUnavailable,
    /// A bug in this program.
    Internal,
}

/// Whether a refused request ran, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    NotRun,
    Ran,
    Unknown,
}

/// Whether the caller may retry the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    /// Immediately, or after the time given in the refusal.
    Yes,
    /// Only with the same idempotency key.
    SameKey,
    /// A retry would fail again.
    No,
}

/// Severity of the log line for an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    Debug,
    Info,
    Warn,
    Error,
}

/// How an error kind is answered and logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran, unless the refusal states otherwise.
    pub ran: Ran,
    pub retry: RetryAdvice,
    pub level: LogLevel,
}

/// Error response to the caller of a refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub kind: ErrorKind,
    pub ran: Ran,
    /// One line that says what to do.
    pub message: String,
    /// Delay before a retry, if known.
    pub retry_after: Option<Duration>,
}

impl ErrorKind {
    /// Every kind, in order.
    pub const ALL: [ErrorKind; 26] = [
        ErrorKind::BadRequest,
        ErrorKind::BodyTooLarge,
        ErrorKind::SlowSender,
        ErrorKind::Unauthenticated,
        ErrorKind::Forbidden,
        ErrorKind::NotFound,
        ErrorKind::NoVersionAllowed,
        ErrorKind::NoServer,
        ErrorKind::Overloaded,
        ErrorKind::OverFairShare,
        ErrorKind::DeadlineTooShort,
        ErrorKind::DeadlineExceeded,
        ErrorKind::Stopping,
        ErrorKind::ConfigurationStale,
        ErrorKind::JournalUnavailable,
        ErrorKind::Undecided,
        ErrorKind::KeyReused,
        ErrorKind::Quarantined,
        ErrorKind::BackendFailed,
        ErrorKind::StreamBroken,
        ErrorKind::OutcomeUnknown,
        ErrorKind::CallerGone,
        ErrorKind::Conflict,
        ErrorKind::Invalid,
        ErrorKind::StoreUnavailable,
        ErrorKind::Internal,
    ];

    /// Response to a request or command that fails with this kind.
    #[must_use]
    pub fn response(self) -> ErrorResponse {
        use LogLevel::Debug;
        use LogLevel::Error;
        use LogLevel::Info;
        use LogLevel::Warn;
        use Ran::NotRun;
        use Ran::Unknown;
        let row = |status, ran, retry, level| ErrorResponse { status, ran, retry, level };
        match self {
            ErrorKind::BadRequest => row(400, NotRun, RetryAdvice::No, Info),
            ErrorKind::BodyTooLarge => row(413, NotRun, RetryAdvice::No, Info),
            ErrorKind::SlowSender => row(408, NotRun, RetryAdvice::Yes, Info),
            ErrorKind::Unauthenticated => row(401, NotRun, RetryAdvice::No, Info),
            ErrorKind::Forbidden => row(403, NotRun, RetryAdvice::No, Info),
            ErrorKind::NotFound => row(404, NotRun, RetryAdvice::No, Info),
            ErrorKind::NoVersionAllowed => row(403, NotRun, RetryAdvice::No, Warn),
            ErrorKind::NoServer => row(503, NotRun, RetryAdvice::Yes, Warn),
            ErrorKind::Overloaded => row(429, NotRun, RetryAdvice::Yes, Info),
            ErrorKind::OverFairShare => row(429, NotRun, RetryAdvice::Yes, Info),
            ErrorKind::DeadlineTooShort => row(504, NotRun, RetryAdvice::Yes, Info),
            ErrorKind::DeadlineExceeded => row(504, Unknown, RetryAdvice::SameKey, Warn),
            ErrorKind::Stopping => row(503, NotRun, RetryAdvice::Yes, Info),
            ErrorKind::ConfigurationStale => row(503, NotRun, RetryAdvice::Yes, Warn),
            ErrorKind::JournalUnavailable => row(503, NotRun, RetryAdvice::SameKey, Warn),
            ErrorKind::Undecided => row(409, Unknown, RetryAdvice::SameKey, Info),
            ErrorKind::KeyReused => row(422, NotRun, RetryAdvice::No, Info),
            ErrorKind::Quarantined => row(422, NotRun, RetryAdvice::No, Warn),
            ErrorKind::BackendFailed => row(502, Unknown, RetryAdvice::SameKey, Warn),
            ErrorKind::StreamBroken => row(502, Ran::Ran, RetryAdvice::SameKey, Warn),
            ErrorKind::OutcomeUnknown => row(502, Unknown, RetryAdvice::SameKey, Warn),
            ErrorKind::CallerGone => row(499, Unknown, RetryAdvice::SameKey, Debug),
            ErrorKind::Conflict => row(409, NotRun, RetryAdvice::No, Info),
            ErrorKind::Invalid => row(422, NotRun, RetryAdvice::No, Info),
            ErrorKind::StoreUnavailable => row(503, Unknown, RetryAdvice::Yes, Warn),
            ErrorKind::Internal => row(500, Unknown, RetryAdvice::SameKey, Error),
        }
    }

    /// Name on the wire and in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            ErrorKind::BadRequest => "bad_request",
            ErrorKind::BodyTooLarge => "body_too_large",
            ErrorKind::SlowSender => "slow_sender",
            ErrorKind::Unauthenticated => "unauthenticated",
            ErrorKind::Forbidden => "forbidden",
            ErrorKind::NotFound => "not_found",
            ErrorKind::NoVersionAllowed => "no_version_allowed",
            ErrorKind::NoServer => "no_server",
            ErrorKind::Overloaded => "overloaded",
            ErrorKind::OverFairShare => "over_fair_share",
            ErrorKind::DeadlineTooShort => "deadline_too_short",
            ErrorKind::DeadlineExceeded => "deadline_exceeded",
            ErrorKind::Stopping => "stopping",
            ErrorKind::ConfigurationStale => "configuration_stale",
            ErrorKind::JournalUnavailable => "journal_unavailable",
            ErrorKind::Undecided => "undecided",
            ErrorKind::KeyReused => "key_reused",
            ErrorKind::Quarantined => "quarantined",
            ErrorKind::BackendFailed => "backend_failed",
            ErrorKind::StreamBroken => "stream_broken",
            ErrorKind::OutcomeUnknown => "outcome_unknown",
            ErrorKind::CallerGone => "caller_gone",
            ErrorKind::Conflict => "conflict",
            ErrorKind::Invalid => "invalid",
            ErrorKind::StoreUnavailable => "store_unavailable",
            ErrorKind::Internal => "internal",
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Ran {
    /// Name on the wire and in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Ran::NotRun => "not_run",
            Ran::Ran => "ran",
            Ran::Unknown => "unknown",
        }
    }
}

impl Refusal {
    /// Creates a refusal with the kind's default for `ran` and no delay before a retry.
    #[must_use]
    pub fn new(kind: ErrorKind, message: &str) -> Refusal {
        Refusal { kind, ran: kind.response().ran, message: message.to_owned(), retry_after: None }
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_ran(self, ran: Ran) -> Refusal {
        Refusal { ran, ..self }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Refusal {
        Refusal { retry_after: Some(retry_after), ..self }
    }
}
