//! What the journal is told and what it asks for.

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

/// Names a store call between its effect and its result.
pub type CallId = u64;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request of this host wants a claim.
    Claim(Claim),
    /// A claimed request of this host ended.
    Outcome { key: ClaimKey, request: RequestId, outcome: ClaimOutcome },
    /// A request of this host wants its bill made safe.
    Bill(Bill),
    /// A store call ended.
    Store { call: CallId, result: StoreResult },
    /// A peer's message.
    Message { from: EntryHostId, message: JournalMessage },
    /// A message could not be delivered.
    SendFailed { to: EntryHostId },
    /// Entry hosts alive, this one included.
    Hosts(Vec<HostPlace>),
    /// Stop: commit or hand over everything held.
    Stop,
    /// The time named by `Journal::next_wake` has come; `wall` is the host's calendar time.
    Tick { wall: SystemTime },
}

/// An entry host and its data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostPlace {
    pub host: EntryHostId,
    pub data_centre: DataCentreId,
}

/// Something to be done for the journal.
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
    /// The outcome of this host's claim is safe, or parked with two peers.
    OutcomeSafe {
        request: RequestId,
    },
    /// Nothing is held any more; the host may exit.
    Stopped,
}

/// Where a bill is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BillSafety {
    /// In the object API.
    Committed,
    /// In memory of two peer entry hosts, to be committed by whichever survives.
    Parked,
    /// The bounded wait passed with neither; the host keeps trying.
    Held,
}
