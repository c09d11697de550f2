//! Engines crash and start again as new incarnations at the same addresses; later, after a lull, requests for streams come again.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use common::*;

const ANY: &str = "127.0.0.1:0";
const ENGINES: usize = 12;
/// Engines that crash at a time: 0.25 of all.
const CRASHING: usize = 3;
/// Milliseconds at which engines crash.
const CRASHES_AT: [u64; 8] = [3_000, 8_500, 14_000, 19_500, 25_000, 30_500, 36_000, 41_500];
/// Milliseconds until a crashed engine is back, and until the entry of its earlier incarnation is removed (three heartbeats
/// of 1,200 ms).
const BACK_AFTER: u64 = 1_000;
const ENTRY_REMOVED_AFTER: u64 = 3_600;
/// Requests for streams: many until the lull, and after it.
const LULL_FROM: u64 = 46_000;
const LULL_UNTIL: u64 = 56_000;
const END: u64 = 98_000;
const STREAM_INTERVAL: u64 = 90;
const LATE_STREAM_INTERVAL: u64 = 12;
const LOOK_INTERVAL: u64 = 25;

#[derive(Default)]
struct Counts {
    asked: AtomicU64,
    served: AtomicU64,
}

fn main() {
    start();
    let folder = PathBuf::from(std::env::args().nth(1).expect("a folder"));
    let log = Log::create();
    let store = Store::start();
    store.put("config", "main", &configuration(3));
    let any: SocketAddr = ANY.parse().expect("an address");
    let mut engines: Vec<Engine> = (0..ENGINES)
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
    let streams: Arc<[Counts; 2]> = Arc::default();
    let looks: Arc<[Counts; 2]> = Arc::default();
    let clients = [
        client("tag", addresses.clone(), begin, streams.clone(), log.clone()),
        client("look", addresses, begin, looks.clone(), log.clone()),
    ];
    if has_trouble() {
        let mut restarted: Vec<Engine> = Vec::new();
        for (round, at) in CRASHES_AT.into_iter().enumerate() {
            sleep_until_ms(begin + at);
            let crashed: Vec<Engine> = engines.drain(..CRASHING).collect();
            for engine in &crashed {
                engine.end();
                log.line(&format!("engine {} at {} crashes", engine.id, engine.address));
            }
            sleep_until_ms(begin + at + BACK_AFTER);
            for engine in &crashed {
                let id = format!("{}-{round}", engine.id);
                let back = Engine::start(&id, "llm", engine.address, Duration::from_millis(20));
                store.put("servers", &id, &back.entry("nashua", "ready"));
                log.line(&format!("engine {id} starts at {}", engine.address));
                restarted.push(back.clone());
                engines.push(back);
            }
            sleep_until_ms(begin + at + ENTRY_REMOVED_AFTER);
            for engine in &crashed {
                store.delete("servers", &engine.id);
                log.line(&format!("the entry of {} is removed", engine.id));
            }
        }
        sleep_until_ms(begin + LULL_FROM);
        let rejected: usize = restarted
            .iter()
            .map(|engine| engine.arrivals().iter().filter(|arrival| !arrival.ran).count())
            .sum();
        log.say(&format!("requests that got 421, because the engine had started again: {rejected}"));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(6));
    for engine in engines.iter().chain(&apps) {
        for arrival in engine.arrivals() {
            log.line(&format!("engine {} got {} at {} ms, ran={}", engine.id, arrival.request, arrival.at_ms, arrival.ran));
        }
    }
    let is_broken = judge(&streams, &looks, &log);
    let still_ready = hosts.iter().filter(|host| host.is_ready()).count();
    log.say(&format!("hosts that say they are ready: {still_ready} of {}", hosts.len()));
    drop(hosts);
    finish(i32::from(is_broken));
}

/// Sends requests at a rate, each to the hosts in turn, and each once more after a refusal that says when.
fn client(
    kind: &'static str,
    hosts: Vec<SocketAddr>,
    begin: u64,
    counts: Arc<[Counts; 2]>,
    log: Log,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let (mut at, mut number) = (1_000, 0);
        while at < END {
            let is_late = at >= LULL_UNTIL;
            sleep_until_ms(begin + at);
            if kind != "tag" || is_late || at < LULL_FROM {
                let hosts = hosts.clone();
                let (counts, log) = (counts.clone(), log.clone());
                thread::spawn(move || one(kind, &hosts, number, &counts[usize::from(is_late)], &log));
                number += 1;
            }
            at += match kind {
                "tag" if is_late => LATE_STREAM_INTERVAL,
                "tag" => STREAM_INTERVAL,
                _ => LOOK_INTERVAL,
            };
        }
    })
}

fn one(kind: &str, hosts: &[SocketAddr], number: usize, counts: &Counts, log: &Log) {
    counts.asked.fetch_add(1, Ordering::SeqCst);
    let total = if kind == "tag" { 5_000 } else { 1_000 };
    let until = now_ms() + total;
    for attempt in 0..2 {
        let left = until.saturating_sub(now_ms());
        let id = fresh_id();
        let (head, body) = match kind {
            "tag" => (stream_head("/tag/1", &id, left, 6), &b"prompt"[..]),
            _ => (plain_head("GET", "/look/1", &id, left, 0), &b""[..]),
        };
        let host = hosts[(number + attempt) % hosts.len()];
        let answer = exchange(host, &head, body, Duration::from_millis(left));
        let text = match &answer {
            Ok(answer) => format!("{} {}", answer.status, answer.body.lines().next().unwrap_or_default()),
            Err(e) => e.to_string(),
        };
        log.line(&format!("{kind} {id} to {host} attempt {attempt}: {text}"));
        let Ok(answer) = answer else { continue };
        let is_whole = kind != "tag" || answer.body.contains(&format!("piece {EVENTS}\n"));
        if answer.status == 200 && answer.is_signed && answer.request == id && is_whole {
            counts.served.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let wait = answer.retry_after.unwrap_or(0.2).min(left as f64 / 3_000.0);
        thread::sleep(Duration::from_secs_f64(wait));
    }
}

/// Whether streams were served less than a quarter as often as all requests.
fn judge(streams: &[Counts; 2], looks: &[Counts; 2], log: &Log) -> bool {
    let sum = |counts: &[Counts; 2]| {
        let asked: u64 = counts.iter().map(|part| part.asked.load(Ordering::SeqCst)).sum();
        let served: u64 = counts.iter().map(|part| part.served.load(Ordering::SeqCst)).sum();
        (asked as f64, served as f64)
    };
    for (name, counts) in [("tag", streams), ("look", looks)] {
        for (part, when) in counts.iter().zip(["before the lull ends", "after the lull"]) {
            let (asked, served) = (part.asked.load(Ordering::SeqCst), part.served.load(Ordering::SeqCst));
            log.say(&format!("{name} {when}: {served} of {asked} served"));
        }
    }
    let (tag, look) = (sum(streams), sum(looks));
    let share = tag.1 / tag.0;
    let all = (tag.1 + look.1) / (tag.0 + look.0);
    log.say(&format!("served: tag {share:.3}, all requests {all:.3}, a quarter of that {:.3}", all / 4.0));
    share < all / 4.0
}
