//! Backend servers: registrations, attempts in flight, health and server selection.
//!
//! Registrations are objects of the store, whose updates arrive with a delay. A server whose registration says that it
//! is leaving, or was removed, gets no new work from then on. A registration that went missing during an outage of the
//! store may only have expired, so the server is kept until a deadline. A server with another start time is a new
//! incarnation, and the state of the previous one is discarded.

mod cache;
pub(crate) mod choose;
mod health;
pub mod probe;
pub mod rate_limit;
pub mod score;
mod shared_view;
pub mod warm_up;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::Presence;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::StoreRevision;
use foxtailhoist_model::VersionId;
use serde::Deserialize;
use serde::Serialize;

use crate::backends::cache::PrefixCacheEstimate;
pub(crate) use crate::backends::choose::Query;
use crate::backends::health::DataCentreHealth;
use crate::backends::health::Health;
use crate::backends::probe::Reachability;
use crate::backends::rate_limit::KnownLimit;
use crate::backends::rate_limit::LimitFinding;
use crate::backends::rate_limit::SharedLimit;
use crate::backends::rate_limit::StatedLimit;
use crate::backends::shared_view::SharedView;
use crate::backends::warm_up::ColdServers;
use crate::backends::warm_up::KnownWarmUp;
use crate::backends::warm_up::WarmUpRule;
use crate::deal::Dealer;
use crate::deal::Hosts;
use crate::deal::Share;
use crate::evacuation::Evacuations;
use crate::homes::Regions;
use crate::in_flight::Attempt;
use crate::in_flight::AttemptOutcome;
use crate::in_flight::PromptPart;
use crate::view::ServerKey;
use crate::view::server_key;

/// Weight of a new sample in a moving average of times.
const MEAN_WEIGHT: f64 = 0.1;
/// Samples over which servers are compared: a host may have one stream at a time, and the gaps of a slow server would be
/// compared with themselves if the mean followed the last stream.
const LONG_MEAN_PROMPTS: f64 = 50.0;
const LONG_MEAN_GAPS: f64 = 500.0;

/// Number of removed servers whose statements are remembered.
const MAX_STATEMENTS: usize = 256;
/// Maximum number of servers whose limits are shared with other hosts at once.
const MAX_LIMIT_NEWS: usize = 256;
/// Rounds in which a limit is passed on after it became known.
const ROUNDS_PER_LIMIT: u8 = 3;
/// Maximum age of a message between hosts; what it says may be that much older.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(300);

/// Registration of a backend server in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    pub id: BackendServerId,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Version that the server runs.
    pub version: VersionId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    pub presence: Presence,
    /// Remaining time during which the server is slow after its start.
    pub warm_up: Duration,
    /// Start of the process in Unix milliseconds; distinguishes incarnations with the same id.
    pub started_ms: Option<u64>,
}

/// Number of a server's incarnation, unique on this host.
pub type Generation = u64;

/// Change of a server's registration, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationChange {
    Added,
    /// A new incarnation replaced the previous one.
    Restarted,
    Leaving,
    Removed,
    /// Went missing during an outage of the store; kept until a deadline.
    Missing,
    Unchanged,
}

/// All known backend servers.
#[derive(Debug)]
pub struct Backends {
    own_data_centre: DataCentreId,
    servers: BTreeMap<BackendServerId, Server>,
    services: BTreeMap<ServiceId, BTreeSet<BackendServerId>>,
    mean_times: BTreeMap<(ServiceId, Option<ModelId>), MeanTimes>,
    /// Reachability of other data centres.
    data_centres: BTreeMap<DataCentreId, DataCentreHealth>,
    evacuations: Evacuations,
    regions: Regions,
    next_generation: Generation,
    /// Statements of removed servers, which may be registered again in the same incarnation.
    removed: BTreeMap<BackendServerId, RemovedServer>,
    /// Approximate number of entry hosts that send to the same servers; this host's load is multiplied by it to
    /// estimate the total load.
    hosts_per_server: f64,
    dealer: Dealer,
    /// Servers that named a limit or are cold.
    limited: BTreeSet<BackendServerId>,
    /// Servers whose limits are to be shared with other hosts, each with the rounds left.
    limit_news: BTreeMap<BackendServerId, u8>,
    /// Whether limits to share were added since that was last asked.
    has_new_limits: bool,
    view: SharedView,
    cold: ColdServers,
}

