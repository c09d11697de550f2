//! What both cases on memory share: the platform, which kills a process that exceeds its machine's memory and starts it again, and
//! ordinary callers with streams on kept connections.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::engine::Work;
use crate::fleet;
use crate::fleet::note;
use crate::http::Conn;
use crate::site;
use crate::site::Site;

/// Machine to which the other clients connect.
pub const HOST: usize = 0;
const ORDINARY: usize = 8;
/// Requests that may be lost.
const MAX_LOST: usize = 3;
const EVENTS: u64 = 40;
/// Time until the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Plays a case: `others` are the clients that cause the trouble, `rounds` the streams that each ordinary caller asks for.
pub fn run(
    folder: PathBuf,
    trouble: bool,
    rounds: usize,
    others: impl FnOnce(SocketAddr) -> Vec<JoinHandle<()>>,
) -> ! {
    fleet::limit(folder.clone(), Duration::from_secs(112));
    // Prompts wait for each other at an engine that 50 requests reach at once.
    let work = Work {
        slots: 64,
        queue: 192,
        first: Duration::from_secs(5),
        events: EVENTS,
        gap: Duration::from_millis(150),
        body_bytes: 0,
    };
    let site = Site::start(&folder, 3, 12, work);
    let Some(processes) = site.start_hosts() else {
        note("the hosts did not get ready");
        drop(site);
        fleet::finish(&folder, 2);
    };
    std::thread::sleep(Duration::from_secs(4));
    let address = site.callers(HOST);
    let done = Arc::new(AtomicBool::new(false));
    let kills = Arc::new(Mutex::new(0));
    let platform = watch_memory(&site, processes[HOST], done.clone(), kills.clone());
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|number| {
            let kills = kills.clone();
            std::thread::spawn(move || {
                let mut outcomes = Vec::new();
                for _ in 0..rounds {
                    outcomes.push(stream_on_kept_connection(address, number));
                    if *kills.lock().expect("not poisoned") > 0 {
                        break;
                    }
                }
                outcomes
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let others = if trouble { others(address) } else { Vec::new() };
    let outcomes: Vec<Result<u64, String>> =
        ordinary.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect();
    for client in others {
        let _ = client.join();
    }
    let (_, later) = site::lookup(address, 1, Duration::from_secs(3));
    note(format!("an ordinary look-up afterwards: {} {}", later.status, later.error));
    done.store(true, Ordering::Relaxed);
    let _ = platform.join();
    for server in site.engines.iter().chain(&site.desks) {
        note(format!("server {} ran {} requests", server.id, server.runs().len()));
    }
    let lost = outcomes.iter().filter(|outcome| outcome.is_err()).count();
    let kills = *kills.lock().expect("not poisoned");
    note(format!(
        "{kills} kills for memory; {lost} of {} ordinary streams lost (allowed {MAX_LOST})",
        outcomes.len()
    ));
    drop(site);
    let code = match (trouble, kills > 0 && lost > MAX_LOST) {
        (_, true) => 1,
        (false, false) if lost > 0 => 2,
        (_, false) => 0,
    };
    fleet::finish(&folder, code)
}

fn watch_memory(
    site: &Site,
    mut process: u32,
    done: Arc<AtomicBool>,
    kills: Arc<Mutex<usize>>,
) -> JoinHandle<()> {
    let deployment = site.deployment.clone();
    let address = site.callers(HOST);
    let limit_kb = deployment.memory_mb * 1024;
    std::thread::spawn(move || {
        let mut peak = 0;
        let mut samples = 0;
        while !done.load(Ordering::Relaxed) {
            // Without the pages of the program's own file.
            let own = fleet::status_kb(process, "RssAnon");
            let unread = fleet::unread_kb(address);
            let held = own + unread;
            peak = peak.max(held);
            if samples % 100 == 0 {
                note(format!("process {process} holds {held} kB of {limit_kb} kB"));
            }
            samples += 1;
            if held > limit_kb {
                note(format!(
                    "process {process} holds {held} kB (own {own}, received and not read {unread}) of {limit_kb} kB: \
                     the platform kills it"
                ));
                *kills.lock().expect("not poisoned") += 1;
                fleet::signal(process, fleet::KILL);
                std::thread::sleep(RESTART_DELAY);
                process = deployment.start(HOST, false);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        note(format!("most that a process held: {peak} kB of {limit_kb} kB"));
    })
}

/// Makes a look-up, then asks for a stream on the same connection; returns the number of its events, or how it ended.
fn stream_on_kept_connection(address: SocketAddr, number: usize) -> Result<u64, String> {
    let id = site::fresh_id();
    let result = (|| -> std::io::Result<u64> {
        let mut conn = Conn::open(address, Duration::from_secs(1))?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(25)))?;
        let first = site::fresh_id();
        let text = site::head("GET", &format!("/look/{first}"), &first, number, 1_000, "\r\n");
        conn.write(text.as_bytes())?;
        let head = conn.read_head()?;
        conn.read_body(&head, true)?;
        let more = format!(
            "X-Model: *\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,{number:x}0:410,{id}:250\r\n\
             Content-Length: 6\r\n\r\nprompt"
        );
        let text = site::head("POST", "/plan/1", &id, number, 25_000, &more);
        conn.write(text.as_bytes())?;
        note(format!("ordinary caller {number} sends stream {id}"));
        let head = conn.read_head()?;
        let body = conn.read_body(&head, true)?;
        if head.status() != 200 {
            return Err(std::io::Error::other(format!("status {}", head.status())));
        }
        Ok(String::from_utf8_lossy(&body).matches("id: ").count() as u64)
    })();
    let outcome = match result {
        Ok(EVENTS) => Ok(EVENTS),
        Ok(events) => Err(format!("{events} of {EVENTS} events")),
        Err(e) => Err(e.to_string()),
    };
    note(format!("ordinary caller {number}, stream {id}: {outcome:?}"));
    outcome
}
