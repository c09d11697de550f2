//! Entry hosts as processes of the project's own program, with settings of a small deployment, and what was recorded.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;

pub const KILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started and not yet ended.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static START: OnceLock<Instant> = OnceLock::new();

/// Adds a line to the record.
pub fn note(text: impl AsRef<str>) {
    let at = START.get_or_init(Instant::now).elapsed().as_millis();
    let line = format!("{at:>7} ms  {}", text.as_ref());
    LINES.lock().expect("not poisoned").push(line);
}

/// Writes the record, ends all processes and exits.
pub fn finish(folder: &std::path::Path, code: i32) -> ! {
    let lines = LINES.lock().map(|lines| lines.join("\n")).unwrap_or_default();
    let _ = std::fs::write(folder.join("record.txt"), lines + "\n");
    // A thread that panicked may hold the lock.
    if let Ok(mut children) = CHILDREN.try_lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    std::process::exit(code);
}

/// Ends the case after a time, whatever it does.
pub fn limit(folder: PathBuf, after: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(after);
        note("the case did not end in time");
        finish(&folder, 2);
    });
}

/// Settings of one deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub repository: PathBuf,
    pub temporary: PathBuf,
    pub store: SocketAddr,
    pub memory_mb: u64,
    pub max_fds: u64,
    pub hosts: Vec<Host>,
}

#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

impl Deployment {
    /// `deploy/settings.yaml` with its placeholders filled in.
    pub fn settings(&self, host: &Host, is_first_start: bool) -> String {
        let seeds: Vec<String> =
            self.hosts.iter().take(3).map(|host| format!("\"{}\"", host.peers)).collect();
        let Host { name, zone, callers, readiness, peers, metrics } = host;
        let Deployment { store, memory_mb, max_fds, .. } = self;
        format!(
            "host: \"{name}\"\ndata_centre: \"{zone}\"\nlisten:\n  callers: \"{callers}\"\n  readiness: \"{readiness}\"\n  \
             peers: \"{peers}\"\n  metrics: \"{metrics}\"\nseeds: [{}]\nfirst_start: {is_first_start}\nstore: \"{store}\"\n\
             grace_s: 8\nretries:\n  ratio: 0.9\n  slack: 52\n  window_s: 10\ntrial:\n  share: 0.15\n  slack: 30\n\
             warm_up:\n  overshoot: \n  tolerance: \nconfidence_floors: [50, 70, 35]\nbounds:\n  propagation_ms: 2000\n  \
             drain_ms: 2000\nregion: \"new-england\"\nregions:\n  \"nashua\": \"new-england\"\n  \"lowell\": \"new-england\"\n  \
             \"concord\": \"new-england\"\nmemory_mb: {memory_mb}\nmax_fds: {max_fds}\nlog: info\n",
            seeds.join(",")
        )
    }

    /// Starts the program of the deploy file for a host; returns the process's id.
    pub fn start(&self, number: usize, is_first_start: bool) -> u32 {
        let host = &self.hosts[number];
        let file = self.temporary.join(format!("{}.yaml", host.name));
        std::fs::write(&file, self.settings(host, is_first_start)).expect("settings are written");
        let log = self.temporary.join(format!("{}.log", host.name));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new("target/release/foxtailhoist")
            .arg("relay")
            .current_dir(&self.repository)
            .env_clear()
            .env("FOXTAILHOIST_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        let id = child.id();
        CHILDREN.lock().expect("not poisoned").push(child);
        note(format!("started {} as process {id}", host.name));
        id
    }

    /// Waits until all hosts report ready; returns whether they did in time.
    pub fn until_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        self.hosts.iter().all(|host| {
            while !is_ready(host.readiness) {
                if Instant::now() >= until {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            true
        })
    }
}

/// One question of the platform's load balancer.
pub fn is_ready(readiness: SocketAddr) -> bool {
    let ask = || -> std::io::Result<u16> {
        let mut conn = Conn::open(readiness, Duration::from_secs(1))?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let path = include_str!("wire/ready.txt").trim_end();
        conn.write(format!("GET {path} HTTP/1.1\r\nHost: {readiness}\r\n\r\n").as_bytes())?;
        Ok(conn.read_head()?.status())
    };
    ask().is_ok_and(|status| status == 200)
}

pub fn signal(process: u32, signal: i32) {
    // SAFETY: `kill` has no preconditions; the process is a child of this one that was not waited for.
    unsafe { kill(process as i32, signal) };
}

/// A field of a process's status in kB.
pub fn status_kb(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or("");
    line.trim_matches([':', ' ', '\t']).trim_end_matches(" kB").trim().parse().unwrap_or(0)
}

/// Bytes that the kernel received on the connections of a local address and that were not read, in kB.
pub fn unread_kb(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_own = fields.next()? == local;
        let is_listener = fields.nth(1)? == "0A";
        let (_, unread) = fields.next()?.split_once(':')?;
        (is_own && !is_listener).then(|| u64::from_str_radix(unread, 16).ok())?
    });
    unread.sum::<u64>() / 1024
}
