//! The way of one request over the backend servers: admission, attempts, cascade, retries, refusal.
//!
//! The dispatcher is a plain state machine without sockets or clocks. The shell asks it for the next step of a
//! [`Flight`], carries the step out and reports how it ended; a step is a send to a server, a short wait for one, or
//! the refusal that is the final answer.

mod cascade;
mod overload;
mod refusal;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Fingerprint;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;
use foxtailhoist_model::stable_hash;

use self::overload::SojournKey;
use self::refusal::RETURN_MAX;
use self::refusal::RETURN_MIN;
use self::refusal::refusal;
use self::refusal::refusal_after;
use crate::backends::Backends;
use crate::backends::Query;
use crate::backends::choose::Choice;
use crate::backends::choose::NoServer;
use crate::backends::choose::VersionFilter;
use crate::backends::probe::PROBE_AFTER;
use crate::backends::probe::Probe;
use crate::flight::Arrival;
use crate::flight::Attempt;
use crate::flight::AttemptOutcome;
use crate::flight::Flight;
use crate::flight::Knowledge;
use crate::poison::Poison;
use crate::poison::Standing;
use crate::retry_window::RetryLimit;
use crate::retry_window::RetryWindows;
use crate::routes::Identity;
use crate::routes::RoutingTable;
use crate::sojourn::Sojourn;
use crate::strain::Strain;
use crate::stream_time::StreamTime;
use crate::version_rule::VersionRule;

/// Time that a caller without a deadline on a route without a time-out is given.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// Share of the latency target that a request may wait for a server to come free.
const WAIT_SHARE: f64 = 0.125;
/// Longest wait for a server to come free.
const WAIT_MAX: Duration = Duration::from_millis(300);
/// Longest wait for a server to resume a stream that has begun: callers bear a gap of two seconds at least.
const RESUME_WAIT: Duration = Duration::from_millis(1_500);
/// Pause between two looks for a free server.
const WAIT_STEP: Duration = Duration::from_millis(40);
/// Shortest time left in which another attempt is still made.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(20);
/// Wait for the head of an idempotent answer, as a multiple of the mean time.
const HEAD_MEANS: f64 = 4.0;
/// Bounds of that wait for plain services and for engines.
const SERVICE_HEAD_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(90), Duration::from_millis(400));
const ENGINE_HEAD_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(1_200), Duration::from_millis(6_000));
/// Longest wait for the head of an answer from an engine that shows life.
const ENGINE_QUEUE_MAX: Duration = Duration::from_millis(8_000);
/// Silence of one stream after which it is given up although its server shows life: engines put requests back when
/// their memory runs out, and callers bear a gap of several seconds.
const EVENT_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Silence of a server in all answers after which its streams are given up.
const SERVER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after a broken connection in which the server's death still counts against what ran there.
const SUSPICION: Duration = Duration::from_millis(1_500);
const CHOICE_SEED: u64 = 0x6469_7370;

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    pub data_centre: DataCentreId,
    pub retries: RetryLimit,
    /// An answer of a small model below this confidence, from 0 to 100, is replaced by a larger model's; by the route's
    /// priority, the last for all less urgent ones. Empty lets every answer pass.
    pub confidence_floors: Vec<u8>,
}

/// Decides for each request of one entry host.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatchConfig,
    table: Option<Arc<RoutingTable>>,
    backends: Backends,
    retries: RetryWindows,
    rules: BTreeMap<ServiceId, VersionRule>,
    strains: BTreeMap<ServiceId, Strain>,
    stream_times: BTreeMap<ServiceId, StreamTime>,
    sojourns: BTreeMap<SojournKey, Sojourn>,
    poison: Poison,
    /// Contents whose connections to a server broke, until its death is seen.
    suspects: BTreeMap<String, Vec<(Fingerprint, Instant)>>,
    notes: Vec<Note>,
    /// When the process ends, once it was asked to stop.
    ends_at: Option<Instant>,
}

