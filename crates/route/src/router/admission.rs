//! Path of a request from arrival to dispatch: permit, claim, server selection, queue.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_model::Claim;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Idempotency;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Limits;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Target;
use rand::RngExt;

use super::Router;
use super::TimerKind;
use crate::active_request::ActiveRequest;
use crate::active_request::Attempt;
use crate::destination::Destination;
use crate::event::Dispatch;
use crate::event::Effect;
use crate::lifecycle::State;
use crate::lifecycle::Trigger;
use crate::permit::Permit;
use crate::quality::PlanRequest;
use crate::quality::RequestKind;
use crate::queue::PushOutcome;
use crate::servers::ChosenServer;
use crate::servers::NoServer;

/// Minimum timeout for the first byte of a streamed answer.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum timeout for the first byte of a streamed answer.
const MAX_FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum timeout for an answer that is not streamed.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout as a multiple of the expected time to the first byte, or to the complete answer if it is not streamed.
const TIMEOUT_FACTOR: u32 = 5;
/// Maximum number of queued requests skipped while searching for ones whose servers have capacity.
const MAX_SKIPPED: usize = 8;
/// `retry_after` of the refusal if no live server offers an allowed version.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Destination and server selected for a request's next attempt.
pub(super) struct Selection {
    pub(super) destination: Destination,
    pub(super) chosen: ChosenServer,
}

