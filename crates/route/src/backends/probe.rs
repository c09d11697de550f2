//! Probes of silent servers.
//!
//! Pattern: failure detection in two steps. Silence alone does not distinguish a dead or partitioned server from an
//! engine in the prefill of a long prompt, and no single timeout suits both. So a server that has been silent for a
//! while is probed with a new connection, which a working server accepts at once. If the connection fails, the server's
//! streams are resumed on other servers while they still count as on time.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ServiceId;

use super::Backends;
use super::Generation;
use crate::in_flight::Attempt;

/// Silence in all of a server's answers after which it is probed; the prefill of long prompts mostly delays an engine's
/// events for less.
pub const PROBE_AFTER: Duration = Duration::from_millis(450);

/// Minimum interval between probes of a server whose answers broke off.
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// A probe to be made by opening a new connection to the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    pub server: BackendServerId,
    pub address: SocketAddr,
    pub reason: ProbeReason,
    /// Time without activity.
    pub silence: Duration,
    pub(crate) generation: Generation,
}

/// Why a server is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeReason {
    /// It is silent.
    Silent,
    /// Its answers broke off.
    Broken,
    /// Its service is out of reach.
    OutOfReach,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Connected,
    /// The connection was refused: something answers at the server's address.
    Refused,
    /// Nothing answered in time.
    Unreachable,
}

/// Reachability of one server, as found by probes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reachability {
    last_probe: Option<Instant>,
    last_crash_probe: Option<Instant>,
    /// When a probe found the server unreachable; later activity overrides it.
    unreachable_since: Option<Instant>,
}

impl Reachability {
    fn is_unreachable(&self, last_activity: Option<Instant>) -> bool {
        self.unreachable_since
            .is_some_and(|since| last_activity.is_none_or(|activity| activity < since))
    }
}

impl Backends {
    /// Returns the probe to make if neither the attempt, since `since`, nor its server in any other answer has shown
    /// activity for [`PROBE_AFTER`]; at most one per [`PROBE_AFTER`] and server.
    pub(crate) fn take_probe(
        &mut self,
        attempt: &Attempt,
        since: Instant,
        now: Instant,
    ) -> Option<Probe> {
        let server = self.incarnation_mut(attempt)?;
        let silent_since = server.last_activity.map_or(since, |activity| activity.max(since));
        let is_silent = |since: Instant| now.saturating_duration_since(since) >= PROBE_AFTER;
        if !is_silent(silent_since)
            || server.reachability.last_probe.is_some_and(|probed| !is_silent(probed))
        {
            return None;
        }
        server.reachability.last_probe = Some(now);
        Some(Probe {
            server: server.registration.id.clone(),
            address: server.registration.address,
            reason: ProbeReason::Silent,
            silence: now.saturating_duration_since(silent_since),
            generation: server.generation,
        })
    }

    /// Returns the probe to make because the attempt's answer broke off; at most one per [`CRASH_PROBE_INTERVAL`] and
    /// server.
    pub(crate) fn take_crash_probe(&mut self, attempt: &Attempt, now: Instant) -> Option<Probe> {
        let server = self.incarnation_mut(attempt)?;
        let last = server.reachability.last_crash_probe;
        if last.is_some_and(|at| now.saturating_duration_since(at) < CRASH_PROBE_INTERVAL) {
            return None;
        }
        server.reachability.last_crash_probe = Some(now);
        Some(Probe {
            server: server.registration.id.clone(),
            address: server.registration.address,
            reason: ProbeReason::Broken,
            silence: Duration::ZERO,
            generation: server.generation,
        })
    }

    /// Probes of a number of a service's servers, those first that were not found unreachable or longest ago.
    pub(crate) fn reach_probes(
        &self,
        service: &ServiceId,
        failed_at: impl Fn(&BackendServerId) -> Option<Instant>,
        count: usize,
    ) -> Vec<Probe> {
        let mut servers: Vec<_> = self.members(service).collect();
        servers.sort_by_key(|server| failed_at(&server.registration.id));
        let probes = servers.into_iter().take(count).map(|server| Probe {
            server: server.registration.id.clone(),
            address: server.registration.address,
            reason: ProbeReason::OutOfReach,
            silence: Duration::ZERO,
            generation: server.generation,
        });
        probes.collect()
    }

    /// Records the end of a probe.
    pub(crate) fn probe_ended(&mut self, probe: &Probe, outcome: ProbeOutcome, now: Instant) {
        let Some(server) = self.servers.get_mut(&probe.server) else {
            return;
        };
        if server.generation != probe.generation {
            return;
        }
        if outcome != ProbeOutcome::Connected {
            self.server_found_dead(&probe.server, now);
        }
        let Some(server) = self.servers.get_mut(&probe.server) else {
            return;
        };
        // A refusal comes from the server's operating system, so open connections will be reset.
        if outcome != ProbeOutcome::Unreachable {
            server.reachability.unreachable_since = None;
            if probe.reason == ProbeReason::OutOfReach && outcome == ProbeOutcome::Connected {
                server.health.end_pause();
            }
            return;
        }
        server.reachability.unreachable_since = Some(now);
        if probe.reason == ProbeReason::OutOfReach {
            // Probes go on at intervals, and the first one that succeeds ends the pause.
            return;
        }
        server.health.pause(now);
        let data_centre = server.registration.data_centre.clone();
        if data_centre != self.own_data_centre {
            self.data_centres
                .entry(data_centre)
                .or_default()
                .server_unreachable(&probe.server, now);
        }
    }

    /// Whether a probe found the attempt's server unreachable, with no activity since.
    #[must_use]
    pub fn is_unreachable(&self, attempt: &Attempt) -> bool {
        self.incarnation(attempt)
            .is_some_and(|server| server.reachability.is_unreachable(server.last_activity))
    }
}
