//! The entry host: its parts, and how events reach them.

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
use crate::event::AttemptEvent;
use crate::event::CallId;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Note;
use crate::operators::Operators;
use crate::servers::Servers;
use crate::tally::Tallies;
use crate::vetoes::Vetoes;

/// Age from which a confirmation of the configuration no longer counts.
const STALE_AFTER: Duration = Duration::from_secs(30);
/// Time between two publications of changed evidence.
const TALLY_INTERVAL: Duration = Duration::from_millis(250);

/// One entry host.
pub struct EntryHost {
    pub(crate) cfg: HostConfig,
    pub(crate) router: Router,
    pub(crate) journal: Journal,
    pub(crate) peers: Peers,
    pub(crate) rollout: Rollout,
    pub(crate) adopter: Adopter,
    pub(crate) operators: Operators,
    pub(crate) calls: Calls,
    pub(crate) servers: Servers,
    pub(crate) tallies: Tallies,
    pub(crate) vetoes: Vetoes,
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) confirmed: bool,
    pub(crate) watcher: bool,
    pub(crate) leading: bool,
    /// Requests that have not ended.
    pub(crate) running: BTreeMap<RequestId, WorkspaceId>,
    /// Claims that were granted to running requests.
    pub(crate) claims: BTreeMap<RequestId, ClaimKey>,
    /// Claimed requests whose outcome is not safe yet.
    pub(crate) unsafe_outcomes: BTreeMap<RequestId, BillState>,
    /// Heads of finished answers whose outcome is to be recorded.
    pub(crate) finished: BTreeMap<AttemptId, FinishedAnswer>,
    /// Requests that wait for the version of their session, by the token of the look-up.
    pub(crate) lookups: BTreeMap<u64, Box<Request>>,
    pub(crate) next_lookup: u64,
    pub(crate) stopping: Stopping,
    pub(crate) effects: Vec<Effect>,
    pending: VecDeque<Step>,
    tally_at: Option<Instant>,
    clock: Clock,
}

/// Answer of an attempt, as far as a repeat of the request needs it.
#[derive(Clone, Debug)]
pub(crate) struct FinishedAnswer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Whether the bill of a claimed request is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BillState {
    Pending,
    Safe,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stopping {
    No,
    /// Requests that wait for their session are admitted; their callers were promised an answer.
    Admitting,
    /// Running requests finish.
    Draining,
    /// The journal commits or hands over what it holds.
    Closing,
    Done,
}

/// An event for one part of the host, raised by another.
pub(crate) enum Step {
    Router(route::Event),
    Journal(journal::Event),
    Peers(peers::Event),
    Rollout(rollout::Event),
    Adopter(adopter::Event),
}

/// Calendar time, carried forward between ticks by the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct Clock {
    at: Instant,
    wall: SystemTime,
}

