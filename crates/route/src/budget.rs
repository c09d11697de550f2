//! Budget of retries and hedges: a share of first attempts, by host and by workspace.
//!
//! Each first attempt earns the share and each repeat spends one, so repeats stay a fixed fraction of the load in any
//! fault, as in the token buckets of Finagle's retry budgets.

use std::collections::BTreeMap;

use foxtailhoist_model::WorkspaceId;

/// Repeats that a host may make before it has earned any.
const HOST_RESERVE: f64 = 10.0;
/// Repeats that a workspace may make before it has earned any.
const WORKSPACE_RESERVE: f64 = 5.0;
/// Earned repeats that are kept at most.
const MAX_BALANCE: f64 = 50.0;
/// Workspaces with a balance; the first by name is evicted and starts anew.
const MAX_WORKSPACES: usize = 10_000;

/// Balances of repeats.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    host: f64,
    workspaces: BTreeMap<WorkspaceId, f64>,
    first_attempts: u64,
    repeats: u64,
    /// Sum of what first attempts earned.
    earned: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        let workspaces = BTreeMap::new();
        RetryBudget { host: HOST_RESERVE, workspaces, first_attempts: 0, repeats: 0, earned: 0.0 }
    }

    /// Counts a first attempt, which earns a share of a repeat.
    pub(crate) fn earn(&mut self, workspace: &WorkspaceId, share: f64) {
        self.first_attempts += 1;
        self.earned += share;
        self.host = (self.host + share).min(MAX_BALANCE);
        let balance = self.balance(workspace);
        *balance = (*balance + share).min(MAX_BALANCE);
    }

    /// Spends one repeat if both balances allow it.
    #[must_use]
    pub(crate) fn spend(&mut self, workspace: &WorkspaceId) -> bool {
        let host = self.host;
        let balance = self.balance(workspace);
        if host < 1.0 || *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        self.host -= 1.0;
        self.repeats += 1;
        true
    }

    /// Whether all repeats so far were within what was earned and the reserve.
    pub(crate) fn kept(&self) -> bool {
        self.repeats as f64 <= self.earned + HOST_RESERVE + 1e-6
    }

    pub(crate) fn workspaces(&self) -> usize {
        self.workspaces.len()
    }

    /// Most workspaces with a balance of their own.
    pub(crate) fn capacity() -> usize {
        MAX_WORKSPACES
    }

    fn balance(&mut self, workspace: &WorkspaceId) -> &mut f64 {
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(workspace) {
            self.workspaces.pop_first();
        }
        self.workspaces.entry(workspace.clone()).or_insert(WORKSPACE_RESERVE)
    }
}
