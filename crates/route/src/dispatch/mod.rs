//! Lifecycle of a request: admission, attempts at backend servers, cascade, retries and refusal.
//!
//! The dispatcher is a state machine without sockets or clocks. Its driver, in the relay crate, asks for the next step
//! of an [`InFlightRequest`], performs it and reports the outcome. A step is a send to a server, a short wait for one,
//! or a refusal as the final answer.

mod cascade;
mod crashes;
mod limits;
mod overload;
mod reach;
mod refusal;
mod shares;
mod warm_up;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::Pace;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;
use foxtailhoist_model::stable_hash;

use self::crashes::InterruptedAnswer;
use self::overload::QueueDelayKey;
use self::refusal::RETRY_AFTER_MAX;
use self::refusal::RETRY_AFTER_MIN;
use self::refusal::refusal;
use self::refusal::refusal_for;
use crate::attempt_times::AttemptTimes;
use crate::backends::Backends;
use crate::backends::Query;
use crate::backends::choose::Choice;
use crate::backends::choose::NoServer;
use crate::backends::choose::VersionFilter;
use crate::backends::probe::PROBE_AFTER;
use crate::backends::probe::Probe;
use crate::backends::probe::ProbeOutcome;
use crate::backends::rate_limit::StatedLimit;
use crate::backends::warm_up::ColdChange;
use crate::backends::warm_up::WarmUpBound;
use crate::blame::BlameTable;
use crate::blame::Culprit;
use crate::exposure::Exposure;
use crate::exposure::ExposureLimit;
use crate::fair_share::FairShares;
use crate::homes::Homes;
use crate::homes::Regions;
use crate::in_flight::Arrival;
use crate::in_flight::Attempt;
use crate::in_flight::AttemptOutcome;
use crate::in_flight::CallerRequestId;
use crate::in_flight::ExecutionStatus;
use crate::in_flight::InFlightRequest;
use crate::latency_pressure::LatencyPressure;
use crate::queue_delay::QueueDelay;
use crate::reach::Reach;
use crate::retry_window::RetryLimit;
use crate::retry_window::RetryWindows;
use crate::routes::Identity;
use crate::routes::RouteId;
use crate::routes::RoutingTable;
use crate::stream_time::StreamTime;
use crate::version_rule::Preference;
use crate::version_rule::ServiceVersions;
use crate::version_rule::VersionRequest;
use crate::version_rule::VersionRule;

/// Timeout for a caller without a deadline on a route without a timeout.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum wait for a server to become available, as a fraction of the latency target.
const SERVER_WAIT_SHARE: f64 = 0.125;
/// Maximum wait for a server to become available.
const SERVER_WAIT_MAX: Duration = Duration::from_millis(300);
/// Maximum wait for a server to resume a started stream; callers tolerate a gap of at least two seconds.
const RESUME_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Poll interval while waiting for an available server.
const SERVER_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum time for which a server gets no requests because it asked for none.
const SERVER_PAUSE_MAX: Duration = Duration::from_secs(300);
/// Minimum time left until the deadline for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Timeout for the answer's head while another attempt is left, as a multiple of the mean time.
const HEAD_TIMEOUT_FACTOR: f64 = 4.0;
/// Minimum and maximum head timeout of plain services.
const SERVICE_HEAD_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(90), Duration::from_millis(400));
/// Minimum and maximum head timeout of engines.
const ENGINE_HEAD_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(1_200), Duration::from_millis(6_000));
/// Maximum wait for the head of an answer from an engine that shows activity.
const ENGINE_HEAD_WAIT_MAX: Duration = Duration::from_millis(8_000);
/// Silence of one stream after which its attempt is abandoned although the server shows activity: engines preempt
/// requests when they run out of memory, and callers tolerate a gap of several seconds.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Silence of a server in all answers after which its streams are resumed elsewhere.
const SERVER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Seed of the hash of request ids.
const REQUEST_HASH_SEED: u64 = 0x6469_7370;

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    pub data_centre: DataCentreId,
    pub retries: RetryLimit,
    pub exposure: ExposureLimit,
    /// Confidence, from 0 to 100, below which a small model's answer is replaced by a larger model's. Indexed by the
    /// route's priority; the last floor applies to all less urgent ones. If empty, every answer is accepted.
    pub confidence_floors: Vec<u8>,
    /// Whether workspaces keep fair shares of a service that is short of capacity.
    pub fair_shares: bool,
    /// Whether data centres may be evacuated. Requests are then admitted only once it is known which ones are.
    pub has_evacuations: bool,
    pub regions: Regions,
    /// What a cold server may receive; `None` where cold servers are not limited.
    pub warm_up_bound: Option<WarmUpBound>,
}

