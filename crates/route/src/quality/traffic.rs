//! Mean sizes of prompts and answers and session lengths by class, and each workspace's mix of requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use foxtailhoist_model::TaskClass;
use foxtailhoist_model::WorkspaceId;

/// Weight of a new answer in a moving average.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Classes whose statistics are kept; beyond that, the first by name is evicted. Also bounds the kinds of requests that
/// a mix counts; further kinds are ignored.
const MAX_CLASSES: usize = 256;
/// Workspaces whose mix is kept; beyond that, the first by name is evicted.
const MAX_WORKSPACES: usize = 10_000;
/// Prior for the number of follow-up requests in a session.
const PRIOR_FOLLOW_UPS: f64 = 3.0;
/// Number of sessions that the prior counts as.
const PRIOR_SESSIONS: f64 = 5.0;
/// Number of requests at which the counts of a workspace, or of a class's sessions, are halved.
const HALVING_COUNT: f64 = 2000.0;

/// Prompt and answer sizes, session lengths and mixes of requests.
#[derive(Debug, Default)]
pub(crate) struct TrafficStats {
    classes: BTreeMap<TaskClass, MeanTokens>,
    sessions: BTreeMap<TaskClass, Sessions>,
    all: Mix,
    workspaces: BTreeMap<WorkspaceId, Mix>,
}

/// Requests of one kind as a share of all.
#[derive(Clone, Debug)]
pub(crate) struct MixPart {
    pub(crate) kind: RequestKind,
    /// Share of all requests, including follow-ups in sessions.
    pub(crate) weight: f64,
    /// Expected follow-ups that will keep the version chosen for one of these requests.
    pub(crate) follow_ups: f64,
}

/// Properties of a request that its plan depends on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestKind {
    pub(crate) class: TaskClass,
    /// The answer is streamed, so it cannot be withheld and replaced.
    pub(crate) streamed: bool,
    /// The request is the first of a session, whose later requests will keep the version chosen.
    pub(crate) starts_session: bool,
}

#[derive(Clone, Copy, Debug)]
struct MeanTokens {
    prompt: f64,
    output: f64,
}

#[derive(Clone, Debug, Default)]
struct Mix {
    counts: BTreeMap<RequestKind, f64>,
    total: f64,
}

/// Numbers of sessions started in a class and of follow-up requests in them.
#[derive(Clone, Copy, Debug, Default)]
struct Sessions {
    started: f64,
    followed: f64,
}

impl TrafficStats {
    pub(crate) fn observe(&mut self, class: &TaskClass, prompt: u32, output: u32) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(class) {
            self.classes.pop_first();
        }
        let sample = MeanTokens { prompt: f64::from(prompt), output: f64::from(output) };
        let means = self.classes.entry(class.clone()).or_insert(sample);
        means.prompt += SAMPLE_WEIGHT * (sample.prompt - means.prompt);
        means.output += SAMPLE_WEIGHT * (sample.output - means.output);
    }

    /// Counts a request that gets a plan.
    pub(crate) fn observe_request(&mut self, workspace: &WorkspaceId, kind: &RequestKind) {
        if kind.starts_session {
            self.sessions_mut(&kind.class).started += 1.0;
        }
        self.mix_mut(workspace).add(kind);
        self.all.add(kind);
    }

    /// Counts a request that is bound to its session's version.
    pub(crate) fn observe_follow_up(&mut self, workspace: &WorkspaceId, class: &TaskClass) {
        let sessions = self.sessions_mut(class);
        sessions.followed += 1.0;
        if sessions.followed >= HALVING_COUNT {
            sessions.followed *= 0.5;
            sessions.started *= 0.5;
        }
        self.mix_mut(workspace).total += 1.0;
        self.all.total += 1.0;
    }

    /// Mean number of follow-up requests in a session.
    pub(crate) fn follow_ups(&self, class: &TaskClass) -> f64 {
        let sessions = self.sessions.get(class).copied().unwrap_or_default();
        let followed = sessions.followed + PRIOR_FOLLOW_UPS * PRIOR_SESSIONS;
        followed / (sessions.started + PRIOR_SESSIONS)
    }

    fn sessions_mut(&mut self, class: &TaskClass) -> &mut Sessions {
        if self.sessions.len() >= MAX_CLASSES && !self.sessions.contains_key(class) {
            self.sessions.pop_first();
        }
        self.sessions.entry(class.clone()).or_default()
    }

    fn mix_mut(&mut self, workspace: &WorkspaceId) -> &mut Mix {
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(workspace) {
            self.workspaces.pop_first();
        }
        self.workspaces.entry(workspace.clone()).or_default()
    }

    /// Mean tokens of prompt and answer; 1000 and 200 while the class has no answers.
    pub(crate) fn mean_tokens(&self, class: &TaskClass) -> (f64, f64) {
        self.classes.get(class).map_or((1000.0, 200.0), |means| (means.prompt, means.output))
    }

    /// Mean tokens of a class's answers; `None` while there are no answers.
    pub(crate) fn mean_output(&self, class: &TaskClass) -> Option<f64> {
        self.classes.get(class).map(|means| means.output)
    }

    /// Mix of the given classes in one workspace, or in all of them.
    pub(crate) fn mix(
        &self,
        workspace: Option<&WorkspaceId>,
        classes: &BTreeSet<TaskClass>,
    ) -> Vec<MixPart> {
        let own = workspace.and_then(|workspace| self.workspaces.get(workspace));
        let mut parts = own.unwrap_or(&self.all).parts(classes);
        for part in parts.iter_mut().filter(|part| part.kind.starts_session) {
            part.follow_ups = self.follow_ups(&part.kind.class);
        }
        parts
    }
}

impl Mix {
    fn add(&mut self, kind: &RequestKind) {
        if self.counts.len() >= MAX_CLASSES && !self.counts.contains_key(kind) {
            return;
        }
        *self.counts.entry(kind.clone()).or_default() += 1.0;
        self.total += 1.0;
        if self.total >= HALVING_COUNT {
            self.counts.values_mut().for_each(|count| *count *= 0.5);
            self.total *= 0.5;
        }
    }

    fn parts(&self, classes: &BTreeSet<TaskClass>) -> Vec<MixPart> {
        let counted = self.counts.iter().filter(|(kind, _)| classes.contains(&kind.class));
        let part = |(kind, count): (&RequestKind, &f64)| MixPart {
            kind: kind.clone(),
            weight: count / self.total.max(1.0),
            follow_ups: 0.0,
        };
        counted.map(part).collect()
    }
}
