//! On a route where callers name the model, one caller names a model that no engine knows, a few times.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use common::*;

const ENGINES: usize = 12;
/// The wrong requests, when the first of them comes, and the pause after each.
const WRONG: usize = 16;
const WRONG_AT_MS: u64 = 5_000;
const WRONG_PAUSE: Duration = Duration::from_millis(250);
const END_MS: u64 = 60_000;
const KINDS: [(&str, u64); 3] = [("ask", 50), ("renew", 50), ("look", 50)];

fn main() {
    start();
    let folder = PathBuf::from(std::env::args().nth(1).expect("a folder"));
    let log = Log::create();
    let store = Store::start();
    CHECKS_MODELS.store(true, Ordering::SeqCst);
    // A route without sizes comes before the others.
    let ask = include_str!("wire/ask.json").replace("{HOST}", HOSTNAME);
    store.put("config", "main", &configuration(3).replacen(":[\n", &format!(":[\n{ask}"), 1));
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| Engine::start(&format!("i-llm-{number}"), "llm", any, Duration::from_millis(20)))
        .collect();
    let apps: Vec<Engine> = (0..3)
        .map(|number| Engine::start(&format!("i-app-{number}"), "app", any, Duration::from_millis(30)))
        .collect();
    for engine in engines.iter().chain(&apps) {
        store.put("servers", &engine.id, &engine.entry("nashua", "ready"));
    }
    let specs = [
        HostSpec { name: "nashua-1", zone: "nashua", store: store.address },
        HostSpec { name: "nashua-2", zone: "nashua", store: store.address },
    ];
    let hosts = start_hosts(&specs, &folder);
    until_ready(&hosts);
    let begin = now_ms();
    log.say(&format!("{} hosts are ready, trouble={}", hosts.len(), has_trouble()));
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let counts: Arc<[[AtomicU64; 2]; 3]> = Arc::default();
    let mut clients = Vec::new();
    for (index, (kind, interval)) in KINDS.into_iter().enumerate() {
        let (addresses, counts, log) = (addresses.clone(), counts.clone(), log.clone());
        clients.push(thread::spawn(move || {
            let (mut at, mut number) = (0, 0);
            while at < END_MS {
                sleep_until_ms(begin + at);
                let (address, counts, log) = (addresses[number % addresses.len()], counts.clone(), log.clone());
                thread::spawn(move || {
                    counts[index][0].fetch_add(1, Ordering::SeqCst);
                    if one(kind, "large", address, &log) == 200 {
                        counts[index][1].fetch_add(1, Ordering::SeqCst);
                    }
                });
                number += 1;
                at += interval;
            }
        }));
    }
    if has_trouble() {
        sleep_until_ms(begin + WRONG_AT_MS);
        for number in 0..WRONG {
            let status = one("ask", "lagre", addresses[number % addresses.len()], &log);
            log.say(&format!("a request for the model lagre gets {status}"));
            thread::sleep(WRONG_PAUSE);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(6));
    for engine in engines.iter().chain(&apps) {
        for arrival in engine.arrivals() {
            log.line(&format!("{} got {} at {} ms", engine.id, arrival.request, arrival.at_ms));
        }
    }
    let read = |index: usize| {
        let [asked, served] = &counts[index];
        (asked.load(Ordering::SeqCst) as f64, served.load(Ordering::SeqCst) as f64)
    };
    let (mut asked, mut served) = (0.0, 0.0);
    for (index, (kind, _)) in KINDS.into_iter().enumerate() {
        log.say(&format!("{kind}: {} of {} served", read(index).1, read(index).0));
        asked += read(index).0;
        served += read(index).1;
    }
    let (ask, all) = (read(0).1 / read(0).0, served / asked);
    log.say(&format!("served: ask {ask:.3}, all requests {all:.3}, a quarter of that {:.3}", all / 4.0));
    drop(hosts);
    finish(i32::from(ask < all / 4.0));
}

/// Sends one request and returns the status, 0 without an answer.
fn one(kind: &str, model: &str, host: SocketAddr, log: &Log) -> u16 {
    let id = fresh_id();
    let (head, body) = match kind {
        "ask" => (model_head("/ask/1", &id, 5_000, 6, model), &b"prompt"[..]),
        "renew" => (plain_head("POST", "/renew/1", &id, 1_000, 9), &b"household"[..]),
        _ => (plain_head("GET", "/look/1", &id, 1_000, 0), &b""[..]),
    };
    let answer = exchange(host, &head, body, Duration::from_secs(5));
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    let text = answer.map_or_else(|e| e.to_string(), |answer| answer.body.lines().next().unwrap_or_default().to_owned());
    log.line(&format!("{kind} {id} model {model}: {status} {text}"));
    status
}
