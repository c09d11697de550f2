//! Simulates entry hosts in virtual time on a network with configurable faults.

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
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Stage;
use foxtailhoist_model::Tally;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_peers::PeerMessage;
use foxtailhoist_peers::Peers;
use foxtailhoist_peers::PeersConfig;
use foxtailhoist_peers::event::Announcement;
use foxtailhoist_peers::event::Effect;
use foxtailhoist_peers::event::Event;

/// Base delay of a message between data centres; a tenth of it applies within one.
const CENTRE_DELAY: Duration = Duration::from_millis(4);
/// Time after which a message on an unresponsive connection fails.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Effects of one host so far.
#[derive(Default)]
pub struct Recorded {
    pub revision: Revision,
    pub adopted_at: Option<Instant>,
    pub learned: Vec<Announcement>,
    pub tallies: BTreeMap<ModelVersion, Tally>,
    pub alive: BTreeSet<String>,
    pub watcher: bool,
    pub sessions: BTreeMap<u64, Option<ModelVersion>>,
    pub confirmed: BTreeSet<Revision>,
    pub retired: BTreeSet<String>,
}

pub struct Host {
    pub peers: Peers,
    pub recorded: Recorded,
    pub listed: ListedHost,
}

/// A message, or the notice to its sender `to` that `receiver` could not be reached.
enum Delivery {
    Message { from: String, to: String, bytes: Vec<u8> },
    Failure { to: String, receiver: String },
}

pub struct Fleet {
    pub now: Instant,
    pub hosts: BTreeMap<String, Host>,
    ticks: BTreeMap<String, Instant>,
    queue: BTreeMap<(Instant, u64), Delivery>,
    enqueued: u64,
    pub rng: ChaCha8Rng,
    /// Pairs of data centres that cannot reach each other.
    pub cut: BTreeSet<(String, String)>,
    /// Pairs of hosts whose open connection does not deliver until it is retired.
    pub silent: BTreeSet<(String, String)>,
    /// Fraction of messages that are lost.
    pub loss: f64,
    last_incarnation: u64,
}

