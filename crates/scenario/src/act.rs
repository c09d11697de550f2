//! Timed acts: faults, repairs and operators' commands.

use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::Span;

/// A fault, repair or command that a scenario applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// Kills the entry host's process without a shutdown; its state in memory is lost.
    Kill(EntryHostId),
    /// Kills the process and starts a new one with a higher incarnation.
    Restart(EntryHostId),
    /// Suspends the process; it resumes later without having noticed the time that passed.
    Pause { host: EntryHostId, length: Span },
    /// Graceful shutdown of the entry host.
    Stop(EntryHostId),
    /// Cuts the network between two data centres.
    Cut(DataCentreId, DataCentreId),
    /// Cuts the data centre off from the platform.
    CutPlatform(DataCentreId),
    /// Repairs all cuts.
    Mend,
    /// Sets the fault of the object API.
    Store(StoreFault),
    /// Sets the fault of a backend server.
    Engine { server: BackendServerId, fault: EngineFault },
    /// Makes these shares of the version's answers unacceptable or failing, each 0 to 1.
    Spoil { model_version: ModelVersion, unacceptable: f64, failing: f64 },
    /// Marks the backend server as leaving; the host list shows it with its lag.
    Leave(BackendServerId),
    /// Sets the delay of the rating service.
    RatingDelay(Span),
    /// Sends an operator's command to an entry host.
    Operator { on: EntryHostId, order: Box<OperatorCommand> },
}

/// Fault of the object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum StoreFault {
    /// No fault.
    None,
    /// Refuses every call.
    Down,
    /// Each call takes this long.
    Slow(Span),
    /// Calls take effect, but this share of the answers is lost.
    LoseAnswers(f64),
    /// Reads return the state at the time of this act.
    StaleReads,
    /// This share of writes takes effect up to `late` after the client timeout.
    LateWrites { share: f64, late: Span },
}

/// Fault of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EngineFault {
    /// No fault.
    None,
    /// All answers take longer by this factor.
    Slow(f64),
    /// Crashes now, loses its running attempts and restarts after the given time.
    Crash(Span),
    /// Crashes, for the given time, whenever it runs a request with this content.
    CrashOn { content: String, back_after: Span },
    /// Existing connections give no more answers; new ones work.
    Silent,
    /// Answers carry a wrong attempt id.
    Crossed,
    /// Refuses work as not run.
    Busy,
    /// Answers say that the server is leaving.
    SaysLeaving,
}
