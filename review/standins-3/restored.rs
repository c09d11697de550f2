//! A good version takes over a service. Just after `completed` is acknowledged, all processes are killed and the store comes
//! back from a copy that is some seconds old.

mod common;

use std::collections::VecDeque;
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
/// Age of the copy, and time for which the store is away.
const COPY_AGE_MS: u64 = 2_000;
const AWAY_MS: u64 = 1_000;
/// Time for which the processes are down.
const DOWN_MS: u64 = 1_000;
/// Time after the machines are back from which on requests must be served (`RecoveryS`).
const RECOVERY_MS: u64 = 12_000;
/// Time for which the service is observed after that.
const OBSERVED_MS: u64 = 25_000;
/// Three heartbeats of 1,200 ms.
const ENTRY_REMOVED_AFTER: u64 = 3_600;
/// Pauses between two requests of each kind.
const LOOK_INTERVAL: u64 = 18;
const RENEW_INTERVAL: u64 = 40;
const TAG_INTERVAL: u64 = 120;

#[derive(Default)]
struct Counts {
    before: [AtomicU64; 2],
    after: [AtomicU64; 2],
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
    let names = ["nashua-1", "nashua-2", "lowell-1"];
    let specs: Vec<HostSpec> = names
        .iter()
        .map(|name| HostSpec {
            name,
            zone: if name.contains("nashua") { "nashua" } else { "lowell" },
            store: store.address,
        })
        .collect();
    let mut hosts = start_hosts(&specs, &folder);
    until_ready(&hosts);
    log.say(&format!("{} hosts are ready, trouble={}", hosts.len(), has_trouble()));
    let counts: Arc<Counts> = Arc::default();
    // 0 until the final fault, then the time from which on requests must be served.
    let judged_from = Arc::new(AtomicU64::new(0));
    let stop_at = Arc::new(AtomicU64::new(u64::MAX));
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    for (kind, interval) in [("look", LOOK_INTERVAL), ("renew", RENEW_INTERVAL), ("tag", TAG_INTERVAL)] {
        let (addresses, counts, log) = (addresses.clone(), counts.clone(), log.clone());
        let (judged_from, stop_at) = (judged_from.clone(), stop_at.clone());
        thread::spawn(move || {
            let (mut at, mut number) = (now_ms(), 0);
            while now_ms() < stop_at.load(Ordering::SeqCst) {
                sleep_until_ms(at);
                let (addresses, counts, log, judged_from) =
                    (addresses.clone(), counts.clone(), log.clone(), judged_from.clone());
                thread::spawn(move || one(kind, addresses[number % addresses.len()], &judged_from, &counts, &log));
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
    store.put("rollouts", "app", &format!("{{\"Service\":\"app\",\"Target\":\"v2\",\"DurationS\":{DURATION_S}}}"));
    log.line("the operator orders version v2 of app");
    let deadline = Instant::now() + Duration::from_secs(DURATION_S + 2);
    let mut copies = VecDeque::new();
    loop {
        let status = store.status("rollouts", "app").unwrap_or_default();
        if status.contains("completed") {
            log.say(&format!("status of the rollout: {status}"));
            break;
        }
        if Instant::now() > deadline || status.contains("rolled_back") {
            log.say(&format!("cannot run: the rollout is not completed: {status}"));
            drop(hosts);
            finish(2);
        }
        copies.push_back((now_ms(), store.copy()));
        while copies.front().is_some_and(|(at, _)| at + COPY_AGE_MS < now_ms()) {
            copies.pop_front();
        }
        thread::sleep(Duration::from_millis(5));
    }
    // At `completed` the platform stops the old servers.
    for engine in &old {
        engine.end();
    }
    log.line("the servers of version v1 stop");
    // For comparison, `ONLY=kill` and `ONLY=restore` make one of the two disruptions.
    let only = std::env::var("ONLY").unwrap_or_default();
    let (kills, restores) = (has_trouble() && only != "restore", has_trouble() && only != "kill");
    if kills {
        for host in &mut hosts {
            host.kill();
        }
        log.line("all processes are killed");
    }
    if restores {
        store.set_down(true);
        log.line("the store is away");
        thread::sleep(Duration::from_millis(AWAY_MS));
        let (at, copy) = copies.pop_front().expect("a copy");
        store.restore(copy);
        store.set_down(false);
        log.say(&format!("the store is back from a copy that is {} ms old: {}", now_ms() - at, store.status("rollouts", "app").unwrap_or_default()));
    }
    if kills {
        thread::sleep(Duration::from_millis(DOWN_MS - if restores { AWAY_MS } else { 0 }));
        for host in &mut hosts {
            host.start();
        }
        log.line("the processes start");
    }
    let back_at = now_ms();
    judged_from.store(back_at + RECOVERY_MS, Ordering::SeqCst);
    sleep_until_ms(back_at + ENTRY_REMOVED_AFTER);
    for engine in &old {
        store.delete("servers", &engine.id);
    }
    log.line("the entries of the servers of version v1 are removed");
    let mut is_rolled_back = false;
    while now_ms() < back_at + RECOVERY_MS + OBSERVED_MS {
        let status = store.status("rollouts", "app").unwrap_or_default();
        if status.contains("rolled_back") && !is_rolled_back {
            is_rolled_back = true;
            log.say(&format!("{} ms after the processes started, the status of the rollout is {status}", now_ms() - back_at));
            let (store, new, log) = (store.clone(), new.clone(), log.clone());
            // At `rolled_back` the new servers drain some seconds later.
            thread::spawn(move || {
                thread::sleep(Duration::from_secs(3));
                for engine in &new {
                    store.put("servers", &engine.id, &engine.entry("nashua", "draining"));
                }
                log.line("the servers of version v2 drain");
            });
        }
        thread::sleep(Duration::from_millis(50));
    }
    stop_at.store(0, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(6));
    for engine in llms.iter().chain(&old).chain(&new) {
        for arrival in engine.arrivals() {
            log.line(&format!("{} got {} at {} ms, ran={}", engine.id, arrival.request, arrival.at_ms, arrival.ran));
        }
    }
    let share = |part: &[AtomicU64; 2]| {
        let (asked, served) = (part[0].load(Ordering::SeqCst), part[1].load(Ordering::SeqCst));
        (asked, served, served as f64 / asked.max(1) as f64)
    };
    let (before, after) = (share(&counts.before), share(&counts.after));
    log.say(&format!("before the fault: {} of {} served ({:.3})", before.1, before.0, before.2));
    log.say(&format!("from {RECOVERY_MS} ms after the processes are back: {} of {} served ({:.3})", after.1, after.0, after.2));
    drop(hosts);
    finish(i32::from(before.2 >= 0.25 && after.2 < 0.25));
}

fn one(kind: &str, host: SocketAddr, judged_from: &AtomicU64, counts: &Counts, log: &Log) {
    let (id, sent_at) = (fresh_id(), now_ms());
    let (head, body, timeout) = match kind {
        "tag" => (stream_head("/tag/1", &id, 5_000, 6), &b"prompt"[..], 5_000),
        "renew" => (plain_head("POST", "/renew/1", &id, 1_000, 9), &b"household"[..], 1_000),
        _ => (plain_head("GET", "/look/1", &id, 1_000, 0), &b""[..], 1_000),
    };
    let answer = exchange(host, &head, body, Duration::from_millis(timeout));
    let text = match &answer {
        Ok(answer) => format!("{} {}", answer.status, answer.body.lines().next().unwrap_or_default()),
        Err(e) => e.to_string(),
    };
    log.line(&format!("{kind} {id} sent at {sent_at} ms: {text}"));
    let is_served = answer.is_ok_and(|answer| answer.status == 200 && answer.is_signed && answer.request == id);
    let from = judged_from.load(Ordering::SeqCst);
    let part = match from {
        0 => &counts.before,
        from if sent_at >= from => &counts.after,
        _ => return,
    };
    part[0].fetch_add(1, Ordering::SeqCst);
    part[1].fetch_add(u64::from(is_served), Ordering::SeqCst);
}
