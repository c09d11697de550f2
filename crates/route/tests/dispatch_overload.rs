//! Load test: for some seconds, more streams than the engines can start before their deadlines.
//!
//! The engines are simulated: each starts its requests one after the other, in order of arrival.

mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::Attempt;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::in_flight::InFlightRequest;

use fleet::Harness;
use fleet::good_head;
use fleet::harness;
use fleet::millis;

/// Time that an engine takes to start one request.
const START_TIME: Duration = Duration::from_millis(50);
/// Interval between arrivals at 70 % of the capacity of three engines.
const ORDINARY_INTERVAL: Duration = Duration::from_millis(24);
/// Interval between arrivals at 210 % of the capacity of three engines.
const BURST_INTERVAL: Duration = Duration::from_millis(8);

/// Number of requests by outcome.
#[derive(Debug, Default)]
struct Tally {
    /// Started before their deadline.
    answered: usize,
    /// Not started by their deadline.
    missed: usize,
    refused: usize,
}

struct Running {
    req: InFlightRequest,
    attempt: Attempt,
    arrived: Instant,
}

/// Simulation of engines and arrivals.
struct Simulation {
    harness: Harness,
    caller_timeout: Duration,
    queues: BTreeMap<String, Vec<Running>>,
    free_at: BTreeMap<String, Instant>,
    tally: Tally,
}

impl Simulation {
    fn new(caller_timeout: Duration) -> Simulation {
        let (queues, free_at) = (BTreeMap::new(), BTreeMap::new());
        Simulation { harness: harness(), caller_timeout, queues, free_at, tally: Tally::default() }
    }

    /// Simulates arrivals at a fixed interval for a duration.
    fn run(&mut self, interval: Duration, duration: Duration) {
        let end = self.harness.now + duration;
        while self.harness.now < end {
            self.arrive();
            self.harness.advance(interval);
            self.start_due();
        }
    }

    fn arrive(&mut self) {
        let mut arrival = self.harness.arrival("/chat/1");
        arrival.parts.clear();
        arrival.prompt_tokens = 500;
        arrival.caller_timeout = Some(self.caller_timeout);
        match self.harness.admit(arrival) {
            Ok(mut req) => {
                let Step::Send(attempt) = self.harness.next_step(&mut req) else {
                    panic!("not sent")
                };
                self.harness.dispatcher.attempt_sent(&mut req, &attempt, self.harness.now);
                let arrived = self.harness.now;
                self.free_at.entry(attempt.server.clone()).or_insert(arrived);
                let queue = self.queues.entry(attempt.server.clone()).or_default();
                queue.push(Running { req, attempt: *attempt, arrived });
            }
            Err(refusal) => {
                assert_eq!((refusal.kind, refusal.ran), (ErrorKind::Overloaded, Ran::NotRun));
                self.tally.refused += 1;
                assert!(refusal.retry_after.is_some());
            }
        }
    }

    fn start_due(&mut self) {
        let servers: Vec<String> = self.queues.keys().cloned().collect();
        for server in servers {
            while self.free_at[&server] <= self.harness.now && !self.queues[&server].is_empty() {
                let started = self.free_at[&server];
                let mut running = self.queues.get_mut(&server).expect("known").remove(0);
                let elapsed = self.harness.now.saturating_duration_since(running.arrived);
                let (req, attempt) = (&mut running.req, &running.attempt);
                if elapsed >= self.caller_timeout {
                    // The engine does not start a request whose caller has given up.
                    self.harness.end(req, attempt, AttemptOutcome::Cancelled);
                    self.tally.missed += 1;
                    continue;
                }
                self.harness.dispatcher.head_received(
                    req,
                    attempt,
                    &good_head(),
                    elapsed,
                    self.harness.now,
                );
                self.harness.end(req, attempt, AttemptOutcome::Whole);
                self.free_at.insert(server.clone(), started.max(running.arrived) + START_TIME);
                self.tally.answered += 1;
            }
        }
    }
}

#[test]
fn ordinary_traffic_is_not_refused() {
    let mut sim = Simulation::new(Duration::from_secs(5));
    sim.run(ORDINARY_INTERVAL, Duration::from_secs(10));
    assert_eq!((sim.tally.refused, sim.tally.missed), (0, 0));
}

#[test]
fn callers_with_a_long_timeout_are_not_refused() {
    let mut sim = Simulation::new(Duration::from_secs(25));
    sim.run(BURST_INTERVAL, Duration::from_secs(10));
    assert_eq!((sim.tally.refused, sim.tally.missed), (0, 0));
}

#[test]
fn requests_that_would_miss_their_deadline_are_refused_and_the_others_are_answered() {
    let mut sim = Simulation::new(Duration::from_secs(5));
    sim.run(ORDINARY_INTERVAL, Duration::from_secs(2));
    sim.run(BURST_INTERVAL, Duration::from_secs(16));
    sim.run(ORDINARY_INTERVAL, Duration::from_secs(10));
    let tally = sim.tally;
    // The engines can start 60 requests per second, 1,680 in total; refusals must leave 95 % of these answered.
    assert!(tally.answered >= 1_596, "{tally:?}");
    // At least a third of the other requests are refused on arrival instead of missing their deadline.
    assert!(2 * tally.refused >= tally.missed, "{tally:?}");
}

#[test]
fn a_request_that_cannot_be_answered_in_the_time_left_is_refused() {
    let mut sim = Simulation::new(Duration::from_secs(25));
    sim.run(BURST_INTERVAL, Duration::from_secs(4));
    let mut arrival = sim.harness.arrival("/chat/1");
    arrival.caller_timeout = Some(millis(300));
    let refusal = sim.harness.admit(arrival).expect_err("it would miss its deadline");
    assert_eq!(refusal.ran, Ran::NotRun);
}

#[test]
fn a_caller_that_resumes_a_stream_is_not_refused() {
    let mut sim = Simulation::new(Duration::from_secs(5));
    sim.run(BURST_INTERVAL, Duration::from_secs(14));
    for _ in 0..50 {
        let mut arrival = sim.harness.arrival("/chat/1");
        arrival.last_event = Some(12);
        arrival.caller_timeout = Some(millis(300));
        sim.harness.admit(arrival).expect("admitted");
    }
}
