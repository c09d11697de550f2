//! Ends of requests and of callers' connections, at entry-host processes.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

#[path = "soak/hosts.rs"]
mod hosts;

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use reqwest::Method;
use rustix::process::Signal;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use hosts::Hosts;
use standin::configuration;
use standin::engine::Behaviour;
use standin::engine::EVENTS;
use standin::engine::Engine;
use standin::eventually;
use standin::fresh_id;
use standin::is_ready;
use standin::on_one_thread;
use standin::registration;
use standin::request_to;
use standin::store::Store;
use standin::stream_head;
use standin::streamed;

struct Harness {
    store: Store,
    engine: Engine,
    hosts: Hosts,
    client: Client,
}

impl Harness {
    /// Starts one host and one engine; `name` separates the files of the tests.
    async fn start(name: &str, service: &str) -> Harness {
        let store = Store::start().await;
        store.put("config", "main", configuration(1));
        let engine = Engine::start("i-1").await;
        store.put("servers", "i-1", registration(&engine, service, "ready"));
        let hosts = Hosts::start(1, store.address, &format!("ends-{name}"));
        let client = Client::builder().no_proxy().build().expect("a client");
        let harness = Harness { store, engine, hosts, client };
        let readiness = harness.hosts.readiness()[0];
        eventually(async || is_ready(&harness.client, readiness).await).await;
        harness
    }

    fn callers(&self) -> SocketAddr {
        self.hosts.addresses()[0]
    }

    fn request(&self, method: Method, path: &str, id: &str) -> reqwest::RequestBuilder {
        request_to(&self.client, self.callers(), method, path, id)
    }

    fn chat(&self, id: &str) -> reqwest::RequestBuilder {
        streamed(self.request(Method::POST, "/chat/1", id)).body("prompt")
    }

