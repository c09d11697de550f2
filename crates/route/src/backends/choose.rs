//! Server selection by shortest expected completion time, with bounded-load affinity for prompts.
//!
//! Each server's cost is the time that the request is expected to take there. It covers the prefill of the prompt and
//! of the prompts queued ahead of it, the concurrent requests, the distance, and recent failures and slowness. The
//! server that rendezvous hashing selects for the shared part of a prompt is assumed to have that part in its cache, so
//! that the hosts of a data centre agree without communication. A queue at that server outweighs the cache hit, which
//! bounds its load (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018).
//!
//! A trial of a new version uses a few of its servers, the same on all hosts, so that these see about their usual load: a
//! version that fails only under load would otherwise fail after the trial.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;
use foxtailhoist_model::stable_hash;

use super::Backends;
use super::Generation;
use super::Server;
use super::score::Load;
use super::score::PREFILL_TOKENS_PER_MS;
use super::score::Terms;
use super::score::terms;
use super::shared_view::Shared;
use crate::evacuation;
use crate::homes::Homes;
use crate::in_flight::PromptPart;
use crate::view::estimate::SharedState;

/// Time that each concurrent request of an engine adds to the expected time of another.
const CONCURRENCY_MS: f64 = 6.0;
/// Cost of the latency and the traffic to another data centre, for a model request.
const ENGINE_DISTANCE_MS: f64 = 60.0;
/// Cost of another data centre for a plain service, where only the latency counts.
const SERVICE_DISTANCE_MS: f64 = 12.0;
/// Cost of a failure if the request can be retried; multiplied by the failure share above that of the best server.
const RETRYABLE_FAILURE_MS: f64 = 600.0;
/// Cost of a failure if the request cannot be retried; multiplied likewise.
const FINAL_FAILURE_MS: f64 = 3_000.0;
/// Additional cost of a server that was paused recently and has not succeeded since.
const RECENT_PAUSE_MS: f64 = 150.0;
/// Additional cost of a server that is still warming up; of one whose service bounds its requests, that of the last request
/// in this host's share.
const WARM_UP_MS: f64 = 100.0;
/// Additional cost of the last request that a server's limit leaves to this host; less of those before it.
const LIMITED_MS: f64 = 30.0;
/// Age from which on a limit adds no cost, so that a server is not avoided for a limit that it no longer names.
const LIMIT_RETRY_AGE: Duration = Duration::from_secs(2);
/// Difference to the least cost up to which a server may be chosen; a perturbation seldom outweighs more.
const NEAR_TIE_MS: f64 = 15.0;
/// Assumed time of a request on an idle server of average speed, without prefill.
const BASE_TIME_MS: f64 = 30.0;
/// Least slowness that is used; the rest of a shorter time is due to a shorter queue.
const LEAST_SLOWNESS: f64 = 0.5;
/// Slowness from which on a server counts as slow. Smaller differences come from the queues that the samples met, and
/// would draw the requests of all hosts to the servers with the luckiest samples.
const MIN_SLOWNESS: f64 = 1.3;
/// Maximum number of requests in a server's memory by the reports of other hosts, in multiples of its slots.
const MAX_SHARED_LOAD: f64 = 2.0;
/// Seed of the rendezvous hash over prompt parts and servers.
const HASH_SEED: u64 = 0x7061_7274;

/// Seed of the hash that selects the servers of a trial.
const TRIAL_SEED: u64 = 0x7472_6961;
/// Fewest servers of a trial, so that one bad server does not decide it.
const MIN_TRIAL_SERVERS: usize = 3;

/// Requirements of a request for a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query<'a> {
    pub(crate) service: &'a ServiceId,
    pub(crate) versions: &'a VersionFilter,
    /// Fraction of the servers that a trial uses; `None` outside a trial.
    pub(crate) trial_share: Option<f64>,
    pub(crate) homes: Homes<'a>,
    pub(crate) model: Option<&'a str>,
    pub(crate) parts: &'a [PromptPart],
    pub(crate) prompt_tokens: u64,
    pub(crate) retryable: bool,
    /// Uniformly distributed hash of the request id.
    pub(crate) request_hash: u64,
    /// Servers to leave out, because the request was already sent to them or they were unreachable.
    pub(crate) avoid: &'a [BackendServerId],
}

