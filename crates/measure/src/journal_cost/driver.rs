//! Event loop that drives journals in virtual time over an in-memory object API, without faults.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_journal::Journal;
use foxtailhoist_journal::JournalConfig;
use foxtailhoist_journal::StoreCalls;
use foxtailhoist_journal::event::CallId;
use foxtailhoist_journal::event::Effect;
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
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Round trip of a store call.
const STORE_CALL_TIME: Duration = Duration::from_millis(5);
/// One-way message delay between data centres.
const REMOTE_MESSAGE_DELAY: Duration = Duration::from_millis(4);
/// One-way message delay within a data centre.
const LOCAL_MESSAGE_DELAY: Duration = Duration::from_micros(500);
/// Run time of a non-idempotent request after its claim is granted.
const RUN_TIME: Duration = Duration::from_millis(50);
/// Wall-clock time at the start, since the Unix epoch.
const WALL_START: Duration = Duration::from_secs(20_000 * 86_400);
const WORKSPACES: u32 = 10;
/// Wait after hosts start until membership has converged.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Histogram of latencies in microseconds.
pub type Latencies = Histogram<u64>;

/// Adjusts the configuration of every host.
type Configure<'a> = &'a dyn Fn(JournalConfig) -> JournalConfig;

/// Journals of several hosts, their store and the messages between them.
pub struct Driver {
    now: Instant,
    start: Instant,
    store: MemoryStore,
    hosts: Vec<Host>,
    queue: BTreeMap<(Instant, u64), Action>,
    next_action: u64,
    rng: ChaCha8Rng,
    next_request: RequestId,
    /// Start of each pending claim or bill.
    started: BTreeMap<RequestId, Instant>,
    messages: u64,
    earlier_calls: StoreCalls,
    claims: Latencies,
    bills: Latencies,
}

struct Host {
    name: String,
    data_centre: String,
    incarnation: u64,
    journal: Journal,
    wake: Option<Instant>,
}

enum Action {
    StoreCall { host: usize, call: CallId, op: StoreOp },
    Deliver { host: usize, event: Event },
    FinishRun { host: usize, key: ClaimKey, request: RequestId },
    Wake { host: usize },
}

impl Driver {
    /// Starts hosts spread evenly over data centres.
    pub fn new(seed: u64, hosts: u32, data_centres: u32, configure: Configure<'_>) -> Driver {
        let now = Instant::now();
        let mut driver = Driver {
            now,
            start: now,
            store: MemoryStore::default(),
            hosts: Vec::new(),
            queue: BTreeMap::new(),
            next_action: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_request: 0,
            started: BTreeMap::new(),
            messages: 0,
            earlier_calls: StoreCalls::default(),
            claims: latencies(),
            bills: latencies(),
        };
        for number in 0..hosts {
            let name = format!("host-{number:03}");
            let data_centre = format!("dc-{:02}", number % data_centres);
            driver.start_host(name, data_centre, 1, configure);
        }
        driver.publish_hosts();
        driver
    }

    /// Restarts all hosts at once with empty memory; queued events are dropped.
    pub fn restart_hosts(&mut self, configure: Configure<'_>) {
        self.queue.clear();
        for host in std::mem::take(&mut self.hosts) {
            let calls = host.journal.stats().calls;
            self.earlier_calls = sum(self.earlier_calls, calls);
            self.start_host(host.name, host.data_centre, host.incarnation + 1, configure);
        }
        self.publish_hosts();
    }

    /// Runs seeded Poisson arrivals at random hosts; returns the number of requests.
    pub fn load(&mut self, rate: u32, claim_share: f64, time: Duration) -> u64 {
        let end = self.now + time;
        let mut requests = 0;
        loop {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let next = self.now + Duration::from_secs_f64(-uniform.ln() / f64::from(rate));
            if next > end {
                self.run_until(end);
                return requests;
            }
            self.run_until(next);
            requests += 1;
            self.arrive(claim_share);
        }
    }

    /// Writes a log of `segments` segments with one bill each, from the first host.
    pub fn write_segments(&mut self, segments: u64) {
        for _ in 0..segments {
            self.bill(0);
            self.run_until(self.now + Duration::from_millis(200));
        }
    }

    /// Makes one claim and returns the time until it is granted.
    pub fn claim_once(&mut self) -> Duration {
        self.claims.reset();
        let from = self.now;
        self.claim(0);
        while self.claims.is_empty() && self.now < from + Duration::from_secs(60) {
            self.run_until(self.now + Duration::from_millis(1));
        }
        Duration::from_micros(self.claims.max())
    }

    /// Store calls of all hosts, earlier incarnations included.
    pub fn calls(&self) -> StoreCalls {
        let calls = self.hosts.iter().map(|host| host.journal.stats().calls);
        calls.fold(self.earlier_calls, sum)
    }

    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// Latencies of granted claims.
    pub fn claims(&self) -> &Latencies {
        &self.claims
    }

    /// Times from a bill until it is durable.
    pub fn bills(&self) -> &Latencies {
        &self.bills
    }

    pub fn reset_latencies(&mut self) {
        self.claims.reset();
        self.bills.reset();
    }

    fn start_host(
        &mut self,
        name: String,
        data_centre: String,
        incarnation: u64,
        configure: Configure<'_>,
    ) {
        let cfg = JournalConfig::new(&name, &data_centre, incarnation);
        let cfg =
            configure(cfg.enforcement(Enforcement::Panic).claim_wait(Duration::from_secs(30)));
        let journal = Journal::new(cfg, self.rng.random());
        self.hosts.push(Host { name, data_centre, incarnation, journal, wake: None });
    }

