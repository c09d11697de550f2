//! Backend servers: who is listed, what this host has under way there, and which one to choose.
//!
//! Entries come from a directory that lags. An entry that says leaving, or that is gone, takes the server out of use at
//! once; one that went missing while the directory was away keeps the server until a deadline, since it may only have
//! lapsed. A server that shows another start time is a new incarnation of which nothing before holds.

mod cache;
pub(crate) mod choose;
mod health;
pub mod probe;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::Presence;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;
use serde::Deserialize;
use serde::Serialize;

use crate::backends::cache::CacheRecord;
pub(crate) use crate::backends::choose::Query;
use crate::backends::health::CentreHealth;
use crate::backends::health::Health;
use crate::backends::probe::Reach;
use crate::flight::Attempt;
use crate::flight::AttemptOutcome;
use crate::flight::PromptPart;

/// Weight of a new sample in a mean time.
const MEAN_WEIGHT: f64 = 0.1;

/// A backend server as the directory shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub id: BackendServerId,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Version of what it runs.
    pub version: VersionId,
    /// Requests that run at once.
    pub slots: u32,
    pub presence: Presence,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
    /// Start of the process in Unix milliseconds; tells incarnations with one id apart.
    pub started_ms: Option<u64>,
}

/// Number of an incarnation, unique on this host.
pub type Generation = u64;

/// A change of what is believed of a server, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingChange {
    Added,
    /// A new incarnation took the place of the old one.
    Restarted,
    Leaving,
    Removed,
    /// Missing after an outage of the directory; kept for a while.
    Missing,
    Unchanged,
}

/// All backend servers.
#[derive(Debug)]
pub struct Backends {
    own: DataCentreId,
    servers: BTreeMap<BackendServerId, Server>,
    services: BTreeMap<ServiceId, BTreeSet<BackendServerId>>,
    means: BTreeMap<(ServiceId, Option<ModelId>), MeanTimes>,
    /// Other data centres.
    centres: BTreeMap<DataCentreId, CentreHealth>,
    next_generation: Generation,
    /// Entry hosts that send to the same servers, roughly: what this one has under way stands for that many times as
    /// much.
    hosts_per_server: f64,
}

/// What is known of one server.
#[derive(Debug)]
struct Server {
    listing: Listing,
    generation: Generation,
    /// Counts as gone then, unless it is listed again.
    missing_until: Option<Instant>,
    warm_at: Instant,
    in_flight: u32,
    /// Prompt tokens sent and not known to be read.
    unread_tokens: u64,
    /// Last head or event of any answer.
    last_sign: Option<Instant>,
    /// Said that it was full.
    full_until: Option<Instant>,
    health: Health,
    reach: Reach,
    cache: CacheRecord,
}

/// Mean times of a service, for one model where it has several.
#[derive(Clone, Copy, Debug, Default)]
struct MeanTimes {
    /// Milliseconds for each unit of work up to the first byte.
    first_byte: Option<f64>,
    /// Milliseconds between two events.
    event_gap: Option<f64>,
}

impl Backends {
    /// No servers yet; `own` is the host's data centre.
    #[must_use]
    pub fn new(own: DataCentreId) -> Backends {
        Backends {
            own,
            servers: BTreeMap::new(),
            services: BTreeMap::new(),
            means: BTreeMap::new(),
            centres: BTreeMap::new(),
            next_generation: 0,
            hosts_per_server: 1.0,
        }
    }

    /// Sets how many entry hosts there are in this data centre.
    pub(crate) fn share_with(&mut self, hosts: usize) {
        self.hosts_per_server = hosts.max(1) as f64;
    }

    /// Takes in an entry.
    pub fn list(&mut self, listing: Listing, now: Instant) -> ListingChange {
        let known = self.servers.get_mut(&listing.id);
        let change = match known {
            None => ListingChange::Added,
            Some(server) if server.is_other_incarnation(&listing) => ListingChange::Restarted,
            Some(server) => {
                let left = listing.presence == Presence::Leaving
                    && server.listing.presence == Presence::Live;
                server.missing_until = None;
                server.warm_at = now + listing.warm_up;
                server.listing = listing;
                return if left { ListingChange::Leaving } else { ListingChange::Unchanged };
            }
        };
        self.remove(&listing.id.clone());
        self.next_generation += 1;
        let members = self.services.entry(listing.service.clone()).or_default();
        members.insert(listing.id.clone());
        let server = Server::new(listing, self.next_generation, now);
        self.servers.insert(server.listing.id.clone(), server);
        change
    }

