//! Random sequences of network and host faults, with invariants asserted during the run.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use foxtailhoist_model::Tally;
use foxtailhoist_peers::event::Announcement;
use foxtailhoist_peers::event::Event;

use crate::support::Fleet;
use crate::support::centre_name;
use crate::support::configuration;
use crate::support::listed;
use crate::support::version;

const CENTRES: usize = 3;
/// Minimum number of running hosts, so that no update is lost because all hosts that had it were killed.
const MIN_RUNNING_HOSTS: usize = 4;

/// A fault or an ordinary event that one step of a run injects; two random numbers select it and its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    Killed,
    Restarted,
    Stopped,
    Added,
    Isolated,
    Silenced,
    Lossy,
    Healed,
    Adopted,
    StoreFellBack,
    Vetoed,
    Cleared,
    Quarantined,
    Counted,
    SessionPinned,
}

const FAULTS: [Fault; 15] = [
    Fault::Killed,
    Fault::Restarted,
    Fault::Stopped,
    Fault::Added,
    Fault::Isolated,
    Fault::Silenced,
    Fault::Lossy,
    Fault::Healed,
    Fault::Adopted,
    Fault::StoreFellBack,
    Fault::Vetoed,
    Fault::Cleared,
    Fault::Quarantined,
    Fault::Counted,
    Fault::SessionPinned,
];

struct Run {
    fleet: Fleet,
    stopped: BTreeSet<String>,
    rated_by_host: BTreeMap<String, u64>,
    total_rated: u64,
    started: usize,
    revision: u64,
    steps_by_fault: BTreeMap<Fault, u64>,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut fleet = Fleet::new(9, CENTRES, seed);
        fleet.run(Duration::from_secs(3));
        Run {
            fleet,
            stopped: BTreeSet::new(),
            rated_by_host: BTreeMap::new(),
            total_rated: 0,
            started: 9,
            revision: 0,
            steps_by_fault: BTreeMap::new(),
        }
    }

    fn inject(&mut self, fault: Fault, choice: u16) {
        *self.steps_by_fault.entry(fault).or_default() += 1;
        let choice = usize::from(choice);
        let ids: Vec<String> = self.fleet.hosts.keys().cloned().collect();
        let id = ids[choice % ids.len()].clone();
        let name = version(&(choice % 3).to_string());
        match fault {
            Fault::Killed => self.kill(&id),
            Fault::Restarted => {
                let listed = self.fleet.kill(&id);
                self.rated_by_host.remove(&id);
                self.stopped.remove(&id);
                let list = self.fleet.list();
                self.fleet.start(listed, &list);
            }
            Fault::Stopped => {
                if self.running() > MIN_RUNNING_HOSTS {
                    self.fleet.handle(&id, Event::Stop);
                    self.stopped.insert(id);
                }
            }
            Fault::Added => self.add(choice % CENTRES),
            Fault::Isolated => self.fleet.isolate(&centre_name(choice % CENTRES)),
            Fault::Silenced => {
                for other in &ids {
                    self.fleet.silent.insert((id.clone(), other.clone()));
                    self.fleet.silent.insert((other.clone(), id.clone()));
                }
            }
            Fault::Lossy => self.fleet.loss = 0.3,
            Fault::Healed => self.heal(),
            Fault::Adopted => {
                self.revision += 1;
                self.fleet.adopt(&id, &configuration(self.revision));
            }
            Fault::StoreFellBack => {
                self.fleet.handle(&id, Event::Adopted(configuration(self.revision / 2)));
            }
            Fault::Vetoed => self.fleet.veto(&id, &name, (choice % 5) as u64),
            Fault::Cleared => self.fleet.clear_veto(&id, &name, (choice % 5) as u64),
            Fault::Quarantined => {
                let quarantine = Announcement::Quarantined { fingerprint: choice as u64 };
                self.fleet.handle(&id, Event::Announce(quarantine));
            }
            Fault::Counted => self.add_rating(&id),
            Fault::SessionPinned => {
                let (workspace, session) = ("bakery".to_owned(), choice.to_string());
                let pin = Event::SessionPinned { workspace, session, model_version: name };
                self.fleet.handle(&id, pin);
            }
        }
    }

    fn running(&self) -> usize {
        self.fleet.hosts.len() - self.stopped.len()
    }

    fn kill(&mut self, id: &str) {
        if self.running() > MIN_RUNNING_HOSTS || self.stopped.contains(id) {
            self.fleet.kill(id);
            self.stopped.remove(id);
            self.rated_by_host.remove(id);
        }
    }

    fn add(&mut self, centre: usize) {
        if self.fleet.hosts.len() >= 16 {
            return;
        }
        let list = self.fleet.list();
        self.fleet.start(listed(self.started, centre), &list);
        self.started += 1;
    }

    fn add_rating(&mut self, id: &str) {
        let rated = self.rated_by_host.entry(id.to_owned()).or_default();
        *rated += 1;
        self.total_rated += 1;
        let tally = Tally { rated: *rated, ..Tally::default() };
        self.fleet.handle(id, Event::Tally { model_version: version("1"), tally });
    }

    fn heal(&mut self) {
        self.fleet.cut.clear();
        self.fleet.loss = 0.0;
    }

    fn publish_host_list(&mut self) {
        let list = self.fleet.list();
        for id in self.fleet.hosts.keys().cloned().collect::<Vec<_>>() {
            self.fleet.handle(&id, Event::HostList(list.clone()));
        }
    }

    /// Ends stopped hosts, heals the network and waits until all hosts converge.
    fn settle(&mut self) {
        for id in std::mem::take(&mut self.stopped) {
            self.fleet.kill(&id);
        }
        self.heal();
        self.publish_host_list();
        self.fleet.run(Duration::from_secs(60));
    }

    fn check_agreement(&self) {
        let running: BTreeSet<String> = self.fleet.hosts.keys().cloned().collect();
        let first = self.fleet.hosts.values().next().expect("at least one host runs");
        let (revision, vetoes) = (first.peers.revision(), first.peers.vetoes());
        for host in self.fleet.hosts.values() {
            assert_eq!(host.recorded.alive, running, "{}", host.listed.id);
            assert_eq!(host.peers.revision(), revision, "{}", host.listed.id);
            assert_eq!(host.peers.vetoes(), vetoes, "{}", host.listed.id);
        }
        for centre in 0..CENTRES {
            let hosts = self.fleet.in_centre(centre).count();
            let watchers =
                self.fleet.in_centre(centre).filter(|host| host.recorded.watcher).count();
            assert_eq!(watchers, hosts.min(2));
        }
    }

    fn check_sums(&self) {
        for host in self.fleet.hosts.values() {
            let rated = host.recorded.tallies.get(&version("1")).map_or(0, |tally| tally.rated);
            assert!(rated <= self.total_rated, "{} of {} counted", rated, self.total_rated);
        }
    }
}

