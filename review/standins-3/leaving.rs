//! The store is silent for some seconds; long after, a host that gets its updates from others watches the store itself during
//! a planned restart, and a server of a plain service leaves.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::*;

const DRAIN_MS: u64 = 2_000;
/// The store's silence for all hosts, and for the host under test.
const SILENT_FROM: u64 = 4_000;
const SILENT_UNTIL: u64 = 8_500;
const OWN_SILENT_UNTIL: u64 = 11_500;
/// The planned restart of the host's source; `ContactMs` (3 s) after the silence have passed long before.
const STOP_AT: u64 = 18_000;
/// Time from the end of the stopped process until the server's entry is removed, and until the server ends after that.
const LEAVES_AFTER: u64 = 300;
const ENDS_AFTER: u64 = DRAIN_MS + 200;
const INTERVAL: u64 = 15;

fn main() {
    start();
    let folder = PathBuf::from(std::env::args().nth(1).expect("a folder"));
    let log = Log::create();
    let store = Store::start();
    store.put("config", "main", &configuration(3));
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let work = Duration::from_millis(30);
    let leaving = Engine::start("i-app-leaving", "app", any, work);
    let staying = Engine::start("i-app-staying", "app", any, work);
    for engine in [&leaving, &staying] {
        store.put("servers", &engine.id, &engine.entry("nashua", "ready"));
    }
    let doors: Vec<SocketAddr> = (0..3).map(|_| store.door()).collect();
    let specs = [
        HostSpec { name: "nashua-1", zone: "nashua", store: doors[0] },
        HostSpec { name: "nashua-2", zone: "nashua", store: doors[1] },
        HostSpec { name: "lowell-1", zone: "lowell", store: doors[2] },
    ];
    let mut hosts = start_hosts(&specs, &folder);
    until_ready(&hosts);
    thread::sleep(Duration::from_millis(1_500));
    // One host of a small data centre watches the store; the other one gets its updates from that host.
    let watches = |host: &Host| host.log_text().contains("event=watching value=true");
    let (watcher, tested) = if watches(&hosts[0]) { (0, 1) } else { (1, 0) };
    let begin = now_ms();
    log.say(&format!("ready, trouble={}; {} watches, {} is tested", has_trouble(), hosts[watcher].name, hosts[tested].name));
    if has_trouble() {
        sleep_until_ms(begin + SILENT_FROM);
        log.line("the store falls silent");
        for door in &doors {
            store.set_silent(*door, true);
        }
        sleep_until_ms(begin + SILENT_UNTIL);
        for (number, door) in doors.iter().enumerate() {
            store.set_silent(*door, number == tested);
        }
        log.line("the store answers again, but not the tested host");
        sleep_until_ms(begin + OWN_SILENT_UNTIL);
        store.set_silent(doors[tested], false);
        log.line("the store answers all");
    }
    sleep_until_ms(begin + STOP_AT - 2_000);
    let sent: Arc<Mutex<BTreeMap<String, (u64, String)>>> = Arc::default();
    let address = hosts[tested].callers;
    let (sending, log_of_clients) = (sent.clone(), log.clone());
    let until = begin + STOP_AT + 9_000;
    let client = thread::spawn(move || {
        let mut requests = Vec::new();
        let mut at = now_ms();
        while at < until {
            sleep_until_ms(at);
            let (sent, log) = (sending.clone(), log_of_clients.clone());
            requests.push(thread::spawn(move || renew(address, &sent, &log)));
            at += INTERVAL;
        }
        for request in requests {
            let _ = request.join();
        }
    });
    sleep_until_ms(begin + STOP_AT);
    hosts[watcher].signal(SIGTERM);
    log.line(&format!("SIGTERM to {}", hosts[watcher].name));
    let kill_at = now_ms() + 8_000;
    while !hosts[watcher].has_ended() && now_ms() < kill_at {
        thread::sleep(Duration::from_millis(2));
    }
    log.line("it has ended");
    let ended_at = now_ms();
    hosts[watcher].kill();
    sleep_until_ms(ended_at + LEAVES_AFTER);
    store.delete("servers", &leaving.id);
    let left_at = now_ms();
    log.line(&format!("the entry of {} is removed", leaving.id));
    sleep_until_ms(ended_at + 800);
    hosts[watcher].start();
    sleep_until_ms(left_at + ENDS_AFTER);
    let running = leaving.running();
    leaving.end();
    log.line(&format!("{} ends; it is running {running} requests", leaving.id));
    let _ = client.join();
    let sent = sent.lock().expect("the requests").clone();
    let mut late = 0;
    for arrival in leaving.arrivals() {
        let Some((sent_at, answer)) = sent.get(&arrival.request) else { continue };
        if *sent_at <= left_at {
            continue;
        }
        let after = sent_at - left_at;
        let is_late = after > DRAIN_MS;
        late += u32::from(is_late);
        log.line(&format!("{} got {} that was sent {after} ms after its entry was removed; the client got {answer}{}", leaving.id, arrival.request, if is_late { " LATE" } else { "" }));
    }
    let lost = sent.values().filter(|(_, answer)| !answer.starts_with("200")).count();
    log.say(&format!("requests sent: {}, without success: {lost}", sent.len()));
    log.say(&format!("requests that reached the leaving server and were sent more than {DRAIN_MS} ms after its entry was removed: {late}"));
    drop(hosts);
    finish(i32::from(late > 0));
}

fn renew(address: SocketAddr, sent: &Mutex<BTreeMap<String, (u64, String)>>, log: &Log) {
    let id = fresh_id();
    let at = now_ms();
    let body = b"{\"household\":7}";
    let answer = exchange(address, &plain_head("POST", "/renew/1", &id, 1_000, body.len()), body, Duration::from_millis(1_200));
    let text = match answer {
        Ok(answer) => answer.status.to_string(),
        Err(e) => e.to_string(),
    };
    log.line(&format!("renew {id} sent at {at} ms: {text}"));
    sent.lock().expect("the requests").insert(id, (at, text));
}
