//! A fleet of entry hosts in virtual time: the routing decisions of many hosts, their exchange over links with delay, loss
//! and limited bandwidth, and backend servers that crash alone and together.
//!
//! Each host runs the product's [`Dispatcher`]. Requests arrive at random hosts; their prompts begin with a part that all
//! have, then one of a hundredth of them and one of a workspace. A run depends on nothing but its configuration, so the
//! same seed yields the same result.

mod deployment;
mod host;
mod report;
mod server;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_route::blame::CrashNews;
use foxtailhoist_route::blame::Culprit;
use foxtailhoist_route::blame::FANOUT;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::Attempt;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::in_flight::InFlightRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::deployment::arrival;
use self::host::Host;
pub use self::report::FleetReport;
use self::server::Server;

/// Part that all prompts begin with.
pub const COMMON_PART: u64 = 1;
/// Part of the prompts that crash servers, if parts do.
pub const CRASHING_PART: u64 = 2;
/// Content that crashes servers, if a content does.
pub const CRASHING_CONTENT: u64 = 3;
/// First of the parts that a hundredth of the prompts have.
const MIDDLING_PARTS: u64 = 1_000;
const MIDDLING_COUNT: u64 = 100;
/// First of the workspaces' parts.
const WORKSPACE_PARTS: u64 = 10_000;
const WORKSPACE_COUNT: u64 = 2_000;

/// Delay of a connection attempt that finds nobody.
const REFUSED_CONNECTION_DELAY: Duration = Duration::from_millis(2);
/// Delay before a server whose answer broke off is probed.
const CRASH_PROBE_DELAY: Duration = Duration::from_millis(50);
const MIN_HEAD_TIME: Duration = Duration::from_millis(80);
const HEAD_TIME_SPREAD: Duration = Duration::from_millis(300);
/// Additional time to the head for each request that the server runs.
const HEAD_TIME_PER_REQUEST: Duration = Duration::from_millis(40);
/// Time between two events of an answer.
const EVENT_GAP: Duration = Duration::from_millis(150);
/// Time from an answer's head to its end.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Time from the head of an answer that crashes its server to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time for which a server that crashed is down.
const DOWN_TIME: Duration = Duration::from_millis(2_000);
/// Time until hosts learn from the store that a server has started again, and its spread.
const FEED_DELAY: Duration = Duration::from_millis(100);
const FEED_SPREAD: Duration = Duration::from_millis(300);
/// Time without requests at the end of a run, in which the exchange must come to rest.
const REST_TIME: Duration = Duration::from_secs(8);

/// What is simulated.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub seed: u64,
    pub hosts: usize,
    pub servers: usize,
    /// Requests a second at all hosts together.
    pub request_rate: f64,
    /// Time for which requests arrive.
    pub duration: Duration,
    pub link: Link,
    pub outages: Vec<Outage>,
    pub crashing: Option<CrashingLoad>,
}

/// Links between hosts.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub delay: Duration,
    /// Upper bound of a random further delay.
    pub jitter: Duration,
    /// Part of the messages that is lost.
    pub loss: f64,
    /// What a host can send.
    pub bytes_per_second: f64,
}

/// Servers that end at about the same time for a reason that no request has.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub at: Duration,
    /// Part of the servers.
    pub share: f64,
    /// Time from the first end to the last.
    pub spread: Duration,
}

/// Requests that crash each server that begins to answer them.
#[derive(Clone, Copy, Debug)]
pub struct CrashingLoad {
    pub from: Duration,
    pub until: Duration,
    /// Requests a second at all hosts together.
    pub rate: f64,
    pub kind: CrashingKind,
}

/// What crashes servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashingKind {
    /// One content, sent again and again.
    Content,
    /// A part of prompts that are all different.
    Part,
}

/// Index of a host, a server or a request.
type Index = usize;

#[derive(Debug)]
enum Event {
    Arrival { is_crashing: bool },
    Step(Index),
    Head { req: Index, attempt: Box<Attempt>, incarnation: u64 },
    Progress { req: Index, attempt: Box<Attempt>, incarnation: u64 },
    End { req: Index, attempt: Box<Attempt>, incarnation: u64 },
    Broken { req: Index, attempt: Box<Attempt>, had_head: bool },
    Probe { host: Index, server: Index },
    Crash { server: Index },
    Restart { server: Index },
    Registered { host: Index, server: Index },
    Round { host: Index },
    Message { to: Index, news: CrashNews },
}

