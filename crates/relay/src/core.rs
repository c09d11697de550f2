//! State shared by the tasks of one entry host. All of them run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::StoreEra;
use foxtailhoist_peers::feeds::Feeds;
use foxtailhoist_rollout::shift::Shift;
use foxtailhoist_rollout::shift::ShiftRule;
use foxtailhoist_rollout::shift::baseline::Baseline;
use foxtailhoist_rollout::shift::baseline::Finding;
use foxtailhoist_rollout::shift::baseline::Observation;
use foxtailhoist_rollout::shift::shared::HostEvidence;
use foxtailhoist_route::backends::rate_limit::LimitFinding;
use foxtailhoist_route::backends::warm_up::ColdChange;
use foxtailhoist_route::backends::warm_up::ColdFinding;
use foxtailhoist_route::blame::CrashNews;
use foxtailhoist_route::blame::Culprit;
use foxtailhoist_route::dispatch::AnswerEvidence;
use foxtailhoist_route::dispatch::Dispatcher;
use foxtailhoist_route::dispatch::Notification;
use foxtailhoist_route::in_flight::Arrival;
use foxtailhoist_route::in_flight::InFlightRequest;
use foxtailhoist_route::routes::CallerLimits;
use foxtailhoist_route::routes::Identity;
use foxtailhoist_route::start_up::StartUp;
use foxtailhoist_route::version_rule::VersionRule;
use foxtailhoist_route::view::digest::Keeper;
use http::HeaderMap;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::answer_memory::AnswerMemory;
use crate::answer_memory::AnswerShare;
use crate::answer_memory::MemoryExhausted;
use crate::caller_conn::CallerConn;
use crate::caller_conn::CallerConns;
use crate::caller_conn::CloseReason;
use crate::clock::unix_ms;
use crate::conn::Conn;
use crate::conn::ConnPool;
use crate::conn::Connect;
use crate::log_event::EventLog;
use crate::log_event::LogEvent;
use crate::memory::MachineLimits;
use crate::memory::Memory;
use crate::memory::Owner;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::store_availability::StoreAvailability;
use crate::watch_waits::WatchWaits;
use crate::wire::ObjectKind;
use crate::wire::Wire;

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    pub host: EntryHostId,
    pub data_centre: DataCentreId,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listen address for the feed of store updates to other entry hosts.
    pub peers: SocketAddr,
    /// Peer addresses of hosts that may be up, possibly including this one's.
    pub seeds: Vec<SocketAddr>,
    /// Whether the entire system starts for the first time.
    pub is_first_start: bool,
    /// Listen address for the metrics page, if any.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
    /// Time within which a change of the configuration must be in force, if known.
    pub propagation_limit: Option<Duration>,
    /// Time within which a leaving server must get no new requests, if known.
    pub drain_limit: Option<Duration>,
    /// Time within which no request may reach an evacuated data centre; `None` if none is ever evacuated.
    pub evacuate_within: Option<Duration>,
    /// Memory and file descriptors of the machine.
    pub machine: MachineLimits,
}

impl RelayConfig {
    /// Names of the settings that differ in `wanted` and take effect only after a restart.
    pub(crate) fn needs_restart(&self, wanted: &RelayConfig) -> Vec<&'static str> {
        // Port 0 matches any bound port.
        let moved = |bound: SocketAddr, wanted: SocketAddr| wanted.port() != 0 && bound != wanted;
        let changes = [
            ("host", self.host != wanted.host),
            ("data_centre", self.data_centre != wanted.data_centre),
            ("listen.callers", moved(self.callers, wanted.callers)),
            ("listen.readiness", moved(self.readiness, wanted.readiness)),
            ("listen.peers", moved(self.peers, wanted.peers)),
            ("listen.metrics", self.metrics != wanted.metrics),
            ("seeds", self.seeds != wanted.seeds),
            ("store", self.store != wanted.store),
            ("bounds.propagation_ms", self.propagation_limit != wanted.propagation_limit),
            ("bounds.drain_ms", self.drain_limit != wanted.drain_limit),
            ("evacuate_ms", self.evacuate_within != wanted.evacuate_within),
            ("memory_mb", self.machine.memory_mb != wanted.machine.memory_mb),
            ("max_fds", self.machine.max_fds != wanted.machine.max_fds),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(name, _)| name).collect()
    }
}

