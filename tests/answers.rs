//! Whatever the engines do, a caller gets either the complete answer to its own request or a typed error.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use foxtailhoist_dev::Fleet;
use foxtailhoist_edge::AttemptOutput;
use foxtailhoist_edge::AttemptRequest;
use foxtailhoist_edge::AttemptStart;
use foxtailhoist_edge::BackendApi;
use foxtailhoist_edge::EngineFeed;
use foxtailhoist_edge::PlatformError;
use foxtailhoist_model::EngineOrder;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_standin::EngineFaults;
use futures::StreamExt;
use futures::future::BoxFuture;
use rstest::rstest;

use common::TIMEOUT;
use common::callers;
use common::chat;
use common::chat_body;
use common::events;
use common::eventually;
use common::fleet;
use common::options;
use common::refusal;
use common::send;
use common::set_engine_faults;
use common::started;
use common::text;

#[tokio::test]
async fn broken_streams_are_resumed_until_the_answer_is_complete() {
    let fleet = fleet(2).await;
    let body = chat_body("Why is my starter sluggish?", 40, true);
    let reference = send(chat(callers(&fleet, 0), "baker-help", &body)).await;
    let reference = events(&text(reference).await);
    assert!(reference.done);
    set_engine_faults(&fleet, &EngineFaults { break_after: Some(6), ..EngineFaults::default() });
    let mut answer = send(chat(callers(&fleet, 0), "baker-help", &body)).await;
    let first = answer.chunk().await.unwrap().expect("a first chunk");
    set_engine_faults(&fleet, &EngineFaults::default());
    let body = String::from_utf8(first.to_vec()).unwrap() + &text(answer).await;
    let streamed = events(&body);
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.error, None);
    assert_eq!(streamed.chunks, reference.chunks);
    fleet.close().await;
}

#[tokio::test]
async fn streams_that_cannot_be_completed_end_in_a_typed_error() {
    let fleet = fleet(2).await;
    set_engine_faults(&fleet, &EngineFaults { break_after: Some(3), ..EngineFaults::default() });
    let body = chat_body("Why is my starter sluggish?", 200, true);
    let streamed = events(&text(send(chat(callers(&fleet, 0), "baker-help", &body)).await).await);
    assert!(!streamed.done, "{streamed:?}");
    let error = streamed.error.expect("an error event");
    assert_eq!(error["error"]["kind"], "stream_broken");
    assert!(streamed.chunks < 200);
    fleet.close().await;
}

#[tokio::test]
async fn answers_to_other_requests_never_reach_a_caller() {
    let fleet = fleet(2).await;
    set_engine_faults(&fleet, &EngineFaults { crossed: true, ..EngineFaults::default() });
    for stream in [false, true] {
        let body = chat_body("Why is my starter sluggish?", 8, stream);
        let answer = send(chat(callers(&fleet, 0), "baker-help", &body)).await;
        assert!(!answer.status().is_success());
        assert!(!refusal(&answer).0.is_empty());
        assert!(!text(answer).await.contains("choices"));
    }
    fleet.close().await;
}

#[tokio::test]
async fn answers_after_the_deadline_are_discarded() {
    let fleet = fleet(2).await;
    set_engine_faults(&fleet, &EngineFaults { answer_late_ms: 5_000, ..EngineFaults::default() });
    let body = chat_body("Why is my starter sluggish?", 8, false);
    let request = chat(callers(&fleet, 0), "baker-help", &body).header("x-deadline-ms", "1500");
    let answer = send(request).await;
    assert!(!answer.status().is_success());
    assert!(!refusal(&answer).0.is_empty());
    assert!(!text(answer).await.contains("choices"));
    fleet.close().await;
}