impl Router {
    pub(super) fn arrive(&mut self, request: Box<Request>, now: Instant, out: &mut Vec<Effect>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            self.stats.duplicates += 1;
            return;
        }
        self.stats.arrived += 1;
        self.set_timer(request.deadline, TimerKind::Deadline, id);
        let active = ActiveRequest::new(request, self.lifecycle.initial(), now);
        let admission = self.admit(&active.request, now);
        let at_most_once = active.request.at_most_once();
        self.requests.insert(id, active);
        if let Err(refusal) = admission {
            self.refuse(id, refusal, now, out);
            return;
        }
        self.advance(id, Trigger::PermitGranted, now, out);
        if at_most_once {
            self.request_claim(id, out);
        } else {
            self.try_dispatch(id, now, out);
        }
    }

    pub(super) fn claim_granted(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let awaits_claim =
            self.requests.get(&id).is_some_and(|active| active.state == State::Permitted);
        if awaits_claim {
            self.advance(id, Trigger::ClaimGranted, now, out);
            self.try_dispatch(id, now, out);
        }
    }

    /// Starts the request's next attempt if a server has capacity; otherwise queues or refuses the request.
    pub(super) fn try_dispatch(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        match self.select_server(id, now) {
            Ok(selection) => self.start_attempt(id, selection, now, out),
            Err(SelectionError::Full) => self.advance(id, Trigger::NoPlace, now, out),
            Err(SelectionError::Refused(refusal)) => self.refuse(id, refusal, now, out),
        }
    }

    /// Starts queued requests whose servers have capacity.
    pub(super) fn dispatch_queued(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED {
            let Some(id) = self.queue.pop() else {
                break;
            };
            match self.select_server(id, now) {
                Ok(selection) => self.start_attempt(id, selection, now, out),
                Err(SelectionError::Full) => skipped.push(id),
                Err(SelectionError::Refused(refusal)) => self.refuse(id, refusal, now, out),
            }
        }
        for id in skipped.into_iter().rev() {
            self.requeue(id);
        }
    }

    /// Queues a request for which no server had capacity, or refuses it at once if it would wait too long.
    pub(super) fn enqueue(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let limits = self.limits();
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let wait = Duration::from_secs_f64(self.drain_rate.expected_wait(self.queue.len() + 1));
        // Until its first attempt, a streamed request must also meet the first-token target.
        let max_wait = if active.request.streamed() && active.attempts == 0 {
            limits.first_token().min(active.remaining(now))
        } else {
            active.remaining(now)
        };
        if self.cfg.mechanisms.early_shedding && wait > max_wait {
            let refusal =
                Refusal::new(ErrorKind::Overloaded, "the wait would be too long; retry later")
                    .with_retry_after(wait);
            self.refuse(id, refusal, now, out);
            return;
        }
        let workspace = active.request.workspace.clone();
        let priority = active.request.priority;
        let weight = self.workspace_weight(&workspace);
        match self.queue.push(id, priority, &workspace, weight, limits.queue) {
            PushOutcome::Queued => {}
            PushOutcome::Displaced(displaced) => {
                let refusal = Refusal::new(
                    ErrorKind::OverFairShare,
                    "the workspace is over its share while others wait; retry later",
                );
                self.refuse(displaced, refusal.with_retry_after(wait), now, out);
            }
            PushOutcome::Full => {
                let refusal = Refusal::new(ErrorKind::Overloaded, "the queue is full; retry later");
                self.refuse(id, refusal.with_retry_after(wait), now, out);
            }
        }
    }

    fn admit(&self, request: &Request, now: Instant) -> Result<(), Refusal> {
        if self.stopping {
            let message = "this entry host is being stopped; retry at another";
            return Err(Refusal::new(ErrorKind::Stopping, message));
        }
        if self.poison.is_quarantined(request.fingerprint, now) {
            return Err(quarantined_refusal());
        }
        if request.deadline <= now {
            let message = "the deadline has passed; allow more time";
            return Err(Refusal::new(ErrorKind::DeadlineTooShort, message));
        }
        match &request.target {
            Target::Chat { .. } => self.permissions.allowed(request).map(|_| ()),
            Target::Service { .. } => self.permissions.check_service(request),
        }
        .map_err(not_permitted_refusal)
    }

    fn request_claim(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        if let Idempotency::AtMostOnce { key, .. } = &active.request.idempotency {
            let workspace = active.request.workspace.clone();
            let key = ClaimKey { workspace, idempotency_key: key.clone() };
            let content = active.request.fingerprint;
            // The router has no wall clock; the host sets the time of the claim.
            let at = SystemTime::UNIX_EPOCH;
            out.push(Effect::Claim(Claim { key, request: id, content, at }));
        }
    }

    /// Selects a server for the first possible destination that has one with capacity.
    pub(super) fn select_server(
        &mut self,
        id: RequestId,
        now: Instant,
    ) -> Result<Selection, SelectionError> {
        let Some(active) = self.requests.get(&id) else {
            return Err(SelectionError::Full);
        };
        if self.poison.is_quarantined(active.request.fingerprint, now) {
            return Err(SelectionError::Refused(quarantined_refusal()));
        }
        if active.request.deadline <= now {
            return Err(SelectionError::Refused(deadline_refusal(active.may_have_started())));
        }
        let destinations = self.destinations(id, now).map_err(SelectionError::Refused)?;
        let Some(active) = self.requests.get_mut(&id) else {
            return Err(SelectionError::Full);
        };
        active.alone = self.poison.is_suspect(active.request.fingerprint, now);
        let work = active.work(self.quality.mean_output(active.class()));
        let mut full = false;
        for destination in destinations {
            let chosen =
                self.servers.select(&destination, &work, &active.avoided, now, &mut self.rng);
            match chosen {
                Ok(chosen) => return Ok(Selection { destination, chosen }),
                Err(NoServer::Full) => full = true,
                Err(NoServer::Unserved) => {}
            }
            if let Some(model_version) = destination.model_version() {
                self.orders.record_unmet_demand(model_version);
            }
        }
        if full {
            return Err(SelectionError::Full);
        }
        let message = "no backend server for an allowed version is alive; retry later";
        let refusal = Refusal::new(ErrorKind::NoServer, message);
        Err(SelectionError::Refused(refusal.with_retry_after(NO_SERVER_RETRY_AFTER)))
    }

    /// Possible destinations of a request, in order of preference.
    fn destinations(&mut self, id: RequestId, now: Instant) -> Result<Vec<Destination>, Refusal> {
        let Some(active) = self.requests.get_mut(&id) else {
            return Ok(Vec::new());
        };
        let (class, streamed, session) = match &active.request.target {
            Target::Service { service } => {
                self.permissions.check_service(&active.request).map_err(not_permitted_refusal)?;
                return Ok(vec![Destination::Service(service.clone())]);
            }
            Target::Chat { class, streamed, session, .. } => (class, *streamed, session),
        };
        let allowed = self.permissions.allowed(&active.request).map_err(not_permitted_refusal)?;
        let is_allowed =
            |wanted: &ModelVersion| allowed.iter().any(|a| *a.model_version == *wanted);
        if let Some(resumed) = &active.resume_version {
            return if is_allowed(resumed) {
                Ok(vec![Destination::Version(resumed.clone())])
            } else {
                Err(stream_broken_refusal())
            };
        }
        // The version that was planned earlier may have been withdrawn since.
        let current = active.current_stage().is_some_and(|stage| is_allowed(&stage.model_version));
        if !current && let Some(preset) = self.permissions.preset() {
            let pin = session.as_ref().map(|session| &session.version);
            let kind = RequestKind {
                class: class.clone(),
                streamed: streamed || active.request.at_most_once(),
                starts_session: pin.is_some_and(Option::is_none),
            };
            let keeps_version = pin.is_some_and(Option::is_some);
            let asked =
                PlanRequest { workspace: &active.request.workspace, kind: &kind, keeps_version };
            let planned = self.quality.plan(asked, &allowed, preset, now, &mut self.rng);
            self.stats.explorations += u64::from(planned.explores);
            active.plan = Some(planned.plan);
            active.stage = 0;
        }
        let Some(stage) = active.current_stage() else {
            return Err(not_permitted_refusal(ErrorKind::NoVersionAllowed));
        };
        let planned = allowed.iter().find(|a| *a.model_version == stage.model_version);
        let price = planned.map_or(0.0, |planned| planned.price_out);
        // A model of at least the same price substitutes for one whose servers have no capacity.
        let others = allowed.iter().filter(|other| {
            other.price_out >= price && *other.model_version != stage.model_version
        });
        let versions = planned.into_iter().chain(others);
        Ok(versions.map(|a| Destination::Version(ModelVersion::clone(&a.model_version))).collect())
    }

    /// Obtains a permit for the selection and dispatches the attempt; refuses the request if there is no permit.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        selection: Selection,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let permit = match self.permissions.permit(&active.request, &selection.destination) {
            Ok(permit) => permit,
            Err(kind) => {
                self.refuse(id, not_permitted_refusal(kind), now, out);
                return;
            }
        };
        self.advance(id, Trigger::PlaceFound, now, out);
        self.dispatch(id, selection, permit, now, out);
    }

    /// Records a permitted attempt and emits its [`Effect::Dispatch`].
    pub(super) fn dispatch(
        &mut self,
        id: RequestId,
        selection: Selection,
        permit: Permit,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Selection { destination, chosen } = selection;
        let attempt: u128 = self.rng.random();
        let share = self.limits().retry_share;
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let work = active.work(self.quality.mean_output(active.class()));
        let Some(server) = self.servers.server(chosen.slot) else {
            return;
        };
        let server_id = server.listed.id.clone();
        let takes_new_work = server.takes_new_work();
        let has_capacity = server.has_capacity(&destination, now);
        self.servers.start_attempt(&chosen, &destination, &work, now);
        if active.attempts == 0 {
            self.budget.earn(&active.request.workspace, share);
        }
        active.attempts += 1;
        active.retry_at = None;
        let session_moved = match (active.pinned_version(), destination.model_version()) {
            (Some(pinned), Some(chosen)) => pinned != chosen,
            _ => false,
        };
        active.session_moved = session_moved;
        active.live.push(Attempt {
            id: attempt,
            destination: destination.clone(),
            revision: permit.revision(),
            chosen,
            started: now,
            sent: false,
            first_byte: None,
        });
        self.attempts.insert(attempt, id);
        self.stats.dispatched += 1;
        self.stats.prefix_hits += u64::from(chosen.prefix_held);
        // An answer that is not streamed sends no byte before it is complete.
        let first_byte_timeout = if work.streamed {
            (chosen.first_byte * TIMEOUT_FACTOR)
                .clamp(MIN_FIRST_BYTE_TIMEOUT, MAX_FIRST_BYTE_TIMEOUT)
        } else {
            (chosen.total * TIMEOUT_FACTOR).max(MIN_ANSWER_TIMEOUT)
        };
        let first_byte_timeout = first_byte_timeout.min(active.remaining(now));
        let dispatch = Dispatch {
            request: id,
            attempt,
            server: server_id,
            model_version: permit.model_version().cloned(),
            revision: permit.revision(),
            deadline: active.request.deadline,
            first_byte_timeout,
            priority: active.request.priority,
            resume_after: active.delivered_tokens,
            permit,
        };
        let second_run = active.request.at_most_once() && active.may_have_run;
        let late = active.request.deadline <= now;
        self.check_dispatch(&dispatch, session_moved, second_run);
        self.invariants.check(Invariant::AttemptBeforeDeadline, !late, || format!("{id:x}"));
        self.invariants
            .check(Invariant::NoWorkToLeavingServer, takes_new_work, || dispatch.server.clone());
        self.invariants.check(Invariant::InFlightLimit, has_capacity, || dispatch.server.clone());
        out.push(Effect::Dispatch(dispatch));
        self.schedule_hedge(id, now);
    }

    fn check_dispatch(&mut self, dispatch: &Dispatch, session_moved: bool, second_run: bool) {
        let id = dispatch.request;
        self.invariants.check(Invariant::AtMostOneAttempt, !second_run, || format!("{id:x}"));
        let Some(model_version) = &dispatch.model_version else {
            return;
        };
        let takes_new_work = self.permissions.takes_new_work(model_version);
        let allowed = self.permissions.preset().zip(self.requests.get(&id)).is_some_and(
            |(preset, active)| {
                let models = preset.allowed.get(&active.request.workspace);
                models.is_some_and(|models| models.contains(&model_version.model))
            },
        );
        let pinned = self.requests.get(&id).and_then(|active| active.pinned_version()).cloned();
        let exposed = self.permissions.exposed_callers(model_version);
        let quota = self.permissions.quota(model_version);
        let detail = || format!("{id:x} on {model_version}");
        self.invariants.check(Invariant::DispatchNotWithdrawn, takes_new_work, detail);
        self.invariants.check(Invariant::DispatchAllowed, allowed, detail);
        // A lowered quota does not undo earlier exposures, so only new ones are checked.
        let newly_exposed = dispatch.permit.newly_exposed();
        let within_quota = !newly_exposed || quota.is_none_or(|quota| exposed <= quota as usize);
        self.invariants.check(Invariant::ExposedCallersBound, within_quota, detail);
        if let Some(pinned) = pinned.filter(|_| session_moved) {
            let forced = !self.permissions.may_keep_version(&pinned, self.requests.get(&id));
            self.invariants.check(Invariant::SessionKeepsVersion, forced, detail);
        }
    }

    fn requeue(&mut self, id: RequestId) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let weight = self.workspace_weight(&active.request.workspace);
        self.queue.push_front(id, active.request.priority, &active.request.workspace, weight);
    }

    pub(super) fn limits(&self) -> Limits {
        self.permissions.preset().map(|preset| preset.limits.clone()).unwrap_or_default()
    }

    fn workspace_weight(&self, workspace: &str) -> f64 {
        let configuration = self.permissions.configuration();
        let workspace = configuration.and_then(|c| c.workspaces.get(workspace));
        workspace.map_or(1.0, |workspace| workspace.weight)
    }
}

/// Reason why no server was selected for a request.
pub(super) enum SelectionError {
    /// No server has capacity, so the request waits.
    Full,
    Refused(Refusal),
}

pub(super) fn quarantined_refusal() -> Refusal {
    let message =
        "this content was running when backend servers crashed; change it before sending it again";
    Refusal::new(ErrorKind::Quarantined, message)
}

pub(super) fn stream_broken_refusal() -> Refusal {
    let message = "the stream broke and cannot be resumed; send the request again";
    Refusal::new(ErrorKind::StreamBroken, message)
}

pub(super) fn deadline_refusal(may_have_started: bool) -> Refusal {
    if may_have_started {
        let message = "the deadline passed while the request ran; allow more time";
        return Refusal::new(ErrorKind::DeadlineExceeded, message);
    }
    let message = "the deadline passed before the request could run; allow more time";
    Refusal::new(ErrorKind::DeadlineTooShort, message)
}

fn not_permitted_refusal(kind: ErrorKind) -> Refusal {
    let message = match kind {
        ErrorKind::ConfigurationStale => "the configuration is unconfirmed; retry later",
        _ => "the preset in force allows the workspace no version that fits the request",
    };
    Refusal::new(kind, message)
}
