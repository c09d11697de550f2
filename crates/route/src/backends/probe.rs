//! Probes of servers that have fallen silent.
//!
//! Pattern: failure detection in two steps. Silence alone does not tell a dead server, or one that is cut off, from an
//! engine that reads a long prompt, and a bound that suits the one is wrong for the other. So a server that has been
//! silent for a while is asked for a new connection: one that works accepts it at once. If none comes about, the
//! server's streams go on elsewhere while their callers still count them as on time.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;

use super::Backends;
use super::Generation;
use crate::flight::Attempt;

/// Silence in all of a server's answers after which it is probed; long prompts hold up an engine's events for less,
/// mostly.
pub const PROBE_AFTER: Duration = Duration::from_millis(450);

/// A probe to be made: a new connection to the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    pub server: BackendServerId,
    pub address: SocketAddr,
    /// Time without a sign of life.
    pub silence: Duration,
    pub(crate) generation: Generation,
}

/// What probes say of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    /// When it was probed last.
    probed: Option<Instant>,
    /// A probe found that the server cannot be reached; a sign of life refutes it.
    lost: Option<Instant>,
}

impl Reach {
    fn is_lost(&self, last_sign: Option<Instant>) -> bool {
        self.lost.is_some_and(|lost| last_sign.is_none_or(|sign| sign < lost))
    }
}

impl Backends {
    /// The probe that an attempt's silence since then calls for, once for each such time of silence.
    pub(crate) fn take_probe(
        &mut self,
        attempt: &Attempt,
        since: Instant,
        now: Instant,
    ) -> Option<Probe> {
        let server = self.incarnation_mut(attempt)?;
        let quiet_since = server.last_sign.map_or(since, |sign| sign.max(since));
        let is_quiet = |since: Instant| now.saturating_duration_since(since) >= PROBE_AFTER;
        if !is_quiet(quiet_since) || server.reach.probed.is_some_and(|probed| !is_quiet(probed)) {
            return None;
        }
        server.reach.probed = Some(now);
        Some(Probe {
            server: server.listing.id.clone(),
            address: server.listing.address,
            silence: now.saturating_duration_since(quiet_since),
            generation: server.generation,
        })
    }

    /// A probe ended; `reached` tells whether the connection came about.
    pub(crate) fn probe_ended(&mut self, probe: &Probe, reached: bool, now: Instant) {
        let Some(server) = self.servers.get_mut(&probe.server) else {
            return;
        };
        if server.generation != probe.generation {
            return;
        }
        if reached {
            server.reach.lost = None;
            return;
        }
        server.reach.lost = Some(now);
        server.health.pause(now);
        let centre = server.listing.data_centre.clone();
        if centre != self.own {
            self.centres.entry(centre).or_default().lost(&probe.server, now);
        }
    }

    /// Whether a probe found that the attempt's server cannot be reached, with no sign of life since.
    #[must_use]
    pub fn is_lost(&self, attempt: &Attempt) -> bool {
        self.incarnation(attempt).is_some_and(|server| server.reach.is_lost(server.last_sign))
    }
}
