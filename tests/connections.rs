//! Kept connections to backend servers that close while a request is about to be sent on them.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

#[path = "soak/hosts.rs"]
mod hosts;

use std::time::Duration;

use rustix::process::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use hosts::Hosts;
use standin::KEY;
use standin::configuration;
use standin::engine::Behaviour;
use standin::engine::Engine;
use standin::eventually;
use standin::fresh_id;
use standin::is_ready;
use standin::on_one_thread;
use standin::registration;
use standin::request_to;
use standin::store::Store;

/// Rounds; in some of them the host notices the closed connection before it takes it.
const ROUNDS: usize = 10;

// Guards against silence on a new connection that is blamed on the pooled one which it replaces.
#[tokio::test]
async fn silence_on_a_connection_that_replaced_a_closed_one_is_the_servers() {
    on_one_thread(async || {
        let store = Store::start().await;
        store.put("config", "main", configuration(1));
        let engine = Engine::start("i-1").await;
        store.put("servers", "i-1", registration(&engine, "desk", "ready"));
        let hosts = Hosts::start(1, store.address, "connections");
        let client = reqwest::Client::builder().no_proxy().build().expect("a client");
        let readiness = hosts.readiness()[0];
        eventually(async || is_ready(&client, readiness).await).await;
        let address = hosts.addresses()[0];
        for _ in 0..ROUNDS {
            let mut caller = TcpStream::connect(address).await.expect("connected");
            // Leaves a connection in the pool.
            eventually(async || {
                let get = reqwest::Method::GET;
                let answer = request_to(&client, address, get, "/look/1", &fresh_id()).send().await;
                answer.is_ok_and(|answer| answer.status() == 200)
            })
            .await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            engine.next(&[Behaviour::Hang]);
            let id = fresh_id();
            let request = format!(
                "GET /look/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\n\
                 X-Deadline-Ms: 5000\r\nAuthorization: {KEY}\r\nConnection: close\r\n\r\n"
            );
            // The host finds the request and the closed connection at the same time, in this order.
            hosts.signal(0, Signal::STOP);
            tokio::time::sleep(Duration::from_millis(20)).await;
            caller.write_all(request.as_bytes()).await.expect("sent");
            engine.close_connections();
            hosts.signal(0, Signal::CONT);
            let mut answer = String::new();
            caller.read_to_string(&mut answer).await.expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            let marker = format!("request={id}");
            let is_attempt =
                |line: &&str| line.contains(&marker) && line.contains("event=attempt_ended");
            let mut log = String::new();
            eventually(async || {
                log = hosts.log(0);
                log.lines().any(|line| is_attempt(&line))
            })
            .await;
            for line in log.lines().filter(is_attempt) {
                assert!(line.contains("outcome=silent"), "{line}");
            }
        }
        hosts.close();
    })
    .await;
}
