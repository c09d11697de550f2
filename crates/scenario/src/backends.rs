//! Simulated backend servers: engines and plain services with injected faults.

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

/// Time to an engine's first byte without faults.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(60);
/// Time to an engine's complete answer without faults.
const COMPLETE_ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time to a plain service's answer without faults.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time until a probe on a new connection detects a silent connection.
const SILENCE_DETECTION_TIME: Duration = Duration::from_secs(2);
/// Lag with which the host list shows a leaving server.
const HOST_LIST_LAG: Duration = Duration::from_secs(2);

/// All backend servers and degraded versions.
#[derive(Default)]
pub struct Backends {
    servers: BTreeMap<BackendServerId, Server>,
    degraded: BTreeMap<ModelVersion, DegradedVersion>,
}

struct Server {
    listed: BackendServer,
    fault: EngineFault,
    down_until: Option<Instant>,
    /// When the server began to leave; the host list shows it [`HOST_LIST_LAG`] later.
    leaving_since: Option<Instant>,
    running: BTreeMap<AttemptId, EntryHostId>,
    /// Hosts that opened new connections since the latest fault was set.
    reconnected: Vec<EntryHostId>,
}

/// Shares of unacceptable and failing answers of a degraded version.
#[derive(Clone, Copy)]
struct DegradedVersion {
    unacceptable_share: f64,
    failing_share: f64,
}

/// Planned outcome of an attempt on a server.
pub enum PlannedOutcome {
    /// Refused without running.
    Refused(AttemptFailure),
    /// Accepted, and fails after the given time.
    Fails { after: Duration, failure: AttemptFailure },
    /// Accepted and answered.
    Answers { first_byte: Duration, complete: Duration, leaving: bool },
    /// Accepted, and the server crashes with all its running attempts.
    Crashes { back_after: Duration },
}

/// A running attempt lost in a server's crash.
pub struct LostAttempt {
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
            down_until: None,
            leaving_since: None,
            running: BTreeMap::new(),
            reconnected: Vec::new(),
        };
        self.servers.insert(id.to_owned(), server);
    }

    /// The servers as the host list shows them.
    #[must_use]
    pub fn listed(&self, now: Instant) -> Vec<BackendServer> {
        let shown = |server: &Server| {
            let leaving = server.leaving_since.is_some_and(|at| at + HOST_LIST_LAG <= now);
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
        self.servers.get(id).and_then(|server| server.leaving_since)
    }

    pub fn leave(&mut self, id: &str, now: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.leaving_since = Some(now);
        }
    }

    pub fn degrade(
        &mut self,
        model_version: &ModelVersion,
        unacceptable_share: f64,
        failing_share: f64,
    ) {
        self.degraded
            .insert(model_version.clone(), DegradedVersion { unacceptable_share, failing_share });
    }

    /// Share of a version's answers that are not acceptable.
    #[must_use]
    pub fn unacceptable_share(&self, model_version: &ModelVersion) -> f64 {
        self.degraded.get(model_version).map_or(0.03, |degraded| degraded.unacceptable_share)
    }

    /// Sets a fault; returns the attempts lost because of it.
    pub fn set_fault(&mut self, id: &str, fault: EngineFault, now: Instant) -> Vec<LostAttempt> {
        let Some(server) = self.servers.get_mut(id) else {
            return Vec::new();
        };
        server.reconnected.clear();
        let lost = match &fault {
            EngineFault::Crash(back_after) => server.crash(now + back_after.0),
            EngineFault::None => {
                server.down_until = None;
                Vec::new()
            }
            _ => Vec::new(),
        };
        server.fault = fault;
        lost
    }

    /// Records that a host opened new connections.
    pub fn record_reconnect(&mut self, id: &str, host: &EntryHostId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.reconnected.push(host.clone());
        }
    }

    /// Starts an attempt and plans its outcome.
    pub fn start_attempt(
        &mut self,
        id: &str,
        attempt: &Attempt<'_>,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> PlannedOutcome {
        let failing_share = attempt
            .model_version
            .and_then(|version| self.degraded.get(version))
            .map(|degraded| degraded.failing_share);
        let Some(server) = self.servers.get_mut(id) else {
            return PlannedOutcome::Refused(AttemptFailure::Refused);
        };
        if server.down_until.is_some_and(|until| now < until) {
            return PlannedOutcome::Refused(AttemptFailure::Refused);
        }
        server.down_until = None;
        let outcome = server.plan_outcome(attempt, rng);
        if !matches!(outcome, PlannedOutcome::Refused(_)) {
            server.running.insert(attempt.id, attempt.host.clone());
        }
        match outcome {
            PlannedOutcome::Answers { complete, .. }
                if failing_share.is_some_and(|share| rng.random_bool(share)) =>
            {
                PlannedOutcome::Fails { after: complete, failure: AttemptFailure::ServerError }
            }
            outcome => outcome,
        }
    }

    /// Crashes the server; returns its running attempts.
    pub fn crash(&mut self, id: &str, back_at: Instant) -> Vec<LostAttempt> {
        self.servers.get_mut(id).map(|server| server.crash(back_at)).unwrap_or_default()
    }

    /// Ends an attempt; false if it was already lost or cancelled.
    pub fn end_attempt(&mut self, id: &str, attempt: AttemptId) -> bool {
        self.servers.get_mut(id).is_some_and(|server| server.running.remove(&attempt).is_some())
    }
}

