//! What the two highest-ranked hosts of a data centre merge from the hosts' reports.
//!
//! Load is the sum of the hosts' last reports; a host that stops reporting drops out. Speed is a mean of logarithms of
//! relative times that decays with time. The samples of one report have a bounded weight, so that a stall of some
//! hundred milliseconds, or one host's false report, moves the mean little.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use serde::Deserialize;
use serde::Serialize;

use super::PrefixKey;
use super::ServerKey;
use super::ServerPrefixes;
use super::decode_log;
use super::encode_log;
use super::report::Report;
use super::report::ServerReport;

/// Time after which the load of a host or of another data centre that stopped reporting drops out.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Half-life of the weight of speed samples: many times the length of a stall, and short against the time for which a
/// slow server stays slow.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(8);
/// Maximum weight of the samples of one report.
const MAX_REPORT_WEIGHT: f64 = 3.0;
/// Interval after which a prefix that is still used is passed on again.
const REPEAT_AFTER: Duration = Duration::from_secs(4);
/// Time after which a prefix that nobody reports any more is forgotten.
const PREFIX_TTL: Duration = Duration::from_secs(30);
/// Maximum number of reporting hosts, of servers, and of prefixes at servers.
const MAX_HOSTS: usize = 512;
const MAX_SERVERS: usize = 512;
const MAX_PREFIXES: usize = 2_048;
/// Maximum number of prefixes in one message.
const MAX_MESSAGE_PREFIXES: usize = 512;

/// What a data centre or the fleet knows of its servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Start of the sender and the last of its changes that the message contains.
    pub version: (u64, u64),
    pub servers: Vec<ServerState>,
    /// Prefixes that were added or used again since the change that the receiver has.
    pub prefixes: ServerPrefixes,
}

/// State of one server: at most 16 bytes in a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerState {
    pub server: ServerKey,
    pub in_flight: u8,
    /// Prompt tokens not yet processed, in units of 256.
    pub pending: u8,
    /// Logarithm of the time for prompts relative to the service's mean, in hundredths.
    pub prompt: i8,
    /// The same for the time between events.
    pub gap: i8,
    /// Weight of the samples.
    pub weight: u8,
}

/// A data centre's digest, as exchanged with another one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    pub data_centre: DataCentreId,
    /// The receiver's start and its last change that the sender has.
    pub seen: (u64, u64),
    pub digest: Digest,
}

/// Merges reports into the digest of a data centre.
#[derive(Debug)]
pub struct Keeper {
    /// Start of this host; distinguishes its numbering of changes from that of an earlier process.
    started: u64,
    hosts: BTreeMap<EntryHostId, HostLoad>,
    servers: BTreeMap<ServerKey, ServerRecord>,
    prefixes: BTreeMap<(ServerKey, PrefixKey), PrefixRecord>,
    /// Prefixes by the number of their last change.
    changes: BTreeMap<u64, (ServerKey, PrefixKey)>,
    last_change: u64,
    others: BTreeMap<DataCentreId, OtherCentre>,
}

#[derive(Clone, Debug)]
struct HostLoad {
    at: Instant,
    servers: Vec<ServerReport>,
}

#[derive(Clone, Copy, Debug)]
struct ServerRecord {
    in_flight: u32,
    pending: u32,
    prompt: WeightedLog,
    gap: WeightedLog,
    at: Instant,
}

/// Weighted sum of logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WeightedLog {
    sum: f64,
    pub(super) weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct PrefixRecord {
    units: u16,
    change: u64,
    /// When it was last passed on.
    at: Instant,
    /// Whether a host of this data centre reported it last.
    is_own: bool,
}

#[derive(Clone, Debug)]
struct OtherCentre {
    at: Instant,
    /// Its last change that this host has.
    seen: (u64, u64),
    /// This host's last change that it has.
    acknowledged: (u64, u64),
    servers: Vec<ServerState>,
}

impl Keeper {
    /// Creates a keeper without reports; `started` differs for each process.
    #[must_use]
    pub fn new(started: u64) -> Keeper {
        Keeper {
            started,
            hosts: BTreeMap::new(),
            servers: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            changes: BTreeMap::new(),
            last_change: 0,
            others: BTreeMap::new(),
        }
    }

