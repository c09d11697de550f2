//! A small deployment like Merrimack Leaven's: its configuration, its servers and its callers.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Engine;
use crate::engine::Work;
use crate::fleet::Deployment;
use crate::fleet::Host;
use crate::http::Conn;
use crate::http::Head;
use crate::store::Store;

pub const HOST: &str = "bakery.example";
pub const WORKSPACES: usize = 10;
const ZONES: [&str; 3] = ["nashua", "lowell", "concord"];

pub struct Site {
    pub deployment: Deployment,
    pub engines: Vec<Engine>,
    pub desks: Vec<Engine>,
}

/// Address on loopback: `group` 1 is the platform, 3 the engines, 4 the plain service.
pub fn address(group: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 77, group, number)), port)
}

/// Free ports on 127.0.0.1, below those that the kernel gives to outgoing connections. The entry hosts share this address: it is
/// the source address of their own connections, and they take messages only from addresses of registered hosts.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let first = 10_000 + (std::process::id() * 37 % 15_000) as u16;
    let all = (first..30_000).map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    all.filter(|address| TcpListener::bind(address).is_ok()).take(count).collect()
}

/// The configuration; each workspace has one key.
pub fn configuration(version: u64) -> String {
    let entry = include_str!("wire/workspace.json").trim_end();
    let workspaces: Vec<String> = (0..WORKSPACES)
        .map(|n| entry.replace("{NAME}", &format!("t{n}")).replace("{KEY}", &key(n)))
        .collect();
    include_str!("wire/configuration.json")
        .replace("{VERSION}", &version.to_string())
        .replace("{HOST}", HOST)
        .replace("{WORKSPACES}", &workspaces.join(","))
}

pub fn key(workspace: usize) -> String {
    format!("key{workspace}anfqasnmgkcuyj8p")
}

impl Site {
    /// Starts the store and the servers.
    pub fn start(folder: &Path, hosts: usize, engines: usize, work: Work) -> Site {
        let repository = folder.join("../..").canonicalize().expect("the repository");
        let temporary = std::env::temp_dir().join(format!("standins-2-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let addresses = free_addresses(hosts * 4);
        let store = Store::start(address(1, 7, 0));
        store.put("config", "main", &configuration(7));
        let desk = Work {
            slots: 6,
            queue: 24,
            first: Duration::from_millis(30),
            events: 0,
            gap: Duration::ZERO,
            body_bytes: 800,
        };
        let place = |number: usize| ZONES[number % ZONES.len()];
        let engines: Vec<Engine> = (0..engines)
            .map(|n| {
                let id = format!("i-llm{n}");
                Engine::start(&id, "levain-llm", place(n), address(3, n as u8 + 1, 0), work)
            })
            .collect();
        let desks: Vec<Engine> = (0..3)
            .map(|n| {
                let id = format!("i-app{n}");
                Engine::start(&id, "crock-app", place(n), address(4, n as u8 + 1, 0), desk)
            })
            .collect();
        for engine in engines.iter().chain(&desks) {
            engine.register(&store);
        }
        let hosts: Vec<Host> = (0..hosts)
            .map(|n| Host {
                name: format!("entry-{}-{n}", place(n)),
                zone: place(n).to_owned(),
                callers: addresses[4 * n],
                readiness: addresses[4 * n + 1],
                peers: addresses[4 * n + 2],
                metrics: addresses[4 * n + 3],
            })
            .collect();
        let store_address = store.address;
        let deployment = Deployment {
            repository,
            temporary,
            store: store_address,
            memory_mb: 110,
            max_fds: 4_100,
            hosts,
        };
        Site { deployment, engines, desks }
    }

    /// Starts the entry hosts; `None` if they do not get ready.
    pub fn start_hosts(&self) -> Option<Vec<u32>> {
        let count = self.deployment.hosts.len();
        let processes = (0..count).map(|host| self.deployment.start(host, true)).collect();
        self.deployment.until_ready(Duration::from_secs(10)).then_some(processes)
    }

    pub fn callers(&self, host: usize) -> SocketAddr {
        self.deployment.hosts[host].callers
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.deployment.temporary);
    }
}

pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if there was no answer.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub elapsed: Duration,
    pub error: String,
}

pub fn head(
    method: &str,
    path: &str,
    id: &str,
    workspace: usize,
    deadline_ms: u64,
    more: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {}\r\n{more}",
        key(workspace)
    )
}

/// Sends a request on a new connection and waits for the answer until its deadline.
pub fn call(address: SocketAddr, text: &[u8], wait: Duration) -> Answer {
    let started = Instant::now();
    let mut answer = Answer {
        status: 0,
        head: Head::default(),
        body: Vec::new(),
        elapsed: Duration::ZERO,
        error: String::new(),
    };
    let result = (|| -> std::io::Result<()> {
        let mut conn = Conn::open(address, Duration::from_secs(1))?;
        conn.stream.set_read_timeout(Some(wait))?;
        conn.stream.set_write_timeout(Some(wait))?;
        conn.write(text)?;
        let head = conn.read_head()?;
        answer.body = conn.read_body(&head, true)?;
        answer.status = head.status();
        answer.head = head;
        Ok(())
    })();
    if let Err(e) = result {
        answer.error = e.to_string();
    }
    answer.elapsed = started.elapsed();
    answer
}

pub fn lookup(address: SocketAddr, workspace: usize, wait: Duration) -> (String, Answer) {
    let id = fresh_id();
    let text = head("GET", &format!("/look/{id}"), &id, workspace, 1_000, "\r\n");
    let answer = call(address, text.as_bytes(), wait);
    (id, answer)
}