/// What a removed server stated of itself in its answers.
#[derive(Debug)]
struct RemovedServer {
    started_ms: Option<u64>,
    statements: Statements,
    generation: Generation,
}

/// What a server stated of itself in its answers; holds for one incarnation.
#[derive(Clone, Copy, Debug, Default)]
struct Statements {
    /// Whether it is leaving; its registration may say so later.
    is_leaving: bool,
    /// End of the time for which it wants no requests.
    full_until: Option<Instant>,
    limit: KnownLimit,
    warm_up: KnownWarmUp,
}

/// State of one server.
#[derive(Debug)]
struct Server {
    /// Identifies the incarnation in messages of the shared view.
    key: ServerKey,
    registration: Registration,
    generation: Generation,
    /// Time at which the server is removed unless it is registered again.
    missing_until: Option<Instant>,
    warm_at: Instant,
    in_flight: u32,
    /// Prompt tokens of attempts without a head yet, which may still need prefill.
    pending_prefill_tokens: u64,
    /// Time of the last head or event of any answer.
    last_activity: Option<Instant>,
    statements: Statements,
    /// How the server is treated while it is cold, if its service says so.
    warm_up_rule: Option<WarmUpRule>,
    /// This host's share of the rate that all hosts together may send, if there is one.
    share: Option<Share>,
    shared_limit: SharedLimit,
    health: Health,
    reachability: Reachability,
    cache: PrefixCacheEstimate,
}

/// Moving averages of a service's times, per model.
#[derive(Clone, Copy, Debug, Default)]
struct MeanTimes {
    /// Milliseconds per unit of work up to the first byte.
    first_byte: Option<f64>,
    /// Milliseconds between two events.
    event_gap: Option<f64>,
    /// The same over many requests, to compare servers.
    long_first_byte: LongMean,
    long_event_gap: LongMean,
}

/// Mean of the first samples, then a moving average over many.
#[derive(Clone, Copy, Debug, Default)]
struct LongMean {
    mean: f64,
    count: f64,
}

impl Backends {
    /// Creates a set without servers; `own_data_centre` is the data centre of this host.
    #[must_use]
    pub fn new(own_data_centre: DataCentreId) -> Backends {
        Backends {
            own_data_centre,
            servers: BTreeMap::new(),
            services: BTreeMap::new(),
            mean_times: BTreeMap::new(),
            data_centres: BTreeMap::new(),
            evacuations: Evacuations::default(),
            regions: Regions::default(),
            next_generation: 0,
            removed: BTreeMap::new(),
            hosts_per_server: 1.0,
            dealer: Dealer::default(),
            limited: BTreeSet::new(),
            limit_news: BTreeMap::new(),
            has_new_limits: false,
            view: SharedView::default(),
            cold: ColdServers::default(),
        }
    }

    /// Sets the regions of the data centres.
    pub(crate) fn set_regions(&mut self, regions: Regions) {
        self.regions = regions;
    }

    /// Sets the number of entry hosts in this data centre.
    pub(crate) fn set_host_count(&mut self, hosts: usize) {
        self.hosts_per_server = hosts.max(1) as f64;
        self.view.set_host_count(hosts);
    }

    /// Sets the entry hosts of the fleet, which share the limits that servers name.
    pub(crate) fn set_hosts(&mut self, own: &EntryHostId, all: &[&EntryHostId]) {
        self.dealer.set_hosts(own, all);
        self.view.set_own(own);
    }

