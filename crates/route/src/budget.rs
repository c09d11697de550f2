//! Budget for retries and hedges: a fraction of first attempts, by host and by workspace.
//!
//! Each first attempt earns a fraction of a token and each retry or hedge spends one, so that these stay a fixed
//! fraction of the load in any fault, as in the token buckets of Finagle's retry budgets.

use std::collections::BTreeMap;

use foxtailhoist_model::WorkspaceId;

/// Initial balance of a host, for retries and hedges before any first attempt.
const HOST_RESERVE: f64 = 10.0;
/// Initial balance of a workspace, for retries and hedges before any first attempt.
const WORKSPACE_RESERVE: f64 = 5.0;
/// Upper limit of a balance.
const MAX_BALANCE: f64 = 50.0;
/// Maximum number of workspaces with a balance; beyond it the first by name is evicted and gets the initial balance
/// with its next attempt.
const MAX_WORKSPACES: usize = 10_000;

/// Token balances of this host and of its workspaces.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    host: f64,
    workspaces: BTreeMap<WorkspaceId, f64>,
    first_attempts: u64,
    /// Retries and hedges paid for.
    spent: u64,
    /// Sum of all tokens earned.
    earned: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        let workspaces = BTreeMap::new();
        RetryBudget { host: HOST_RESERVE, workspaces, first_attempts: 0, spent: 0, earned: 0.0 }
    }

    /// Counts a first attempt, which earns `share` of a token.
    pub(crate) fn earn(&mut self, workspace: &WorkspaceId, share: f64) {
        self.first_attempts += 1;
        self.earned += share;
        self.host = (self.host + share).min(MAX_BALANCE);
        let balance = self.balance(workspace);
        *balance = (*balance + share).min(MAX_BALANCE);
    }

    /// Spends one token if both balances allow it.
    #[must_use]
    pub(crate) fn spend(&mut self, workspace: &WorkspaceId) -> bool {
        let host = self.host;
        let balance = self.balance(workspace);
        if host < 1.0 || *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        self.host -= 1.0;
        self.spent += 1;
        true
    }

    /// Whether the tokens spent so far are within the tokens earned plus the host's initial balance.
    pub(crate) fn is_within_earned(&self) -> bool {
        self.spent as f64 <= self.earned + HOST_RESERVE + 1e-6
    }

    pub(crate) fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }

    /// Maximum number of workspaces with a balance.
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
