//! The entry host: its components and the routing of events between them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_config::Adopter;
use foxtailhoist_config::AdopterConfig;
use foxtailhoist_config::adopter;
use foxtailhoist_journal::Journal;
use foxtailhoist_journal::JournalConfig;
use foxtailhoist_journal::event as journal;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::StoreResult;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_peers::Peers;
use foxtailhoist_peers::PeersConfig;
use foxtailhoist_peers::event as peers;
use foxtailhoist_rollout::Rollout;
use foxtailhoist_rollout::RolloutConfig;
use foxtailhoist_rollout::event as rollout;
use foxtailhoist_route::Router;
use foxtailhoist_route::RouterConfig;
use foxtailhoist_route::event as route;

use crate::HostConfig;
use crate::HostMessage;
use crate::calls::Calls;
use crate::calls::Owner;
use crate::commands::Commands;
use crate::event::AttemptEvent;
use crate::event::CallId;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Notification;
use crate::servers::Servers;
use crate::tally::Tallies;
use crate::vetoes::Vetoes;

/// Age at which a confirmation of the configuration expires.
const STALE_AFTER: Duration = Duration::from_secs(30);
/// Interval between publications of changed tallies.
const TALLY_INTERVAL: Duration = Duration::from_millis(250);

/// One entry host.
pub struct EntryHost {
    pub(crate) cfg: HostConfig,
    pub(crate) router: Router,
    pub(crate) journal: Journal,
    pub(crate) peers: Peers,
    pub(crate) rollout: Rollout,
    pub(crate) adopter: Adopter,
    pub(crate) commands: Commands,
    pub(crate) calls: Calls,
    pub(crate) servers: Servers,
    pub(crate) tallies: Tallies,
    pub(crate) vetoes: Vetoes,
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// Whether the configuration in force was confirmed as the store's newest within [`STALE_AFTER`].
    pub(crate) confirmed: bool,
    /// Whether this host is a watcher of its data centre.
    pub(crate) watcher: bool,
    /// Whether this host holds the lease of the roll-out controller.
    pub(crate) leading: bool,
    /// Workspaces of the requests that have not ended.
    pub(crate) running: BTreeMap<RequestId, WorkspaceId>,
    /// Claims granted to running requests.
    pub(crate) claims: BTreeMap<RequestId, ClaimKey>,
    /// Claimed requests whose outcome the journal has not reported safe yet, with the state of their bill.
    pub(crate) pending_outcomes: BTreeMap<RequestId, BillState>,
    /// Finished answers, truncated, whose outcome may have to be recorded.
    pub(crate) finished: BTreeMap<AttemptId, FinishedAnswer>,
    /// Requests that wait for the version of their session, by the token of the lookup.
    pub(crate) session_lookups: BTreeMap<u64, Box<Request>>,
    pub(crate) next_lookup_token: u64,
    pub(crate) stop_phase: StopPhase,
    pub(crate) effects: Vec<Effect>,
    pending: VecDeque<InternalEvent>,
    /// When changed tallies are published next.
    tally_at: Option<Instant>,
    clock: Clock,
}

/// Status and truncated body of an attempt's answer, kept to replay it to a retry.
#[derive(Clone, Debug)]
pub(crate) struct FinishedAnswer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Whether the journal has reported the bill of a claimed request: as committed, as replicated to peers, or as still
/// held here after a bounded wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BillState {
    Pending,
    Reported,
}

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopPhase {
    No,
    /// Requests that wait for their session are still admitted, because the host has already accepted them.
    Admitting,
    /// Waits for the running requests to finish.
    Draining,
    /// The journal commits or hands over the records it holds.
    Closing,
    Done,
}

/// An event for one component of the host, raised by another.
pub(crate) enum InternalEvent {
    Router(route::Event),
    Journal(journal::Event),
    Peers(peers::Event),
    Rollout(rollout::Event),
    Adopter(adopter::Event),
}

/// Wall-clock time of the last tick, advanced by the monotonic clock until the next one.
#[derive(Clone, Copy, Debug)]
struct Clock {
    at: Instant,
    wall: SystemTime,
}

impl EntryHost {
    /// Creates a host without configuration, peers or backend servers.
    #[must_use]
    pub fn new(cfg: HostConfig, seed: u64, now: Instant, wall: SystemTime) -> EntryHost {
        let router_config =
            RouterConfig::new(&cfg.host, &cfg.data_centre).enforcement(cfg.enforcement);
        let rollout_config = RolloutConfig::new(cfg.host.clone()).with_enforcement(cfg.enforcement);
        let adopter_config =
            AdopterConfig { stale_after: STALE_AFTER, enforcement: cfg.enforcement };
        EntryHost {
            router: Router::new(router_config, seed),
            journal: Journal::new(journal_config(&cfg), seed.wrapping_add(1)),
            peers: Peers::new(peers_config(&cfg), seed.wrapping_add(2), now),
            rollout: Rollout::new(rollout_config, seed.wrapping_add(3)),
            adopter: Adopter::new(adopter_config, seed.wrapping_add(4), now),
            commands: Commands::new(seed.wrapping_add(5)),
            calls: Calls::default(),
            servers: Servers::default(),
            tallies: Tallies::default(),
            vetoes: Vetoes::default(),
            configuration: None,
            confirmed: false,
            watcher: false,
            leading: false,
            running: BTreeMap::new(),
            claims: BTreeMap::new(),
            pending_outcomes: BTreeMap::new(),
            finished: BTreeMap::new(),
            stop_phase: StopPhase::No,
            effects: Vec::new(),
            pending: VecDeque::new(),
            tally_at: None,
            clock: Clock { at: now, wall },
            session_lookups: BTreeMap::new(),
            next_lookup_token: 0,
            cfg,
        }
    }

