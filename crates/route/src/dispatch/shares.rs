//! Charges requests to their workspaces and refuses those over their shares, on arrival and before a retry.

use std::time::Instant;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::WorkspaceId;

use super::Dispatcher;
use super::priority;
use crate::fair_share::Demand;
use crate::fair_share::FairShares;
use crate::fair_share::engine_cost;
use crate::fair_share::plain_cost;
use crate::in_flight::Attempt;
use crate::in_flight::AttemptOutcome;
use crate::in_flight::ExecutionStatus;
use crate::in_flight::InFlightRequest;

impl Dispatcher {
    /// Use of the services by the workspaces, to exchange with other hosts; `None` unless there are several workspaces.
    pub fn shares_mut(&mut self) -> Option<&mut FairShares> {
        self.has_workspaces.then_some(&mut self.shares)
    }

    /// Charges an arrival to its workspace, or refuses it.
    pub(super) fn charge(
        &mut self,
        req: &mut InFlightRequest,
        likely_output_tokens: Option<u64>,
        now: Instant,
    ) -> Result<(), Refusal> {
        if !self.has_workspaces {
            return Ok(());
        }
        req.cost_estimate = if req.model().is_some() {
            let output_tokens = likely_output_tokens.unwrap_or(req.max_output_tokens);
            engine_cost(req.prompt_tokens, output_tokens)
        } else {
            plain_cost(None)
        };
        let expected = self.expected_first_event(req, now);
        if expected
            .zip(req.route.latency_target)
            .is_some_and(|(expected, target)| expected > target)
        {
            self.shares.late(&req.service, now);
        }
        self.charge_estimate(req, now)
    }

    /// Charges a retry of a request that has not run, or refuses it. What may have run is not refused: the refusal could
    /// not promise that it has not.
    pub(super) fn charge_retry(
        &mut self,
        req: &mut InFlightRequest,
        now: Instant,
    ) -> Result<(), Refusal> {
        if req.attempts == 0 || req.execution != ExecutionStatus::NotRun || !self.has_workspaces {
            return Ok(());
        }
        self.charge_estimate(req, now)
    }

    fn charge_estimate(&mut self, req: &mut InFlightRequest, now: Instant) -> Result<(), Refusal> {
        let demand =
            Demand { priority: priority(req), cost: req.cost_estimate, hash: req.request_hash };
        let charged = self.shares.charge(&req.service, &workspace(req), demand, now);
        match charged {
            Ok(cost) => req.cost = cost,
            // A stream that has begun is not cut.
            Err(_) if req.last_event.is_some() => req.cost = req.cost_estimate,
            Err(retry_after) => {
                let mut refusal = self.refuse(req, ErrorKind::OverFairShare, now);
                refusal.retry_after = refusal.retry_after.map(|_| retry_after);
                return Err(refusal);
            }
        }
        Ok(())
    }

    pub(super) fn request_sent(&mut self, req: &InFlightRequest, now: Instant) {
        if self.has_workspaces {
            self.shares.sent(&req.service, now);
        }
    }

    /// Records that a server took the request.
    pub(super) fn request_served(&mut self, req: &InFlightRequest, now: Instant) {
        if self.has_workspaces {
            self.shares.served(&req.service, req.cost, now);
        }
    }

    /// Records that all servers were busy for longer than the request may wait.
    pub(super) fn servers_busy(&mut self, req: &InFlightRequest, now: Instant) {
        if self.has_workspaces {
            self.shares.rejected(&req.service, now);
        }
    }

    /// Records what an attempt that ended tells of its service's capacity, and what the request cost.
    pub(super) fn record_use(
        &mut self,
        req: &InFlightRequest,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        if !self.has_workspaces {
            return;
        }
        match outcome {
            AttemptOutcome::Full { .. } => self.shares.rejected(&req.service, now),
            AttemptOutcome::Whole => {
                let took =
                    req.times.sent_at(attempt).map(|sent| now.saturating_duration_since(sent));
                let actual = match (attempt.model.is_some(), took, req.last_event) {
                    (true, _, Some(events)) => engine_cost(req.prompt_tokens, events),
                    (false, Some(took), _) => {
                        let target = req.route.latency_target;
                        self.shares.answered(&req.service, took, target, now);
                        plain_cost(Some(took))
                    }
                    _ => return,
                };
                self.shares.correct(&req.service, &workspace(req), req.cost_estimate, actual);
            }
            _ => {}
        }
    }
}

/// Workspace that a request is charged to; requests without a key share one.
fn workspace(req: &InFlightRequest) -> WorkspaceId {
    req.workspace.as_ref().map(|workspace| workspace.id.clone()).unwrap_or_default()
}
