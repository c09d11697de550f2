//! What callers, backend servers and operators observed during a run, for the checks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_host::operator::OperatorReply;
use foxtailhoist_model::CallerId;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::WorkspaceId;

use crate::PlannedRequest;
use crate::Violation;

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Completed {
        model_version: Option<ModelVersion>,
    },
    /// The caller got the recorded outcome of an earlier request with the same key.
    Replayed,
    Refused {
        kind: ErrorKind,
        ran: Ran,
    },
    /// The entry host was killed while the request was open.
    Lost,
    /// No entry host was ready.
    NoHost,
    /// The caller disconnected.
    Disconnected,
}

/// A request in progress on an entry host.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    pub planned: PlannedRequest,
    pub host: EntryHostId,
    pub workspace: WorkspaceId,
    pub caller: CallerId,
    pub deadline: Instant,
    pub key: Option<ClaimKey>,
    pub session: Option<SessionId>,
    /// Model version of the session when the request was sent.
    pub session_version: Option<ModelVersion>,
    pub content: String,
    /// Whether the caller disconnected.
    pub disconnected: bool,
    /// Attempts that may have run on a backend server.
    pub runs: u32,
}

/// Identifies a session of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionKey {
    pub workspace: WorkspaceId,
    pub session: SessionId,
}

/// Use of a model version.
#[derive(Clone, Debug, Default)]
pub struct VersionUse {
    pub dispatches: u64,
    pub last_dispatch: Option<Duration>,
    pub callers: BTreeSet<CallerId>,
}

/// Everything observed during a run.
#[derive(Default)]
pub struct Observations {
    pub open: BTreeMap<RequestId, OpenRequest>,
    /// Outcomes by index of the traffic.
    pub outcomes: BTreeMap<usize, Vec<RequestOutcome>>,
    /// Completed requests, by workspace.
    pub answered: BTreeMap<WorkspaceId, BTreeSet<RequestId>>,
    /// Model version that answered each request, for its rating.
    pub answered_by: BTreeMap<RequestId, ModelVersion>,
    /// Requests that may have been billed although no complete answer reached the caller, by workspace.
    pub uncertain: BTreeMap<WorkspaceId, BTreeSet<RequestId>>,
    /// Attempts that may have run on a backend server, by idempotency key.
    pub runs: BTreeMap<ClaimKey, u32>,
    pub versions: BTreeMap<ModelVersion, VersionUse>,
    /// Model version of the last answer in each session.
    pub sessions: BTreeMap<SessionKey, ModelVersion>,
    /// Replies to operators' commands.
    pub replies: Vec<Result<OperatorReply, Refusal>>,
    pub violations: Vec<Violation>,
}

impl Observations {
    /// Records that an attempt may have run on a backend server, and checks that no key ran twice.
    pub fn record_run(&mut self, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.runs += 1;
        if let Some(key) = &open.key {
            let runs = self.runs.entry(key.clone()).or_default();
            *runs += 1;
            if *runs > 1 {
                self.violations.push(Violation::RanTwice { key: key.clone(), runs: *runs });
            }
        }
    }

    /// Records a dispatch to a model version.
    pub fn record_dispatch(
        &mut self,
        request: RequestId,
        model_version: &ModelVersion,
        at: Duration,
    ) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let used = self.versions.entry(model_version.clone()).or_default();
        used.dispatches += 1;
        used.last_dispatch = Some(at);
        used.callers.insert(open.caller);
    }

    /// Records the outcome of a request; returns the request for a resend.
    pub fn end(&mut self, request: RequestId, outcome: RequestOutcome) -> Option<OpenRequest> {
        let open = self.open.remove(&request)?;
        match &outcome {
            RequestOutcome::Completed { model_version } => {
                if let Some(version) = model_version {
                    self.answered_by.insert(request, version.clone());
                }
                self.answered.entry(open.workspace.clone()).or_default().insert(request);
            }
            RequestOutcome::Refused { ran: Ran::NotRun, kind } => {
                if open.runs > 0 {
                    self.violations.push(Violation::NotRunButRan { request, kind: *kind });
                }
            }
            RequestOutcome::Refused { .. }
            | RequestOutcome::Lost
            | RequestOutcome::Disconnected => {
                self.uncertain.entry(open.workspace.clone()).or_default().insert(request);
            }
            RequestOutcome::Replayed | RequestOutcome::NoHost => {}
        }
        let outcome = if open.disconnected { RequestOutcome::Disconnected } else { outcome };
        self.outcomes.entry(open.planned.traffic).or_default().push(outcome);
        Some(open)
    }

    /// Records a session's version, and checks that it is unchanged since the request was sent unless a move was
    /// announced.
    pub fn record_session(
        &mut self,
        request: RequestId,
        key: SessionKey,
        model_version: &ModelVersion,
        moved: bool,
    ) {
        let before = self.open.get(&request).and_then(|open| open.session_version.clone());
        self.sessions.insert(key.clone(), model_version.clone());
        if let Some(before) = before
            && before != *model_version
            && !moved
        {
            let now = model_version.clone();
            self.violations.push(Violation::SessionMoved { session: key.session, before, now });
        }
    }
}
