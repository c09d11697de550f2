//! From arrival to dispatch: permit, claim, choice, queue.

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
use crate::destination::Destination;
use crate::entry::Attempt;
use crate::entry::Entry;
use crate::event::Dispatch;
use crate::event::Effect;
use crate::life::State;
use crate::life::Step;
use crate::permit::Permit;
use crate::quality::PlanRequest;
use crate::quality::RequestKind;
use crate::queue::Pushed;
use crate::servers::ChosenServer;
use crate::servers::NoServer;

/// Shortest and longest wait for a first byte before an attempt counts as timed out.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(30);
/// Shortest wait for an answer that is not streamed.
const MIN_WHOLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Expected first byte, or whole answer where nothing is streamed, that a time-out allows for.
const TIMEOUT_FACTOR: u32 = 5;
/// Waiting requests that are passed over for ones whose servers have room.
const MAX_PASSED_OVER: usize = 8;
/// When to come back if no server is known.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A place for a request's next attempt.
pub(super) struct Place {
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
        let entry = Entry::new(request, self.life.initial(), now);
        let verdict = self.admit(&entry.request, now);
        let at_most_once = entry.request.at_most_once();
        self.requests.insert(id, entry);
        if let Err(refusal) = verdict {
            self.refuse(id, refusal, now, out);
            return;
        }
        self.advance(id, Step::PermitGranted, now, out);
        if at_most_once {
            self.claim(id, out);
        } else {
            self.place(id, now, out);
        }
    }

    pub(super) fn claim_granted(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let waits = self.requests.get(&id).is_some_and(|entry| entry.state == State::Permitted);
        if waits {
            self.advance(id, Step::ClaimGranted, now, out);
            self.place(id, now, out);
        }
    }

    /// Tries to start the request's next attempt; else it waits or is refused.
    pub(super) fn place(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        match self.find_place(id, now) {
            Ok(place) => self.start(id, place, now, out),
            Err(Unplaced::Full) => self.advance(id, Step::NoPlace, now, out),
            Err(Unplaced::Refused(refusal)) => self.refuse(id, refusal, now, out),
        }
    }

    /// Starts waiting requests for which there is room.
    pub(super) fn pump(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let mut passed_over = Vec::new();
        while passed_over.len() < MAX_PASSED_OVER {
            let Some(id) = self.queue.pop() else {
                break;
            };
            match self.find_place(id, now) {
                Ok(place) => self.start(id, place, now, out),
                Err(Unplaced::Full) => passed_over.push(id),
                Err(Unplaced::Refused(refusal)) => self.refuse(id, refusal, now, out),
            }
        }
        for id in passed_over.into_iter().rev() {
            self.push_front(id);
        }
    }

    /// Puts a request that found no place into the queue, or refuses it at once where it would wait too long.
    pub(super) fn enqueue(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let limits = self.limits();
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let wait = Duration::from_secs_f64(self.pace.wait(self.queue.len() + 1));
        let patience = if entry.request.streamed() && entry.attempts == 0 {
            limits.first_token().min(entry.remaining(now))
        } else {
            entry.remaining(now)
        };
        if self.cfg.mechanisms.early_shedding && wait > patience {
            let refusal =
                Refusal::new(ErrorKind::Overloaded, "the wait would be too long; retry later")
                    .with_retry_after(wait);
            self.refuse(id, refusal, now, out);
            return;
        }
        let workspace = entry.request.workspace.clone();
        let priority = entry.request.priority;
        let weight = self.weight(&workspace);
        match self.queue.push(id, priority, &workspace, weight, limits.queue) {
            Pushed::Waits => {}
            Pushed::Displaced(displaced) => {
                let refusal = Refusal::new(
                    ErrorKind::OverFairShare,
                    "the workspace is over its share while others wait; retry later",
                );
                self.refuse(displaced, refusal.with_retry_after(wait), now, out);
            }
            Pushed::Full => {
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
            return Err(quarantined());
        }
        if request.deadline <= now {
            let message = "the deadline has passed; allow more time";
            return Err(Refusal::new(ErrorKind::DeadlineTooShort, message));
        }
        match &request.target {
            Target::Chat { .. } => self.permissions.allowed(request).map(|_| ()),
            Target::Service { .. } => self.permissions.usable(request),
        }
        .map_err(not_permitted)
    }

    fn claim(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        if let Idempotency::AtMostOnce { key, .. } = &entry.request.idempotency {
            let workspace = entry.request.workspace.clone();
            let key = ClaimKey { workspace, idempotency_key: key.clone() };
            let content = entry.request.fingerprint;
            // The shell owns the calendar and sets the time of the claim.
            let at = SystemTime::UNIX_EPOCH;
            out.push(Effect::Claim(Claim { key, request: id, content, at }));
        }
    }

    pub(super) fn find_place(&mut self, id: RequestId, now: Instant) -> Result<Place, Unplaced> {
        let Some(entry) = self.requests.get(&id) else {
            return Err(Unplaced::Full);
        };
        if self.poison.is_quarantined(entry.request.fingerprint, now) {
            return Err(Unplaced::Refused(quarantined()));
        }
        if entry.request.deadline <= now {
            return Err(Unplaced::Refused(deadline_passed(entry.ran_somewhere())));
        }
        let destinations = self.destinations(id, now).map_err(Unplaced::Refused)?;
        let Some(entry) = self.requests.get_mut(&id) else {
            return Err(Unplaced::Full);
        };
        entry.alone = self.poison.is_suspect(entry.request.fingerprint, now);
        let work = entry.work(self.quality.mean_output(entry.class()));
        let mut full = false;
        for destination in destinations {
            let chosen =
                self.servers.select(&destination, &work, &entry.avoided, now, &mut self.rng);
            match chosen {
                Ok(chosen) => return Ok(Place { destination, chosen }),
                Err(NoServer::Full) => full = true,
                Err(NoServer::Unserved) => {}
            }
            if let Some(model_version) = destination.model_version() {
                self.orders.unmet(model_version);
            }
        }
        if full {
            return Err(Unplaced::Full);
        }
        let message = "no backend server for an allowed version is alive; retry later";
        let refusal = Refusal::new(ErrorKind::NoServer, message);
        Err(Unplaced::Refused(refusal.with_retry_after(NO_SERVER_RETRY_AFTER)))
    }

    /// Destinations for a request, the preferred first.
    fn destinations(&mut self, id: RequestId, now: Instant) -> Result<Vec<Destination>, Refusal> {
        let Some(entry) = self.requests.get_mut(&id) else {
            return Ok(Vec::new());
        };
        let (class, streamed, session) = match &entry.request.target {
            Target::Service { service } => {
                self.permissions.usable(&entry.request).map_err(not_permitted)?;
                return Ok(vec![Destination::Service(service.clone())]);
            }
            Target::Chat { class, streamed, session, .. } => (class, *streamed, session),
        };
        let allowed = self.permissions.allowed(&entry.request).map_err(not_permitted)?;
        let is_allowed =
            |wanted: &ModelVersion| allowed.iter().any(|a| *a.model_version == *wanted);
        if let Some(resumed) = &entry.resumes {
            return if is_allowed(resumed) {
                Ok(vec![Destination::Version(resumed.clone())])
            } else {
                Err(stream_broken())
            };
        }
        // What was planned earlier may be withdrawn by now.
        let current = entry.present_stage().is_some_and(|stage| is_allowed(&stage.model_version));
        if !current && let Some(preset) = self.permissions.preset() {
            let pin = session.as_ref().map(|session| &session.version);
            let kind = RequestKind {
                class: class.clone(),
                streamed: streamed || entry.request.at_most_once(),
                starts_session: pin.is_some_and(Option::is_none),
            };
            let keeps_version = pin.is_some_and(Option::is_some);
            let asked =
                PlanRequest { workspace: &entry.request.workspace, kind: &kind, keeps_version };
            let planned = self.quality.plan(asked, &allowed, preset, now, &mut self.rng);
            self.stats.explorations += u64::from(planned.explores);
            entry.plan = Some(planned.plan);
            entry.stage = 0;
        }
        let Some(stage) = entry.present_stage() else {
            return Err(not_permitted(ErrorKind::NoVersionAllowed));
        };
        let planned = allowed.iter().find(|a| *a.model_version == stage.model_version);
        let price = planned.map_or(0.0, |planned| planned.price_out);
        // A dearer model stands in for one whose servers have no room.
        let others = allowed.iter().filter(|other| {
            other.price_out >= price && *other.model_version != stage.model_version
        });
        let versions = planned.into_iter().chain(others);
        Ok(versions.map(|a| Destination::Version(ModelVersion::clone(&a.model_version))).collect())
    }

    pub(super) fn start(
        &mut self,
        id: RequestId,
        place: Place,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let permit = match self.permissions.permit(&entry.request, &place.destination) {
            Ok(permit) => permit,
            Err(kind) => {
                self.refuse(id, not_permitted(kind), now, out);
                return;
            }
        };
        self.advance(id, Step::PlaceFound, now, out);
        self.dispatch(id, place, permit, now, out);
    }

    pub(super) fn dispatch(
        &mut self,
        id: RequestId,
        place: Place,
        permit: Permit,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Place { destination, chosen } = place;
        let attempt: u128 = self.rng.random();
        let share = self.limits().retry_share;
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let work = entry.work(self.quality.mean_output(entry.class()));
        let Some(server) = self.servers.server(chosen.slot) else {
            return;
        };
        let server_id = server.listed.id.clone();
        let takes_new_work = server.takes_new_work();
        let has_room = server.has_capacity(&destination, now);
        self.servers.start_attempt(&chosen, &destination, &work, now);
        if entry.attempts == 0 {
            self.budget.earn(&entry.request.workspace, share);
        }
        entry.attempts += 1;
        entry.retry_at = None;
        let moved = match (entry.pinned(), destination.model_version()) {
            (Some(pinned), Some(chosen)) => pinned != chosen,
            _ => false,
        };
        entry.session_moved = moved;
        entry.live.push(Attempt {
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
        // What is not streamed shows nothing before it is whole.
        let first_byte_timeout = if work.streamed {
            (chosen.first_byte * TIMEOUT_FACTOR)
                .clamp(MIN_FIRST_BYTE_TIMEOUT, MAX_FIRST_BYTE_TIMEOUT)
        } else {
            (chosen.total * TIMEOUT_FACTOR).max(MIN_WHOLE_TIMEOUT)
        };
        let first_byte_timeout = first_byte_timeout.min(entry.remaining(now));
        let dispatch = Dispatch {
            request: id,
            attempt,
            server: server_id,
            model_version: permit.model_version().cloned(),
            revision: permit.revision(),
            deadline: entry.request.deadline,
            first_byte_timeout,
            priority: entry.request.priority,
            resume_after: entry.delivered_tokens,
            permit,
        };
        let again = entry.request.at_most_once() && entry.may_have_run;
        let late = entry.request.deadline <= now;
        self.check_dispatch(&dispatch, moved, again);
        self.invariants.check(Invariant::AttemptBeforeDeadline, !late, || format!("{id:x}"));
        self.invariants
            .check(Invariant::NoWorkToLeavingServer, takes_new_work, || dispatch.server.clone());
        self.invariants.check(Invariant::InFlightLimit, has_room, || dispatch.server.clone());
        out.push(Effect::Dispatch(dispatch));
        self.watch_for_hedge(id, now);
    }

    fn check_dispatch(&mut self, dispatch: &Dispatch, moved: bool, again: bool) {
        let id = dispatch.request;
        self.invariants.check(Invariant::AtMostOneAttempt, !again, || format!("{id:x}"));
        let Some(model_version) = &dispatch.model_version else {
            return;
        };
        let in_use = self.permissions.in_use(model_version);
        let allowed =
            self.permissions.preset().zip(self.requests.get(&id)).is_some_and(|(preset, entry)| {
                let models = preset.allowed.get(&entry.request.workspace);
                models.is_some_and(|models| models.contains(&model_version.model))
            });
        let pinned = self.requests.get(&id).and_then(|entry| entry.pinned()).cloned();
        let exposed = self.permissions.exposed(model_version);
        let quota = self.permissions.quota(model_version);
        let detail = || format!("{id:x} on {model_version}");
        self.invariants.check(Invariant::DispatchNotWithdrawn, in_use, detail);
        self.invariants.check(Invariant::DispatchAllowed, allowed, detail);
        // A quota that is lowered later cannot undo what was exposed before.
        let newly = dispatch.permit.newly_exposed();
        let within = !newly || quota.is_none_or(|quota| exposed <= quota as usize);
        self.invariants.check(Invariant::ExposedCallersBound, within, detail);
        if let Some(pinned) = pinned.filter(|_| moved) {
            let had_to = !self.permissions.may_keep(&pinned, self.requests.get(&id));
            self.invariants.check(Invariant::SessionKeepsVersion, had_to, detail);
        }
    }

    fn push_front(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let weight = self.weight(&entry.request.workspace);
        self.queue.push_front(id, entry.request.priority, &entry.request.workspace, weight);
    }

    pub(super) fn limits(&self) -> Limits {
        self.permissions.preset().map(|preset| preset.limits.clone()).unwrap_or_default()
    }

    fn weight(&self, workspace: &str) -> f64 {
        let configuration = self.permissions.configuration();
        let workspace = configuration.and_then(|c| c.workspaces.get(workspace));
        workspace.map_or(1.0, |workspace| workspace.weight)
    }
}

/// Why a request has no place yet.
pub(super) enum Unplaced {
    /// Servers have no room; it waits.
    Full,
    Refused(Refusal),
}

pub(super) fn quarantined() -> Refusal {
    let message =
        "this content was running when backend servers crashed; change it before sending it again";
    Refusal::new(ErrorKind::Quarantined, message)
}

pub(super) fn stream_broken() -> Refusal {
    let message = "the stream broke and cannot be resumed; send the request again";
    Refusal::new(ErrorKind::StreamBroken, message)
}

pub(super) fn deadline_passed(ran_somewhere: bool) -> Refusal {
    if ran_somewhere {
        let message = "the deadline passed while the request ran; allow more time";
        return Refusal::new(ErrorKind::DeadlineExceeded, message);
    }
    let message = "the deadline passed before the request could run; allow more time";
    Refusal::new(ErrorKind::DeadlineTooShort, message)
}

fn not_permitted(kind: ErrorKind) -> Refusal {
    let message = match kind {
        ErrorKind::ConfigurationStale => "the configuration is unconfirmed; retry later",
        _ => "the preset in force allows the workspace no version that fits the request",
    };
    Refusal::new(kind, message)
}