#[rstest]
#[case::not_streamed(false)]
#[case::streamed(true)]
#[tokio::test]
async fn silent_connections_are_closed_and_the_request_is_served(#[case] stream: bool) {
    let fleet = fleet(2).await;
    let body = chat_body("Why is my starter sluggish?", 8, stream);
    // Opens connections to the engines; the fault then silences all that are open.
    for _ in 0..12 {
        let answer = send(chat(callers(&fleet, 0), "baker-help", &body)).await;
        assert!(answer.status().is_success());
        text(answer).await;
    }
    set_engine_faults(&fleet, &EngineFaults { silent: true, ..EngineFaults::default() });
    let answer = send(chat(callers(&fleet, 0), "baker-help", &body)).await;
    assert!(answer.status().is_success(), "{:?}", refusal(&answer));
    let body = text(answer).await;
    assert!(body.contains("choices"));
    assert!(!stream || events(&body).done);
    fleet.close().await;
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_the_engines_work() {
    let fleet = fleet(2).await;
    let body = chat_body("Why is my starter sluggish?", 4_000, true);
    let mut answer = send(chat(callers(&fleet, 0), "baker-help", &body)).await;
    answer.chunk().await.unwrap().expect("a first chunk");
    drop(answer);
    let cancelled =
        || -> u64 { fleet.deployment.engines.iter().map(|engine| engine.stats().cancelled).sum() };
    eventually("the engine's work is cancelled", async || cancelled() > 0).await;
    fleet.close().await;
}

/// Size of one chunk of an [`EndlessBackends`] answer.
const CHUNK_BYTES: usize = 64 << 10;
/// Number of chunks that exceeds all buffers between engine and caller: if this many are pulled, backpressure is
/// missing.
const MAX_CHUNKS: u64 = 1_024;

/// Backend servers whose answers are endless streams.
struct EndlessBackends {
    pulled: Arc<AtomicU64>,
}

impl BackendApi for EndlessBackends {
    fn start(
        &self,
        _attempt: AttemptRequest,
    ) -> BoxFuture<'_, Result<AttemptStart, AttemptFailure>> {
        let pulled = Arc::clone(&self.pulled);
        let payload = Bytes::from(vec![b'x'; CHUNK_BYTES]);
        let chunks = futures::stream::repeat_with(move || {
            pulled.fetch_add(1, Ordering::SeqCst);
            Ok(AttemptOutput::Chunk { bytes: payload.clone(), tokens: 1 })
        });
        let content_type = "text/event-stream".to_owned();
        let start = AttemptStart { status: 200, content_type, chunks: chunks.boxed() };
        Box::pin(async move { Ok(start) })
    }

    fn feed(
        &self,
        _server: std::net::SocketAddr,
        _after: u64,
    ) -> BoxFuture<'_, Result<EngineFeed, PlatformError>> {
        Box::pin(async { Ok(EngineFeed::default()) })
    }

    fn order(
        &self,
        _server: std::net::SocketAddr,
        _order: EngineOrder,
    ) -> BoxFuture<'_, Result<(), PlatformError>> {
        Box::pin(async { Ok(()) })
    }

    fn probe(&self, _server: std::net::SocketAddr) -> BoxFuture<'_, Result<(), PlatformError>> {
        Box::pin(async { Ok(()) })
    }

    fn retire(&self, _server: std::net::SocketAddr) {}
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_readers_apply_backpressure_to_the_engine() {
    let pulled = Arc::new(AtomicU64::new(0));
    let mut options = options(1);
    options.backends = Some(Arc::new(EndlessBackends { pulled: Arc::clone(&pulled) }));
    options.limits.buffered_chunks = 4;
    options.limits.withheld_bytes = 1 << 20;
    let fleet = Fleet::start(options).await.unwrap();
    let body = chat_body("Why is my starter sluggish?", 8, true);
    let mut answer = send(chat(callers(&fleet, 0), "baker-help", &body)).await;
    answer.chunk().await.unwrap().expect("a first chunk");
    let settled = async {
        let mut before = u64::MAX;
        while pulled.load(Ordering::SeqCst) != before {
            before = pulled.load(Ordering::SeqCst);
            assert!(
                before < MAX_CHUNKS,
                "{before} chunks were pulled for a reader that does not read"
            );
            tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, settled).await.expect("the engine stops producing in time");
    drop(answer);
    fleet.close().await;
}

#[tokio::test]
async fn prompts_of_several_megabytes_are_answered() {
    let fleet = fleet(1).await;
    let body = chat_body(&"flour and water ".repeat(400_000), 8, false);
    let request = chat(callers(&fleet, 0), "baker-help", &body).header("x-deadline-ms", "25000");
    let answer = send(request).await;
    assert!(answer.status().is_success(), "{:?}", refusal(&answer));
    assert!(text(answer).await.contains("choices"));
    fleet.close().await;
}

#[tokio::test]
async fn requests_with_a_shared_prefix_hit_the_prefix_cache() {
    const REQUESTS: u64 = 12;
    let fleet = fleet(1).await;
    let system = "You help bakers with their starters. ".repeat(200);
    let prefix_tokens = u64::from(foxtailhoist_edge::estimated_tokens(&system));
    for index in 0..REQUESTS {
        let body = serde_json::json!({
            "model": "levain-large",
            "messages": [
                { "role": "system", "content": system },
                { "role": "user", "content": format!("Question {index}") },
            ],
            "max_tokens": 4,
        });
        let answer = send(chat(callers(&fleet, 0), "baker-help", &body)).await;
        assert!(answer.status().is_success(), "{:?}", refusal(&answer));
        text(answer).await;
    }
    let cached: u64 =
        fleet.deployment.engines.iter().map(|engine| engine.stats().cached_tokens).sum();
    // Hedged attempts count too; only the first attempt may miss the cache.
    let attempts = started(&fleet);
    assert!(attempts >= REQUESTS);
    assert!(cached >= (REQUESTS - 1) * prefix_tokens, "{cached} tokens in {attempts} attempts");
    assert!(cached <= (attempts - 1) * prefix_tokens, "{cached} tokens in {attempts} attempts");
    fleet.close().await;
}
