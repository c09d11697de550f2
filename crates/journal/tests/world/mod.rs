//! Several journals over one store in virtual time, with seeded delays and faults.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_journal::Journal;
use foxtailhoist_journal::JournalConfig;
use foxtailhoist_journal::JournalMessage;
use foxtailhoist_journal::UsageKey;
use foxtailhoist_journal::UsageReader;
use foxtailhoist_journal::event::BillSafety;
use foxtailhoist_journal::event::CallId;
use foxtailhoist_journal::event::Effect;
use foxtailhoist_journal::event::Event;
use foxtailhoist_journal::event::HostPlace;
use foxtailhoist_model::Bill;
use foxtailhoist_model::Claim;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;
use foxtailhoist_model::Usage;
use foxtailhoist_objects::MemoryStore;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Faults of the store that are on.
#[derive(Clone, Debug)]
pub struct StoreFaults {
    pub down: bool,
    pub call_time: Duration,
    /// Share of answers that are lost after the effect.
    pub lost_answers: f64,
    /// Share of writes that take effect only after their answer was given up, and how late.
    pub late_effects: f64,
    pub late_by: Duration,
    /// Share of reads served from a copy that is seconds old.
    pub stale_reads: f64,
}

impl Default for StoreFaults {
    fn default() -> StoreFaults {
        StoreFaults {
            down: false,
            call_time: Duration::from_millis(5),
            lost_answers: 0.0,
            late_effects: 0.0,
            late_by: Duration::from_secs(30),
            stale_reads: 0.0,
        }
    }
}

/// What a request was told.
#[derive(Clone, Debug)]
pub struct Told<T> {
    pub host: String,
    pub request: RequestId,
    pub what: T,
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
    pub network: BTreeSet<(String, String)>,
    nodes: BTreeMap<String, Node>,
    queue: BTreeMap<(Instant, u64), Action>,
    next_action: u64,
    rng: ChaCha8Rng,
    copies: Vec<(Instant, MemoryStore)>,
    template: fn(JournalConfig) -> JournalConfig,
    /// Requests whose bill was handed to a journal.
    pub billed: BTreeSet<RequestId>,
    /// Times at which keys were released as not run.
    pub released: Vec<(ClaimKey, Instant)>,
    pub claims: Vec<Told<(ClaimKey, ClaimResult)>>,
    pub bills: Vec<Told<BillSafety>>,
    pub safe_outcomes: Vec<RequestId>,
    pub stopped: BTreeSet<String>,
    pub ops: Vec<(String, StoreOp)>,
    pub record_ops: bool,
    pub messages: u64,
    starts: u64,
    layout: (u32, u32),
}

/// Time of the day on which every test starts.
pub const WALL_START: Duration = Duration::from_secs(20_000 * 86_400 + 3_600);
const MESSAGE_TIME: Duration = Duration::from_millis(4);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const COPY_INTERVAL: Duration = Duration::from_secs(2);
const COPIES_KEPT: usize = 3;