/// A content or part to report to the store for the deaths of servers that were beginning to answer it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspectReport {
    pub(crate) culprit: Culprit,
    pub(crate) deaths: u32,
    /// Whether the deaths were reported before and are only put back after a restore of the store.
    pub(crate) is_known: bool,
    /// When to send it.
    pub(crate) due: Instant,
}

/// Time for which a culprit must stay quarantined before it is reported, since other hosts may clear it.
const SUSPECT_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of senders whose refusal is logged.
const MAX_REFUSED_SENDERS: usize = 64;
/// Maximum number of pending suspect reports; later ones are dropped.
const MAX_PENDING_SUSPECTS: usize = 64;

/// Shared state.
pub(crate) struct Core {
    pub(crate) cfg: RelayConfig,
    pub(crate) wire: Box<dyn Wire>,
    connect: Box<dyn Connect>,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(crate) shifts: RefCell<BTreeMap<ServiceId, Shift>>,
    /// Shifts whose orders a restored store lacks, while an earlier order is in force.
    pub(crate) suspended_shifts: RefCell<BTreeMap<ServiceId, Shift>>,
    /// Answers of the versions in use.
    baselines: RefCell<BTreeMap<ServiceId, Baseline>>,
    pub(crate) pool: Rc<ConnPool>,
    pub(crate) answer_memory: Rc<AnswerMemory>,
    pub(crate) memory: Rc<Memory>,
    pub(crate) mirror: Mirror,
    pub(crate) feeds: RefCell<Feeds>,
    pub(crate) watch_waits: WatchWaits,
    /// Hosts that are not asked to take requests over until a time.
    avoided_hosts: RefCell<BTreeMap<EntryHostId, Instant>>,
    /// Whether this host watches the store itself.
    pub(crate) watching: watch::Sender<bool>,
    pub(crate) log: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) stopping: Cell<bool>,
    /// Time between the stop signal and the kill, by the settings in force.
    pub(crate) grace: Cell<Duration>,
    /// Kinds that have been completely listed once.
    listed: RefCell<BTreeSet<ObjectKind>>,
    /// Signalled when another kind has been completely listed.
    kind_listed: Notify,
    /// When the store last answered a list or a watch of the evacuations.
    pub(crate) evacuations_listed_at: Cell<Option<Instant>>,
    start_up: StartUp,
    was_ready: Cell<bool>,
    /// Quarantined culprits to report.
    pub(crate) suspects: RefCell<VecDeque<SuspectReport>>,
    pub(crate) suspects_changed: Notify,
    /// Senders of refused news.
    refused_senders: RefCell<BTreeSet<IpAddr>>,
    /// Signalled when there are findings on crashes or limits of servers to share.
    pub(crate) news: Notify,
    pub(crate) store_availability: RefCell<StoreAvailability>,
    /// Highest era of the store seen so far.
    store_era: Cell<StoreEra>,
    /// Signalled when the store turns out to have been restored from a copy.
    pub(crate) store_restored: Notify,
    has_unreadable_era: Cell<bool>,
    /// Signalled when watches that wait may never be answered: another one timed out, or the store was away meanwhile.
    pub(crate) watches_doubtful: Notify,
    /// Signalled when the store answers the configuration's watch again.
    pub(crate) store_regained: Notify,
    /// Signalled when a probe found a backend server unreachable.
    pub(crate) server_lost: Notify,
    /// Merges the reports of the hosts of this data centre, if this is one of its highest-ranked hosts.
    pub(crate) keeper: RefCell<Keeper>,
    /// Signalled when the process resumed after a suspension: known state may be stale and is fetched again.
    pub(crate) resumed: Notify,
    /// Signalled when this host may have missed crashes and what other hosts told of them.
    pub(crate) news_missed: Notify,
    /// Open connections from callers.
    pub(crate) callers: CallerConns,
    pub(crate) all_closed: Notify,
    /// Whether idle connections from callers are closed because the host is stopping.
    pub(crate) closing: watch::Sender<bool>,
    /// Whether the grace period is over: requests that end from here on are cut by this host, not by their callers.
    pub(crate) closed: Cell<bool>,
}

