//! Random sequences of all faults, with invariants enforced and a full check at the end.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use foxtailhoist_journal::event::Event;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ClaimResult;
use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use world::SIX_HOSTS;
use world::StoreFaults;
use world::World;
use world::ran_outcome;
use world::short_retention;

const MINUTE: Duration = Duration::from_secs(60);
const CASES: u32 = 24;
const STEPS: u32 = 400;

/// One step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Bill,
    Claim,
    RetryClaim,
    Wait,
    LongWait,
    StoreDown,
    StoreSlow,
    StoreLosesResponses,
    StoreLate,
    StoreStale,
    StoreRecovered,
    Kill,
    Replace,
    ReplaceAll,
    Stop,
    Pause,
    Resume,
    SplitViews,
    FullView,
    CutLink,
    RestoreLinks,
}

/// Steps by weight.
const STEPS_BY_WEIGHT: [(Step, u32); 21] = [
    (Step::Bill, 60),
    (Step::Claim, 40),
    (Step::RetryClaim, 20),
    (Step::Wait, 60),
    (Step::LongWait, 3),
    (Step::StoreDown, 3),
    (Step::StoreSlow, 2),
    (Step::StoreLosesResponses, 3),
    (Step::StoreLate, 3),
    (Step::StoreStale, 3),
    (Step::StoreRecovered, 12),
    (Step::Kill, 2),
    (Step::Replace, 3),
    (Step::ReplaceAll, 1),
    (Step::Stop, 2),
    (Step::Pause, 3),
    (Step::Resume, 4),
    (Step::SplitViews, 2),
    (Step::FullView, 4),
    (Step::CutLink, 4),
    (Step::RestoreLinks, 4),
];

struct Run {
    world: World,
    rng: ChaCha8Rng,
    next_request: u128,
    handled_claims: usize,
    counts: BTreeMap<Step, u64>,
}