/// What the shell does next for a request.
#[derive(Debug)]
pub enum Step {
    /// Send it to a server.
    Send(Box<Attempt>),
    /// Ask again then, or when the caller leaves.
    WaitUntil(Instant),
    /// The final answer.
    Refuse(Refusal),
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerHead {
    pub status: u16,
    /// The answer echoes the request's id.
    pub is_own: bool,
    /// The server states that it did not run the request.
    pub not_run: bool,
    /// When a full server wants to be asked again.
    pub retry_after: Option<Duration>,
    /// The model's opinion of its answer, from 0 to 100.
    pub confidence: Option<u8>,
}

/// What to do with an answer whose head arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// Pass it on to the caller.
    Deliver,
    /// Drop it and report this outcome.
    Drop(AttemptOutcome),
}

/// Something that others should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// An answer of a version, good or bad.
    Evidence {
        service: ServiceId,
        version: VersionId,
        server: BackendServerId,
        is_bad: bool,
    },
    /// A content was running when a server died.
    Suspect {
        content: Fingerprint,
    },
    Quarantined {
        content: Fingerprint,
    },
}

impl Dispatcher {
    /// Knows no routes and no servers yet.
    #[must_use]
    pub fn new(cfg: DispatchConfig) -> Dispatcher {
        Dispatcher {
            backends: Backends::new(cfg.data_centre.clone()),
            retries: RetryWindows::new(cfg.retries),
            cfg,
            table: None,
            rules: BTreeMap::new(),
            strains: BTreeMap::new(),
            stream_times: BTreeMap::new(),
            sojourns: BTreeMap::new(),
            poison: Poison::default(),
            suspects: BTreeMap::new(),
            notes: Vec::new(),
            ends_at: None,
        }
    }

    /// Takes other settings into force; the data centre stays, since what is believed of servers rests on it.
    pub fn reload(&mut self, cfg: DispatchConfig) {
        self.retries.set_limit(cfg.retries);
        self.cfg = DispatchConfig { data_centre: self.cfg.data_centre.clone(), ..cfg };
    }

    /// The process was asked to stop and ends then.
    pub fn stop(&mut self, ends_at: Instant) {
        self.ends_at = Some(ends_at);
    }

    /// Takes a routing table into force; an older one than that in force is ignored.
    pub fn configure(&mut self, table: Arc<RoutingTable>) -> bool {
        let is_newer = self.table.as_ref().is_none_or(|present| present.version < table.version);
        if is_newer {
            self.table = Some(table);
        }
        is_newer
    }

    /// The routing table in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    #[must_use]
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    pub fn backends_mut(&mut self) -> &mut Backends {
        &mut self.backends
    }

    /// Entry hosts of the fleet and of the own data centre: shares of fleet-wide bounds and the load that other hosts
    /// add follow from them.
    pub fn set_hosts(&mut self, fleet: usize, near: usize) {
        self.retries.share_with(fleet);
        self.backends.share_with(near);
    }

    /// Sets which versions of a service take new work.
    pub fn set_rule(&mut self, service: ServiceId, rule: VersionRule) {
        self.rules.insert(service, rule);
    }

    /// Another host saw a content run when a server died.
    pub fn suspect(&mut self, content: Fingerprint, now: Instant) {
        self.poison.suspect(content, now);
    }

    /// Another host saw a content kill servers repeatedly.
    pub fn quarantine(&mut self, content: Fingerprint, now: Instant) {
        self.poison.quarantine(content, now);
    }

    /// A new incarnation stands where a server was: it has died.
    pub fn server_died(&mut self, server: &str, now: Instant) {
        for (content, at) in self.suspects.remove(server).unwrap_or_default() {
            if now.saturating_duration_since(at) > SUSPICION {
                continue;
            }
            let note = match self.poison.died(content, now) {
                Standing::Suspect => Note::Suspect { content },
                Standing::Quarantined => Note::Quarantined { content },
            };
            self.notes.push(note);
        }
    }

