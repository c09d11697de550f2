//! Event loop of one run: entry hosts, engines, feeds and faults under one policy, in virtual time.
//!
//! The event loop delivers events to the hosts' policies, performs their commands and records the outcome of every
//! request. `attempts` connects hosts and engines, `feeds` delivers load reports, cache events, ratings and gossip, and
//! `rollouts` runs the roll-out controllers, which judge versions and issue vetoes.

mod attempts;
mod feeds;
mod rollouts;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::CallerId;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Idempotency;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Priority;
use foxtailhoist_model::Rating;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::SessionPin;
use foxtailhoist_model::Target;
use foxtailhoist_model::stable_hash;
use foxtailhoist_objects::MemoryStore;
use foxtailhoist_rollout::event::Event as RolloutEvent;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Event;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::policy::clock::EventQueue;
use crate::policy::clock::Time;
use crate::policy::engine::Engine;
use crate::policy::fault::Fault;
use crate::policy::host_policy::Command;
use crate::policy::host_policy::HostPolicy;
use crate::policy::kind::Policy;
use crate::policy::record::Answer;
use crate::policy::record::Record;
use crate::policy::record::VersionOutcome;
use crate::policy::site::Site;
use crate::policy::trace::Arrival;
use crate::policy::workload::Workloads;
use crate::policy::world::attempts::Attempt;
use crate::policy::world::feeds::RatingQueue;
use crate::policy::world::rollouts::RolloutControllers;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunSpec {
    pub site: Arc<Site>,
    pub workloads: Arc<Workloads>,
    pub arrivals: Arc<Vec<Arrival>>,
    pub policy: Policy,
    pub fault: Fault,
    pub seed: u64,
    /// Model of each request, for the policy that replays the router's models.
    pub replayed: Arc<Vec<usize>>,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    pub records: Vec<Record>,
    pub versions: VersionOutcome,
    /// Share of the run in which each engine was busy.
    pub utilisation: Vec<f64>,
    pub duration: Time,
}

/// A scheduled event.
#[derive(Debug)]
enum SimEvent {
    /// A request reaches its entry host.
    Arrive(usize),
    /// A request's caller disconnects unless it has been answered or refused.
    CallerTimeout(usize),
    /// An attempt reaches its engine.
    Submit(AttemptId),
    /// A cancellation reaches the engine.
    CancelAtEngine(AttemptId),
    EngineWake {
        engine: usize,
        generation: u64,
    },
    /// The first token of an attempt reaches its host.
    FirstTokenReceived(AttemptId),
    /// The complete answer of an attempt reaches its host.
    AnswerReceived(AttemptId),
    /// An attempt's failure is detected at its host.
    AttemptFailed(AttemptId, AttemptFailure),
    /// An attempt's first-byte timeout expires.
    FirstByteTimeout(AttemptId),
    /// A rating reaches the host.
    Rated {
        host: usize,
        rating: Rating,
    },
    /// A feed event or gossip from a data centre reaches a host; lost if the two are disconnected at that time.
    HostMessage {
        from: usize,
        host: usize,
        event: Box<Event>,
    },
    HostWake(usize),
    PublishLoad(usize),
    EngineUp(usize),
    CutStart,
    SlowdownStart {
        model: usize,
        factor: f64,
    },
    Rollout {
        host: usize,
        event: Box<RolloutEvent>,
    },
    RolloutWake(usize),
    ExchangeTallies,
    Configure,
}

/// One entry host.
#[derive(Debug)]
struct Host {
    policy: HostPolicy,
    /// Time of its next scheduled wake-up.
    wake: Option<Time>,
}

/// State of a run.
struct World {
    spec: RunSpec,
    queue: EventQueue<SimEvent>,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    /// Number of changes of each engine; a wake-up scheduled before the latest change is ignored.
    generations: Vec<u64>,
    /// Whether each engine is restarting after a crash.
    down: Vec<bool>,
    attempts: BTreeMap<AttemptId, Attempt>,
    records: Vec<Record>,
    /// Entry host of each request.
    host_of: Vec<usize>,
    /// Counts of each request's attempts by state.
    history: Vec<History>,
    /// Model version that last answered each session.
    sessions: BTreeMap<u32, ModelVersion>,
    cache_sequence: Vec<u64>,
    ratings: RatingQueue,
    rollouts: RolloutControllers,
    configuration: Configuration,
    store: MemoryStore,
    /// Callers whose requests were dispatched to a version while it was faulty.
    exposed: BTreeSet<CallerId>,
    /// Answers of the faulty version that the hosts have learned of.
    faulty: FaultyAnswers,
    versions: VersionOutcome,
}