/// Versions of a service that a request may run on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum VersionFilter {
    #[default]
    Any,
    OneOf(BTreeSet<VersionId>),
    Except(BTreeSet<VersionId>),
}

/// The chosen server and the estimate for the request there.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) server: BackendServerId,
    pub(crate) generation: Generation,
    /// Prompt tokens expected to need prefill.
    pub(crate) prefill_tokens: u64,
    /// Expected cost in milliseconds.
    pub(crate) cost_ms: f64,
    /// Terms of the cost, if the shared view was used.
    pub(crate) terms: Option<Terms>,
}

/// Expected work and cost of a request at one server.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    prefill_tokens: u64,
    cost_ms: f64,
    terms: Option<Terms>,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoServer {
    /// No registered server of the allowed versions accepts new work.
    Unserved,
    /// All servers that accept work are full, evacuated or were tried already.
    AllBusy,
}

impl Backends {
    /// Chooses the server with the lowest expected cost.
    pub(crate) fn choose(&self, query: &Query<'_>, now: Instant) -> Result<Choice, NoServer> {
        let mut candidates: Vec<&Server> = self
            .members(query.service)
            .filter(|server| server.accepts_new_work())
            .filter(|server| self.is_home(server, query))
            .filter(|server| query.versions.allows(&server.registration.version))
            .collect();
        if candidates.is_empty() {
            return Err(NoServer::Unserved);
        }
        if let Some(share) = query.trial_share {
            let count = (candidates.len() as f64 * share).ceil() as usize;
            candidates.sort_by_cached_key(|server| {
                stable_hash(TRIAL_SEED, &[server.registration.id.as_bytes()])
            });
            candidates.truncate(count.max(MIN_TRIAL_SERVERS));
        }
        candidates.retain(|server| {
            !query.avoid.contains(&server.registration.id)
                && !server.is_full(now)
                && !server.is_limited(now)
                && !self.is_evacuated(server)
        });
        // A pause only lowers the preference: if no other server is left, a paused server is used.
        let is_preferred = |server: &&Server| {
            !server.health.is_paused(now) && !self.is_data_centre_paused(server, now)
        };
        if candidates.iter().any(is_preferred) {
            candidates.retain(is_preferred);
        }
        let shared = self.view.query(query, now);
        let affinity_server = match &shared {
            Some(shared) => shared.placement(&candidates, query, &self.own_data_centre),
            None => affinity_server(&candidates, query, &self.own_data_centre, |_| 1.0),
        };
        let lowest_failure_share = candidates
            .iter()
            .map(|server| server.health.failure_share(now))
            .fold(f64::INFINITY, f64::min);
        let estimates = candidates.into_iter().map(|server| {
            let has_affinity = affinity_server == Some(server.registration.id.as_str());
            let expected = match &shared {
                Some(shared) => self.shared_estimate(server, query, shared, has_affinity, now),
                None => self.own_estimate(server, query, has_affinity, now),
            };
            let penalty = self.penalty(server, query, lowest_failure_share, now);
            (server, Estimate { cost_ms: expected.cost_ms + penalty, ..expected })
        });
        let estimates: Vec<(&Server, Estimate)> = estimates.collect();
        let least = estimates.iter().map(|(_, a)| a.cost_ms).fold(f64::INFINITY, f64::min);
        let near = estimates.into_iter().filter(|(_, a)| a.cost_ms <= least + NEAR_TIE_MS);
        let perturbed = near.map(|(server, estimate)| {
            let perturbation =
                shared.as_ref().map_or(0.0, |shared| shared.perturbation_ms(server.key));
            (estimate.cost_ms + perturbation, server, estimate)
        });
        let best = perturbed.min_by(|(a, ..), (b, ..)| a.total_cmp(b));
        let (_, server, Estimate { prefill_tokens, cost_ms, terms }) =
            best.ok_or(NoServer::AllBusy)?;
        Ok(Choice {
            server: server.registration.id.clone(),
            generation: server.generation,
            prefill_tokens,
            cost_ms,
            terms,
        })
    }

