//! The story of one request, from the log files of several entry hosts.
//!
//! Lines that name the request are put in order of time, each with the beliefs it was decided on: the configuration in
//! force on that host and what the host last learned of the server, with their ages. Lines may carry a prefix before
//! `time=`, as log collectors add; its last word is taken for the host unless the log itself names it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Milliseconds of a day.
const DAY_MS: i64 = 86_400_000;

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Line {
    host: String,
    /// Milliseconds since the Unix epoch.
    at_ms: i64,
    text: String,
    fields: BTreeMap<String, String>,
}

/// One line of a story.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    pub host: String,
    /// Time since the story's first line.
    pub since: Duration,
    /// The line from its event on.
    pub text: String,
    pub beliefs: Vec<Belief>,
}

/// What a host believed when a line was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Belief {
    pub text: String,
    pub age: Duration,
}

/// Lines from all hosts.
#[derive(Debug, Default)]
pub struct Story {
    lines: Vec<Line>,
}

impl Story {
    /// Takes in a log file; `name` stands for the host until the log names it.
    pub fn read(&mut self, name: &str, log: &str) {
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

    /// The steps of a request, in order of time.
    #[must_use]
    pub fn of(&self, request: &str) -> Vec<Step> {
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
                beliefs: self.beliefs(line),
            })
            .collect()
    }

    fn beliefs(&self, line: &Line) -> Vec<Belief> {
        let server = line.fields.get("server");
        let matters = |other: &&Line| {
            let is_server = other.is("server") && other.fields.get("id") == server;
            let is_store = other.is("store_lost") || other.is("store_regained");
            other.is("configured") || (server.is_some() && is_server) || is_store
        };
        let mut latest: BTreeMap<&str, &Line> = BTreeMap::new();
        for other in self.lines.iter().filter(matters) {
            if other.host != line.host || other.at_ms > line.at_ms {
                continue;
            }
            let topic = match other.event() {
                "store_lost" | "store_regained" => "store",
                event => event,
            };
            let known = latest.entry(topic).or_insert(other);
            if known.at_ms <= other.at_ms {
                *known = other;
            }
        }
        let belief = |other: &Line| Belief {
            text: other.event_text().to_owned(),
            age: elapsed(other.at_ms, line.at_ms),
        };
        latest.into_values().map(belief).collect()
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
        for belief in &self.beliefs {
            write!(f, "\n      {:.1} s old: {}", belief.age.as_secs_f64(), belief.text)?;
        }
        Ok(())
    }
}

/// Splits `key=value` pairs; a value may stand in double quotes.
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

/// Milliseconds since the Unix epoch of a time such as `2026-04-19T07:06:50.645+00:00`; the zone is taken for UTC.
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

/// Days from 1970-01-01 in the Gregorian calendar, counted in years that begin in March.
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
