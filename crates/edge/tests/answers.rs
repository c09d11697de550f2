//! Truncated, misdirected or malformed answers are never accepted as complete ones.

mod common;

use std::time::Duration;

use foxtailhoist_edge::AttemptOutput;
use foxtailhoist_edge::AttemptRequest;
use foxtailhoist_edge::BackendApi;
use foxtailhoist_edge::ClientSettingsBuilder;
use foxtailhoist_edge::HttpBackend;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Priority;
use foxtailhoist_route::event::AttemptFailure;
use futures::StreamExt;
use rstest::rstest;

use common::Answer;
use common::RawServer;
use common::Script;

const OWN_ID: &str = "x-attempt-id: 00000000000000000000000000000007\r\n";

fn client() -> HttpBackend {
    let settings = ClientSettingsBuilder::new().idle_timeout(Duration::from_millis(300)).build();
    HttpBackend::new(settings)
}

fn attempt(server: &RawServer, is_engine: bool) -> AttemptRequest {
    AttemptRequest {
        attempt: 7,
        address: server.address,
        model_version: is_engine.then(|| ModelVersion::new("levain-small", "v1")),
        method: "POST".to_owned(),
        path: "/renew?household=7".to_owned(),
        body: "{}".into(),
        content_type: "application/json".to_owned(),
        streamed: false,
        priority: Priority::Urgent,
        remaining: Duration::from_secs(3),
        first_byte_timeout: Duration::from_secs(3),
        resume_after: 0,
        idempotency_key: Some("order-1".to_owned()),
    }
}

/// Reads the payloads of an answer, or the failure that ended it.
async fn read(
    client: &HttpBackend,
    request: AttemptRequest,
) -> Result<Vec<String>, AttemptFailure> {
    let mut start = client.start(request).await?;
    let mut payloads = Vec::new();
    while let Some(output) = start.chunks.next().await {
        match output? {
            AttemptOutput::Chunk { bytes, .. } => {
                payloads.push(String::from_utf8(bytes.to_vec()).unwrap());
            }
            AttemptOutput::End(_) => return Ok(payloads),
        }
    }
    panic!("the answer stream ended without an end or a failure");
}

fn respond(head: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {head}\r\n{body}").into_bytes()
}

fn chunked(body: &str, end: &str) -> Vec<u8> {
    let head = format!("200 OK\r\n{OWN_ID}content-type: text/event-stream\r\n");
    let head = format!("{head}transfer-encoding: chunked\r\n");
    respond(&head, &format!("{:x}\r\n{body}\r\n{end}", body.len()))
}

#[tokio::test]
async fn an_attempt_is_sent_with_its_headers() {
    let server = RawServer::start(Answer::Bytes(respond(
        &format!("200 OK\r\n{OWN_ID}content-length: 2\r\n"),
        "ok",
    )))
    .await;
    assert_eq!(read(&client(), attempt(&server, false)).await, Ok(vec!["ok".to_owned()]));
    let received = server.received();
    let head = &received[0].head;
    for line in [
        "post /renew?household=7 http/1.1",
        OWN_ID.trim_end(),
        "x-priority: urgent",
        "x-deadline-ms: 3000",
        "idempotency-key: order-1",
        "content-type: application/json",
    ] {
        assert!(head.contains(line), "{line} is not in {head}");
    }
    assert_eq!(received[0].body, b"{}");
    server.close().await;
}

#[rstest]
#[case::no_id("200 OK\r\ncontent-length: 2\r\n", AttemptFailure::WrongAttempt)]
#[case::other_id(
    "200 OK\r\nx-attempt-id: 8\r\ncontent-length: 2\r\n",
    AttemptFailure::WrongAttempt
)]
#[case::not_run_without_id(
    "503 No\r\nx-not-run: 1\r\ncontent-length: 2\r\n",
    AttemptFailure::ServerError
)]
#[case::not_run_with_other_id(
    "503 No\r\nx-not-run: 1\r\nx-attempt-id: 8\r\ncontent-length: 2\r\n",
    AttemptFailure::WrongAttempt
)]
#[case::not_run(
    "503 No\r\nx-not-run: 1\r\nx-attempt-id: 7\r\ncontent-length: 2\r\n",
    AttemptFailure::Rejected
)]
#[case::not_marked_as_not_run(
    "503 No\r\nx-attempt-id: 7\r\ncontent-length: 2\r\n",
    AttemptFailure::ServerError
)]
#[tokio::test]
async fn a_head_is_accepted_only_with_the_attempts_id(
    #[case] head: &str,
    #[case] failure: AttemptFailure,
) {
    let server = RawServer::start(Answer::Bytes(respond(head, "{}"))).await;
    assert_eq!(read(&client(), attempt(&server, true)).await, Err(failure));
    server.close().await;
}

