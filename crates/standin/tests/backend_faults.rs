//! Each fault of an engine or plain service is reported by the HTTP client as the matching failure.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhoist_edge::BackendApi;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_standin::BadVersion;
use foxtailhoist_standin::CRASH_DOWNTIME;
use foxtailhoist_standin::EngineFaults;
use foxtailhoist_standin::EngineSpec;
use foxtailhoist_standin::PlainServiceFaults;
use foxtailhoist_standin::PlainServiceServer;
use foxtailhoist_standin::UNACCEPTABLE_MARK;
use rstest::rstest;
use tokio::net::TcpListener;

use common::ANY_PORT;
use common::FailedAnswer;
use common::chat;
use common::client;
use common::fast_engine;
use common::read;
use common::renewal;
use common::run;
use common::start;
use common::streamed;
use common::version;

#[tokio::test]
async fn complete_answers_report_usage_and_confidence() {
    let engine = start(fast_engine()).await;
    let answer = run(&client(), chat(engine.address(), 7, "why is it flat?")).await.unwrap();
    assert_eq!((answer.status, answer.payloads.len(), answer.tokens), (200, 1, 8));
    assert_eq!(answer.summary.usage.output_tokens, 8);
    assert!(answer.summary.confidence.is_some() && !answer.summary.leaving);
    engine.close().await;
}

#[tokio::test]
async fn streams_report_tokens_and_end_once() {
    let engine = start(fast_engine()).await;
    let request = streamed(chat(engine.address(), 7, "why is it flat?"), 20);
    let answer = run(&client(), request).await.unwrap();
    assert_eq!((answer.tokens, answer.payloads.len()), (20, 21));
    assert_eq!(answer.summary.usage.output_tokens, 20);
    assert!(answer.summary.confidence.is_some());
    assert_eq!(engine.stats().finished, 1);
    engine.close().await;
}

#[tokio::test]
async fn a_broken_stream_is_reported_and_can_be_resumed() {
    let engine = start(fast_engine()).await;
    engine.set_faults(EngineFaults { break_after: Some(5), ..EngineFaults::default() });
    let request = streamed(chat(engine.address(), 7, "why is it flat?"), 20);
    let broken = run(&client(), request.clone()).await.unwrap_err();
    assert_eq!(broken, FailedAnswer { tokens: 5, failure: AttemptFailure::ConnectionLost });

    engine.set_faults(EngineFaults::default());
    let mut resumed = request.clone();
    resumed.attempt = 8;
    resumed.resume_after = broken.tokens;
    let rest = run(&client(), resumed).await.unwrap();
    let mut complete = request;
    complete.attempt = 9;
    let complete = run(&client(), complete).await.unwrap();
    assert_eq!(rest.tokens, 15);
    let texts = |payloads: &[bytes::Bytes]| -> Vec<String> { payloads.iter().map(text).collect() };
    assert_eq!(texts(&rest.payloads), texts(&complete.payloads[5..]));
    engine.close().await;
}

fn text(payload: &bytes::Bytes) -> String {
    let chunk: foxtailhoist_edge::CompletionChunk = serde_json::from_slice(payload).unwrap();
    chunk.choices[0].delta.text().to_owned()
}

#[tokio::test]
async fn a_closed_port_is_reported_as_refused() {
    let listener = TcpListener::bind(SocketAddr::from(ANY_PORT)).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let failure = run(&client(), chat(address, 7, "hello")).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::Refused);
}

#[tokio::test]
async fn a_version_that_is_not_loaded_is_rejected() {
    let engine = start(EngineSpec { loaded: [].into(), ..fast_engine() }).await;
    let failure = run(&client(), chat(engine.address(), 7, "hello")).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::Rejected);
    assert_eq!(engine.stats().started, 0);
    engine.close().await;
}

#[tokio::test]
async fn a_crashed_server_refuses_connections_until_it_listens_again() {
    let engine = start(fast_engine()).await;
    let client = client();
    engine.set_faults(EngineFaults {
        crash_on: Some("poison".to_owned()),
        ..EngineFaults::default()
    });
    let poison = chat(engine.address(), 7, "poison");
    let failure = run(&client, poison).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::ServerDied);
    let next = run(&client, chat(engine.address(), 8, "hello")).await.unwrap_err().failure;
    assert_eq!(next, AttemptFailure::Refused);
    while client.probe(engine.address()).await.is_err() {
        tokio::time::sleep(CRASH_DOWNTIME / 20).await;
    }
    run(&client, chat(engine.address(), 9, "hello")).await.unwrap();
    assert_eq!(engine.stats().crashes, 1);
    engine.close().await;
}

#[rstest]
#[case::not_streamed(false)]
#[case::streamed(true)]
#[tokio::test]
async fn a_silent_connection_is_distinguished_from_a_slow_server(#[case] stream: bool) {
    let engine = start(fast_engine()).await;
    let client = client();
    let request = |attempt| {
        let mut request = chat(engine.address(), attempt, "hello");
        if stream {
            request = streamed(request, 8);
        }
        request.first_byte_timeout = Duration::from_millis(400);
        request
    };
    run(&client, request(1)).await.unwrap();
    engine.set_faults(EngineFaults { silent: true, ..EngineFaults::default() });
    let failure = run(&client, request(2)).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::SilentConnection);
    // The connection pool was retired, so the next attempt opens a new connection.
    run(&client, request(3)).await.unwrap();

    engine.set_faults(EngineFaults { answer_late_ms: 60_000, ..EngineFaults::default() });
    let failure = run(&client, request(4)).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::TimedOut);
    engine.close().await;
}

