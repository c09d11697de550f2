//! Backend servers in the world: engines and plain services that run attempts and fail as they are told.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Serves;
use foxtailhoist_route::event::AttemptFailure;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::EngineFault;

/// Time to the first byte and to the whole answer without faults.
const FIRST_BYTE: Duration = Duration::from_millis(60);
const WHOLE: Duration = Duration::from_millis(400);
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time until a probe on a new connection tells a silent connection.
const SILENCE_FOUND: Duration = Duration::from_secs(2);
/// Lag of the host list.
const LIST_LAG: Duration = Duration::from_secs(2);

/// All backend servers.
#[derive(Default)]
pub struct Backends {
    servers: BTreeMap<BackendServerId, Server>,
    spoilt: BTreeMap<ModelVersion, Spoilt>,
}

struct Server {
    listed: BackendServer,
    fault: EngineFault,
    dead_until: Option<Instant>,
    /// When the host list will show it as leaving.
    leaves_at: Option<Instant>,
    running: BTreeMap<AttemptId, EntryHostId>,
    /// Hosts that opened new connections since these went silent.
    reconnected: Vec<EntryHostId>,
}

/// Shares of a bad version's answers.
#[derive(Clone, Copy)]
struct Spoilt {
    unacceptable: f64,
    failing: f64,
}

/// What a server does with an attempt.
pub enum Run {
    /// Not taken in.
    Refused(AttemptFailure),
    /// Taken in, and it fails after the time.
    Fails { after: Duration, failure: AttemptFailure },
    /// Taken in and answered.
    Answers { first: Duration, whole: Duration, leaving: bool },
    /// Taken in, and the server dies with all that it runs.
    Dies { back_after: Duration },
}

/// An attempt that was lost with its server.
pub struct Lost {
    pub host: EntryHostId,
    pub attempt: AttemptId,
}

impl Backends {
    pub fn add(&mut self, id: &str, data_centre: &str, serves: Serves) {
        let number = u16::try_from(self.servers.len()).unwrap_or(u16::MAX);
        let listed = BackendServer {
            id: id.to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + number)),
            data_centre: data_centre.to_owned(),
            presence: Presence::Live,
            serves,
            checks_fencing: true,
        };
        let server = Server {
            listed,
            fault: EngineFault::None,
            dead_until: None,
            leaves_at: None,
            running: BTreeMap::new(),
            reconnected: Vec::new(),
        };
        self.servers.insert(id.to_owned(), server);
    }

    /// The servers as the host list shows them.
    #[must_use]
    pub fn listed(&self, now: Instant) -> Vec<BackendServer> {
        let shown = |server: &Server| {
            let leaving = server.leaves_at.is_some_and(|at| at + LIST_LAG <= now);
            let presence = if leaving { Presence::Leaving } else { Presence::Live };
            BackendServer { presence, ..server.listed.clone() }
        };
        self.servers.values().map(shown).collect()
    }

    pub fn ids(&self) -> impl Iterator<Item = &BackendServerId> {
        self.servers.keys()
    }

    #[must_use]
    pub fn data_centre(&self, id: &str) -> Option<&str> {
        self.servers.get(id).map(|server| server.listed.data_centre.as_str())
    }

    /// When the server began to leave.
    #[must_use]
    pub fn leaving_since(&self, id: &str) -> Option<Instant> {
        self.servers.get(id).and_then(|server| server.leaves_at)
    }

    pub fn leave(&mut self, id: &str, now: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.leaves_at = Some(now);
        }
    }

    pub fn spoil(&mut self, model_version: &ModelVersion, unacceptable: f64, failing: f64) {
        self.spoilt.insert(model_version.clone(), Spoilt { unacceptable, failing });
    }

    /// Share of a version's answers that are not acceptable.
    #[must_use]
    pub fn unacceptable(&self, model_version: &ModelVersion) -> f64 {
        self.spoilt.get(model_version).map_or(0.03, |spoilt| spoilt.unacceptable)
    }

    /// Sets a fault; returns the attempts that are lost by it.
    pub fn set_fault(&mut self, id: &str, fault: EngineFault, now: Instant) -> Vec<Lost> {
        let Some(server) = self.servers.get_mut(id) else {
            return Vec::new();
        };
        server.reconnected.clear();
        let lost = match &fault {
            EngineFault::Crash(back_after) => server.die(now + back_after.0),
            EngineFault::None => {
                server.dead_until = None;
                Vec::new()
            }
            _ => Vec::new(),
        };
        server.fault = fault;
        lost
    }

    /// Notes that a host opened new connections.
    pub fn reconnected(&mut self, id: &str, host: &EntryHostId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.reconnected.push(host.clone());
        }
    }

    /// Takes an attempt in.
    pub fn start(
        &mut self,
        id: &str,
        attempt: &Attempt<'_>,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Run {
        let failing = attempt
            .model_version
            .and_then(|version| self.spoilt.get(version))
            .map(|spoilt| spoilt.failing);
        let Some(server) = self.servers.get_mut(id) else {
            return Run::Refused(AttemptFailure::Refused);
        };
        if server.dead_until.is_some_and(|until| now < until) {
            return Run::Refused(AttemptFailure::Refused);
        }
        server.dead_until = None;
        let run = server.run(attempt, rng);
        if !matches!(run, Run::Refused(_)) {
            server.running.insert(attempt.id, attempt.host.clone());
        }
        match run {
            Run::Answers { whole, .. } if failing.is_some_and(|share| rng.random_bool(share)) => {
                Run::Fails { after: whole, failure: AttemptFailure::ServerError }
            }
            run => run,
        }
    }

    /// The server dies; returns what it ran.
    pub fn die(&mut self, id: &str, back_at: Instant) -> Vec<Lost> {
        self.servers.get_mut(id).map(|server| server.die(back_at)).unwrap_or_default()
    }

    /// Ends an attempt; false when it was lost or cancelled before.
    pub fn end(&mut self, id: &str, attempt: AttemptId) -> bool {
        self.servers.get_mut(id).is_some_and(|server| server.running.remove(&attempt).is_some())
    }
}

