//! What the dispatcher knows of the reachability of services, see [`crate::reach`].

use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::ServiceId;

use super::Dispatcher;
use super::Notification;
use crate::backends::probe::Probe;
use crate::homes::Homes;
use crate::in_flight::Attempt;
use crate::in_flight::ExecutionStatus;
use crate::in_flight::InFlightRequest;

/// Servers of a service that are probed at a time.
const PROBED_SERVERS: usize = 4;

impl Dispatcher {
    /// Records that an attempt has a new connection to its server.
    pub fn attempt_connected(&mut self, attempt: &Attempt, now: Instant) {
        self.server_reached(&attempt.service, now);
    }

    /// Whether the request has reached no server, and none of its service can be reached from here: another host should
    /// be asked first.
    #[must_use]
    pub fn is_request_cut_off(&self, req: &InFlightRequest) -> bool {
        is_untouched(req) && self.reach.is_cut_off(&req.service)
    }

    /// Whether a refusal is due to unreachable servers, and the request has reached none: another host may be asked.
    #[must_use]
    pub fn is_out_of_reach(&self, req: &InFlightRequest, refusal: &Refusal) -> bool {
        let lacks_server = matches!(refusal.kind, ErrorKind::Overloaded | ErrorKind::NoServer);
        let is_unreachable = req.last_unreachable.is_some() || self.reach.is_cut_off(&req.service);
        is_untouched(req) && lacks_server && is_unreachable
    }

    /// Whether a request may be handed over to an entry host of a data centre.
    #[must_use]
    pub fn may_hand_over(&self, req: &InFlightRequest, data_centre: &str) -> bool {
        self.cfg.regions.allow_host(Homes::of(req), data_centre)
    }

    /// Refusal of a request of another host that asks this one because it reaches no server, if this one reaches none
    /// either.
    #[must_use]
    pub fn refuse_cut_off(&self, req: &InFlightRequest, now: Instant) -> Refusal {
        self.refuse(req, ErrorKind::NoServer, now)
    }

    /// Probes of services that are out of reach, or that may be because another one has just turned out to be.
    pub fn take_reach_probes(&mut self, now: Instant) -> Vec<Probe> {
        let mut services = self.reach.take_probes(now);
        services.extend(std::mem::take(&mut self.doubtful_services));
        let mut probes = Vec::new();
        for service in services {
            let failed_at = |server: &BackendServerId| self.reach.failed_at(&service, server);
            probes.extend(self.backends.reach_probes(&service, failed_at, PROBED_SERVERS));
        }
        probes
    }

    /// Records that a server could not be reached.
    pub(super) fn server_unreachable(
        &mut self,
        service: &ServiceId,
        server: &BackendServerId,
        now: Instant,
    ) {
        let known = self.backends.server_count(service);
        if self.reach.connect_failed(service, server, known, now) {
            self.notifications.push(Notification::CutOff { service: service.clone() });
            let others = self.backends.service_ids().filter(|other| *other != service);
            self.doubtful_services = others.cloned().collect();
        }
    }

    pub(super) fn server_reached(&mut self, service: &ServiceId, now: Instant) {
        if let Some(away) = self.reach.connected(service, now) {
            let service = service.clone();
            self.notifications.push(Notification::ReachedAgain { service, away });
        }
    }
}

fn is_untouched(req: &InFlightRequest) -> bool {
    req.attempts == 0 && req.execution == ExecutionStatus::NotRun
}