    /// Whether a server of the allowed versions accepts work.
    pub(crate) fn is_served(&self, query: &Query<'_>) -> bool {
        self.members(query.service).any(|server| {
            server.accepts_new_work()
                && self.is_home(server, query)
                && query.versions.allows(&server.registration.version)
        })
    }

    /// Whether the request has homes and no server there accepts work.
    pub(crate) fn lacks_home(&self, query: &Query<'_>) -> bool {
        query.homes.exist()
            && !self
                .members(query.service)
                .any(|server| server.accepts_new_work() && self.is_home(server, query))
    }

    fn is_home(&self, server: &Server, query: &Query<'_>) -> bool {
        self.regions.allow_server(query.homes, &server.registration.data_centre)
    }

    /// Earliest time at which a server that the query allows takes requests again, after a pause that it asked for, by
    /// its limit, or after an evacuation; `None` if one does now or if there is none.
    pub(crate) fn all_paused_until(&self, query: &Query<'_>, now: Instant) -> Option<Instant> {
        let allowed = self.members(query.service).filter(|server| {
            server.accepts_new_work()
                && self.is_home(server, query)
                && query.versions.allows(&server.registration.version)
                && !query.avoid.contains(&server.registration.id)
        });
        let ends = allowed.map(|server| {
            let evacuated = self.is_evacuated(server).then(|| now + evacuation::RETRY_DELAY);
            server.closed_until(now).max(evacuated)
        });
        ends.collect::<Option<Vec<Instant>>>()?.into_iter().min()
    }

    /// Estimate by the shared view of the servers: their speed, what they cache and how full their memory is. Their queues
    /// are estimated from this host's own requests, since the load in a digest is older than most prompts wait.
    fn shared_estimate(
        &self,
        server: &Server,
        query: &Query<'_>,
        shared: &Shared<'_>,
        has_affinity: bool,
        now: Instant,
    ) -> Estimate {
        let own = query.model.map_or(0, |model| server.cache.cached_tokens(model, query.parts));
        let placed = if has_affinity { shared_tokens(query.parts) } else { 0 };
        let cached = shared.cached_tokens(server.key).max(own);
        let state = shared.state(server.key);
        let known = |value: fn(&SharedState) -> f64, unknown| state.map_or(unknown, value);
        // The fleet's mean tells a slow server; this host's own samples show sooner that a server has stalled.
        let recent = server.health.slowness(now).max(LEAST_SLOWNESS);
        let slowness = |known: f64| if known < MIN_SLOWNESS { recent } else { recent.max(known) };
        let bound = f64::from(server.registration.slots.max(1)) * MAX_SHARED_LOAD;
        let terms = terms(&Load {
            in_flight: f64::from(server.in_flight) * self.hosts_per_server,
            pending_tokens: server.pending_prefill_tokens as f64 * self.hosts_per_server,
            resident: known(|state| state.in_flight, 0.0).min(bound),
            prompt_tokens: query.prompt_tokens,
            cached_tokens: cached.max(placed),
            capacity: shared.capacity,
            prompt_slowness: slowness(known(|state| state.prompt_slowness, 1.0)),
            gap_slowness: slowness(known(|state| state.gap_slowness, 1.0)),
            is_local: server.registration.data_centre == self.own_data_centre,
        });
        Estimate {
            prefill_tokens: query.prompt_tokens.saturating_sub(cached),
            cost_ms: terms.total(),
            terms: Some(terms),
        }
    }