/// Rated answers whose version was faulty at dispatch, and attempts that failed with a server error.
#[derive(Clone, Copy, Debug, Default)]
struct FaultyAnswers {
    rated: u64,
    failed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct History {
    failed: u32,
    completed: u32,
    running: u32,
}

/// Time for which a run continues after the last arrival's deadline.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time after its deadline at which a caller disconnects.
const CALLER_GRACE: Duration = Duration::from_millis(20);
const REQUEST_SEED: u64 = 0x7265_7175;

/// Executes a run.
#[must_use]
pub fn run(spec: RunSpec) -> RunResult {
    let mut world = World::new(spec);
    world.start();
    let last = world.spec.arrivals.last().map_or(Time::ZERO, |arrival| arrival.at);
    let end = last + world.spec.site.deadline() + SETTLING_TIME;
    while let Some(scheduled) = world.queue.pop() {
        if world.queue.now() > end {
            break;
        }
        world.process(scheduled);
    }
    world.finish(last)
}

/// Index of a request in the run's arrivals.
#[must_use]
pub fn request_index(id: RequestId) -> usize {
    usize::try_from(id & u128::from(u32::MAX)).unwrap_or(usize::MAX)
}

fn request_id(index: usize) -> RequestId {
    let hash = stable_hash(REQUEST_SEED, &[&index.to_le_bytes()]);
    (u128::from(hash) << 64) | index as u128
}

impl World {
    fn new(spec: RunSpec) -> World {
        let site = &spec.site;
        let seed_of = |host: usize| stable_hash(spec.seed, &[&host.to_le_bytes()]);
        let hosts = (0..site.hosts.len()).map(|host| {
            let policy = HostPolicy::new(spec.policy, site, host, seed_of(host), &spec.replayed);
            Host { policy, wake: None }
        });
        let engines = site.engines.iter().map(|engine| Engine::new(site.models[engine.model].spec));
        let count = spec.arrivals.len();
        let engine_count = site.engines.len();
        let rolled_out = spec.fault.rolled_out();
        World {
            queue: EventQueue::new(),
            rng: ChaCha8Rng::seed_from_u64(stable_hash(spec.seed, &[b"world"])),
            hosts: hosts.collect(),
            engines: engines.collect(),
            generations: vec![0; engine_count],
            down: vec![false; engine_count],
            attempts: BTreeMap::new(),
            records: vec![Record::default(); count],
            host_of: (0..count).map(|index| index % site.hosts.len()).collect(),
            history: vec![History::default(); count],
            sessions: BTreeMap::new(),
            cache_sequence: vec![0; engine_count],
            ratings: RatingQueue::default(),
            rollouts: RolloutControllers::new(site, spec.seed),
            configuration: site.configuration(rolled_out),
            store: MemoryStore::default(),
            exposed: BTreeSet::new(),
            faulty: FaultyAnswers::default(),
            versions: VersionOutcome::default(),
            spec,
        }
    }

    fn start(&mut self) {
        let arrivals = self.spec.arrivals.clone();
        let client_delay = self.spec.site.client_delay();
        for (index, arrival) in arrivals.iter().enumerate() {
            self.queue.push(arrival.at + client_delay, SimEvent::Arrive(index));
        }
        let servers = self.spec.site.servers(self.spec.fault.rolled_out());
        let others = u32::try_from(self.hosts.len() - 1).unwrap_or(u32::MAX);
        let configuration = Arc::new(self.configuration.clone());
        for host in 0..self.hosts.len() {
            self.handle_event(host, Event::Configured(configuration.clone()));
            self.handle_event(host, Event::Confirmed(true));
            self.handle_event(host, Event::Servers(servers.clone()));
            self.handle_event(host, Event::Hosts { alive: others });
        }
        if self.hosts.iter().any(|host| host.policy.reads_feeds()) {
            for engine in 0..self.engines.len() {
                let offset = Duration::from_millis(37 * engine as u64);
                self.queue.push_after(offset, SimEvent::PublishLoad(engine));
            }
            self.start_rollouts(&configuration);
        }
        match self.spec.fault {
            Fault::CutDataCentre { from, .. } => self.queue.push(from, SimEvent::CutStart),
            Fault::SlowServer { model, factor } => {
                self.queue.push(Time::ZERO, SimEvent::SlowdownStart { model, factor });
            }
            _ => {}
        }
    }