    /// Takes what others should know.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// The refusal is the final answer; nothing was sent.
    pub fn admit(&mut self, arrival: Arrival, now: Instant) -> Result<Flight, Refusal> {
        let Some(table) = &self.table else {
            return Err(refusal(ErrorKind::ConfigurationStale, Some(RETURN_MAX)));
        };
        let Some(route) = table.find(&arrival.host, &arrival.path) else {
            return Err(refusal(ErrorKind::NotFound, None));
        };
        let workspace = match table.identify(route, arrival.key.as_deref()) {
            Identity::Unknown => return Err(refusal(ErrorKind::Unauthenticated, None)),
            Identity::Anonymous => None,
            Identity::Workspace(workspace) => Some(workspace),
        };
        if self.poison.is_quarantined(arrival.fingerprint, now) {
            return Err(refusal(ErrorKind::Quarantined, None));
        }
        let point = stable_hash(CHOICE_SEED, &[arrival.id.as_bytes()]);
        let Some(service) = route.service(point).cloned() else {
            return Err(refusal(ErrorKind::NoServer, Some(RETURN_MAX)));
        };
        let patience = [arrival.patience, route.timeout].into_iter().flatten().min();
        let deadline = now + patience.unwrap_or(DEFAULT_PATIENCE);
        let expected_end = if route.repeatability.is_stream() {
            let time = self.stream_times.get(&service).copied().unwrap_or_default();
            now + time.bound(arrival.max_output_tokens)
        } else {
            deadline
        };
        if self.ends_at.is_some_and(|ends_at| ends_at < expected_end) {
            return Err(refusal(ErrorKind::Stopping, Some(RETURN_MIN)));
        }
        let rule = self.rules.get(&service).unwrap_or(&VersionRule::Any);
        let versions = rule.filter(arrival.session, point);
        let flight = Flight {
            id: arrival.id,
            route: route.clone(),
            workspace,
            table_version: table.version,
            arrived: now,
            deadline,
            parts: arrival.parts,
            prompt_tokens: arrival.prompt_tokens,
            max_output_tokens: arrival.max_output_tokens,
            knowledge: Knowledge::NotRun,
            attempts: 0,
            requested_model: arrival.model,
            model_step: 0,
            versions,
            session: arrival.session,
            point,
            fingerprint: arrival.fingerprint,
            tried: Vec::new(),
            last_event: arrival.last_event,
            started: false,
            waiting_since: None,
            unreached: None,
            waits_for_event: None,
            kept_weak: None,
            service,
        };
        self.refuse_late(&flight, now)?;
        Ok(flight)
    }

    /// What to do next for a request that has no attempt under way.
    pub fn next(&mut self, flight: &mut Flight, now: Instant) -> Step {
        let left = flight.deadline.saturating_duration_since(now);
        if left < LEAST_TIME_LEFT {
            return Step::Refuse(self.out_of_time(flight));
        }
        if !flight.may_be_sent() || flight.attempts >= flight.route.max_attempts.max(1) {
            return Step::Refuse(self.give_up(flight, now));
        }
        if self.poison.is_quarantined(flight.fingerprint, now) {
            return Step::Refuse(refusal_after(ErrorKind::Quarantined, flight));
        }
        let choice = match self.choose(flight, now) {
            Ok(choice) => choice,
            Err(reason) => return self.wait_or_refuse(flight, reason, now),
        };
        if flight.attempts > 0 && !self.retries.has_room(&flight.service, 0.0, now) {
            return Step::Refuse(self.give_up(flight, now));
        }
        let Some(attempt) = self.attempt(flight, &choice, now) else {
            return Step::Refuse(self.give_up(flight, now));
        };
        self.backends.begin(&attempt);
        Step::Send(Box::new(attempt))
    }