    /// Merges a host's report, which replaces the load that it reported before.
    pub fn merge(&mut self, report: &Report, now: Instant) {
        self.expire(now);
        let is_new = !self.hosts.contains_key(&report.host);
        if is_new && self.hosts.len() >= MAX_HOSTS {
            return;
        }
        if let Some(before) = self.hosts.remove(&report.host) {
            self.subtract(&before);
        }
        let mut servers = report.servers.clone();
        servers.truncate(MAX_SERVERS);
        for server in &servers {
            if !self.servers.contains_key(&server.server) && self.servers.len() >= MAX_SERVERS {
                continue;
            }
            let record = self.servers.entry(server.server).or_insert(ServerRecord {
                in_flight: 0,
                pending: 0,
                prompt: WeightedLog::default(),
                gap: WeightedLog::default(),
                at: now,
            });
            record.decay(now);
            record.in_flight += u32::from(server.in_flight);
            record.pending += u32::from(server.pending);
            record.prompt.add(server.prompt);
            record.gap.add(server.gap);
        }
        self.hosts.insert(report.host.clone(), HostLoad { at: now, servers });
        self.merge_prefixes(&report.prefixes, true, now);
    }

    /// Merges the digest of another data centre.
    pub fn merge_other(&mut self, exchange: Exchange, now: Instant) {
        self.merge_prefixes(&exchange.digest.prefixes, false, now);
        let mut servers = exchange.digest.servers;
        servers.truncate(MAX_SERVERS);
        let (seen, acknowledged) = (exchange.digest.version, exchange.seen);
        let other = OtherCentre { at: now, seen, acknowledged, servers };
        self.others.insert(exchange.data_centre, other);
    }

    /// The last change of another data centre's digest that this host has.
    #[must_use]
    pub fn seen_of(&self, data_centre: &str) -> (u64, u64) {
        self.others.get(data_centre).map_or((0, 0), |other| other.seen)
    }

    /// This host's last change that another data centre has.
    #[must_use]
    pub fn acknowledged_by(&self, data_centre: &str) -> (u64, u64) {
        self.others.get(data_centre).map_or((0, 0), |other| other.acknowledged)
    }

    /// What the fleet knows, for a host of this data centre that has the changes up to `seen`.
    pub fn digest(&mut self, seen: (u64, u64), now: Instant) -> Digest {
        self.expire(now);
        let mut states: BTreeMap<ServerKey, ServerState> =
            self.servers.iter().map(|(key, record)| (*key, record.state(*key, now))).collect();
        for other in self.others.values() {
            for state in &other.servers {
                let known = states
                    .entry(state.server)
                    .or_insert(ServerState { server: state.server, ..ServerState::default() });
                *known = known.merged(state);
            }
        }
        let (change, prefixes) = self.changes_since(seen, false);
        let servers = states.into_values().filter(|state| !state.is_empty()).collect();
        Digest { version: (self.started, change), servers, prefixes }
    }

    /// What the hosts of this data centre know, for another data centre.
    pub fn own_digest(&mut self, seen: (u64, u64), now: Instant) -> Digest {
        self.expire(now);
        let states = self.servers.iter().map(|(key, record)| record.state(*key, now));
        let servers = states.filter(|state| !state.is_empty()).collect();
        let (change, prefixes) = self.changes_since(seen, true);
        Digest { version: (self.started, change), servers, prefixes }
    }

    fn merge_prefixes(&mut self, prefixes: &ServerPrefixes, is_own: bool, now: Instant) {
        let entries = prefixes.iter().flat_map(|(server, entries)| {
            entries.iter().map(|(key, units)| (*server, *key, *units))
        });
        for (server, key, units) in entries.take(MAX_MESSAGE_PREFIXES) {
            if let Some(known) = self.prefixes.get(&(server, key)) {
                // An entry that goes back and forth between data centres must not keep itself alive.
                if now < known.at + REPEAT_AFTER {
                    continue;
                }
                self.changes.remove(&known.change);
            }
            self.last_change += 1;
            let record = PrefixRecord { units, change: self.last_change, at: now, is_own };
            self.prefixes.insert((server, key), record);
            self.changes.insert(self.last_change, (server, key));
        }
        while let Some((change, key)) = self.changes.first_key_value().map(|(c, k)| (*c, *k)) {
            let is_old = self.prefixes.get(&key).is_none_or(|p| now >= p.at + PREFIX_TTL);
            if !is_old && self.prefixes.len() <= MAX_PREFIXES {
                break;
            }
            self.changes.remove(&change);
            self.prefixes.remove(&key);
        }
    }

