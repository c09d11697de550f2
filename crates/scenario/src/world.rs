//! Entry hosts and their simulated environment, in virtual time.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_host::EntryHost;
use foxtailhoist_host::HostConfig;
use foxtailhoist_host::event::Event;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::Presence;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::StoreOp;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Act;
use crate::Backends;
use crate::Observations;
use crate::PlannedRequest;
use crate::Trace;
use crate::Traffic;
use crate::Violation;
use crate::default;
use crate::network::Network;
use crate::store::Store;

/// Interval at which a host reads the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Unix time at the start of every run.
const UNIX_TIME_AT_START: Duration = Duration::from_secs(1_790_000_000);
/// Maximum events at one instant; more indicate an endless loop.
const MAX_EVENTS_AT_ONE_INSTANT: u64 = 200_000;
/// Maximum time between two ticks of a host.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Configuration of a world.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    pub seed: u64,
    pub hosts: BTreeMap<EntryHostId, DataCentreId>,
    pub configuration: Configuration,
    pub traffic: Vec<Traffic>,
}

/// Entry hosts, fakes and the queue of future events.
pub struct World {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) rng: ChaCha8Rng,
    queue: BTreeMap<QueueKey, WorldEvent>,
    sequence: u64,
    pub(crate) hosts: BTreeMap<EntryHostId, HostSlot>,
    pub(crate) store: Store,
    pub(crate) network: Network,
    pub(crate) backends: Backends,
    pub(crate) watches: BTreeMap<u64, Watch>,
    pub(crate) attempts: BTreeMap<AttemptId, RunningAttempt>,
    pub(crate) traffic: Vec<Traffic>,
    pub(crate) observations: Observations,
    pub(crate) trace: Trace,
    pub(crate) rating_delay: Duration,
    /// Number of operators' commands so far, which is the id of the latest one.
    pub(crate) commands: u64,
    pub(crate) balancer_position: usize,
    presets: BTreeMap<Revision, String>,
    steps: u64,
    /// Events since virtual time last advanced.
    events_at_instant: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    at: Instant,
    sequence: u64,
}

/// An event in the world's queue.
pub(crate) enum WorldEvent {
    /// A caller sends a request.
    Send(PlannedRequest),
    /// A caller disconnects.
    Disconnect(RequestId),
    /// An event reaches a host.
    Deliver {
        to: Process,
        event: Box<Event>,
    },
    /// A host's timer; ignored if the host has since requested an earlier time.
    Wake {
        process: Process,
        at: Instant,
    },
    /// A host reads the host list.
    ReadList(Process),
    /// A write whose caller timed out takes effect.
    LateWrite(StoreOp),
    /// A watch's wait expires.
    ExpireWatch(u64),
    Act(Act),
}

/// One process of an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    pub host: EntryHostId,
    pub incarnation: Incarnation,
}

/// An entry host, and its process if it runs.
pub(crate) struct HostSlot {
    pub host: Option<EntryHost>,
    pub data_centre: DataCentreId,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub paused_until: Option<Instant>,
    pub wake_at: Option<Instant>,
    pub revision: Revision,
}

/// A watch that waits for a change.
pub(crate) struct Watch {
    pub process: Process,
    pub call: u64,
    pub prefix: String,
    pub after: u64,
}

/// A running attempt.
pub(crate) struct RunningAttempt {
    pub process: Process,
    pub server: BackendServerId,
}

impl World {
    /// Creates a world whose hosts have started and whose first configuration is scheduled to be proposed.
    #[must_use]
    pub fn new(cfg: WorldConfig) -> World {
        let start = Instant::now();
        let mut backends = Backends::default();
        default::add_servers(&mut backends);
        let mut world = World {
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            queue: BTreeMap::new(),
            sequence: 0,
            hosts: BTreeMap::new(),
            store: Store::new(),
            network: Network::default(),
            backends,
            watches: BTreeMap::new(),
            attempts: BTreeMap::new(),
            traffic: cfg.traffic,
            observations: Observations::default(),
            trace: Trace::default(),
            rating_delay: Duration::from_secs(5),
            commands: 0,
            balancer_position: 0,
            presets: BTreeMap::new(),
            steps: 0,
            events_at_instant: 0,
        };
        world.add_hosts(&cfg.hosts);
        world.propose_first_configuration(cfg.configuration);
        world.schedule_traffic();
        world
    }