/// A request at its host.
#[derive(Debug)]
struct Request {
    host: Index,
    state: InFlightRequest,
    is_crashing: bool,
    /// When its last attempt was sent.
    sent: Option<Instant>,
}

/// Runs the simulation.
#[must_use]
pub fn run(cfg: &FleetConfig) -> FleetReport {
    Fleet::new(cfg).run()
}

struct Fleet<'a> {
    cfg: &'a FleetConfig,
    rng: ChaCha8Rng,
    start: Instant,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    requests: BTreeMap<Index, Request>,
    next_request: Index,
    report: FleetReport,
}

impl<'a> Fleet<'a> {
    fn new(cfg: &'a FleetConfig) -> Fleet<'a> {
        let start = Instant::now();
        let names: Vec<String> = (0..cfg.hosts).map(|host| format!("host-{host}")).collect();
        let mut servers: Vec<Server> = (0..cfg.servers).map(Server::new).collect();
        let hosts = names.iter().map(|own| Host::new(own, &names, &mut servers, start));
        Fleet {
            cfg,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            start,
            now: start,
            events: BTreeMap::new(),
            next_event: 0,
            hosts: hosts.collect(),
            servers,
            requests: BTreeMap::new(),
            next_request: 0,
            report: FleetReport::default(),
        }
    }

    fn run(mut self) -> FleetReport {
        self.schedule(Duration::ZERO, Event::Arrival { is_crashing: false });
        if let Some(crashing) = self.cfg.crashing {
            self.schedule(crashing.from, Event::Arrival { is_crashing: true });
        }
        for outage in &self.cfg.outages {
            let count = (self.cfg.servers as f64 * outage.share).round() as usize;
            for server in 0..count {
                let after = outage.spread.mul_f64(self.rng.random_range(0.0..1.0));
                self.schedule(outage.at + after, Event::Crash { server });
            }
        }
        let end = self.start + self.cfg.duration + REST_TIME;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { is_crashing } => self.arrive(is_crashing),
            Event::Step(req) => self.step(req),
            Event::Head { req, attempt, incarnation } => self.head(req, attempt, incarnation),
            Event::Progress { req, attempt, incarnation } => {
                self.progress(req, attempt, incarnation);
            }
            Event::End { req, attempt, incarnation } => self.end(req, &attempt, incarnation),
            Event::Broken { req, attempt, had_head } => self.broken(req, &attempt, had_head),
            Event::Probe { host, server } => {
                if self.servers[server].is_down {
                    let id = self.servers[server].id.clone();
                    self.hosts[host].dispatcher.server_died(&id, self.now);
                    self.after_change(host);
                }
            }
            Event::Crash { server } => self.crash(server),
            Event::Restart { server } => self.restart(server),
            Event::Registered { host, server } => {
                self.hosts[host].register(&self.servers[server], self.now);
                self.after_change(host);
            }
            Event::Round { host } => self.round(host),
            Event::Message { to, news } => {
                self.report.messages += 1;
                self.hosts[to].dispatcher.merge_crash_news(&news, self.now);
                self.after_change(to);
            }
        }
    }

    fn arrive(&mut self, is_crashing: bool) {
        let (rate, until) = match self.cfg.crashing.filter(|_| is_crashing) {
            Some(crashing) => (crashing.rate, crashing.until),
            None => (self.cfg.request_rate, self.cfg.duration),
        };
        let after = Duration::from_secs_f64(self.rng.random_range(0.0..2.0) / rate);
        if self.now + after < self.start + until {
            self.schedule(after, Event::Arrival { is_crashing });
        }
        let host = self.rng.random_range(0..self.hosts.len());
        let number = self.next_request;
        self.next_request += 1;
        let kind = self.cfg.crashing.filter(|_| is_crashing).map(|crashing| crashing.kind);
        let arrival = arrival(number, kind, &mut self.rng);
        match self.hosts[host].dispatcher.admit(arrival, self.now) {
            Ok(state) => {
                self.requests.insert(number, Request { host, state, is_crashing, sent: None });
                self.step(number);
            }
            Err(refusal) => self.report.refused(refusal.kind, is_crashing),
        }
        self.after_change(host);
    }