impl Run {
    fn new(seed: u64) -> Run {
        Run {
            world: World::six_hosts(seed, |cfg| short_retention(cfg).shards(2)).with_layout(2, 1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_request: 1,
            handled_claims: 0,
            counts: BTreeMap::new(),
        }
    }

    fn choose_step(&mut self) -> Step {
        let total: u32 = STEPS_BY_WEIGHT.iter().map(|(_, weight)| weight).sum();
        let mut at = self.rng.random_range(0..total);
        for (step, weight) in STEPS_BY_WEIGHT {
            if at < weight {
                return step;
            }
            at -= weight;
        }
        Step::Wait
    }

    fn random_host(&mut self) -> String {
        SIX_HOSTS[self.rng.random_range(0..SIX_HOSTS.len())].0.to_owned()
    }

    fn step(&mut self, step: Step) {
        *self.counts.entry(step).or_default() += 1;
        let host = self.random_host();
        let request = self.next_request;
        let faults = StoreFaults::default();
        match step {
            Step::Bill => {
                self.next_request += 1;
                self.world.bill(&host, request);
            }
            Step::Claim => {
                self.next_request += 1;
                self.world.claim(&host, &format!("k{request}"), request);
            }
            Step::RetryClaim => {
                let back = self.rng.random_range(0..request.min(30));
                self.world.claim(&host, &format!("k{}", request - back), request - back);
            }
            Step::Wait => self.wait(Duration::from_millis(500)),
            Step::LongWait => self.wait(MINUTE * 2),
            Step::StoreDown => self.world.faults = StoreFaults { down: true, ..faults },
            Step::StoreSlow => {
                self.world.faults = StoreFaults { call_time: Duration::from_secs(2), ..faults };
            }
            Step::StoreLosesResponses => {
                self.world.faults = StoreFaults { lost_responses: 0.3, ..faults };
            }
            Step::StoreLate => {
                let late_by = Duration::from_secs(self.rng.random_range(4..200));
                self.world.faults = StoreFaults { late_effects: 0.3, late_by, ..faults };
            }
            Step::StoreStale => self.world.faults = StoreFaults { stale_reads: 0.5, ..faults },
            Step::StoreRecovered => self.world.faults = faults,
            Step::Kill => self.kill_one(&host),
            Step::Replace => self.replace(&host),
            Step::ReplaceAll => self.replace_all(),
            Step::Stop => self.world.event(&host, Event::Stop),
            Step::Pause => self.world.pause(&host),
            Step::Resume => self.resume_all(),
            Step::SplitViews => self.split_views(),
            Step::FullView => self.world.announce(),
            Step::CutLink => {
                let other = self.random_host();
                self.world.cut_links.insert((host, other));
            }
            Step::RestoreLinks => self.world.cut_links.clear(),
        }
        self.complete_claims();
    }

    fn wait(&mut self, time: Duration) {
        let mut left = time;
        while left > Duration::ZERO {
            let part = left.min(Duration::from_millis(100));
            self.world.run(part);
            self.complete_claims();
            left -= part;
        }
    }

    /// Ends requests whose claims were newly granted: most ran, some did not, and some get no outcome.
    fn complete_claims(&mut self) {
        let notifications: Vec<_> = self.world.claims[self.handled_claims..].to_vec();
        self.handled_claims = self.world.claims.len();
        for notification in notifications
            .into_iter()
            .filter(|notification| notification.value.1 == ClaimResult::Granted)
        {
            let outcome = match self.rng.random_range(0..10) {
                0..6 => ran_outcome(),
                6..9 => ClaimOutcome::NotRun,
                _ => continue,
            };
            let key = notification.value.0.idempotency_key;
            self.world.outcome(&notification.host, &key, notification.request, outcome);
        }
    }

    /// Kills a host if all six are running.
    fn kill_one(&mut self, host: &str) {
        self.restore_replicas();
        if self.world.hosts().len() == SIX_HOSTS.len() {
            self.world.kill(host);
            self.world.announce();
        }
        self.wait(Duration::from_secs(2));
    }

    /// Gives the hosts time to restore lost replicas, since three concurrent failures may lose a replicated bill.
    fn restore_replicas(&mut self) {
        self.resume_all();
        self.world.cut_links.clear();
        self.world.announce();
        self.wait(Duration::from_secs(2));
    }

    fn replace(&mut self, host: &str) {
        self.restore_replicas();
        let missing = SIX_HOSTS.into_iter().find(|(host, _)| !self.world.is_alive(host));
        let data_centre = SIX_HOSTS.into_iter().find(|(other, _)| *other == host).map(|(_, at)| at);
        match missing {
            Some((host, data_centre)) => self.world.start_host(host, data_centre),
            None => self.world.start_host(host, data_centre.expect("one of the six")),
        }
        self.world.announce();
        self.wait(Duration::from_secs(2));
    }

    /// Replaces all hosts once every entry is committed, as a graceful stop by an operator does.
    fn replace_all(&mut self) {
        self.recover();
        for (host, data_centre) in SIX_HOSTS {
            self.world.start_host(host, data_centre);
        }
        self.world.announce();
    }

    fn resume_all(&mut self) {
        for (host, _) in SIX_HOSTS {
            self.world.resume(host);
        }
    }

    fn split_views(&mut self) {
        let hosts = self.world.hosts();
        let (left, right) = hosts.split_at(hosts.len() / 2);
        for part in [left, right] {
            let alive: Vec<&str> = part.iter().map(String::as_str).collect();
            for host in &alive {
                self.world.announce_to(host, &alive);
            }
        }
    }

    /// Ends all faults and waits until every entry is committed.
    fn recover(&mut self) {
        self.world.faults = StoreFaults::default();
        self.world.cut_links.clear();
        self.resume_all();
        self.world.announce();
        self.wait(MINUTE);
        for (host, data_centre) in SIX_HOSTS {
            if !self.world.is_alive(host) {
                self.world.start_host(host, data_centre);
            }
        }
        self.world.announce();
        self.wait(MINUTE);
        self.world.run_until_drained(MINUTE * 10);
    }
}

/// Runs random steps from a seed, checks the results, and returns how often each step was taken.
fn run(seed: u64, steps: u32) -> BTreeMap<Step, u64> {
    let mut run = Run::new(seed);
    for _ in 0..steps {
        let step = run.choose_step();
        run.step(step);
    }
    run.recover();
    run.world.check();
    run.counts
}

#[test]
fn random_faults_grant_no_key_twice_and_bill_each_answer_once() {
    let config = ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    runner
        .run(&proptest::num::u64::ANY, |seed| {
            run(seed, STEPS);
            Ok(())
        })
        .expect("every run upholds the invariants");
}

#[test]
#[ignore = "a million steps; run in release"]
fn a_million_random_steps() {
    const LONG_CASES: u64 = 2_600;
    let mut counts: BTreeMap<Step, u64> = BTreeMap::new();
    for seed in 0..LONG_CASES {
        for (step, count) in run(seed, STEPS) {
            *counts.entry(step).or_default() += count;
        }
    }
    println!("{} steps: {counts:?}", counts.values().sum::<u64>());
}
