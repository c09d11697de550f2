//! Cold servers: a server that has just started takes few requests a second until it has warmed up.
//!
//! Load addressed: a server that returns gets one request from each of 77 or more hosts at once, and crashes. So all hosts
//! together keep to a rate while it is cold, which they deal among them like a limit that a server names (see
//! [`rate_limit`](super::rate_limit)); where both hold, the lower one counts. Pattern: slow start of a returning server.
//!
//! Several sources tell that a server is cold, of different age. A later statement replaces an earlier one. Entries of the
//! store arrive late, so one that says warm counts as stated some time before. Statements of other hosts only extend the
//! time, so a wrong one costs load at one server for one warm-up and never exceeds the rate.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use super::Backends;
use super::MAX_LIMIT_NEWS;
use super::ROUNDS_PER_LIMIT;
use super::Server;
use crate::in_flight::Attempt;
use crate::routes::Service;

/// Time by which an entry of the store may describe an earlier state; entries were seen up to 3 s late.
const ENTRY_LAG: Duration = Duration::from_secs(3);
/// Part of half the bound that a round may use. Hosts that start are not in the others' deals yet, and clocks that differ
/// let a second overlap parts of three rounds.
const HALF_BOUND_USE: f64 = 0.9;
/// Least rate, in requests a second: without requests nobody would learn that a server answers.
const MIN_RATE: f64 = 0.25;
/// Changes of the end by less than this are neither logged nor shared.
const MIN_CHANGE: Duration = Duration::from_secs(1);

/// Requests that a cold server may receive in any second, as a function of the rate that its service configures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBound {
    /// Factor on the configured rate.
    pub overshoot: f64,
    /// Requests beyond that.
    pub tolerance: f64,
}

/// How a service's cold servers are treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WarmUpRule {
    /// Time for which a server is cold after its start.
    pub(crate) duration: Duration,
    /// Requests in a round of one second from all hosts together.
    pub(crate) per_second: f64,
}

/// Who told that a server is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WarmUpSource {
    /// Its entry in the store.
    #[default]
    Entry,
    /// Its entry has another start than before.
    Restarted,
    /// This host could not connect to it.
    FoundDead,
    /// Its data centre returned to service.
    Returned,
    /// The server, in an answer.
    Answer,
    /// Another host.
    Peer,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Warm,
    Until(Instant),
    /// Cold for the whole duration from then on.
    Since(Instant),
    /// Found dead; the whole duration begins with its first answer.
    Unanswered,
}

/// What is known of a server's warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownWarmUp {
    state: State,
    source: WarmUpSource,
    /// When that was so; `None` if only a first entry told it.
    as_of: Option<Instant>,
}

/// What a host knows of a cold server, as hosts share it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdFinding {
    pub server: BackendServerId,
    /// Start of the server's process in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// Time until it is warm; `None` if it was found dead and has not answered since.
    pub left: Option<Duration>,
    /// Time since that was found.
    pub age: Duration,
}

/// A server that became cold, or warm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    pub server: BackendServerId,
    /// Whether it was warm before, as far as this host knew.
    pub is_new: bool,
    /// Source, remaining time if known, and this host's requests in the present round; `None` if the server is warm.
    pub cold: Option<(WarmUpSource, Option<Duration>, u32)>,
}

/// Cold servers as last reported, and those to tell other hosts of.
#[derive(Debug, Default)]
pub(super) struct ColdServers {
    pub(super) rules: BTreeMap<ServiceId, WarmUpRule>,
    reported: BTreeMap<BackendServerId, (WarmUpSource, Option<Instant>)>,
    changes: Vec<ColdChange>,
    /// Each with the rounds left.
    news: BTreeMap<BackendServerId, u8>,
}