    /// The request's bytes are about to reach the server: it counts as an attempt from now on. One whose server could
    /// not be reached counts nowhere.
    pub fn sent(&mut self, flight: &mut Flight, attempt: &Attempt, now: Instant) {
        if flight.attempts == 0 {
            self.retries.first_attempt(&flight.service, now);
        } else {
            self.retries.repeat(&flight.service, now);
        }
        flight.waiting_since = None;
        flight.unreached = None;
        self.wait_began(flight, attempt, now);
        flight.attempts += 1;
        flight.tried.push(attempt.server.clone());
    }

    /// The head of the answer arrived.
    pub fn head(
        &mut self,
        flight: &mut Flight,
        attempt: &Attempt,
        head: &AnswerHead,
        elapsed: Duration,
        now: Instant,
    ) -> HeadVerdict {
        if head.status == 421 {
            return HeadVerdict::Drop(AttemptOutcome::Misdirected);
        }
        if head.not_run {
            let retry_after = head.retry_after.unwrap_or(RETURN_MIN).min(RETURN_MAX);
            return HeadVerdict::Drop(AttemptOutcome::Full { retry_after });
        }
        if !head.is_own {
            return HeadVerdict::Drop(AttemptOutcome::Garbled);
        }
        self.backends.answered(attempt, &flight.parts, elapsed, now);
        self.wait_ended(flight, true, now);
        if !flight.started {
            self.note_wait(flight, attempt, elapsed, now);
        }
        if !(200..300).contains(&head.status) {
            return self.failed_head(flight, attempt, head, now);
        }
        if self.should_escalate(flight, head, now) {
            return HeadVerdict::Drop(AttemptOutcome::Dropped);
        }
        flight.started = true;
        HeadVerdict::Deliver
    }

    /// An event of the stream arrived.
    pub fn progressed(&mut self, attempt: &Attempt, gap: Option<Duration>, now: Instant) {
        self.backends.progressed(attempt, gap, now);
    }

    /// Whether an attempt without a head should be given up for another one. An engine that shows life in other answers
    /// has a queue: to give up there would only move the request to the end of another queue.
    #[must_use]
    pub fn is_head_overdue(&self, attempt: &Attempt, begun: Instant, now: Instant) -> bool {
        let waited = now.saturating_duration_since(begun);
        let is_alive = self
            .backends
            .last_sign(attempt)
            .is_some_and(|at| now.saturating_duration_since(at) < attempt.event_timeout);
        let is_queued = attempt.model.is_some() && is_alive && waited < ENGINE_QUEUE_MAX;
        let is_lost = attempt.has_spare_try && self.backends.is_lost(attempt);
        is_lost || (waited >= attempt.head_timeout && !is_queued)
    }

    /// Whether a stream without an event since `since` should be given up for another attempt; the last attempt never
    /// is, since a silent server may still go on.
    #[must_use]
    pub fn is_stalled(
        &self,
        flight: &Flight,
        attempt: &Attempt,
        since: Instant,
        now: Instant,
    ) -> bool {
        if !self.has_another_try(flight, now) {
            return false;
        }
        let silence = now.saturating_duration_since(since);
        let server_silence = self
            .backends
            .last_sign(attempt)
            .map_or(silence, |at| now.saturating_duration_since(at));
        let is_lost = silence >= PROBE_AFTER && self.backends.is_lost(attempt);
        is_lost || silence >= EVENT_TIMEOUT || server_silence >= attempt.event_timeout
    }

    /// The probe that an attempt's silence since then calls for.
    pub fn take_probe(&mut self, attempt: &Attempt, since: Instant, now: Instant) -> Option<Probe> {
        self.backends.take_probe(attempt, since, now)
    }

    /// A probe ended; `reached` tells whether the server accepted a connection.
    pub fn probe_ended(&mut self, probe: &Probe, reached: bool, now: Instant) {
        self.backends.probe_ended(probe, reached, now);
    }