impl World {
    pub fn new(seed: u64, template: fn(JournalConfig) -> JournalConfig) -> World {
        let now = Instant::now();
        World {
            now,
            start: now,
            store: MemoryStore::default(),
            faults: StoreFaults::default(),
            network: BTreeSet::new(),
            nodes: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_action: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            copies: Vec::new(),
            template,
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
    pub fn six(seed: u64, template: fn(JournalConfig) -> JournalConfig) -> World {
        let mut world = World::new(seed, template);
        for (host, data_centre) in SIX {
            world.start_host(host, data_centre);
        }
        world.announce();
        world
    }

    /// Numbers of shards and usage parts that the template sets.
    pub fn with_layout(mut self, shards: u32, parts: u32) -> World {
        self.layout = (shards, parts);
        self
    }

    pub fn start_host(&mut self, host: &str, data_centre: &str) {
        self.starts += 1;
        let incarnation = self.starts;
        let cfg =
            JournalConfig::new(host, data_centre, incarnation).enforcement(Enforcement::Panic);
        let journal = Journal::new((self.template)(cfg), self.rng.random());
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

    /// Tells every host which hosts are alive.
    pub fn announce(&mut self) {
        let places: Vec<HostPlace> = self
            .nodes
            .iter()
            .map(|(host, node)| HostPlace {
                host: host.clone(),
                data_centre: node.data_centre.clone(),
            })
            .collect();
        for host in self.hosts() {
            self.event(&host, Event::Hosts(places.clone()));
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

    /// Tells a host that only these hosts are alive.
    pub fn announce_to(&mut self, host: &str, alive: &[&str]) {
        let place = |host: &&str| HostPlace {
            host: (*host).to_owned(),
            data_centre: self.nodes[*host].data_centre.clone(),
        };
        let places = alive.iter().map(place).collect();
        self.event(host, Event::Hosts(places));
    }

    /// Tells every other host that all hosts but this one are alive.
    pub fn announce_to_all_but(&mut self, host: &str) {
        let hosts = self.hosts();
        let alive: Vec<&str> =
            hosts.iter().map(String::as_str).filter(|other| *other != host).collect();
        for other in &alive {
            self.announce_to(other, &alive);
        }
    }

    /// Number of bills of each request in usage objects and live segments.
    pub fn usage(&mut self) -> BTreeMap<RequestId, u64> {
        let (shards, parts) = self.layout;
        let mut reader = UsageReader::new(shards, parts);
        while let Some(op) = reader.next_op() {
            let result = self.store.apply(&op);
            reader.finish(&result);
        }
        let report = reader.report().expect("everything is read");
        let request_of =
            |key: &UsageKey| key.workspace[1..].parse().expect("a workspace of a test");
        report.total().iter().map(|(key, sum)| (request_of(key), sum.bills)).collect()
    }

    /// Checks what must hold for all keys and requests once nothing is held any more.
    pub fn check(&mut self) {
        let usage = self.usage();
        let twice: Vec<_> = usage.iter().filter(|(_, bills)| **bills != 1).collect();
        assert!(twice.is_empty(), "billed more than once: {twice:?}");
        let unasked: Vec<_> = usage.keys().filter(|id| !self.billed.contains(id)).collect();
        assert!(unasked.is_empty(), "billed without a bill: {unasked:?}");
        let is_safe = |told: &&Told<BillSafety>| told.what != BillSafety::Held;
        let lost: Vec<_> = self
            .bills
            .iter()
            .filter(is_safe)
            .filter(|told| !usage.contains_key(&told.request))
            .collect();
        assert!(lost.is_empty(), "told to be safe and lost: {lost:?}");
        self.check_grants();
    }

    /// Checks that no key was granted again within its retention unless it was released as not run.
    pub fn check_grants(&self) {
        let mut granted: BTreeMap<&ClaimKey, Vec<Instant>> = BTreeMap::new();
        for told in self.claims.iter().filter(|told| told.what.1 == ClaimResult::Granted) {
            granted.entry(&told.what.0).or_default().push(told.at);
        }
        for (key, times) in granted {
            for pair in times.windows(2) {
                let is_between = |at: &Instant| pair[0] <= *at && *at <= pair[1];
                let released = self.released.iter().any(|(of, at)| of == key && is_between(at));
                let past = pair[1].duration_since(pair[0]) >= RETENTION - Duration::from_secs(2);
                assert!(released || past, "{key:?} was granted twice: {pair:?}");
            }
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

    /// Bills a request; its workspace is of its own, so that the sums show each bill.
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

    /// Calls of all hosts, by their own count.
    pub fn calls(&self) -> u64 {
        self.nodes.values().map(|node| node.journal.stats().calls.total()).sum()
    }

    pub fn results(&self, key: &str) -> Vec<ClaimResult> {
        let of_key = self.claims.iter().filter(|told| told.what.0.idempotency_key == key);
        of_key.map(|told| told.what.1.clone()).collect()
    }

    pub fn granted(&self, key: &str) -> usize {
        self.results(key).iter().filter(|result| **result == ClaimResult::Granted).count()
    }

    pub fn safety(&self, request: RequestId) -> Option<BillSafety> {
        self.bills.iter().find(|told| told.request == request).map(|told| told.what)
    }

    /// Entries that any host still has to commit.
    pub fn held(&self) -> usize {
        let held = |node: &Node| {
            let stats = node.journal.stats();
            stats.entries_held + stats.parked + stats.pending
        };
        self.nodes.values().map(held).sum()
    }

    /// Runs until nothing is held any more, at most for `limit`.
    pub fn settle(&mut self, limit: Duration) {
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
        let is_due = self.copies.last().is_none_or(|(taken, _)| self.now >= *taken + COPY_INTERVAL);
        if is_due {
            self.copies.push((self.now, self.store.clone()));
            if self.copies.len() > COPIES_KEPT {
                self.copies.remove(0);
            }
        }
    }

    fn effect(&mut self, host: &str, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Store { call, op } => self.call(host, incarnation, call, op),
            Effect::Send { to, message } => self.send(host, &to, message),
            Effect::Claimed { request, key, result } => {
                let told =
                    Told { host: host.to_owned(), request, what: (key, result), at: self.now };
                self.claims.push(told);
            }
            Effect::Billed { request, how } => {
                let told = Told { host: host.to_owned(), request, what: how, at: self.now };
                self.bills.push(told);
            }
            Effect::OutcomeSafe { request } => self.safe_outcomes.push(request),
            Effect::Stopped => {
                self.stopped.insert(host.to_owned());
            }
        }
    }

    fn call(&mut self, host: &str, incarnation: u64, call: CallId, op: StoreOp) {
        if self.record_ops {
            self.ops.push((host.to_owned(), op.clone()));
        }
        if self.faults.down {
            let result = Err(StoreError::Unavailable);
            self.reply(host, incarnation, call, result, Duration::from_millis(20));
            return;
        }
        if op.is_write() && self.rng.random_bool(self.faults.late_effects) {
            self.reply(host, incarnation, call, Err(StoreError::Unknown), CALL_TIMEOUT);
            self.schedule(self.now + self.faults.late_by, Action::LateEffect { op });
            return;
        }
        let half = self.faults.call_time.mul_f64(self.rng.random_range(0.4..0.6));
        let host = host.to_owned();
        self.schedule(self.now + half, Action::Perform { host, incarnation, call, op });
    }

    fn perform(&mut self, host: &str, incarnation: u64, call: CallId, op: &StoreOp) {
        let half = self.faults.call_time.mul_f64(self.rng.random_range(0.4..0.6));
        let is_stale = !op.is_write() && self.rng.random_bool(self.faults.stale_reads);
        let stale = self.copies.first_mut().filter(|_| is_stale);
        let result = match stale {
            Some((_, copy)) => copy.apply(op),
            None => self.store.apply(op),
        };
        if self.rng.random_bool(self.faults.lost_answers) {
            self.reply(host, incarnation, call, Err(StoreError::Unknown), CALL_TIMEOUT);
        } else {
            self.reply(host, incarnation, call, result, half);
        }
    }

    fn reply(
        &mut self,
        host: &str,
        incarnation: u64,
        call: CallId,
        result: StoreResult,
        after: Duration,
    ) {
        let event = Box::new(Event::Store { call, result });
        let action =
            Action::Deliver { host: host.to_owned(), incarnation: Some(incarnation), event };
        self.schedule(self.now + after, action);
    }

    fn send(&mut self, from: &str, to: &str, message: JournalMessage) {
        self.messages += 1;
        let cut = self.network.contains(&(from.to_owned(), to.to_owned()));
        if cut || !self.nodes.contains_key(to) {
            let event = Box::new(Event::SendFailed { to: to.to_owned() });
            let action = Action::Deliver { host: from.to_owned(), incarnation: None, event };
            self.schedule(self.now + MESSAGE_TIME, action);
            return;
        }
        let event = Box::new(Event::Message { from: from.to_owned(), message });
        let action = Action::Deliver { host: to.to_owned(), incarnation: None, event };
        let delay = MESSAGE_TIME.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(self.now + delay, action);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Perform { host, incarnation, call, op } => {
                self.perform(&host, incarnation, call, &op);
            }
            Action::LateEffect { op } => {
                let _ = self.store.apply(&op);
            }
            Action::Deliver { host, incarnation, event } => {
                let node = self.nodes.get(&host);
                let is_same = |node: &Node| incarnation.is_none_or(|at| at == node.incarnation);
                if node.is_some_and(is_same) {
                    self.event(&host, *event);
                }
            }
            Action::Wake { host, incarnation } => {
                let now = self.now;
                let is_due = |node: &Node| {
                    node.incarnation == incarnation && node.wake.is_some_and(|at| at <= now)
                };
                if self.nodes.get(&host).is_some_and(is_due) {
                    self.tick(&host);
                }
            }
        }
    }

    fn tick(&mut self, host: &str) {
        if self.is_paused(host) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(host) {
            node.wake = None;
        }
        let wall = self.wall();
        self.event(host, Event::Tick { wall });
    }

    fn schedule_wake(&mut self, host: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(host) else { return };
        let Some(at) = node.journal.next_wake() else { return };
        let at = at.max(now);
        if node.wake.is_some_and(|wake| wake <= at && wake > now) {
            return;
        }
        node.wake = Some(at);
        let action = Action::Wake { host: host.to_owned(), incarnation: node.incarnation };
        self.schedule(at, action);
    }

    fn schedule(&mut self, at: Instant, action: Action) {
        self.next_action += 1;
        self.queue.insert((at, self.next_action), action);
    }
}

pub const SIX: [(&str, &str); 6] = [
    ("n1", "nashua"),
    ("n2", "nashua"),
    ("l1", "lowell"),
    ("l2", "lowell"),
    ("c1", "concord"),
    ("c2", "concord"),
];

/// Retention of claims under `short`.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Settings with short times, so that retention passes within a test.
pub fn short(cfg: JournalConfig) -> JournalConfig {
    cfg.retention(RETENTION, Duration::from_secs(20))
        .bill_window(Duration::from_secs(1))
        .snapshot_every(4)
        .compact_batch(4)
}

pub fn claim_key(key: &str) -> ClaimKey {
    ClaimKey { workspace: "bakery".to_owned(), idempotency_key: key.to_owned() }
}

pub fn ran() -> ClaimOutcome {
    ClaimOutcome::Ran { status: 200, body: b"renewed".to_vec() }
}
