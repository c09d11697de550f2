//! Invalid requests and wrong keys are refused without dispatching anything.

mod common;

use std::time::Duration;

use foxtailhoist_dev::Fleet;
use foxtailhoist_dev::PEER_KEY;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use common::TIMEOUT;
use common::callers;
use common::chat;
use common::chat_body;
use common::fleet;
use common::header;
use common::operators;
use common::options;
use common::refusal;
use common::renew;
use common::runs;
use common::send;
use common::started;

#[tokio::test]
async fn invalid_bodies_headers_and_keys_are_refused_without_being_run() {
    let mut options = options(1);
    options.limits.body_bytes = 64 << 10;
    options.limits.header_bytes = 4 << 10;
    let fleet = Fleet::start(options).await.unwrap();
    let address = callers(&fleet, 0);
    let good = chat_body("Why is my starter sluggish?", 4, false);
    let large = chat_body(&"x".repeat(100 << 10), 4, false);
    let post = || reqwest::Client::new().post(format!("http://{address}/v1/chat/completions"));
    let keyed = || post().bearer_auth("key-baker-help");
    let cases = [
        ("bad_request", keyed().body("{broken")),
        ("bad_request", keyed().json(&json!({ "messages": [] }))),
        ("bad_request", keyed().json(&good).header("x-padding", "x".repeat(8 << 10))),
        ("bad_request", keyed().json(&good).header("x-deadline-ms", "soon")),
        ("body_too_large", keyed().json(&large)),
        ("unauthenticated", post().json(&good)),
        ("unauthenticated", post().json(&good).bearer_auth("key-nobody")),
        ("unauthenticated", post().json(&good).header("authorization", "key-baker-help")),
    ];
    for (kind, request) in cases {
        let answer = send(request).await;
        assert_eq!(refusal(&answer), (kind.to_owned(), "not_run".to_owned()));
        assert!(answer.status().is_client_error());
    }
    assert_eq!(started(&fleet), 0);
    fleet.close().await;
}

#[tokio::test]
async fn slow_senders_are_refused() {
    let mut options = options(1);
    options.limits.body_timeout = Duration::from_millis(300);
    let fleet = Fleet::start(options).await.unwrap();
    let mut connection = TcpStream::connect(callers(&fleet, 0)).await.unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
        authorization: Bearer key-baker-help\r\ncontent-length: 100\r\n\r\n{\"messages\"";
    connection.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let length =
        tokio::time::timeout(TIMEOUT, connection.read(&mut answer)).await.unwrap().unwrap();
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(answer.contains("x-error-kind: slow_sender"), "{answer}");
    assert!(answer.contains("x-ran: not_run"), "{answer}");
    assert_eq!(started(&fleet), 0);
    fleet.close().await;
}

#[tokio::test]
async fn session_tokens_of_another_workspace_are_refused() {
    let fleet = fleet(2).await;
    let body = chat_body("Why is my starter sluggish?", 4, false);
    let first = chat(callers(&fleet, 0), "baker-help", &body).header("x-session", "s1");
    let token = header(&send(first).await, "x-session-token");
    assert!(!token.is_empty());
    let with_token = |workspace| {
        chat(callers(&fleet, 1), workspace, &body).header("x-session-token", token.clone())
    };
    assert!(send(with_token("baker-help")).await.status().is_success());
    let before = started(&fleet);
    let refused = send(with_token("schedules")).await;
    assert_eq!(refusal(&refused), ("bad_request".to_owned(), "not_run".to_owned()));
    assert_eq!(started(&fleet), before);
    fleet.close().await;
}

#[tokio::test]
async fn idempotency_keys_are_not_shared_between_workspaces() {
    let fleet = fleet(2).await;
    for workspace in ["renewals", "customer-care"] {
        let answer = send(renew(callers(&fleet, 0), workspace, "renewal-1")).await;
        assert!(answer.status().is_success(), "{:?}", refusal(&answer));
        assert_eq!(header(&answer, "x-replayed"), "");
    }
    assert_eq!(runs(&fleet), 2);
    fleet.close().await;
}

#[rstest]
#[case::caller("key-baker-help")]
#[case::operator("key-ada")]
#[case::peer(PEER_KEY)]
#[tokio::test]
async fn each_key_is_accepted_on_its_own_interface_only(#[case] key: &str) {
    let fleet = fleet(1).await;
    let client = reqwest::Client::new();
    let peers = fleet.servers[0].addresses().peers;
    let chat = client
        .post(format!("http://{}/v1/chat/completions", callers(&fleet, 0)))
        .bearer_auth(key)
        .json(&chat_body("Why is my starter sluggish?", 4, false));
    let operators = operators(&fleet, 0);
    let status = client
        .post(format!("http://{operators}/v1/operator"))
        .bearer_auth(key)
        .json(&json!({ "command": "status" }));
    let report = client.get(format!("http://{operators}/v1/report/burn")).bearer_auth(key);
    let metrics = client.get(format!("http://{peers}/peer/metrics")).header("x-peer-key", key);
    let message = client.post(format!("http://{peers}/peer")).header("x-peer-key", key);
    let endpoints = [
        ("key-baker-help", chat),
        ("key-ada", status),
        ("key-ada", report),
        (PEER_KEY, metrics),
        (PEER_KEY, message),
    ];
    for (owner, request) in endpoints {
        let answer = send(request).await;
        if key == owner {
            assert!(answer.status().is_success(), "{key}: {:?}", refusal(&answer));
        } else {
            assert_eq!(refusal(&answer).0, "unauthenticated", "{key} at an endpoint of {owner}");
        }
    }
    fleet.close().await;
}