#[allow(dead_code)]
impl Fleet {
    /// Starts `count` hosts in `centres` data centres, each with the complete host list.
    pub fn new(count: usize, centres: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Instant::now(),
            hosts: BTreeMap::new(),
            ticks: BTreeMap::new(),
            queue: BTreeMap::new(),
            enqueued: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cut: BTreeSet::new(),
            silent: BTreeSet::new(),
            loss: 0.0,
            last_incarnation: 0,
        };
        let list: Vec<ListedHost> =
            (0..count).map(|index| listed(index, index % centres)).collect();
        for host in &list {
            fleet.start(host.clone(), &list);
        }
        fleet
    }

    /// Starts or restarts a host with a new incarnation.
    pub fn start(&mut self, listed: ListedHost, list: &[ListedHost]) {
        self.last_incarnation += 1;
        let cfg = PeersConfig {
            host: listed.id.clone(),
            address: listed.address,
            data_centre: listed.data_centre.clone(),
            incarnation: self.last_incarnation,
            seeds: list.to_vec(),
            enforcement: Enforcement::Panic,
        };
        let peers = Peers::new(cfg, self.last_incarnation, self.now);
        let host = Host { peers, recorded: Recorded::default(), listed: listed.clone() };
        self.hosts.insert(listed.id.clone(), host);
        self.handle(&listed.id, Event::Tick);
    }

    /// Stops a host without notice to its peers.
    pub fn kill(&mut self, id: &str) -> ListedHost {
        self.ticks.remove(id);
        self.hosts.remove(id).expect("the host runs").listed
    }

    pub fn list(&self) -> Vec<ListedHost> {
        self.hosts.values().map(|host| host.listed.clone()).collect()
    }

    pub fn handle(&mut self, id: &str, event: Event) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        let effects = host.peers.handle(event, self.now);
        if let Some(tick) = host.peers.next_wake() {
            self.ticks.insert(id.to_owned(), tick.max(self.now + Duration::from_millis(1)));
        }
        for effect in effects {
            self.perform(id, effect);
        }
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until `done` holds and returns the elapsed time, or `None` after `time`.
    pub fn run_until(
        &mut self,
        time: Duration,
        mut done: impl FnMut(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let end = start + time;
        loop {
            if done(self) {
                return Some(self.now - start);
            }
            let delivery = self.queue.first_key_value().map(|((at, _), _)| *at);
            let tick = self.ticks.iter().min_by_key(|(_, at)| **at);
            let tick = tick.map(|(id, at)| (*at, id.clone()));
            let next = delivery.into_iter().chain(tick.as_ref().map(|(at, _)| *at)).min();
            let Some(next) = next.filter(|at| *at <= end) else {
                self.now = end;
                return None;
            };
            self.now = self.now.max(next);
            if delivery == Some(next) {
                self.deliver();
            } else if let Some((_, id)) = tick {
                self.handle(&id, Event::Tick);
            }
        }
    }

    pub fn adopt(&mut self, id: &str, configuration: &Arc<Configuration>) {
        self.hosts
            .get_mut(id)
            .expect("the host runs")
            .recorded
            .adopted(configuration.revision, self.now);
        self.handle(id, Event::Adopted(Arc::clone(configuration)));
    }

    /// Announces a veto at a host.
    pub fn veto(&mut self, id: &str, model_version: &ModelVersion, epoch: u64) {
        let reason = "too many answers were not acceptable".to_owned();
        let model_version = model_version.clone();
        let veto = Announcement::Vetoed { model_version, epoch, reason };
        self.handle(id, Event::Announce(veto));
    }

    pub fn clear_veto(&mut self, id: &str, model_version: &ModelVersion, epoch: u64) {
        let model_version = model_version.clone();
        let operator = "anna".to_owned();
        let clearance = Announcement::VetoCleared { model_version, epoch, operator };
        self.handle(id, Event::Announce(clearance));
    }

    pub fn all(&self, condition: impl Fn(&Host) -> bool) -> bool {
        self.hosts.values().all(condition)
    }

    pub fn in_centre(&self, centre: usize) -> impl Iterator<Item = &Host> {
        let name = centre_name(centre);
        self.hosts.values().filter(move |host| host.listed.data_centre == name)
    }

    /// Partitions a data centre from all others.
    pub fn isolate(&mut self, centre: &str) {
        let others: BTreeSet<String> =
            self.hosts.values().map(|host| host.listed.data_centre.clone()).collect();
        for other in others.iter().filter(|other| *other != centre) {
            self.cut.insert((centre.to_owned(), other.clone()));
            self.cut.insert((other.clone(), centre.to_owned()));
        }
    }

    fn perform(&mut self, id: &str, effect: Effect) {
        let now = self.now;
        let recorded = &mut self.hosts.get_mut(id).expect("the host runs").recorded;
        match effect {
            Effect::Send { to, message, .. } => self.send(id, to, &message),
            Effect::Hosts(members) => {
                recorded.alive = members.into_iter().map(|member| member.host).collect();
            }
            Effect::Adopt(configuration) => recorded.adopted(configuration.revision, now),
            Effect::PeerRevision(_) => {}
            Effect::PeerConfirmed { revision, .. } => {
                recorded.confirmed.insert(revision);
            }
            Effect::SessionFound { token, model_version } => {
                let before = recorded.sessions.insert(token, model_version);
                assert!(before.is_none(), "answered twice");
            }
            Effect::Learned(announcement) => {
                assert!(
                    !recorded.learned.contains(&announcement),
                    "learned twice: {announcement:?}"
                );
                recorded.learned.push(announcement);
            }
            Effect::Tallies(tallies) => {
                for (version, tally) in tallies {
                    let before = recorded.tallies.insert(version, tally).unwrap_or_default();
                    assert!(before.rated <= tally.rated, "a sum decreased");
                }
            }
            Effect::Watcher(watcher) => recorded.watcher = watcher,
            Effect::RetireConnections { to } => {
                recorded.retired.insert(to.clone());
                self.silent.remove(&(id.to_owned(), to.clone()));
                self.silent.remove(&(to, id.to_owned()));
            }
        }
    }

    fn send(&mut self, from: &str, to: String, message: &PeerMessage) {
        let bytes = rmp_serde::to_vec(message).expect("messages can be encoded");
        if self.rng.random::<f64>() < self.loss {
            return;
        }
        let centre = |id: &str| self.hosts.get(id).map(|host| host.listed.data_centre.clone());
        let (here, there) = (centre(from), centre(&to));
        let from = from.to_owned();
        let silent = self.silent.contains(&(from.clone(), to.clone()));
        let cut = match (&here, &there) {
            (Some(here), Some(there)) => self.cut.contains(&(here.clone(), there.clone())),
            _ => false,
        };
        if silent || cut {
            self.enqueue(SEND_TIMEOUT, Delivery::Failure { to: from, receiver: to });
            return;
        }
        let delay = if here == there { CENTRE_DELAY / 10 } else { CENTRE_DELAY };
        let delay = delay.mul_f64(self.rng.random_range(0.8..1.5));
        if there.is_none() {
            self.enqueue(delay, Delivery::Failure { to: from, receiver: to });
            return;
        }
        self.enqueue(delay, Delivery::Message { from, to, bytes });
    }

    fn enqueue(&mut self, delay: Duration, delivery: Delivery) {
        self.enqueued += 1;
        self.queue.insert((self.now + delay, self.enqueued), delivery);
    }

    fn deliver(&mut self) {
        let Some((_, delivery)) = self.queue.pop_first() else { return };
        match delivery {
            Delivery::Message { from, to, bytes } => {
                let message = rmp_serde::from_slice(&bytes).expect("messages can be decoded");
                self.handle(&to, Event::Message { from, message });
            }
            Delivery::Failure { to, receiver } => {
                self.handle(&to, Event::SendFailed { to: receiver })
            }
        }
    }
}

