//! Simulation of several journals over one store in virtual time, with seeded delays and faults.

#![allow(dead_code)]

mod checks;
mod transport;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_journal::Journal;
use foxtailhoist_journal::JournalConfig;
use foxtailhoist_journal::event::BillSafety;
use foxtailhoist_journal::event::CallId;
use foxtailhoist_journal::event::Event;
use foxtailhoist_journal::event::HostLocation;
use foxtailhoist_model::Bill;
use foxtailhoist_model::Claim;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::Usage;
use foxtailhoist_objects::MemoryStore;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Active faults of the store.
#[derive(Clone, Debug)]
pub struct StoreFaults {
    pub down: bool,
    pub call_time: Duration,
    /// Share of responses that are lost after the call takes effect.
    pub lost_responses: f64,
    /// Share of writes that time out and take effect only later.
    pub late_effects: f64,
    /// Delay of those writes.
    pub late_by: Duration,
    /// Share of reads served from a copy that is several seconds old.
    pub stale_reads: f64,
}

impl Default for StoreFaults {
    fn default() -> StoreFaults {
        StoreFaults {
            down: false,
            call_time: Duration::from_millis(5),
            lost_responses: 0.0,
            late_effects: 0.0,
            late_by: Duration::from_secs(30),
            stale_reads: 0.0,
        }
    }
}

/// A notification to a request.
#[derive(Clone, Debug)]
pub struct Notification<T> {
    pub host: String,
    pub request: RequestId,
    pub value: T,
    pub at: Instant,
}

#[derive(Debug)]
struct Node {
    journal: Journal,
    incarnation: u64,
    data_centre: String,
    paused: bool,
    deferred: Vec<Event>,
    wake: Option<Instant>,
}

#[derive(Clone, Debug)]
enum Action {
    Perform { host: String, incarnation: u64, call: CallId, op: StoreOp },
    LateEffect { op: StoreOp },
    Deliver { host: String, incarnation: Option<u64>, event: Box<Event> },
    Wake { host: String, incarnation: u64 },
}

pub struct World {
    pub now: Instant,
    start: Instant,
    pub store: MemoryStore,
    pub faults: StoreFaults,
    pub cut_links: BTreeSet<(String, String)>,
    nodes: BTreeMap<String, Node>,
    queue: BTreeMap<(Instant, u64), Action>,
    next_action: u64,
    rng: ChaCha8Rng,
    stale_copies: Vec<(Instant, MemoryStore)>,
    configure: fn(JournalConfig) -> JournalConfig,
    /// Requests whose bill was passed to a journal.
    pub billed: BTreeSet<RequestId>,
    /// Times at which keys were released as not run.
    pub released: Vec<(ClaimKey, Instant)>,
    pub claims: Vec<Notification<(ClaimKey, ClaimResult)>>,
    pub bills: Vec<Notification<BillSafety>>,
    pub safe_outcomes: Vec<RequestId>,
    pub stopped: BTreeSet<String>,
    pub ops: Vec<(String, StoreOp)>,
    pub record_ops: bool,
    pub messages: u64,
    starts: u64,
    layout: (u32, u32),
}

/// Wall-clock time at which every test starts, since the Unix epoch.
pub const WALL_START: Duration = Duration::from_secs(20_000 * 86_400 + 3_600);
const MESSAGE_TIME: Duration = Duration::from_millis(4);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const STALE_COPY_INTERVAL: Duration = Duration::from_secs(2);
const MAX_STALE_COPIES: usize = 3;

impl World {
    pub fn new(seed: u64, configure: fn(JournalConfig) -> JournalConfig) -> World {
        let now = Instant::now();
        World {
            now,
            start: now,
            store: MemoryStore::default(),
            faults: StoreFaults::default(),
            cut_links: BTreeSet::new(),
            nodes: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_action: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            stale_copies: Vec::new(),
            configure,
            billed: BTreeSet::new(),
            released: Vec::new(),
            claims: Vec::new(),
            bills: Vec::new(),
            safe_outcomes: Vec::new(),
            stopped: BTreeSet::new(),
            ops: Vec::new(),
            record_ops: false,
            messages: 0,
            starts: 0,
            layout: (1, 1),
        }
    }