    pub(crate) fn dealer(&self) -> &Dealer {
        &self.dealer
    }

    /// Sets the Unix time of a moment.
    pub(crate) fn set_unix_time(&mut self, now: Instant, unix: Duration) {
        self.dealer.set_unix_time(now, unix);
    }

    /// Adds or updates a server's registration.
    pub fn register(&mut self, registration: Registration, now: Instant) -> RegistrationChange {
        let known = self.servers.get_mut(&registration.id);
        let change = match known {
            None => RegistrationChange::Added,
            Some(server) if server.is_other_incarnation(&registration) => {
                RegistrationChange::Restarted
            }
            Some(server) => {
                let is_leaving = registration.presence == Presence::Leaving
                    && server.registration.presence == Presence::Live;
                server.missing_until = None;
                server.warm_at = now + registration.warm_up;
                server.key = server_key(&registration);
                server.statements.warm_up.entry(registration.warm_up, now);
                self.limited.insert(registration.id.clone());
                server.registration = registration;
                return if is_leaving {
                    RegistrationChange::Leaving
                } else {
                    RegistrationChange::Unchanged
                };
            }
        };
        self.remove(&registration.id.clone());
        self.next_generation += 1;
        let members = self.services.entry(registration.service.clone()).or_default();
        members.insert(registration.id.clone());
        let rule = self.cold.rules.get(&registration.service).copied();
        let (left, started_ms) = (registration.warm_up, registration.started_ms);
        let mut server = Server::new(registration, self.next_generation, now);
        server.warm_up_rule = rule;
        let removed = self.removed.get(&server.registration.id);
        let is_restarted = change == RegistrationChange::Restarted
            || removed.is_some_and(|removed| removed.started_ms != started_ms);
        if is_restarted {
            server.statements.warm_up = KnownWarmUp::restarted(left, rule, now);
        }
        self.limited.insert(server.registration.id.clone());
        if let Some(removed) = self.removed.remove(&server.registration.id)
            && removed.started_ms.is_some()
            && removed.started_ms == server.registration.started_ms
        {
            let is_same_address = change == RegistrationChange::Added;
            let warm_up = server.statements.warm_up;
            server.statements = removed.statements;
            if is_same_address {
                server.statements.warm_up.entry(left, now);
            } else {
                server.statements.warm_up = warm_up;
            }
        }
        self.servers.insert(server.registration.id.clone(), server);
        change
    }

    /// Removes a server whose registration was removed from the store. If it went missing during an outage of the
    /// store, call [`Backends::mark_missing`] instead.
    pub fn deregister(&mut self, id: &str) -> RegistrationChange {
        if self.remove(id) { RegistrationChange::Removed } else { RegistrationChange::Unchanged }
    }