impl EntryHost {
    /// A host that knows nothing yet.
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
            operators: Operators::new(seed.wrapping_add(5)),
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
            unsafe_outcomes: BTreeMap::new(),
            finished: BTreeMap::new(),
            stopping: Stopping::No,
            effects: Vec::new(),
            pending: VecDeque::new(),
            tally_at: None,
            clock: Clock { at: now, wall },
            lookups: BTreeMap::new(),
            next_lookup: 0,
            cfg,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    #[must_use]
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        self.take(event, now);
        self.run_pending(now);
        self.advance_stop();
        self.run_pending(now);
        // An answer's head is of use only to the outcome that its arrival led to.
        self.finished.clear();
        std::mem::take(&mut self.effects)
    }

    /// When [`Event::Tick`] is due, if nothing else happens before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let parts = [
            self.router.next_wake(),
            self.journal.next_wake(),
            self.peers.next_wake(),
            self.rollout.next_wake(),
            self.adopter.next_wake(),
            self.operators.next_wake(),
            self.tally_at,
        ];
        parts.into_iter().flatten().min()
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether the balancer may send requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.stopping == Stopping::No
    }

    /// Address of a backend server.
    #[must_use]
    pub fn server_address(&self, server: &BackendServerId) -> Option<SocketAddr> {
        self.servers.address(server)
    }

    /// Data centre of a backend server.
    #[must_use]
    pub fn server_data_centre(&self, server: &BackendServerId) -> Option<&DataCentreId> {
        self.servers.data_centre(server)
    }

    /// Entry hosts that are alive and reachable, this one included until it stops.
    #[must_use]
    pub fn members(&self) -> Vec<peers::Member> {
        self.peers.members()
    }

    /// Counters of violated invariants, of every part.
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

    pub(crate) fn push(&mut self, step: Step) {
        self.pending.push_back(step);
    }

    pub(crate) fn note(&mut self, note: Note) {
        self.effects.push(Effect::Note(note));
    }

    /// Calendar time at `now`.
    pub(crate) fn wall(&self, now: Instant) -> SystemTime {
        self.clock.wall + now.saturating_duration_since(self.clock.at)
    }

    /// Notes that a request ended.
    pub(crate) fn end_request(&mut self, request: RequestId) {
        self.running.remove(&request);
        self.claims.remove(&request);
    }

    fn take(&mut self, event: Event, now: Instant) {
        match event {
            Event::Request(request) => {
                self.running.insert(request.id, request.workspace.clone());
                self.take_request(request);
            }
            Event::CallerGone { request } => self.caller_gone(request),
            Event::Attempt { attempt, news } => self.take_attempt(attempt, news),
            Event::Store { call, result } => self.take_store(call, result, now),
            Event::HostList { entry_hosts, backend_servers } => {
                let servers = self.servers.set(backend_servers, now);
                self.push(Step::Router(route::Event::Servers(servers)));
                self.push(Step::Peers(peers::Event::HostList(entry_hosts)));
            }
            Event::Feed { server, load, cache, leaving } => {
                let cache = cache.into_iter().map(route::Event::Cache);
                let events = load.map(route::Event::Load).into_iter().chain(cache);
                self.pending.extend(events.map(Step::Router));
                if leaving {
                    self.server_leaving(server, now);
                }
            }
            Event::Rated(rating) => self.push(Step::Router(route::Event::Rated(rating))),
            Event::Message { from, body } => self.take_message(from, &body),
            Event::SendFailed { to } => {
                self.push(Step::Journal(journal::Event::SendFailed { to: to.clone() }));
                self.push(Step::Peers(peers::Event::SendFailed { to }));
            }
            Event::Operator { command, order } => self.take_command(command, *order, now),
            Event::Stop => self.begin_stop(),
            Event::Tick { wall } => self.tick(wall, now),
        }
    }

    fn take_attempt(&mut self, attempt: AttemptId, news: AttemptEvent) {
        let event = match news {
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
        self.push(Step::Router(event));
    }

    fn take_store(&mut self, call: CallId, result: StoreResult, now: Instant) {
        let Some(open) = self.calls.close(call) else {
            return;
        };
        let call = open.inner;
        match open.owner {
            Owner::Journal => self.push(Step::Journal(journal::Event::Store { call, result })),
            Owner::Rollout => self.push(Step::Rollout(rollout::Event::Store { call, result })),
            Owner::Adopter => self.push(Step::Adopter(adopter::Event::Store { call, result })),
            Owner::Change(command) => self.take_change_result(command, call, result, now),
            Owner::Reader(command) => self.take_read(command, result),
        }
    }

    fn take_message(&mut self, from: String, body: &[u8]) {
        match HostMessage::decode(body) {
            Some(HostMessage::Journal(message)) => {
                self.push(Step::Journal(journal::Event::Message { from, message }));
            }
            Some(HostMessage::Peers(message)) => {
                self.push(Step::Peers(peers::Event::Message { from, message }))
            }
            Some(HostMessage::Quality(shared)) => {
                let shared = Arc::new(shared);
                self.push(Step::Router(route::Event::PeerQuality { from, shared }));
            }
            // A host of another release; what it says is lost, which every sender allows for.
            None => {}
        }
    }

    fn tick(&mut self, wall: SystemTime, now: Instant) {
        self.clock = Clock { at: now, wall };
        self.push(Step::Router(route::Event::Tick));
        self.push(Step::Journal(journal::Event::Tick { wall }));
        self.push(Step::Peers(peers::Event::Tick));
        self.push(Step::Rollout(rollout::Event::Tick));
        self.push(Step::Adopter(adopter::Event::Tick));
        self.tick_operators(now);
    }

    fn run_pending(&mut self, now: Instant) {
        self.publish_tallies(now);
        while let Some(step) = self.pending.pop_front() {
            match step {
                Step::Router(event) => self.step_router(event, now),
                Step::Journal(event) => self.step_journal(event, now),
                Step::Peers(event) => self.step_peers(event, now),
                Step::Rollout(event) => self.step_rollout(event, now),
                Step::Adopter(event) => self.step_adopter(event, now),
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
            let own = rollout::Event::OwnTally { model_version: model_version.clone(), tally };
            self.push(Step::Rollout(own));
            self.push(Step::Peers(peers::Event::Tally { model_version, tally }));
        }
    }

    fn begin_stop(&mut self) {
        if self.stopping != Stopping::No {
            return;
        }
        self.stopping = Stopping::Admitting;
        self.push(Step::Rollout(rollout::Event::Stop));
    }

    /// The journal is closed after the last answer, because every answer may still need a bill.
    fn advance_stop(&mut self) {
        if self.stopping == Stopping::Admitting && self.lookups.is_empty() {
            self.stopping = Stopping::Draining;
            self.push(Step::Router(route::Event::Stopping));
            self.push(Step::Peers(peers::Event::Stop));
        }
        if self.stopping == Stopping::Draining && self.running.is_empty() {
            self.stopping = Stopping::Closing;
            self.push(Step::Journal(journal::Event::Stop));
        }
    }
}

/// Settings of this host's journal.
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
