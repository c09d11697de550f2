//! Store calls in progress and the component of the host that made each.

use std::collections::BTreeMap;

use crate::event::CallId;
use crate::event::CommandId;

/// Component of the host that made a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    Journal,
    Rollout,
    Adopter,
    /// A configuration change, started by an operator's command or the roll-out controller. The number is the
    /// change's own, not that of a command.
    Change(CommandId),
    /// A command that only reads the store.
    Reader(CommandId),
}

/// Store calls in progress, by the id that the driver sees.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    next: CallId,
    open: BTreeMap<CallId, OpenCall>,
}

/// Owner of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCall {
    pub owner: Owner,
    /// The owner's own id of the call.
    pub owner_call: u64,
}

impl Calls {
    pub fn open(&mut self, owner: Owner, owner_call: u64) -> CallId {
        self.next += 1;
        self.open.insert(self.next, OpenCall { owner, owner_call });
        self.next
    }

    pub fn close(&mut self, call: CallId) -> Option<OpenCall> {
        self.open.remove(&call)
    }
}
