//! A new version is bad and is rolled back. In a quiet hour the operator orders the version back that the service runs; then
//! ordinary traffic comes again.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const DURATION_S: u64 = 24;
/// Time from the rollback until the servers of the bad version drain, until they end, and until the second order.
const DRAIN_AFTER_MS: u64 = 3_000;
const END_AFTER_MS: u64 = 5_500;
const ORDER_AFTER_MS: u64 = 8_000;
/// Time from the rollback until the quiet hour, and its end after the second order.
const QUIET_AFTER_MS: u64 = 2_000;
const QUIET_UNTIL_MS: u64 = 30_000;
/// Time for which the service is observed after the second order.
const OBSERVED_MS: u64 = 78_000;
/// Pauses between two requests of each kind, at ordinary times and in the quiet hour.
const KINDS: [(&str, u64, u64); 3] = [("look", 30, 9_000), ("renew", 30, 9_000), ("tag", 9, 40)];

#[derive(Default)]
struct Counts {
    /// Requests asked and served, by kind.
    kinds: [[AtomicU64; 2]; 3],
}

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
    let counts: Arc<Counts> = Arc::default();
    let is_over = Arc::new(AtomicU64::new(0));
    let is_quiet = Arc::new(AtomicU64::new(0));
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    for (index, (kind, interval, quiet_interval)) in KINDS.into_iter().enumerate() {
        let (addresses, counts, log) = (addresses.clone(), counts.clone(), log.clone());
        let (is_over, is_quiet) = (is_over.clone(), is_quiet.clone());
        thread::spawn(move || {
            let (mut at, mut number) = (now_ms(), 0);
            while is_over.load(Ordering::SeqCst) == 0 {
                sleep_until_ms(at);
                let (address, counts, log) = (addresses[number % addresses.len()], counts.clone(), log.clone());
                thread::spawn(move || one(kind, address, &counts.kinds[index], &log));
                number += 1;
                let before = now_ms();
                let quiet = is_quiet.load(Ordering::SeqCst);
                at = before + if quiet == 0 { interval } else { quiet_interval };
                while now_ms() < at && is_quiet.load(Ordering::SeqCst) == quiet {
                    thread::sleep(Duration::from_millis(1));
                }
                at = now_ms();
            }
        });
    }
    thread::sleep(Duration::from_secs(4));
    let new: Vec<Engine> = (0..3)
        .map(|number| Engine::start_version(&format!("i-app-new-{number}"), "app", "v2", any, work))
        .collect();
    for engine in &new {
        engine.fail_each(2);
        store.put("servers", &engine.id, &engine.entry("nashua", "ready"));
    }
    thread::sleep(Duration::from_millis(500));
    order(&store, "v2", &log);
    let deadline = Instant::now() + Duration::from_secs(DURATION_S + 2);
    while !store.status("rollouts", "app").unwrap_or_default().contains("rolled_back") {
        if Instant::now() > deadline {
            log.say("cannot run: the bad version is not rolled back");
            drop(hosts);
            finish(2);
        }
        thread::sleep(Duration::from_millis(10));
    }
    let rolled_back_at = now_ms();
    log.say("the bad version v2 is rolled back");
    sleep_until_ms(rolled_back_at + QUIET_AFTER_MS);
    is_quiet.store(1, Ordering::SeqCst);
    log.line("the quiet hour begins");
    sleep_until_ms(rolled_back_at + DRAIN_AFTER_MS);
    for engine in &new {
        store.put("servers", &engine.id, &engine.entry("nashua", "draining"));
    }
    sleep_until_ms(rolled_back_at + END_AFTER_MS);
    for engine in &new {
        store.delete("servers", &engine.id);
        engine.end();
    }
    log.line("the servers of version v2 have drained and end");
    sleep_until_ms(rolled_back_at + ORDER_AFTER_MS);
    let mut back = Vec::new();
    if has_trouble() {
        // The servers of the version that is ordered are started alongside the old ones.
        for number in 0..3 {
            let engine = Engine::start_version(&format!("i-app-back-{number}"), "app", "v1", any, work);
            store.put("servers", &engine.id, &engine.entry("nashua", "ready"));
            back.push(engine);
        }
        order(&store, "v1", &log);
    }
    let ordered_at = now_ms();
    let before: Vec<[u64; 2]> = read(&counts);
    let mut status = String::new();
    let mut drains_at = u64::MAX;
    while now_ms() < ordered_at + OBSERVED_MS {
        let now = store.status("rollouts", "app").unwrap_or_default();
        if now != status {
            log.say(&format!("{} ms after the second order, the status is {now}", now_ms() - ordered_at));
            status = now;
            if status.contains("rolled_back") && status.contains("v1") {
                drains_at = now_ms() + DRAIN_AFTER_MS;
            }
        }
        if now_ms() >= drains_at {
            drains_at = u64::MAX;
            for engine in &back {
                store.put("servers", &engine.id, &engine.entry("nashua", "draining"));
            }
            log.line("the servers drain that were started for the second order");
        }
        if now_ms() >= ordered_at + QUIET_UNTIL_MS && is_quiet.swap(0, Ordering::SeqCst) == 1 {
            log.say("ordinary traffic comes again");
        }
        thread::sleep(Duration::from_millis(50));
    }
    is_over.store(1, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    for engine in llms.iter().chain(&old).chain(&new).chain(&back) {
        for arrival in engine.arrivals() {
            log.line(&format!("{} got {} at {} ms, ran={}", engine.id, arrival.request, arrival.at_ms, arrival.ran));
        }
    }
    let after = read(&counts);
    for (index, (kind, ..)) in KINDS.into_iter().enumerate() {
        let (first, all) = (before[index], after[index]);
        log.say(&format!("{kind}: before the second order {} of {} served, after it {} of {}", first[1], first[0], all[1] - first[1], all[0] - first[0]));
    }
    let sum = |part: usize| after.iter().map(|counts| counts[part]).sum::<u64>() as f64;
    let all = sum(1) / sum(0);
    let shares: Vec<f64> = after.iter().map(|counts| counts[1] as f64 / counts[0] as f64).collect();
    log.say(&format!("served in the whole run: {shares:.3?} by kind, all {all:.3}, a quarter of that {:.3}", all / 4.0));
    let is_starved = shares.iter().any(|share| *share < all / 4.0);
    drop(hosts);
    finish(i32::from(is_starved));
}

