//! What callers, backend servers and operators saw, for the checks.

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

use crate::Turn;
use crate::Violation;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    Whole {
        model_version: Option<ModelVersion>,
    },
    Replayed,
    Refused {
        kind: ErrorKind,
        ran: Ran,
    },
    /// The entry host vanished with the request in it.
    Lost,
    /// No entry host took it.
    NoHost,
    Left,
}

/// A request that a host works on.
#[derive(Clone, Debug)]
pub struct Open {
    pub turn: Turn,
    pub host: EntryHostId,
    pub workspace: WorkspaceId,
    pub caller: CallerId,
    pub deadline: Instant,
    pub key: Option<ClaimKey>,
    pub session: Option<SessionId>,
    /// Version that the session had when the request was sent.
    pub kept: Option<ModelVersion>,
    pub content: String,
    pub left: bool,
    /// Attempts that a backend server took in.
    pub runs: u32,
}

/// Session of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionKey {
    pub workspace: WorkspaceId,
    pub session: SessionId,
}

/// Work that a version got.
#[derive(Clone, Debug, Default)]
pub struct VersionUse {
    pub dispatches: u64,
    pub last_dispatch: Option<Duration>,
    pub callers: BTreeSet<CallerId>,
}

/// Everything that was seen.
#[derive(Default)]
pub struct Book {
    pub open: BTreeMap<RequestId, Open>,
    /// Endings by traffic.
    pub endings: BTreeMap<usize, Vec<Ending>>,
    /// Requests that were answered whole, by workspace.
    pub answered: BTreeMap<WorkspaceId, BTreeSet<RequestId>>,
    /// Version that answered each of the latest requests, for their ratings.
    pub answered_by: BTreeMap<RequestId, ModelVersion>,
    /// Requests that may have been billed although no whole answer reached the caller.
    pub uncertain: BTreeMap<WorkspaceId, BTreeSet<RequestId>>,
    pub runs: BTreeMap<ClaimKey, u32>,
    pub versions: BTreeMap<ModelVersion, VersionUse>,
    pub sessions: BTreeMap<SessionKey, ModelVersion>,
    pub replies: Vec<Result<OperatorReply, Refusal>>,
    pub violations: Vec<Violation>,
}

impl Book {
    /// Notes that a backend server took an attempt in.
    pub fn note_run(&mut self, request: RequestId) {
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

    /// Notes that a version got work.
    pub fn note_dispatch(
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

    /// Ends a request; returns it for a resend.
    pub fn end(&mut self, request: RequestId, ending: Ending) -> Option<Open> {
        let open = self.open.remove(&request)?;
        match &ending {
            Ending::Whole { model_version } => {
                if let Some(version) = model_version {
                    self.answered_by.insert(request, version.clone());
                }
                self.answered.entry(open.workspace.clone()).or_default().insert(request);
            }
            Ending::Refused { ran: Ran::NotRun, kind } => {
                if open.runs > 0 {
                    self.violations.push(Violation::NotRunButRan { request, kind: *kind });
                }
            }
            Ending::Refused { .. } | Ending::Lost | Ending::Left => {
                self.uncertain.entry(open.workspace.clone()).or_default().insert(request);
            }
            Ending::Replayed | Ending::NoHost => {}
        }
        let ending = if open.left { Ending::Left } else { ending };
        self.endings.entry(open.turn.traffic).or_default().push(ending);
        Some(open)
    }

    /// Checks that a session kept the version that it had when the request was sent.
    pub fn note_session(
        &mut self,
        request: RequestId,
        key: SessionKey,
        model_version: &ModelVersion,
        moved: bool,
    ) {
        let before = self.open.get(&request).and_then(|open| open.kept.clone());
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
