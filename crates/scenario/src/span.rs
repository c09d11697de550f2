//! Durations in the scenario language: a whole number and a unit.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A duration written like `250ms`, `5s` or `30m`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Span(pub Duration);

/// A text that is not a duration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{0}' is not a duration; write a whole number and ms, s or m")]
pub struct ParseSpanError(String);

impl FromStr for Span {
    type Err = ParseSpanError;

    fn from_str(text: &str) -> Result<Span, ParseSpanError> {
        let error = || ParseSpanError(text.to_owned());
        let unit_at = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (number, unit) = text.split_at(unit_at);
        let number: u64 = number.parse().map_err(|_| error())?;
        match unit {
            "ms" => Ok(Span(Duration::from_millis(number))),
            "s" => Ok(Span(Duration::from_secs(number))),
            "m" => Ok(Span(Duration::from_secs(number * 60))),
            _ => Err(error()),
        }
    }
}

impl TryFrom<String> for Span {
    type Error = ParseSpanError;

    fn try_from(text: String) -> Result<Span, ParseSpanError> {
        text.parse()
    }
}

impl From<Span> for String {
    fn from(span: Span) -> String {
        span.to_string()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_millis())
    }
}
