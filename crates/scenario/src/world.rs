//! Entry hosts and what surrounds them, in virtual time.

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
use crate::Book;
use crate::Trace;
use crate::Traffic;
use crate::Turn;
use crate::Violation;
use crate::default;
use crate::network::Network;
use crate::store::Store;

/// Interval at which a host reads the host list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Calendar time at the start of every run.
const START_OF_TIME: Duration = Duration::from_secs(1_790_000_000);
/// Events that may take place at one instant; more are a loop.
const EVENTS_WITHOUT_TIME: u64 = 200_000;
/// Longest time without a tick.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    pub seed: u64,
    pub hosts: BTreeMap<EntryHostId, DataCentreId>,
    pub configuration: Configuration,
    pub traffic: Vec<Traffic>,
}

/// Entry hosts, fakes and the queue of what happens next.
pub struct World {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) rng: ChaCha8Rng,
    queue: BTreeMap<QueueKey, Happening>,
    sequence: u64,
    pub(crate) hosts: BTreeMap<EntryHostId, Slot>,
    pub(crate) store: Store,
    pub(crate) network: Network,
    pub(crate) backends: Backends,
    pub(crate) watches: BTreeMap<u64, Watch>,
    pub(crate) attempts: BTreeMap<AttemptId, Running>,
    pub(crate) traffic: Vec<Traffic>,
    pub(crate) book: Book,
    pub(crate) trace: Trace,
    pub(crate) rating_delay: Duration,
    pub(crate) commands: u64,
    pub(crate) balanced: usize,
    presets: BTreeMap<Revision, String>,
    steps: u64,
    /// Events since time last passed.
    standing: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    at: Instant,
    sequence: u64,
}

/// Something that is due.
pub(crate) enum Happening {
    /// A caller sends a request.
    Send(Turn),
    /// A caller leaves.
    Leave(RequestId),
    /// Something reaches a host.
    Deliver {
        to: Process,
        event: Box<Event>,
    },
    /// A host's clock; void when the host has since asked for an earlier time.
    Wake {
        process: Process,
        at: Instant,
    },
    /// A host reads the host list.
    ReadList(Process),
    /// A write whose caller gave up takes effect.
    LateWrite(StoreOp),
    /// A watch's wait is over.
    WatchEnds(u64),
    Act(Act),
}

/// One process of an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    pub host: EntryHostId,
    pub incarnation: Incarnation,
}

/// Place of an entry host.
pub(crate) struct Slot {
    pub host: Option<EntryHost>,
    pub data_centre: DataCentreId,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub paused_until: Option<Instant>,
    pub wake_at: Option<Instant>,
    pub revision: Revision,
}

/// A watch that waits.
pub(crate) struct Watch {
    pub process: Process,
    pub call: u64,
    pub prefix: String,
    pub after: u64,
}

/// An attempt under way.
pub(crate) struct Running {
    pub process: Process,
    pub server: BackendServerId,
}