    /// Handles a registration that went missing during an outage of the store: the server is removed at `until`
    /// unless it is registered again.
    pub fn mark_missing(&mut self, id: &str, until: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.missing_until.get_or_insert(until);
        }
    }

    /// Extends the deadlines of all missing registrations after the store was restored.
    pub fn extend_missing(&mut self, until: Instant) {
        for server in self.servers.values_mut() {
            server.missing_until = server.missing_until.map(|known| known.max(until));
        }
    }

    /// Removes and returns the servers whose registration is still missing at its deadline.
    pub fn expire_missing(&mut self, now: Instant) -> Vec<BackendServerId> {
        let is_due = |server: &Server| server.missing_until.is_some_and(|until| until <= now);
        let due = self.servers.iter().filter(|(_, server)| is_due(server));
        let due: Vec<BackendServerId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.remove(id);
        }
        due
    }

    /// Sends no request to a data centre any more; returns whether it was in service.
    pub fn evacuate(&mut self, data_centre: DataCentreId, revision: StoreRevision) -> bool {
        self.evacuations.start(data_centre, revision)
    }

    /// Takes a data centre back into service; returns whether it was evacuated.
    pub fn end_evacuation(&mut self, data_centre: &str, now: Instant) -> bool {
        let was_evacuated = self.evacuations.end(data_centre);
        if was_evacuated {
            self.data_centre_returned(data_centre, now);
        }
        was_evacuated
    }

    /// Records that a data centre was taken back after an evacuation; its servers may have become cold meanwhile. The
    /// name of an object that is no known data centre leaves no trace.
    pub fn data_centre_returned(&mut self, data_centre: &str, now: Instant) {
        if self.server_count_in(data_centre) > 0 {
            self.evacuations.record_return(data_centre, now);
        }
        self.set_data_centre_cold(data_centre, now);
    }

    /// When a data centre was last taken back after an evacuation.
    #[must_use]
    pub fn returned_at(&self, data_centre: &str) -> Option<Instant> {
        self.evacuations.returned_at(data_centre)
    }

    /// Number of evacuated data centres that have servers, and of evacuations of others, which have no effect.
    #[must_use]
    pub fn evacuation_counts(&self) -> (usize, usize) {
        let total = self.evacuations.names().count();
        let idle = self.idle_data_centres();
        let known = self.evacuations.names().filter(|name| idle.contains_key(*name)).count();
        (known, total - known)
    }

    /// Number of a data centre's servers.
    #[must_use]
    pub fn server_count_in(&self, data_centre: &str) -> usize {
        let is_member = |server: &&Server| server.registration.data_centre == data_centre;
        self.servers.values().filter(is_member).count()
    }

    /// Evacuated data centres with servers on which no attempt of this host runs any more, each once, with the revision
    /// of the evacuation.
    pub fn take_drained(&mut self) -> Vec<(DataCentreId, StoreRevision)> {
        if self.evacuations.names().next().is_none() {
            return Vec::new();
        }
        let idle = self.idle_data_centres();
        self.evacuations.take_drained(|data_centre| idle.get(data_centre) == Some(&true))
    }

    /// Whether an attempt that was not sent yet must not be sent, because its server's data centre is evacuated.
    #[must_use]
    pub fn is_withdrawn(&self, attempt: &Attempt) -> bool {
        self.servers.get(&attempt.server).is_some_and(|server| self.is_evacuated(server))
    }

    fn is_evacuated(&self, server: &Server) -> bool {
        self.evacuations.is_evacuated(&server.registration.data_centre)
    }

    /// Data centres that have servers, each with whether no attempt of this host runs on any of them.
    fn idle_data_centres(&self) -> BTreeMap<DataCentreId, bool> {
        let mut idle = BTreeMap::new();
        for server in self.servers.values() {
            let is_idle = server.in_flight == 0;
            match idle.get_mut(&server.registration.data_centre) {
                Some(all) => *all &= is_idle,
                None => {
                    idle.insert(server.registration.data_centre.clone(), is_idle);
                }
            }
        }
        idle
    }

    #[must_use]
    pub fn registration(&self, id: &str) -> Option<&Registration> {
        self.servers.get(id).map(|server| &server.registration)
    }

    /// Whether any server of the service accepts new work.
    #[must_use]
    pub fn has_available_server(&self, service: &str) -> bool {
        self.members(service).any(Server::accepts_new_work)
    }

    /// Whether any server of the service that runs the version accepts new work.
    #[must_use]
    pub fn has_version(&self, service: &str, version: &str) -> bool {
        self.members(service)
            .any(|server| server.accepts_new_work() && server.registration.version == version)
    }

    /// Versions of the service whose servers accept new work.
    pub(crate) fn live_versions(&self, service: &str) -> BTreeSet<&VersionId> {
        let live = self.members(service).filter(|server| server.accepts_new_work());
        live.map(|server| &server.registration.version).collect()
    }

    /// Whether the attempt's server has warmed up.
    pub(crate) fn is_warm(&self, attempt: &Attempt, now: Instant) -> bool {
        self.incarnation(attempt)
            .is_some_and(|server| now >= server.warm_at && server.cold_rate(now).is_none())
    }

    /// Last activity of the attempt's server in any answer.
    #[must_use]
    pub fn last_activity(&self, attempt: &Attempt) -> Option<Instant> {
        self.incarnation(attempt).and_then(|server| server.last_activity)
    }

    /// Records an attempt that is about to be sent.
    pub(crate) fn attempt_started(&mut self, attempt: &Attempt) {
        if let Some(server) = self.incarnation_mut(attempt) {
            server.in_flight += 1;
            if let Some(share) = &mut server.share {
                share.use_one();
            }
            server.pending_prefill_tokens += attempt.prefill_tokens;
        }
    }

    /// Records the arrival of the answer's head.
    pub(crate) fn head_received(
        &mut self,
        attempt: &Attempt,
        parts: &[PromptPart],
        elapsed: Duration,
        now: Instant,
    ) {
        let work = attempt.work();
        let sample = elapsed.as_secs_f64() * 1_000.0 / work;
        let means = self.mean_times_mut(attempt);
        let ratio = sample_mean(&mut means.first_byte, sample);
        let long_ratio = means.long_first_byte.add(sample, LONG_MEAN_PROMPTS);
        let Some(server) = self.incarnation_mut(attempt) else {
            return;
        };
        server.last_activity = Some(now);
        server.pending_prefill_tokens =
            server.pending_prefill_tokens.saturating_sub(attempt.prefill_tokens);
        server.health.observe_speed(ratio, now);
        let Some(model) = &attempt.model else {
            return;
        };
        server.cache.record_processed(model, parts, now);
        let key = server.key;
        self.view.record_head(&attempt.service, key, long_ratio, model, parts, now);
    }

    /// Records the arrival of a stream's event, `gap` after the previous one.
    pub(crate) fn event_received(
        &mut self,
        attempt: &Attempt,
        gap: Option<Duration>,
        now: Instant,
    ) {
        let ratios = gap.map(|gap| {
            let sample = gap.as_secs_f64() * 1_000.0;
            let means = self.mean_times_mut(attempt);
            let ratio = sample_mean(&mut means.event_gap, sample);
            (ratio, means.long_event_gap.add(sample, LONG_MEAN_GAPS))
        });
        let Some(server) = self.incarnation_mut(attempt) else {
            return;
        };
        server.last_activity = Some(now);
        if let Some((ratio, long_ratio)) = ratios {
            server.health.observe_speed(ratio, now);
            let key = server.key;
            self.view.record_gap(&attempt.service, key, long_ratio);
        }
    }

    /// Records that the attempt's server stated to be leaving; returns whether that is new.
    pub(crate) fn mark_leaving(&mut self, attempt: &Attempt) -> bool {
        self.incarnation_mut(attempt)
            .is_some_and(|server| !std::mem::replace(&mut server.statements.is_leaving, true))
    }

    /// Records that the attempt's server wants no requests for a time; returns whether it was accepting them.
    pub(crate) fn pause_server(
        &mut self,
        attempt: &Attempt,
        pause: Duration,
        now: Instant,
    ) -> bool {
        let Some(server) = self.incarnation_mut(attempt) else {
            return false;
        };
        let was_full = server.is_full(now);
        server.pause_until(now + pause);
        !was_full
    }

    /// Records what the head of an attempt's answer states of the server's limit; returns whether that is new. The answer to
    /// a request that was sent before the limit was last stated does not end it.
    pub(crate) fn record_stated_limit(
        &mut self,
        attempt: &Attempt,
        stated: StatedLimit,
        sent: Option<Instant>,
        now: Instant,
    ) -> bool {
        let Some(server) = self.incarnation_mut(attempt) else {
            return false;
        };
        let limit = &mut server.statements.limit;
        let is_new = match stated {
            StatedLimit::PerSecond(per_second) => limit.state(per_second, now),
            StatedLimit::None => sent.is_some_and(|sent| limit.end(sent)),
            StatedLimit::Unreadable => return false,
        };
        self.limit_stated(&attempt.server, now);
        is_new
    }

    /// Adds other hosts' findings on limits; returns the servers whose limits they changed.
    pub(crate) fn merge_limit_findings(
        &mut self,
        findings: &[LimitFinding],
        now: Instant,
    ) -> Vec<BackendServerId> {
        let mut changed = Vec::new();
        for finding in findings {
            let known = self.servers.get_mut(&finding.server);
            let Some(server) =
                known.filter(|server| server.registration.started_ms == finding.started_ms)
            else {
                continue;
            };
            let Some(as_of) = now.checked_sub(finding.age) else {
                continue;
            };
            let limit = &mut server.statements.limit;
            let is_new = match finding.per_second {
                Some(per_second) if per_second.is_finite() && per_second >= 0.0 => {
                    limit.state(per_second, as_of)
                }
                Some(_) => false,
                None => as_of.checked_sub(MAX_MESSAGE_AGE).is_some_and(|as_of| limit.end(as_of)),
            };
            if is_new {
                changed.push(finding.server.clone());
                self.limit_stated(&finding.server, now);
            }
        }
        changed
    }

    /// Findings on limits to pass on to other hosts in this round.
    pub(crate) fn take_limit_news(&mut self, now: Instant) -> Vec<LimitFinding> {
        let news = self.limit_news.keys().filter_map(|id| self.limit_finding(id, now)).collect();
        self.limit_news.retain(|_, rounds| {
            *rounds -= 1;
            *rounds > 0
        });
        news
    }

    pub(crate) fn has_limit_news(&self) -> bool {
        !self.limit_news.is_empty()
    }

    /// Whether findings on limits to share were added since the last call.
    pub(crate) fn take_has_new_limits(&mut self) -> bool {
        std::mem::take(&mut self.has_new_limits)
    }

    /// Findings on limits in force, for a host that may have missed them.
    pub(crate) fn limit_findings(&self, now: Instant) -> Vec<LimitFinding> {
        let limited = self.servers.iter().filter(|(_, server)| server.limit().is_some());
        let findings = limited.filter_map(|(id, _)| self.limit_finding(id, now));
        findings.take(MAX_LIMIT_NEWS).collect()
    }

    fn limit_finding(&self, id: &str, now: Instant) -> Option<LimitFinding> {
        let server = self.servers.get(id)?;
        let KnownLimit { per_second, as_of } = server.statements.limit;
        Some(LimitFinding {
            server: server.registration.id.clone(),
            started_ms: server.registration.started_ms,
            per_second,
            age: now.saturating_duration_since(as_of?),
        })
    }

    /// Takes note that a server's limit was stated, and takes it into the news for other hosts if they should be told.
    fn limit_stated(&mut self, id: &BackendServerId, now: Instant) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let per_second = server.limit();
        if per_second.is_some() {
            self.limited.insert(id.clone());
        }
        let is_full = self.limit_news.len() >= MAX_LIMIT_NEWS && !self.limit_news.contains_key(id);
        if !is_full && server.shared_limit.share(per_second, now) {
            self.limit_news.insert(id.clone(), ROUNDS_PER_LIMIT);
            self.has_new_limits = true;
        }
    }

    /// Brings this host's shares of the limits of servers up to date.
    pub(crate) fn update_shares(&mut self, now: Instant) {
        self.limited.retain(|id| {
            let Some(server) = self.servers.get_mut(id) else {
                return false;
            };
            let limit = server.statements.limit.rate();
            let cold = server.cold_rate(now);
            let rate = limit.into_iter().chain(cold).reduce(f64::min);
            server.share = rate.and_then(|rate| {
                let hosts = if cold.is_some() { Hosts::KnownOfLate } else { Hosts::Present };
                Share::at(&self.dealer, id, rate, hosts, server.share, now)
            });
            rate.is_some()
        });
        self.note_cold_changes(now);
    }

    /// Requests a second that a server takes from all hosts together, if it named a limit.
    #[must_use]
    pub fn stated_limit(&self, id: &str) -> Option<f64> {
        self.servers.get(id).and_then(Server::limit)
    }

    /// Records the end of an attempt; `had_head` tells whether [`Backends::head_received`] was called for it.
    pub(crate) fn attempt_ended(
        &mut self,
        attempt: &Attempt,
        had_head: bool,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        self.record_reachability(attempt, had_head, outcome, now);
        let Some(server) = self.incarnation_mut(attempt) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if !had_head {
            server.pending_prefill_tokens =
                server.pending_prefill_tokens.saturating_sub(attempt.prefill_tokens);
        }
        match outcome {
            AttemptOutcome::Whole => server.health.record_success(now),
            AttemptOutcome::Failed | AttemptOutcome::Garbled | AttemptOutcome::Broken => {
                server.health.record_failure(now);
            }
            AttemptOutcome::Silent => {
                server.health.record_failure(now);
                server.health.pause(now);
            }
            AttemptOutcome::Unreachable => {
                server.health.pause(now);
                let key = server.key;
                self.view.forget(key);
            }
            AttemptOutcome::Misdirected => {
                // The address now belongs to another server; only a new registration makes the server usable.
                server.missing_until = Some(now);
            }
            AttemptOutcome::Full { retry_after } => server.pause_until(now + retry_after),
            AttemptOutcome::Evacuated | AttemptOutcome::Dropped | AttemptOutcome::Cancelled => {}
        }
        if outcome == AttemptOutcome::Unreachable {
            self.server_found_dead(&attempt.server, now);
        }
    }

    /// Updates the reachability of the server's data centre from an attempt's outcome.
    fn record_reachability(
        &mut self,
        attempt: &Attempt,
        had_head: bool,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let Some(server) = self.incarnation(attempt) else {
            return;
        };
        let data_centre = server.registration.data_centre.clone();
        if data_centre == self.own_data_centre {
            return;
        }
        let health = self.data_centres.entry(data_centre).or_default();
        match outcome {
            AttemptOutcome::Unreachable | AttemptOutcome::Silent => {
                health.server_unreachable(&attempt.server, now);
            }
            AttemptOutcome::Whole
            | AttemptOutcome::Failed
            | AttemptOutcome::Dropped
            | AttemptOutcome::Misdirected
            | AttemptOutcome::Full { .. } => health.server_answered(),
            AttemptOutcome::Garbled
            | AttemptOutcome::Broken
            | AttemptOutcome::Evacuated
            | AttemptOutcome::Cancelled => {
                if had_head {
                    health.server_answered();
                }
            }
        }
    }

    fn is_data_centre_paused(&self, server: &Server, now: Instant) -> bool {
        let health = self.data_centres.get(&server.registration.data_centre);
        health.is_some_and(|health| health.is_paused(now))
    }

    /// Average milliseconds per unit of work up to the first byte.
    pub(crate) fn mean_first_byte(&self, service: &str, model: Option<&str>) -> Option<f64> {
        let key = (service.to_owned(), model.map(str::to_owned));
        self.mean_times.get(&key).and_then(|mean| mean.first_byte)
    }

    /// Number of known servers of a service.
    pub(crate) fn server_count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, BTreeSet::len)
    }

    pub(crate) fn service_ids(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    fn members(&self, service: &str) -> impl Iterator<Item = &Server> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.servers.get(id))
    }

    fn mean_times_mut(&mut self, attempt: &Attempt) -> &mut MeanTimes {
        let key = (attempt.service.clone(), attempt.model.clone());
        self.mean_times.entry(key).or_default()
    }

    /// The attempt's server, unless another incarnation has replaced it since.
    fn incarnation(&self, attempt: &Attempt) -> Option<&Server> {
        let server = self.servers.get(&attempt.server)?;
        (server.generation == attempt.generation).then_some(server)
    }

    fn incarnation_mut(&mut self, attempt: &Attempt) -> Option<&mut Server> {
        let server = self.servers.get_mut(&attempt.server)?;
        (server.generation == attempt.generation).then_some(server)
    }

    fn remove(&mut self, id: &str) -> bool {
        let Some(server) = self.servers.remove(id) else {
            return false;
        };
        if let Some(members) = self.services.get_mut(&server.registration.service) {
            members.remove(id);
        }
        self.view.forget(server.key);
        let Registration { id, started_ms, .. } = server.registration;
        let Server { statements, generation, .. } = server;
        self.removed.insert(id, RemovedServer { started_ms, statements, generation });
        if self.removed.len() > MAX_STATEMENTS {
            let oldest = self.removed.iter().min_by_key(|(_, removed)| removed.generation);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.removed.remove(&id);
            }
        }
        true
    }
}

