//! Simulated entry hosts in virtual time, with counters for their traffic and CPU time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Limits;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::Model;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Preset;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_model::Revision;
use foxtailhoist_model::RolloutPolicy;
use foxtailhoist_model::Stage;
use foxtailhoist_model::Tally;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_model::Workspace;
use foxtailhoist_peers::PeerMessage;
use foxtailhoist_peers::Peers;
use foxtailhoist_peers::PeersConfig;
use foxtailhoist_peers::TableSizes;
use foxtailhoist_peers::event::Announcement;
use foxtailhoist_peers::event::Effect;
use foxtailhoist_peers::event::Event;

/// Nominal one-way message delay within a data centre; actual delays are 0.8 to 2 times as long.
const LOCAL_DELAY: Duration = Duration::from_micros(300);
/// Nominal one-way message delay between data centres; actual delays are 0.8 to 2 times as long.
const REMOTE_DELAY: Duration = Duration::from_millis(4);
/// Maximum time from a store write until a watch returns it.
const MAX_WATCH_DELAY: Duration = Duration::from_millis(50);
/// Interval at which each host's evidence grows.
const TALLY_INTERVAL: Duration = Duration::from_secs(1);
/// Answers added to a host's evidence to measure propagation; far more than its regular growth.
const EVIDENCE_JUMP: u64 = 1 << 32;
/// Resolution at which the propagation of evidence is measured.
const EVIDENCE_STEP: Duration = Duration::from_millis(100);
/// Model versions in use.
const VERSIONS: usize = 8;
const WORKSPACES: usize = 10;
const PRESETS: usize = 3;

// Estimated bytes of one entry of each table, map nodes and allocations included.
const MEMBER_BYTES: usize = 600;
const ANNOUNCEMENT_BYTES: usize = 450;
const CONTRIBUTION_BYTES: usize = 200 + VERSIONS * 160;
const CENTRE_BYTES: usize = 600 + VERSIONS * 160;
const SESSION_BYTES: usize = 250;
/// Bytes in memory per encoded byte of a configuration or change.
const DECODED_FACTOR: usize = 4;

/// Cost of one host per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCost {
    pub watcher: bool,
    /// Bytes of encoded messages sent.
    pub sent: f64,
    /// Bytes of encoded messages received.
    pub received: f64,
    pub messages_sent: f64,
    pub handle_us: f64,
    pub codec_us: f64,
    /// Estimated bytes of the host's tables; not a rate.
    pub memory: f64,
}

#[derive(Default)]
struct Counters {
    sent: usize,
    received: usize,
    messages_sent: usize,
    handle_time: Duration,
    codec_time: Duration,
}

struct Host {
    peers: Peers,
    counters: Counters,
    adopted: BTreeMap<Revision, Instant>,
    vetoed: BTreeMap<ModelVersion, Instant>,
    /// Answers of each version so far; all fields of a tally are derived from it.
    answers: u64,
    /// Ended attempts of the first version on all other hosts, as received by this host.
    others_ended: u64,
}

enum SimEvent {
    Message { from: usize, to: usize, bytes: Vec<u8> },
    ConfigurationSeen { host: usize, configuration: Arc<Configuration> },
    Tally { host: usize },
}

/// Simulated hosts and the queue of pending events.
pub struct Fleet {
    now: Instant,
    hosts: Vec<Host>,
    centre_of: Vec<usize>,
    by_id: BTreeMap<EntryHostId, usize>,
    wakes: BTreeSet<(Instant, usize)>,
    wake_of: Vec<Option<Instant>>,
    queue: BTreeMap<(Instant, u64), SimEvent>,
    sequence: u64,
    rng: ChaCha8Rng,
    configuration: Arc<Configuration>,
    changed_at: Instant,
    vetoes: usize,
    /// Latest jump in a host's evidence; greater than the sum of all earlier jumps.
    jump: u64,
    vetoed_at: Instant,
    counted_from: Instant,
    largest_message: usize,
    largest_change: usize,
}