    fn step(&mut self, req: Index) {
        loop {
            let Some(request) = self.requests.get_mut(&req) else {
                return;
            };
            let host = request.host;
            let dispatcher = &mut self.hosts[host].dispatcher;
            match dispatcher.next_step(&mut request.state, self.now) {
                Step::WaitUntil(at) => {
                    let after = at.saturating_duration_since(self.now);
                    self.schedule(after.max(Duration::from_millis(1)), Event::Step(req));
                    return;
                }
                Step::Refuse(refusal) => {
                    let is_crashing = request.is_crashing;
                    self.requests.remove(&req);
                    self.report.refused(refusal.kind, is_crashing);
                    return;
                }
                Step::Send(attempt) => {
                    let server = Server::index(&attempt.server);
                    if self.servers[server].is_down {
                        let now = self.now + REFUSED_CONNECTION_DELAY;
                        let outcome = AttemptOutcome::Unreachable;
                        dispatcher.attempt_ended(&mut request.state, &attempt, false, outcome, now);
                        continue;
                    }
                    dispatcher.attempt_sent(&mut request.state, &attempt, self.now);
                    request.sent = Some(self.now);
                    if request.is_crashing {
                        self.report.crashing_arrivals.push(self.now - self.start);
                    }
                    let incarnation = self.servers[server].incarnation;
                    self.servers[server].running.insert(req, (attempt.clone(), false));
                    let running = self.servers[server].running.len() as f64;
                    let head_time = MIN_HEAD_TIME
                        + HEAD_TIME_PER_REQUEST.mul_f64(running)
                        + HEAD_TIME_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
                    self.schedule(head_time, Event::Head { req, attempt, incarnation });
                    return;
                }
            }
        }
    }

    fn head(&mut self, req: Index, attempt: Box<Attempt>, incarnation: u64) {
        let server = Server::index(&attempt.server);
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        if self.servers[server].incarnation != incarnation || self.servers[server].is_down {
            return;
        }
        let dispatcher = &mut self.hosts[request.host].dispatcher;
        let head = AnswerHead {
            status: 200,
            echoes_request_id: true,
            confidence: Some(90),
            ..AnswerHead::default()
        };
        let elapsed = request.sent.map_or(MIN_HEAD_TIME, |sent| self.now - sent);
        let verdict =
            dispatcher.head_received(&mut request.state, &attempt, &head, elapsed, self.now);
        if let HeadVerdict::Drop(outcome) = verdict {
            dispatcher.attempt_ended(&mut request.state, &attempt, true, outcome, self.now);
            self.servers[server].running.remove(&req);
            return self.step(req);
        }
        if let Some((_, had_head)) = self.servers[server].running.get_mut(&req) {
            *had_head = true;
        }
        if request.is_crashing {
            self.report.crashes_by_requests.push(self.now - self.start);
            self.schedule(CRASH_DELAY, Event::Crash { server });
        }
        self.schedule(EVENT_GAP, Event::Progress { req, attempt: attempt.clone(), incarnation });
        self.schedule(ANSWER_TIME, Event::End { req, attempt, incarnation });
    }

    fn progress(&mut self, req: Index, attempt: Box<Attempt>, incarnation: u64) {
        let server = &self.servers[Server::index(&attempt.server)];
        if server.incarnation != incarnation || !server.running.contains_key(&req) {
            return;
        }
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let host = request.host;
        let dispatcher = &mut self.hosts[host].dispatcher;
        dispatcher.event_received(&mut request.state, &attempt, Some(EVENT_GAP), self.now);
        self.after_change(host);
        self.schedule(EVENT_GAP, Event::Progress { req, attempt, incarnation });
    }

    fn end(&mut self, req: Index, attempt: &Attempt, incarnation: u64) {
        let server = Server::index(&attempt.server);
        if self.servers[server].incarnation != incarnation
            || self.servers[server].running.remove(&req).is_none()
        {
            return;
        }
        if let Some(mut request) = self.requests.remove(&req) {
            let dispatcher = &mut self.hosts[request.host].dispatcher;
            let outcome = AttemptOutcome::Whole;
            dispatcher.attempt_ended(&mut request.state, attempt, true, outcome, self.now);
            self.report.served += 1;
            self.report.last_answer = self.now - self.start;
            self.after_change(request.host);
        }
    }

