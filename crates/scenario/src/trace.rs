//! Trace of a run, one line per event.

use std::fmt;
use std::time::Duration;

/// Maximum lines kept; a long random run keeps the latest.
const MAX_LINES: usize = 20_000;

/// Lines of a run, each with the time since its start.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    lines: std::collections::VecDeque<String>,
    hash: u64,
}

impl Trace {
    pub fn record(&mut self, at: Duration, line: fmt::Arguments<'_>) {
        let line = format!("{:>10.3} {line}", at.as_secs_f64());
        self.hash = foxtailhoist_model::stable_hash(self.hash, &[line.as_bytes()]);
        if self.lines.len() == MAX_LINES {
            self.lines.pop_front();
        }
        self.lines.push_back(line);
    }

    /// Hash of all lines, including those no longer kept.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    pub fn lines(&self) -> impl Iterator<Item = &str> {
        self.lines.iter().map(String::as_str)
    }
}
