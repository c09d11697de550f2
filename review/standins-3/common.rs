//! Stand-ins on loopback for the platform's store and for engines, small clients, and entry-host processes.
//!
//! Standard library only. One thread serves one connection.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub const KEY: &str = "Token key-bakery-1";
pub const HOSTNAME: &str = "site.example";

/// Start of the run.
pub fn start() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    start().elapsed().as_millis() as u64
}

pub fn sleep_until_ms(at: u64) {
    let now = now_ms();
    if at > now {
        thread::sleep(Duration::from_millis(at - now));
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// Whether the disruption is made; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes the record of the run.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
}

impl Log {
    /// Creates the file that `RECORD` names.
    pub fn create() -> Log {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Log { file: Arc::new(Mutex::new(File::create(path).expect("a record"))) }
    }

    pub fn line(&self, text: &str) {
        let now = now_ms();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:>4}.{:03} {text}", now / 1000, now % 1000);
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Head of a message: first line and headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

// --- store ---------------------------------------------------------------------------------------------------------

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
    /// Number of the restores so far, from 1.
    era: u64,
    /// Answers every call with 503.
    is_down: bool,
}

/// A copy of the store.
#[derive(Clone)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

/// The platform's store: objects, lists, watches and conditional writes under one revision.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    silence: Arc<Silence>,
}

/// Which callers get no answers: those of the silent doors. Calls that came before the end of a silence are lost.
#[derive(Default)]
struct Silence {
    /// By port: whether the door is silent, and the number of its silences so far.
    doors: Mutex<BTreeMap<u16, (bool, u64)>>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{},\"Finalizers\":[]}},\"Spec\":{},\"Status\":{}}}",
        object.revision, object.spec, object.status
    )
}