    fn broken(&mut self, req: Index, attempt: &Attempt, had_head: bool) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let host = request.host;
        let dispatcher = &mut self.hosts[host].dispatcher;
        let outcome = AttemptOutcome::Broken;
        dispatcher.attempt_ended(&mut request.state, attempt, had_head, outcome, self.now);
        if dispatcher.take_crash_probe(attempt, self.now).is_some() {
            let server = Server::index(&attempt.server);
            self.schedule(CRASH_PROBE_DELAY, Event::Probe { host, server });
        }
        self.step(req);
        self.after_change(host);
    }

    fn crash(&mut self, server: Index) {
        if std::mem::replace(&mut self.servers[server].is_down, true) {
            return;
        }
        self.report.crashes += 1;
        for (req, (attempt, had_head)) in std::mem::take(&mut self.servers[server].running) {
            let after = self.link_delay();
            self.schedule(after, Event::Broken { req, attempt, had_head });
        }
        self.schedule(DOWN_TIME, Event::Restart { server });
    }

    fn restart(&mut self, server: Index) {
        self.servers[server].is_down = false;
        self.servers[server].incarnation += 1;
        for host in 0..self.hosts.len() {
            let after = FEED_DELAY + FEED_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(after, Event::Registered { host, server });
        }
    }

    /// Sends a host's news to a few others.
    fn round(&mut self, host: Index) {
        let now = self.now;
        let round = self.hosts[host].take_news(now);
        if round.has_news_for_all() {
            for _ in 0..FANOUT {
                let to = self.rng.random_range(0..self.hosts.len());
                self.send(host, to, round.to_all.clone());
            }
        }
        for (home, news) in round.to_homes {
            self.send(host, host::index(&home), news);
        }
        self.after_change(host);
    }

    fn send(&mut self, from: Index, to: Index, news: CrashNews) {
        let bytes = rmp_serde::to_vec(&news).map_or(0, |body| body.len());
        let link = self.cfg.link;
        let sent_after = self.hosts[from].send(bytes, link.bytes_per_second, self.now);
        self.report.sent(from, bytes, self.now - self.start);
        if to != from && self.rng.random_range(0.0..1.0) >= link.loss {
            let after = sent_after + self.link_delay();
            self.schedule(after, Event::Message { to, news });
        }
    }

    /// Schedules a host's next round if it has news, and notes which culprits it refuses.
    fn after_change(&mut self, host: Index) {
        if let Some(after) = self.hosts[host].next_round(self.now) {
            self.schedule(after, Event::Round { host });
        }
        let changes = self.hosts[host].take_verdict_changes();
        self.report.verdict_changes += changes;
    }

    fn link_delay(&mut self) -> Duration {
        let link = self.cfg.link;
        link.delay + link.jitter.mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + after, self.next_event), event);
    }

    fn finish(mut self) -> FleetReport {
        let culprits = std::iter::once(COMMON_PART)
            .chain((0..MIDDLING_COUNT).map(|number| MIDDLING_PARTS + number))
            .chain((0..WORKSPACE_COUNT).map(|number| WORKSPACE_PARTS + number));
        for part in culprits {
            let is_refused =
                |host: &&Host| host.dispatcher.is_quarantined(Culprit::Part(part), self.now);
            self.report.sound_parts_refused += self.hosts.iter().filter(is_refused).count();
        }
        let crashing = [Culprit::Part(CRASHING_PART), Culprit::Content(CRASHING_CONTENT)];
        for culprit in crashing {
            let is_refused = |host: &&Host| host.dispatcher.is_quarantined(culprit, self.now);
            let refused = self.hosts.iter().filter(is_refused).count();
            self.report.hosts_that_refuse_the_culprit =
                self.report.hosts_that_refuse_the_culprit.max(refused);
        }
        self.report
    }
}

impl FleetReport {
    fn refused(&mut self, kind: ErrorKind, is_crashing: bool) {
        match kind {
            ErrorKind::Quarantined if is_crashing => self.crashing_refused += 1,
            ErrorKind::Quarantined => self.sound_quarantined += 1,
            _ => self.unserved += 1,
        }
    }
}