    fn process(&mut self, scheduled: SimEvent) {
        match scheduled {
            SimEvent::Arrive(index) => self.arrive(index),
            SimEvent::CallerTimeout(index) => self.caller_timeout(index),
            SimEvent::Submit(attempt) => self.submit(attempt),
            SimEvent::CancelAtEngine(attempt) => self.cancel_at_engine(attempt),
            SimEvent::EngineWake { engine, generation } => self.engine_wakes(engine, generation),
            SimEvent::FirstTokenReceived(attempt) => self.receive_first_token(attempt),
            SimEvent::AnswerReceived(attempt) => self.receive_answer(attempt),
            SimEvent::AttemptFailed(attempt, failure) => self.fail(attempt, failure),
            SimEvent::FirstByteTimeout(attempt) => self.first_byte_timeout(attempt),
            SimEvent::Rated { host, rating } => self.receive_rating(host, rating),
            SimEvent::HostMessage { from, host, event } => self.receive_message(from, host, *event),
            SimEvent::HostWake(host) => self.host_wakes(host),
            SimEvent::PublishLoad(engine) => self.publish_load(engine),
            SimEvent::EngineUp(engine) => self.down[engine] = false,
            SimEvent::CutStart => self.start_cut(),
            SimEvent::SlowdownStart { model, factor } => self.start_slowdown(model, factor),
            SimEvent::Rollout { host, event } => self.handle_rollout(host, *event),
            SimEvent::RolloutWake(host) => self.rollout_wakes(host),
            SimEvent::ExchangeTallies => self.exchange_tallies(),
            SimEvent::Configure => self.announce_configuration(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = Box::new(self.request(index));
        let timeout_at = self.spec.arrivals[index].at + self.spec.site.deadline() + CALLER_GRACE;
        self.queue.push(timeout_at, SimEvent::CallerTimeout(index));
        self.handle_event(self.host_of[index], Event::Arrived(request));
    }

    fn request(&self, index: usize) -> Request {
        let arrival = &self.spec.arrivals[index];
        let class = &self.spec.site.classes[arrival.class];
        let session = arrival.session.map(|session| SessionPin {
            session: format!("session-{session}"),
            version: self.sessions.get(&session).cloned(),
        });
        Request {
            id: request_id(index),
            workspace: self.spec.site.workspaces[arrival.workspace].clone(),
            caller: arrival.caller,
            target: Target::Chat {
                class: class.name.clone(),
                model: None,
                session,
                prompt_tokens: arrival.prompt_tokens,
                max_output_tokens: class.spec.output_tok * 2,
                prefix: arrival.prefix,
                prefix_tokens: arrival.prefix_tokens,
                streamed: class.spec.streamed,
            },
            priority: Priority::Normal,
            idempotency: Idempotency::Idempotent,
            deadline: self.queue.to_instant(arrival.at + self.spec.site.deadline()),
            fingerprint: arrival.fingerprint,
        }
    }

    fn caller_timeout(&mut self, index: usize) {
        let record = &self.records[index];
        if record.answer.is_none() && record.refused.is_none() {
            let request = request_id(index);
            self.handle_event(self.host_of[index], Event::CallerGone { request });
            self.records[index].refused.get_or_insert(ErrorKind::CallerGone);
        }
    }

    /// Delivers an event, performs the resulting commands and delivers the events that they return immediately.
    fn handle_event(&mut self, host: usize, event: Event) {
        let now = self.queue.instant();
        let mut pending = VecDeque::from([event]);
        while let Some(event) = pending.pop_front() {
            let commands = self.hosts[host].policy.handle(event, now);
            for command in commands {
                pending.extend(self.perform(host, command));
            }
        }
        self.schedule_wake(host);
    }

    fn schedule_wake(&mut self, host: usize) {
        let Some(due) = self.hosts[host].policy.next_wake() else {
            return;
        };
        let due = self.queue.to_time(due).max(self.queue.now());
        if self.hosts[host].wake.is_none_or(|wake| due < wake) {
            self.hosts[host].wake = Some(due);
            self.queue.push(due, SimEvent::HostWake(host));
        }
    }

    fn host_wakes(&mut self, host: usize) {
        let now = self.queue.now();
        if self.hosts[host].wake.is_some_and(|wake| wake <= now) {
            self.hosts[host].wake = None;
            self.handle_event(host, Event::Tick);
        }
    }

    /// Performs a command; returns its reply if that is immediate.
    fn perform(&mut self, host: usize, command: Command) -> Option<Event> {
        match command {
            Command::Dispatch(params) => return self.dispatch(host, params),
            Command::Cancel(attempt) => self.cancel(attempt),
            Command::Deliver { request, attempt } => self.deliver(request, attempt),
            Command::Claim(request) => return Some(Event::ClaimGranted { request }),
            Command::Bill(request) => return Some(Event::Billed { request }),
            Command::Complete { request, attempt, model_version } => {
                self.complete(request, attempt, model_version);
            }
            Command::Refuse { request, kind } => {
                self.records[request_index(request)].refused.get_or_insert(kind);
            }
            Command::Rate(request) => self.submit_for_rating(host, request),
            Command::Evidence(evidence) => self.record_evidence(host, &evidence),
            Command::Suspect(content) => self.gossip(host, &Event::Suspected(content)),
            Command::Quarantine(content) => self.gossip(host, &Event::Quarantined(content)),
            Command::Leaving(server) => self.gossip(host, &Event::Leaving(server)),
            Command::ShareQuality(shared) => {
                let from = self.spec.site.hosts[host].id.clone();
                self.gossip(host, &Event::PeerQuality { from, shared });
            }
        }
        None
    }

    fn deliver(&mut self, request: RequestId, attempt: AttemptId) {
        let index = request_index(request);
        self.records[index].delivered = Some(attempt);
        let started = self.attempts.get(&attempt).is_some_and(|attempt| attempt.first_byte);
        if started {
            self.caller_sees_first_token(index);
        }
    }

    fn caller_sees_first_token(&mut self, index: usize) {
        let after = self.queue.now() + self.spec.site.client_delay();
        let after = after.saturating_sub(self.spec.arrivals[index].at);
        self.records[index].first_token.get_or_insert(after);
    }

    fn complete(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        model_version: Option<ModelVersion>,
    ) {
        let index = request_index(request);
        let Some(done) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let after = self.queue.now() + self.spec.site.client_delay();
        let arrival = &self.spec.arrivals[index];
        let record = &mut self.records[index];
        record.useful_cost = done.cost;
        record.answer = Some(Answer {
            after: after.saturating_sub(arrival.at),
            model: done.params.model,
            next_version: done.params.next_version,
            acceptable: done.acceptable,
        });
        if let Some((session, version)) = arrival.session.zip(model_version) {
            self.sessions.insert(session, version);
        }
    }

    fn finish(mut self, last: Time) -> RunResult {
        let duration = self.queue.now().min(last);
        if self.versions.vetoed_at.is_none() {
            self.versions.rated_before = self.faulty.rated;
            self.versions.failed_before = self.faulty.failed;
        }
        self.versions.exposed = self.exposed.len();
        let callers: BTreeSet<CallerId> =
            self.spec.arrivals.iter().map(|arrival| arrival.caller).collect();
        self.versions.callers = callers.len();
        self.versions.settled = self.rolled_out_is_settled();
        let total = duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let busy = self.engines.iter().map(|engine| engine.busy().as_secs_f64() / total);
        RunResult {
            utilisation: busy.collect(),
            records: self.records,
            versions: self.versions,
            duration,
        }
    }
}