/// Text of the value behind a key, which is a string or an object without brackets in its strings.
fn value_of<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mark = format!("\"{key}\":");
    let rest = text[text.find(&mark)? + mark.len()..].trim_start();
    if let Some(string) = rest.strip_prefix('"') {
        return Some(&string[..string.find('"')?]);
    }
    if !rest.starts_with('{') {
        let end = rest.find([',', '}']).unwrap_or(rest.len());
        return Some(rest[..end].trim());
    }
    let mut depth = 0;
    for (at, character) in rest.char_indices() {
        match character {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return Some(&rest[..=at]);
        }
    }
    None
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("bound"),
            state: Arc::new((Mutex::new(StoreState { revision: 1, era: 1, ..StoreState::default() }), Condvar::new())),
            silence: Arc::default(),
        };
        store.accept(listener);
        store
    }

    /// Another address of the same store, whose calls can be left without answers apart from the others.
    pub fn door(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        self.accept(listener);
        address
    }

    fn accept(&self, listener: TcpListener) {
        let store = self.clone();
        let door = listener.local_addr().expect("bound").port();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream, door));
            }
        });
    }

    /// Sets whether calls at an address get no answers; connections stay open.
    pub fn set_silent(&self, door: SocketAddr, silent: bool) {
        let mut doors = self.silence.doors.lock().expect("doors");
        let (is_silent, silences) = doors.entry(door.port()).or_default();
        *silences += u64::from(silent && !*is_silent);
        *is_silent = silent;
    }

    fn silence_of(&self, door: u16) -> (bool, u64) {
        self.silence.doors.lock().expect("doors").get(&door).copied().unwrap_or_default()
    }

    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().expect("the store").is_down = is_down;
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().expect("the store");
        Copy { revision: state.revision, objects: state.objects.clone(), events: state.events.clone() }
    }

    /// Comes back from a copy: what was written since is gone, and revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.0.lock().expect("the store");
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.events = copy.events;
        state.era += 1;
        self.state.1.notify_all();
    }

    /// Status of an object as written.
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.0.lock().expect("the store");
        state.objects.get(kind)?.get(name).map(|object| object.status.clone())
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.write(kind, name, Some(spec), None);
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().expect("the store");
        let Some(object) = state.objects.get_mut(kind).and_then(|objects| objects.remove(name)) else {
            return;
        };
        state.revision += 1;
        let (revision, kind) = (state.revision, kind.to_owned());
        state.events.push(Event { revision, kind, object: object_text(name, &object), deleted: true });
        self.state.1.notify_all();
    }

    fn write(&self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) {
        let mut state = self.state.0.lock().expect("the store");
        state.revision += 1;
        let revision = state.revision;
        let objects = state.objects.entry(kind.to_owned()).or_default();
        let object = objects.entry(name.to_owned()).or_insert_with(|| Object {
            revision,
            spec: "{}".to_owned(),
            status: "{}".to_owned(),
        });
        object.revision = revision;
        if let Some(spec) = spec {
            object.spec = spec.to_owned();
        }
        if let Some(status) = status {
            object.status = status.to_owned();
        }
        let object = object_text(name, object);
        state.events.push(Event { revision, kind: kind.to_owned(), object, deleted: false });
        self.state.1.notify_all();
    }

    /// Names of a kind's objects.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.0.lock().expect("the store");
        state.objects.get(kind).map(|objects| objects.keys().cloned().collect()).unwrap_or_default()
    }

    fn serve(&self, stream: TcpStream, door: u16) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            let (is_silent, silences) = self.silence_of(door);
            let is_lost = || self.silence_of(door) != (false, silences);
            if is_silent {
                self.hold(&mut reader);
                return;
            }
            let (status, text) = self.answer(&head, &body, &is_lost);
            if is_lost() {
                // A connection on which a response is lost returns nothing further.
                self.hold(&mut reader);
                return;
            }
            let era = self.state.0.lock().expect("the store").era;
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Keeps a connection open without an answer until the other end closes it.
    fn hold(&self, reader: &mut BufReader<TcpStream>) {
        let mut byte = [0; 64];
        while matches!(reader.read(&mut byte), Ok(1..)) {}
    }

    fn answer(&self, head: &Head, body: &[u8], is_lost: &dyn Fn() -> bool) -> (u16, String) {
        let mut words = head.first.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let segments: Vec<&str> = path.trim_start_matches(include_str!("wire/objects.txt").trim()).split('/').collect();
        let parameter = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let body = String::from_utf8_lossy(body).into_owned();
        if self.state.0.lock().expect("the store").is_down {
            return (503, "{}".to_owned());
        }
        match (method, segments.as_slice()) {
            ("GET", [kind]) => match parameter("Watch").and_then(|text| text.parse().ok()) {
                Some(since) => {
                    let wait = parameter("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, wait, is_lost)
                }
                None => self.list(kind),
            },
            ("POST", [kind]) => {
                let name = value_of(&body, "Name").unwrap_or_default();
                if self.names(kind).iter().any(|known| known == name) {
                    return (409, "{}".to_owned());
                }
                self.write(kind, name, value_of(&body, "Spec"), None);
                (200, "{}".to_owned())
            }
            ("PUT", [kind, name, rest @ ..]) => {
                let known = {
                    let state = self.state.0.lock().expect("the store");
                    state.objects.get(*kind).and_then(|objects| objects.get(*name).cloned())
                };
                let Some(known) = known else { return (404, "{}".to_owned()) };
                let wanted = value_of(&body, "Revision").and_then(|text| text.parse::<u64>().ok());
                if wanted.is_some_and(|wanted| wanted != known.revision) {
                    return (409, object_text(name, &known));
                }
                if rest.is_empty() {
                    self.write(kind, name, value_of(&body, "Spec"), None);
                } else {
                    self.write(kind, name, None, value_of(&body, "Status"));
                }
                (200, "{}".to_owned())
            }
            ("DELETE", [kind, name]) => {
                self.delete(kind, name);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("the store");
        let objects = state.objects.get(kind);
        let items: Vec<String> = objects
            .iter()
            .flat_map(|objects| objects.iter().map(|(name, object)| object_text(name, object)))
            .collect();
        let (items, at) = (items.join(","), state.revision);
        (200, format!("{{\"Items\":[{items}],\"HasMore\":false,\"At\":{at}}}"))
    }

    fn watch(&self, kind: &str, since: u64, wait: u64, is_lost: &dyn Fn() -> bool) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().expect("the store");
        let era = state.era;
        loop {
            if state.is_down {
                return (503, "{}".to_owned());
            }
            if since > state.revision || state.era != era {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > since && event.kind == kind)
                .map(|event| format!("{{\"Object\":{},\"Deleted\":{}}}", event.object, event.deleted))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || is_lost() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"At\":{at}}}"));
            }
            state = self.state.1.wait_timeout(state, left).expect("the store").0;
        }
    }
}

