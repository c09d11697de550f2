//! Another writer's entry among those of the servers holds text that cannot be read. All processes are killed and start
//! again.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client::Call;
use crate::client::call_once;
use crate::client::fresh_id;
use crate::engine::Engine;
use crate::hosts::Hosts;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 3] = ["nashua", "lowell", "concord"];
/// Requests a second, all hosts together.
const REQUESTS_PER_SECOND: u32 = 20;
const BEFORE: Duration = Duration::from_secs(6);
/// Time from the entry to the kill.
const ENTRY_AGE: Duration = Duration::from_secs(4);
/// `down_s` of the final fault.
const DOWN: Duration = Duration::from_millis(550);
/// `RecoveryS` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
const AFTER: Duration = Duration::from_secs(8);
/// Share that must be served after the recovery, if as much was served before.
const SERVED_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    served: u32,
}

impl Count {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

/// Sends requests for a time, to the hosts in turn.
fn send(hosts: &Hosts, record: &Record, time: Duration) -> Count {
    let count = Arc::new(Mutex::new(Count::default()));
    let interval = Duration::from_secs(1) / REQUESTS_PER_SECOND;
    let total = (time.as_secs_f64() / interval.as_secs_f64()) as usize;
    let mut threads = Vec::new();
    for number in 0..total {
        let address = hosts.get(number % hosts.len()).callers;
        let (count, record) = (count.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let id = fresh_id();
            let call = Call {
                method: "GET",
                path: format!("/look/{number}"),
                key: "key-1",
                deadline: Duration::from_secs(1),
                body: Vec::new(),
            };
            record.write(&format!("send request={id} to={address}"));
            let answer = call_once(address, &call, &id);
            let is_served = matches!(&answer, Ok(Some(answer))
                if answer.status() == 200 && answer.header("X-Response-Signature").is_some());
            let text = match &answer {
                Ok(Some(answer)) => answer.status().to_string(),
                Ok(None) => "closed".to_owned(),
                Err(e) => e.kind().to_string(),
            };
            record.write(&format!("answer request={id} {text}"));
            let mut count = count.lock().expect("not poisoned");
            count.sent += 1;
            count.served += u32::from(is_served);
        }));
        thread::sleep(interval);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let count = *count.lock().expect("not poisoned");
    count
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    let config = include_str!("config.json").replace("{timeout}", "1000");
    store.put("config", "main", config.as_bytes());
    let engines: Vec<Engine> = (0..ZONES.len())
        .map(|number| Engine::start(&format!("i-{number}"), Duration::from_millis(30), record))
        .collect();
    for (engine, zone) in engines.iter().zip(ZONES) {
        engine.register(&store, include_str!("server.json").trim(), "desk", zone);
    }
    let mut hosts = Hosts::start(&ZONES, include_str!("settings.yaml"), &store, record);
    if !hosts.until_ready() {
        return Outcome::NotRun("the hosts did not get ready at first".to_owned());
    }
    let before = send(&hosts, record, BEFORE);
    record.say(&format!("before: {} of {} served", before.served, before.sent));
    if before.share() < SERVED_SHARE {
        return Outcome::NotRun("too little was served before the fault".to_owned());
    }
    if has_trouble {
        let entry: &[u8] = match std::env::var("VARIANT").as_deref() {
            Ok("bytes") => b"{\"Service\":\"desk\",\"Address\":\"\xff\xfe\"}",
            Ok("number") => b"{\"Service\":\"desk\",\"Capacity\":1e999}",
            Ok("type") => b"{\"Service\":7,\"Address\":[],\"Capacity\":\"many\"}",
            _ => include_bytes!("unreadable-entry.json"),
        };
        store.put("servers", "x-1", entry.trim_ascii());
        record.say("another writer's entry is in the store");
    }
    let with_entry = send(&hosts, record, ENTRY_AGE);
    record.say(&format!("with the entry: {} of {} served", with_entry.served, with_entry.sent));
    for number in 0..hosts.len() {
        hosts.kill(number);
    }
    thread::sleep(DOWN);
    for number in 0..hosts.len() {
        hosts.start_process(number, false);
    }
    record.say("all processes were killed and started again");
    let meanwhile = send(&hosts, record, RECOVERY);
    record.say(&format!("in the recovery: {} of {} served", meanwhile.served, meanwhile.sent));
    let after = send(&hosts, record, AFTER);
    let ready = (0..hosts.len()).filter(|number| hosts.get(*number).is_ready()).count();
    record.say(&format!(
        "later than that: {} of {} served; {ready} of {} hosts ready",
        after.served,
        after.sent,
        hosts.len()
    ));
    if after.share() < SERVED_SHARE { Outcome::Broken } else { Outcome::Held }
}