    /// An attempt ended.
    pub fn ended(
        &mut self,
        flight: &mut Flight,
        attempt: &Attempt,
        had_head: bool,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        self.backends.end(attempt, had_head, outcome, now);
        self.wait_ended(flight, false, now);
        let never_began = matches!(outcome, AttemptOutcome::Silent | AttemptOutcome::Full { .. });
        if never_began && !had_head {
            let target = flight.route.latency_target.unwrap_or(DEFAULT_PATIENCE);
            self.note_wait(flight, attempt, target, now);
        }
        match outcome {
            AttemptOutcome::Whole => {
                flight.learn(Knowledge::Ran);
                if flight.route.repeatability.is_stream() {
                    let elapsed = now.saturating_duration_since(flight.arrived);
                    let time = self.stream_times.entry(flight.service.clone()).or_default();
                    time.sample(flight.max_output_tokens, elapsed);
                }
                self.evidence(attempt, false);
            }
            AttemptOutcome::Failed => {
                flight.learn(Knowledge::Ran);
                self.evidence(attempt, true);
            }
            AttemptOutcome::Dropped => {
                flight.learn(Knowledge::Ran);
                flight.model_step = flight.route.models.len() - 1;
            }
            AttemptOutcome::Broken => {
                flight.learn(Knowledge::MayHaveRun);
                if !had_head {
                    let suspects = self.suspects.entry(attempt.server.clone()).or_default();
                    suspects.push((flight.fingerprint, now));
                }
            }
            AttemptOutcome::Garbled | AttemptOutcome::Silent | AttemptOutcome::Cancelled => {
                flight.learn(Knowledge::MayHaveRun);
            }
            AttemptOutcome::Unreachable => {
                flight.tried.push(attempt.server.clone());
                flight.waiting_since.get_or_insert(now);
                flight.unreached = Some(now);
                self.server_died(&attempt.server, now);
            }
            AttemptOutcome::Misdirected | AttemptOutcome::Full { .. } => {}
        }
    }

    /// Whether a request that failed now would get another attempt.
    #[must_use]
    pub fn has_another_try(&self, flight: &Flight, now: Instant) -> bool {
        let left = flight.deadline.saturating_duration_since(now);
        flight.route.repeatability.may_run_again()
            && flight.attempts < flight.route.max_attempts
            && left >= LEAST_TIME_LEFT
            && self.backends.is_served(&flight.service)
    }

    fn failed_head(
        &mut self,
        flight: &mut Flight,
        attempt: &Attempt,
        head: &AnswerHead,
        now: Instant,
    ) -> HeadVerdict {
        let is_servers_fault = head.status >= 500;
        let promises_no_run = matches!(head.status, 408 | 429 | 503);
        if is_servers_fault && self.has_another_try(flight, now) {
            return HeadVerdict::Drop(AttemptOutcome::Failed);
        }
        if promises_no_run {
            // The server does not vouch that it did not run, so the status must not reach the caller.
            return HeadVerdict::Drop(AttemptOutcome::Failed);
        }
        if is_servers_fault {
            self.evidence(attempt, true);
        }
        flight.started = true;
        HeadVerdict::Deliver
    }

    fn choose(&self, flight: &mut Flight, now: Instant) -> Result<Choice, NoServer> {
        if flight.versions == VersionFilter::Any {
            // A shift may have begun since the request was admitted.
            flight.versions = self.versions(flight);
        }
        match self.choose_within(flight, now) {
            Err(NoServer::Unserved) => {
                // The versions that it was admitted to are gone; the rule of the moment says which ones there are.
                let present = self.versions(flight);
                let is_target_gone =
                    present == flight.versions && matches!(present, VersionFilter::Only(_));
                flight.versions = if is_target_gone { VersionFilter::Any } else { present };
                self.choose_within(flight, now)
            }
            other => other,
        }
    }

