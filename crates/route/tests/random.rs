//! Random runs over all events; a violated invariant of the router panics.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use common::World;
use common::configuration;
use common::engine;
use common::engines;
use common::large;
use common::pinned;
use common::small;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::LoadReport;
use foxtailhoist_model::Priority;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Rating;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Stage;
use foxtailhoist_model::Usage;
use foxtailhoist_route::Mechanisms;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Effect;
use foxtailhoist_route::event::Event;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEPS: usize = 20_000;

const FAILURES: [AttemptFailure; 9] = [
    AttemptFailure::Refused,
    AttemptFailure::Rejected,
    AttemptFailure::ServerDied,
    AttemptFailure::ConnectionLost,
    AttemptFailure::SilentConnection,
    AttemptFailure::TimedOut,
    AttemptFailure::ServerError,
    AttemptFailure::WrongAttempt,
    AttemptFailure::Cancelled,
];

/// State of requests and attempts as seen from outside the router.
#[derive(Default)]
struct Observer {
    open: BTreeSet<RequestId>,
    at_most_once: BTreeSet<RequestId>,
    claims: Vec<RequestId>,
    bills: Vec<RequestId>,
    live: BTreeMap<AttemptId, RequestId>,
    /// Requests with an attempt that may have run.
    ran: BTreeSet<RequestId>,
    sent: BTreeSet<AttemptId>,
    delivered: BTreeMap<RequestId, AttemptId>,
    completed: u64,
    refused: u64,
}

impl Observer {
    fn observe(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Dispatch(dispatch) => {
                    let id = dispatch.request;
                    assert!(self.open.contains(&id), "dispatch of an ended request");
                    let second_run = self.at_most_once.contains(&id) && self.ran.contains(&id);
                    assert!(!second_run, "second run of a non-idempotent request");
                    self.live.insert(dispatch.attempt, id);
                }
                Effect::Cancel { attempt } => {
                    self.live.remove(&attempt);
                }
                Effect::Deliver { request, attempt } => {
                    let previous = self.delivered.insert(request, attempt);
                    let running =
                        previous.is_some_and(|previous| self.live.contains_key(&previous));
                    assert!(!running, "two attempts delivered at once");
                }
                Effect::Claim(claim) => self.claims.push(claim.request),
                Effect::Bill { request, .. } => self.bills.push(request),
                Effect::Complete(completion) => {
                    assert!(self.open.remove(&completion.request), "request ended twice");
                    self.completed += 1;
                }
                Effect::Refuse { request, refusal } => {
                    assert!(self.open.remove(&request), "request ended twice");
                    let ran = self.ran.contains(&request);
                    assert!(refusal.ran != Ran::NotRun || !ran, "not_run after a run");
                    self.refused += 1;
                }
                _ => {}
            }
        }
    }

    fn ended(&mut self, attempt: AttemptId, cannot_have_run: bool) {
        if let Some(request) = self.live.remove(&attempt) {
            if cannot_have_run && !self.sent.contains(&attempt) {
                return;
            }
            if !cannot_have_run {
                self.ran.insert(request);
            }
        }
    }
}

struct Run {
    world: World,
    rng: ChaCha8Rng,
    observer: Observer,
    revision: u64,
}

impl Run {
    fn new(seed: u64, mechanisms: Mechanisms) -> Run {
        let mut servers = engines(3);
        servers.push(engine("far-0", "b", 2));
        servers.push(engine("far-1", "c", 2));
        let world = World::with(mechanisms, configuration(), servers);
        Run {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            observer: Observer::default(),
            revision: 1,
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..30 => self.arrive(),
            30..40 => self.sent(),
            40..52 => self.first_byte(),
            52..72 => self.finish(),
            72..79 => self.fail(),
            79..84 => self.journal(),
            84..86 => self.caller_gone(),
            86..94 => {
                let time = Duration::from_millis(self.rng.random_range(1..800));
                let effects = self.world.advance(time);
                self.observer.observe(effects);
            }
            _ => self.send_update(),
        }
    }

    fn send(&mut self, event: Event) {
        let effects = self.world.send(event);
        self.observer.observe(effects);
    }

    fn arrive(&mut self) {
        let mut request = match self.rng.random_range(0..4) {
            0 => self.world.renewal(),
            1 => self.world.streamed(),
            _ => self.world.chat(),
        };
        request.deadline = self.world.now + Duration::from_millis(self.rng.random_range(1..20_000));
        request.caller = self.rng.random_range(0..50);
        request.fingerprint = self.rng.random_range(0..2000);
        request.priority =
            [Priority::Batch, Priority::Normal, Priority::Urgent][self.rng.random_range(0..3)];
        if self.rng.random_bool(0.5) {
            request.workspace = "rye".to_owned();
        }
        if self.rng.random_bool(0.3) {
            request = pinned(request, Some(if self.rng.random() { small() } else { large() }));
        }
        if request.at_most_once() {
            self.observer.at_most_once.insert(request.id);
        }
        self.observer.open.insert(request.id);
        self.send(Event::Arrived(Box::new(request)));
    }

    fn any_attempt(&mut self) -> Option<AttemptId> {
        let count = self.observer.live.len();
        if count == 0 {
            return None;
        }
        let index = self.rng.random_range(0..count);
        self.observer.live.keys().nth(index).copied()
    }

    fn sent(&mut self) {
        if let Some(attempt) = self.any_attempt() {
            self.observer.sent.insert(attempt);
            self.send(Event::Sent { attempt });
        }
    }

