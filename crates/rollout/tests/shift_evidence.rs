//! Verdicts on a new version from failures and paces, by simulation of the answers that one or several hosts see.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Pace;
use foxtailhoist_model::PaceKind;
use foxtailhoist_model::StoreRevision;
use foxtailhoist_rollout::shift::Shift;
use foxtailhoist_rollout::shift::ShiftOrder;
use foxtailhoist_rollout::shift::Verdict;
use foxtailhoist_rollout::shift::baseline::Baseline;
use foxtailhoist_rollout::shift::baseline::Finding;
use foxtailhoist_rollout::shift::baseline::Observation;
use foxtailhoist_rollout::shift::shared::HostEvidence;
use foxtailhoist_rollout::shift::shared::SharedEvidence;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const HOSTS: usize = 6;
const NEW_SERVERS: usize = 12;
/// Answers of the new version at each host between two exchanges of evidence.
const STEPS_PER_ROUND: usize = 4;
/// Answers of the old version before the first of the new one.
const WARM_ANSWERS: usize = 60;

/// How a version answers.
#[derive(Clone, Copy)]
struct Version {
    /// Share of failures.
    failures: f64,
    /// Share of answers that are slow, and by which factor.
    slow: (f64, f64),
    /// Number of answers after which the failures and the slowness start.
    from: usize,
    /// Only this route is affected.
    route: Option<usize>,
    /// Only this server is affected.
    server: Option<usize>,
    /// How much load may lengthen an answer, as a multiple of its time on an idle server, and how rarely it does.
    scatter: (f64, i32),
}

const GOOD: Version = Version {
    failures: 0.0,
    slow: (0.0, 1.0),
    from: 0,
    route: None,
    server: None,
    scatter: (2.0, 2),
};
/// The version in use on busy servers, and a good one that is tried on less busy ones.
const BUSY: Version = Version { scatter: (6.0, 3), ..GOOD };
const LESS_BUSY: Version = Version { scatter: (1.5, 2), ..GOOD };

/// One host's view of a shift.
struct Host {
    shift: Shift,
    baseline: Baseline,
    rng: ChaCha8Rng,
    now: Instant,
    old: Version,
    answers: usize,
    /// Bad answers of the new version.
    bad: u64,
}

impl Host {
    fn new(seed: u64, old: Version) -> Host {
        let now = Instant::now();
        let order = ShiftOrder {
            service: "llm".to_owned(),
            target: "v2".to_owned(),
            duration: Duration::from_secs(24),
            phase: None,
            started_ms: None,
            revision: StoreRevision::default(),
        };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let shift = Shift::new(order, now, 0);
        let mut host =
            Host { shift, baseline: Baseline::default(), rng, now, old, answers: 0, bad: 0 };
        for _ in 0..WARM_ANSWERS {
            host.answer("v1", old, 1.0);
        }
        host
    }

    /// One answer of the new version beside several of the old one. `load` multiplies all times.
    fn step(&mut self, new: Version, load: f64) {
        for _ in 0..5 {
            self.answer("v1", self.old, load);
        }
        let is_late = self.answers < new.from;
        self.answers += 1;
        self.answer("v2", if is_late { GOOD } else { new }, load);
    }

    fn answer(&mut self, id: &str, version: Version, load: f64) {
        self.now += Duration::from_millis(20);
        let route = self.rng.random_range(0..3);
        let server = self.rng.random_range(0..NEW_SERVERS);
        let is_affected = version.route.is_none_or(|only| only == route)
            && version.server.is_none_or(|only| only == server);
        let is_bad = is_affected && self.rng.random_bool(version.failures);
        let is_slow = !is_bad && is_affected && self.rng.random_bool(version.slow.0);
        if id == "v2" {
            self.bad += u64::from(is_bad || is_slow);
        }
        self.observe(id, route, server, Finding::Ended { is_bad });
        if is_bad {
            return;
        }
        let factor = if is_slow { version.slow.1 } else { 1.0 };
        let millis = 25.0
            * load
            * factor
            * (1.0 + self.rng.random::<f64>().powi(version.scatter.1) * version.scatter.0);
        let pace = Pace { kind: PaceKind::EventGap, millis, is_lower_bound: false };
        self.observe(id, route, server, Finding::Pace { model: Some("m".to_owned()), pace });
    }

    fn take_bad(&mut self) -> u64 {
        std::mem::take(&mut self.bad)
    }

