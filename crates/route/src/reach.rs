//! Tells whether this host can reach the servers of a service at all.
//!
//! A host may be cut off from the servers while its callers and the other hosts still reach it. One failed connection says
//! little, since the server may have ended. Failures at several servers of a service, with no success since, mean that
//! this host is cut off from the service or that all its servers are down; in the first case another host can serve the
//! request. While a service is out of reach, one of its servers is probed at intervals.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ServiceId;

/// Number of unreachable servers from which on a service is out of reach, or all its servers if it has fewer.
const CUT_OFF_SERVERS: usize = 2;
/// Age at which a failed connection no longer counts.
const FAILURE_TIME: Duration = Duration::from_millis(2_000);
/// Interval between probes of a service that is out of reach.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Reachability of each service.
#[derive(Debug, Default)]
pub struct Reach {
    services: BTreeMap<ServiceId, ServiceReach>,
}

#[derive(Debug, Default)]
struct ServiceReach {
    /// Servers found unreachable since the last connection to any of them.
    failed: BTreeMap<BackendServerId, Instant>,
    /// Since when the service is out of reach, and when to probe it next.
    cut_off: Option<CutOff>,
}

#[derive(Clone, Copy, Debug)]
struct CutOff {
    since: Instant,
    probe_at: Instant,
}

impl Reach {
    /// Records that a server could not be reached, of a service with a number of known servers; returns whether the
    /// service is out of reach from now on.
    pub fn connect_failed(
        &mut self,
        service: &ServiceId,
        server: &BackendServerId,
        known_servers: usize,
        now: Instant,
    ) -> bool {
        let reach = self.services.entry(service.clone()).or_default();
        reach.failed.insert(server.clone(), now);
        reach.failed.retain(|_, at| now.saturating_duration_since(*at) < FAILURE_TIME);
        let is_cut_off = reach.failed.len() >= CUT_OFF_SERVERS.min(known_servers.max(1));
        if reach.cut_off.is_some() || !is_cut_off {
            return false;
        }
        reach.cut_off = Some(CutOff { since: now, probe_at: now });
        true
    }

    /// Records a connection to a server; returns for how long its service was out of reach, if it was.
    pub fn connected(&mut self, service: &ServiceId, now: Instant) -> Option<Duration> {
        let reach = self.services.get_mut(service)?;
        reach.failed.clear();
        let cut_off = reach.cut_off.take()?;
        Some(now.saturating_duration_since(cut_off.since))
    }

    /// Whether a service is out of reach.
    #[must_use]
    pub fn is_cut_off(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(|reach| reach.cut_off.is_some())
    }

    /// When a server was found unreachable, unless one of its service was reached since.
    #[must_use]
    pub fn failed_at(&self, service: &ServiceId, server: &BackendServerId) -> Option<Instant> {
        self.services.get(service)?.failed.get(server).copied()
    }

    /// Services that are out of reach and due to be probed; each is due again after an interval.
    pub fn take_probes(&mut self, now: Instant) -> Vec<ServiceId> {
        let due = self.services.iter_mut().filter_map(|(service, reach)| {
            let cut_off = reach.cut_off.as_mut().filter(|cut_off| cut_off.probe_at <= now)?;
            cut_off.probe_at = now + PROBE_INTERVAL;
            Some(service.clone())
        });
        due.collect()
    }
}