/// Dispatches the requests of one entry host.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatchConfig,
    table: Option<Arc<RoutingTable>>,
    backends: Backends,
    retries: RetryWindows,
    versions: BTreeMap<ServiceId, ServiceVersions>,
    /// Entry hosts of the fleet.
    host_count: usize,
    latency_pressures: BTreeMap<ServiceId, LatencyPressure>,
    stream_times: BTreeMap<ServiceId, StreamTime>,
    queue_delays: BTreeMap<QueueDelayKey, QueueDelay>,
    shares: FairShares,
    /// Whether the configuration names several workspaces, which share the capacity.
    has_workspaces: bool,
    blame: BlameTable,
    /// By server: answers that broke off near their beginning. Once the server is found dead, they are suspected.
    interrupted_answers: BTreeMap<BackendServerId, Vec<InterruptedAnswer>>,
    notifications: Vec<Notification>,
    reach: Reach,
    /// Whether it is known which data centres are evacuated.
    knows_evacuations: bool,
    /// Services to probe because another one is out of reach.
    doubtful_services: BTreeSet<ServiceId>,
    /// When the process exits; set once it was asked to stop.
    ends_at: Option<Instant>,
    /// From when on a stopping host admits only requests that end before it exits whatever their server does.
    lingers_until: Option<Instant>,
}

/// Next step for a request, performed by the driver.
#[derive(Debug)]
pub enum Step {
    /// Send the request to a server.
    Send(Box<Attempt>),
    /// Request the next step again at this time, unless the caller disconnects.
    WaitUntil(Instant),
    /// Refuse the request; this is the final answer.
    Refuse(Refusal),
}

/// Why no attempt is made now.
#[derive(Clone, Copy, Debug)]
enum NoAttempt {
    /// The deadline has passed or is too near.
    Expired,
    /// The request may not be sent again, or the limit on attempts or retries is reached.
    Exhausted,
    /// The request's content, or a part of its prompt, is quarantined.
    Quarantined,
    NoServer(NoServer),
}

/// Head of an answer, as parsed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerHead {
    pub status: u16,
    /// Whether the answer echoes the request's id.
    pub echoes_request_id: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the server states that it is leaving.
    pub is_leaving: bool,
    /// Whether the answer has no framing of its own, so that its end shows only by the end of the connection.
    pub ends_with_connection: bool,
    /// Time for which a server that rejected the request wants no other.
    pub retry_after: Option<Duration>,
    /// What the server states of the rate that it takes.
    pub stated_limit: StatedLimit,
    /// Remaining time for which the server states to be cold; zero if it is warm.
    pub warm_up: Option<Duration>,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
}

/// Whether an answer is delivered, decided by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// Pass it on to the caller.
    Deliver,
    /// Drop it and end the attempt with this outcome.
    Drop(AttemptOutcome),
}

/// What an answer tells about its version.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvidence {
    Ended { is_bad: bool },
    Pace { model: Option<ModelId>, pace: Pace },
}

/// State-change event for other components and hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// Evidence on a version from one answer.
    Evidence {
        service: ServiceId,
        route: RouteId,
        version: VersionId,
        server: BackendServerId,
        evidence: AnswerEvidence,
    },
    /// A server stated in an answer that it is leaving.
    ServerLeaving { server: BackendServerId },
    /// A server asked for no requests for the stated time; `applied` is the time that it gets none.
    ServerPaused { server: BackendServerId, stated: Duration, applied: Duration },
    /// A server named a limit of requests a second, another than before, or `None` any more; `is_own` tells whether in an
    /// answer to this host.
    ServerLimited { server: BackendServerId, per_second: Option<f64>, is_own: bool },
    /// A server became cold or warm.
    ServerCold(ColdChange),
    /// A request is sent to a cold server.
    SentToColdServer,
    /// A request was refused while cold servers had no room for it.
    RefusedForColdServers,
    /// The servers of a service cannot be reached from this host.
    CutOff { service: ServiceId },
    /// A server of a service was reached that was out of reach for this time.
    ReachedAgain { service: ServiceId, away: Duration },
    /// A server was found dead that was beginning to answer this many requests of this host; of their contents and
    /// parts, `sound` were answered soundly of late.
    ServerDied { server: BackendServerId, requests: usize, sound: usize },
    /// This host noted a culprit in another crash; these are its crashes on all hosts.
    Suspect { culprit: Culprit, crashes: usize },
    /// A culprit was quarantined; `is_own` tells whether this host saw the last of its crashes.
    Quarantined { culprit: Culprit, crashes: usize, is_own: bool },
    /// A sound answer cleared a culprit of crashes.
    Cleared { culprit: Culprit, crashes: usize },
    /// A request with a quarantined part is sent as a trial.
    Trial { request: CallerRequestId, culprit: Culprit },
    /// A quarantined culprit was answered soundly on a host that did not know of its crashes.
    Released { culprit: Culprit },
    /// The findings on a quarantined culprit were dropped for lack of room.
    QuarantineDropped { culprit: Culprit },
}