    /// The versions that a request may run on by the rule of the moment.
    fn versions(&self, flight: &Flight) -> VersionFilter {
        let rule = self.rules.get(&flight.service).unwrap_or(&VersionRule::Any);
        rule.filter(flight.session, flight.point)
    }

    fn choose_within(&self, flight: &Flight, now: Instant) -> Result<Choice, NoServer> {
        let model = flight.model().cloned();
        let query = Query {
            service: &flight.service,
            versions: &flight.versions,
            model: model.as_deref(),
            parts: &flight.parts,
            prompt_tokens: flight.prompt_tokens,
            repeatable: flight.route.repeatability.may_run_again(),
            avoid: &flight.tried,
        };
        let may_ask_again = flight.unreached.is_none_or(|at| now >= at + WAIT_STEP);
        match self.backends.choose(&query, now) {
            Err(NoServer::AllBusy)
                if !flight.tried.is_empty() && query.repeatable && may_ask_again =>
            {
                self.backends.choose(&Query { avoid: &[], ..query }, now)
            }
            other => other,
        }
    }

    fn attempt(&self, flight: &Flight, choice: &Choice, now: Instant) -> Option<Attempt> {
        let listing = self.backends.listing(&choice.server)?;
        let model = flight.model().cloned();
        let is_engine = model.is_some();
        let left = flight.deadline.saturating_duration_since(now);
        let may_run_again = flight.route.repeatability.may_run_again();
        let mut attempt = Attempt {
            number: flight.attempts + 1,
            server: choice.server.clone(),
            generation: choice.generation,
            service: flight.service.clone(),
            version: listing.version.clone(),
            address: listing.address,
            deadline: flight.deadline,
            head_timeout: left,
            event_timeout: SERVER_TIMEOUT,
            has_spare_try: may_run_again && flight.attempts + 1 < flight.route.max_attempts,
            priority: is_engine.then(|| priority(flight)),
            resume_after: flight.last_event,
            fresh_connection: !may_run_again,
            unread_tokens: choice.unread_tokens,
            cost_ms: choice.cost_ms,
            model,
        };
        if attempt.has_spare_try {
            attempt.head_timeout = self.head_timeout(&attempt, is_engine).min(left);
        }
        Some(attempt)
    }

    fn head_timeout(&self, attempt: &Attempt, is_engine: bool) -> Duration {
        let mean = self.backends.mean_first_byte(&attempt.service, attempt.model.as_deref());
        let (least, most) = if is_engine { ENGINE_HEAD_TIMEOUT } else { SERVICE_HEAD_TIMEOUT };
        let expected = mean.unwrap_or(1.0) * attempt.work() * HEAD_MEANS;
        Duration::from_secs_f64(expected / 1_000.0).clamp(least, most)
    }

    fn wait_or_refuse(&self, flight: &mut Flight, reason: NoServer, now: Instant) -> Step {
        let since = *flight.waiting_since.get_or_insert(now);
        let target = flight.route.latency_target.unwrap_or(WAIT_MAX);
        let longest =
            if flight.started { RESUME_WAIT } else { target.mul_f64(WAIT_SHARE).min(WAIT_MAX) };
        let until = now + WAIT_STEP;
        if until <= since + longest && until < flight.deadline {
            return Step::WaitUntil(until);
        }
        let kind = match reason {
            NoServer::Unserved => ErrorKind::NoServer,
            NoServer::AllBusy => ErrorKind::Overloaded,
        };
        Step::Refuse(self.refuse(flight, kind, now))
    }

    fn evidence(&mut self, attempt: &Attempt, is_bad: bool) {
        let service = attempt.service.clone();
        let version = attempt.version.clone();
        let server = attempt.server.clone();
        self.notes.push(Note::Evidence { service, version, server, is_bad });
    }
}

fn priority(flight: &Flight) -> u8 {
    let workspace = flight.workspace.as_ref().and_then(|workspace| workspace.priority);
    workspace.unwrap_or(flight.route.priority).min(9)
}
