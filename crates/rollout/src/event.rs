//! Events that the judge and the controller handle, and the effects that they request.

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

/// Matches the result of a store call to its effect.
pub type CallId = u64;

/// Input of the judge and the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration took effect on this host.
    Configured(Arc<Configuration>),
    /// This host's own tally of a version, cumulative since the host started.
    OwnTally { model_version: ModelVersion, tally: Tally },
    /// Sum of the tallies of all other entry hosts, for the versions whose sum changed.
    PeerTallies(BTreeMap<ModelVersion, Tally>),
    /// Live entry hosts, including this one.
    Hosts(Vec<EntryHostId>),
    /// This or another host vetoed a version. `epoch` is the number of times that an operator had cleared its vetoes.
    Vetoed { model_version: ModelVersion, epoch: u64 },
    /// An operator lifted the vetoes below `epoch`.
    VetoCleared { model_version: ModelVersion, epoch: u64 },
    /// A store call completed.
    Store { call: CallId, result: StoreResult },
    /// A requested stage was written to the store, or was refused.
    StageSet { model_version: ModelVersion, accepted: bool },
    /// The host is stopping: release the lease.
    Stop,
    /// The time returned by `Rollout::next_wake` was reached.
    Tick,
}

/// Action that the caller must perform.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Stop using the version at once, here and on all peers. `epoch` as in [`Event::Vetoed`].
    Veto { model_version: ModelVersion, epoch: u64, reason: String },
    /// Call the object API for the lease object.
    Store { call: CallId, op: StoreOp },
    /// Change a version's stage in the configuration under this fencing number.
    SetStage {
        model_version: ModelVersion,
        stage: Stage,
        /// Whether the configuration must record a veto of the version.
        vetoed: bool,
        fencing: FencingNumber,
        reason: String,
    },
    /// Whether this host holds the controller's lease and may act under it; sent on change.
    Leading(bool),
}