    fn first_byte(&mut self) {
        if let Some(attempt) = self.any_attempt() {
            self.send(Event::FirstByte { attempt });
            let tokens = self.rng.random_range(0..20);
            self.send(Event::Progress { attempt, tokens });
        }
    }

    fn finish(&mut self) {
        if let Some(attempt) = self.any_attempt() {
            let usage = Usage { prompt_tokens: 100, output_tokens: 20 };
            let confidence = Some(self.rng.random_range(-3.0..3.0));
            let leaving = self.rng.random_bool(0.001);
            let summary = AnswerSummary { status: 200, usage, confidence, leaving };
            self.observer.ended(attempt, false);
            self.send(Event::Finished { attempt, summary });
        }
    }

    fn fail(&mut self) {
        if let Some(attempt) = self.any_attempt() {
            let failure = FAILURES[self.rng.random_range(0..FAILURES.len())];
            let sent = self.observer.sent.contains(&attempt);
            let not_run = match failure {
                AttemptFailure::Refused | AttemptFailure::Rejected => true,
                AttemptFailure::ServerError | AttemptFailure::WrongAttempt => false,
                _ => !sent,
            };
            self.observer.ended(attempt, not_run);
            self.send(Event::Failed { attempt, failure });
        }
    }

    /// Replies to pending claims and bills as the journal would.
    fn journal(&mut self) {
        for request in std::mem::take(&mut self.observer.claims) {
            if self.rng.random_bool(0.8) {
                self.send(Event::ClaimGranted { request });
            } else if self.observer.open.remove(&request) {
                self.send(Event::ClaimRefused { request });
            }
        }
        for request in std::mem::take(&mut self.observer.bills) {
            self.send(Event::Billed { request });
        }
    }

    fn caller_gone(&mut self) {
        if let Some(request) = self.observer.open.iter().next_back().copied() {
            self.send(Event::CallerGone { request });
        }
    }

    fn send_update(&mut self) {
        let version = if self.rng.random() { small() } else { large() };
        let server = format!("engine-{}", self.rng.random_range(0..3));
        match self.rng.random_range(0..10) {
            0 => self.send(Event::Vetoed(version)),
            1 | 2 => {
                self.send(Event::VetoCleared(small()));
                self.send(Event::VetoCleared(large()));
            }
            3 => {
                let confirmed = self.rng.random_bool(0.7);
                self.send(Event::Confirmed(confirmed));
            }
            4 => self.reconfigure(),
            5 => {
                let running = self.rng.random_range(0..40);
                self.send(Event::Load(LoadReport { server, running, waiting: 3, lag_ms: 500 }));
            }
            6 => {
                let request = self.rng.random_range(1..1000);
                let acceptable = self.rng.random();
                self.send(Event::Rated(Rating { request, acceptable }));
            }
            7 => {
                let alive = self.rng.random_range(0..8);
                self.send(Event::Hosts { alive });
            }
            8 => {
                let count = self.rng.random_range(1..4);
                let mut servers = engines(count);
                servers.push(engine("far-0", "b", 2));
                self.send(Event::Servers(servers));
            }
            _ => {
                let until = self.world.now + Duration::from_secs(self.rng.random_range(0..20));
                self.send(Event::OrdersLease { fencing: self.revision, until });
            }
        }
    }

    fn reconfigure(&mut self) {
        self.revision += 1;
        let mut changed = configuration();
        changed.revision = self.revision;
        let quotas = BTreeMap::from([("host-1".to_owned(), self.rng.random_range(0..10))]);
        let share = self.rng.random_range(0.0..1.0);
        let stage = match self.rng.random_range(0..4) {
            0 => Stage::Withdrawing,
            1 => Stage::Canary { step: 0, share, quotas },
            _ => Stage::Settled,
        };
        let version = if self.rng.random() { small() } else { large() };
        changed.versions.get_mut(&version).expect("a known version").stage = stage;
        self.send(Event::Configured(Arc::new(changed)));
    }

    /// Stops the router and lets all open requests end.
    fn drain(&mut self) {
        self.send(Event::Stopping);
        for _ in 0..100 {
            self.journal();
            let effects = self.world.advance(Duration::from_secs(1));
            self.observer.observe(effects);
        }
        self.journal();
    }
}

#[rstest]
#[case(1, Mechanisms::default())]
#[case(2, Mechanisms::default())]
#[case(3, Mechanisms { fair_share: false, adaptive_limits: false, ..Mechanisms::default() })]
#[case(4, Mechanisms { early_shedding: false, zone_preference: false, ..Mechanisms::default() })]
fn every_request_ends_exactly_once(#[case] seed: u64, #[case] mechanisms: Mechanisms) {
    let mut run = Run::new(seed, mechanisms);
    for _ in 0..STEPS {
        run.step();
    }
    run.drain();
    let observer = &run.observer;
    assert!(observer.open.is_empty(), "{} requests never ended", observer.open.len());
    assert!(observer.completed > 500 && observer.refused > 100);
    assert_eq!(run.world.router.stats().in_flight, 0);
    assert_eq!(run.world.router.stats().queued, 0);
    assert!(run.world.router.next_wake().is_none(), "timers remain");
}

#[test]
fn equal_seeds_give_equal_counters() {
    let stats_of_run = || {
        let mut run = Run::new(9, Mechanisms::default());
        (0..2000).for_each(|_| run.step());
        run.world.router.stats()
    };
    assert_eq!(stats_of_run(), stats_of_run());
}
