//! An engine process is killed while it sends streams that have neither a length nor chunks.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client::fresh_id;
use crate::engine_process::EngineProcess;
use crate::hosts::Hosts;
use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;
use crate::stream_engine::EVENTS;
use crate::stream_engine::event;

const ZONES: [&str; 3] = ["nashua", "lowell", "concord"];
/// One of them is killed: less than the site's share of 0.17.
const ENGINES: usize = 6;
const STREAMS: usize = 36;
/// Time between the first requests of streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the last stream's request to the kill; a stream takes three seconds.
const KILL_DELAY: Duration = Duration::from_millis(750);
const DEADLINE: Duration = Duration::from_secs(25);
/// Three heartbeat intervals, after which the entry of a silent engine is removed.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// What a caller got of a stream.
struct Received {
    id: String,
    status: u16,
    events: String,
    /// Whether the answer ended as complete.
    is_whole: bool,
}

fn call(address: SocketAddr, id: &str) -> io::Result<Received> {
    let mut conn = Conn::open(address)?;
    conn.stream.set_read_timeout(Some(DEADLINE))?;
    let request = format!(
        "POST /chat/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         X-Model: small\r\nX-Token-Usage: 20,200\r\nAuthorization: Token key-1\r\n\
         Content-Length: 5\r\n\r\nhello",
        DEADLINE.as_millis()
    );
    conn.stream.write_all(request.as_bytes())?;
    let (head, body, is_whole) = conn.read_parts()?;
    let events = String::from_utf8_lossy(&body).into_owned();
    Ok(Received { id: id.to_owned(), status: head.status(), events, is_whole })
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let framing = match std::env::var("VARIANT").as_deref() {
        Ok("chunks") => "chunks",
        _ => "connection",
    };
    let store = Store::start();
    let config = include_str!("config.json").replace("{timeout}", "1000");
    store.put("config", "main", config.as_bytes());
    let engines = (0..ENGINES).map(|number| {
        let id = format!("i-{number}");
        EngineProcess::start(&id, &["stream-engine", &id, framing], record)
    });
    let mut engines = match engines.collect::<io::Result<Vec<EngineProcess>>>() {
        Ok(engines) => engines,
        Err(e) => return Outcome::NotRun(format!("an engine did not start: {e}")),
    };
    for (number, engine) in engines.iter().enumerate() {
        let zone = ZONES[number % ZONES.len()];
        engine.register(&store, include_str!("server.json").trim(), "llm", zone);
    }
    let hosts = Hosts::start(&ZONES, include_str!("settings.yaml"), &store, record);
    if !hosts.until_ready() {
        return Outcome::NotRun("the hosts did not get ready".to_owned());
    }
    let received = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let address = hosts.get(number % hosts.len()).callers;
        let (record, received) = (record.clone(), received.clone());
        threads.push(thread::spawn(move || {
            let id = fresh_id();
            record.write(&format!("send request={id} to={address}"));
            match call(address, &id) {
                Ok(stream) => received.lock().expect("not poisoned").push(stream),
                Err(e) => record.write(&format!("no answer request={id} {}", e.kind())),
            }
        }));
        thread::sleep(STREAM_INTERVAL);
    }
    thread::sleep(KILL_DELAY);
    if has_trouble {
        engines[0].kill();
        record.say(&format!("engine {} was killed", engines[0].id));
        thread::sleep(EXPIRY);
        store.delete("servers", &engines[0].id);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let received = received.lock().expect("not poisoned");
    let (mut whole, mut broken, mut short) = (0, 0, 0);
    for Received { id, status, events, is_whole } in received.iter() {
        let wanted: String = (1..=EVENTS).map(|number| event(id, number)).collect();
        let count = events.matches("id: ").count();
        record.write(&format!("answer request={id} {status} whole={is_whole} events={count}"));
        match (*status, *is_whole, *events == wanted) {
            (200, true, true) => whole += 1,
            (200, true, false) => short += 1,
            _ => broken += 1,
        }
    }
    record.say(&format!(
        "streams: {STREAMS}; complete with all events: {whole}; visibly broken off or refused: {broken}; ended as \
         complete before the last event: {short}"
    ));
    if received.len() < STREAMS / 2 {
        return Outcome::NotRun("too few streams were answered".to_owned());
    }
    if short > 0 { Outcome::Broken } else { Outcome::Held }
}
