//! Store calls in progress and which part of the host each belongs to.

use std::collections::BTreeMap;

use crate::event::CallId;
use crate::event::CommandId;

/// Part of the host that made a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    Journal,
    Rollout,
    Adopter,
    /// The change that an operator's command or the roll-out's controller asked for.
    Change(CommandId),
    /// A read of the audit log or of the bills.
    Reader(CommandId),
}

/// Calls in progress, by the id that the shell sees.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    next: CallId,
    open: BTreeMap<CallId, OpenCall>,
}

/// A call as its owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCall {
    pub owner: Owner,
    pub inner: u64,
}

impl Calls {
    pub fn open(&mut self, owner: Owner, inner: u64) -> CallId {
        self.next += 1;
        self.open.insert(self.next, OpenCall { owner, inner });
        self.next
    }

    pub fn close(&mut self, call: CallId) -> Option<OpenCall> {
        self.open.remove(&call)
    }
}