    /// The directory, sound all the while, says that the server is gone.
    pub fn unlist(&mut self, id: &str) -> ListingChange {
        if self.remove(id) { ListingChange::Removed } else { ListingChange::Unchanged }
    }

    /// An entry went missing while the directory was away: the server stays until then unless it is listed again.
    pub fn keep_missing(&mut self, id: &str, until: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.missing_until.get_or_insert(until);
        }
    }

    /// Drops entries that stayed missing.
    pub fn expire_missing(&mut self, now: Instant) -> Vec<BackendServerId> {
        let is_due = |server: &Server| server.missing_until.is_some_and(|until| until <= now);
        let due = self.servers.iter().filter(|(_, server)| is_due(server));
        let due: Vec<BackendServerId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.remove(id);
        }
        due
    }

    /// What is listed of a server.
    #[must_use]
    pub fn listing(&self, id: &str) -> Option<&Listing> {
        self.servers.get(id).map(|server| &server.listing)
    }

    /// Whether any server of the service takes new work.
    #[must_use]
    pub fn is_served(&self, service: &str) -> bool {
        self.members(service).any(Server::takes_new_work)
    }

    /// Whether the service has servers of the version that take new work.
    #[must_use]
    pub fn has_version(&self, service: &str, version: &str) -> bool {
        self.members(service)
            .any(|server| server.takes_new_work() && server.listing.version == version)
    }

    /// Last sign of life of the attempt's server in any answer.
    #[must_use]
    pub fn last_sign(&self, attempt: &Attempt) -> Option<Instant> {
        self.incarnation(attempt).and_then(|server| server.last_sign)
    }

    /// Counts an attempt that is about to be sent.
    pub(crate) fn begin(&mut self, attempt: &Attempt) {
        if let Some(server) = self.incarnation_mut(attempt) {
            server.in_flight += 1;
            server.unread_tokens += attempt.unread_tokens;
        }
    }

    /// The head of the answer arrived.
    pub(crate) fn answered(
        &mut self,
        attempt: &Attempt,
        parts: &[PromptPart],
        elapsed: Duration,
        now: Instant,
    ) {
        let work = attempt.work();
        let sample = elapsed.as_secs_f64() * 1_000.0 / work;
        let ratio = sample_mean(&mut self.mean(attempt).first_byte, sample);
        let Some(server) = self.incarnation_mut(attempt) else {
            return;
        };
        server.last_sign = Some(now);
        server.unread_tokens = server.unread_tokens.saturating_sub(attempt.unread_tokens);
        server.health.observe_speed(ratio, now);
        if let Some(model) = &attempt.model {
            server.cache.read(model, parts, now);
        }
    }

    /// An event of a stream arrived, `gap` after the one before.
    pub(crate) fn progressed(&mut self, attempt: &Attempt, gap: Option<Duration>, now: Instant) {
        let ratio = gap.map(|gap| {
            let sample = gap.as_secs_f64() * 1_000.0;
            sample_mean(&mut self.mean(attempt).event_gap, sample)
        });
        let Some(server) = self.incarnation_mut(attempt) else {
            return;
        };
        server.last_sign = Some(now);
        if let Some(ratio) = ratio {
            server.health.observe_speed(ratio, now);
        }
    }

    /// An attempt ended; `had_head` tells whether [`Backends::answered`] was called for it.
    pub(crate) fn end(
        &mut self,
        attempt: &Attempt,
        had_head: bool,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        self.note_reach(attempt, had_head, outcome, now);
        let Some(server) = self.incarnation_mut(attempt) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if !had_head {
            server.unread_tokens = server.unread_tokens.saturating_sub(attempt.unread_tokens);
        }
        match outcome {
            AttemptOutcome::Whole => server.health.succeed(now),
            AttemptOutcome::Failed | AttemptOutcome::Garbled | AttemptOutcome::Broken => {
                server.health.fail(now);
            }
            AttemptOutcome::Silent => {
                server.health.fail(now);
                server.health.pause(now);
            }
            AttemptOutcome::Unreachable => server.health.pause(now),
            AttemptOutcome::Misdirected => {
                // The address belongs to another server now; only a new entry makes it usable.
                server.missing_until = Some(now);
            }
            AttemptOutcome::Full { retry_after } => server.full_until = Some(now + retry_after),
            AttemptOutcome::Dropped | AttemptOutcome::Cancelled => {}
        }
    }

    /// Notes what an attempt says of the way to its server's data centre.
    fn note_reach(
        &mut self,
        attempt: &Attempt,
        had_head: bool,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let Some(server) = self.incarnation(attempt) else {
            return;
        };
        let centre = server.listing.data_centre.clone();
        if centre == self.own {
            return;
        }
        let health = self.centres.entry(centre).or_default();
        match outcome {
            AttemptOutcome::Unreachable | AttemptOutcome::Silent => {
                health.lost(&attempt.server, now);
            }
            AttemptOutcome::Whole
            | AttemptOutcome::Failed
            | AttemptOutcome::Dropped
            | AttemptOutcome::Misdirected
            | AttemptOutcome::Full { .. } => health.answered(),
            AttemptOutcome::Garbled | AttemptOutcome::Broken | AttemptOutcome::Cancelled => {
                if had_head {
                    health.answered();
                }
            }
        }
    }

    fn is_cut_off(&self, server: &Server, now: Instant) -> bool {
        let health = self.centres.get(&server.listing.data_centre);
        health.is_some_and(|health| health.is_paused(now))
    }

    /// Mean milliseconds up to the first byte for a unit of work.
    pub(crate) fn mean_first_byte(&self, service: &str, model: Option<&str>) -> Option<f64> {
        let key = (service.to_owned(), model.map(str::to_owned));
        self.means.get(&key).and_then(|mean| mean.first_byte)
    }

    fn members(&self, service: &str) -> impl Iterator<Item = &Server> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.servers.get(id))
    }

    fn mean(&mut self, attempt: &Attempt) -> &mut MeanTimes {
        let key = (attempt.service.clone(), attempt.model.clone());
        self.means.entry(key).or_default()
    }

    fn incarnation(&self, attempt: &Attempt) -> Option<&Server> {
        let server = self.servers.get(&attempt.server)?;
        (server.generation == attempt.generation).then_some(server)
    }

    fn incarnation_mut(&mut self, attempt: &Attempt) -> Option<&mut Server> {
        let server = self.servers.get_mut(&attempt.server)?;
        (server.generation == attempt.generation).then_some(server)
    }

    fn remove(&mut self, id: &str) -> bool {
        let Some(server) = self.servers.remove(id) else {
            return false;
        };
        if let Some(members) = self.services.get_mut(&server.listing.service) {
            members.remove(id);
        }
        true
    }
}

impl Server {
    fn new(listing: Listing, generation: Generation, now: Instant) -> Server {
        Server {
            warm_at: now + listing.warm_up,
            listing,
            generation,
            missing_until: None,
            in_flight: 0,
            unread_tokens: 0,
            last_sign: None,
            full_until: None,
            health: Health::new(now),
            reach: Reach::default(),
            cache: CacheRecord::default(),
        }
    }

    fn is_other_incarnation(&self, listing: &Listing) -> bool {
        let restarted = match (self.listing.started_ms, listing.started_ms) {
            (Some(before), Some(after)) => before != after,
            _ => false,
        };
        restarted
            || self.listing.address != listing.address
            || self.listing.service != listing.service
    }

    fn takes_new_work(&self) -> bool {
        self.listing.presence == Presence::Live
    }

    fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}

/// Adds a sample to a mean; returns it beside the mean before.
fn sample_mean(mean: &mut Option<f64>, sample: f64) -> f64 {
    let before = mean.unwrap_or(sample);
    *mean = Some(before + MEAN_WEIGHT * (sample.min(before * 4.0) - before));
    sample / before.max(0.001)
}
