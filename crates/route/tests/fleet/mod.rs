//! A dispatcher with routes and servers to try decisions on.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Presence;
use foxtailhoist_model::Refusal;
use foxtailhoist_route::backends::Registration;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::DispatchConfig;
use foxtailhoist_route::dispatch::Dispatcher;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::Arrival;
use foxtailhoist_route::in_flight::Attempt;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::in_flight::InFlightRequest;
use foxtailhoist_route::in_flight::PromptPart;
use foxtailhoist_route::retry_window::RetryLimit;
use foxtailhoist_route::routes::CallerLimits;
use foxtailhoist_route::routes::EngineSpec;
use foxtailhoist_route::routes::Repeatability;
use foxtailhoist_route::routes::Route;
use foxtailhoist_route::routes::RoutingTable;
use foxtailhoist_route::routes::Service;
use foxtailhoist_route::routes::Target;
use foxtailhoist_route::routes::Workspace;

pub const OWN: &str = "dc-a";
pub const OTHER: &str = "dc-b";
pub const KEY: &str = "key-1";

/// A dispatcher and the time that it is told.
pub struct Bed {
    pub dispatcher: Dispatcher,
    pub now: Instant,
    next_id: u64,
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Three engines of `llm` in the own data centre, three servers of `desk` in both.
pub fn bed() -> Bed {
    let mut bed = Bed { dispatcher: Dispatcher::new(config()), now: Instant::now(), next_id: 0 };
    assert!(bed.dispatcher.configure(Arc::new(table(1, routes()))));
    for id in ["engine-1", "engine-2", "engine-3"] {
        bed.list(listing(id, "llm", OWN));
    }
    bed.list(listing("desk-1", "desk", OWN));
    bed.list(listing("desk-2", "desk", OTHER));
    bed.list(listing("desk-3", "desk", OTHER));
    bed
}

pub fn config() -> DispatchConfig {
    DispatchConfig {
        data_centre: OWN.to_owned(),
        retries: RetryLimit {
            ratio: 0.8,
            slack: 50.0,
            window: Duration::from_secs(10),
            host_share: 0.2,
        },
        confidence_floors: vec![70, 50],
    }
}

pub fn table(version: u64, routes: Vec<Route>) -> RoutingTable {
    let engine = EngineSpec { slots: 64, kv_tokens: 400_000 };
    let services = BTreeMap::from([
        ("llm".to_owned(), Service { max_connections: None, engine: Some(engine) }),
        ("desk".to_owned(), Service::default()),
    ]);
    let workspace = Arc::new(Workspace { id: "bakery".to_owned(), priority: None });
    let keys = BTreeMap::from([(KEY.to_owned(), workspace)]);
    RoutingTable::new(version, routes, services, Some(keys), CallerLimits::default())
}

pub fn routes() -> Vec<Route> {
    vec![
        route("/chat/", "llm", Repeatability::ResumableStream),
        route("/look/", "desk", Repeatability::Idempotent),
        route("/renew/", "desk", Repeatability::AtMostOnce),
    ]
}

pub fn route(prefix: &str, service: &str, repeatability: Repeatability) -> Route {
    let is_stream = repeatability.is_stream();
    Route {
        id: prefix.trim_matches('/').to_owned(),
        host: "site.example".to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![Target { service: service.to_owned(), weight: 1 }],
        repeatability,
        timeout: Some(if is_stream { Duration::from_secs(25) } else { Duration::from_secs(1) }),
        latency_target: Some(if is_stream { Duration::from_secs(3) } else { millis(200) }),
        event_gap_target: is_stream.then(|| millis(1_200)),
        max_attempts: if repeatability == Repeatability::AtMostOnce { 1 } else { 3 },
        priority: 1,
        public: false,
        models: if is_stream { vec!["small".to_owned(), "large".to_owned()] } else { Vec::new() },
    }
}

pub fn listing(id: &str, service: &str, data_centre: &str) -> Registration {
    let number: u16 = id.bytes().map(u16::from).sum();
    Registration {
        id: id.to_owned(),
        service: service.to_owned(),
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        data_centre: data_centre.to_owned(),
        version: "v1".to_owned(),
        slots: if service == "llm" { 64 } else { 6 },
        presence: Presence::Live,
        warm_up: Duration::ZERO,
        started_ms: Some(1),
    }
}

/// Head of a good answer.
pub fn good() -> AnswerHead {
    AnswerHead {
        status: 200,
        echoes_request_id: true,
        confidence: Some(90),
        ..AnswerHead::default()
    }
}

impl Bed {
    pub fn list(&mut self, listing: Registration) {
        self.dispatcher.backends_mut().register(listing, self.now);
    }

    pub fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    pub fn arrival(&mut self, path: &str) -> Arrival {
        self.next_id += 1;
        let is_chat = path.starts_with("/chat/");
        let own_part = PromptPart { id: 1_000 + self.next_id, tokens: 500 };
        Arrival {
            id: format!("request-{}", self.next_id),
            host: "site.example".to_owned(),
            path: path.to_owned(),
            key: Some(KEY.to_owned()),
            caller_timeout: Some(Duration::from_secs(20)),
            parts: if is_chat {
                vec![PromptPart { id: 7, tokens: 4_000 }, own_part]
            } else {
                Vec::new()
            },
            prompt_tokens: if is_chat { 4_500 } else { 0 },
            max_output_tokens: 300,
            fingerprint: self.next_id,
            ..Arrival::default()
        }
    }

    pub fn admit(&mut self, arrival: Arrival) -> Result<InFlightRequest, Refusal> {
        self.dispatcher.admit(arrival, self.now)
    }

    pub fn flight(&mut self, path: &str) -> InFlightRequest {
        let arrival = self.arrival(path);
        self.admit(arrival).expect("admitted")
    }

    pub fn next(&mut self, flight: &mut InFlightRequest) -> Step {
        self.dispatcher.next_step(flight, self.now)
    }

    /// The next step, which has to be an attempt; its bytes count as sent.
    pub fn send(&mut self, flight: &mut InFlightRequest) -> Attempt {
        match self.next(flight) {
            Step::Send(attempt) => {
                self.dispatcher.attempt_sent(flight, &attempt, self.now);
                *attempt
            }
            other => panic!("expected an attempt, got {other:?}"),
        }
    }

    /// The next step, which has to be a refusal.
    pub fn refusal(&mut self, flight: &mut InFlightRequest) -> Refusal {
        match self.next(flight) {
            Step::Refuse(refusal) => refusal,
            other => panic!("expected a refusal, got {other:?}"),
        }
    }

    pub fn head(
        &mut self,
        flight: &mut InFlightRequest,
        attempt: &Attempt,
        head: AnswerHead,
    ) -> HeadVerdict {
        let elapsed = millis(30 + attempt.prefill_tokens / 50);
        self.dispatcher.head_received(flight, attempt, &head, elapsed, self.now)
    }

    pub fn end(
        &mut self,
        flight: &mut InFlightRequest,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let had_head = matches!(outcome, AttemptOutcome::Whole | AttemptOutcome::Dropped);
        self.dispatcher.attempt_ended(flight, attempt, had_head, outcome, self.now);
    }

    /// Runs a whole request that is answered well; returns the server.
    pub fn serve(&mut self, path: &str) -> String {
        let mut flight = self.flight(path);
        let attempt = self.send(&mut flight);
        assert_eq!(self.head(&mut flight, &attempt, good()), HeadVerdict::Deliver);
        self.end(&mut flight, &attempt, AttemptOutcome::Whole);
        attempt.server
    }
}