impl Dispatcher {
    /// Creates a dispatcher without routes and servers.
    #[must_use]
    pub fn new(cfg: DispatchConfig) -> Dispatcher {
        let mut backends = Backends::new(cfg.data_centre.clone());
        backends.set_regions(cfg.regions.clone());
        Dispatcher {
            backends,
            retries: RetryWindows::new(cfg.retries),
            cfg,
            table: None,
            versions: BTreeMap::new(),
            host_count: 1,
            latency_pressures: BTreeMap::new(),
            stream_times: BTreeMap::new(),
            queue_delays: BTreeMap::new(),
            shares: FairShares::default(),
            has_workspaces: false,
            blame: BlameTable::default(),
            interrupted_answers: BTreeMap::new(),
            notifications: Vec::new(),
            reach: Reach::default(),
            knows_evacuations: false,
            doubtful_services: BTreeSet::new(),
            ends_at: None,
            lingers_until: None,
        }
    }

    /// Applies other settings. The data centre is kept, since the state of the servers depends on it, and whether
    /// evacuations are followed, which takes a restart.
    pub fn reload(&mut self, cfg: DispatchConfig) {
        self.retries.set_limit(cfg.retries);
        self.backends.set_regions(cfg.regions.clone());
        let DispatchConfig { data_centre, has_evacuations, .. } = &self.cfg;
        let (data_centre, has_evacuations) = (data_centre.clone(), *has_evacuations);
        self.has_workspaces = cfg.fair_shares
            && self.table.as_ref().is_some_and(|table| table.has_several_workspaces());
        self.cfg = DispatchConfig { data_centre, has_evacuations, ..cfg };
        self.update_warm_up_rules();
    }

    /// Records that the process was asked to stop and exits at `ends_at`. Until `lingers_until`, requests still arrive
    /// that the load balancer or a caller sent before it could know.
    pub fn stop(&mut self, lingers_until: Instant, ends_at: Instant) {
        self.lingers_until = Some(lingers_until);
        self.ends_at = Some(ends_at);
    }

    /// Records that it is known which data centres are evacuated.
    pub fn set_evacuations_known(&mut self) {
        self.knows_evacuations = true;
    }

    /// Applies a routing table unless its version is not newer than the current one's; returns whether it was applied.
    pub fn configure(&mut self, table: Arc<RoutingTable>) -> bool {
        let is_newer = self.table.as_ref().is_none_or(|current| current.version < table.version);
        if is_newer {
            self.backends.set_engines(&table.services);
            self.has_workspaces = self.cfg.fair_shares && table.has_several_workspaces();
            self.table = Some(table);
            self.update_warm_up_rules();
        }
        is_newer
    }

    /// The current routing table.
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

    /// Sets the number of entry hosts in the fleet and in this data centre, which determine this host's share of
    /// fleet-wide limits and the estimated load from other hosts.
    pub fn set_host_counts(&mut self, fleet: usize, local: usize) {
        self.host_count = fleet;
        self.retries.set_host_count(fleet);
        self.backends.set_host_count(local);
    }

    /// Sets the entry hosts of the fleet, which share the limits that servers name.
    pub fn set_hosts(&mut self, own: &EntryHostId, all: &[&EntryHostId]) {
        self.backends.set_hosts(own, all);
    }

    /// Sets the Unix time of a moment; all hosts divide time alike by it.
    pub fn set_unix_time(&mut self, now: Instant, unix: Duration) {
        self.backends.set_unix_time(now, unix);
    }

    /// Sets which versions of a service accept new work.
    pub fn set_version_rule(&mut self, service: ServiceId, rule: VersionRule) {
        let live = self.backends.live_versions(&service);
        self.versions.entry(service).or_default().set_rule(rule, &live);
    }

