//! Timeline of one request, from the log files of several entry hosts.
//!
//! Lines that name the request are sorted by time, each with the state that its host knew at that moment: the
//! configuration in force, the last update about the server and the state of the store, with their ages. Lines may
//! have a prefix before `time=`, as log collectors add; its last word is the host's name. Without a prefix, the
//! name is that in the log's `started` event, or the name given for the file.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Events that tell what a host knew of a server.
const SERVER_EVENTS: [&str; 4] = ["server", "server_leaving", "server_paused", "server_limited"];

/// Milliseconds in a day.
const DAY_MS: i64 = 86_400_000;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Line {
    host: String,
    /// Milliseconds since the Unix epoch.
    at_ms: i64,
    text: String,
    fields: BTreeMap<String, String>,
}

/// One log line of a request's timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    pub host: String,
    /// Time since the first line of the timeline.
    pub since: Duration,
    /// Text of the line from `event=` on.
    pub text: String,
    pub known_states: Vec<KnownState>,
}

/// State known to a host when a line was written, as the log line that recorded it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownState {
    pub text: String,
    pub age: Duration,
}

/// Log lines of all hosts, from which the timelines of requests are built.
#[derive(Debug, Default)]
pub struct HostLogs {
    lines: Vec<Line>,
}

impl HostLogs {
    /// Adds a log file; `name` is used as the host's name until the log states it.
    pub fn add_log(&mut self, name: &str, log: &str) {
        let mut host = name.to_owned();
        for text in log.lines() {
            let Some(mut line) = Line::parse(text) else {
                continue;
            };
            if line.host.is_empty() {
                if line.is("started") {
                    host = line.fields.get("host").cloned().unwrap_or(host);
                }
                line.host = host.clone();
            }
            self.lines.push(line);
        }
    }

    /// Timeline of a request: its lines in chronological order; empty if no line names it.
    #[must_use]
    pub fn request_timeline(&self, request: &str) -> Vec<Step> {
        let names = |line: &&Line| line.fields.get("request").is_some_and(|id| id == request);
        let mut lines: Vec<&Line> = self.lines.iter().filter(names).collect();
        lines.sort_by_key(|line| line.at_ms);
        let first = lines.first().map_or(0, |line| line.at_ms);
        lines
            .into_iter()
            .map(|line| Step {
                host: line.host.clone(),
                since: elapsed(first, line.at_ms),
                text: line.event_text().to_owned(),
                known_states: self.known_states(line),
            })
            .collect()
    }

    fn known_states(&self, line: &Line) -> Vec<KnownState> {
        let server = line.fields.get("server");
        let is_relevant = |other: &&Line| {
            let is_server =
                SERVER_EVENTS.contains(&other.event()) && other.fields.get("id") == server;
            let is_store = other.is("store_lost") || other.is("store_regained");
            other.is("configured") || (server.is_some() && is_server) || is_store
        };
        let mut latest: BTreeMap<&str, &Line> = BTreeMap::new();
        for other in self.lines.iter().filter(is_relevant) {
            if other.host != line.host || other.at_ms > line.at_ms {
                continue;
            }
            let topic = match other.event() {
                "store_lost" | "store_regained" => "store",
                event => event,
            };
            let newest = latest.entry(topic).or_insert(other);
            if newest.at_ms <= other.at_ms {
                *newest = other;
            }
        }
        let to_known_state = |other: &Line| KnownState {
            text: other.event_text().to_owned(),
            age: elapsed(other.at_ms, line.at_ms),
        };
        latest.into_values().map(to_known_state).collect()
    }
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let start = text.find("time=")?;
        let host = text[..start].split_whitespace().last().unwrap_or_default().to_owned();
        let text = &text[start..];
        let fields = fields(text);
        let at_ms = parse_time(fields.get("time")?)?;
        Some(Line { host, at_ms, text: text.to_owned(), fields })
    }

    fn event(&self) -> &str {
        self.fields.get("event").map_or("", String::as_str)
    }

    fn is(&self, event: &str) -> bool {
        self.event() == event
    }

    fn event_text(&self) -> &str {
        self.text.find("event=").map_or(&self.text, |at| &self.text[at..])
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "+{:.3} s {} {}", self.since.as_secs_f64(), self.host, self.text)?;
        for state in &self.known_states {
            write!(f, "\n      {:.1} s old: {}", state.age.as_secs_f64(), state.text)?;
        }
        Ok(())
    }
}

/// Splits `key=value` pairs; a value may be enclosed in double quotes.
fn fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((key, tail)) = rest.split_once('=') {
        let key = key.trim().to_owned();
        let (value, tail) = match tail.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => tail.split_once(' ').unwrap_or((tail, "")),
        };
        fields.insert(key, value.to_owned());
        rest = tail;
    }
    fields
}

/// Converts a time such as `2026-04-19T07:06:50.645+00:00` to milliseconds since the Unix epoch; the offset is ignored
/// and the time taken as UTC.
fn parse_time(text: &str) -> Option<i64> {
    let (date, time) = text.split_once('T')?;
    let mut date = date.split('-').map(str::parse::<i64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let time = time.split(['+', 'Z']).next()?;
    let mut time = time.split(':');
    let hours: i64 = time.next()?.parse().ok()?;
    let minutes: i64 = time.next()?.parse().ok()?;
    let seconds: f64 = time.next()?.parse().ok()?;
    let of_day = (hours * 60 + minutes) * 60_000 + (seconds * 1_000.0).round() as i64;
    Some(days_since_epoch(year, month, day) * DAY_MS + of_day)
}

/// Days since 1970-01-01 in the Gregorian calendar, computed with years that begin in March.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let month = (month + 9) % 12;
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}

fn elapsed(from_ms: i64, to_ms: i64) -> Duration {
    Duration::from_millis(u64::try_from(to_ms - from_ms).unwrap_or(0))
}
