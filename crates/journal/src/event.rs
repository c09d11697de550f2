//! Inputs and outputs of the journal.

use std::time::SystemTime;

use foxtailhoist_model::Bill;
use foxtailhoist_model::Claim;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;

use crate::JournalMessage;

/// Matches the result of a store call to its effect.
pub type CallId = u64;

/// Input of the journal.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request of this host needs a claim.
    Claim(Claim),
    /// A claimed request of this host ended.
    Outcome { key: ClaimKey, request: RequestId, outcome: ClaimOutcome },
    /// A request of this host needs its bill made safe.
    Bill(Bill),
    /// A store call ended.
    Store { call: CallId, result: StoreResult },
    /// A message from a peer.
    Message { from: EntryHostId, message: JournalMessage },
    /// A message could not be delivered.
    SendFailed { to: EntryHostId },
    /// Live entry hosts, including this one.
    Hosts(Vec<HostLocation>),
    /// Stop after committing or handing over every held entry.
    Stop,
    /// The time returned by `Journal::next_wake` was reached; `wall` is the wall-clock time.
    Tick { wall: SystemTime },
}

/// An entry host and its data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostLocation {
    pub host: EntryHostId,
    pub data_centre: DataCentreId,
}

/// Output of the journal, to be performed by the caller.
#[derive(Clone, Debug)]
pub enum Effect {
    Store {
        call: CallId,
        op: StoreOp,
    },
    Send {
        to: EntryHostId,
        message: JournalMessage,
    },
    /// Result of this host's claim.
    Claimed {
        request: RequestId,
        key: ClaimKey,
        result: ClaimResult,
    },
    /// This host's bill is safe.
    Billed {
        request: RequestId,
        how: BillSafety,
    },
    /// The outcome of this host's claim is committed or replicated to two peers.
    OutcomeSafe {
        request: RequestId,
    },
    /// The stop is complete; the host may exit.
    Stopped,
}

/// Where a bill is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BillSafety {
    /// In the object API.
    Committed,
    /// In the memory of two peer entry hosts; if this host fails, the survivors commit it.
    Replicated,
    /// Neither committed nor replicated to two peers within a timeout; this host keeps trying.
    Held,
}
