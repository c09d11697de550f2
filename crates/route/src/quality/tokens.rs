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
/// Requests after which a workspace's counts are halved.
const HALVE_AT: f64 = 2000.0;

/// Sizes and mixes.
#[derive(Debug, Default)]
pub(crate) struct Tokens {
    classes: BTreeMap<TaskClass, Means>,
    all: Mix,
    workspaces: BTreeMap<WorkspaceId, Mix>,
}

/// A class's share of the requests.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) class: TaskClass,
    pub(crate) streamed: bool,
    pub(crate) weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct Means {
    prompt: f64,
    output: f64,
}

#[derive(Clone, Debug, Default)]
struct Mix {
    counts: BTreeMap<(TaskClass, bool), f64>,
    total: f64,
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

    pub(crate) fn observe_request(
        &mut self,
        workspace: &WorkspaceId,
        class: &TaskClass,
        streamed: bool,
    ) {
        self.all.add(class, streamed);
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(workspace) {
            self.workspaces.pop_first();
        }
        self.workspaces.entry(workspace.clone()).or_default().add(class, streamed);
    }

    /// Mean tokens of prompt and answer.
    pub(crate) fn means(&self, class: &TaskClass) -> (f64, f64) {
        self.classes.get(class).map_or((1000.0, 200.0), |means| (means.prompt, means.output))
    }

    /// Mix of the given classes, of one workspace or of all.
    pub(crate) fn mix(
        &self,
        workspace: Option<&WorkspaceId>,
        classes: &BTreeSet<TaskClass>,
    ) -> Vec<Part> {
        let own = workspace.and_then(|workspace| self.workspaces.get(workspace));
        own.unwrap_or(&self.all).parts(classes)
    }
}

impl Mix {
    fn add(&mut self, class: &TaskClass, streamed: bool) {
        let key = (class.clone(), streamed);
        if self.counts.len() >= MAX_CLASSES && !self.counts.contains_key(&key) {
            return;
        }
        *self.counts.entry(key).or_default() += 1.0;
        self.total += 1.0;
        if self.total >= HALVE_AT {
            self.counts.values_mut().for_each(|count| *count *= 0.5);
            self.total *= 0.5;
        }
    }

    fn parts(&self, classes: &BTreeSet<TaskClass>) -> Vec<Part> {
        let counted = self.counts.iter().filter(|((class, _), _)| classes.contains(class));
        let part = |((class, streamed), count): (&(TaskClass, bool), &f64)| Part {
            class: class.clone(),
            streamed: *streamed,
            weight: count / self.total.max(1.0),
        };
        counted.map(part).collect()
    }
}
