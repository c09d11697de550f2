//! The object API through its HTTP client: conditions, watches, and the error that each fault gives.

mod common;

use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_edge::CallTotals;
use foxtailhoist_edge::ClientSettings;
use foxtailhoist_edge::HttpObjectApi;
use foxtailhoist_edge::ObjectApi;
use foxtailhoist_model::Condition;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_standin::ObjectApiFaults;
use foxtailhoist_standin::ObjectApiServer;
use foxtailhoist_standin::ObjectApiSpec;
use rstest::rstest;

use common::ANY_PORT;
use common::short_timeouts;

const KEY: &str = "journal/3/a key+with&odd?chars#";

async fn start() -> ObjectApiServer {
    ObjectApiServer::start(ANY_PORT.into(), ObjectApiSpec::default()).await.unwrap()
}

fn put(value: &'static [u8], condition: Condition) -> StoreOp {
    StoreOp::Put { key: KEY.to_owned(), value: Bytes::from_static(value), condition }
}

fn get() -> StoreOp {
    StoreOp::Get { key: KEY.to_owned() }
}

fn watch(after: u64, wait: Duration) -> StoreOp {
    StoreOp::Watch { prefix: "journal/".to_owned(), after, wait }
}

#[tokio::test]
async fn conditions_versions_and_lists_work_over_http() {
    let server = start().await;
    let api = HttpObjectApi::new(server.address(), ClientSettings::default());
    assert_eq!(api.call(get()).await, Ok(StoreReply::Object(None)));
    assert_eq!(api.call(put(b"1", Condition::Absent)).await, Ok(StoreReply::Written(1)));
    assert_eq!(api.call(put(b"2", Condition::Absent)).await, Ok(StoreReply::Conflict));
    assert_eq!(api.call(put(b"2", Condition::Version(1))).await, Ok(StoreReply::Written(2)));
    assert_eq!(api.call(put(b"3", Condition::Version(1))).await, Ok(StoreReply::Conflict));
    let Ok(StoreReply::Object(Some(object))) = api.call(get()).await else {
        panic!("the object is there");
    };
    assert_eq!((object.key.as_str(), object.version, &object.value[..]), (KEY, 2, &b"2"[..]));
    let list = StoreOp::List { prefix: "journal/3/".to_owned(), after: None, limit: 10 };
    let listed = api.call(list).await;
    assert_eq!(listed, Ok(StoreReply::Objects { objects: vec![object], at: 2 }));
    let delete =
        |version| StoreOp::Delete { key: KEY.to_owned(), condition: Condition::Version(version) };
    assert_eq!(api.call(delete(1)).await, Ok(StoreReply::Conflict));
    assert_eq!(api.call(delete(2)).await, Ok(StoreReply::Deleted));
    assert_eq!(api.counter().totals(), CallTotals { reads: 3, writes: 6, watches: 0 });
    server.close().await;
}

#[tokio::test]
async fn a_watch_waits_for_a_change() {
    let server = start().await;
    let api = HttpObjectApi::new(server.address(), ClientSettings::default());
    let empty = api.call(watch(0, Duration::from_millis(20))).await;
    assert_eq!(empty, Ok(StoreReply::Objects { objects: vec![], at: 0 }));
    let (seen, written) = tokio::join!(
        api.call(watch(0, Duration::from_secs(30))),
        api.call(put(b"1", Condition::Any))
    );
    assert_eq!(written, Ok(StoreReply::Written(1)));
    let Ok(StoreReply::Objects { objects, at: 1 }) = seen else {
        panic!("the watch sees the write, not {seen:?}");
    };
    assert_eq!(objects.len(), 1);
    server.close().await;
}

#[rstest]
#[case::down(
    ObjectApiFaults { down: true, ..Default::default() },
    StoreError::Unavailable, StoreError::Unavailable, false)]
#[case::slow(
    ObjectApiFaults { slow_ms: 1_000, ..Default::default() },
    StoreError::Unavailable, StoreError::Unknown, true)]
#[tokio::test]
async fn faults_give_distinct_errors(
    #[case] faults: ObjectApiFaults,
    #[case] on_read: StoreError,
    #[case] on_write: StoreError,
    #[case] takes_effect: bool,
) {
    let server = start().await;
    let api = HttpObjectApi::new(server.address(), short_timeouts());
    server.set_faults(faults);
    assert_eq!(api.call(get()).await, Err(on_read));
    assert_eq!(api.call(put(b"1", Condition::Absent)).await, Err(on_write));
    server.set_faults(ObjectApiFaults::default());
    while takes_effect && server.objects().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(server.objects().is_empty(), !takes_effect);
    server.close().await;
}

#[tokio::test]
async fn a_write_with_a_lost_answer_is_unknown_and_takes_effect() {
    let server = start().await;
    let api = HttpObjectApi::new(server.address(), short_timeouts());
    server.set_faults(ObjectApiFaults { lose_answers: true, ..Default::default() });
    assert_eq!(api.call(put(b"1", Condition::Absent)).await, Err(StoreError::Unknown));
    assert_eq!(server.objects().object(KEY).unwrap().value, Bytes::from_static(b"1"));
    assert!(matches!(api.call(get()).await, Ok(StoreReply::Object(Some(_)))));
    server.close().await;
}

#[tokio::test]
async fn stale_reads_return_old_objects_and_writes_check_current_ones() {
    let server = start().await;
    let api = HttpObjectApi::new(server.address(), short_timeouts());
    server.set_faults(ObjectApiFaults { stale_reads: true, ..Default::default() });
    assert_eq!(api.call(put(b"1", Condition::Absent)).await, Ok(StoreReply::Written(1)));
    assert_eq!(api.call(get()).await, Ok(StoreReply::Object(None)));
    assert_eq!(api.call(put(b"2", Condition::Absent)).await, Ok(StoreReply::Conflict));
    server.close().await;
}

#[tokio::test]
async fn a_call_over_the_rate_is_throttled_with_a_retry_delay() {
    let spec = ObjectApiSpec { writes_per_second: 1.0, ..ObjectApiSpec::default() };
    let server = ObjectApiServer::start(ANY_PORT.into(), spec).await.unwrap();
    let api = HttpObjectApi::new(server.address(), ClientSettings::default());
    assert_eq!(api.call(put(b"1", Condition::Any)).await, Ok(StoreReply::Written(1)));
    let refused = api.call(put(b"2", Condition::Any)).await;
    assert_eq!(refused, Err(StoreError::Throttled { retry_after_ms: 1_000 }));
    server.close().await;
}

#[tokio::test]
async fn a_closed_object_api_is_unavailable_and_an_oversized_value_is_refused() {
    let server = start().await;
    let api = HttpObjectApi::new(server.address(), short_timeouts());
    let large = StoreOp::Put {
        key: KEY.to_owned(),
        value: vec![0; 1_000_001].into(),
        condition: Condition::Any,
    };
    assert!(matches!(api.call(large).await, Err(StoreError::Refused { .. })));
    server.close().await;
    assert_eq!(api.call(put(b"1", Condition::Any)).await, Err(StoreError::Unavailable));
}
