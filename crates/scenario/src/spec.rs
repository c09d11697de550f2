//! The scenario language, in YAML.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Revision;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use thiserror::Error;

use crate::Act;
use crate::Span;
use crate::Traffic;
use crate::WorldConfig;
use crate::default;

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the scenario demonstrates.
    pub name: String,
    #[serde(default = "one")]
    pub seed: u64,
    /// Entry hosts by data centre; six over three data centres when absent.
    #[serde(default)]
    pub hosts: Option<BTreeMap<EntryHostId, DataCentreId>>,
    #[serde(default)]
    pub configuration: Option<Configuration>,
    #[serde(default)]
    pub traffic: Vec<Traffic>,
    #[serde(default)]
    pub acts: Vec<TimedAct>,
    /// When the run ends.
    pub until: Span,
    #[serde(default)]
    pub expect: Vec<Expectation>,
}

/// An act and its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedAct {
    pub at: Span,
    pub act: Act,
}

/// What must hold at the end of the run.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Expectation {
    /// Outcomes of a traffic's requests.
    Answers(AnswersExpected),
    /// The versions that got work, and no others.
    VersionsUsed(BTreeSet<ModelVersion>),
    /// The version got no work after the given time.
    NoWorkAfter { version: ModelVersion, after: Span },
    /// The version got work after the given time.
    WorkAfter { version: ModelVersion, after: Span },
    /// Maximum distinct callers whose requests were dispatched to the version.
    ExposedAtMost { version: ModelVersion, callers: usize },
    /// Revision in force on every running host.
    Revision(Revision),
    /// Preset in force on every running host.
    Preset(String),
    /// Number of bills of a workspace.
    Bills { workspace: WorkspaceId, count: u64 },
    /// Maximum times that the plain service ran each renewal.
    RunsEachAtMost(u32),
    /// Total times that the plain service ran renewals.
    Runs(u32),
    /// Operators' commands that were performed, and those that were refused.
    Commands { done: usize, refused: usize },
    /// Vetoed versions on every running host.
    Vetoed(BTreeSet<ModelVersion>),
    /// Number of running hosts.
    HostsRunning(usize),
    /// Number of members that every running host sees.
    MembersSeen(usize),
}

/// Expected outcomes of one traffic's requests; an absent count is not checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswersExpected {
    pub traffic: String,
    #[serde(default)]
    pub whole: Option<usize>,
    #[serde(default)]
    pub whole_at_least: Option<usize>,
    #[serde(default)]
    pub replayed: Option<usize>,
    #[serde(default)]
    pub replayed_at_least: Option<usize>,
    #[serde(default)]
    pub lost_at_most: Option<usize>,
    /// Refusals by kind; other kinds must not occur.
    #[serde(default)]
    pub refused: Option<BTreeMap<ErrorKind, usize>>,
    /// Kinds of refusal that may occur, any number of times.
    #[serde(default)]
    pub refused_only: Option<BTreeSet<ErrorKind>>,
    /// No outcome is unknown to its caller.
    #[serde(default)]
    pub none_unknown: bool,
}

/// A scenario that cannot be run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SpecError {
    #[error("{file}: {message}")]
    Syntax { file: String, message: String },
    #[error("{file}:{line}: '{word}': {problem}")]
    Unknown { file: String, line: usize, word: String, problem: String },
}

impl Scenario {
    /// A scenario without traffic, acts and expectations.
    #[must_use]
    pub fn named(name: &str) -> Scenario {
        Scenario {
            name: name.to_owned(),
            seed: one(),
            hosts: None,
            configuration: None,
            traffic: Vec::new(),
            acts: Vec::new(),
            until: Span::default(),
            expect: Vec::new(),
        }
    }

    /// Reads and checks a scenario; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with its location in the file.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, SpecError> {
        let scenario: Scenario = serde_saphyr::from_str(text)
            .map_err(|e| SpecError::Syntax { file: file.to_owned(), message: e.to_string() })?;
        scenario.check_names(file, text)?;
        Ok(scenario)
    }

    /// Configuration of the scenario's world.
    #[must_use]
    pub fn world(&self) -> WorldConfig {
        WorldConfig {
            seed: self.seed,
            hosts: self.hosts.clone().unwrap_or_else(default::hosts),
            configuration: self.configuration.clone().unwrap_or_else(default::configuration),
            traffic: self.traffic.clone(),
        }
    }

    fn check_names(&self, file: &str, text: &str) -> Result<(), SpecError> {
        let hosts = self.hosts.clone().unwrap_or_else(default::hosts);
        let unknown = |word: &str, problem: &str| SpecError::Unknown {
            file: file.to_owned(),
            line: line_number(text, word),
            word: word.to_owned(),
            problem: problem.to_owned(),
        };
        for host in self.acts.iter().filter_map(|timed| timed.act.host()) {
            if !hosts.contains_key(host) {
                return Err(unknown(host, "is not one of the entry hosts"));
            }
        }
        for host in self.traffic.iter().filter_map(|traffic| traffic.to.as_ref()) {
            if !hosts.contains_key(host) {
                return Err(unknown(host, "is not one of the entry hosts"));
            }
        }
        for expectation in &self.expect {
            if let Expectation::Answers(expected) = expectation
                && !self.traffic.iter().any(|traffic| traffic.name == expected.traffic)
            {
                return Err(unknown(&expected.traffic, "is not the name of a traffic"));
            }
        }
        Ok(())
    }
}

impl Act {
    /// Entry host that the act applies to.
    fn host(&self) -> Option<&EntryHostId> {
        match self {
            Act::Kill(host) | Act::Restart(host) | Act::Stop(host) | Act::Pause { host, .. } => {
                Some(host)
            }
            Act::Operator { on, .. } => Some(on),
            _ => None,
        }
    }
}

/// Line number of the last occurrence of a word, because names are defined before they are used.
fn line_number(text: &str, word: &str) -> usize {
    let lines = text.lines().enumerate();
    lines.filter(|(_, line)| line.contains(word)).last().map_or(0, |(index, _)| index + 1)
}

fn one() -> u64 {
    1
}