    /// Six hosts in three data centres.
    pub fn six_hosts(seed: u64, configure: fn(JournalConfig) -> JournalConfig) -> World {
        let mut world = World::new(seed, configure);
        for (host, data_centre) in SIX_HOSTS {
            world.start_host(host, data_centre);
        }
        world.announce();
        world
    }

    /// Sets the numbers of shards and usage parts; they must match those that `configure` sets.
    pub fn with_layout(mut self, shards: u32, parts: u32) -> World {
        self.layout = (shards, parts);
        self
    }

    pub fn start_host(&mut self, host: &str, data_centre: &str) {
        self.starts += 1;
        let incarnation = self.starts;
        let cfg =
            JournalConfig::new(host, data_centre, incarnation).enforcement(Enforcement::Panic);
        let journal = Journal::new((self.configure)(cfg), self.rng.random());
        let node = Node {
            journal,
            incarnation,
            data_centre: data_centre.to_owned(),
            paused: false,
            deferred: Vec::new(),
            wake: None,
        };
        self.stopped.remove(host);
        self.nodes.insert(host.to_owned(), node);
    }

    /// Announces all live hosts to every host.
    pub fn announce(&mut self) {
        let locations: Vec<HostLocation> = self
            .nodes
            .iter()
            .map(|(host, node)| HostLocation {
                host: host.clone(),
                data_centre: node.data_centre.clone(),
            })
            .collect();
        for host in self.hosts() {
            self.event(&host, Event::Hosts(locations.clone()));
        }
    }

    pub fn hosts(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    pub fn kill(&mut self, host: &str) {
        self.nodes.remove(host);
    }

    pub fn pause(&mut self, host: &str) {
        if let Some(node) = self.nodes.get_mut(host) {
            node.paused = true;
        }
    }

    pub fn resume(&mut self, host: &str) {
        let Some(node) = self.nodes.get_mut(host) else { return };
        node.paused = false;
        for event in std::mem::take(&mut node.deferred) {
            self.event(host, event);
        }
        self.tick(host);
    }

    pub fn is_alive(&self, host: &str) -> bool {
        self.nodes.contains_key(host)
    }

    /// Announces to a host that only the hosts in `alive` are live.
    pub fn announce_to(&mut self, host: &str, alive: &[&str]) {
        let location = |host: &&str| HostLocation {
            host: (*host).to_owned(),
            data_centre: self.nodes[*host].data_centre.clone(),
        };
        let locations = alive.iter().map(location).collect();
        self.event(host, Event::Hosts(locations));
    }

    /// Announces to every other host that all hosts but this one are live.
    pub fn announce_to_all_but(&mut self, host: &str) {
        let hosts = self.hosts();
        let alive: Vec<&str> =
            hosts.iter().map(String::as_str).filter(|other| *other != host).collect();
        for other in &alive {
            self.announce_to(other, &alive);
        }
    }

    pub fn is_paused(&self, host: &str) -> bool {
        self.nodes.get(host).is_some_and(|node| node.paused)
    }

    pub fn journal(&self, host: &str) -> &Journal {
        &self.nodes[host].journal
    }

    pub fn claim(&mut self, host: &str, key: &str, request: RequestId) {
        let claim = Claim { key: claim_key(key), request, content: 7, at: self.wall() };
        self.event(host, Event::Claim(claim));
    }

    pub fn outcome(&mut self, host: &str, key: &str, request: RequestId, outcome: ClaimOutcome) {
        if outcome == ClaimOutcome::NotRun {
            self.released.push((claim_key(key), self.now));
        }
        self.event(host, Event::Outcome { key: claim_key(key), request, outcome });
    }

    /// Bills a request under a workspace of its own, so that the sums show each bill.
    pub fn bill(&mut self, host: &str, request: RequestId) {
        if !self.is_alive(host) {
            return;
        }
        self.billed.insert(request);
        let bill = Bill {
            workspace: format!("w{request}"),
            request,
            model_version: Some(ModelVersion::new("levain", "v1")),
            usage: Usage { prompt_tokens: 10, output_tokens: 3 },
            at: self.wall(),
        };
        self.event(host, Event::Bill(bill));
    }

    pub fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + WALL_START + self.now.duration_since(self.start)
    }

