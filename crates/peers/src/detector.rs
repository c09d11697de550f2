//! Finds peers that do not answer.
//!
//! As in SWIM, a peer that does not answer a heartbeat in time is probed through others before it is suspected. The
//! first miss also retires the connections to it, because a connection can go silent while a new one would work, and
//! the second direct probe goes over a new one.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;

/// Longest wait for an answer to a heartbeat, and to the probes after it.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(800);
/// Peers that are asked to probe.
pub const HELPERS: usize = 3;
/// Most heartbeats that wait for an answer.
pub const PROBES: usize = 32;
/// Most probes made for others at a time.
pub const RELAYS: usize = 64;

/// Heartbeats that wait for an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Detector {
    probes: BTreeMap<EntryHostId, Probe>,
    relays: BTreeMap<EntryHostId, Relay>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    until: Instant,
    indirect: bool,
}

/// A probe for another host.
#[derive(Clone, Debug)]
struct Relay {
    requester: EntryHostId,
    sequence: u64,
    until: Instant,
}

/// A peer that missed its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Missed {
    /// Probe it through others and over a new connection.
    First(EntryHostId),
    /// Nobody got an answer.
    Again(EntryHostId),
}

impl Detector {
    /// A heartbeat was sent.
    pub fn sent(&mut self, to: &EntryHostId, now: Instant) {
        if self.probes.len() >= PROBES && !self.probes.contains_key(to) {
            return;
        }
        let probe = Probe { until: now + ACK_TIMEOUT, indirect: false };
        self.probes.entry(to.clone()).or_insert(probe);
    }

    /// The peer answered, here or to a helper; returns who asked for the probe, if anyone.
    pub fn answered(&mut self, host: &EntryHostId) -> Option<(EntryHostId, u64)> {
        self.probes.remove(host);
        self.relays.remove(host).map(|relay| (relay.requester, relay.sequence))
    }

    /// The message could not be delivered: the wait is over.
    pub fn failed(&mut self, host: &EntryHostId, now: Instant) {
        if let Some(probe) = self.probes.get_mut(host).filter(|probe| !probe.indirect) {
            probe.until = now;
        }
    }

    /// Remembers to tell `requester` when `target` answers.
    pub fn relay(
        &mut self,
        target: &EntryHostId,
        requester: &EntryHostId,
        sequence: u64,
        now: Instant,
    ) {
        if self.relays.len() < RELAYS {
            let requester = requester.clone();
            let relay = Relay { requester, sequence, until: now + ACK_TIMEOUT };
            self.relays.insert(target.clone(), relay);
        }
    }

    /// Peers whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<Missed> {
        self.relays.retain(|_, relay| relay.until > now);
        let mut missed = Vec::new();
        for (host, probe) in &mut self.probes {
            if probe.until > now {
                continue;
            }
            if probe.indirect {
                missed.push(Missed::Again(host.clone()));
                continue;
            }
            *probe = Probe { until: now + ACK_TIMEOUT, indirect: true };
            missed.push(Missed::First(host.clone()));
        }
        self.probes.retain(|_, probe| probe.until > now);
        missed
    }

    pub fn next_expiry(&self) -> Option<Instant> {
        self.probes.values().map(|probe| probe.until).min()
    }

    pub fn len(&self) -> usize {
        self.probes.len() + self.relays.len()
    }
}
