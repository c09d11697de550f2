//! A sound engine or server of a plain service.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Conn;
use crate::http::Head;
use crate::store::Store;

/// How an engine works.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Requests at once.
    pub slots: usize,
    /// Requests that wait; further ones are rejected.
    pub queue: usize,
    /// Time until the answer, or until a stream's first event.
    pub first: Duration,
    /// Events of a stream; 0 for a plain answer.
    pub events: u64,
    pub gap: Duration,
    pub body_bytes: usize,
}

/// A request that the engine began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The model that it was asked for; empty if none.
    pub model: String,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u128,
    work: Work,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Engine {
    pub fn start(id: &str, service: &str, zone: &str, address: SocketAddr, work: Work) -> Engine {
        let listener = TcpListener::bind(address).expect("a free address for an engine");
        let address = listener.local_addr().expect("bound");
        let engine = Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: now_ms(),
            work,
            state: Arc::default(),
        };
        let served = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                let _ = std::thread::Builder::new()
                    .stack_size(256 * 1024)
                    .spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Registers the engine, and again every 1.2 s.
    pub fn register(&self, store: &Store) {
        let (engine, store) = (self.clone(), store.clone());
        engine.write(&store, 1);
        std::thread::spawn(move || {
            for sequence in 2.. {
                std::thread::sleep(Duration::from_millis(1_200));
                engine.write(&store, sequence);
            }
        });
    }

    fn write(&self, store: &Store, sequence: u64) {
        let Engine { id, service, zone, address, born, work, .. } = self;
        let spec = include_str!("wire/registration.json")
            .trim_end()
            .replace("{SERVICE}", service)
            .replace("{ADDRESS}", &address.to_string())
            .replace("{ZONE}", zone)
            .replace("{SLOTS}", &work.slots.to_string())
            .replace("{SEQUENCE}", &sequence.to_string())
            .replace("{BORN}", &born.to_string());
        store.put("servers", id, &spec);
    }

    /// The requests that it ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.state.0.lock().expect("not poisoned").runs.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
        let _ = stream.set_write_timeout(Some(Duration::from_secs(10)));
        let mut conn = Conn::new(stream);
        while let Ok(head) = conn.read_head() {
            if conn.read_body(&head, false).is_err() || self.answer(&mut conn, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, head: &Head) -> std::io::Result<()> {
        if head.get("X-Target-Instance").is_some_and(|wanted| wanted != self.id) {
            return conn.respond(421, &format!("X-Instance-Id: {}\r\n", self.id), b"");
        }
        let Some(id) = head.get("x-attempt-id").map(str::to_owned) else {
            return conn.respond(400, "X-Not-Executed: 1\r\n", b"");
        };
        let deadline = head.get("x-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(30_000);
        let due = Instant::now() + Duration::from_millis(deadline);
        if !self.enter(due) {
            let headers = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
            return conn.respond(503, &headers, b"");
        }
        let run = Run {
            id: id.clone(),
            method: head.word(0).to_owned(),
            target: head.word(1).to_owned(),
            model: head.get("X-Model").unwrap_or("").to_owned(),
        };
        self.state.0.lock().expect("not poisoned").runs.push(run);
        let answered = self.run(conn, &id, due);
        self.leave();
        answered
    }

    fn run(&self, conn: &mut Conn, id: &str, due: Instant) -> std::io::Result<()> {
        let work = self.work;
        std::thread::sleep(work.first.min(due.saturating_duration_since(Instant::now())));
        let signed = format!(
            "X-Attempt-Id: {id}\r\nX-Response-Signature: {}.{id}\r\nX-Confidence: 95\r\n",
            self.id
        );
        if Instant::now() >= due {
            return conn.respond(504, &signed, b"");
        }
        if work.events == 0 {
            return conn.respond(200, &signed, &vec![b'x'; work.body_bytes]);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes())?;
        for event in 1..=work.events {
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            std::thread::sleep(work.gap);
        }
        conn.write(b"0\r\n\r\n")
    }

    fn enter(&self, due: Instant) -> bool {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("not poisoned");
        if state.running >= self.work.slots {
            if state.waiting >= self.work.queue {
                return false;
            }
            state.waiting += 1;
            while state.running >= self.work.slots {
                let left = due.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    state.waiting -= 1;
                    return false;
                }
                state = changed.wait_timeout(state, left).expect("not poisoned").0;
            }
            state.waiting -= 1;
        }
        state.running += 1;
        true
    }

    fn leave(&self) {
        self.state.0.lock().expect("not poisoned").running -= 1;
        self.state.1.notify_one();
    }
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis()
}
