//! Memory of an entry host whose servers send answers without end to many requests at once.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

#[path = "soak/hosts.rs"]
mod hosts;

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use hosts::Hosts;
use standin::KEY;
use standin::configuration;
use standin::engine::Behaviour;
use standin::engine::Endless;
use standin::engine::Engine;
use standin::eventually;
use standin::fresh_id;
use standin::is_ready;
use standin::on_one_thread;
use standin::registration;
use standin::store::Store;

/// Memory of the smallest machine that runs an entry host.
const MEMORY_KB: u64 = 110 * 1024;
/// Requests at once.
const REQUESTS: usize = 100;

/// Sends a request and reads the answer to its end, or nothing of it for a time.
async fn call(address: SocketAddr, path: &str, reads: bool) {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let id = fresh_id();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\
         Authorization: {KEY}\r\nX-Model: *\r\nX-Token-Usage: 1460,80\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    if reads {
        let mut buf = vec![0; 64 * 1024];
        let read_all = async { while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {} };
        // An answer that is not closed is a matter of other tests.
        let _ = tokio::time::timeout(Duration::from_secs(6), read_all).await;
    } else {
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
}

// Guards against answers without end that exhaust the memory of the process.
#[rstest]
#[case::head_lines("/look/1", Endless::HeadLines, true)]
#[case::head_line("/look/1", Endless::HeadLine, true)]
#[case::chunked_body("/look/1", Endless::ChunkedBody, true)]
#[case::unframed_body("/look/1", Endless::UnframedBody, true)]
#[case::tiny_chunks("/look/1", Endless::TinyChunks, true)]
#[case::event("/chat/1", Endless::Event, true)]
#[case::comments("/chat/1", Endless::Comments, true)]
#[case::comments_unread("/chat/1", Endless::Comments, false)]
#[case::comment_flood_unread("/chat/1", Endless::CommentFlood, false)]
#[tokio::test]
async fn answers_without_end_do_not_exhaust_the_memory(
    #[case] path: &str,
    #[case] kind: Endless,
    #[case] reads: bool,
) {
    on_one_thread(async || {
        let store = Store::start().await;
        store.put("config", "main", configuration(1));
        let service = if path.starts_with("/chat/") { "llm" } else { "desk" };
        for number in 0..3 {
            let engine = Engine::start(&format!("i-{number}")).await;
            engine.always(Behaviour::Endless(kind));
            store.put("servers", &format!("i-{number}"), registration(&engine, service, "ready"));
        }
        let hosts = Hosts::start(1, store.address, &format!("memory-{kind:?}-{reads}"));
        let client = reqwest::Client::builder().no_proxy().build().expect("a client");
        let readiness = hosts.readiness()[0];
        eventually(async || is_ready(&client, readiness).await).await;
        let address = hosts.addresses()[0];
        let calls = (0..REQUESTS).map(|_| call(address, path, reads));
        futures::future::join_all(calls).await;
        let peak = hosts.peak_memory_kb(0);
        println!("peak of {peak} KB, {kind:?}");
        assert!(peak <= MEMORY_KB, "{peak} KB, {kind:?}");
        hosts.close();
    })
    .await;
}