impl Core {
    pub(crate) fn new(
        cfg: RelayConfig,
        wire: Box<dyn Wire>,
        connect: Box<dyn Connect>,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> Rc<Core> {
        let others = cfg.seeds.iter().filter(|seed| **seed != cfg.peers);
        let seeds = others.map(|seed| (seed.to_string(), *seed)).collect();
        let feeds = Feeds::new(cfg.host.clone(), cfg.data_centre.clone(), seeds);
        Rc::new(Core {
            mirror: Mirror::default(),
            feeds: RefCell::new(feeds),
            watch_waits: WatchWaits::new(
                cfg.propagation_limit,
                cfg.drain_limit,
                cfg.evacuate_within,
            ),
            watching: watch::Sender::new(false),
            grace: Cell::new(cfg.grace),
            memory: Memory::new(cfg.machine),
            answer_memory: Rc::default(),
            cfg,
            wire,
            connect,
            avoided_hosts: RefCell::default(),
            dispatcher: RefCell::new(dispatcher),
            shifts: RefCell::default(),
            suspended_shifts: RefCell::default(),
            baselines: RefCell::default(),
            pool: Rc::default(),
            log: EventLog::new(Instant::now()),
            metrics,
            stopping: Cell::new(false),
            listed: RefCell::default(),
            kind_listed: Notify::new(),
            evacuations_listed_at: Cell::default(),
            start_up: StartUp::new(Instant::now()),
            was_ready: Cell::new(false),
            suspects: RefCell::default(),
            suspects_changed: Notify::new(),
            refused_senders: RefCell::default(),
            news: Notify::new(),
            store_availability: RefCell::default(),
            store_era: Cell::default(),
            store_restored: Notify::new(),
            has_unreadable_era: Cell::default(),
            watches_doubtful: Notify::new(),
            store_regained: Notify::new(),
            server_lost: Notify::new(),
            keeper: RefCell::new(Keeper::new(unix_ms())),
            resumed: Notify::new(),
            news_missed: Notify::new(),
            callers: CallerConns::default(),
            all_closed: Notify::new(),
            closing: watch::Sender::new(false),
            closed: Cell::new(false),
        })
    }

    /// Whose body a request has: the workspace's of its key, else its address's.
    pub(crate) fn body_owner(&self, arrival: &Arrival, address: Option<IpAddr>) -> Owner {
        let dispatcher = self.dispatcher.borrow();
        let identity = dispatcher.table().and_then(|table| {
            let route = table.find(&arrival.host, &arrival.path)?;
            Some(table.identify(route, arrival.key.as_deref()))
        });
        match identity {
            Some(Identity::Workspace(workspace)) => Owner::Workspace(workspace.id.clone()),
            Some(Identity::Anonymous | Identity::Unknown) | None => Owner::Address(address),
        }
    }

    /// Records that an answer has this size now. Where there is no memory for it, connections are closed whose callers have
    /// taken nothing of long answers for a while.
    ///
    /// # Errors
    ///
    /// Fails if the answers are too large together nevertheless.
    pub(crate) fn resize_answer(
        &self,
        share: &mut AnswerShare,
        bytes: usize,
    ) -> Result<(), MemoryExhausted> {
        loop {
            match share.resize(bytes) {
                Err(MemoryExhausted) if self.callers.close_unread() => {
                    self.metrics.caller_closed(CloseReason::Unread.name());
                }
                outcome => return outcome,
            }
        }
    }

    /// Connects to a backend server.
    ///
    /// # Errors
    ///
    /// As [`Conn::open`].
    pub(crate) async fn connect_server(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Conn> {
        Conn::open_by(&*self.connect, address, timeout).await
    }

    /// Hosts to ask to serve a request, at random, those of the own data centre first; only those that its homes allow.
    pub(crate) fn hand_over_hosts(
        &self,
        req: &InFlightRequest,
        max: usize,
    ) -> Vec<(EntryHostId, SocketAddr)> {
        let now = Instant::now();
        let mut avoided = self.avoided_hosts.borrow_mut();
        avoided.retain(|_, until| *until > now);
        let dispatcher = self.dispatcher.borrow();
        let feeds = self.feeds.borrow();
        let (mut near, mut far) = feeds.other_hosts_by_distance();
        for hosts in [&mut near, &mut far] {
            hosts.retain(|(host, _)| {
                let entry = feeds.entry(host);
                entry.is_some_and(|entry| dispatcher.may_hand_over(req, &entry.data_centre))
                    && !avoided.contains_key(host)
            });
            hosts.shuffle(&mut rand::rng());
        }
        near.into_iter().chain(far).take(max).collect()
    }

    /// Does not ask a host to take requests over until a time.
    pub(crate) fn avoid_host(&self, host: EntryHostId, until: Instant) {
        self.avoided_hosts.borrow_mut().insert(host, until);
    }

    /// Kinds of objects that this host follows.
    pub(crate) fn kinds(&self) -> impl Iterator<Item = ObjectKind> {
        ObjectKind::ALL.into_iter().filter(|kind| self.follows(*kind))
    }

    pub(crate) fn follows(&self, kind: ObjectKind) -> bool {
        kind != ObjectKind::Evacuations || self.cfg.evacuate_within.is_some()
    }

    /// Whether the host takes new connections: routes, servers, shifts and evacuations are known and it is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        let ready = self.knows_routes() && !self.stopping.get();
        if self.was_ready.replace(ready) != ready {
            self.log.write(&LogEvent::Ready(ready));
        }
        ready
    }

    /// Whether routes, servers, shifts and, where there are any, evacuations are known.
    fn knows_routes(&self) -> bool {
        let needed = [
            ObjectKind::Configuration,
            ObjectKind::Servers,
            ObjectKind::Shifts,
            ObjectKind::Evacuations,
        ];
        let listed = self.listed.borrow();
        needed.iter().all(|kind| !self.follows(*kind) || listed.contains(kind))
            && self.dispatcher.borrow().table().is_some()
    }

    /// Waits until routes, servers, shifts and evacuations are known, or until the start-up wait of a request that arrived at
    /// `arrived` ends.
    pub(crate) async fn wait_for_routes(&self, arrived: Instant, caller_timeout: Option<Duration>) {
        let until = self.start_up.wait_until(arrived, caller_timeout).into();
        while !self.knows_routes() {
            if tokio::time::timeout_at(until, self.kind_listed.notified()).await.is_err() {
                return;
            }
        }
    }

    /// Whether a kind has been completely listed.
    pub(crate) fn is_listed(&self, kind: ObjectKind) -> bool {
        self.listed.borrow().contains(&kind)
    }

    pub(crate) fn set_listed(&self, kind: ObjectKind) {
        self.listed.borrow_mut().insert(kind);
        if kind == ObjectKind::Evacuations {
            self.dispatcher.borrow_mut().set_evacuations_known();
        }
        self.kind_listed.notify_waiters();
    }

    /// Time since the known evacuations last matched the store; a host that does not watch the store relies on the hosts
    /// that do.
    pub(crate) fn evacuations_age(&self, now: Instant) -> Option<Duration> {
        if !*self.watching.borrow() {
            return self.mirror.age(now);
        }
        self.evacuations_listed_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Limits on what callers may send, by the configuration in force.
    pub(crate) fn limits(&self) -> CallerLimits {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.table().map_or_else(CallerLimits::default, |table| table.limits)
    }

    /// Logs and counts that this host closes a connection while a request is in progress on it.
    pub(crate) fn log_caller_closed(&self, conn: &CallerConn, reason: CloseReason) {
        self.metrics.caller_closed(reason.name());
        self.log.write(&LogEvent::CallerClosed {
            request: &conn.request(),
            reason: reason.name(),
            phase: conn.phase().name(),
            in_phase: conn.since().elapsed(),
            elapsed: conn.request_age(),
        });
    }

    /// How long to keep registrations that are missing from the store now, if they may merely have expired.
    pub(crate) fn keep_missing_for(&self) -> Option<Duration> {
        self.store_availability.borrow().keep_for(Instant::now())
    }

    pub(crate) fn store_era(&self) -> StoreEra {
        self.store_era.get()
    }

    /// Reads the era from the headers of a store's answer. An unreadable one is ignored, as if not stated.
    pub(crate) fn read_store_era(&self, headers: &HeaderMap) -> Option<StoreEra> {
        match self.wire.decode_era(headers) {
            Ok(era) => era.inspect(|era| self.note_store_era(*era)),
            Err(e) => {
                if !self.has_unreadable_era.replace(true) {
                    log::warn!("event=store_era_unreadable reason={:?}", e.0);
                }
                None
            }
        }
    }

    /// Records that the store has reached an era.
    pub(crate) fn note_store_era(&self, era: StoreEra) {
        let known = self.store_era.get();
        if era > known {
            self.store_era.set(era);
            self.log.write(&LogEvent::StoreEra { known, era });
            self.store_restored.notify_waiters();
        }
    }

    /// Handles the dispatcher's pending notifications: evidence for shifts, and suspected content to report.
    pub(crate) fn handle_notifications(&self) {
        let notifications = self.dispatcher.borrow_mut().take_notifications();
        for notification in notifications {
            match notification {
                Notification::Evidence { service, route, version, server, evidence } => {
                    let finding = match evidence {
                        AnswerEvidence::Ended { is_bad } => Finding::Ended { is_bad },
                        AnswerEvidence::Pace { model, pace } => Finding::Pace { model, pace },
                    };
                    self.observe(&service, &Observation { route, version, server, finding });
                }
                Notification::ServerLeaving { server } => {
                    self.log.write(&LogEvent::ServerLeaving { id: &server });
                }
                Notification::ServerPaused { server, stated, applied } => {
                    self.log.write(&LogEvent::ServerPaused { id: &server, stated, applied });
                }
                Notification::ServerLimited { server, per_second, is_own } => {
                    self.metrics.server_limited();
                    let source = if is_own { "own" } else { "peer" };
                    self.log.write(&LogEvent::ServerLimited { id: &server, per_second, source });
                }
                Notification::ServerCold(ColdChange { server, is_new, cold }) => {
                    let Some((source, left, share)) = cold else {
                        self.metrics.server_warm();
                        self.log.write(&LogEvent::ServerWarm { id: &server });
                        continue;
                    };
                    if is_new {
                        self.metrics.server_cold();
                    }
                    self.log.write(&LogEvent::ServerCold { id: &server, source, left, share });
                }
                Notification::SentToColdServer => self.metrics.cold_request("sent"),
                Notification::RefusedForColdServers => self.metrics.cold_request("refused"),
                Notification::CutOff { service } => {
                    self.metrics.cut_off();
                    self.news_missed.notify_one();
                    self.log.write(&LogEvent::CutOff { service: &service });
                }
                Notification::ReachedAgain { service, away } => {
                    self.log.write(&LogEvent::ReachedAgain { service: &service, away });
                }
                Notification::ServerDied { server, requests, sound } => {
                    self.metrics.server_died();
                    self.log.write(&LogEvent::ServerDied { id: &server, requests, sound });
                }
                Notification::Suspect { culprit, crashes } => {
                    self.log.write(&LogEvent::Suspect { culprit, crashes });
                }
                Notification::Quarantined { culprit, crashes, is_own } => {
                    self.metrics.quarantined(culprit.kind_name());
                    let source = if is_own { "own" } else { "peer" };
                    self.log.write(&LogEvent::Quarantined { culprit, crashes, source });
                    if is_own {
                        let deaths = u32::try_from(crashes).unwrap_or(u32::MAX);
                        let due = Instant::now() + SUSPECT_REPORT_DELAY;
                        self.report_suspect(SuspectReport {
                            culprit,
                            deaths,
                            is_known: false,
                            due,
                        });
                    }
                }
                Notification::Cleared { culprit, crashes } => {
                    self.metrics.crashes_cleared(culprit.kind_name(), crashes);
                    self.log.write(&LogEvent::Cleared { culprit, crashes });
                }
                Notification::Trial { request, culprit } => {
                    self.log.write(&LogEvent::Trial { request: &request, culprit });
                }
                Notification::Released { culprit } => {
                    self.log.write(&LogEvent::Released { culprit });
                }
                Notification::QuarantineDropped { culprit } => {
                    self.log.write(&LogEvent::QuarantineDropped { culprit });
                }
            }
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        if dispatcher.has_crash_news(Instant::now()) || dispatcher.take_has_new_limits() {
            self.news.notify_one();
        }
    }

    /// Adds other hosts' findings on limits of servers.
    pub(crate) fn merge_limit_findings(&self, findings: &[LimitFinding]) {
        self.dispatcher.borrow_mut().merge_limit_findings(findings, Instant::now());
        self.handle_notifications();
    }

    /// Adds other hosts' findings on cold servers.
    pub(crate) fn merge_cold_findings(&self, findings: &[ColdFinding]) {
        self.dispatcher.borrow_mut().merge_cold_findings(findings, Instant::now());
        self.handle_notifications();
    }

    /// Logs that news from a sender that is no entry host was refused, once a sender.
    pub(crate) fn refuse_news(&self, sender: IpAddr) {
        let mut refused = self.refused_senders.borrow_mut();
        if refused.len() < MAX_REFUSED_SENDERS && refused.insert(sender) {
            log::warn!("event=news_refused sender={sender} reason=\"no registered entry host\"");
        }
    }

    /// Adds what another host tells of crashes.
    pub(crate) fn merge_crash_news(&self, news: &CrashNews) {
        self.dispatcher.borrow_mut().merge_crash_news(news, Instant::now());
        self.handle_notifications();
    }

    pub(crate) fn report_suspect(&self, report: SuspectReport) {
        let mut suspects = self.suspects.borrow_mut();
        if suspects.len() < MAX_PENDING_SUSPECTS {
            suspects.push_back(report);
            self.suspects_changed.notify_one();
        }
    }

    /// Adds a finding to the service's baseline or, about the target of a shift, to the shift.
    fn observe(&self, service: &ServiceId, observation: &Observation) {
        let now = Instant::now();
        let mut baselines = self.baselines.borrow_mut();
        let baseline = baselines.entry(service.clone()).or_default();
        let mut shifts = self.shifts.borrow_mut();
        let Some(shift) = shifts.get_mut(service) else {
            return baseline.record(observation, now);
        };
        let was_withdrawn = shift.is_withdrawn();
        shift.observe(observation, baseline, now);
        let is_new = !was_withdrawn && shift.is_withdrawn();
        drop(shifts);
        if is_new {
            self.apply_shifts(now);
        }
    }

    /// Adds peers' evidence on the target of a shift.
    pub(crate) fn merge_evidence(&self, service: &str, target: &str, hosts: Vec<HostEvidence>) {
        let mut shifts = self.shifts.borrow_mut();
        let shift = shifts.get_mut(service).filter(|shift| shift.order().target == target);
        let Some(shift) = shift else {
            return;
        };
        let was_withdrawn = shift.is_withdrawn();
        shift.merge(hosts, &self.cfg.host);
        let is_new = !was_withdrawn && shift.is_withdrawn();
        drop(shifts);
        if is_new {
            self.apply_shifts(Instant::now());
        }
    }

    /// Applies the current rules of all shifts to the dispatcher.
    pub(crate) fn apply_shifts(&self, now: Instant) {
        let mut shifts = self.shifts.borrow_mut();
        let mut dispatcher = self.dispatcher.borrow_mut();
        for (service, shift) in shifts.iter_mut() {
            let rule = match shift.rule(now) {
                ShiftRule::Share { target, share, is_trial } => {
                    VersionRule::Shift { target, share, is_trial }
                }
                ShiftRule::SessionTrial { target, share } => {
                    VersionRule::SessionTrial { target, share }
                }
                ShiftRule::Only(target) => VersionRule::Only(target),
                ShiftRule::Except(target) => VersionRule::Except(target),
            };
            dispatcher.set_version_rule(service.clone(), rule);
        }
    }
}
