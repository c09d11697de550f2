//! Entry-host processes, started with the command of the deploy file and settings like those of a small deployment.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;

/// Time until the hosts must be ready; traffic begins after it.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 31_000;

/// The processes of one run; dropping kills them.
pub struct Hosts {
    hosts: Vec<Host>,
    directory: PathBuf,
    record: Record,
}

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: String,
    child: Option<Child>,
}

impl Hosts {
    /// Starts a host in each zone; `settings` is a template.
    pub fn start(zones: &[&str], settings: &str, store: &Store, record: &Record) -> Hosts {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let mut port = FIRST_PORT + (std::process::id() % 1_000) as u16 * 16;
        let mut free_port = |ip: &str| {
            loop {
                port = if port >= LAST_PORT { FIRST_PORT } else { port + 1 };
                if TcpListener::bind(format!("{ip}:{port}")).is_ok() {
                    return format!("{ip}:{port}");
                }
            }
        };
        let addresses: Vec<[String; 4]> =
            (0..zones.len()).map(|_| [(); 4].map(|()| free_port("127.0.0.1"))).collect();
        let seeds: Vec<String> = addresses.iter().map(|all| format!("\"{}\"", all[2])).collect();
        let mut hosts = Hosts { hosts: Vec::new(), directory, record: record.clone() };
        for (number, (zone, [callers, readiness, peers, metrics])) in
            zones.iter().zip(addresses).enumerate()
        {
            let name = format!("host-{number}");
            let settings = settings
                .replace("{host}", &name)
                .replace("{zone}", zone)
                .replace("{callers}", &callers)
                .replace("{readiness}", &readiness)
                .replace("{peers}", &peers)
                .replace("{metrics}", &metrics)
                .replace("{seeds}", &seeds.join(","))
                .replace("{store}", &store.address.to_string());
            let address = |text: &str| text.parse().expect("an address");
            hosts.hosts.push(Host {
                name,
                callers: address(&callers),
                readiness: address(&readiness),
                settings,
                child: None,
            });
        }
        for number in 0..zones.len() {
            hosts.start_process(number, true);
        }
        hosts
    }

    pub fn get(&self, number: usize) -> &Host {
        &self.hosts[number]
    }

    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    pub fn start_process(&mut self, number: usize, is_first: bool) {
        let host = &mut self.hosts[number];
        let file = self.directory.join(format!("{}.yaml", host.name));
        let settings = host.settings.replace("{first_start}", &is_first.to_string());
        fs::write(&file, settings).expect("the settings are written");
        let log = self.directory.join(format!("{}.log", host.name));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new("target/release/foxtailhoist")
            .arg("relay")
            .env("FOXTAILHOIST_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program was built");
        self.record.write(&format!("started host={} process={}", host.name, child.id()));
        host.child = Some(child);
    }

    /// Kills a process at once.
    pub fn kill(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if let Some(mut child) = host.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.write(&format!("killed host={}", host.name));
        }
    }

    /// Highest resident memory of a process so far, in bytes.
    pub fn memory(&self, number: usize) -> u64 {
        let Some(child) = &self.hosts[number].child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
        kb.unwrap_or(0) * 1024
    }

    /// Waits until all hosts are ready; returns whether they are.
    pub fn until_ready(&self) -> bool {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            if self.hosts.iter().all(Host::is_ready) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

impl Host {
    /// Asks as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut conn = Conn::open(self.readiness).ok()?;
            conn.stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            let host = [("Host", self.readiness.to_string())];
            conn.write(include_str!("readiness.txt").trim(), &host, b"").ok()?;
            conn.read().ok()?
        };
        ask().is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for number in 0..self.hosts.len() {
            self.kill(number);
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}