fn run(seed: u64, steps: &[(u8, u16)]) -> BTreeMap<Fault, u64> {
    let mut run = Run::new(seed);
    for (fault, choice) in steps {
        let pause = Duration::from_millis(u64::from(*choice) % 3000);
        run.inject(FAULTS[usize::from(*fault) % FAULTS.len()], *choice);
        run.fleet.run(pause);
        run.check_sums();
    }
    run.settle();
    run.check_agreement();
    run.steps_by_fault
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(40),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn hosts_agree_after_any_faults(seed in any::<u64>(), steps in vec(any::<(u8, u16)>(), 30..60)) {
        run(seed, &steps);
    }
}

/// Long run: `cargo test --release -p foxtailhoist-peers --test random -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn hosts_agree_after_any_faults_in_a_long_run() {
    let config = ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let counts = Mutex::new(BTreeMap::<Fault, u64>::new());
    let strategy = (any::<u64>(), vec(any::<(u8, u16)>(), 30..120));
    let outcome = TestRunner::new(config).run(&strategy, |(seed, steps)| {
        for (fault, count) in run(seed, &steps) {
            *counts.lock().expect("the lock is not poisoned").entry(fault).or_default() += count;
        }
        Ok(())
    });
    let counts = counts.into_inner().expect("the lock is not poisoned");
    println!("steps={} faults={counts:?}", counts.values().sum::<u64>());
    outcome.expect("no run breaks an invariant");
}