/// An attempt as a server sees it.
pub struct Attempt<'a> {
    pub id: AttemptId,
    pub host: &'a EntryHostId,
    pub model_version: Option<&'a ModelVersion>,
    pub content: &'a str,
    pub first_byte_timeout: Duration,
}

impl Server {
    fn run(&self, attempt: &Attempt<'_>, rng: &mut ChaCha8Rng) -> Run {
        let (first, whole) = match self.listed.serves {
            Serves::Engine { .. } => (FIRST_BYTE, WHOLE),
            Serves::Service(_) => (SERVICE_TIME, SERVICE_TIME),
        };
        let jitter = rng.random_range(0.8..1.2);
        let answers = |factor: f64, leaving| Run::Answers {
            first: first.mul_f64(jitter * factor),
            whole: whole.mul_f64(jitter * factor),
            leaving,
        };
        match &self.fault {
            EngineFault::None | EngineFault::Crash(_) => answers(1.0, false),
            EngineFault::Slow(factor)
                if first.mul_f64(jitter * factor) > attempt.first_byte_timeout =>
            {
                Run::Fails { after: attempt.first_byte_timeout, failure: AttemptFailure::TimedOut }
            }
            EngineFault::Slow(factor) => answers(*factor, false),
            EngineFault::CrashOn { content, back_after } if content == attempt.content => {
                Run::Dies { back_after: back_after.0 }
            }
            EngineFault::CrashOn { .. } => answers(1.0, false),
            EngineFault::Silent if self.reconnected.contains(attempt.host) => answers(1.0, false),
            EngineFault::Silent => {
                Run::Fails { after: SILENCE_FOUND, failure: AttemptFailure::SilentConnection }
            }
            EngineFault::Crossed => {
                Run::Fails { after: first, failure: AttemptFailure::WrongAttempt }
            }
            EngineFault::Busy => Run::Refused(AttemptFailure::Rejected),
            EngineFault::SaysLeaving => answers(1.0, true),
        }
    }

    fn die(&mut self, back_at: Instant) -> Vec<Lost> {
        self.dead_until = Some(back_at);
        let running = std::mem::take(&mut self.running);
        running.into_iter().map(|(attempt, host)| Lost { host, attempt }).collect()
    }
}
