//! Stand-in for a model engine, as a process of its own: sound streams of events, each written when it is made.
//!
//! It prints its address, then a line for each request that it runs.

use std::io;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Conn;
use crate::http::Message;

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
