//! A request that ends leaves no withheld attempt behind in the registry; the delivered one may still send its output.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::Usage;
use foxtailhoist_report::Labels;
use foxtailhoist_route::event::Completion;
use foxtailhoist_server::recorder::Arrival;
use foxtailhoist_server::registry::AttemptEntry;
use foxtailhoist_server::registry::Delivery;
use foxtailhoist_server::registry::Registry;
use foxtailhoist_server::registry::RequestContent;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const REQUEST: u128 = 1;
const DELIVERED: u128 = 10;
const WITHHELD: u128 = 11;

fn content() -> RequestContent {
    RequestContent {
        workspace: "bakers".to_owned(),
        session: None,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        body: Bytes::new(),
        content_type: "application/json".to_owned(),
        streamed: false,
        idempotency_key: None,
    }
}

fn completion() -> Box<Completion> {
    Box::new(Completion {
        request: REQUEST,
        attempt: DELIVERED,
        workspace: "bakers".to_owned(),
        class: None,
        model_version: None,
        server: "levain-large-1".to_owned(),
        revision: 1,
        usage: Usage::default(),
        attempts: 2,
        first_byte: Duration::ZERO,
        total: Duration::ZERO,
        session: None,
        session_moved: false,
    })
}

fn add_attempt(registry: &mut Registry, attempt: u128) -> JoinHandle<()> {
    let (delivery, _permission) = watch::channel(Delivery::Withheld);
    registry.add_attempt(attempt, AttemptEntry { request: REQUEST, delivery, task: None });
    let task = tokio::spawn(std::future::pending());
    registry.set_task(attempt, task.abort_handle());
    task
}

#[tokio::test]
async fn a_complete_answer_cancels_the_withheld_attempts() {
    let mut registry = Registry::default();
    let arrival = Arrival { caller: 1, deadline: Instant::now(), streamed: false };
    let opened = registry.open(REQUEST, content(), arrival, Labels::default(), 4);
    let handle = opened.expect("the id is new");
    let delivered = add_attempt(&mut registry, DELIVERED);
    let withheld = add_attempt(&mut registry, WITHHELD);
    registry.complete(completion());
    assert!(withheld.await.expect_err("the attempt was stopped").is_cancelled());
    assert_eq!(registry.attempts(), 1);
    assert!(!delivered.is_finished());
    assert!(handle.outcome.await.is_ok());
}
