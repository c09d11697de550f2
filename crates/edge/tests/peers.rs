//! Messages between entry hosts are authenticated, and each kind of failure maps to its own error.

mod common;

use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_edge::ClientSettings;
use foxtailhoist_edge::ClientSettingsBuilder;
use foxtailhoist_edge::HttpPeers;
use foxtailhoist_edge::PeerApi;
use foxtailhoist_edge::PeerError;
use rstest::rstest;

use common::Answer;
use common::RawServer;

fn peers() -> HttpPeers {
    let settings = ClientSettingsBuilder::new().head_timeout(Duration::from_millis(300)).build();
    HttpPeers::new("nashua-1".to_owned(), "the-shared-peer-key", settings).unwrap()
}

fn status(head: &str) -> Vec<u8> {
    format!("HTTP/1.1 {head}\r\ncontent-length: 3\r\n\r\n\u{1}\u{2}\u{3}").into()
}

#[tokio::test]
async fn a_message_names_its_sender_and_returns_the_reply() {
    let server = RawServer::start(Answer::Bytes(status("200 OK"))).await;
    let message = Bytes::from_static(&[0x81, 0xa1, 0x61, 0x01]);
    let reply = peers().send(server.address, message.clone()).await;
    assert_eq!(reply, Ok(Bytes::from_static(&[1, 2, 3])));
    let received = &server.received()[0];
    assert_eq!(received.body, message);
    for line in [
        "post /peer http/1.1",
        "x-host-id: nashua-1",
        "x-peer-key: the-shared-peer-key",
        "content-type: application/msgpack",
    ] {
        assert!(received.head.contains(line), "{line} is not in {}", received.head);
    }
    server.close().await;
}

#[rstest]
#[case::wrong_key(Answer::Bytes(status("401 Unauthorized")), PeerError::Unauthenticated)]
#[case::stopping(Answer::Bytes(status("503 Stopping")), PeerError::Unreachable)]
#[case::not_a_peer(Answer::Bytes(status("404 Not Found")), PeerError::Malformed)]
#[case::silent(Answer::Nothing, PeerError::TimedOut)]
#[case::connection_closes(Answer::BytesThenClose(vec![]), PeerError::Unreachable)]
#[tokio::test]
async fn failures_map_to_distinct_errors(#[case] answer: Answer, #[case] error: PeerError) {
    let server = RawServer::start(answer).await;
    let sent = peers().send(server.address, Bytes::from_static(b"hello")).await;
    assert_eq!(sent, Err(error));
    server.close().await;
}

#[tokio::test]
async fn a_silent_connection_is_not_reused() {
    let answer = Answer::NothingOnFirstConnection(status("200 OK"));
    let server = RawServer::start(answer).await;
    let peers = peers();
    let first = peers.send(server.address, Bytes::from_static(b"one")).await;
    assert_eq!(first, Err(PeerError::TimedOut));
    assert!(peers.send(server.address, Bytes::from_static(b"two")).await.is_ok());
    server.close().await;
}

#[test]
fn the_key_must_be_a_valid_header_value_and_is_not_printed() {
    let settings = ClientSettings::default();
    assert!(HttpPeers::new("nashua-1".to_owned(), "line\nbreak", settings).is_none());
    assert!(!format!("{:?}", peers()).contains("shared"));
}
