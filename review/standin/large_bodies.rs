//! One workspace sends many times its usual: large writes, each within the limits of the configuration. The platform kills a
//! process that exceeds its memory, as it does on its machines.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::client::fresh_id;
use crate::http::Conn;
use crate::record::Record;
use crate::world::DEADLINE;
use crate::world::World;
use crate::world::call_on_kept_connection;
use crate::world::watch_memory;

/// Rate at which a caller sends. All large writes together take less than half of a machine's link of 1,000 Mbit/s.
const CALLER_BYTES_PER_SECOND: f64 = 1_670_000.0;
/// Less than `MaxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_000_000;
/// Large writes that the workspace usually sends at once.
const USUAL_WRITES: usize = 4;
/// Largest dose of such an excess in the site's list: its factor and its time.
const HOT_FACTOR: f64 = 7.5;
const HOT_TIME: Duration = Duration::from_millis(6_500);
const CALM_TIME: Duration = Duration::from_secs(4);
/// Callers of another workspace in the same zone, each with one connection that it keeps.
const OTHER_CALLERS: usize = 17;
/// Pause between a caller's large writes.
const WRITE_PAUSE: Duration = Duration::from_secs(1);

/// Sends a large write, and again after a pause, until `ends`.
fn write_large(world: &World, address: SocketAddr, ends: Instant) {
    while Instant::now() < ends && !world.is_over() {
        let id = fresh_id();
        world.record.write(&format!("send large request={id}"));
        let result = send_slowly(address, &id);
        let text = match result {
            Ok(Some(status)) => status.to_string(),
            Ok(None) => "closed".to_owned(),
            Err(e) => e.kind().to_string(),
        };
        world.record.write(&format!("answer large request={id} {text}"));
        thread::sleep(WRITE_PAUSE);
    }
}

fn send_slowly(address: SocketAddr, id: &str) -> std::io::Result<Option<u16>> {
    let mut conn = Conn::open(address)?;
    conn.stream.set_read_timeout(Some(DEADLINE))?;
    let deadline = DEADLINE.as_millis();
    let head = format!(
        "POST /write/large HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {deadline}\r\nAuthorization: Token key-2\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    conn.stream.write_all(head.as_bytes())?;
    let part = vec![b'b'; 40_000];
    let started = Instant::now();
    for sent in 1..=BODY_BYTES / part.len() {
        conn.stream.write_all(&part)?;
        let due = Duration::from_secs_f64((sent * part.len()) as f64 / CALLER_BYTES_PER_SECOND);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    Ok(conn.read()?.map(|answer| answer.status()))
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let (world, _store) = match World::start(record) {
        Ok(started) => started,
        Err(outcome) => return outcome,
    };
    // All callers are in the zone of this host.
    let address = world.address(0);
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let watched = world.clone();
    threads.push(thread::spawn(move || watch_memory(&watched)));
    for _ in 0..OTHER_CALLERS {
        let world = world.clone();
        threads.push(thread::spawn(move || call_on_kept_connection(&world, address)));
    }
    let hot_writes = (USUAL_WRITES as f64 * HOT_FACTOR) as usize;
    let periods = [
        (USUAL_WRITES, CALM_TIME),
        (if has_trouble { hot_writes } else { USUAL_WRITES }, HOT_TIME),
        (USUAL_WRITES, CALM_TIME),
    ];
    for (writers, time) in periods {
        record.say(&format!("large writes at once: {writers}"));
        let ends = Instant::now() + time;
        let writing: Vec<_> = (0..writers)
            .map(|_| {
                let world = world.clone();
                thread::spawn(move || write_large(&world, address, ends))
            })
            .collect();
        for thread in writing {
            let _ = thread.join();
        }
        record.say(&format!(
            "small requests answered: {}; peak memory of a host: {} MB",
            world.take_answered(),
            world.take_peak_mb()
        ));
    }
    world.is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    world.judge()
}