    async fn until_served(&self, path: &str) {
        let is_served = async || {
            let answer = self.request(Method::GET, path, &fresh_id()).send().await;
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        eventually(is_served).await;
    }

    async fn until_stream_served(&self) {
        let is_served = async || {
            let answer = self.chat(&fresh_id()).send().await;
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        eventually(is_served).await;
    }

    /// Puts limits on callers into force.
    async fn limit(&self, version: u64, limits: serde_json::Value) {
        let mut limited = configuration(version);
        limited["Limits"] = limits;
        self.store.put("config", "main", limited);
        let line = format!("event=configured version={version} ");
        eventually(async || self.hosts.log(0).contains(&line)).await;
    }

    fn log_line(&self, start: &str) -> Option<String> {
        let log = self.hosts.log(0);
        let line = log.lines().find(|line| line.contains(start))?;
        Some(line.to_owned())
    }
}

/// Reads until the host closes the connection or `end` arrives.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    while !String::from_utf8_lossy(&text).contains(end) {
        match tokio::time::timeout(Duration::from_secs(10), stream.read(&mut buf)).await {
            Ok(Ok(n)) if n > 0 => text.extend_from_slice(&buf[..n]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against lines of the last moments that never leave the process, `stopped` among them.
#[tokio::test]
async fn a_stopped_host_has_logged_its_end() {
    on_one_thread(async || {
        let mut harness = Harness::start("logged", "desk").await;
        harness.hosts.signal(0, Signal::TERM);
        harness.hosts.wait(0).await;
        let stopped = harness.log_line("event=stopped").expect("a line");
        assert!(stopped.ends_with("open_connections=0 cut=0"), "{stopped}");
        harness.hosts.close();
    })
    .await;
}

/// Guards against requests that are cut by the end of the grace period and leave no trace in the log.
#[tokio::test]
async fn the_end_of_the_grace_period_names_each_request_that_it_cuts() {
    on_one_thread(async || {
        let mut harness = Harness::start("grace", "desk").await;
        harness.until_served("/look/1").await;
        harness.hosts.edit_settings(0, "grace_s: 8", "grace_s: 2");
        harness.hosts.signal(0, Signal::HUP);
        eventually(async || harness.log_line("event=reloaded").is_some()).await;
        harness.engine.always(Behaviour::Hang);
        let received = harness.engine.received().len();
        let id = fresh_id();
        let request = harness.request(Method::POST, "/renew/1", &id).body("x").send();
        let request = tokio::task::spawn_local(request);
        eventually(async || harness.engine.received().len() > received).await;
        harness.hosts.signal(0, Signal::TERM);
        harness.hosts.wait(0).await;
        assert!(request.await.expect("ran").is_err());
        let cut = harness.log_line("event=caller_closed").expect("a line");
        assert!(cut.contains(&format!("request={id} reason=grace_over phase=waiting")), "{cut}");
        let stopped = harness.log_line("event=stopped").expect("a line");
        assert!(stopped.ends_with("open_connections=1 cut=1"), "{stopped}");
        assert_eq!(harness.log_line("event=caller_left"), None);
        harness.hosts.close();
    })
    .await;
}

/// Guards against a connection closed by the header timeout that looks like one closed by its caller.
#[tokio::test]
async fn a_connection_closed_by_the_header_timeout_is_logged() {
    on_one_thread(async || {
        let harness = Harness::start("header", "desk").await;
        harness.limit(2, json!({ "HeaderTimeoutMs": 300 })).await;
        let mut stream = TcpStream::connect(harness.callers()).await.expect("a connection");
        stream.write_all(b"GET /look/1 HTTP/1.1\r\nhost: ").await.expect("written");
        assert_eq!(read_until(&mut stream, "never").await, "");
        eventually(async || {
            harness
                .log_line("event=caller_closed")
                .is_some_and(|line| line.contains("request=- reason=header_timeout phase=head"))
        })
        .await;
        harness.hosts.close();
    })
    .await;
}

/// Guards against broken streams whose log line doesn't tell the refusal behind them.
#[tokio::test]
async fn a_broken_stream_is_logged_with_the_refusal_behind_it() {
    on_one_thread(async || {
        let harness = Harness::start("broken", "llm").await;
        harness.until_stream_served().await;
        harness.engine.always(Behaviour::BreakAfter(3));
        let id = fresh_id();
        let answer = harness.chat(&id).send().await.expect("a head");
        assert!(answer.text().await.is_err());
        eventually(async || harness.log_line("event=stream_broken").is_some()).await;
        let line = harness.log_line("event=stream_broken").expect("a line");
        for field in [
            &format!("request={id}"),
            "configuration=1",
            "reason=outcome_unknown",
            "last_outcome=broken",
            "left_ms=",
            "stopping=false",
            "store_age_ms=",
        ] {
            assert!(line.contains(field), "{line} has no {field}");
        }
        harness.hosts.close();
    })
    .await;
}

/// Guards against a stream cut by the header timeout because the caller's next request began to arrive early.
#[tokio::test]
async fn early_bytes_of_a_next_request_do_not_cut_a_stream() {
    on_one_thread(async || {
        let harness = Harness::start("early", "llm").await;
        harness.until_stream_served().await;
        harness.limit(2, json!({ "HeaderTimeoutMs": 100 })).await;
        harness.engine.always(Behaviour::Slow);
        let mut stream = TcpStream::connect(harness.callers()).await.expect("a connection");
        // The host checks timeouts a second after the connection opened, which is in a pause of the stream then.
        sleep(Duration::from_millis(150)).await;
        let request = stream_head(&fresh_id()) + "\r\nprompt";
        stream.write_all(request.as_bytes()).await.expect("written");
        let head = read_until(&mut stream, "piece 1").await;
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        stream.write_all(b"GET /look/1 HT").await.expect("written");
        let rest = read_until(&mut stream, "\r\n0\r\n\r\n").await;
        assert!(rest.contains(&format!("piece {EVENTS}")), "cut after {rest:?}");
        // The head that began to arrive is bounded by the header timeout from there on.
        eventually(async || {
            harness
                .log_line("event=caller_closed")
                .is_some_and(|line| line.contains("reason=header_timeout phase=head"))
        })
        .await;
        harness.hosts.close();
    })
    .await;
}
