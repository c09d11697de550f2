//! Behaviour that stand-in engines simulate: batch, priorities, cache, feed and orders.

mod common;

use std::time::Duration;

use foxtailhoist_edge::BackendApi;
use foxtailhoist_edge::PlatformError;
use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::EngineRole;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::OrderedState;
use foxtailhoist_model::Priority;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_standin::EngineSpec;
use rstest::rstest;

use common::chat;
use common::client;
use common::fast_engine;
use common::run;
use common::start;
use common::streamed;

#[tokio::test]
async fn a_full_batch_queues_by_priority_and_refuses_the_rest() {
    let spec = EngineSpec { slots: 1, waiting_limit: 2, decode_ms: 20.0, ..fast_engine() };
    let engine = start(spec).await;
    let backend = client();
    let with_priority = |attempt, priority| {
        let mut request = chat(engine.address(), attempt, "hello");
        request.priority = priority;
        request.first_byte_timeout = Duration::from_secs(10);
        request
    };
    let first = backend.start(streamed(with_priority(1, Priority::Normal), 10_000)).await.unwrap();
    let finished = tokio::sync::Mutex::new(Vec::new());
    let waiter = async |attempt, priority| {
        run(&backend, with_priority(attempt, priority)).await.unwrap();
        finished.lock().await.push(attempt);
    };
    let rest = async {
        while engine_waiting(&backend, &engine).await < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let refused = run(&backend, with_priority(4, Priority::Urgent)).await.unwrap_err();
        assert_eq!(refused.failure, AttemptFailure::Rejected);
        drop(first);
    };
    tokio::join!(waiter(2, Priority::Batch), waiter(3, Priority::Urgent), rest);
    assert_eq!(*finished.lock().await, [3, 2]);
    engine.close().await;
}

async fn engine_waiting(
    backend: &foxtailhoist_edge::HttpBackend,
    engine: &foxtailhoist_standin::EngineServer,
) -> u32 {
    let feed = backend.feed(engine.address(), 0).await.unwrap();
    feed.load.map_or(0, |load| load.waiting)
}

#[tokio::test]
async fn a_repeated_prefix_is_cached_and_evictions_are_published() {
    // Holds one prefix: the system prompt of the tests has five tokens.
    let engine = start(EngineSpec { cache_tokens: 6, ..fast_engine() }).await;
    let backend = client();
    run(&backend, chat(engine.address(), 1, "hello")).await.unwrap();
    run(&backend, chat(engine.address(), 2, "again")).await.unwrap();
    assert_eq!(engine.stats().cached_tokens, 5);
    let first = backend.feed(engine.address(), 0).await.unwrap();
    assert_eq!((first.cache.len(), first.sequence), (1, 1));

    let mut other = chat(engine.address(), 3, "hello");
    let body = String::from_utf8_lossy(&other.body).replace("bakers", "makers");
    other.body = body.into_bytes().into();
    run(&backend, other).await.unwrap();
    let next = backend.feed(engine.address(), first.sequence).await.unwrap();
    let present: Vec<bool> = next.cache.iter().map(|event| event.present).collect();
    assert_eq!(present, [false, true]);
    engine.close().await;
}

#[tokio::test]
async fn lost_cache_events_leave_a_gap() {
    let engine = start(EngineSpec { lost_event_share: 1.0, ..fast_engine() }).await;
    let backend = client();
    run(&backend, chat(engine.address(), 1, "hello")).await.unwrap();
    assert!(backend.feed(engine.address(), 0).await.unwrap().cache.is_empty());
    engine.close().await;
}

#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[tokio::test]
async fn an_old_fencing_number_is_refused_by_engines_that_check(#[case] checks_fencing: bool) {
    let engine = start(EngineSpec { checks_fencing, ..fast_engine() }).await;
    let backend = client();
    let order = |fencing, version| EngineOrder {
        server: "engine".to_owned(),
        fencing,
        state: OrderedState {
            loaded: [ModelVersion::new("levain-small", version)].into(),
            role: EngineRole::Mixed,
        },
    };
    backend.order(engine.address(), order(2, "v2")).await.unwrap();
    while !engine.stats().loaded.contains(&ModelVersion::new("levain-small", "v2")) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let late = backend.order(engine.address(), order(1, "v1")).await;
    if checks_fencing {
        assert!(matches!(late, Err(PlatformError::Refused { status: 409, .. })));
        assert_eq!(engine.stats().fenced_off, 1);
    } else {
        assert_eq!(late, Ok(()));
        assert!(engine.stats().loaded.is_empty());
    }
    engine.close().await;
}
