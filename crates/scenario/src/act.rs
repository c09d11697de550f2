//! Timed acts: faults, repairs and operators' commands.

use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::Span;

/// Something that is done to the world.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// The entry host vanishes with all that it holds.
    Kill(EntryHostId),
    /// A new process in its place, with a higher incarnation.
    Restart(EntryHostId),
    /// The process stands still and goes on later as if no time had passed.
    Pause { host: EntryHostId, length: Span },
    /// A planned stop.
    Stop(EntryHostId),
    /// No messages between the two data centres.
    Cut(DataCentreId, DataCentreId),
    /// No calls from the data centre to the platform.
    CutPlatform(DataCentreId),
    /// Mends all cuts.
    Mend,
    /// Fault of the object API.
    Store(StoreFault),
    /// Fault of a backend server.
    Engine { server: BackendServerId, fault: EngineFault },
    /// The version's answers turn bad.
    Spoil { model_version: ModelVersion, unacceptable: f64, failing: f64 },
    /// The host list shows the backend server as leaving, with the list's lag.
    Leave(BackendServerId),
    /// The rating service's delay.
    RatingDelay(Span),
    /// An operator's command on an entry host.
    Operator { on: EntryHostId, order: Box<OperatorCommand> },
}

/// Fault of the object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum StoreFault {
    /// Works.
    None,
    /// Refuses every call.
    Down,
    /// Takes this long for each call.
    Slow(Span),
    /// Carries writes out and loses this share of the answers.
    LoseAnswers(f64),
    /// Answers reads from the state at the time of this act.
    StaleReads,
    /// This share of writes takes effect up to this long after its caller gave up.
    LateWrites { share: f64, late: Span },
}

/// Fault of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EngineFault {
    /// Works.
    None,
    /// Everything takes longer by this factor.
    Slow(f64),
    /// Dies now with all that it runs and comes back after the time.
    Crash(Span),
    /// Dies, for the time, whenever it runs a request with this content.
    CrashOn { content: String, back_after: Span },
    /// Connections opened before now are silent; new ones work.
    Silent,
    /// Answers carry another attempt's id.
    Crossed,
    /// Refuses work as not run.
    Busy,
    /// Says in its answers that it is leaving.
    SaysLeaving,
}