    pub fn event(&mut self, host: &str, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(host) else { return };
        if node.paused {
            node.deferred.push(event);
            return;
        }
        let effects = node.journal.handle(event, now);
        let incarnation = node.incarnation;
        for effect in effects {
            self.effect(host, incarnation, effect);
        }
        self.schedule_wake(host);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), action) = entry.remove_entry();
            self.advance_to(at);
            self.act(action);
        }
        self.advance_to(end);
    }

    /// Number of store calls that all live hosts counted.
    pub fn calls(&self) -> u64 {
        self.nodes.values().map(|node| node.journal.stats().calls.total()).sum()
    }

    pub fn results(&self, key: &str) -> Vec<ClaimResult> {
        let of_key =
            self.claims.iter().filter(|notification| notification.value.0.idempotency_key == key);
        of_key.map(|notification| notification.value.1.clone()).collect()
    }

    pub fn granted(&self, key: &str) -> usize {
        self.results(key).iter().filter(|result| **result == ClaimResult::Granted).count()
    }

    pub fn safety(&self, request: RequestId) -> Option<BillSafety> {
        self.bills
            .iter()
            .find(|notification| notification.request == request)
            .map(|notification| notification.value)
    }

    /// Number of entries and replicas that hosts still hold.
    pub fn held(&self) -> usize {
        let held = |node: &Node| {
            let stats = node.journal.stats();
            stats.entries_held + stats.parked + stats.pending
        };
        self.nodes.values().map(held).sum()
    }

    /// Runs until no entries are held, for at most `limit`.
    pub fn run_until_drained(&mut self, limit: Duration) {
        let end = self.now + limit;
        while self.held() > 0 && self.now < end {
            self.run(Duration::from_secs(1));
        }
        assert_eq!(self.held(), 0, "entries are still held after {limit:?}");
    }

    fn advance_to(&mut self, at: Instant) {
        self.now = self.now.max(at);
        if self.faults.stale_reads == 0.0 {
            return;
        }
        let is_due = self
            .stale_copies
            .last()
            .is_none_or(|(taken, _)| self.now >= *taken + STALE_COPY_INTERVAL);
        if is_due {
            self.stale_copies.push((self.now, self.store.clone()));
            if self.stale_copies.len() > MAX_STALE_COPIES {
                self.stale_copies.remove(0);
            }
        }
    }
}

pub const SIX_HOSTS: [(&str, &str); 6] = [
    ("n1", "nashua"),
    ("n2", "nashua"),
    ("l1", "lowell"),
    ("l2", "lowell"),
    ("c1", "concord"),
    ("c2", "concord"),
];

/// Retention of claims under `short_retention`.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Settings with short times, so that the retention passes within a test.
pub fn short_retention(cfg: JournalConfig) -> JournalConfig {
    cfg.retention(RETENTION, Duration::from_secs(20))
        .bill_window(Duration::from_secs(1))
        .snapshot_every(4)
        .compact_batch(4)
}

pub fn claim_key(key: &str) -> ClaimKey {
    ClaimKey { workspace: "bakery".to_owned(), idempotency_key: key.to_owned() }
}

pub fn ran_outcome() -> ClaimOutcome {
    ClaimOutcome::Ran { status: 200, body: b"renewed".to_vec() }
}