    /// Estimate by this host's own requests.
    fn own_estimate(
        &self,
        server: &Server,
        query: &Query<'_>,
        has_affinity: bool,
        now: Instant,
    ) -> Estimate {
        let is_local = server.registration.data_centre == self.own_data_centre;
        let cached = match query.model {
            Some(_) if has_affinity => shared_tokens(query.parts),
            Some(model) => server.cache.cached_tokens(model, query.parts),
            None => 0,
        };
        let prefill_tokens = query.prompt_tokens.saturating_sub(cached);
        let slowness = server.health.slowness(now).max(LEAST_SLOWNESS);
        let others = f64::from(server.in_flight) * self.hosts_per_server;
        let cost_ms = if query.model.is_some() {
            let queue = prefill_tokens as f64
                + server.pending_prefill_tokens as f64 * self.hosts_per_server;
            let distance = if is_local { 0.0 } else { ENGINE_DISTANCE_MS };
            (queue / PREFILL_TOKENS_PER_MS + others * CONCURRENCY_MS + BASE_TIME_MS) * slowness
                + distance
        } else {
            let slots = f64::from(server.registration.slots.max(1));
            let distance = if is_local { 0.0 } else { SERVICE_DISTANCE_MS };
            (1.0 + others / slots) * BASE_TIME_MS * slowness + distance
        };
        Estimate { prefill_tokens, cost_ms, terms: None }
    }

    /// Cost of recent failures, pauses, limits and warming up, whatever the load is.
    fn penalty(
        &self,
        server: &Server,
        query: &Query<'_>,
        lowest_failure_share: f64,
        now: Instant,
    ) -> f64 {
        let failure = server.health.failure_share(now) - lowest_failure_share;
        let weight = if query.retryable { RETRYABLE_FAILURE_MS } else { FINAL_FAILURE_MS };
        let mut cost_ms = failure * weight;
        if server.health.paused_recently(now) {
            cost_ms += RECENT_PAUSE_MS;
        }
        // Its next answer tells whether the limit is still in force.
        let is_limit_old = server.statements.limit.age(now) >= LIMIT_RETRY_AGE;
        let is_cold = server.cold_rate(now).is_some();
        if let Some(share) = server.share.filter(|_| is_cold || !is_limit_old) {
            let full_ms = match (is_cold, server.statements.warm_up.is_unanswered()) {
                (false, _) => LIMITED_MS,
                (true, false) => WARM_UP_MS,
                // Its first answer tells when it will be warm.
                (true, true) => 0.0,
            };
            cost_ms += share.load_with_one_more() * full_ms;
        }
        if server.warm_up_rule.is_none() && now < server.warm_at {
            cost_ms += WARM_UP_MS;
        }
        cost_ms
    }
}

impl VersionFilter {
    pub(crate) fn allows(&self, version: &str) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::OneOf(versions) => versions.contains(version),
            VersionFilter::Except(versions) => !versions.contains(version),
        }
    }
}

/// Tokens of the parts that other requests share, which are all but the last.
pub(super) fn shared_tokens(parts: &[PromptPart]) -> u64 {
    let shared = parts.len().saturating_sub(1);
    parts[..shared].iter().map(|part| part.tokens).sum()
}

/// Selects a server for the last shared part by rendezvous hashing. Servers of other data centres are included if the
/// prefill of the shared parts takes longer than the distance costs.
pub(super) fn affinity_server<'a>(
    candidates: &[&'a Server],
    query: &Query<'_>,
    own_data_centre: &str,
    weight: impl Fn(&Server) -> f64,
) -> Option<&'a str> {
    query.model?;
    let shared = query.parts.len().checked_sub(2)?;
    let part = query.parts[shared].id.to_be_bytes();
    // Each server wins in proportion to its weight (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
    let score = |server: &Server| {
        let hash = stable_hash(HASH_SEED, &[&part, server.registration.id.as_bytes()]);
        -weight(server) / (hash as f64 / u64::MAX as f64).ln()
    };
    let includes_remote =
        shared_tokens(query.parts) as f64 / PREFILL_TOKENS_PER_MS > ENGINE_DISTANCE_MS;
    let eligible = candidates
        .iter()
        .filter(|server| includes_remote || server.registration.data_centre == own_data_centre);
    let best =
        eligible.map(|server| (score(server), *server)).max_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, server)| server.registration.id.as_str())
}
