//! What a router knows of one backend server.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServer;
use foxtailhoist_model::LoadReport;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Serves;

use super::speed::Speed;
use crate::destination::Destination;
use crate::limit::ConcurrencyLimiter;

/// Age at which a load report says nothing any more.
const REPORT_TTL: Duration = Duration::from_secs(6);
/// First time out of use after a death; doubles with each further one.
const OUT_BASE: Duration = Duration::from_secs(1);
const OUT_MAX: Duration = Duration::from_secs(30);
/// Mean prompt tokens of another host's request, before load reports say more.
const FOREIGN_TOKENS: f64 = 400.0;

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) listed: BackendServer,
    /// Leaving marks from answers and peers; they hold until the list drops the server.
    pub(crate) leaving: bool,
    /// The list no longer shows it, but its attempts still run.
    pub(crate) unlisted: bool,
    /// A suspect runs on it alone.
    pub(crate) reserved: bool,
    pub(crate) lanes: BTreeMap<Destination, Lane>,
    /// Prompt tokens of own attempts that have no first byte yet.
    pub(crate) pending_prefill: f64,
    in_flight: u32,
    report: Option<Report>,
    /// Out of use until then, after deaths or refused connections.
    out: Option<Out>,
}

/// Work of one destination at a server.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) limiter: ConcurrencyLimiter,
    pub(crate) speed: Speed,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    load: f64,
    waiting: f64,
    own: u32,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Out {
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
            lanes: BTreeMap::new(),
            pending_prefill: 0.0,
            in_flight: 0,
            report: None,
            out: None,
        }
    }

    /// Takes in what the list shows of the server now.
    pub(crate) fn relist(&mut self, listed: BackendServer) {
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

    /// Whether an attempt may start now: there is room, and a server that failed gets one probe at a time.
    pub(crate) fn has_room(&self, destination: &Destination, now: Instant) -> bool {
        if !self.takes_new_work() || self.reserved || self.is_out(now) {
            return false;
        }
        self.lanes.get(destination).is_none_or(|lane| lane.limiter.has_capacity())
    }

    pub(crate) fn is_out(&self, now: Instant) -> bool {
        self.out.is_some_and(|out| now < out.until || self.in_flight > 0)
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn begin(&mut self, destination: &Destination, tokens: f64, adaptive: bool) {
        self.in_flight += 1;
        self.pending_prefill += tokens;
        self.lane(destination, adaptive).limiter.begin();
    }

    pub(crate) fn end(&mut self, destination: &Destination) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.reserved = false;
            self.pending_prefill = 0.0;
        }
        if let Some(lane) = self.lanes.get_mut(destination) {
            lane.limiter.end();
        }
    }

    pub(crate) fn lane(&mut self, destination: &Destination, adaptive: bool) -> &mut Lane {
        let slots = match &self.listed.serves {
            Serves::Engine { slots, .. } => *slots,
            Serves::Service(_) => 0,
        };
        let lane =
            || Lane { limiter: ConcurrencyLimiter::new(slots, adaptive), speed: Speed::default() };
        self.lanes.entry(destination.clone()).or_insert_with(lane)
    }

    pub(crate) fn report(&mut self, report: &LoadReport, now: Instant) {
        let at = now.checked_sub(Duration::from_millis(report.lag_ms)).unwrap_or(now);
        let load = f64::from(report.running) + f64::from(report.waiting);
        let waiting = f64::from(report.waiting);
        self.report = Some(Report { load, waiting, own: self.in_flight, at });
    }

    /// Requests of other hosts at the server: the last report, less what was own then, fading with its age.
    pub(crate) fn foreign_load(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        (report.load - f64::from(report.own)).max(0.0) * freshness(report, now)
    }

    /// Prompt tokens that other hosts' requests probably have ahead.
    pub(crate) fn foreign_prefill(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let share = self.foreign_load(now) / report.load.max(1.0);
        report.waiting * share * FOREIGN_TOKENS * freshness(report, now)
    }

    /// Requests at the server, own and others'.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_flight) + self.foreign_load(now)
    }

    /// Takes the server out of use for a while; returns when it may be probed.
    pub(crate) fn fail(&mut self, now: Instant) -> Instant {
        let failures = self.out.map_or(0, |out| out.failures);
        let pause = OUT_BASE.saturating_mul(1 << failures.min(5)).min(OUT_MAX);
        let until = now + pause;
        self.out = Some(Out { until, failures: failures + 1 });
        until
    }

    pub(crate) fn succeed(&mut self) {
        self.out = None;
    }
}

fn freshness(report: Report, now: Instant) -> f64 {
    let age = now.saturating_duration_since(report.at).as_secs_f64();
    (1.0 - age / REPORT_TTL.as_secs_f64()).max(0.0)
}
