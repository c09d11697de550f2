//! Stand-in for a model engine, as a process of its own: sound streams of events, each written when it is made.
//!
//! It prints its address, then a line for each request that it runs.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use crate::http;
use crate::http::Conn;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// Events of each stream.
pub const EVENTS: u64 = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// How a stream shows its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Chunks,
    /// Neither a length nor chunks: it ends with its connection.
    Connection,
}

/// A running engine process; dropping kills it.
pub struct EngineProcess {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    child: Child,
}

impl EngineProcess {
    pub fn start(id: &str, framing: Framing, record: &Record) -> io::Result<EngineProcess> {
        let framing = if framing == Framing::Chunks { "chunks" } else { "connection" };
        let mut child = Command::new(std::env::current_exe()?)
            .args(["engine", id, framing])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        record.write(&format!("started engine={id} process={}", child.id()));
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(stdout).lines();
        let address = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
        let address = address.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let (record, server) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.write(&format!("run {line} server={server}"));
            }
        });
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis());
        Ok(EngineProcess { id: id.to_owned(), address, born, child })
    }

    /// Writes this engine's entry; `template` holds an entry with placeholders.
    pub fn register(&self, store: &Store, template: &str, service: &str, zone: &str) {
        let entry = template
            .replace("{service}", service)
            .replace("{address}", &self.address.to_string())
            .replace("{zone}", zone)
            .replace("{born}", &self.born.to_string());
        store.put("servers", &self.id, entry.as_bytes());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Text of an event.
pub fn event(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} {number}\n\n")
}

/// Runs the process.
pub fn run(id: &str, framing: Framing) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    println!("{}", listener.local_addr().expect("bound"));
    let id = id.to_owned();
    http::listen(listener, move |mut conn| {
        while let Ok(Some(request)) = conn.read() {
            if answer(&mut conn, &request, &id, framing).is_err() || framing == Framing::Connection
            {
                return;
            }
        }
    });
    loop {
        thread::park();
    }
}

fn answer(conn: &mut Conn, request: &Message, server: &str, framing: Framing) -> io::Result<()> {
    let id = request.header("X-Attempt-Id").unwrap_or_default();
    if request.header("X-Target-Instance").is_some_and(|wanted| wanted != server) {
        let headers = [("X-Not-Executed", "1".to_owned())];
        return conn.write("HTTP/1.1 421 Misdirected Request", &headers, b"");
    }
    let resumed = request.header("Last-Event-Id").and_then(|event| event.parse::<u64>().ok());
    println!("request={id} after={}", resumed.unwrap_or(0));
    let end = match framing {
        Framing::Chunks => "Transfer-Encoding: chunked\r\n\r\n",
        Framing::Connection => "Connection: close\r\n\r\n",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
         X-Response-Signature: {server}.{id}\r\n{end}"
    );
    conn.stream.write_all(head.as_bytes())?;
    for number in resumed.unwrap_or(0) + 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        let event = event(id, number);
        let bytes = match framing {
            Framing::Chunks => format!("{:x}\r\n{event}\r\n", event.len()),
            Framing::Connection => event,
        };
        conn.stream.write_all(bytes.as_bytes())?;
    }
    if framing == Framing::Chunks {
        conn.stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