// --- engines -------------------------------------------------------------------------------------------------------

/// A request as it reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub request: String,
    pub ran: bool,
}

/// An engine or a server of a plain service.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub born: u64,
    pub version: String,
    inner: Arc<EngineInner>,
}

struct EngineInner {
    is_up: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Arrival>>,
    running: AtomicU64,
    work: Duration,
    /// One in so many requests gets an answer with status 500, if set.
    fails_each: AtomicU64,
    count: AtomicU64,
    /// Times of the answers with status 500.
    failed_at: Mutex<Vec<u64>>,
}

impl Engine {
    /// Starts an engine at an address; port 0 stands for any.
    pub fn start(id: &str, service: &str, address: SocketAddr, work: Duration) -> Engine {
        Engine::start_version(id, service, "v1", address, work)
    }

    /// The same with another version of the software.
    pub fn start_version(id: &str, service: &str, version: &str, address: SocketAddr, work: Duration) -> Engine {
        let deadline = Instant::now() + Duration::from_secs(2);
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(e) if Instant::now() >= deadline => {
                    println!("cannot run: cannot listen on {address}: {e}");
                    finish(2);
                }
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        let engine = Engine {
            address: listener.local_addr().expect("bound"),
            id: id.to_owned(),
            service: service.to_owned(),
            born: unix_ms(),
            version: version.to_owned(),
            inner: Arc::new(EngineInner {
                is_up: AtomicBool::new(true),
                conns: Mutex::default(),
                arrivals: Mutex::default(),
                running: AtomicU64::new(0),
                work,
                fails_each: AtomicU64::new(0),
                count: AtomicU64::new(0),
                failed_at: Mutex::default(),
            }),
        };
        let accepting = engine.clone();
        listener.set_nonblocking(true).expect("non-blocking");
        thread::spawn(move || {
            while accepting.is_up() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            accepting.inner.conns.lock().expect("connections").push(copy);
                        }
                        let engine = accepting.clone();
                        thread::spawn(move || engine.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        engine
    }

    pub fn is_up(&self) -> bool {
        self.inner.is_up.load(Ordering::SeqCst)
    }

    /// Ends as a killed process does: all connections are closed, and new ones are refused.
    pub fn end(&self) {
        self.inner.is_up.store(false, Ordering::SeqCst);
        for conn in self.inner.conns.lock().expect("connections").drain(..) {
            let _ = conn.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Lets one in so many requests fail after it has run.
    pub fn fail_each(&self, each: u64) {
        self.inner.fails_each.store(each, Ordering::SeqCst);
    }

    /// Times of the failed answers so far.
    pub fn failed_at(&self) -> Vec<u64> {
        self.inner.failed_at.lock().expect("times").clone()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.inner.arrivals.lock().expect("arrivals").clone()
    }

    pub fn running(&self) -> u64 {
        self.inner.running.load(Ordering::SeqCst)
    }

    /// The engine's entry in the store.
    pub fn entry(&self, zone: &str, phase: &str) -> String {
        include_str!("wire/registration.json")
            .trim()
            .replace("{SERVICE}", &self.service)
            .replace("{ADDRESS}", &self.address.to_string())
            .replace("{ZONE}", zone)
            .replace("{VERSION}", &self.version)
            .replace("{PHASE}", phase)
            .replace("{BORN}", &self.born.to_string())
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&mut reader, &head).is_err() || self.answer(&head, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> std::io::Result<()> {
        let request = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let is_own = head.get(include_str!("wire/target.txt").trim()).is_none_or(|target| target == self.id);
        self.inner.arrivals.lock().expect("arrivals").push(Arrival {
            at_ms: now_ms(),
            request: request.clone(),
            ran: is_own,
        });
        if !is_own {
            return write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {request}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let is_unknown = |model| CHECKS_MODELS.load(Ordering::SeqCst) && !MODELS.contains(&model);
        if head.get("x-model").is_some_and(is_unknown) {
            return write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {request}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        self.inner.running.fetch_add(1, Ordering::SeqCst);
        let result = self.run(head, &request, writer);
        self.inner.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn run(&self, head: &Head, request: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let signed = format!(
            "X-Attempt-Id: {request}\r\nX-Response-Signature: signed-{}\r\n",
            self.id
        );
        if head.get("x-model").is_none() {
            thread::sleep(self.inner.work);
            let text = format!("answer to {request}");
            let each = self.inner.fails_each.load(Ordering::SeqCst);
            let fails = each > 0 && self.inner.count.fetch_add(1, Ordering::SeqCst) % each == 0;
            if fails {
                self.inner.failed_at.lock().expect("times").push(now_ms());
            }
            let status = if fails { "500 Internal Server Error" } else { "200 OK" };
            return write!(
                writer,
                "HTTP/1.1 {status}\r\n{signed}Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
        }
        thread::sleep(self.inner.work);
        let after: u64 = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        write!(
            writer,
            "HTTP/1.1 200 OK\r\n{signed}X-Confidence: 95\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for id in after + 1..=EVENTS {
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(EVENT_PAUSE);
        }
        write!(writer, "0\r\n\r\n")
    }
}

/// Models that engines know, and whether they reject requests for others.
const MODELS: [&str; 2] = ["small", "large"];
pub static CHECKS_MODELS: AtomicBool = AtomicBool::new(false);

/// Events of a stream, and the pause after each.
pub const EVENTS: u64 = 5;
const EVENT_PAUSE: Duration = Duration::from_millis(10);

// --- entry hosts ---------------------------------------------------------------------------------------------------

/// An entry-host process.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Ends its process when the run ends, however it ends.
impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// A free port outside the range that the system uses for outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let offset = u64::from(std::process::id()) * 101 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (offset % 18_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// What a host is told of itself.
pub struct HostSpec {
    pub name: &'static str,
    pub zone: &'static str,
    pub store: SocketAddr,
}

/// Starts the hosts of a deployment with settings as the platform fills them in from `deploy/settings.yaml`.
pub fn start_hosts(specs: &[HostSpec], folder: &std::path::Path) -> Vec<Host> {
    watch_run();
    let addresses: Vec<[SocketAddr; 4]> = specs.iter().map(|_| [(); 4].map(|()| free_address())).collect();
    let seeds: Vec<String> = addresses.iter().take(3).map(|[_, _, peers, _]| format!("\"{peers}\"")).collect();
    let zones: std::collections::BTreeSet<&str> = specs.iter().map(|spec| spec.zone).collect();
    let regions: String = zones.iter().map(|zone| format!("  \"{zone}\": \"new-england\"\n")).collect();
    let mut hosts = Vec::new();
    for (spec, [callers, readiness, peers, metrics]) in specs.iter().zip(addresses) {
        let text = format!(
            "host: \"{}\"\ndata_centre: \"{}\"\nlisten:\n  callers: \"{callers}\"\n  readiness: \"{readiness}\"\n  peers: \"{peers}\"\n  metrics: \"{metrics}\"\n\
             seeds: [{}]\nfirst_start: true\nstore: \"{}\"\ngrace_s: 8\nretries:\n  ratio: 0.9\n  slack: 52\n  window_s: 10\n\
             trial:\n  share: 0.15\n  slack: 30\nwarm_up:\n  overshoot: \n  tolerance: \nconfidence_floors: [50, 70, 35]\n\
             bounds:\n  propagation_ms: 2000\n  drain_ms: 2000\nregion: \"new-england\"\nregions:\n{regions}memory_mb: 110\nmax_fds: 4100\nlog: info\n",
            spec.name, spec.zone, seeds.join(","), spec.store
        );
        let settings = folder.join(format!("{}.yaml", spec.name));
        std::fs::write(&settings, text).expect("the settings");
        let log = folder.join(format!("{}.log", spec.name));
        let mut host = Host {
            name: spec.name.to_owned(),
            callers,
            readiness,
            peers,
            settings,
            log,
            child: None,
        };
        host.start();
        hosts.push(host);
    }
    hosts
}

impl Host {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/foxtailhoist")
            .arg("relay")
            .env("FOXTAILHOIST_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().expect("the ids").push(child.id());
                self.child = Some(child);
            }
            Err(e) => {
                println!("cannot run: the entry host does not start: {e}");
                finish(2);
            }
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the child has not been waited for, so the id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended by now.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        let id = child.id();
        if matches!(child.try_wait(), Ok(Some(_))) {
            STARTED.lock().expect("the ids").retain(|started| *started != id);
            self.child = None;
            return true;
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            STARTED.lock().expect("the ids").retain(|started| *started != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let path = include_str!("wire/ready.txt").trim();
        let head = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        exchange(self.readiness, &head, b"", Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
    }
}

/// Waits until all hosts report that they are ready; the case cannot run otherwise.
pub fn until_ready(hosts: &[Host]) {
    let deadline = Instant::now() + Duration::from_secs(15);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() >= deadline {
            println!("cannot run: the entry hosts are not ready");
            finish(2);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Ids of the processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest run.
const MAX_RUN: Duration = Duration::from_secs(116);

/// Ends the processes that were started, and this one.
pub fn finish(code: i32) -> ! {
    for pid in STARTED.lock().expect("the ids").drain(..) {
        // SAFETY: the child has not been waited for, so the id is its own.
        unsafe { kill(pid as i32, SIGKILL) };
    }
    std::process::exit(code)
}

/// Ends the run as one that could not be made when it takes too long.
fn watch_run() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        println!("cannot run: it takes too long");
        finish(2);
    });
}

// --- clients -------------------------------------------------------------------------------------------------------

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub is_signed: bool,
    /// The id that the answer bears.
    pub request: String,
    pub retry_after: Option<f64>,
    pub body: String,
}

/// Sends a request on a connection of its own and reads the whole answer.
pub fn exchange(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> std::io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut writer = stream.try_clone()?;
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok(Answer {
        status: head.status(),
        is_signed: head.get(include_str!("wire/signature.txt").trim()).is_some(),
        request: head.get("x-attempt-id").unwrap_or_default().to_owned(),
        retry_after: head.get("retry-after").and_then(|value| value.parse().ok()),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst) * 0x9e37_79b9)
}

/// Head of a plain request.
pub fn plain_head(method: &str, path: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: {KEY}\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Head of a request for a stream; all but the last of its prompt's parts are shared with others.
pub fn stream_head(path: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: {KEY}\r\nX-Model: *\r\n\
         X-Token-Usage: 1160,25\r\nX-Prefix-Hash: 5c1e07a2:341,{:x}:227,{id}:592\r\nContent-Length: {length}\r\n\r\n",
        0x1000 + u64::from_str_radix(id, 16).unwrap_or(0) % 220
    )
}

/// The same on a route where the caller names the model.
pub fn model_head(path: &str, id: &str, deadline_ms: u64, length: usize, model: &str) -> String {
    stream_head(path, id, deadline_ms, length).replace("X-Model: *", &format!("X-Model: {model}"))
}

/// Routes of a small deployment: streams, orders that must not be repeated, and lookups.
pub fn configuration(version: u64) -> String {
    include_str!("wire/configuration.json").replace("{VERSION}", &version.to_string()).replace("{HOST}", HOSTNAME)
}
