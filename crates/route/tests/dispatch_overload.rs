//! Load: more streams than the engines can begin before their deadlines, for some seconds.
//!
//! The engines are played: each begins one request after the other, urgent ones first.

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

use fleet::Bed;
use fleet::bed;
use fleet::good;
use fleet::millis;

/// Time in which an engine begins one request.
const BEGIN: Duration = Duration::from_millis(50);
/// Pause between two arrivals, with three engines, at 70 in 100 of what they can begin, and at 210.
const ORDINARY: Duration = Duration::from_millis(24);
const BURST: Duration = Duration::from_millis(8);

/// What became of the requests that arrived.
#[derive(Debug, Default)]
struct Tally {
    /// Began before their deadline.
    answered: usize,
    /// Waited until their deadline in vain.
    missed: usize,
    refused: usize,
}

struct Running {
    flight: InFlightRequest,
    attempt: Attempt,
    arrived: Instant,
}

/// Plays engines and arrivals from a start for so long.
struct Play {
    bed: Bed,
    patience: Duration,
    queues: BTreeMap<String, Vec<Running>>,
    free_at: BTreeMap<String, Instant>,
    tally: Tally,
}

impl Play {
    fn new(patience: Duration) -> Play {
        let (queues, free_at) = (BTreeMap::new(), BTreeMap::new());
        Play { bed: bed(), patience, queues, free_at, tally: Tally::default() }
    }

    /// Arrivals with a pause between them, for so long.
    fn run(&mut self, pause: Duration, length: Duration) {
        let end = self.bed.now + length;
        while self.bed.now < end {
            self.arrive();
            self.bed.pass(pause);
            self.begin_due();
        }
    }

    fn arrive(&mut self) {
        let mut arrival = self.bed.arrival("/chat/1");
        arrival.parts.clear();
        arrival.prompt_tokens = 500;
        arrival.caller_timeout = Some(self.patience);
        match self.bed.admit(arrival) {
            Ok(mut flight) => {
                let Step::Send(attempt) = self.bed.next(&mut flight) else { panic!("not sent") };
                self.bed.dispatcher.attempt_sent(&mut flight, &attempt, self.bed.now);
                let arrived = self.bed.now;
                self.free_at.entry(attempt.server.clone()).or_insert(arrived);
                let queue = self.queues.entry(attempt.server.clone()).or_default();
                queue.push(Running { flight, attempt: *attempt, arrived });
            }
            Err(refusal) => {
                assert_eq!((refusal.kind, refusal.ran), (ErrorKind::Overloaded, Ran::NotRun));
                self.tally.refused += 1;
                assert!(refusal.retry_after.is_some());
            }
        }
    }

    fn begin_due(&mut self) {
        let servers: Vec<String> = self.queues.keys().cloned().collect();
        for server in servers {
            while self.free_at[&server] <= self.bed.now && !self.queues[&server].is_empty() {
                let began = self.free_at[&server];
                let mut running = self.queues.get_mut(&server).expect("known").remove(0);
                let elapsed = self.bed.now.saturating_duration_since(running.arrived);
                let (flight, attempt) = (&mut running.flight, &running.attempt);
                if elapsed >= self.patience {
                    // The engine does not begin what nobody waits for.
                    self.bed.end(flight, attempt, AttemptOutcome::Cancelled);
                    self.tally.missed += 1;
                    continue;
                }
                self.bed.dispatcher.head_received(flight, attempt, &good(), elapsed, self.bed.now);
                self.bed.end(flight, attempt, AttemptOutcome::Whole);
                self.free_at.insert(server.clone(), began.max(running.arrived) + BEGIN);
                self.tally.answered += 1;
            }
        }
    }
}

#[test]
fn ordinary_traffic_is_not_refused() {
    let mut play = Play::new(Duration::from_secs(5));
    play.run(ORDINARY, Duration::from_secs(10));
    assert_eq!((play.tally.refused, play.tally.missed), (0, 0));
}

#[test]
fn patient_callers_are_not_refused() {
    let mut play = Play::new(Duration::from_secs(25));
    play.run(BURST, Duration::from_secs(10));
    assert_eq!((play.tally.refused, play.tally.missed), (0, 0));
}

#[test]
fn what_would_miss_its_deadline_is_refused_at_once_and_the_rest_is_answered() {
    let mut play = Play::new(Duration::from_secs(5));
    play.run(ORDINARY, Duration::from_secs(2));
    play.run(BURST, Duration::from_secs(16));
    play.run(ORDINARY, Duration::from_secs(10));
    let tally = play.tally;
    // The engines can begin 60 requests a second, 1,680 in all; 19 in 20 of these are answered, refusals or not.
    assert!(tally.answered >= 1_596, "{tally:?}");
    // Of the others, a third at least learn at once what comes of their request.
    assert!(2 * tally.refused >= tally.missed, "{tally:?}");
}

#[test]
fn what_cannot_be_answered_in_the_time_left_is_refused() {
    let mut play = Play::new(Duration::from_secs(25));
    play.run(BURST, Duration::from_secs(4));
    let mut arrival = play.bed.arrival("/chat/1");
    arrival.caller_timeout = Some(millis(300));
    let refusal = play.bed.admit(arrival).expect_err("it would come late");
    assert_eq!(refusal.ran, Ran::NotRun);
}

#[test]
fn a_caller_that_resumes_a_stream_is_not_refused() {
    let mut play = Play::new(Duration::from_secs(5));
    play.run(BURST, Duration::from_secs(14));
    for _ in 0..50 {
        let mut arrival = play.bed.arrival("/chat/1");
        arrival.last_event = Some(12);
        arrival.caller_timeout = Some(millis(300));
        play.bed.admit(arrival).expect("admitted");
    }
}