impl LongMean {
    /// Adds a sample, limited to four times the mean; returns its ratio to the mean before.
    fn add(&mut self, sample: f64, samples: f64) -> f64 {
        let before = if self.count == 0.0 { sample } else { self.mean };
        self.count = (self.count + 1.0).min(samples);
        self.mean = before + (sample.min(before * 4.0) - before) / self.count;
        sample / before.max(0.001)
    }
}

impl Server {
    fn new(registration: Registration, generation: Generation, now: Instant) -> Server {
        let warm_up = KnownWarmUp::first(registration.warm_up, now);
        Server {
            key: server_key(&registration),
            warm_at: now + registration.warm_up,
            registration,
            generation,
            missing_until: None,
            in_flight: 0,
            pending_prefill_tokens: 0,
            last_activity: None,
            statements: Statements { warm_up, ..Statements::default() },
            warm_up_rule: None,
            share: None,
            shared_limit: SharedLimit::default(),
            health: Health::new(now),
            reachability: Reachability::default(),
            cache: PrefixCacheEstimate::default(),
        }
    }

    fn is_other_incarnation(&self, registration: &Registration) -> bool {
        let restarted = match (self.registration.started_ms, registration.started_ms) {
            (Some(before), Some(after)) => before != after,
            _ => false,
        };
        restarted
            || self.registration.address != registration.address
            || self.registration.service != registration.service
    }