/// The part of an attempt that a server sees.
pub struct Attempt<'a> {
    pub id: AttemptId,
    pub host: &'a EntryHostId,
    pub model_version: Option<&'a ModelVersion>,
    pub content: &'a str,
    pub first_byte_timeout: Duration,
}

impl Server {
    fn plan_outcome(&self, attempt: &Attempt<'_>, rng: &mut ChaCha8Rng) -> PlannedOutcome {
        let (first_byte, complete) = match self.listed.serves {
            Serves::Engine { .. } => (FIRST_BYTE_TIME, COMPLETE_ANSWER_TIME),
            Serves::Service(_) => (SERVICE_TIME, SERVICE_TIME),
        };
        let jitter = rng.random_range(0.8..1.2);
        let answers = |factor: f64, leaving| PlannedOutcome::Answers {
            first_byte: first_byte.mul_f64(jitter * factor),
            complete: complete.mul_f64(jitter * factor),
            leaving,
        };
        match &self.fault {
            EngineFault::None | EngineFault::Crash(_) => answers(1.0, false),
            EngineFault::Slow(factor)
                if first_byte.mul_f64(jitter * factor) > attempt.first_byte_timeout =>
            {
                PlannedOutcome::Fails {
                    after: attempt.first_byte_timeout,
                    failure: AttemptFailure::TimedOut,
                }
            }
            EngineFault::Slow(factor) => answers(*factor, false),
            EngineFault::CrashOn { content, back_after } if content == attempt.content => {
                PlannedOutcome::Crashes { back_after: back_after.0 }
            }
            EngineFault::CrashOn { .. } => answers(1.0, false),
            EngineFault::Silent if self.reconnected.contains(attempt.host) => answers(1.0, false),
            EngineFault::Silent => PlannedOutcome::Fails {
                after: SILENCE_DETECTION_TIME,
                failure: AttemptFailure::SilentConnection,
            },
            EngineFault::Crossed => {
                PlannedOutcome::Fails { after: first_byte, failure: AttemptFailure::WrongAttempt }
            }
            EngineFault::Busy => PlannedOutcome::Refused(AttemptFailure::Rejected),
            EngineFault::SaysLeaving => answers(1.0, true),
        }
    }

    fn crash(&mut self, back_at: Instant) -> Vec<LostAttempt> {
        self.down_until = Some(back_at);
        let running = std::mem::take(&mut self.running);
        running.into_iter().map(|(attempt, host)| LostAttempt { host, attempt }).collect()
    }
}
