//! Violations of what must hold in every run, regardless of its faults.

use std::time::Duration;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::WorkspaceId;
use thiserror::Error;

/// A violated invariant or expectation.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Violation {
    #[error("{key:?} ran {runs} times")]
    RanTwice { key: ClaimKey, runs: u32 },
    #[error("request {request:032x} was refused ({kind}) as not run but ran")]
    NotRunButRan { request: RequestId, kind: ErrorKind },
    #[error("session {session} moved from {before} to {now} unannounced")]
    SessionMoved { session: SessionId, before: ModelVersion, now: ModelVersion },
    #[error("{server} got new work {after:?} after it began to leave")]
    WorkToLeaving { server: BackendServerId, after: Duration },
    #[error("request {request:032x} has no answer {after:?} past its deadline")]
    Unanswered { request: RequestId, after: Duration },
    #[error("host {host} went from revision {before} to {now}")]
    RevisionFell { host: EntryHostId, before: Revision, now: Revision },
    #[error("host {host} shows preset {now} for revision {revision}, another host {before}")]
    TwoPresets { host: EntryHostId, revision: Revision, before: String, now: String },
    #[error(
        "{workspace}: {billed} bills for {answered} whole answers and {uncertain} of unknown outcome"
    )]
    Bills { workspace: WorkspaceId, billed: u64, answered: u64, uncertain: u64 },
    #[error("expected {expected}, saw {seen}")]
    Expectation { expected: String, seen: String },
}
