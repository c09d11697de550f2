//! Stand-in for a server of a plain service, as a process of its own, that may say that it is brittle.
//!
//! It runs as many requests as it has slots, lets a few more wait, and turns the others away. While it is brittle, it lets
//! fewer wait and falls over, that is, exits, once it has turned too many away within a second. It prints its address,
//! then a line for each request that it runs, and one when it falls over.

use std::collections::VecDeque;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Conn;

pub const SLOTS: usize = 6;
/// Requests that wait, as in the site file.
const QUEUE: usize = 24;
/// Requests that wait while the server is brittle.
const BRITTLE_QUEUE: usize = 6;
/// Requests that a brittle server turns away in a second without falling over.
const MAX_REJECTED: usize = 12;
/// Time from the first statement until the server may fall over: `ContactMs`.
const NOTICE: Duration = Duration::from_secs(3);
/// Longer than a request's work, as the sheet has it at most.
pub const WORK: Duration = Duration::from_millis(100);

#[derive(Default)]
struct State {
    active: usize,
    waiting: usize,
    rejected: VecDeque<Instant>,
}

struct Engine {
    id: String,
    /// When it begins to say that it is brittle, if ever.
    brittle_at: Option<Instant>,
    state: Mutex<State>,
    freed: Condvar,
}

impl Engine {
    fn says_brittle(&self) -> bool {
        self.brittle_at.is_some_and(|at| Instant::now() >= at)
    }

    fn may_fall(&self) -> bool {
        self.brittle_at.is_some_and(|at| Instant::now() >= at + NOTICE)
    }

    /// Waits for a slot; returns false if there is no room to wait.
    fn take_slot(&self) -> bool {
        let mut state = self.state.lock().expect("not poisoned");
        let queue = if self.may_fall() { BRITTLE_QUEUE } else { QUEUE };
        if state.active >= SLOTS && state.waiting >= queue {
            let now = Instant::now();
            state.rejected.push_back(now);
            while state.rejected.front().is_some_and(|at| now - *at > Duration::from_secs(1)) {
                state.rejected.pop_front();
            }
            if self.may_fall() && state.rejected.len() > MAX_REJECTED {
                println!("fell over active={} waiting={}", state.active, state.waiting);
                std::process::exit(1);
            }
            return false;
        }
        state.waiting += 1;
        while state.active >= SLOTS {
            state = self.freed.wait(state).expect("not poisoned");
        }
        state.waiting -= 1;
        state.active += 1;
        true
    }

    fn free_slot(&self) {
        self.state.lock().expect("not poisoned").active -= 1;
        self.freed.notify_one();
    }

    fn serve(&self, conn: &mut Conn) -> io::Result<()> {
        while let Some(request) = conn.read()? {
            let id = request.header("X-Attempt-Id").unwrap_or_default();
            let mut headers = Vec::new();
            if self.says_brittle() {
                headers.push(("Server-Brittle", MAX_REJECTED.to_string()));
            }
            if request.header("X-Target-Instance").is_some_and(|wanted| wanted != self.id) {
                headers.push(("X-Not-Executed", "1".to_owned()));
                conn.write("HTTP/1.1 421 Misdirected Request", &headers, b"")?;
            } else if self.take_slot() {
                println!("request={id}");
                thread::sleep(WORK);
                self.free_slot();
                headers.push(("X-Attempt-Id", id.to_owned()));
                headers.push(("X-Response-Signature", format!("{}.{id}", self.id)));
                conn.write("HTTP/1.1 200 OK", &headers, b"done\n")?;
            } else {
                headers.push(("X-Not-Executed", "1".to_owned()));
                conn.write("HTTP/1.1 503 Service Unavailable", &headers, b"")?;
            }
        }
        Ok(())
    }
}

/// Runs the process; it says that it is brittle from `brittle_in` on.
pub fn run(id: &str, brittle_in: Option<Duration>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    println!("{}", listener.local_addr().expect("bound"));
    let engine = Arc::new(Engine {
        id: id.to_owned(),
        brittle_at: brittle_in.map(|after| Instant::now() + after),
        state: Mutex::default(),
        freed: Condvar::new(),
    });
    http::listen(listener, move |mut conn| {
        // The host may close a connection at any time.
        let _ = engine.serve(&mut conn);
    });
    loop {
        thread::park();
    }
}