    /// Removes and returns the pending notifications.
    pub fn take_notifications(&mut self) -> Vec<Notification> {
        std::mem::take(&mut self.notifications)
    }

    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// The refusal is the final answer; the request was not sent to any server.
    pub fn admit(&mut self, arrival: Arrival, now: Instant) -> Result<InFlightRequest, Refusal> {
        let Some(table) = self.table.clone() else {
            return Err(refusal(ErrorKind::ConfigurationStale, Some(RETRY_AFTER_MAX)));
        };
        if self.cfg.has_evacuations && !self.knows_evacuations {
            return Err(refusal(ErrorKind::ConfigurationStale, Some(RETRY_AFTER_MAX)));
        }
        let Some(route) = table.find(&arrival.host, &arrival.path) else {
            return Err(refusal(ErrorKind::NotFound, None));
        };
        let workspace = match table.identify(route, arrival.key.as_deref()) {
            Identity::Unknown => return Err(refusal(ErrorKind::Unauthenticated, None)),
            Identity::Anonymous => None,
            Identity::Workspace(workspace) => Some(workspace),
        };
        self.settle_blame(now);
        let is_quarantined =
            self.blame.is_request_quarantined(arrival.fingerprint, &arrival.parts, now);
        let is_trial = is_quarantined && self.take_trial(&arrival, now);
        if is_quarantined && !is_trial {
            return Err(refusal(ErrorKind::Quarantined, None));
        }
        let request_hash = stable_hash(REQUEST_HASH_SEED, &[arrival.id.as_bytes()]);
        let Some(service) = route.service(request_hash).cloned() else {
            return Err(refusal(ErrorKind::NoServer, Some(RETRY_AFTER_MAX)));
        };
        let caller_timeout = [arrival.caller_timeout, route.timeout].into_iter().flatten().min();
        let deadline = now + caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let is_lingering = self.lingers_until.is_none_or(|until| now < until);
        let can_finish = if route.repeatability.is_stream() && is_lingering {
            self.can_finish_stream(&service, arrival.max_output_tokens, now)
        } else {
            self.ends_at.is_none_or(|ends_at| deadline <= ends_at)
        };
        if !can_finish {
            return Err(refusal(ErrorKind::Stopping, Some(RETRY_AFTER_MIN)));
        }
        let mut req = InFlightRequest {
            id: arrival.id,
            route: route.clone(),
            workspace,
            table_version: table.version,
            arrived: now,
            deadline,
            parts: arrival.parts,
            prompt_tokens: arrival.prompt_tokens,
            max_output_tokens: arrival.max_output_tokens,
            cost_estimate: 0.0,
            cost: 0.0,
            execution: ExecutionStatus::NotRun,
            attempts: 0,
            requested_model: arrival.model,
            model_index: 0,
            version: None,
            session: arrival.session,
            request_hash,
            fingerprint: arrival.fingerprint,
            is_trial,
            tried_servers: Vec::new(),
            last_event: arrival.last_event,
            answer_started: false,
            waiting_for_server_since: None,
            last_unreachable: None,
            awaiting_first_event_since: None,
            times: AttemptTimes::default(),
            low_confidence_answer: None,
            service,
        };
        self.charge(&mut req, arrival.likely_output_tokens, now)?;
        self.refuse_if_late(&req, now)?;
        Ok(req)
    }

    /// Whether a stream that starts now is expected to end before the process exits.
    fn can_finish_stream(&self, service: &ServiceId, tokens: u64, now: Instant) -> bool {
        self.ends_at.is_none_or(|ends_at| {
            let time = self.stream_times.get(service).copied().unwrap_or_default();
            now + time.bound(tokens) <= ends_at
        })
    }

    /// Returns the next step for a request without an attempt in flight.
    pub fn next_step(&mut self, req: &mut InFlightRequest, now: Instant) -> Step {
        self.update_versions(&req.service);
        self.backends.update_shares(now);
        self.notify_cold_changes();
        let choice = match self.plan_attempt(req, 0.0, now) {
            Ok(choice) => choice,
            Err(NoAttempt::Expired) => return Step::Refuse(self.refuse_expired(req)),
            Err(NoAttempt::Exhausted) => return Step::Refuse(self.refuse_exhausted(req, now)),
            Err(NoAttempt::Quarantined) => {
                return Step::Refuse(refusal_for(ErrorKind::Quarantined, req));
            }
            Err(NoAttempt::NoServer(reason)) => return self.wait_or_refuse(req, reason, now),
        };
        if let Err(refusal) = self.charge_retry(req, now) {
            return Step::Refuse(refusal);
        }
        let Some(attempt) = self.new_attempt(req, &choice, now) else {
            return Step::Refuse(self.refuse_exhausted(req, now));
        };
        self.backends.attempt_started(&attempt);
        if self.backends.is_cold(&attempt.server, now) {
            self.notifications.push(Notification::SentToColdServer);
        }
        if let Some(exposure) = self.exposure_mut(&req.service) {
            exposure.record_attempt(&attempt.version);
        }
        Step::Send(Box::new(attempt))
    }