    /// Time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Events handled.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.steps
    }

    #[must_use]
    pub fn observations(&self) -> &Observations {
        &self.observations
    }

    #[must_use]
    pub fn trace(&self) -> &Trace {
        &self.trace
    }

    /// Running hosts.
    pub fn running_hosts(&self) -> impl Iterator<Item = (&EntryHostId, &EntryHost)> {
        self.hosts.iter().filter_map(|(id, slot)| Some((id, slot.host.as_ref()?)))
    }

    #[must_use]
    pub fn host_ids(&self) -> Vec<EntryHostId> {
        self.hosts.keys().cloned().collect()
    }

    #[must_use]
    pub fn server_ids(&self) -> Vec<BackendServerId> {
        self.backends.ids().cloned().collect()
    }

    #[must_use]
    pub fn objects(&self) -> &foxtailhoist_objects::MemoryStore {
        self.store.objects()
    }

    /// Schedules an act.
    pub fn act_at(&mut self, at: Duration, act: Act) {
        self.schedule(self.start + at, WorldEvent::Act(act));
    }

    /// Schedules a request of a traffic.
    pub fn send_at(&mut self, at: Duration, planned: PlannedRequest) {
        self.schedule(self.start + at, WorldEvent::Send(planned));
    }

    /// Advances virtual time to `until`, handling at most `steps` events.
    pub fn run_until(&mut self, until: Duration, steps: u64) {
        let end = self.start + until;
        let last = self.steps.saturating_add(steps);
        while self.steps < last
            && let Some(entry) = self.queue.first_entry()
            && entry.key().at <= end
        {
            let (key, world_event) = entry.remove_entry();
            self.check_progress(key.at);
            self.now = self.now.max(key.at);
            self.steps += 1;
            self.handle_event(world_event);
        }
        if self.steps < last {
            self.now = self.now.max(end);
        }
    }

    /// Stops a run whose events keep causing each other without time advancing.
    ///
    /// # Panics
    ///
    /// Panics with the last lines of the trace when one instant has too many events.
    fn check_progress(&mut self, at: Instant) {
        if at > self.now {
            self.events_at_instant = 0;
            return;
        }
        self.events_at_instant += 1;
        if self.events_at_instant > MAX_EVENTS_AT_ONE_INSTANT {
            let lines: Vec<&str> = self.trace.lines().collect();
            let last = lines[lines.len().saturating_sub(20)..].join("\n");
            panic!(
                "{MAX_EVENTS_AT_ONE_INSTANT} events at one instant; the last trace lines:\n{last}"
            );
        }
    }

    pub(crate) fn schedule(&mut self, at: Instant, world_event: WorldEvent) {
        self.sequence += 1;
        self.queue.insert(QueueKey { at, sequence: self.sequence }, world_event);
    }

    pub(crate) fn deliver_after(&mut self, after: Duration, to: Process, event: Event) {
        self.schedule(self.now + after, WorldEvent::Deliver { to, event: Box::new(event) });
    }

    /// Delivers an event to a process now, or when its pause ends; drops it if the process has ended.
    pub(crate) fn deliver(&mut self, to: Process, event: Event) {
        let now = self.now;
        let Some(slot) = self.hosts.get_mut(&to.host) else {
            return;
        };
        if slot.incarnation != to.incarnation {
            return;
        }
        if let Some(until) = slot.paused_until.filter(|until| now < *until) {
            return self.schedule(until, WorldEvent::Deliver { to, event: Box::new(event) });
        }
        let Some(host) = &mut slot.host else {
            return;
        };
        let effects = host.handle(event, now);
        self.check_configuration(&to.host);
        for effect in effects {
            self.perform(&to, effect);
        }
        self.set_wake(&to);
    }

    /// Starts a new process of a host.
    pub(crate) fn start_host(&mut self, id: &EntryHostId) {
        let wall = self.wall();
        let seeds = self.listed_hosts();
        let seed = self.sequence.wrapping_mul(31).wrapping_add(7);
        let Some(slot) = self.hosts.get_mut(id) else {
            return;
        };
        slot.incarnation += 1;
        let cfg = HostConfig {
            host: id.clone(),
            data_centre: slot.data_centre.clone(),
            incarnation: slot.incarnation,
            peer_address: slot.address,
            seeds,
            enforcement: Enforcement::Panic,
        };
        slot.host = Some(EntryHost::new(cfg, seed, self.now, wall));
        slot.paused_until = None;
        slot.wake_at = Some(self.now);
        slot.revision = 0;
        let process = Process { host: id.clone(), incarnation: slot.incarnation };
        self.schedule(self.now, WorldEvent::ReadList(process.clone()));
        self.schedule(self.now, WorldEvent::Wake { process, at: self.now });
    }

    pub(crate) fn process(&self, id: &str) -> Option<Process> {
        let slot = self.hosts.get(id)?;
        slot.host.as_ref()?;
        Some(Process { host: id.to_owned(), incarnation: slot.incarnation })
    }

    pub(crate) fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + UNIX_TIME_AT_START + self.elapsed()
    }

    fn add_hosts(&mut self, hosts: &BTreeMap<EntryHostId, DataCentreId>) {
        for (number, (id, data_centre)) in (0u16..).zip(hosts) {
            let slot = HostSlot {
                host: None,
                data_centre: data_centre.clone(),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + number)),
                incarnation: 0,
                paused_until: None,
                wake_at: None,
                revision: 0,
            };
            self.hosts.insert(id.clone(), slot);
        }
        for id in self.host_ids() {
            self.start_host(&id);
        }
    }

    fn propose_first_configuration(&mut self, configuration: Configuration) {
        let on = self.host_ids().first().cloned().unwrap_or_default();
        let order = foxtailhoist_host::operator::OperatorCommand::ConfigPropose {
            operator: "ada".to_owned(),
            why: "first configuration".to_owned(),
            configuration: Box::new(configuration),
        };
        self.act_at(Duration::from_millis(10), Act::Operator { on, order: Box::new(order) });
    }

    fn handle_event(&mut self, world_event: WorldEvent) {
        match world_event {
            WorldEvent::Send(planned) => self.send(planned),
            WorldEvent::Disconnect(request) => self.disconnect_caller(request),
            WorldEvent::Deliver { to, event } => self.deliver_scheduled(to, *event),
            WorldEvent::Wake { process, at } => self.wake(process, at),
            WorldEvent::ReadList(process) => self.read_list(process),
            WorldEvent::LateWrite(op) => {
                self.store.apply_late(&op);
                self.answer_changed_watches();
            }
            WorldEvent::ExpireWatch(watch) => self.expire_watch(watch),
            WorldEvent::Act(act) => self.apply_act(act),
        }
    }

    /// Delivers a scheduled event; attempt updates are filtered first.
    fn deliver_scheduled(&mut self, to: Process, event: Event) {
        match event {
            Event::Attempt { attempt, update } => {
                if let Some(update) = self.filter_attempt_update(attempt, &update) {
                    self.deliver(to, Event::Attempt { attempt, update });
                }
            }
            event => self.deliver(to, event),
        }
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn wake(&mut self, process: Process, at: Instant) {
        let due = match self.hosts.get_mut(&process.host) {
            Some(slot) if slot.incarnation == process.incarnation && slot.wake_at == Some(at) => {
                slot.wake_at = None;
                true
            }
            _ => false,
        };
        if due {
            let wall = self.wall();
            self.deliver(process, Event::Tick { wall });
        }
    }

    fn set_wake(&mut self, process: &Process) {
        let latest = self.now + MAX_TICK_INTERVAL;
        let Some(slot) = self.hosts.get_mut(&process.host) else {
            return;
        };
        let Some(host) = &slot.host else {
            return;
        };
        let at = host.next_wake().map_or(latest, |wake| wake.clamp(self.now, latest));
        if slot.wake_at.is_none_or(|planned| at < planned) {
            slot.wake_at = Some(at);
            self.schedule(at, WorldEvent::Wake { process: process.clone(), at });
        }
    }

    fn read_list(&mut self, process: Process) {
        let Some(slot) = self.hosts.get(&process.host) else {
            return;
        };
        if slot.incarnation != process.incarnation {
            return;
        }
        if self.network.reaches_platform(&slot.data_centre) {
            let backend_servers = self.backends.listed(self.now);
            let entry_hosts = self.listed_hosts();
            self.deliver(process.clone(), Event::HostList { entry_hosts, backend_servers });
        }
        self.schedule(self.now + HOST_LIST_INTERVAL, WorldEvent::ReadList(process));
    }

    fn listed_hosts(&self) -> Vec<ListedHost> {
        let listed = |(id, slot): (&EntryHostId, &HostSlot)| ListedHost {
            id: id.clone(),
            address: slot.address,
            data_centre: slot.data_centre.clone(),
            presence: Presence::Live,
        };
        self.hosts.iter().map(listed).collect()
    }

    /// Checks that a host's revision never decreases and that a revision has the same preset on all hosts.
    fn check_configuration(&mut self, id: &EntryHostId) {
        let Some(slot) = self.hosts.get_mut(id) else {
            return;
        };
        let Some(configuration) = slot.host.as_ref().and_then(EntryHost::configuration) else {
            return;
        };
        let (revision, preset) = (configuration.revision, configuration.preset.clone());
        if revision < slot.revision {
            let violation =
                Violation::RevisionFell { host: id.clone(), before: slot.revision, now: revision };
            self.observations.violations.push(violation);
        }
        slot.revision = revision;
        let known = self.presets.entry(revision).or_insert_with(|| preset.clone());
        if *known != preset {
            let violation = Violation::TwoPresets {
                host: id.clone(),
                revision,
                before: known.clone(),
                now: preset,
            };
            self.observations.violations.push(violation);
        }
    }
}