#[tokio::test]
async fn a_stream_on_a_silent_connection_is_distinguished_from_a_stalled_engine() {
    let engine = start(EngineSpec { decode_ms: 20.0, ..fast_engine() }).await;
    let client = client();
    let request = streamed(chat(engine.address(), 1, "hello"), 50);
    let start = client.start(request).await.unwrap();
    engine.set_faults(EngineFaults { silent: true, ..EngineFaults::default() });
    let broken = read(start).await.unwrap_err();
    assert_eq!(broken.failure, AttemptFailure::SilentConnection);
    engine.close().await;

    // Here the connection works, but the engine makes no progress.
    let engine = common::start(EngineSpec { decode_ms: 20.0, ..fast_engine() }).await;
    let slow = EngineFaults { slow_factor: Some(10_000.0), ..EngineFaults::default() };
    let start = client.start(streamed(chat(engine.address(), 2, "hello"), 50)).await.unwrap();
    engine.set_faults(slow);
    assert_eq!(read(start).await.unwrap_err().failure, AttemptFailure::TimedOut);
    engine.close().await;
}

#[tokio::test]
async fn an_answer_with_a_wrong_attempt_id_is_rejected() {
    let engine = start(fast_engine()).await;
    engine.set_faults(EngineFaults { crossed: true, ..EngineFaults::default() });
    let failure = run(&client(), chat(engine.address(), 7, "hello")).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::WrongAttempt);
    engine.close().await;
}

#[tokio::test]
async fn a_refusal_with_a_wrong_attempt_id_is_rejected() {
    let engine = start(EngineSpec { loaded: [].into(), ..fast_engine() }).await;
    engine.set_faults(EngineFaults { crossed: true, ..EngineFaults::default() });
    let failure = run(&client(), chat(engine.address(), 7, "hello")).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::WrongAttempt);
    engine.close().await;
}

#[tokio::test]
async fn a_bad_version_fails_or_gives_unacceptable_answers() {
    let engine = start(fast_engine()).await;
    let bad = |unacceptable_share, error_share| {
        let bad = BadVersion { version: version(), unacceptable_share, error_share };
        EngineFaults { bad: vec![bad], ..EngineFaults::default() }
    };
    engine.set_faults(bad(1.0, 0.0));
    let answer = run(&client(), chat(engine.address(), 7, "hello")).await.unwrap();
    assert!(String::from_utf8_lossy(&answer.payloads[0]).contains(UNACCEPTABLE_MARK));
    engine.set_faults(bad(0.0, 1.0));
    let failure = run(&client(), chat(engine.address(), 8, "hello")).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::ServerError);
    engine.close().await;
}

#[tokio::test]
async fn a_leaving_server_announces_it_in_answers_and_feed() {
    let engine = start(fast_engine()).await;
    let client = client();
    engine.set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
    let answer = run(&client, chat(engine.address(), 7, "hello")).await.unwrap();
    assert!(answer.summary.leaving);
    assert!(client.feed(engine.address(), 0).await.unwrap().leaving);
    assert_eq!(engine.stats().started_while_leaving, 1);
    engine.close().await;
}

#[tokio::test]
async fn a_service_counts_a_run_whose_answer_is_lost() {
    let service = PlainServiceServer::start(ANY_PORT.into()).await.unwrap();
    let client = client();
    let request = |attempt| renewal(service.address(), attempt, "order-1");
    run(&client, request(1)).await.unwrap();
    service.set_faults(PlainServiceFaults { lose_answers: true, ..Default::default() });
    let failure = run(&client, request(2)).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::ConnectionLost);
    assert_eq!(service.renewal_counts().runs["order-1"], 2);
    service.set_faults(PlainServiceFaults { reject: true, ..Default::default() });
    let failure = run(&client, request(3)).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::Rejected);
    assert_eq!(service.renewal_counts().total, 2);
    service.close().await;
}

#[tokio::test]
async fn a_slow_service_times_out() {
    let service = PlainServiceServer::start(ANY_PORT.into()).await.unwrap();
    service.set_faults(PlainServiceFaults { slow_ms: 60_000, ..Default::default() });
    let failure =
        run(&client(), renewal(service.address(), 1, "order-1")).await.unwrap_err().failure;
    assert_eq!(failure, AttemptFailure::TimedOut);
    service.close().await;
}

#[tokio::test]
async fn dropping_a_stream_cancels_the_attempt() {
    let engine = start(EngineSpec { decode_ms: 5.0, ..fast_engine() }).await;
    let start = client().start(streamed(chat(engine.address(), 1, "hello"), 10_000)).await.unwrap();
    drop(start);
    while engine.stats().cancelled == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    engine.close().await;
}