impl Fleet {
    pub fn new(count: usize, data_centres: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let list: Vec<ListedHost> =
            (0..count).map(|index| listed(index, index % data_centres)).collect();
        let hosts = list.iter().zip(1..).map(|(listed, first_incarnation)| {
            Host::new(listed, &list, seed, first_incarnation, now)
        });
        let mut fleet = Fleet {
            now,
            hosts: hosts.collect(),
            centre_of: (0..count).map(|index| index % data_centres).collect(),
            by_id: list.iter().zip(0..).map(|(listed, index)| (listed.id.clone(), index)).collect(),
            wakes: BTreeSet::new(),
            wake_of: vec![None; count],
            queue: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            configuration: Arc::new(first_configuration()),
            changed_at: now,
            vetoes: 0,
            jump: 0,
            vetoed_at: now,
            counted_from: now,
            largest_message: 0,
            largest_change: 0,
        };
        for index in 0..count {
            fleet.handle(index, Event::Tick);
            let offset = TALLY_INTERVAL.mul_f64(fleet.rng.random::<f64>());
            fleet.enqueue(offset, SimEvent::Tally { host: index });
        }
        fleet
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let queued = self.queue.first_key_value().map(|((at, _), _)| *at);
            let wake = self.wakes.first().copied();
            let next = queued.into_iter().chain(wake.map(|(at, _)| at)).min();
            let Some(next) = next.filter(|at| *at <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            if queued == Some(next) {
                self.process_next();
            } else if let Some((_, index)) = wake {
                self.handle(index, Event::Tick);
            }
        }
    }

    /// Publishes the next configuration to all watchers or to a random one; returns its revision.
    pub fn change_configuration(&mut self, at_all_watchers: bool) -> Revision {
        let configuration = Arc::new(self.next_configuration());
        let revision = configuration.revision;
        self.configuration = Arc::clone(&configuration);
        self.changed_at = self.now;
        let watchers: Vec<usize> =
            (0..self.hosts.len()).filter(|index| self.hosts[*index].peers.is_watcher()).collect();
        let seen_by = if at_all_watchers {
            watchers
        } else {
            vec![watchers[self.rng.random_range(0..watchers.len())]]
        };
        for host in seen_by {
            let delay = MAX_WATCH_DELAY.mul_f64(self.rng.random::<f64>());
            let configuration = Arc::clone(&configuration);
            self.enqueue(delay, SimEvent::ConfigurationSeen { host, configuration });
        }
        revision
    }

    /// Time until all hosts had adopted a revision; `longest` if one has not.
    pub fn configuration_propagation(&self, revision: Revision, longest: Duration) -> Duration {
        let adopted = |host: &Host| host.adopted.range(revision..).map(|(_, at)| *at).next();
        self.propagation_time(adopted, self.changed_at, longest)
    }

    /// Vetoes a version at a random host.
    pub fn veto(&mut self) -> ModelVersion {
        let model_version = ModelVersion::new("levain-llm", &format!("2026-{}", self.vetoes));
        self.vetoes += 1;
        self.vetoed_at = self.now;
        let index = self.rng.random_range(0..self.hosts.len());
        self.hosts[index].vetoed.insert(model_version.clone(), self.now);
        let reason = "12 of 40 rated answers were not acceptable, 2 expected".to_owned();
        let veto = Announcement::Vetoed { model_version: model_version.clone(), epoch: 0, reason };
        self.handle(index, Event::Announce(veto));
        model_version
    }

    /// Time until all hosts had received a veto; `longest` if one has not.
    pub fn veto_propagation(&self, model_version: &ModelVersion, longest: Duration) -> Duration {
        let vetoed = |host: &Host| host.vetoed.get(model_version).copied();
        self.propagation_time(vetoed, self.vetoed_at, longest)
    }

    /// Time until the sums of all other hosts include a jump in one host's evidence; `longest` if they do not.
    pub fn evidence_propagation(&mut self, longest: Duration) -> Duration {
        let index = self.rng.random_range(0..self.hosts.len());
        self.jump = 2 * self.jump + EVIDENCE_JUMP;
        self.hosts[index].answers += self.jump;
        self.increment_tallies(index);
        let from = self.now;
        while self.now < from + longest {
            let mut others = self.hosts.iter().enumerate().filter(|(other, _)| *other != index);
            if others.all(|(_, host)| host.others_ended >= self.jump) {
                return self.now - from;
            }
            self.run(EVIDENCE_STEP);
        }
        longest
    }

    pub fn reset_costs(&mut self) {
        self.counted_from = self.now;
        for host in &mut self.hosts {
            host.counters = Counters::default();
        }
    }

