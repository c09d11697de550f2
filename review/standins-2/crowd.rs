//! Clients that the operator does not control take a machine's memory: each sends a request inside the limits, and behind it
//! a head without end. Ordinary callers have streams under way on kept connections meanwhile.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::note;
use crate::memory;
use crate::site;

const CLIENTS: u64 = 600;
/// A head and a body inside the limits of 16,384 and 4,194,304 bytes.
const HEAD_BYTES: usize = 15_000;
const BODY_BYTES: usize = 40_000;
/// What a client sends at most of the head without end.
const ENDLESS_BYTES: usize = 200_000;
/// Time for which a client stays.
const STAY: Duration = Duration::from_secs(12);
/// Time between two clients: together they stay far below the machine's link of 1,000 Mbit/s.
const START_INTERVAL: Duration = Duration::from_millis(8);

pub fn run(folder: PathBuf, trouble: bool) {
    memory::run(folder, trouble, 1, start_crowd)
}

fn start_crowd(address: SocketAddr) -> Vec<JoinHandle<()>> {
    note(format!("{CLIENTS} clients come"));
    let client = move |number: u64| {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            return;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.set_write_timeout(Some(STAY));
        let id = site::fresh_id();
        let fill: String = (0..HEAD_BYTES / 1_000)
            .map(|n| format!("X-Note-{n}: {}\r\n", "n".repeat(980)))
            .collect();
        let more = format!(
            "X-Model: *\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,{id}:250\r\n{fill}Content-Length: {BODY_BYTES}\r\n\r\n"
        );
        let workspace = (number as usize) % site::WORKSPACES;
        let mut text = site::head("POST", "/plan/1", &id, workspace, 25_000, &more).into_bytes();
        text.extend(vec![b'p'; BODY_BYTES]);
        text.extend(b"POST /plan/1 HTTP/1.1\r\nX-Note: ");
        text.extend(vec![b'n'; ENDLESS_BYTES]);
        let until = Instant::now() + STAY;
        if stream.write_all(&text).is_err() {
            return;
        }
        let mut buf = [0; 4_096];
        while Instant::now() < until {
            match stream.read(&mut buf) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
        }
    };
    let start = |number| {
        std::thread::sleep(START_INTERVAL);
        let builder = std::thread::Builder::new().stack_size(128 * 1024);
        builder.spawn(move || client(number)).expect("a thread")
    };
    (0..CLIENTS).map(start).collect()
}
