//! Memory of the machine, shared out among those that hold it for callers and other hosts.
//!
//! The load: clients that send long bodies and heads, or hold many connections open, until the process is killed for its
//! memory. Each holder has a part of the settings' memory less what the process needs by itself, and reserves from it
//! before it allocates. Within callers' bodies an owner, that is a workspace or else an address, may hold at most
//! [`OWNER_FACTOR`] times what is left free, the dynamic threshold that switches use for shared packet buffers: a single
//! owner can use most of the memory while nobody else needs it, and whoever holds most is refused first.
//!
//! Bytes that the kernel has received and this process has not read count to the machine's memory as well. They are bounded
//! by the receive buffer of a connection and by the number of connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;

use foxtailhoist_model::WorkspaceId;

const MB: u64 = 1024 * 1024;
/// Memory of the process itself: code, routing table, lists of servers and hosts, log buffer. A process with the tests'
/// configuration holds 30 MB without optimisation.
const BASE_BYTES: u64 = 40 * MB;
/// Minimum of what is shared out, on a machine with less than [`BASE_BYTES`] and this.
const MIN_SHARED_BYTES: u64 = 24 * MB;
/// File descriptors that are reserved for files.
const RESERVED_FDS: u64 = 200;
/// Memory that a connection may hold without a body: what the kernel receives before the process reads it.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// Minimum number of connections from other hosts, which open one for each message.
const MIN_HOST_CONNECTIONS: u64 = 32;
/// An owner's bodies may take this multiple of what is left free.
const OWNER_FACTOR: u64 = 2;
/// Bodies up to this size are not attributed to an owner, which saves the look-up for ordinary requests.
pub(crate) const SMALL_BODY_BYTES: usize = 16 * 1024;

/// Memory and file descriptors of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory above which the process is killed, in MB.
    pub memory_mb: u64,
    /// File descriptors that the process may have open.
    pub max_fds: u64,
}

/// Who holds memory for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Holder {
    /// Bodies of callers' requests, until their request ends.
    Bodies,
    /// Messages of other hosts while they are read.
    Messages,
}

/// Whose bodies they are.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Owner {
    Workspace(WorkspaceId),
    /// Callers without a workspace; `None` for those of another host.
    Address(Option<IpAddr>),
}

/// What each holder holds.
#[derive(Debug)]
pub(crate) struct Memory {
    shared: u64,
    /// Held bytes by holder.
    held: [Cell<u64>; Holder::ALL.len()],
    /// Held bytes of callers' bodies by owner.
    owners: RefCell<BTreeMap<Owner, u64>>,
}

/// Reserved memory; dropping returns it.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Rc<Memory>,
    holder: Holder,
    owner: Option<Owner>,
    bytes: u64,
}

/// There is no memory left for a holder or an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverBudget;

impl Default for MachineLimits {
    /// The smallest machine in use, so that a process without these settings stays within the memory of any.
    fn default() -> MachineLimits {
        MachineLimits { memory_mb: 88, max_fds: 3_075 }
    }
}

impl MachineLimits {
    /// Memory that is shared out.
    fn shared_bytes(self) -> u64 {
        (self.memory_mb * MB).saturating_sub(BASE_BYTES).max(MIN_SHARED_BYTES)
    }

    /// Maximum number of callers' connections. Each of them may need another one to a server, and a fifth of the file
    /// descriptors is left for other hosts, the store and idle connections to servers. Together they may take half of the
    /// memory that is shared out.
    pub(crate) fn caller_connections(self) -> usize {
        let by_fds = self.max_fds.saturating_sub(RESERVED_FDS) * 2 / 5;
        let by_memory = self.shared_bytes() / 2 / CONNECTION_BYTES;
        by_fds.min(by_memory).try_into().unwrap_or(usize::MAX)
    }

    /// Maximum number of connections from other hosts.
    pub(crate) fn host_connections(self) -> usize {
        let by_fds = self.max_fds.saturating_sub(RESERVED_FDS) / 10;
        by_fds.max(MIN_HOST_CONNECTIONS).try_into().unwrap_or(usize::MAX)
    }
}

impl Holder {
    pub(crate) const ALL: [Holder; 2] = [Holder::Bodies, Holder::Messages];

    /// Name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Holder::Bodies => "bodies",
            Holder::Messages => "messages",
        }
    }

    /// Divisor of the shared memory that gives the holder's part.
    fn divisor(self) -> u64 {
        match self {
            Holder::Bodies => 3,
            Holder::Messages => 12,
        }
    }
}

impl Memory {
    pub(crate) fn new(limits: MachineLimits) -> Rc<Memory> {
        let shared = limits.shared_bytes();
        Rc::new(Memory { shared, held: Default::default(), owners: RefCell::default() })
    }

    /// The most that a holder may hold.
    fn limit(&self, holder: Holder) -> u64 {
        self.shared / holder.divisor()
    }