    /// Counts the attempt; called once the connection is established and the request's bytes are about to be sent.
    /// Attempts at unreachable servers are not counted.
    pub fn attempt_sent(&mut self, req: &mut InFlightRequest, attempt: &Attempt, now: Instant) {
        if req.attempts == 0 {
            self.versions.entry(req.service.clone()).or_default().record_request();
            self.retries.record_first_attempt(&req.service, now);
        } else {
            self.retries.record_retry(&req.service, now);
        }
        req.waiting_for_server_since = None;
        req.last_unreachable = None;
        self.request_sent(req, now);
        self.first_event_wait_started(req, attempt, now);
        req.times = AttemptTimes::sent(attempt, now);
        req.attempts += 1;
        req.version = Some(attempt.version.clone());
        req.tried_servers.push(attempt.server.clone());
    }

    /// Handles the arrival of an answer's head and decides whether to deliver the answer.
    pub fn head_received(
        &mut self,
        req: &mut InFlightRequest,
        attempt: &Attempt,
        head: &AnswerHead,
        elapsed: Duration,
        now: Instant,
    ) -> HeadVerdict {
        if head.status == 421 {
            return HeadVerdict::Drop(AttemptOutcome::Misdirected);
        }
        self.apply_server_statements(req, attempt, head, now);
        if head.not_run {
            let retry_after = head.retry_after.unwrap_or(RETRY_AFTER_MIN).min(RETRY_AFTER_MAX);
            return HeadVerdict::Drop(AttemptOutcome::Full { retry_after });
        }
        if !head.echoes_request_id {
            return HeadVerdict::Drop(AttemptOutcome::Garbled);
        }
        self.backends.head_received(attempt, &req.parts, elapsed, now);
        req.times.record_head(head, now);
        self.request_served(req, now);
        self.first_event_wait_ended(req, true, now);
        if !req.answer_started {
            self.sample_latency_pressure(req, attempt, elapsed, now);
        }
        if !(200..300).contains(&head.status) {
            return self.handle_error_status(req, head, now);
        }
        if self.should_escalate(req, head, now) {
            return HeadVerdict::Drop(AttemptOutcome::Dropped);
        }
        // A plain answer is passed on once its body is complete.
        req.answer_started = req.route.repeatability.is_stream();
        HeadVerdict::Deliver
    }

    /// Records the arrival of a stream's event.
    pub fn event_received(
        &mut self,
        req: &mut InFlightRequest,
        attempt: &Attempt,
        gap: Option<Duration>,
        now: Instant,
    ) {
        self.backends.event_received(attempt, gap, now);
        self.record_survival(req, attempt, now);
        if let Some(pace) = req.times.record_event(attempt, now) {
            self.notify_pace(req, attempt, pace, now);
        }
    }

    /// Whether an attempt without a head should be abandoned for another one. An engine that shows activity in other
    /// answers has a queue: a retry would only move the request to the end of another queue.
    #[must_use]
    pub fn is_head_overdue(
        &self,
        req: &mut InFlightRequest,
        attempt: &Attempt,
        started: Instant,
        now: Instant,
    ) -> bool {
        let waited = now.saturating_duration_since(started);
        let is_alive = self
            .backends
            .last_activity(attempt)
            .is_some_and(|at| now.saturating_duration_since(at) < attempt.server_silence_timeout);
        let is_queued = attempt.model.is_some() && is_alive && waited < ENGINE_HEAD_WAIT_MAX;
        let is_unreachable = self.backends.is_unreachable(attempt);
        if !is_unreachable && (waited < attempt.head_timeout || is_queued) {
            return false;
        }
        let replacement = self.replacement(req, now);
        replacement.is_some_and(|choice| !is_unreachable || choice.server != attempt.server)
    }

    /// Whether a stream without an event since `since` should be resumed by another attempt. An attempt is not abandoned
    /// without a replacement, since a silent server may still continue.
    #[must_use]
    pub fn is_stalled(
        &self,
        req: &mut InFlightRequest,
        attempt: &Attempt,
        since: Instant,
        now: Instant,
    ) -> bool {
        let silence = now.saturating_duration_since(since);
        let server_silence = self
            .backends
            .last_activity(attempt)
            .map_or(silence, |at| now.saturating_duration_since(at));
        let is_unreachable = silence >= PROBE_AFTER && self.backends.is_unreachable(attempt);
        let is_server_silent = is_unreachable || server_silence >= attempt.server_silence_timeout;
        if !is_server_silent && silence < STREAM_SILENCE_TIMEOUT {
            return false;
        }
        let replacement = self.replacement(req, now);
        replacement.is_some_and(|choice| !is_server_silent || choice.server != attempt.server)
    }

    /// Returns the probe to make if the attempt's server has been silent for [`PROBE_AFTER`]; `since` is the start of
    /// the attempt's own silence.
    pub fn take_probe(&mut self, attempt: &Attempt, since: Instant, now: Instant) -> Option<Probe> {
        self.backends.take_probe(attempt, since, now)
    }