    fn observe(&mut self, version: &str, route: usize, server: usize, finding: Finding) {
        let observation = Observation {
            route: format!("route-{route}"),
            version: version.to_owned(),
            server: format!("{version}-{server}"),
            finding,
        };
        self.shift.observe(&observation, &mut self.baseline, self.now);
    }
}

/// One round: each host passes its news on to two others.
fn exchange(hosts: &mut [Host]) {
    for from in 0..hosts.len() {
        let news = hosts[from].shift.news(&host_name(from), hosts[from].answers as u64);
        for _ in 0..2 {
            let to = hosts[from].rng.random_range(0..HOSTS);
            hosts[to].shift.merge(news.clone(), &host_name(to));
        }
    }
}

fn host_name(number: usize) -> String {
    format!("host-{number}")
}

/// Bad answers of the new version at all hosts until one of them withdraws it, up to `most`.
fn bad_answers_until_withdrawn(seed: u64, version: Version, most: u64) -> Option<u64> {
    let mut hosts: Vec<Host> =
        (0..HOSTS).map(|host| Host::new(seed * HOSTS as u64 + host as u64, GOOD)).collect();
    let mut bad = 0;
    let mut step = 0;
    while bad <= most {
        step += 1;
        for host in &mut hosts {
            host.step(version, 1.0);
            bad += host.take_bad();
        }
        if step % STEPS_PER_ROUND == 0 {
            exchange(&mut hosts);
        }
        if hosts.iter().any(|host| host.shift.is_withdrawn()) {
            return Some(bad);
        }
    }
    None
}

// Guards against a slow version that is never withdrawn because only failures count.
#[rstest]
#[case::all_by_8(Version { slow: (1.0, 8.0), ..GOOD })]
#[case::all_by_3(Version { slow: (1.0, 3.0), ..GOOD })]
#[case::all_by_20(Version { slow: (1.0, 20.0), ..GOOD })]
#[case::half_by_8(Version { slow: (0.5, 8.0), ..GOOD })]
#[case::a_third_by_20(Version { slow: (0.3, 20.0), ..GOOD })]
#[case::one_route(Version { slow: (1.0, 8.0), route: Some(1), ..GOOD })]
#[case::late(Version { slow: (1.0, 8.0), from: 60, ..GOOD })]
#[case::failures(Version { failures: 0.5, ..GOOD })]
#[case::few_failures(Version { failures: 0.2, ..GOOD })]
#[case::failures_on_one_route(Version { failures: 0.6, route: Some(2), ..GOOD })]
#[case::late_failures(Version { failures: 0.5, from: 60, ..GOOD })]
fn a_bad_version_is_withdrawn_before_its_50th_bad_answer(#[case] version: Version) {
    let kept = (0..50).filter(|seed| bad_answers_until_withdrawn(*seed, version, 50).is_none());
    let kept: Vec<u64> = kept.collect();
    assert!(kept.is_empty(), "not withdrawn with seeds {kept:?}");
}

// Guards against a version that is somewhat slower passing as good because its servers are less busy than the others.
#[test]
fn a_slower_version_on_less_busy_servers_is_not_found_good() {
    let slower = Version { slow: (1.0, 1.65), ..LESS_BUSY };
    assert_eq!(shifts_found_good(BUSY, slower), 0);
}

// Guards against a good version that cannot be told from a slower one in time.
#[rstest]
#[case::as_busy(BUSY)]
#[case::less_busy(LESS_BUSY)]
fn a_good_version_beside_busy_servers_is_found_good(#[case] new: Version) {
    let found = shifts_found_good(BUSY, new);
    assert!(found >= 49, "{found} of 50 shifts");
}

/// Number of shifts, of 50, in which some host finds the new version good within 120 of its answers.
fn shifts_found_good(old: Version, new: Version) -> usize {
    let is_found_good = |seed: u64| {
        let mut hosts: Vec<Host> =
            (0..HOSTS).map(|host| Host::new(seed * HOSTS as u64 + host as u64, old)).collect();
        (0..20).any(|step| {
            hosts.iter_mut().for_each(|host| host.step(new, 1.0));
            if step % STEPS_PER_ROUND == 0 {
                exchange(&mut hosts);
            }
            step >= 8 && hosts.iter().any(|host| host.shift.verdict() == Verdict::Good)
        })
    };
    (0..50).filter(|seed| is_found_good(*seed)).count()
}

