//! Failure detector.
//!
//! As in SWIM, a peer that does not acknowledge a heartbeat in time is probed through other hosts before it is
//! suspected. The first timeout also retires the connections to the peer, because an open connection can stop
//! delivering while a new one works; the second direct probe uses a new connection.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;

/// Timeout of a heartbeat, and of the direct and indirect probes that follow it.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of peers that send an indirect probe.
pub const PROBE_HELPERS: usize = 3;
/// Maximum number of unacknowledged heartbeats; further ones are sent without a timeout.
pub const MAX_PROBES: usize = 32;
/// Maximum number of concurrent probes on behalf of other hosts; the results of further ones are not forwarded.
pub const MAX_RELAYED_PROBES: usize = 64;

/// Unacknowledged heartbeats, and probes on behalf of other hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Detector {
    probes: BTreeMap<EntryHostId, Probe>,
    relayed_probes: BTreeMap<EntryHostId, RelayedProbe>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    deadline: Instant,
    indirect: bool,
}

/// A probe on behalf of another host.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: EntryHostId,
    sequence: u64,
    deadline: Instant,
}

/// A peer that did not acknowledge in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MissedAck {
    /// The heartbeat timed out: probe through other hosts and over a new connection.
    Direct(EntryHostId),
    /// The direct and the indirect probes timed out.
    Indirect(EntryHostId),
}

impl Detector {
    /// Starts the timeout of a heartbeat.
    pub fn heartbeat_sent(&mut self, to: &EntryHostId, now: Instant) {
        if self.probes.len() >= MAX_PROBES && !self.probes.contains_key(to) {
            return;
        }
        let probe = Probe { deadline: now + ACK_TIMEOUT, indirect: false };
        self.probes.entry(to.clone()).or_insert(probe);
    }

    /// Ends the probe of a peer that answered this host or a helper; returns the requester of a relayed probe.
    pub fn ack_received(&mut self, host: &EntryHostId) -> Option<(EntryHostId, u64)> {
        self.probes.remove(host);
        self.relayed_probes.remove(host).map(|relay| (relay.requester, relay.sequence))
    }

    /// Expires a direct probe whose message could not be delivered.
    pub fn send_failed(&mut self, host: &EntryHostId, now: Instant) {
        if let Some(probe) = self.probes.get_mut(host).filter(|probe| !probe.indirect) {
            probe.deadline = now;
        }
    }

    /// Records that `requester` is to be notified when `target` answers.
    pub fn add_relayed(
        &mut self,
        target: &EntryHostId,
        requester: &EntryHostId,
        sequence: u64,
        now: Instant,
    ) {
        if self.relayed_probes.len() < MAX_RELAYED_PROBES {
            let requester = requester.clone();
            let relay = RelayedProbe { requester, sequence, deadline: now + ACK_TIMEOUT };
            self.relayed_probes.insert(target.clone(), relay);
        }
    }

    /// Removes relayed probes that timed out and returns the peers that did not answer in time.
    pub fn expire(&mut self, now: Instant) -> Vec<MissedAck> {
        self.relayed_probes.retain(|_, relay| relay.deadline > now);
        let mut missed = Vec::new();
        for (host, probe) in &mut self.probes {
            if probe.deadline > now {
                continue;
            }
            if probe.indirect {
                missed.push(MissedAck::Indirect(host.clone()));
                continue;
            }
            *probe = Probe { deadline: now + ACK_TIMEOUT, indirect: true };
            missed.push(MissedAck::Direct(host.clone()));
        }
        self.probes.retain(|_, probe| probe.deadline > now);
        missed
    }

    pub fn next_expiry(&self) -> Option<Instant> {
        self.probes.values().map(|probe| probe.deadline).min()
    }

    pub fn len(&self) -> usize {
        self.probes.len() + self.relayed_probes.len()
    }
}