#[tokio::test]
async fn events_are_split_only_at_event_boundaries() {
    let server = {
        let body = ": comment\r\nevent: message\r\ndata: {\"choices\":[],\r\ndata: \"id\":\"a\"}\r\n\r\n\
                    data:{\"id\":\"b\"}\n\ndata: [DONE]\n\n";
        RawServer::start(Answer::Bytes(chunked(body, "0\r\n\r\n"))).await
    };
    let payloads = read(&client(), attempt(&server, true)).await.unwrap();
    assert_eq!(payloads, ["{\"choices\":[],\n\"id\":\"a\"}", "{\"id\":\"b\"}"]);
    server.close().await;
}

#[rstest]
#[case::ends_without_done_marker(
    Answer::Bytes(chunked("data: {}\n\n", "0\r\n\r\n")),
    AttemptFailure::ConnectionLost
)]
#[case::connection_closes(
    Answer::BytesThenClose(chunked("data: {}\n\n", "")),
    AttemptFailure::ConnectionLost
)]
#[case::not_json(Answer::Bytes(chunked("data: {\n\n", "")), AttemptFailure::ServerError)]
#[case::reports_an_error(
    Answer::Bytes(chunked("data: {\"error\":{\"message\":\"no\"}}\n\n", "")),
    AttemptFailure::ServerError
)]
#[case::line_without_end(
    Answer::Bytes(chunked(&format!("data: {}", "a".repeat(300_000)), "")),
    AttemptFailure::ServerError
)]
#[case::event_without_end(
    Answer::Bytes(chunked(&"data: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n".repeat(9_000), "")),
    AttemptFailure::ServerError
)]
#[tokio::test]
async fn an_incomplete_stream_is_a_failure(
    #[case] answer: Answer,
    #[case] failure: AttemptFailure,
) {
    let server = RawServer::start(answer).await;
    assert_eq!(read(&client(), attempt(&server, true)).await, Err(failure));
    server.close().await;
}

#[rstest]
#[case::shorter_than_stated(
    Answer::BytesThenClose(respond(&format!("200 OK\r\n{OWN_ID}content-length: 9\r\n"), "half")),
    false,
    AttemptFailure::ConnectionLost
)]
#[case::no_length_stated(
    Answer::BytesThenClose(respond(&format!("200 OK\r\n{OWN_ID}"), "half")),
    false,
    AttemptFailure::ConnectionLost
)]
#[case::not_a_completion(
    Answer::Bytes(respond(&format!("200 OK\r\n{OWN_ID}content-length: 4\r\n"), "half")),
    true,
    AttemptFailure::ServerError
)]
#[case::stalls(
    Answer::Bytes(respond(&format!("200 OK\r\n{OWN_ID}content-length: 9\r\n"), "half")),
    false,
    AttemptFailure::TimedOut
)]
#[tokio::test]
async fn an_incomplete_body_is_a_failure(
    #[case] answer: Answer,
    #[case] is_engine: bool,
    #[case] failure: AttemptFailure,
) {
    let server = RawServer::start(answer).await;
    assert_eq!(read(&client(), attempt(&server, is_engine)).await, Err(failure));
    server.close().await;
}

#[tokio::test]
async fn a_broken_answer_of_an_unreachable_server_reports_its_death() {
    let cut = respond(&format!("200 OK\r\n{OWN_ID}content-length: 9\r\n"), "half");
    let script =
        Script { probe: Answer::BytesThenClose(vec![]), other: Answer::BytesThenClose(cut) };
    let server = RawServer::start_with(script).await;
    let failure = read(&client(), attempt(&server, false)).await;
    assert_eq!(failure, Err(AttemptFailure::ServerDied));
    server.close().await;
}

#[tokio::test]
async fn a_client_error_is_passed_to_the_caller() {
    let server = RawServer::start(Answer::Bytes(respond(
        &format!("400 Bad\r\n{OWN_ID}content-length: 7\r\n"),
        "no good",
    )))
    .await;
    let start = client().start(attempt(&server, true)).await.unwrap();
    assert_eq!(start.status, 400);
    server.close().await;
}

#[tokio::test]
async fn a_retired_server_gets_a_new_connection() {
    let server = RawServer::start(Answer::Bytes(respond(
        &format!("200 OK\r\n{OWN_ID}content-length: 2\r\n"),
        "ok",
    )))
    .await;
    let client = client();
    read(&client, attempt(&server, false)).await.unwrap();
    read(&client, attempt(&server, false)).await.unwrap();
    client.retire(server.address);
    read(&client, attempt(&server, false)).await.unwrap();
    let connections: Vec<usize> =
        server.received().iter().map(|request| request.connection).collect();
    assert_eq!(connections, [1, 1, 2]);
    server.close().await;
}
