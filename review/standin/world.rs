//! Callers that keep their connections, and the platform's limit on the memory of a process: one that exceeds it is killed
//! and starts again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client::Call;
use crate::client::exchange;
use crate::client::fresh_id;
use crate::engine::Engine;
use crate::hosts::Hosts;
use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;

pub const ZONES: [&str; 3] = ["nashua", "lowell", "concord"];
/// `MemoryMb` of the site's machines.
const MEMORY_BYTES: u64 = 110 * 1024 * 1024;
const WORK: Duration = Duration::from_millis(100);
pub const DEADLINE: Duration = Duration::from_secs(5);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Requests from kept connections that may reach a server and end without an answer.
const MAX_LOST: u32 = 3;

/// The hosts and servers of a run, and what the callers saw.
pub struct World {
    pub hosts: Mutex<Hosts>,
    engines: Vec<Engine>,
    pub record: Record,
    pub is_over: AtomicBool,
    lost: AtomicU32,
    answered: AtomicU32,
    /// Processes that exceeded their memory, by host.
    kills: [AtomicU32; ZONES.len()],
    peak: AtomicU64,
}

impl World {
    /// Starts servers, and a host in each zone.
    pub fn start(record: &Record) -> Result<(Arc<World>, Store), Outcome> {
        let store = Store::start();
        let config = include_str!("config.json").replace("{timeout}", "5000");
        store.put("config", "main", config.as_bytes());
        let engines: Vec<Engine> = (0..ZONES.len())
            .map(|number| Engine::start(&format!("i-{number}"), WORK, record))
            .collect();
        for (engine, zone) in engines.iter().zip(ZONES) {
            engine.register(&store, include_str!("server.json").trim(), "desk", zone);
        }
        let hosts = Hosts::start(&ZONES, include_str!("settings.yaml"), &store, record);
        if !hosts.until_ready() {
            return Err(Outcome::NotRun("the hosts did not get ready".to_owned()));
        }
        let world = World {
            hosts: Mutex::new(hosts),
            engines,
            record: record.clone(),
            is_over: AtomicBool::new(false),
            lost: AtomicU32::new(0),
            answered: AtomicU32::new(0),
            kills: Default::default(),
            peak: AtomicU64::new(0),
        };
        Ok((Arc::new(world), store))
    }

    pub fn address(&self, host: usize) -> SocketAddr {
        self.hosts.lock().expect("not poisoned").get(host).callers
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn ran(&self, id: &str) -> bool {
        self.engines.iter().any(|engine| engine.runs(id) > 0)
    }

    /// Highest memory of a host since this was last called, in MB.
    pub fn take_peak_mb(&self) -> u64 {
        self.peak.swap(0, Ordering::Relaxed) / 1024 / 1024
    }

    /// Small requests that were answered since this was last called.
    pub fn take_answered(&self) -> u32 {
        self.answered.swap(0, Ordering::Relaxed)
    }

    /// Ends the run and judges it.
    pub fn judge(&self) -> Outcome {
        let lost = self.lost.load(Ordering::Relaxed);
        let kills = self.kills.iter().map(|kills| kills.load(Ordering::Relaxed).to_string());
        self.record.say(&format!(
            "processes that exceeded their memory, by host: {}; requests passed on and closed without an answer: {lost}",
            kills.collect::<Vec<String>>().join(", ")
        ));
        if lost > MAX_LOST { Outcome::Broken } else { Outcome::Held }
    }
}

/// Kills what exceeds its memory and starts it again, until the run is over.
pub fn watch_memory(world: &World) {
    while !world.is_over() {
        let mut hosts = world.hosts.lock().expect("not poisoned");
        for number in 0..hosts.len() {
            let memory = hosts.memory(number);
            world.peak.fetch_max(memory, Ordering::Relaxed);
            if memory > MEMORY_BYTES {
                world.record.say(&format!("host-{number} exceeds its memory: {memory} bytes"));
                hosts.kill(number);
                world.kills[number].fetch_add(1, Ordering::Relaxed);
                thread::sleep(RESTART_DELAY);
                hosts.start_process(number, false);
            }
        }
        drop(hosts);
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sends small requests, one after the other, on a connection that is kept.
pub fn call_on_kept_connection(world: &World, address: SocketAddr) {
    while !world.is_over() {
        let Ok(mut conn) = Conn::open(address) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut answered = 0;
        while !world.is_over() {
            let id = fresh_id();
            let call = Call {
                method: "POST",
                path: "/write/order".to_owned(),
                key: "key-1",
                deadline: DEADLINE,
                body: vec![b'a'; 600],
            };
            world.record.write(&format!("send request={id} kept={}", answered > 0));
            let answer = exchange(&mut conn, &call, &id);
            let Ok(Some(answer)) = answer else {
                let ran = world.ran(&id);
                world.record.write(&format!("closed without an answer request={id} ran={ran}"));
                if ran && answered > 0 {
                    world.lost.fetch_add(1, Ordering::Relaxed);
                }
                break;
            };
            world.record.write(&format!("answer request={id} {}", answer.status()));
            answered += 1;
            world.answered.fetch_add(1, Ordering::Relaxed);
            if answer.closes() {
                break;
            }
        }
    }
}
