//! A caller with one connection that it keeps, and a caller that opens a connection for each request.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http::Conn;
use crate::http::Message;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub key: &'static str,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

/// An id that no other request of this run has.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Sends a request on a connection and reads its answer; `None` if the connection ended without one.
pub fn exchange(conn: &mut Conn, call: &Call, id: &str) -> io::Result<Option<Message>> {
    conn.stream.set_read_timeout(Some(call.deadline + Duration::from_secs(1)))?;
    let headers = [
        ("Host", "site.example".to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", call.deadline.as_millis().to_string()),
        ("Authorization", format!("Token {}", call.key)),
    ];
    conn.write(&format!("{} {} HTTP/1.1", call.method, call.path), &headers, &call.body)?;
    conn.read()
}

/// Sends a request on a new connection.
pub fn call_once(address: SocketAddr, call: &Call, id: &str) -> io::Result<Option<Message>> {
    exchange(&mut Conn::open(address)?, call, id)
}