impl World {
    /// A world whose hosts have started and whose first configuration is about to be proposed.
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
            book: Book::default(),
            trace: Trace::default(),
            rating_delay: Duration::from_secs(5),
            commands: 0,
            balanced: 0,
            presets: BTreeMap::new(),
            steps: 0,
            standing: 0,
        };
        world.add_hosts(&cfg.hosts);
        world.propose_first(cfg.configuration);
        world.plan_traffic();
        world
    }

    /// Time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Events that took place.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.steps
    }

    #[must_use]
    pub fn book(&self) -> &Book {
        &self.book
    }

    #[must_use]
    pub fn trace(&self) -> &Trace {
        &self.trace
    }

    /// Hosts that run.
    pub fn alive(&self) -> impl Iterator<Item = (&EntryHostId, &EntryHost)> {
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

    /// Plans an act.
    pub fn act_at(&mut self, at: Duration, act: Act) {
        self.schedule(self.start + at, Happening::Act(act));
    }

    /// Plans a request of a traffic.
    pub fn send_at(&mut self, at: Duration, turn: Turn) {
        self.schedule(self.start + at, Happening::Send(turn));
    }

    /// Lets time pass until `until`, at most `steps` events.
    pub fn run_until(&mut self, until: Duration, steps: u64) {
        let end = self.start + until;
        let last = self.steps.saturating_add(steps);
        while self.steps < last
            && let Some(entry) = self.queue.first_entry()
            && entry.key().at <= end
        {
            let (key, happening) = entry.remove_entry();
            self.note_progress(key.at);
            self.now = self.now.max(key.at);
            self.steps += 1;
            self.happen(happening);
        }
        if self.steps < last {
            self.now = self.now.max(end);
        }
    }

    /// Stops a run in which events cause each other without time passing.
    ///
    /// # Panics
    ///
    /// Panics with the end of the trace.
    fn note_progress(&mut self, at: Instant) {
        if at > self.now {
            self.standing = 0;
            return;
        }
        self.standing += 1;
        if self.standing > EVENTS_WITHOUT_TIME {
            let lines: Vec<&str> = self.trace.lines().collect();
            let last = lines[lines.len().saturating_sub(20)..].join("\n");
            panic!("{EVENTS_WITHOUT_TIME} events without time passing; the latest:\n{last}");
        }
    }

    pub(crate) fn schedule(&mut self, at: Instant, happening: Happening) {
        self.sequence += 1;
        self.queue.insert(QueueKey { at, sequence: self.sequence }, happening);
    }

    pub(crate) fn deliver_after(&mut self, after: Duration, to: Process, event: Event) {
        self.schedule(self.now + after, Happening::Deliver { to, event: Box::new(event) });
    }

    /// Hands an event to a process now, unless it is gone.
    pub(crate) fn hand(&mut self, to: Process, event: Event) {
        let now = self.now;
        let Some(slot) = self.hosts.get_mut(&to.host) else {
            return;
        };
        if slot.incarnation != to.incarnation {
            return;
        }
        if let Some(until) = slot.paused_until.filter(|until| now < *until) {
            return self.schedule(until, Happening::Deliver { to, event: Box::new(event) });
        }
        let Some(host) = &mut slot.host else {
            return;
        };
        let effects = host.handle(event, now);
        self.note_configuration(&to.host);
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
        self.schedule(self.now, Happening::ReadList(process.clone()));
        self.schedule(self.now, Happening::Wake { process, at: self.now });
    }

    pub(crate) fn process(&self, id: &str) -> Option<Process> {
        let slot = self.hosts.get(id)?;
        slot.host.as_ref()?;
        Some(Process { host: id.to_owned(), incarnation: slot.incarnation })
    }

    pub(crate) fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + START_OF_TIME + self.elapsed()
    }

    fn add_hosts(&mut self, hosts: &BTreeMap<EntryHostId, DataCentreId>) {
        for (number, (id, data_centre)) in (0u16..).zip(hosts) {
            let slot = Slot {
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

    fn propose_first(&mut self, configuration: Configuration) {
        let on = self.host_ids().first().cloned().unwrap_or_default();
        let order = foxtailhoist_host::operator::OperatorCommand::ConfigPropose {
            operator: "ada".to_owned(),
            why: "first configuration".to_owned(),
            configuration: Box::new(configuration),
        };
        self.act_at(Duration::from_millis(10), Act::Operator { on, order: Box::new(order) });
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Send(turn) => self.send(turn),
            Happening::Leave(request) => self.caller_leaves(request),
            Happening::Deliver { to, event } => self.arrive(to, *event),
            Happening::Wake { process, at } => self.wake(process, at),
            Happening::ReadList(process) => self.read_list(process),
            Happening::LateWrite(op) => {
                self.store.apply_late(&op);
                self.answer_watches();
            }
            Happening::WatchEnds(watch) => self.watch_ends(watch),
            Happening::Act(act) => self.act(act),
        }
    }

    /// Delivers an event, after the world has had its say about attempts.
    fn arrive(&mut self, to: Process, event: Event) {
        match event {
            Event::Attempt { attempt, update } => {
                if let Some(update) = self.attempt_news(attempt, &update) {
                    self.hand(to, Event::Attempt { attempt, update });
                }
            }
            event => self.hand(to, event),
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
            self.hand(process, Event::Tick { wall });
        }
    }

    fn set_wake(&mut self, process: &Process) {
        let latest = self.now + LONGEST_SLEEP;
        let Some(slot) = self.hosts.get_mut(&process.host) else {
            return;
        };
        let Some(host) = &slot.host else {
            return;
        };
        let at = host.next_wake().map_or(latest, |wake| wake.clamp(self.now, latest));
        if slot.wake_at.is_none_or(|planned| at < planned) {
            slot.wake_at = Some(at);
            self.schedule(at, Happening::Wake { process: process.clone(), at });
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
            self.hand(process.clone(), Event::HostList { entry_hosts, backend_servers });
        }
        self.schedule(self.now + LIST_INTERVAL, Happening::ReadList(process));
    }

    fn listed_hosts(&self) -> Vec<ListedHost> {
        let listed = |(id, slot): (&EntryHostId, &Slot)| ListedHost {
            id: id.clone(),
            address: slot.address,
            data_centre: slot.data_centre.clone(),
            presence: Presence::Live,
        };
        self.hosts.iter().map(listed).collect()
    }

    /// Checks that a host's revision never falls and that a revision has one preset everywhere.
    fn note_configuration(&mut self, id: &EntryHostId) {
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
            self.book.violations.push(violation);
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
            self.book.violations.push(violation);
        }
    }
}
