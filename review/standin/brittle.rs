//! The servers of a service say that they are brittle while the traffic jumps.

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::brittle_engine::SLOTS;
use crate::brittle_engine::WORK;
use crate::client::Call;
use crate::client::call_once;
use crate::client::fresh_id;
use crate::engine_process::EngineProcess;
use crate::hosts::Hosts;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 3] = ["nashua", "lowell", "concord"];
/// Part of the servers' capacity that the usual traffic takes.
const USUAL_SHARE: f64 = 0.65;
/// Largest dose of a jump of the traffic in the site's list: its factor and its time.
const BURST_FACTOR: f64 = 1.7;
const BURST: Duration = Duration::from_secs(3);
const CALM: Duration = Duration::from_secs(4);
const BURSTS: usize = 3;
/// The servers say that they are brittle from their start plus this on: traffic has begun then.
const BRITTLE_IN: Duration = Duration::from_secs(2);
/// Time until a server that fell over is back.
const BACK_IN: Duration = Duration::from_secs(3);
/// Three heartbeat intervals, after which the entry of a silent server is removed.
const EXPIRY: Duration = Duration::from_millis(3_600);
const DEADLINE: Duration = Duration::from_secs(1);
/// Falls that the rule allows, beside a tenth of the servers' number.
const MAX_FALLS: usize = 2;

#[derive(Default)]
struct Seen {
    sent: usize,
    served: usize,
    refused: usize,
    /// Requests that were neither served nor refused as not run.
    failed: BTreeSet<String>,
}

/// Keeps the server of one place running, under a new id after each fall, until the run is over.
fn keep_engine(
    number: usize,
    brittle_in: Option<Duration>,
    store: &Store,
    record: &Record,
    falls: &Mutex<usize>,
    is_over: &Mutex<bool>,
) -> io::Result<()> {
    let is_over = || *is_over.lock().expect("not poisoned");
    let mut starts = 0;
    while !is_over() {
        let id = format!("i-{number}-{starts}");
        // A server that comes back is as brittle as before.
        let brittle_in = brittle_in.map(|after| if starts == 0 { after } else { Duration::ZERO });
        let mode = brittle_in.map_or("never".to_owned(), |after| after.as_millis().to_string());
        let mut engine = EngineProcess::start(&id, &["brittle-engine", &id, &mode], record)?;
        engine.register(store, include_str!("server.json").trim(), "desk", ZONES[number]);
        while !is_over() && engine.is_running() {
            thread::sleep(Duration::from_millis(20));
        }
        if is_over() {
            break;
        }
        *falls.lock().expect("not poisoned") += 1;
        record.say(&format!("server {id} fell over"));
        let (store, gone) = (store.clone(), id);
        thread::spawn(move || {
            thread::sleep(EXPIRY);
            store.delete("servers", &gone);
        });
        thread::sleep(BACK_IN);
        starts += 1;
    }
    Ok(())
}

/// Sends requests at a rate for a time, to the hosts in turn.
fn send(hosts: &Hosts, record: &Record, per_second: f64, time: Duration, seen: &Arc<Mutex<Seen>>) {
    let started = Instant::now();
    let total = (per_second * time.as_secs_f64()) as usize;
    for number in 0..total {
        let due = Duration::from_secs_f64(number as f64 / per_second);
        thread::sleep(due.saturating_sub(started.elapsed()));
        let address = hosts.get(number % hosts.len()).callers;
        let (record, seen) = (record.clone(), seen.clone());
        thread::spawn(move || {
            let id = fresh_id();
            let call = Call {
                method: "POST",
                path: "/write/order".to_owned(),
                key: "key-1",
                deadline: DEADLINE,
                body: vec![b'a'; 600],
            };
            let answer = call_once(address, &call, &id);
            let text = match &answer {
                Ok(Some(answer)) => answer.status().to_string(),
                Ok(None) => "closed".to_owned(),
                Err(e) => e.kind().to_string(),
            };
            record.write(&format!("answer request={id} {text}"));
            let mut seen = seen.lock().expect("not poisoned");
            seen.sent += 1;
            match text.as_str() {
                "200" => seen.served += 1,
                "429" | "503" => seen.refused += 1,
                _ => _ = seen.failed.insert(id),
            }
        });
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    let config = include_str!("config.json").replace("{timeout}", "1000");
    store.put("config", "main", config.as_bytes());
    let (falls, is_over) = (Arc::new(Mutex::new(0)), Arc::new(Mutex::new(false)));
    let hosts = Hosts::start(&ZONES, include_str!("settings.yaml"), &store, record);
    if !hosts.until_ready() {
        return Outcome::NotRun("the hosts did not get ready".to_owned());
    }
    let brittle_in = has_trouble.then_some(BRITTLE_IN);
    let keepers: Vec<_> = (0..ZONES.len())
        .map(|number| {
            let (store, record) = (store.clone(), record.clone());
            let (falls, is_over) = (falls.clone(), is_over.clone());
            thread::spawn(move || {
                keep_engine(number, brittle_in, &store, &record, &falls, &is_over)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let capacity = (ZONES.len() * SLOTS) as f64 / WORK.as_secs_f64();
    let usual = capacity * USUAL_SHARE;
    let seen = Arc::new(Mutex::new(Seen::default()));
    send(&hosts, record, usual, CALM, &seen);
    for _ in 0..BURSTS {
        send(&hosts, record, usual, CALM, &seen);
        record.say("the traffic jumps");
        send(&hosts, record, usual * BURST_FACTOR, BURST, &seen);
    }
    send(&hosts, record, usual, CALM, &seen);
    thread::sleep(DEADLINE * 2);
    *is_over.lock().expect("not poisoned") = true;
    for keeper in keepers {
        if !matches!(keeper.join(), Ok(Ok(()))) {
            return Outcome::NotRun("a server did not start".to_owned());
        }
    }
    let falls = *falls.lock().expect("not poisoned");
    let seen = seen.lock().expect("not poisoned");
    record.say(&format!(
        "requests: {} sent, {} served, {} refused, {} neither; falls: {falls}, allowed {MAX_FALLS} and a tenth of {}",
        seen.sent,
        seen.served,
        seen.refused,
        seen.failed.len(),
        ZONES.len()
    ));
    if falls * 10 > MAX_FALLS * 10 + ZONES.len() { Outcome::Broken } else { Outcome::Held }
}