    pub(crate) fn held(&self, holder: Holder) -> u64 {
        self.held[holder as usize].get()
    }

    /// Bytes of the owner whose bodies hold most.
    pub(crate) fn largest_owner(&self) -> u64 {
        self.owners.borrow().values().copied().max().unwrap_or_default()
    }

    /// An empty reservation of a holder, for an owner if it is attributed to one.
    pub(crate) fn reserve(self: &Rc<Memory>, holder: Holder, owner: Option<Owner>) -> Reservation {
        Reservation { memory: self.clone(), holder, owner, bytes: 0 }
    }

    /// Whether `more` bytes may be held. A single body is always taken, whatever its permitted size.
    fn has_room(&self, holder: Holder, owner: Option<&Owner>, more: u64) -> bool {
        let held = self.held(holder);
        let Some(free) = self.limit(holder).checked_sub(held + more) else {
            return held == 0;
        };
        let Some(owner) = owner else {
            return true;
        };
        let owned = self.owners.borrow().get(owner).copied().unwrap_or_default();
        owned == 0 || owned + more <= OWNER_FACTOR * free
    }
}

impl Reservation {
    /// Grows to a number of bytes before they are allocated; smaller numbers change nothing.
    ///
    /// # Errors
    ///
    /// Fails if the holder or the owner would hold too much.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), OverBudget> {
        let bytes = bytes as u64;
        if bytes <= self.bytes {
            return Ok(());
        }
        let more = bytes - self.bytes;
        if !self.memory.has_room(self.holder, self.owner.as_ref(), more) {
            return Err(OverBudget);
        }
        let held = &self.memory.held[self.holder as usize];
        held.set(held.get() + more);
        if let Some(owner) = &self.owner {
            let mut owners = self.memory.owners.borrow_mut();
            match owners.get_mut(owner) {
                Some(owned) => *owned += more,
                None => {
                    owners.insert(owner.clone(), more);
                }
            }
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let held = &self.memory.held[self.holder as usize];
        held.set(held.get() - self.bytes);
        let Some(owner) = self.owner.take().filter(|_| self.bytes > 0) else {
            return;
        };
        let mut owners = self.memory.owners.borrow_mut();
        if let Some(owned) = owners.get_mut(&owner) {
            *owned -= self.bytes;
            if *owned == 0 {
                owners.remove(&owner);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn memory() -> Rc<Memory> {
        // 48 MB are shared out, of which bodies get 16 MB.
        Memory::new(MachineLimits { memory_mb: 88, max_fds: 400 })
    }

    fn owner(name: &str) -> Option<Owner> {
        Some(Owner::Workspace(name.to_owned()))
    }

    fn held(memory: &Rc<Memory>, owner: Option<Owner>, mb: usize) -> Option<Reservation> {
        let mut reservation = memory.reserve(Holder::Bodies, owner);
        reservation.grow(mb * 1024 * 1024).ok().map(|()| reservation)
    }

    // Guards against one workspace that takes all memory, so that others are refused.
    #[test]
    fn an_owner_leaves_room_for_others() {
        let memory = memory();
        let large: Vec<Reservation> =
            (0..20).map_while(|_| held(&memory, owner("large"), 1)).collect();
        assert_eq!(large.len(), 10);
        assert!(held(&memory, owner("large"), 1).is_none());
        assert!(held(&memory, owner("small"), 4).is_some());
    }

    // Guards against memory that stays reserved, or is returned twice, when requests end.
    #[test]
    fn dropped_reservations_are_returned() {
        let memory = memory();
        let reservations = [held(&memory, owner("a"), 2), held(&memory, None, 3)];
        assert_eq!(memory.held(Holder::Bodies), 5 * MB);
        assert_eq!(memory.largest_owner(), 2 * MB);
        drop(reservations);
        assert_eq!(memory.held(Holder::Bodies), 0);
        assert_eq!(memory.largest_owner(), 0);
        assert!(memory.owners.borrow().is_empty());
    }

    // Guards against a limit below the permitted size of a body, which would refuse every such body.
    #[test]
    fn a_single_body_is_taken_whatever_its_size() {
        let memory = memory();
        let large = held(&memory, owner("a"), 20);
        assert!(large.is_some());
        assert!(held(&memory, owner("b"), 1).is_none());
        drop(large);
        assert!(held(&memory, owner("b"), 1).is_some());
    }

    // Guards against a refusal that leaves a part of what was refused reserved.
    #[test]
    fn a_refused_growth_reserves_nothing() {
        let memory = memory();
        let mut body = memory.reserve(Holder::Bodies, owner("a"));
        assert_eq!(body.grow(1024 * 1024), Ok(()));
        assert_eq!(body.grow(15 * 1024 * 1024), Err(OverBudget));
        assert_eq!(memory.held(Holder::Bodies), MB);
    }
}