impl Recorded {
    fn adopted(&mut self, revision: Revision, now: Instant) {
        assert!(revision > self.revision, "revision {} after {}", revision, self.revision);
        self.revision = revision;
        self.adopted_at = Some(now);
    }
}

pub fn listed(index: usize, centre: usize) -> ListedHost {
    ListedHost {
        id: format!("entry-{index:03}"),
        address: SocketAddr::from((
            [10, centre as u8, (index / 250) as u8, (index % 250) as u8],
            7000,
        )),
        data_centre: centre_name(centre),
        presence: Presence::Live,
    }
}

pub fn centre_name(centre: usize) -> String {
    format!("centre-{centre:02}")
}

#[allow(dead_code)]
pub fn version(name: &str) -> ModelVersion {
    ModelVersion::new("levain", name)
}

/// A configuration with one version, named `revision % 7`, which is settled at even revisions.
#[allow(dead_code)]
pub fn configuration(revision: Revision) -> Arc<Configuration> {
    let mut configuration = Configuration::clone(&with_versions(revision, &[]));
    let stage = if revision.is_multiple_of(2) { Stage::Settled } else { Stage::Registered };
    let record = VersionRecord { stage, vetoed: false };
    configuration.versions.insert(version(&(revision % 7).to_string()), record);
    Arc::new(configuration)
}

/// A configuration with settled versions.
#[allow(dead_code)]
pub fn with_versions(revision: Revision, names: &[String]) -> Arc<Configuration> {
    let record = VersionRecord { stage: Stage::Settled, vetoed: false };
    Arc::new(Configuration {
        revision,
        preset: "ordinary".to_owned(),
        presets: BTreeMap::new(),
        workspaces: BTreeMap::new(),
        models: BTreeMap::new(),
        versions: names.iter().map(|name| (version(name), record.clone())).collect(),
        services: BTreeMap::new(),
    })
}