    fn changes_since(&self, seen: (u64, u64), only_own: bool) -> (u64, ServerPrefixes) {
        let since = if seen.0 == self.started { seen.1 } else { 0 };
        let mut by_server: BTreeMap<ServerKey, Vec<(PrefixKey, u16)>> = BTreeMap::new();
        let mut last = since.min(self.last_change);
        let mut count = 0;
        for (change, (server, key)) in self.changes.range(since.saturating_add(1)..) {
            if count >= MAX_MESSAGE_PREFIXES {
                break;
            }
            last = *change;
            let Some(record) = self.prefixes.get(&(*server, *key)) else {
                continue;
            };
            if record.is_own || !only_own {
                by_server.entry(*server).or_default().push((*key, record.units));
                count += 1;
            }
        }
        (last, by_server.into_iter().collect())
    }

    fn expire(&mut self, now: Instant) {
        let is_gone = |load: &HostLoad| now >= load.at + REPORT_TTL;
        while let Some(host) =
            self.hosts.iter().find(|(_, load)| is_gone(load)).map(|(host, _)| host.clone())
        {
            if let Some(load) = self.hosts.remove(&host) {
                self.subtract(&load);
            }
        }
        self.others.retain(|_, other| now < other.at + REPORT_TTL);
        if self.servers.len() >= MAX_SERVERS {
            self.servers.retain(|_, record| now < record.at + SPEED_HALF_LIFE * 4);
        }
    }

    fn subtract(&mut self, load: &HostLoad) {
        for server in &load.servers {
            if let Some(record) = self.servers.get_mut(&server.server) {
                record.in_flight = record.in_flight.saturating_sub(u32::from(server.in_flight));
                record.pending = record.pending.saturating_sub(u32::from(server.pending));
            }
        }
    }
}

impl ServerRecord {
    fn decay(&mut self, now: Instant) {
        let factor = decay_factor(self.at, now);
        self.prompt.scale(factor);
        self.gap.scale(factor);
        self.at = now;
    }

    fn state(&self, server: ServerKey, now: Instant) -> ServerState {
        let weight = self.prompt.weight * decay_factor(self.at, now);
        ServerState {
            server,
            in_flight: u8::try_from(self.in_flight).unwrap_or(u8::MAX),
            pending: u8::try_from(self.pending).unwrap_or(u8::MAX),
            prompt: encode_log(self.prompt.mean().unwrap_or_default()),
            gap: encode_log(self.gap.mean().or(self.prompt.mean()).unwrap_or_default()),
            weight: weight.round().min(255.0) as u8,
        }
    }
}

impl ServerState {
    fn is_empty(&self) -> bool {
        self.in_flight == 0 && self.pending == 0 && self.weight == 0
    }

    /// Sum of two data centres' states of one server.
    fn merged(&self, other: &ServerState) -> ServerState {
        let weights = [f64::from(self.weight), f64::from(other.weight)];
        let total = (weights[0] + weights[1]).max(1.0);
        let mean = |a: i8, b: i8| {
            encode_log((decode_log(a) * weights[0] + decode_log(b) * weights[1]) / total)
        };
        ServerState {
            server: self.server,
            in_flight: self.in_flight.saturating_add(other.in_flight),
            pending: self.pending.saturating_add(other.pending),
            prompt: mean(self.prompt, other.prompt),
            gap: mean(self.gap, other.gap),
            weight: self.weight.saturating_add(other.weight),
        }
    }
}

impl WeightedLog {
    /// Adds the mean of some samples, with bounded weight.
    fn add(&mut self, (log, count): (i8, u8)) {
        let weight = f64::from(count).min(MAX_REPORT_WEIGHT);
        self.sum += decode_log(log) * weight;
        self.weight += weight;
    }

    fn scale(&mut self, factor: f64) {
        self.sum *= factor;
        self.weight *= factor;
    }

    fn mean(&self) -> Option<f64> {
        (self.weight > 1e-3).then(|| self.sum / self.weight)
    }
}

fn decay_factor(since: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(since).as_secs_f64();
    0.5_f64.powf(age / SPEED_HALF_LIFE.as_secs_f64())
}