impl WarmUpRule {
    /// The rule for a service; `None` if it names no rate or the settings no bound.
    pub(crate) fn new(service: &Service, bound: Option<WarmUpBound>) -> Option<WarmUpRule> {
        let WarmUpBound { overshoot, tolerance } = bound?;
        let named = service.warm_up_per_second.filter(|rate| *rate > 0.0 && rate.is_finite())?;
        // Any second overlaps two rounds.
        let half = (named * overshoot + tolerance) / 2.0 * HALF_BOUND_USE;
        let rate = named.min(half);
        let per_second = if rate >= 1.0 { rate.floor() } else { rate.max(MIN_RATE) };
        Some(WarmUpRule { duration: service.warm_up, per_second })
    }
}

impl KnownWarmUp {
    /// What the first entry of a server tells.
    pub(super) fn first(left: Duration, now: Instant) -> KnownWarmUp {
        KnownWarmUp { state: entry_state(left, now), ..KnownWarmUp::default() }
    }

    /// What another start tells; the entry may give a longer time.
    pub(super) fn restarted(left: Duration, rule: Option<WarmUpRule>, now: Instant) -> KnownWarmUp {
        let is_longer = rule.is_some_and(|rule| left > rule.duration);
        let state = if is_longer { State::Until(now + left) } else { State::Since(now) };
        KnownWarmUp { state, source: WarmUpSource::Restarted, as_of: Some(now) }
    }

    /// Takes an entry of the same incarnation.
    pub(super) fn entry(&mut self, left: Duration, now: Instant) {
        let state = entry_state(left, now);
        let written = now.checked_sub(ENTRY_LAG);
        let is_overridden = match state {
            // A shorter time than another source gave may be from before that.
            _ if self.source == WarmUpSource::Entry => false,
            State::Warm | State::Since(_) | State::Unanswered => self.as_of > written,
            State::Until(until) => self.as_of > written && !self.is_over(until),
        };
        if !is_overridden {
            let as_of = if state == State::Warm { written } else { Some(now) };
            *self = KnownWarmUp { state, source: WarmUpSource::Entry, as_of };
        }
    }

    /// Takes a statement of this host or of the server itself.
    fn state(&mut self, state: State, source: WarmUpSource, now: Instant) {
        *self = KnownWarmUp { state, source, as_of: Some(now) };
    }

    /// Whether an end in `until` is later than the known one, as far as known without a rule.
    fn is_over(&self, until: Instant) -> bool {
        match self.state {
            State::Warm => true,
            State::Until(known) => known <= until,
            State::Since(_) | State::Unanswered => false,
        }
    }

    fn ends(&self, rule: WarmUpRule) -> Option<Instant> {
        match self.state {
            State::Warm | State::Unanswered => None,
            State::Until(until) => Some(until),
            State::Since(start) => Some(start + rule.duration),
        }
    }

    pub(super) fn is_unanswered(&self) -> bool {
        self.state == State::Unanswered
    }

    fn is_cold(&self, rule: WarmUpRule, now: Instant) -> bool {
        match self.state {
            State::Warm => false,
            State::Unanswered => true,
            State::Until(_) | State::Since(_) => self.ends(rule).is_some_and(|end| now < end),
        }
    }
}

fn entry_state(left: Duration, now: Instant) -> State {
    if left.is_zero() { State::Warm } else { State::Until(now + left) }
}

impl Server {
    /// Requests a second that all hosts together send to the server because it is cold.
    pub(super) fn cold_rate(&self, now: Instant) -> Option<f64> {
        let rule = self.warm_up_rule.filter(|rule| self.statements.warm_up.is_cold(*rule, now))?;
        Some(rule.per_second)
    }
}

impl Backends {
    /// Sets how the cold servers of each service are treated; others are not limited.
    pub(crate) fn set_warm_up_rules(&mut self, rules: BTreeMap<ServiceId, WarmUpRule>) {
        for (id, server) in &mut self.servers {
            server.warm_up_rule = rules.get(&server.registration.service).copied();
            self.limited.insert(id.clone());
        }
        self.cold.rules = rules;
    }

