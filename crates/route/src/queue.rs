//! Bounded queue of requests that wait for a server, by priority and fair between workspaces.
//!
//! Workspaces of one priority are served by deficit round robin (Shreedhar and Varghese, 1996); each turn adds the
//! workspace's weight to its deficit, in requests. When the queue is full, a request of a workspace that is under its
//! share displaces the newest request of the workspace that is furthest over its own.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use foxtailhoist_model::Priority;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::WorkspaceId;

/// Lower bound of a workspace's weight; at zero, `pop` would not terminate.
const MIN_WEIGHT: f64 = 0.01;

/// Requests that wait for a server.
#[derive(Debug)]
pub(crate) struct WaitQueue {
    fair: bool,
    classes: BTreeMap<Priority, PriorityClass>,
    length: usize,
}

/// Outcome of adding a request to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PushOutcome {
    Queued,
    /// The request is queued in place of another one, which must be refused because its workspace is over its share.
    Displaced(RequestId),
    Full,
}

#[derive(Debug, Default)]
struct PriorityClass {
    queues: BTreeMap<WorkspaceId, WorkspaceQueue>,
    /// Workspaces with waiting requests, in round-robin order.
    round: VecDeque<WorkspaceId>,
}

#[derive(Debug)]
struct WorkspaceQueue {
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

    /// Adds a request; `bound` is the maximum length of the queue.
    pub(crate) fn push(
        &mut self,
        request: RequestId,
        priority: Priority,
        workspace: &WorkspaceId,
        weight: f64,
        bound: usize,
    ) -> PushOutcome {
        // Without fairness all requests share one FIFO queue.
        let key = if self.fair { workspace.clone() } else { WorkspaceId::new() };
        let weight = weight.max(MIN_WEIGHT);
        let mut outcome = PushOutcome::Queued;
        if self.length >= bound {
            match self.displace(&key, weight) {
                Some(displaced) => outcome = PushOutcome::Displaced(displaced),
                None => return PushOutcome::Full,
            }
        }
        self.classes.entry(priority).or_default().push(request, key, weight);
        self.length += 1;
        outcome
    }

    /// Puts a popped request back at the front of its workspace's queue.
    pub(crate) fn push_front(
        &mut self,
        request: RequestId,
        priority: Priority,
        workspace: &WorkspaceId,
        weight: f64,
    ) {
        let key = if self.fair { workspace.clone() } else { WorkspaceId::new() };
        self.classes.entry(priority).or_default().push_front(request, key, weight.max(MIN_WEIGHT));
        self.length += 1;
    }

    /// Removes and returns the next request.
    pub(crate) fn pop(&mut self) -> Option<RequestId> {
        let class = self.classes.values_mut().rev().find(|class| !class.round.is_empty())?;
        let request = class.pop();
        self.length -= usize::from(request.is_some());
        request
    }

    /// Removes a request that no longer waits; returns whether it was queued.
    pub(crate) fn remove(
        &mut self,
        request: RequestId,
        priority: Priority,
        workspace: &WorkspaceId,
    ) -> bool {
        let key = if self.fair { workspace.clone() } else { WorkspaceId::new() };
        let removed =
            self.classes.get_mut(&priority).is_some_and(|class| class.remove(request, &key));
        self.length -= usize::from(removed);
        removed
    }

    /// Number of waiting requests of a workspace.
    pub(crate) fn waiting(&self, workspace: &WorkspaceId) -> usize {
        let queues = self.classes.values().filter_map(|class| class.queues.get(workspace));
        queues.map(|queue| queue.waiting.len()).sum()
    }

    /// Removes the newest request of the workspace queue with the most requests per weight, if those are more than the
    /// newcomer's workspace would have over all priorities.
    fn displace(&mut self, newcomer: &WorkspaceId, weight: f64) -> Option<RequestId> {
        let own_load = (self.waiting(newcomer) + 1) as f64 / weight;
        let (load, priority, key) = self
            .classes
            .iter()
            .flat_map(|(priority, class)| {
                class.queues.iter().map(move |(key, queue)| (queue.load(), *priority, key.clone()))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))?;
        if load <= own_load {
            return None;
        }
        let class = self.classes.get_mut(&priority)?;
        let displaced = class.queues.get_mut(&key)?.waiting.pop_back()?;
        class.remove_if_empty(&key);
        self.length -= 1;
        Some(displaced)
    }
}

impl PriorityClass {
    fn push(&mut self, request: RequestId, workspace: WorkspaceId, weight: f64) {
        if !self.queues.contains_key(&workspace) {
            self.round.push_back(workspace.clone());
        }
        let queue = self.queues.entry(workspace).or_insert(WorkspaceQueue {
            waiting: VecDeque::new(),
            weight,
            deficit: 0.0,
        });
        queue.weight = weight;
        queue.waiting.push_back(request);
    }

    fn push_front(&mut self, request: RequestId, workspace: WorkspaceId, weight: f64) {
        if !self.queues.contains_key(&workspace) {
            self.round.push_front(workspace.clone());
        }
        let queue = self.queues.entry(workspace).or_insert(WorkspaceQueue {
            waiting: VecDeque::new(),
            weight,
            deficit: 0.0,
        });
        // `pop` deducted the request.
        queue.deficit += 1.0;
        queue.waiting.push_front(request);
    }

    fn pop(&mut self) -> Option<RequestId> {
        loop {
            let workspace = self.round.front()?.clone();
            let queue = self.queues.get_mut(&workspace)?;
            if queue.deficit < 1.0 {
                queue.deficit += queue.weight;
                self.round.rotate_left(1);
                continue;
            }
            queue.deficit -= 1.0;
            let request = queue.waiting.pop_front();
            self.remove_if_empty(&workspace);
            return request;
        }
    }

    fn remove(&mut self, request: RequestId, workspace: &WorkspaceId) -> bool {
        let Some(queue) = self.queues.get_mut(workspace) else {
            return false;
        };
        let before = queue.waiting.len();
        queue.waiting.retain(|waiting| *waiting != request);
        let removed = queue.waiting.len() < before;
        self.remove_if_empty(workspace);
        removed
    }

    fn remove_if_empty(&mut self, workspace: &WorkspaceId) {
        if self.queues.get(workspace).is_some_and(|queue| queue.waiting.is_empty()) {
            self.queues.remove(workspace);
            self.round.retain(|turn| turn != workspace);
        }
    }
}

impl WorkspaceQueue {
    fn load(&self) -> f64 {
        self.waiting.len() as f64 / self.weight
    }
}