fn order(store: &Store, target: &str, log: &Log) {
    store.put("rollouts", "app", &format!("{{\"Service\":\"app\",\"Target\":\"{target}\",\"DurationS\":{DURATION_S}}}"));
    log.say(&format!("the operator orders version {target} of app"));
}

fn read(counts: &Counts) -> Vec<[u64; 2]> {
    counts.kinds.iter().map(|[asked, served]| [asked.load(Ordering::SeqCst), served.load(Ordering::SeqCst)]).collect()
}

fn one(kind: &str, host: SocketAddr, counts: &[AtomicU64; 2], log: &Log) {
    let (id, sent_at) = (fresh_id(), now_ms());
    let (head, body, timeout) = match kind {
        "tag" => (stream_head("/tag/1", &id, 5_000, 6), &b"prompt"[..], 5_000),
        "renew" => (plain_head("POST", "/renew/1", &id, 1_000, 9), &b"household"[..], 1_000),
        _ => (plain_head("GET", "/look/1", &id, 1_000, 0), &b""[..], 1_000),
    };
    counts[0].fetch_add(1, Ordering::SeqCst);
    let answer = exchange(host, &head, body, Duration::from_millis(timeout));
    let text = match &answer {
        Ok(answer) => format!("{} {}", answer.status, answer.body.lines().next().unwrap_or_default()),
        Err(e) => e.to_string(),
    };
    log.line(&format!("{kind} {id} sent at {sent_at} ms: {text}"));
    if answer.is_ok_and(|answer| answer.status == 200 && answer.is_signed && answer.request == id) {
        counts[1].fetch_add(1, Ordering::SeqCst);
    }
}