    pub fn costs(&self) -> Vec<HostCost> {
        let seconds = (self.now - self.counted_from).as_secs_f64();
        let encoded = rmp_serde::to_vec(&*self.configuration).map_or(0, |bytes| bytes.len());
        self.hosts.iter().map(|host| host.cost(seconds, encoded, self.largest_change)).collect()
    }

    pub fn largest_message(&self) -> usize {
        self.largest_message
    }

    pub fn largest_change(&self) -> usize {
        self.largest_change
    }

    fn propagation_time(
        &self,
        known_at: impl Fn(&Host) -> Option<Instant>,
        from: Instant,
        longest: Duration,
    ) -> Duration {
        let took = self.hosts.iter().map(|host| known_at(host).map(|at| at - from));
        took.map(|took| took.unwrap_or(longest)).max().unwrap_or_default()
    }

    fn handle(&mut self, index: usize, event: Event) {
        let host = &mut self.hosts[index];
        let started = Instant::now();
        let effects = host.peers.handle(event, self.now);
        host.counters.handle_time += started.elapsed();
        let wake = host.peers.next_wake();
        if let Some(before) = std::mem::replace(&mut self.wake_of[index], wake) {
            self.wakes.remove(&(before, index));
        }
        self.wakes.extend(wake.map(|at| (at, index)));
        for effect in effects {
            self.perform(index, effect);
        }
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        let now = self.now;
        let host = &mut self.hosts[index];
        match effect {
            Effect::Send { to, message, .. } => self.send(index, &to, &message),
            Effect::Adopt(configuration) => {
                host.adopted.insert(configuration.revision, now);
            }
            Effect::Learned(Announcement::Vetoed { model_version, .. }) => {
                host.vetoed.insert(model_version, now);
            }
            Effect::Tallies(tallies) => {
                let ended = tallies.get(&version_in_use(0)).map_or(0, |tally| tally.ended);
                host.others_ended = host.others_ended.max(ended);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &EntryHostId, message: &PeerMessage) {
        let Some(&to) = self.by_id.get(to) else { return };
        let counters = &mut self.hosts[from].counters;
        let started = Instant::now();
        let bytes = rmp_serde::to_vec(message).expect("peer messages can be encoded");
        counters.codec_time += started.elapsed();
        counters.sent += bytes.len();
        counters.messages_sent += 1;
        match message {
            PeerMessage::Whole(_) => {}
            PeerMessage::Change(_) => self.largest_change = self.largest_change.max(bytes.len()),
            _ => self.largest_message = self.largest_message.max(bytes.len()),
        }
        let local = self.centre_of[from] == self.centre_of[to];
        let delay = if local { LOCAL_DELAY } else { REMOTE_DELAY };
        let delay = delay.mul_f64(self.rng.random_range(0.8..2.0));
        self.enqueue(delay, SimEvent::Message { from, to, bytes });
    }

    fn enqueue(&mut self, delay: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn process_next(&mut self) {
        let Some((_, event)) = self.queue.pop_first() else { return };
        match event {
            SimEvent::Message { from, to, bytes } => {
                let counters = &mut self.hosts[to].counters;
                counters.received += bytes.len();
                let started = Instant::now();
                let message = rmp_serde::from_slice(&bytes).expect("peer messages can be decoded");
                counters.codec_time += started.elapsed();
                let from = listed(from, self.centre_of[from]).id;
                self.handle(to, Event::Message { from, message });
            }
            SimEvent::ConfigurationSeen { host, configuration } => {
                let revision = configuration.revision;
                self.hosts[host].adopted.entry(revision).or_insert(self.now);
                self.handle(host, Event::Adopted(configuration));
            }
            SimEvent::Tally { host } => {
                self.increment_tallies(host);
                self.enqueue(TALLY_INTERVAL, SimEvent::Tally { host });
            }
        }
    }

    fn increment_tallies(&mut self, index: usize) {
        self.hosts[index].answers += 17;
        let answers = self.hosts[index].answers;
        let tally = Tally {
            rated: answers / 10,
            unacceptable: answers / 200,
            ended: answers,
            failed: answers / 300,
            timed: answers,
            slow: answers / 25,
            callers: answers / 40,
        };
        for version in 0..VERSIONS {
            let model_version = version_in_use(version);
            self.handle(index, Event::Tally { model_version, tally });
        }
    }

    /// Returns the next configuration: one version's stage changes, with new quotas for every entry host.
    fn next_configuration(&mut self) -> Configuration {
        let mut next = Configuration::clone(&self.configuration);
        next.revision += 1;
        let quotas = self.by_id.keys().map(|id| (id.clone(), self.rng.random_range(1..20)));
        let stage = Stage::Canary { step: 1, share: 0.05, quotas: quotas.collect() };
        let version = version_in_use(next.revision as usize % 2);
        next.versions.insert(version, VersionRecord { stage, vetoed: false });
        next
    }
}

impl Host {
    fn new(
        listed: &ListedHost,
        list: &[ListedHost],
        seed: u64,
        first_incarnation: u64,
        now: Instant,
    ) -> Host {
        let cfg = PeersConfig {
            host: listed.id.clone(),
            address: listed.address,
            data_centre: listed.data_centre.clone(),
            incarnation: first_incarnation,
            seeds: list.to_vec(),
            enforcement: Enforcement::Count,
        };
        Host {
            peers: Peers::new(cfg, seed.wrapping_mul(1000) + first_incarnation, now),
            counters: Counters::default(),
            adopted: BTreeMap::new(),
            vetoed: BTreeMap::new(),
            answers: 0,
            others_ended: 0,
        }
    }

    fn cost(&self, seconds: f64, configuration: usize, change: usize) -> HostCost {
        let counters = &self.counters;
        HostCost {
            watcher: self.peers.is_watcher(),
            sent: counters.sent as f64 / seconds,
            received: counters.received as f64 / seconds,
            messages_sent: counters.messages_sent as f64 / seconds,
            handle_us: counters.handle_time.as_secs_f64() * 1e6 / seconds,
            codec_us: counters.codec_time.as_secs_f64() * 1e6 / seconds,
            memory: memory(self.peers.table_sizes(), configuration, change) as f64,
        }
    }
}

fn memory(sizes: TableSizes, configuration: usize, change: usize) -> usize {
    sizes.members * MEMBER_BYTES
        + sizes.announcements * ANNOUNCEMENT_BYTES
        + sizes.contributions * CONTRIBUTION_BYTES
        + sizes.centres * CENTRE_BYTES
        + sizes.sessions * SESSION_BYTES
        + (configuration + sizes.changes * change) * DECODED_FACTOR
}

fn listed(index: usize, centre: usize) -> ListedHost {
    let address = [10, centre as u8, (index / 250) as u8, (index % 250) as u8];
    ListedHost {
        id: format!("entry-{index:03}"),
        address: SocketAddr::from((address, 7000)),
        data_centre: format!("centre-{centre:02}"),
        presence: Presence::Live,
    }
}

fn version_in_use(index: usize) -> ModelVersion {
    ModelVersion::new("levain-llm", &format!("2025-11-{index}"))
}

fn first_configuration() -> Configuration {
    let workspace_ids = || (0..WORKSPACES).map(|index| format!("workspace-{index}"));
    let preset = Preset {
        allowed: workspace_ids()
            .map(|id| (id, BTreeSet::from(["levain-llm".to_owned()])))
            .collect(),
        cheaper_for: BTreeSet::from(["tagging".to_owned()]),
        quality: QualityTarget::BelowBest(0.02),
        rollout: RolloutPolicy { steps: Vec::new() },
        limits: Limits::default(),
    };
    let workspace = Workspace {
        api_key_digests: BTreeSet::from(["0".repeat(64)]),
        weight: 1.0,
        priority: foxtailhoist_model::Priority::Normal,
        when_stale: foxtailhoist_model::StalePolicy::Settled,
    };
    let settled = VersionRecord { stage: Stage::Settled, vetoed: false };
    Configuration {
        revision: 0,
        preset: "preset-0".to_owned(),
        presets: (0..PRESETS).map(|index| (format!("preset-{index}"), preset.clone())).collect(),
        workspaces: workspace_ids().map(|id| (id, workspace.clone())).collect(),
        models: BTreeMap::from([(
            "levain-llm".to_owned(),
            Model { price_in: 1.0, price_out: 3.0 },
        )]),
        versions: (0..VERSIONS).map(|index| (version_in_use(index), settled.clone())).collect(),
        services: BTreeMap::new(),
    }
}
