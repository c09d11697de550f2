//! Two operators' orders conflict: while a new version is on trial, the version that the service runs is ordered back. Then the
//! new version turns bad.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use common::*;

const DURATION_S: u64 = 24;
/// Time from the first order to the second one, and until the new version fails half of its requests.
const CONFLICT_AFTER_MS: u64 = 2_000;
const BAD_AFTER_MS: u64 = 6_000;
/// `RollbackMs`, `CanaryShare` and `CanaryTolerance`.
const ROLLBACK_MS: u64 = 5_000;
const BAD_ANSWERS: usize = 50;
const CANARY_SHARE: f64 = 0.15;
const CANARY_TOLERANCE: f64 = 30.0;
/// Pauses between two requests of each kind: a fifth of a second and less, as in the site file.
const KINDS: [(&str, u64); 3] = [("look", 190), ("renew", 84), ("tag", 100)];

/// When each request was sent.
type Sent = Arc<Mutex<BTreeMap<String, u64>>>;

fn main() {
    start();
    let folder = PathBuf::from(std::env::args().nth(1).expect("a folder"));
    let log = Log::create();
    let store = Store::start();
    store.put("config", "main", &configuration(3));
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let work = Duration::from_millis(30);
    let llms: Vec<Engine> =
        (0..3).map(|number| Engine::start(&format!("i-llm-{number}"), "llm", any, Duration::from_millis(20))).collect();
    let old: Vec<Engine> = (0..3).map(|number| Engine::start(&format!("i-app-{number}"), "app", any, work)).collect();
    for engine in llms.iter().chain(&old) {
        store.put("servers", &engine.id, &engine.entry("nashua", "ready"));
    }
    let specs = [
        HostSpec { name: "nashua-1", zone: "nashua", store: store.address },
        HostSpec { name: "nashua-2", zone: "nashua", store: store.address },
        HostSpec { name: "lowell-1", zone: "lowell", store: store.address },
    ];
    let hosts = start_hosts(&specs, &folder);
    until_ready(&hosts);
    log.say(&format!("{} hosts are ready, trouble={}", hosts.len(), has_trouble()));
    let sent: Sent = Arc::default();
    let is_over = Arc::new(AtomicU64::new(0));
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    for (kind, interval) in KINDS {
        let (addresses, sent, log, is_over) = (addresses.clone(), sent.clone(), log.clone(), is_over.clone());
        thread::spawn(move || {
            let (mut at, mut number) = (now_ms(), 0);
            while is_over.load(Ordering::SeqCst) == 0 {
                sleep_until_ms(at);
                let (address, sent, log) = (addresses[number % addresses.len()], sent.clone(), log.clone());
                thread::spawn(move || one(kind, address, &sent, &log));
                number += 1;
                at += interval;
            }
        });
    }
    thread::sleep(Duration::from_secs(4));
    let new: Vec<Engine> = (0..3)
        .map(|number| Engine::start_version(&format!("i-app-new-{number}"), "app", "v2", any, work))
        .collect();
    for engine in &new {
        store.put("servers", &engine.id, &engine.entry("nashua", "ready"));
    }
    thread::sleep(Duration::from_millis(500));
    let ordered_at = now_ms();
    order(&store, "v2", &log);
    sleep_until_ms(ordered_at + CONFLICT_AFTER_MS);
    if has_trouble() {
        order(&store, "v1", &log);
    }
    sleep_until_ms(ordered_at + BAD_AFTER_MS);
    for engine in &new {
        engine.fail_each(2);
    }
    log.say("version v2 fails half of its requests from now on");
    let deadline = ordered_at + DURATION_S * 1_000;
    let mut status = String::new();
    let mut stops_at = u64::MAX;
    let mut drains_at = u64::MAX;
    while now_ms() < deadline + 3_000 {
        let now = store.status("rollouts", "app").unwrap_or_default();
        if now != status {
            log.say(&format!("{} ms after the first order, the status is {now}", now_ms() - ordered_at));
            status = now;
            // At `completed` the servers of other versions stop; at `rolled_back` those of the new one drain some seconds later.
            if status.contains("completed") && status.contains("v1") {
                stops_at = now_ms();
            }
            if status.contains("rolled_back") && status.contains("v2") {
                drains_at = now_ms() + 3_000;
            }
        }
        if now_ms() >= stops_at {
            stops_at = u64::MAX;
            for engine in &new {
                engine.end();
            }
            log.line("the servers of version v2 stop");
        }
        if now_ms() >= drains_at {
            drains_at = u64::MAX;
            for engine in &new {
                store.put("servers", &engine.id, &engine.entry("nashua", "draining"));
            }
            log.line("the servers of version v2 drain");
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(1, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    let sent = sent.lock().expect("the requests").clone();
    let mut bad: Vec<u64> = new.iter().flat_map(Engine::failed_at).collect();
    bad.sort();
    let bound = bad.get(BAD_ANSWERS - 1).map(|at| at + ROLLBACK_MS);
    let (mut all, mut exposed, mut late) = (0, 0, 0);
    for engine in old.iter().chain(&new) {
        for arrival in engine.arrivals() {
            log.line(&format!("{} ({}) got {} at {} ms, ran={}", engine.id, engine.version, arrival.request, arrival.at_ms, arrival.ran));
            if arrival.at_ms >= ordered_at && arrival.at_ms < deadline {
                all += 1;
                exposed += u64::from(engine.version == "v2");
            }
            let is_sent_late = bound.zip(sent.get(&arrival.request)).is_some_and(|(bound, sent)| *sent > bound);
            late += u64::from(engine.version == "v2" && is_sent_late);
        }
    }
    let allowed = CANARY_SHARE * all as f64 + CANARY_TOLERANCE;
    log.say(&format!("until the deadline of its order, v2 got {exposed} of {all} requests; allowed {allowed:.0}"));
    log.say(&format!("bad answers of v2: {}; requests sent more than {ROLLBACK_MS} ms after the {BAD_ANSWERS}th that reached v2: {late}", bad.len()));
    drop(hosts);
    finish(i32::from(exposed as f64 > allowed || late > 0));
}

fn order(store: &Store, target: &str, log: &Log) {
    store.put("rollouts", "app", &format!("{{\"Service\":\"app\",\"Target\":\"{target}\",\"DurationS\":{DURATION_S}}}"));
    log.say(&format!("the operator orders version {target} of app"));
}

fn one(kind: &str, host: SocketAddr, sent: &Sent, log: &Log) {
    let (id, sent_at) = (fresh_id(), now_ms());
    let (head, body, timeout) = match kind {
        "tag" => (stream_head("/tag/1", &id, 5_000, 6), &b"prompt"[..], 5_000),
        "renew" => (plain_head("POST", "/renew/1", &id, 1_000, 9), &b"household"[..], 1_000),
        _ => (plain_head("GET", "/look/1", &id, 1_000, 0), &b""[..], 1_000),
    };
    sent.lock().expect("the requests").insert(id.clone(), sent_at);
    let answer = exchange(host, &head, body, Duration::from_millis(timeout));
    let text = match &answer {
        Ok(answer) => format!("{} {}", answer.status, answer.body.lines().next().unwrap_or_default()),
        Err(e) => e.to_string(),
    };
    log.line(&format!("{kind} {id} sent at {sent_at} ms: {text}"));
}
