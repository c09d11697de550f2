//! State of one backend server, as seen by a router.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServer;
use foxtailhoist_model::LoadReport;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Serves;

use super::speed::Speed;
use crate::destination::Destination;
use crate::limit::Limiter;

/// Age at which a load report has lost all weight.
const REPORT_TTL: Duration = Duration::from_secs(6);
/// Duration of the first ejection after a failure; doubles with each further failure.
const BASE_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Assumed mean prompt tokens of other hosts' requests; load reports contain only the number of requests.
const FOREIGN_PROMPT_TOKENS: f64 = 400.0;

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) listed: BackendServer,
    /// Marked as leaving by an answer, its feed or a peer; holds until the server is removed from the list or returns.
    pub(crate) leaving: bool,
    /// No longer listed, but attempts still run on it.
    pub(crate) unlisted: bool,
    /// An exclusive attempt runs on it; see [`Work::exclusive`](super::Work::exclusive).
    pub(crate) reserved: bool,
    pub(crate) by_destination: BTreeMap<Destination, DestinationState>,
    /// Uncached prompt tokens of this host's attempts that have no first byte yet.
    pub(crate) pending_prefill_tokens: f64,
    in_flight: u32,
    report: Option<LoadSample>,
    /// Set by failures of the server itself, such as a crash or a refused connection, until an attempt succeeds.
    ejection: Option<Ejection>,
}

/// Concurrency limit and speeds of one destination at a server.
#[derive(Debug)]
pub(crate) struct DestinationState {
    pub(crate) limiter: Limiter,
    pub(crate) speed: Speed,
}

#[derive(Clone, Copy, Debug)]
struct LoadSample {
    load: f64,
    waiting: f64,
    /// This host's attempts in flight when the report arrived.
    own_in_flight: u32,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    failures: u32,
}

impl Server {
    pub(crate) fn new(listed: BackendServer) -> Server {
        Server {
            listed,
            leaving: false,
            unlisted: false,
            reserved: false,
            by_destination: BTreeMap::new(),
            pending_prefill_tokens: 0.0,
            in_flight: 0,
            report: None,
            ejection: None,
        }
    }

    /// Updates the server to its current entry in the host list.
    pub(crate) fn update_listing(&mut self, listed: BackendServer) {
        let returned =
            self.listed.presence == Presence::Leaving && listed.presence == Presence::Live;
        if returned || self.listed.address != listed.address {
            self.leaving = false;
        }
        self.listed = listed;
        self.unlisted = false;
    }

    pub(crate) fn takes_new_work(&self) -> bool {
        !self.leaving && !self.unlisted && self.listed.presence == Presence::Live
    }

    /// Whether an attempt may start now. A server that failed gets one probe at a time.
    pub(crate) fn has_capacity(&self, destination: &Destination, now: Instant) -> bool {
        if !self.takes_new_work() || self.reserved || self.is_ejected(now) {
            return false;
        }
        self.by_destination.get(destination).is_none_or(|state| state.limiter.has_room())
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.is_some_and(|ejection| now < ejection.until || self.in_flight > 0)
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn start_attempt(&mut self, destination: &Destination, tokens: f64, adaptive: bool) {
        self.in_flight += 1;
        self.pending_prefill_tokens += tokens;
        self.destination_state(destination, adaptive).limiter.begin();
    }

    pub(crate) fn end_attempt(&mut self, destination: &Destination) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.reserved = false;
            self.pending_prefill_tokens = 0.0;
        }
        if let Some(state) = self.by_destination.get_mut(destination) {
            state.limiter.end();
        }
    }

    pub(crate) fn destination_state(
        &mut self,
        destination: &Destination,
        adaptive: bool,
    ) -> &mut DestinationState {
        let slots = match &self.listed.serves {
            Serves::Engine { slots, .. } => *slots,
            Serves::Service(_) => 0,
        };
        let new_state =
            || DestinationState { limiter: Limiter::new(slots, adaptive), speed: Speed::default() };
        self.by_destination.entry(destination.clone()).or_insert_with(new_state)
    }

    pub(crate) fn record_load(&mut self, report: &LoadReport, now: Instant) {
        let at = now.checked_sub(Duration::from_millis(report.lag_ms)).unwrap_or(now);
        let load = f64::from(report.running) + f64::from(report.waiting);
        let waiting = f64::from(report.waiting);
        self.report = Some(LoadSample { load, waiting, own_in_flight: self.in_flight, at });
    }

    /// Requests of other hosts at the server: the load last reported, less this host's own, fading with the report's
    /// age.
    pub(crate) fn foreign_load(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        (report.load - f64::from(report.own_in_flight)).max(0.0) * freshness(report, now)
    }

    /// Estimated prompt tokens of other hosts' requests in the server's queue.
    pub(crate) fn foreign_prefill_tokens(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let share = self.foreign_load(now) / report.load.max(1.0);
        report.waiting * share * FOREIGN_PROMPT_TOKENS * freshness(report, now)
    }

    /// Requests at the server, of this host and others.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_flight) + self.foreign_load(now)
    }

    /// Ejects the server for a while; returns the time at which it may be probed.
    pub(crate) fn eject(&mut self, now: Instant) -> Instant {
        let failures = self.ejection.map_or(0, |ejection| ejection.failures);
        let duration = BASE_EJECTION.saturating_mul(1 << failures.min(5)).min(MAX_EJECTION);
        let until = now + duration;
        self.ejection = Some(Ejection { until, failures: failures + 1 });
        until
    }

    pub(crate) fn end_ejection(&mut self) {
        self.ejection = None;
    }
}

/// Weight of a report, falling from 1 to 0 with its age.
fn freshness(report: LoadSample, now: Instant) -> f64 {
    let age = now.saturating_duration_since(report.at).as_secs_f64();
    (1.0 - age / REPORT_TTL.as_secs_f64()).max(0.0)
}