    /// Records that a data centre returned to service after an evacuation: its servers may have become cold.
    pub(super) fn set_data_centre_cold(&mut self, data_centre: &str, now: Instant) {
        for (id, server) in &mut self.servers {
            let known = &mut server.statements.warm_up;
            let is_colder = match (server.warm_up_rule, known.state) {
                (None, _) | (_, State::Unanswered) => false,
                (Some(rule), _) => known.ends(rule).is_none_or(|end| end < now + rule.duration),
            };
            if is_colder && server.registration.data_centre == data_centre {
                known.state(State::Since(now), WarmUpSource::Returned, now);
                self.limited.insert(id.clone());
            }
        }
    }

    /// Whether a server is cold and its service limits what it gets.
    #[must_use]
    pub fn is_cold(&self, id: &str, now: Instant) -> bool {
        self.servers.get(id).is_some_and(|server| server.cold_rate(now).is_some())
    }

    /// Whether a server of the service is cold.
    pub(crate) fn has_cold_server(&self, service: &str, now: Instant) -> bool {
        self.members(service).any(|server| server.cold_rate(now).is_some())
    }

    /// Records that no connection to a server could be opened: it may start again.
    pub(crate) fn server_found_dead(&mut self, id: &str, now: Instant) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.warm_up_rule.is_none() {
            return;
        }
        let known = &mut server.statements.warm_up;
        let is_new = known.state != State::Unanswered;
        known.state(State::Unanswered, WarmUpSource::FoundDead, now);
        // Servers of a data centre that is out of reach as a whole have hardly all restarted.
        let id = server.registration.id.clone();
        let is_told = is_new && !self.is_data_centre_paused(&self.servers[&id], now);
        self.cold_changed(id, is_told);
    }

    /// Records the head of an answer to a request that was sent at `sent`, and the remaining time that it states.
    pub(crate) fn record_warm_up_answer(
        &mut self,
        attempt: &Attempt,
        left: Option<Duration>,
        sent: Option<Instant>,
        now: Instant,
    ) {
        let Some(server) = self.incarnation_mut(attempt) else {
            return;
        };
        let known = &mut server.statements.warm_up;
        let is_later = known.as_of.is_none_or(|as_of| sent.is_some_and(|sent| sent >= as_of));
        let before = *known;
        match left {
            // An earlier request's answer may be from before the restart, so it ends nothing.
            Some(left) if is_later || !left.is_zero() && known.is_over(now + left) => {
                known.state(entry_state(left, now), WarmUpSource::Answer, now);
            }
            None if is_later && known.state == State::Unanswered => {
                known.state(State::Since(now), known.source, now);
            }
            _ => return,
        }
        let rule = server.warm_up_rule;
        let is_told = rule.is_some_and(|rule| {
            let end = server.statements.warm_up.ends(rule);
            end.is_some() && is_other_end(before.ends(rule), end)
        });
        self.cold_changed(attempt.server.clone(), is_told);
    }

    /// Adds other hosts' findings on cold servers; a finding never shortens the time.
    pub(crate) fn merge_cold_findings(&mut self, findings: &[ColdFinding], now: Instant) {
        for finding in findings.iter().take(MAX_LIMIT_NEWS) {
            let known = self.servers.get_mut(&finding.server);
            let Some(server) =
                known.filter(|server| server.registration.started_ms == finding.started_ms)
            else {
                continue;
            };
            let (Some(rule), Some(as_of)) = (server.warm_up_rule, now.checked_sub(finding.age))
            else {
                continue;
            };
            let known = &mut server.statements.warm_up;
            let state = match finding.left {
                Some(left) => State::Until(now + left.min(rule.duration)),
                None => State::Unanswered,
            };
            let found = KnownWarmUp { state, source: WarmUpSource::Peer, as_of: Some(as_of) };
            let is_longer = match (known.state, state) {
                (State::Unanswered, _) => false,
                (_, State::Unanswered) => true,
                _ if !known.is_cold(rule, now) => found.is_cold(rule, now),
                _ => found.ends(rule) > known.ends(rule).map(|end| end + MIN_CHANGE),
            };
            if is_longer && known.as_of.is_none_or(|known| as_of > known) {
                *known = found;
                self.cold_changed(finding.server.clone(), true);
            }
        }
    }

    /// Findings on cold servers to pass on to other hosts in this round.
    pub(crate) fn take_cold_news(&mut self, now: Instant) -> Vec<ColdFinding> {
        let news = self.cold.news.keys().filter_map(|id| self.cold_finding(id, now)).collect();
        self.cold.news.retain(|_, rounds| {
            *rounds -= 1;
            *rounds > 0
        });
        news
    }

    pub(crate) fn has_cold_news(&self) -> bool {
        !self.cold.news.is_empty()
    }

    /// Findings on the cold servers, for a host that may have missed them.
    pub(crate) fn cold_findings(&self, now: Instant) -> Vec<ColdFinding> {
        let findings = self.limited.iter().filter_map(|id| self.cold_finding(id, now));
        findings.take(MAX_LIMIT_NEWS).collect()
    }

    fn cold_finding(&self, id: &str, now: Instant) -> Option<ColdFinding> {
        let server = self.servers.get(id)?;
        let known = server.statements.warm_up;
        let rule = server.warm_up_rule.filter(|rule| known.is_cold(*rule, now))?;
        Some(ColdFinding {
            server: server.registration.id.clone(),
            started_ms: server.registration.started_ms,
            left: known.ends(rule).map(|end| end.saturating_duration_since(now)),
            age: known.as_of.map_or(Duration::ZERO, |as_of| now.saturating_duration_since(as_of)),
        })
    }

    fn cold_changed(&mut self, id: BackendServerId, is_told: bool) {
        self.limited.insert(id.clone());
        if is_told && (self.cold.news.len() < MAX_LIMIT_NEWS || self.cold.news.contains_key(&id)) {
            self.cold.news.insert(id, ROUNDS_PER_LIMIT);
            self.has_new_limits = true;
        }
    }

    /// Notes servers that became cold or warm since the last call; shares must be up to date.
    pub(super) fn note_cold_changes(&mut self, now: Instant) {
        let mut candidates: BTreeSet<BackendServerId> = self.limited.clone();
        candidates.extend(self.cold.reported.keys().cloned());
        for id in candidates {
            let server = self.servers.get(&id).filter(|server| server.cold_rate(now).is_some());
            let cold = server.and_then(|server| {
                let end = server.statements.warm_up.ends(server.warm_up_rule?);
                let requests = server.share.map_or(0, |share| share.requests());
                Some((server.statements.warm_up.source, end, requests))
            });
            match (self.cold.reported.get(&id).copied(), cold) {
                (None, None) => {}
                (Some(_), None) => {
                    self.cold.reported.remove(&id);
                    self.cold.changes.push(ColdChange { server: id, is_new: false, cold: None });
                }
                (Some((source, end)), Some((now_source, now_end, _)))
                    if source == now_source && !is_other_end(end, now_end) => {}
                (_, Some((source, end, requests))) => {
                    let is_new = self.cold.reported.insert(id.clone(), (source, end)).is_none();
                    let left = end.map(|end| end.saturating_duration_since(now));
                    let cold = Some((source, left, requests));
                    self.cold.changes.push(ColdChange { server: id, is_new, cold });
                }
            }
        }
    }

    /// Servers that became cold or warm, for the log.
    pub(crate) fn take_cold_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.cold.changes)
    }
}

fn is_other_end(before: Option<Instant>, after: Option<Instant>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => before.max(after) - before.min(after) >= MIN_CHANGE,
        (None, None) => false,
        (None, Some(_)) | (Some(_), None) => true,
    }
}

impl fmt::Display for WarmUpSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WarmUpSource::Entry => "entry",
            WarmUpSource::Restarted => "restarted",
            WarmUpSource::FoundDead => "found_dead",
            WarmUpSource::Returned => "returned",
            WarmUpSource::Answer => "answer",
            WarmUpSource::Peer => "peer",
        })
    }
}
