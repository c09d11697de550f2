//! What the judge and controller of roll-outs are told and what they ask for.

use std::collections::BTreeMap;
use std::sync::Arc;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::FencingNumber;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;
use foxtailhoist_model::Tally;

/// Names a store call between its effect and its result.
pub type CallId = u64;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force on this host.
    Configured(Arc<Configuration>),
    /// This host's own evidence about a version, cumulative since its start.
    Own { model_version: ModelVersion, tally: Tally },
    /// Evidence of all other entry hosts, summed, for the versions that changed.
    Others(BTreeMap<ModelVersion, Tally>),
    /// Entry hosts alive, this one included.
    Hosts(Vec<EntryHostId>),
    /// A veto became known, of this or another host.
    Vetoed { model_version: ModelVersion, epoch: u64 },
    /// An operator lifted the vetoes below `epoch`.
    VetoCleared { model_version: ModelVersion, epoch: u64 },
    /// A store call ended.
    Store { call: CallId, result: StoreResult },
    /// A stage that was asked for is in the store, or was refused.
    StageSet { model_version: ModelVersion, accepted: bool },
    /// The host stops: give the lease back.
    Stop,
    /// The time named by `Rollout::next_wake` has come.
    Tick,
}

/// Something to be done for roll-outs.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Stop using the version at once, here and on all peers.
    Veto { model_version: ModelVersion, epoch: u64, reason: String },
    /// Calls on the lease object.
    Store { call: CallId, op: StoreOp },
    /// Change a version's stage in the configuration, fenced.
    SetStage {
        model_version: ModelVersion,
        stage: Stage,
        vetoed: bool,
        fencing: FencingNumber,
        reason: String,
    },
    /// This host holds the controller's lease, or no longer.
    Leading(bool),
}