    /// Records the end of a probe.
    pub fn probe_ended(&mut self, probe: &Probe, outcome: ProbeOutcome, now: Instant) {
        self.backends.probe_ended(probe, outcome, now);
        let registration = self.backends.registration(&probe.server);
        let Some(service) = registration.map(|registration| registration.service.clone()) else {
            return;
        };
        if outcome == ProbeOutcome::Connected {
            self.server_reached(&service, now);
        } else {
            self.server_unreachable(&service, &probe.server, now);
        }
    }

    /// Handles the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        req: &mut InFlightRequest,
        attempt: &Attempt,
        had_head: bool,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        self.backends.attempt_ended(attempt, had_head, outcome, now);
        if let Some(pace) = req.times.end(attempt, outcome, now) {
            self.notify_pace(req, attempt, pace, now);
        }
        if !had_head {
            self.first_event_wait_ended(req, false, now);
        }
        self.record_for_blame(req, attempt, outcome, now);
        self.record_use(req, attempt, outcome, now);
        let was_not_started =
            matches!(outcome, AttemptOutcome::Silent | AttemptOutcome::Full { .. });
        if was_not_started && !had_head {
            let target = req.route.latency_target.unwrap_or(DEFAULT_CALLER_TIMEOUT);
            self.sample_latency_pressure(req, attempt, target, now);
        }
        match outcome {
            AttemptOutcome::Whole => {
                req.record_execution(ExecutionStatus::Ran);
                if req.route.repeatability.is_stream() {
                    let elapsed = now.saturating_duration_since(req.arrived);
                    let time = self.stream_times.entry(req.service.clone()).or_default();
                    time.sample(req.max_output_tokens, elapsed);
                }
                self.notify_evidence(req, attempt, AnswerEvidence::Ended { is_bad: false });
            }
            AttemptOutcome::Failed => {
                req.record_execution(ExecutionStatus::Ran);
                self.notify_evidence(req, attempt, AnswerEvidence::Ended { is_bad: true });
            }
            AttemptOutcome::Dropped => {
                req.record_execution(ExecutionStatus::Ran);
                req.model_index = req.route.models.len() - 1;
            }
            AttemptOutcome::Broken
            | AttemptOutcome::Garbled
            | AttemptOutcome::Silent
            | AttemptOutcome::Cancelled => {
                req.record_execution(ExecutionStatus::MayHaveRun);
            }
            AttemptOutcome::Unreachable => {
                req.tried_servers.push(attempt.server.clone());
                req.waiting_for_server_since.get_or_insert(now);
                req.last_unreachable = Some(now);
                if let Some(exposure) = self.exposure_mut(&req.service) {
                    exposure.cancel_attempt(&attempt.version);
                }
                self.server_unreachable(&attempt.service, &attempt.server, now);
                self.server_died(&attempt.server, now);
            }
            // The version has done nothing with the request, so it is not known to be worse.
            AttemptOutcome::Misdirected | AttemptOutcome::Full { .. } => req.version = None,
            AttemptOutcome::Evacuated => {
                if let Some(exposure) = self.exposure_mut(&req.service) {
                    exposure.cancel_attempt(&attempt.version);
                }
            }
        }
    }

    /// The server that the request would be sent to next if its current attempt failed now.
    fn replacement(&self, req: &mut InFlightRequest, now: Instant) -> Option<Choice> {
        let allows_retry = req.route.repeatability.allows_retry();
        allows_retry.then(|| self.plan_attempt(req, 0.0, now).ok()).flatten()
    }

    /// Chooses the server of the next attempt. `reserve` is the part of the retry allowance, from 0 to 1, that is kept
    /// for more important retries.
    fn plan_attempt(
        &self,
        req: &mut InFlightRequest,
        reserve: f64,
        now: Instant,
    ) -> Result<Choice, NoAttempt> {
        if req.deadline.saturating_duration_since(now) < MIN_TIME_LEFT {
            return Err(NoAttempt::Expired);
        }
        if !req.may_be_sent() || req.attempts >= req.route.max_attempts.max(1) {
            return Err(NoAttempt::Exhausted);
        }
        let is_first_of_trial = req.is_trial && req.attempts == 0;
        if !is_first_of_trial && self.blame.is_request_quarantined(req.fingerprint, &req.parts, now)
        {
            return Err(NoAttempt::Quarantined);
        }
        let choice = self.choose(req, now).map_err(NoAttempt::NoServer)?;
        if req.attempts > 0 && !self.retries.has_retry_allowance(&req.service, reserve, now) {
            return Err(NoAttempt::Exhausted);
        }
        Ok(choice)
    }

    /// Applies what a server states of itself in the head of an answer, whatever the answer is.
    fn apply_server_statements(
        &mut self,
        req: &InFlightRequest,
        attempt: &Attempt,
        head: &AnswerHead,
        now: Instant,
    ) {
        self.record_stated_limit(req, attempt, head.stated_limit, now);
        let sent = req.times.sent_at(attempt);
        self.backends.record_warm_up_answer(attempt, head.warm_up, sent, now);
        let server = &attempt.server;
        if head.is_leaving && self.backends.mark_leaving(attempt) {
            self.notifications.push(Notification::ServerLeaving { server: server.clone() });
        }
        if head.status == 503
            && let Some(stated) = head.retry_after
        {
            let applied = stated.min(SERVER_PAUSE_MAX);
            if self.backends.pause_server(attempt, applied, now) {
                let server = server.clone();
                self.notifications.push(Notification::ServerPaused { server, stated, applied });
            }
        }
    }

    fn handle_error_status(
        &mut self,
        req: &mut InFlightRequest,
        head: &AnswerHead,
        now: Instant,
    ) -> HeadVerdict {
        let is_server_error = head.status >= 500;
        let implies_not_run = matches!(head.status, 408 | 429 | 503);
        if is_server_error && self.replacement(req, now).is_some() {
            return HeadVerdict::Drop(AttemptOutcome::Failed);
        }
        if implies_not_run {
            // These statuses imply that the request did not run, which the server did not state, so the status must not
            // reach the caller.
            return HeadVerdict::Drop(AttemptOutcome::Failed);
        }
        HeadVerdict::Deliver
    }

    fn choose(&self, req: &InFlightRequest, now: Instant) -> Result<Choice, NoServer> {
        for preference in &self.preferences(req) {
            match self.choose_preferred(req, preference, now) {
                Err(NoServer::Unserved) => {}
                Err(NoServer::AllBusy) if preference.is_optional => {}
                other => return other,
            }
        }
        Err(NoServer::Unserved)
    }

    /// Versions that the request's next attempt may run on, in order of preference.
    fn preferences(&self, req: &InFlightRequest) -> Vec<Preference> {
        let request = VersionRequest {
            session: req.session,
            request_hash: req.request_hash,
            attempts: req.attempts,
            previous: req.version.as_ref(),
        };
        let versions = self.versions.get(&req.service);
        versions.map_or_else(
            || {
                let versions = VersionFilter::Any;
                vec![Preference { versions, trial_share: None, is_optional: false }]
            },
            |versions| versions.preferences(&request, self.cfg.exposure, self.host_count),
        )
    }

    /// Takes note of versions that came or went since the last request.
    fn update_versions(&mut self, service: &ServiceId) {
        let versions = self.versions.entry(service.clone()).or_default();
        versions.update_in_use(&self.backends.live_versions(service));
    }

    fn exposure_mut(&mut self, service: &str) -> Option<&mut Exposure> {
        self.versions.get_mut(service).and_then(ServiceVersions::exposure_mut)
    }

    fn choose_preferred(
        &self,
        req: &InFlightRequest,
        preference: &Preference,
        now: Instant,
    ) -> Result<Choice, NoServer> {
        let trial_share = preference.trial_share;
        let query = Query { trial_share, ..query(req, &preference.versions) };
        let may_reuse_tried =
            req.last_unreachable.is_none_or(|at| now >= at + SERVER_POLL_INTERVAL);
        // The server tried last is the least likely to answer.
        let last = req.tried_servers.last().map(std::slice::from_ref).unwrap_or_default();
        match self.backends.choose(&query, now) {
            Err(NoServer::AllBusy) if !last.is_empty() && query.retryable && may_reuse_tried => {
                self.backends
                    .choose(&Query { avoid: last, ..query }, now)
                    .or_else(|_| self.backends.choose(&Query { avoid: &[], ..query }, now))
            }
            other => other,
        }
    }

    fn new_attempt(&self, req: &InFlightRequest, choice: &Choice, now: Instant) -> Option<Attempt> {
        let registration = self.backends.registration(&choice.server)?;
        let model = req.model().cloned();
        let is_engine = model.is_some();
        let left = req.deadline.saturating_duration_since(now);
        let allows_retry = req.route.repeatability.allows_retry();
        let mut attempt = Attempt {
            number: req.attempts + 1,
            server: choice.server.clone(),
            generation: choice.generation,
            started_ms: registration.started_ms,
            service: req.service.clone(),
            version: registration.version.clone(),
            address: registration.address,
            deadline: req.deadline,
            head_timeout: left,
            server_silence_timeout: SERVER_SILENCE_TIMEOUT,
            has_retry_left: allows_retry && req.attempts + 1 < req.route.max_attempts,
            priority: is_engine.then(|| priority(req)),
            resume_after: req.last_event,
            fresh_connection: !allows_retry,
            prefill_tokens: choice.prefill_tokens,
            cost_ms: choice.cost_ms,
            terms: choice.terms,
            model,
        };
        if attempt.has_retry_left {
            attempt.head_timeout = self.head_timeout(&attempt, is_engine).min(left);
        }
        Some(attempt)
    }

    fn head_timeout(&self, attempt: &Attempt, is_engine: bool) -> Duration {
        let mean = self.backends.mean_first_byte(&attempt.service, attempt.model.as_deref());
        let (min, max) = if is_engine { ENGINE_HEAD_TIMEOUT } else { SERVICE_HEAD_TIMEOUT };
        let expected = mean.unwrap_or(1.0) * attempt.work() * HEAD_TIMEOUT_FACTOR;
        Duration::from_secs_f64(expected / 1_000.0).clamp(min, max)
    }

    fn wait_or_refuse(
        &mut self,
        req: &mut InFlightRequest,
        reason: NoServer,
        now: Instant,
    ) -> Step {
        let since = *req.waiting_for_server_since.get_or_insert(now);
        let target = req.route.latency_target.unwrap_or(SERVER_WAIT_MAX);
        let max_wait = if req.answer_started {
            RESUME_WAIT_MAX
        } else {
            target.mul_f64(SERVER_WAIT_SHARE).min(SERVER_WAIT_MAX)
        };
        let paused_until = self
            .preferences(req)
            .iter()
            .filter(|preference| !preference.is_optional)
            .map(|preference| query(req, &preference.versions))
            .find(|query| self.backends.is_served(query))
            .and_then(|query| self.backends.all_paused_until(&query, now));
        let is_pause_too_long = paused_until.is_some_and(|until| until > since + max_wait);
        let lacks_home = self.backends.lacks_home(&query(req, &VersionFilter::Any));
        let until = now + SERVER_POLL_INTERVAL;
        if !lacks_home && !is_pause_too_long && until <= since + max_wait && until < req.deadline {
            return Step::WaitUntil(until);
        }
        let kind = match reason {
            NoServer::Unserved => ErrorKind::NoServer,
            NoServer::AllBusy => ErrorKind::Overloaded,
        };
        if kind == ErrorKind::Overloaded {
            self.servers_busy(req, now);
        }
        let mut refusal = self.refuse(req, kind, now);
        if lacks_home && refusal.message.is_empty() {
            refusal.message = "no server in the allowed regions".to_owned();
        }
        if let Some(until) = paused_until.filter(|_| is_pause_too_long) {
            let left = until.saturating_duration_since(now);
            refusal.retry_after = refusal.retry_after.map(|wait| wait.max(left));
            if refusal.message.is_empty() {
                refusal.message = format!("servers take no request for {} ms", left.as_millis());
            }
        }
        if reason == NoServer::AllBusy && self.backends.has_cold_server(&req.service, now) {
            self.notifications.push(Notification::RefusedForColdServers);
        }
        Step::Refuse(refusal)
    }

    /// A server that warms up is slower than its version.
    fn notify_pace(&mut self, req: &InFlightRequest, attempt: &Attempt, pace: Pace, now: Instant) {
        if self.backends.is_warm(attempt, now) {
            let model = attempt.model.clone();
            self.notify_evidence(req, attempt, AnswerEvidence::Pace { model, pace });
        }
    }

    fn notify_evidence(
        &mut self,
        req: &InFlightRequest,
        attempt: &Attempt,
        evidence: AnswerEvidence,
    ) {
        self.notifications.push(Notification::Evidence {
            service: attempt.service.clone(),
            route: req.route.id.clone(),
            version: attempt.version.clone(),
            server: attempt.server.clone(),
            evidence,
        });
    }
}

/// What the request requires of a server.
fn query<'a>(req: &'a InFlightRequest, versions: &'a VersionFilter) -> Query<'a> {
    Query {
        service: &req.service,
        versions,
        trial_share: None,
        homes: Homes::of(req),
        model: req.model().map(String::as_str),
        parts: &req.parts,
        prompt_tokens: req.prompt_tokens,
        retryable: req.route.repeatability.allows_retry(),
        request_hash: req.request_hash,
        avoid: &req.tried_servers,
    }
}

/// Priority of the workspace, if it has one, otherwise of the route; from 0, the most urgent, to 9.
fn priority(req: &InFlightRequest) -> u8 {
    let workspace = req.workspace.as_ref().and_then(|workspace| workspace.priority);
    workspace.unwrap_or(req.route.priority).min(9)
}
