//! One workspace looks up orders, each time with another value in a header that a look-up has no use for. All requests are inside the
//! limits and are answered. Ordinary callers have streams under way on kept connections meanwhile.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::note;
use crate::memory;
use crate::site;

/// Requests a second, and their number. The site's callers together send about 11 a second to a machine.
const RATE: u64 = 40;
const REQUESTS: u64 = 2_600;
/// Length of the header; the limit on a head is 16,384 bytes.
const NAME_BYTES: usize = 15_000;
const WORKSPACE: usize = 3;
/// Rounds of the ordinary callers; a stream takes 11 s.
const ROUNDS: usize = 6;

pub fn run(folder: PathBuf, trouble: bool) {
    memory::run(folder, trouble, ROUNDS, |address| vec![std::thread::spawn(move || send(address))])
}

fn send(address: SocketAddr) {
    note(format!("a workspace sends {RATE} look-ups a second"));
    let start = Instant::now();
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        let due = start + Duration::from_secs(1) * number as u32 / RATE as u32;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let builder = std::thread::Builder::new().stack_size(128 * 1024);
        calls.push(
            builder
                .spawn(move || {
                    let id = site::fresh_id();
                    let more =
                        format!("X-Model: {id}{}\r\n\r\n", "m".repeat(NAME_BYTES - id.len()));
                    let text =
                        site::head("GET", &format!("/look/{id}"), &id, WORKSPACE, 1_000, &more);
                    let answer = site::call(address, text.as_bytes(), Duration::from_millis(1_500));
                    (text.len(), answer.status)
                })
                .expect("a thread"),
        );
        if calls.len() >= 200 {
            sum_up(std::mem::take(&mut calls));
        }
    }
    sum_up(calls);
}

fn sum_up(calls: Vec<JoinHandle<(usize, u16)>>) {
    let answers: Vec<(usize, u16)> =
        calls.into_iter().map(|call| call.join().expect("no panic")).collect();
    let whole = answers.iter().filter(|(_, status)| *status == 200).count();
    let longest = answers.iter().map(|(length, _)| *length).max().unwrap_or(0);
    note(format!(
        "the workspace: {whole} of {} look-ups answered 200; longest head {longest} bytes",
        answers.len()
    ));
}