    fn accepts_new_work(&self) -> bool {
        self.registration.presence == Presence::Live && !self.statements.is_leaving
    }

    /// Extends the time for which the server gets no requests; it never becomes shorter.
    fn pause_until(&mut self, until: Instant) {
        self.statements.full_until = self.statements.full_until.max(Some(until));
    }

    fn is_full(&self, now: Instant) -> bool {
        self.statements.full_until.is_some_and(|until| now < until)
    }

    /// Requests a second that the server takes from all hosts together, if it named a limit.
    fn limit(&self) -> Option<f64> {
        self.statements.limit.per_second
    }

    /// Whether the server named a limit, or is cold, and this host has no share left.
    fn is_limited(&self, now: Instant) -> bool {
        (self.limit().is_some() || self.cold_rate(now).is_some())
            && !self.share.is_some_and(|share| share.has_room(now))
    }

    /// When the server takes requests again, if it takes none now because of its own statements.
    fn closed_until(&self, now: Instant) -> Option<Instant> {
        let full = self.statements.full_until.filter(|until| now < *until);
        let limited = self.is_limited(now).then(|| self.share.map_or(now, |share| share.opens()));
        full.max(limited)
    }
}

/// Adds a sample, clamped to four times the average, to a moving average; returns the ratio of the unclamped sample to
/// the previous average.
fn sample_mean(mean: &mut Option<f64>, sample: f64) -> f64 {
    let before = mean.unwrap_or(sample);
    *mean = Some(before + MEAN_WEIGHT * (sample.min(before * 4.0) - before));
    sample / before.max(0.001)
}