// A good version must not be withdrawn because of load, its route's usual failures or one slow or failing server.
#[rstest]
#[case::good(GOOD, GOOD)]
#[case::same_failures(Version { failures: 0.2, ..GOOD }, Version { failures: 0.2, ..GOOD })]
#[case::same_failures_on_one_route(
    Version { failures: 0.9, route: Some(0), ..GOOD },
    Version { failures: 0.9, route: Some(0), ..GOOD }
)]
#[case::one_slow_server(GOOD, Version { slow: (1.0, 20.0), server: Some(3), ..GOOD })]
#[case::one_failing_server(GOOD, Version { failures: 1.0, server: Some(3), ..GOOD })]
#[case::busy(BUSY, BUSY)]
#[case::less_busy(BUSY, LESS_BUSY)]
#[case::same_slow_answers(Version { slow: (0.2, 8.0), ..GOOD }, Version { slow: (0.2, 8.0), ..GOOD })]
fn a_good_version_is_withdrawn_in_at_most_one_shift_of_a_hundred(
    #[case] old: Version,
    #[case] new: Version,
) {
    let mut withdrawn = Vec::new();
    for seed in 0..200 {
        let mut hosts: Vec<Host> =
            (0..HOSTS).map(|host| Host::new(seed * HOSTS as u64 + host as u64, old)).collect();
        for step in 0..60 {
            let load = if (25..40).contains(&step) { 3.0 } else { 1.0 };
            hosts.iter_mut().for_each(|host| host.step(new, load));
            if step % STEPS_PER_ROUND == 0 {
                exchange(&mut hosts);
            }
        }
        if hosts.iter().any(|host| host.shift.is_withdrawn()) {
            withdrawn.push(seed);
        }
    }
    assert!(withdrawn.len() <= 2, "withdrawn with seeds {withdrawn:?}");
}

#[test]
fn a_good_version_is_found_good() {
    for seed in 0..50 {
        let mut host = Host::new(seed, GOOD);
        for _ in 0..40 {
            host.step(GOOD, 1.0);
        }
        assert_eq!(host.shift.verdict(), Verdict::Good, "seed {seed}");
    }
}

// Each host saw too few answers to find out that a third of them is slow (issue 18).
#[test]
fn hosts_that_saw_nothing_withdraw_on_the_evidence_of_others() {
    let mut hosts: Vec<Host> = (0..HOSTS).map(|host| Host::new(host as u64, GOOD)).collect();
    let slow = Version { slow: (1.0, 8.0), ..GOOD };
    for _ in 0..2 {
        hosts[1..].iter_mut().for_each(|host| host.step(slow, 1.0));
    }
    assert!(!hosts.iter().any(|host| host.shift.is_withdrawn()));
    for _ in 0..4 {
        exchange(&mut hosts);
    }
    assert!(hosts[0].shift.is_withdrawn());
}

#[test]
fn evidence_that_arrives_twice_or_late_counts_once() {
    let mut host = Host::new(1, GOOD);
    for _ in 0..10 {
        host.step(GOOD, 1.0);
    }
    let early = host.shift.news(&host_name(1), 1);
    host.step(GOOD, 1.0);
    let late = host.shift.news(&host_name(1), 2);
    let mut once = Host::new(2, GOOD);
    once.shift.merge(late.clone(), &host_name(2));
    let mut often = Host::new(2, GOOD);
    for news in [&early, &late, &early, &late] {
        often.shift.merge(news.clone(), &host_name(2));
    }
    let expected = once.shift.evidence().log_evidence();
    assert!(expected.0 < 0.0 && expected.1 < 0.0, "{expected:?}");
    assert_eq!(often.shift.evidence().log_evidence(), expected);
}

/// Guards against a host that keeps, and passes on, evidence of any number of hosts that do not exist.
#[rstest]
#[case::many_hosts(20_000, 20)]
#[case::many_servers(40, 20_000)]
fn the_evidence_that_a_host_keeps_is_bounded(#[case] hosts: usize, #[case] servers: usize) {
    let mut shared = SharedEvidence::default();
    let failures: BTreeMap<String, _> =
        (0..servers).map(|number| (format!("server-{number:06}"), [0; 4])).collect();
    for number in 0..hosts {
        shared.merge(HostEvidence {
            host: format!("host-{number}"),
            updated_ms: 1,
            failures: failures.clone(),
            slowness: BTreeMap::new(),
            floor: 0,
        });
    }
    let news = shared.take_news();
    let kept: usize = news.iter().map(|evidence| evidence.failures.len()).sum();
    // A test of a server takes at least 16 bytes for its ratios, besides its name.
    assert!(kept <= 8 * 1024 * 1024 / 29, "{kept} tests kept");
    assert!(!news.is_empty());
}