    fn publish_hosts(&mut self) {
        let place = |host: &Host| HostLocation {
            host: host.name.clone(),
            data_centre: host.data_centre.clone(),
        };
        let places: Vec<HostLocation> = self.hosts.iter().map(place).collect();
        for host in 0..self.hosts.len() {
            self.handle_event(host, Event::Hosts(places.clone()));
        }
        self.run_until(self.now + SETTLE_TIME);
    }

    fn arrive(&mut self, claim_share: f64) {
        let host = self.rng.random_range(0..self.hosts.len());
        if self.rng.random_bool(claim_share) {
            self.claim(host);
        } else {
            self.bill(host);
        }
    }

    fn claim(&mut self, host: usize) {
        let request = self.start_request();
        let key = ClaimKey {
            workspace: workspace_of(request),
            idempotency_key: format!("key-{request}"),
        };
        let claim = Claim { key, request, content: 1, at: self.wall() };
        self.handle_event(host, Event::Claim(claim));
    }

    fn bill(&mut self, host: usize) {
        let request = self.start_request();
        self.bill_request(host, request);
    }

    fn bill_request(&mut self, host: usize, request: RequestId) {
        self.started.insert(request, self.now);
        let bill = Bill {
            workspace: workspace_of(request),
            request,
            model_version: Some(ModelVersion::new("levain", "v1")),
            usage: Usage { prompt_tokens: 300, output_tokens: 200 },
            at: self.wall(),
        };
        self.handle_event(host, Event::Bill(bill));
    }

    fn start_request(&mut self) -> RequestId {
        self.next_request += 1;
        self.started.insert(self.next_request, self.now);
        self.next_request
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + WALL_START + self.now.duration_since(self.start)
    }

    fn run_until(&mut self, end: Instant) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), action) = entry.remove_entry();
            self.now = at;
            self.perform(action);
        }
        self.now = end;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::StoreCall { host, call, op } => {
                let result = self.store.apply(&op);
                let event = Event::Store { call, result };
                self.schedule(STORE_CALL_TIME / 2, Action::Deliver { host, event });
            }
            Action::Deliver { host, event } => self.handle_event(host, event),
            Action::FinishRun { host, key, request } => {
                let outcome = ClaimOutcome::Ran { status: 200, body: Vec::new() };
                self.handle_event(host, Event::Outcome { key, request, outcome });
                self.bill_request(host, request);
            }
            Action::Wake { host } => {
                if self.hosts[host].wake.is_some_and(|at| at <= self.now) {
                    self.hosts[host].wake = None;
                    let wall = self.wall();
                    self.handle_event(host, Event::Tick { wall });
                }
            }
        }
    }

    fn handle_event(&mut self, host: usize, event: Event) {
        let effects = self.hosts[host].journal.handle(event, self.now);
        for effect in effects {
            self.perform_effect(host, effect);
        }
        self.schedule_wake(host);
    }

    fn perform_effect(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Store { call, op } => {
                self.schedule(STORE_CALL_TIME / 2, Action::StoreCall { host, call, op });
            }
            Effect::Send { to, message } => {
                self.messages += 1;
                let Some(receiver) = self.hosts.iter().position(|host| host.name == to) else {
                    return;
                };
                let is_local = self.hosts[receiver].data_centre == self.hosts[host].data_centre;
                let time = if is_local { LOCAL_MESSAGE_DELAY } else { REMOTE_MESSAGE_DELAY };
                let from = self.hosts[host].name.clone();
                let event = Event::Message { from, message };
                self.schedule(time, Action::Deliver { host: receiver, event });
            }
            Effect::Claimed { request, key, result } => {
                assert_eq!(result, ClaimResult::Granted, "every key is claimed once");
                record(&mut self.claims, self.started.remove(&request), self.now);
                self.schedule(RUN_TIME, Action::FinishRun { host, key, request });
            }
            Effect::Billed { request, .. } => {
                record(&mut self.bills, self.started.remove(&request), self.now);
            }
            Effect::OutcomeSafe { .. } | Effect::Stopped => {}
        }
    }

    fn schedule_wake(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        let Some(at) = state.journal.next_wake() else { return };
        let at = at.max(self.now);
        if state.wake.is_some_and(|wake| wake <= at && wake > self.now) {
            return;
        }
        state.wake = Some(at);
        let delay = at.duration_since(self.now);
        self.schedule(delay, Action::Wake { host });
    }

    fn schedule(&mut self, delay: Duration, action: Action) {
        self.next_action += 1;
        self.queue.insert((self.now + delay, self.next_action), action);
    }
}

fn workspace_of(request: RequestId) -> String {
    format!("workspace-{}", request % RequestId::from(WORKSPACES))
}

fn latencies() -> Latencies {
    const MAX_MICROS: u64 = 60_000_000;
    const DIGITS: u8 = 3;
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("the bounds are within the histogram's")
}

fn record(latencies: &mut Latencies, started: Option<Instant>, now: Instant) {
    if let Some(started) = started {
        latencies.saturating_record(now.duration_since(started).as_micros() as u64);
    }
}

fn sum(left: StoreCalls, right: StoreCalls) -> StoreCalls {
    StoreCalls {
        gets: left.gets + right.gets,
        lists: left.lists + right.lists,
        puts: left.puts + right.puts,
        deletes: left.deletes + right.deletes,
        watches: left.watches + right.watches,
    }
}
