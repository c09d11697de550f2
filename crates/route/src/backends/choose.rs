//! The choice among servers: shortest expected completion, with bounded-load affinity for prompts.
//!
//! Each server's cost is the time that the request is expected to take there: what is unread of its prompt and of the
//! prompts ahead of it, the requests that run beside it, the distance, and the failures and slowness seen lately. The
//! server that rendezvous hashing names for the shared part of a prompt counts as holding it, so that hosts of one data
//! centre agree without talking; a queue there outweighs that, which bounds its load (Mirrokni, Thorup and
//! Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018).

use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;
use foxtailhoist_model::stable_hash;

use super::Backends;
use super::Generation;
use super::Server;
use crate::flight::PromptPart;

/// Prompt tokens that an engine reads in a millisecond, roughly; only the balance of costs depends on it.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Milliseconds that a running request of an engine adds to another one's expected time.
const CROWDING_MS: f64 = 6.0;
/// Milliseconds that the bytes and the delay of another data centre are worth for a model request.
const ENGINE_DISTANCE_MS: f64 = 60.0;
/// The same for a plain service, where the delay itself is what counts.
const SERVICE_DISTANCE_MS: f64 = 12.0;
/// Milliseconds that a certain failure costs where the request can be repeated.
const REPEATABLE_FAILURE_MS: f64 = 600.0;
/// Milliseconds that a certain failure costs where it cannot.
const FINAL_FAILURE_MS: f64 = 3_000.0;
/// Cost of a server that failed lately and has not succeeded since, beside other servers.
const DOUBT_MS: f64 = 150.0;
/// Cost of a server that is still warming up.
const WARM_UP_MS: f64 = 100.0;
/// Mean time of a request of a plain service, before any was seen.
const SERVICE_MS: f64 = 30.0;
const HASH_SEED: u64 = 0x7061_7274;

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query<'a> {
    pub(crate) service: &'a ServiceId,
    pub(crate) versions: &'a VersionFilter,
    pub(crate) model: Option<&'a str>,
    pub(crate) parts: &'a [PromptPart],
    pub(crate) prompt_tokens: u64,
    pub(crate) repeatable: bool,
    /// Servers that this request was sent to already.
    pub(crate) avoid: &'a [BackendServerId],
}

/// Versions of a service that a request may run on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum VersionFilter {
    #[default]
    Any,
    Only(VersionId),
    Except(VersionId),
}

/// The chosen server and what the choice rests on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) server: BackendServerId,
    pub(crate) generation: Generation,
    /// Prompt tokens that the server has to read.
    pub(crate) unread_tokens: u64,
    /// Expected milliseconds by which it won.
    pub(crate) cost_ms: f64,
}

/// What a request is expected to find at a server.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    unread_tokens: u64,
    cost_ms: f64,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoServer {
    /// None is listed that takes work.
    Unserved,
    /// All that are listed are paused, full or were tried already.
    AllBusy,
}

impl Backends {
    /// Chooses the server with the least expected time.
    pub(crate) fn choose(&self, query: &Query<'_>, now: Instant) -> Result<Choice, NoServer> {
        let mut candidates: Vec<&Server> = self
            .members(query.service)
            .filter(|server| server.takes_new_work())
            .filter(|server| query.versions.allows(&server.listing.version))
            .collect();
        if candidates.is_empty() {
            return Err(NoServer::Unserved);
        }
        candidates
            .retain(|server| !query.avoid.contains(&server.listing.id) && !server.is_full(now));
        // A pause is a preference: with nothing better left, a server that was slow to answer still may.
        let is_preferred =
            |server: &&Server| !server.health.is_paused(now) && !self.is_cut_off(server, now);
        if candidates.iter().any(is_preferred) {
            candidates.retain(is_preferred);
        }
        let favourite = favourite(&candidates, query, &self.own);
        let least_failing = candidates
            .iter()
            .map(|server| server.health.failure_share(now))
            .fold(f64::INFINITY, f64::min);
        let estimates = candidates.into_iter().map(|server| {
            let is_favourite = favourite == Some(server.listing.id.as_str());
            (server, self.estimate(server, query, is_favourite, least_failing, now))
        });
        let best = estimates.min_by(|(_, a), (_, b)| a.cost_ms.total_cmp(&b.cost_ms));
        let (server, Estimate { unread_tokens, cost_ms }) = best.ok_or(NoServer::AllBusy)?;
        Ok(Choice {
            server: server.listing.id.clone(),
            generation: server.generation,
            unread_tokens,
            cost_ms,
        })
    }

    fn estimate(
        &self,
        server: &Server,
        query: &Query<'_>,
        is_favourite: bool,
        least_failing: f64,
        now: Instant,
    ) -> Estimate {
        let is_near = server.listing.data_centre == self.own;
        let held = match query.model {
            Some(_) if is_favourite => shared_tokens(query.parts),
            Some(model) => server.cache.held(model, query.parts),
            None => 0,
        };
        let unread_tokens = query.prompt_tokens.saturating_sub(held);
        let slowness = server.health.slowness(now).max(0.5);
        let others = f64::from(server.in_flight) * self.hosts_per_server;
        let mut cost_ms = if query.model.is_some() {
            let queue = unread_tokens as f64 + server.unread_tokens as f64 * self.hosts_per_server;
            let distance = if is_near { 0.0 } else { ENGINE_DISTANCE_MS };
            (queue / PREFILL_TOKENS_PER_MS + others * CROWDING_MS + SERVICE_MS) * slowness
                + distance
        } else {
            let slots = f64::from(server.listing.slots.max(1));
            let distance = if is_near { 0.0 } else { SERVICE_DISTANCE_MS };
            (1.0 + others / slots) * SERVICE_MS * slowness + distance
        };
        let failure = server.health.failure_share(now) - least_failing;
        let weight = if query.repeatable { REPEATABLE_FAILURE_MS } else { FINAL_FAILURE_MS };
        cost_ms += failure * weight;
        if server.health.is_doubtful(now) {
            cost_ms += DOUBT_MS;
        }
        if now < server.warm_at {
            cost_ms += WARM_UP_MS;
        }
        Estimate { unread_tokens, cost_ms }
    }
}

impl VersionFilter {
    pub(crate) fn allows(&self, version: &str) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(only) => version == only,
            VersionFilter::Except(except) => version != except,
        }
    }
}

/// Tokens of the parts that other requests share: all but the last.
fn shared_tokens(parts: &[PromptPart]) -> u64 {
    let shared = parts.len().saturating_sub(1);
    parts[..shared].iter().map(|part| part.tokens).sum()
}

/// The server that rendezvous hashing names for the last shared part: among all where reading the shared parts again
/// takes longer than the way to another data centre, else among the near ones.
fn favourite<'a>(candidates: &[&'a Server], query: &Query<'_>, own: &str) -> Option<&'a str> {
    query.model?;
    let shared = query.parts.len().checked_sub(2)?;
    let part = query.parts[shared].id.to_be_bytes();
    let score = |server: &Server| stable_hash(HASH_SEED, &[&part, server.listing.id.as_bytes()]);
    let goes_far = shared_tokens(query.parts) as f64 / PREFILL_TOKENS_PER_MS > ENGINE_DISTANCE_MS;
    let within_reach =
        candidates.iter().filter(|server| goes_far || server.listing.data_centre == own);
    within_reach.max_by_key(|server| score(server)).map(|server| server.listing.id.as_str())
}
