//! Mean sizes of answers by class, and each workspace's mix of classes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use foxtailhoist_model::TaskClass;
use foxtailhoist_model::WorkspaceId;

/// Weight of a new answer in a mean.
const WEIGHT: f64 = 0.02;
/// Classes that are told apart, over all workspaces.
const MAX_CLASSES: usize = 256;
/// Workspaces whose mix is kept; the first by name is evicted.
const MAX_WORKSPACES: usize = 10_000;
/// Requests that follow the first of a session before anything is known, and the sessions that this counts as.
const PRIOR_FOLLOWERS: f64 = 3.0;
const PRIOR_SESSIONS: f64 = 5.0;
/// Requests after which a workspace's counts are halved.
const HALVE_AT: f64 = 2000.0;

/// Sizes and mixes.
#[derive(Debug, Default)]
pub(crate) struct Tokens {
    classes: BTreeMap<TaskClass, Means>,
    sessions: BTreeMap<TaskClass, Sessions>,
    all: Mix,
    workspaces: BTreeMap<WorkspaceId, Mix>,
}

/// A class's share of the requests.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) kind: Kind,
    /// Share of all requests, those that follow in a session included.
    pub(crate) weight: f64,
    /// Requests that will keep the version chosen for one of these.
    pub(crate) followers: f64,
}

/// Requests that are planned for alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Kind {
    pub(crate) class: TaskClass,
    /// Its answer cannot be withheld and replaced.
    pub(crate) streamed: bool,
    /// Later requests of a session will keep the version chosen.
    pub(crate) starts_session: bool,
}

#[derive(Clone, Copy, Debug)]
struct Means {
    prompt: f64,
    output: f64,
}

#[derive(Clone, Debug, Default)]
struct Mix {
    counts: BTreeMap<Kind, f64>,
    total: f64,
}

/// Sessions of a class: those that started, and the requests that followed in them.
#[derive(Clone, Copy, Debug, Default)]
struct Sessions {
    started: f64,
    followed: f64,
}

impl Tokens {
    pub(crate) fn observe(&mut self, class: &TaskClass, prompt: u32, output: u32) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(class) {
            self.classes.pop_first();
        }
        let sample = Means { prompt: f64::from(prompt), output: f64::from(output) };
        let means = self.classes.entry(class.clone()).or_insert(sample);
        means.prompt += WEIGHT * (sample.prompt - means.prompt);
        means.output += WEIGHT * (sample.output - means.output);
    }

    /// Counts a request that is to be planned for.
    pub(crate) fn observe_request(&mut self, workspace: &WorkspaceId, kind: &Kind) {
        if kind.starts_session {
            self.sessions_of(&kind.class).started += 1.0;
        }
        self.mix_of(workspace).add(kind);
        self.all.add(kind);
    }

    /// Counts a request that keeps its session's version.
    pub(crate) fn observe_follower(&mut self, workspace: &WorkspaceId, class: &TaskClass) {
        let sessions = self.sessions_of(class);
        sessions.followed += 1.0;
        if sessions.followed >= HALVE_AT {
            sessions.followed *= 0.5;
            sessions.started *= 0.5;
        }
        self.mix_of(workspace).total += 1.0;
        self.all.total += 1.0;
    }

    /// Requests that follow the first of a session, on average.
    pub(crate) fn followers(&self, class: &TaskClass) -> f64 {
        let sessions = self.sessions.get(class).copied().unwrap_or_default();
        let followed = sessions.followed + PRIOR_FOLLOWERS * PRIOR_SESSIONS;
        followed / (sessions.started + PRIOR_SESSIONS)
    }

    fn sessions_of(&mut self, class: &TaskClass) -> &mut Sessions {
        if self.sessions.len() >= MAX_CLASSES && !self.sessions.contains_key(class) {
            self.sessions.pop_first();
        }
        self.sessions.entry(class.clone()).or_default()
    }

    fn mix_of(&mut self, workspace: &WorkspaceId) -> &mut Mix {
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(workspace) {
            self.workspaces.pop_first();
        }
        self.workspaces.entry(workspace.clone()).or_default()
    }

    /// Mean tokens of prompt and answer.
    pub(crate) fn means(&self, class: &TaskClass) -> (f64, f64) {
        self.classes.get(class).map_or((1000.0, 200.0), |means| (means.prompt, means.output))
    }

    /// Mean tokens of a class's answers, once there were any.
    pub(crate) fn usual_output(&self, class: &TaskClass) -> Option<f64> {
        self.classes.get(class).map(|means| means.output)
    }

    /// Mix of the given classes, of one workspace or of all.
    pub(crate) fn mix(
        &self,
        workspace: Option<&WorkspaceId>,
        classes: &BTreeSet<TaskClass>,
    ) -> Vec<Part> {
        let own = workspace.and_then(|workspace| self.workspaces.get(workspace));
        let mut parts = own.unwrap_or(&self.all).parts(classes);
        for part in parts.iter_mut().filter(|part| part.kind.starts_session) {
            part.followers = self.followers(&part.kind.class);
        }
        parts
    }
}

impl Mix {
    fn add(&mut self, kind: &Kind) {
        if self.counts.len() >= MAX_CLASSES && !self.counts.contains_key(kind) {
            return;
        }
        *self.counts.entry(kind.clone()).or_default() += 1.0;
        self.total += 1.0;
        if self.total >= HALVE_AT {
            self.counts.values_mut().for_each(|count| *count *= 0.5);
            self.total *= 0.5;
        }
    }

    fn parts(&self, classes: &BTreeSet<TaskClass>) -> Vec<Part> {
        let counted = self.counts.iter().filter(|(kind, _)| classes.contains(&kind.class));
        let part = |(kind, count): (&Kind, &f64)| Part {
            kind: kind.clone(),
            weight: count / self.total.max(1.0),
            followers: 0.0,
        };
        counted.map(part).collect()
    }
}