    /// Applies one event and returns the resulting effects, in order.
    #[must_use]
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        self.apply_event(event, now);
        self.run_pending(now);
        self.advance_stop();
        self.run_pending(now);
        // A finished answer is needed only for an outcome recorded while handling this event.
        self.finished.clear();
        std::mem::take(&mut self.effects)
    }

    /// When [`Event::Tick`] is due, unless another event comes first.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let parts = [
            self.router.next_wake(),
            self.journal.next_wake(),
            self.peers.next_wake(),
            self.rollout.next_wake(),
            self.adopter.next_wake(),
            self.commands.next_wake(),
            self.tally_at,
        ];
        parts.into_iter().flatten().min()
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether the load balancer may send requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.stop_phase == StopPhase::No
    }

    #[must_use]
    pub fn server_address(&self, server: &BackendServerId) -> Option<SocketAddr> {
        self.servers.address(server)
    }

    #[must_use]
    pub fn server_data_centre(&self, server: &BackendServerId) -> Option<&DataCentreId> {
        self.servers.data_centre(server)
    }

    /// Entry hosts that are alive and reachable, including this one until it stops.
    #[must_use]
    pub fn members(&self) -> Vec<peers::Member> {
        self.peers.members()
    }

    /// Counters of violated invariants, by component.
    #[must_use]
    pub fn invariants(&self) -> [&Invariants; 5] {
        [
            self.router.invariants(),
            self.journal.invariants(),
            self.peers.invariants(),
            self.rollout.invariants(),
            self.adopter.invariants(),
        ]
    }

    pub(crate) fn enqueue(&mut self, event: InternalEvent) {
        self.pending.push_back(event);
    }

    pub(crate) fn notify(&mut self, notification: Notification) {
        self.effects.push(Effect::Notification(notification));
    }

    /// Wall-clock time at `now`.
    pub(crate) fn wall(&self, now: Instant) -> SystemTime {
        self.clock.wall + now.saturating_duration_since(self.clock.at)
    }

    /// Removes a request that ended, with its claim.
    pub(crate) fn end_request(&mut self, request: RequestId) {
        self.running.remove(&request);
        self.claims.remove(&request);
    }

    fn apply_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Request(request) => {
                self.running.insert(request.id, request.workspace.clone());
                self.handle_request(request);
            }
            Event::CallerDisconnected { request } => self.caller_disconnected(request),
            Event::Attempt { attempt, update } => self.handle_attempt_event(attempt, update),
            Event::Store { call, result } => self.handle_store_result(call, result, now),
            Event::HostList { entry_hosts, backend_servers } => {
                let servers = self.servers.set(backend_servers, now);
                self.enqueue(InternalEvent::Router(route::Event::Servers(servers)));
                self.enqueue(InternalEvent::Peers(peers::Event::HostList(entry_hosts)));
            }
            Event::Feed { server, load, cache, leaving } => {
                let cache = cache.into_iter().map(route::Event::Cache);
                let events = load.map(route::Event::Load).into_iter().chain(cache);
                self.pending.extend(events.map(InternalEvent::Router));
                if leaving {
                    self.server_leaving(server, now);
                }
            }
            Event::Rated(rating) => {
                self.enqueue(InternalEvent::Router(route::Event::Rated(rating)))
            }
            Event::Message { from, body } => self.handle_message(from, &body),
            Event::SendFailed { to } => {
                self.enqueue(InternalEvent::Journal(journal::Event::SendFailed { to: to.clone() }));
                self.enqueue(InternalEvent::Peers(peers::Event::SendFailed { to }));
            }
            Event::Operator { command, operator_command } => {
                self.handle_command(command, *operator_command, now)
            }
            Event::Stop => self.begin_stop(),
            Event::Tick { wall } => self.tick(wall, now),
        }
    }

    fn handle_attempt_event(&mut self, attempt: AttemptId, update: AttemptEvent) {
        let event = match update {
            AttemptEvent::Sent => route::Event::Sent { attempt },
            AttemptEvent::FirstByte => route::Event::FirstByte { attempt },
            AttemptEvent::Progress { tokens } => route::Event::Progress { attempt, tokens },
            AttemptEvent::Failed(failure) => route::Event::Failed { attempt, failure },
            AttemptEvent::Finished { summary, body } => {
                if !self.claims.is_empty() {
                    self.finished.insert(attempt, FinishedAnswer { status: summary.status, body });
                }
                route::Event::Finished { attempt, summary }
            }
        };
        self.enqueue(InternalEvent::Router(event));
    }

    fn handle_store_result(&mut self, call: CallId, result: StoreResult, now: Instant) {
        let Some(open) = self.calls.close(call) else {
            return;
        };
        let call = open.owner_call;
        match open.owner {
            Owner::Journal => {
                self.enqueue(InternalEvent::Journal(journal::Event::Store { call, result }))
            }
            Owner::Rollout => {
                self.enqueue(InternalEvent::Rollout(rollout::Event::Store { call, result }))
            }
            Owner::Adopter => {
                self.enqueue(InternalEvent::Adopter(adopter::Event::Store { call, result }))
            }
            Owner::Change(change) => self.handle_change_result(change, call, result, now),
            Owner::Reader(command) => self.handle_read_result(command, result),
        }
    }

    fn handle_message(&mut self, from: String, body: &[u8]) {
        match HostMessage::decode(body) {
            Some(HostMessage::Journal(message)) => {
                self.enqueue(InternalEvent::Journal(journal::Event::Message { from, message }));
            }
            Some(HostMessage::Peers(message)) => {
                self.enqueue(InternalEvent::Peers(peers::Event::Message { from, message }))
            }
            Some(HostMessage::Quality(shared)) => {
                let shared = Arc::new(shared);
                self.enqueue(InternalEvent::Router(route::Event::PeerQuality { from, shared }));
            }
            // From a host of another release. Every sender tolerates a lost message.
            None => {}
        }
    }

    fn tick(&mut self, wall: SystemTime, now: Instant) {
        self.clock = Clock { at: now, wall };
        self.enqueue(InternalEvent::Router(route::Event::Tick));
        self.enqueue(InternalEvent::Journal(journal::Event::Tick { wall }));
        self.enqueue(InternalEvent::Peers(peers::Event::Tick));
        self.enqueue(InternalEvent::Rollout(rollout::Event::Tick));
        self.enqueue(InternalEvent::Adopter(adopter::Event::Tick));
        self.tick_commands(now);
    }

    fn run_pending(&mut self, now: Instant) {
        self.publish_tallies(now);
        while let Some(event) = self.pending.pop_front() {
            match event {
                InternalEvent::Router(event) => self.step_router(event, now),
                InternalEvent::Journal(event) => self.step_journal(event, now),
                InternalEvent::Peers(event) => self.step_peers(event, now),
                InternalEvent::Rollout(event) => self.step_rollout(event, now),
                InternalEvent::Adopter(event) => self.step_adopter(event, now),
            }
        }
        if self.tally_at.is_none() && self.tallies.has_changed() {
            self.tally_at = Some(now + TALLY_INTERVAL);
        }
    }

    fn publish_tallies(&mut self, now: Instant) {
        if self.tally_at.is_none_or(|at| now < at) {
            return;
        }
        self.tally_at = None;
        for (model_version, tally) in self.tallies.take_changed() {
            let own = rollout::Event::Own { model_version: model_version.clone(), tally };
            self.enqueue(InternalEvent::Rollout(own));
            self.enqueue(InternalEvent::Peers(peers::Event::Tally { model_version, tally }));
        }
    }

    fn begin_stop(&mut self) {
        if self.stop_phase != StopPhase::No {
            return;
        }
        self.stop_phase = StopPhase::Admitting;
        self.enqueue(InternalEvent::Rollout(rollout::Event::Stop));
    }

    /// Moves on to the next phase of a stop. The journal is closed after the last answer, because every answer may
    /// still need a bill.
    fn advance_stop(&mut self) {
        if self.stop_phase == StopPhase::Admitting && self.session_lookups.is_empty() {
            self.stop_phase = StopPhase::Draining;
            self.enqueue(InternalEvent::Router(route::Event::Stopping));
            self.enqueue(InternalEvent::Peers(peers::Event::Stop));
        }
        if self.stop_phase == StopPhase::Draining && self.running.is_empty() {
            self.stop_phase = StopPhase::Closing;
            self.enqueue(InternalEvent::Journal(journal::Event::Stop));
        }
    }
}

pub(crate) fn journal_config(cfg: &HostConfig) -> JournalConfig {
    JournalConfig::new(&cfg.host, &cfg.data_centre, cfg.incarnation).enforcement(cfg.enforcement)
}

fn peers_config(cfg: &HostConfig) -> PeersConfig {
    PeersConfig {
        host: cfg.host.clone(),
        address: cfg.peer_address,
        data_centre: cfg.data_centre.clone(),
        incarnation: cfg.incarnation,
        seeds: cfg.seeds.clone(),
        enforcement: cfg.enforcement,
    }
}
