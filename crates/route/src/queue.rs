//! Requests that wait for a place: bounded, by priority, and fair between workspaces.
//!
//! Workspaces take turns by deficit round robin (Shreedhar and Varghese, 1996), each turn worth the workspace's
//! weight in requests. A workspace over its share of a full queue loses its newest request to one that is under it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use foxtailhoist_model::Priority;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::WorkspaceId;

/// Lowest weight that a workspace counts with.
const MIN_WEIGHT: f64 = 0.01;

/// Waiting requests.
#[derive(Debug)]
pub(crate) struct WaitQueue {
    fair: bool,
    classes: BTreeMap<Priority, Class>,
    length: usize,
}

/// Outcome of an attempt to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pushed {
    Waits,
    /// Waits in place of another, which is to be refused as over its share.
    Displaced(RequestId),
    Full,
}

#[derive(Debug, Default)]
struct Class {
    lanes: BTreeMap<WorkspaceId, Lane>,
    /// Workspaces with waiting requests, in the order of their turns.
    turns: VecDeque<WorkspaceId>,
}

#[derive(Debug)]
struct Lane {
    waiting: VecDeque<RequestId>,
    weight: f64,
    deficit: f64,
}

impl WaitQueue {
    pub(crate) fn new(fair: bool) -> WaitQueue {
        WaitQueue { fair, classes: BTreeMap::new(), length: 0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Adds a request; `bound` is the most that may wait.
    pub(crate) fn push(
        &mut self,
        request: RequestId,
        priority: Priority,
        workspace: &WorkspaceId,
        weight: f64,
        bound: usize,
    ) -> Pushed {
        // Without fairness all requests share one lane, which is first in, first out.
        let lane = if self.fair { workspace.clone() } else { WorkspaceId::new() };
        let weight = weight.max(MIN_WEIGHT);
        let mut pushed = Pushed::Waits;
        if self.length >= bound {
            match self.displace(&lane, weight) {
                Some(displaced) => pushed = Pushed::Displaced(displaced),
                None => return Pushed::Full,
            }
        }
        self.classes.entry(priority).or_default().push(request, lane, weight);
        self.length += 1;
        pushed
    }

    /// Puts back a request that was taken out of turn.
    pub(crate) fn push_front(
        &mut self,
        request: RequestId,
        priority: Priority,
        workspace: &WorkspaceId,
        weight: f64,
    ) {
        let lane = if self.fair { workspace.clone() } else { WorkspaceId::new() };
        self.classes.entry(priority).or_default().put_back(request, lane, weight.max(MIN_WEIGHT));
        self.length += 1;
    }

    /// Takes the next request in turn.
    pub(crate) fn pop(&mut self) -> Option<RequestId> {
        let class = self.classes.values_mut().rev().find(|class| !class.turns.is_empty())?;
        let request = class.pop();
        self.length -= usize::from(request.is_some());
        request
    }

    /// Takes out a request that no longer waits.
    pub(crate) fn remove(
        &mut self,
        request: RequestId,
        priority: Priority,
        workspace: &WorkspaceId,
    ) -> bool {
        let lane = if self.fair { workspace.clone() } else { WorkspaceId::new() };
        let removed =
            self.classes.get_mut(&priority).is_some_and(|class| class.remove(request, &lane));
        self.length -= usize::from(removed);
        removed
    }

    /// Requests of a workspace that wait.
    pub(crate) fn waiting(&self, workspace: &WorkspaceId) -> usize {
        let lanes = self.classes.values().filter_map(|class| class.lanes.get(workspace));
        lanes.map(|lane| lane.waiting.len()).sum()
    }

    /// Removes the newest request of the lane that is furthest over its share, if that is above the newcomer's.
    fn displace(&mut self, newcomer: &WorkspaceId, weight: f64) -> Option<RequestId> {
        let own = (self.waiting(newcomer) + 1) as f64 / weight;
        let (use_of, class, lane) = self
            .classes
            .iter()
            .flat_map(|(priority, class)| {
                class.lanes.iter().map(move |(name, lane)| (lane.load(), *priority, name.clone()))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))?;
        if use_of <= own {
            return None;
        }
        let class = self.classes.get_mut(&class)?;
        let displaced = class.lanes.get_mut(&lane)?.waiting.pop_back()?;
        class.forget_if_empty(&lane);
        self.length -= 1;
        Some(displaced)
    }
}

impl Class {
    fn push(&mut self, request: RequestId, workspace: WorkspaceId, weight: f64) {
        if !self.lanes.contains_key(&workspace) {
            self.turns.push_back(workspace.clone());
        }
        let lane = self.lanes.entry(workspace).or_insert(Lane {
            waiting: VecDeque::new(),
            weight,
            deficit: 0.0,
        });
        lane.weight = weight;
        lane.waiting.push_back(request);
    }

    fn put_back(&mut self, request: RequestId, workspace: WorkspaceId, weight: f64) {
        if !self.lanes.contains_key(&workspace) {
            self.turns.push_front(workspace.clone());
        }
        let lane = self.lanes.entry(workspace).or_insert(Lane {
            waiting: VecDeque::new(),
            weight,
            deficit: 0.0,
        });
        lane.deficit += 1.0;
        lane.waiting.push_front(request);
    }

    fn pop(&mut self) -> Option<RequestId> {
        loop {
            let workspace = self.turns.front()?.clone();
            let lane = self.lanes.get_mut(&workspace)?;
            if lane.deficit < 1.0 {
                lane.deficit += lane.weight;
                self.turns.rotate_left(1);
                continue;
            }
            lane.deficit -= 1.0;
            let request = lane.waiting.pop_front();
            self.forget_if_empty(&workspace);
            return request;
        }
    }

    fn remove(&mut self, request: RequestId, workspace: &WorkspaceId) -> bool {
        let Some(lane) = self.lanes.get_mut(workspace) else {
            return false;
        };
        let before = lane.waiting.len();
        lane.waiting.retain(|waiting| *waiting != request);
        let removed = lane.waiting.len() < before;
        self.forget_if_empty(workspace);
        removed
    }

    fn forget_if_empty(&mut self, workspace: &WorkspaceId) {
        if self.lanes.get(workspace).is_some_and(|lane| lane.waiting.is_empty()) {
            self.lanes.remove(workspace);
            self.turns.retain(|turn| turn != workspace);
        }
    }
}

impl Lane {
    fn load(&self) -> f64 {
        self.waiting.len() as f64 / self.weight
    }
}
