//! Evidence on a new version from its answers: failures and paces, over all routes and on each of them.
//!
//! Each test is a sum of log likelihood ratios, so the sums of several hosts add up. The server with the strongest
//! evidence against the version is left out: a single bad server is not a bad version.

use std::collections::BTreeMap;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::EntryHostId;

use crate::judge::sequential::ALTERNATIVE_COUNT;
use crate::judge::sequential::MixtureTest;
use crate::judge::sequential::OutcomeCount;
use crate::shift::baseline::Band;
use crate::shift::shared::HostEvidence;
use crate::shift::shared::PeerSums;
use crate::shift::shared::scaled;
use crate::shift::shared::scaled_ratio;

/// Evidence on one version.
#[derive(Debug, Default)]
pub struct Evidence {
    failures: RouteTests,
    slowness: RouteTests,
    floor: FloorTest,
    /// Whether something was added since the evidence was last sent to peers.
    has_news: bool,
}

/// Test for a version that is slower at its fastest. Load on the servers in use may hide that in the upper bands, since a
/// trial's servers are less busy. It only keeps a version from being found good.
#[derive(Debug, Default)]
struct FloorTest {
    own: f64,
    peers: f64,
}

/// What was found worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Failures,
    Slowness,
}

/// A conclusive test.
#[derive(Clone, Debug, PartialEq)]
pub struct Conclusion {
    pub cause: Cause,
    /// `None` if over all routes.
    pub route: Option<String>,
    pub log_evidence: f64,
    pub servers: usize,
}

/// One test over all routes, and one for each route.
#[derive(Debug, Default)]
struct RouteTests {
    all: PooledTest,
    /// All routes at the other hosts.
    peers: ServerTests,
    routes: BTreeMap<String, PooledTest>,
}

/// Test from the first answer on, and test of the latest answers.
#[derive(Debug, Default)]
struct PooledTest {
    total: ServerTests,
    /// Restarted whenever the evidence is in the version's favour, so that earlier good answers do not hide that it
    /// turned bad.
    latest: ServerTests,
}

/// One test with the part of each server.
#[derive(Clone, Debug, Default)]
pub struct ServerTests {
    servers: BTreeMap<BackendServerId, MixtureTest>,
    sum: MixtureTest,
}

/// Log evidence at which a version is withdrawn: ln 100 for a false alarm rate of 1 %, and ln 4 because each of two
/// findings is tested over all routes and by route.
const WITHDRAW_LOG_THRESHOLD: f64 = 6.0;
/// Additional evidence that the latest answers need, as their test restarts with about every tenth answer.
const LATEST_LOG_MARGIN: f64 = 3.0;
/// Log evidence for a failure share below the reference plus 0.16, or for a usual pace, at which a version is good.
const GOOD_LOG_THRESHOLD: f64 = -2.0;
/// Alternative that is ruled out before a version is good: an excess of 0.16 failures, or half of the answers several
/// times slower.
const RULED_OUT: usize = 1;
/// Log evidence of the floor test at which a version is not slower at its fastest.
const NOT_SLOWER_LOG_THRESHOLD: f64 = -8.0;

impl Evidence {
    /// Adds the end of an answer on `route`, where a share `reference` of the other versions' answers is bad.
    pub fn add_end(&mut self, route: &str, server: &BackendServerId, is_bad: bool, reference: f64) {
        let mut test = MixtureTest::default();
        test.add(OutcomeCount { bad: u64::from(is_bad), total: 1 }, reference);
        self.failures.add(route, server, &test);
        self.has_news = true;
    }

    pub fn add_pace(&mut self, route: &str, server: &BackendServerId, band: Band) {
        self.slowness.add(route, server, &MixtureTest::from_log_ratios(band_ratios(band)));
        self.floor.own += floor_ratio(band);
        self.has_news = true;
    }

    /// The first test that finds the version worse.
    #[must_use]
    pub fn conclusion(&self) -> Option<Conclusion> {
        let tests = [(Cause::Failures, &self.failures), (Cause::Slowness, &self.slowness)];
        tests.into_iter().find_map(|(cause, tests)| tests.conclusion(cause))
    }

    /// Whether the answers are unlikely for a version that is clearly worse.
    #[must_use]
    pub fn is_good(&self) -> bool {
        let failures = self.failures.sum();
        let slowness = self.slowness.sum();
        let is_measured = slowness.log_ratios() != MixtureTest::default().log_ratios();
        let is_fast = !is_measured
            || (slowness.log_ratios()[RULED_OUT] <= GOOD_LOG_THRESHOLD
                && self.floor.sum() <= NOT_SLOWER_LOG_THRESHOLD);
        failures.log_ratios()[RULED_OUT] <= GOOD_LOG_THRESHOLD && is_fast
    }

    /// Log evidence for failures and for slowness over all routes and hosts.
    #[must_use]
    pub fn log_evidence(&self) -> (f64, f64) {
        (self.failures.fleet().log_evidence(), self.slowness.fleet().log_evidence())
    }

    /// This host's evidence for its peers, if there is any since the last call.
    pub fn take_news(&mut self, host: &EntryHostId, updated_ms: u64) -> Option<HostEvidence> {
        std::mem::take(&mut self.has_news).then(|| HostEvidence {
            host: host.clone(),
            updated_ms,
            failures: scaled(&self.failures.all.total),
            slowness: scaled(&self.slowness.all.total),
            floor: scaled_ratio(self.floor.own),
        })
    }

    /// Replaces the other hosts' sums.
    pub fn set_peers(&mut self, sums: PeerSums) {
        self.failures.peers = sums.failures;
        self.slowness.peers = sums.slowness;
        self.floor.peers = sums.floor;
    }
}

impl FloorTest {
    /// Sum over all hosts.
    fn sum(&self) -> f64 {
        self.own + self.peers
    }
}

impl RouteTests {
    fn add(&mut self, route: &str, server: &BackendServerId, increment: &MixtureTest) {
        self.all.add(server, increment);
        self.routes.entry(route.to_owned()).or_default().add(server, increment);
    }

    /// Sum over all routes and hosts.
    fn sum(&self) -> MixtureTest {
        self.all.total.sum.plus(&self.peers.sum)
    }

    fn fleet(&self) -> ServerTests {
        self.all.total.plus(&self.peers)
    }

    /// The test over all routes and hosts, if it is conclusive.
    fn conclusive_fleet(&self) -> Option<ServerTests> {
        let may_be = self.sum().log_evidence() >= WITHDRAW_LOG_THRESHOLD;
        may_be.then(|| self.fleet()).filter(|fleet| fleet.is_conclusive(WITHDRAW_LOG_THRESHOLD))
    }

    fn conclusion(&self, cause: Cause) -> Option<Conclusion> {
        if let Some(fleet) = self.conclusive_fleet() {
            let log_evidence = fleet.log_evidence();
            return Some(Conclusion {
                cause,
                route: None,
                log_evidence,
                servers: fleet.servers.len(),
            });
        }
        let route_threshold = WITHDRAW_LOG_THRESHOLD + (self.routes.len().max(1) as f64).ln();
        let all = std::iter::once((None, &self.all, WITHDRAW_LOG_THRESHOLD));
        let routes =
            self.routes.iter().map(|(route, test)| (Some(route.clone()), test, route_threshold));
        all.chain(routes).find_map(|(route, test, threshold)| {
            let conclusive = test.conclusive(threshold)?;
            let log_evidence = conclusive.log_evidence();
            Some(Conclusion { cause, route, log_evidence, servers: conclusive.servers.len() })
        })
    }
}

impl PooledTest {
    fn add(&mut self, server: &BackendServerId, increment: &MixtureTest) {
        self.total.add(server, increment);
        self.latest.add(server, increment);
        if self.latest.sum.log_evidence() <= 0.0 {
            self.latest = ServerTests::default();
        }
    }

    fn conclusive(&self, threshold: f64) -> Option<&ServerTests> {
        if self.total.is_conclusive(threshold) {
            return Some(&self.total);
        }
        let is_latest = self.latest.is_conclusive(threshold + LATEST_LOG_MARGIN);
        is_latest.then_some(&self.latest)
    }
}

impl ServerTests {
    pub fn servers(&self) -> impl Iterator<Item = (&BackendServerId, &MixtureTest)> {
        self.servers.iter()
    }

    fn plus(&self, other: &ServerTests) -> ServerTests {
        let mut sum = self.clone();
        for (server, test) in &other.servers {
            sum.add(server, test);
        }
        sum
    }

    pub fn add(&mut self, server: &BackendServerId, increment: &MixtureTest) {
        let own = self.servers.entry(server.clone()).or_default();
        *own = own.plus(increment);
        self.sum = self.sum.plus(increment);
    }

    fn is_conclusive(&self, threshold: f64) -> bool {
        self.sum.log_evidence() >= threshold && self.log_evidence() >= threshold
    }

    /// Evidence without the server that contributes most to it.
    fn log_evidence(&self) -> f64 {
        let without = self.servers.values().map(|server| self.sum.minus(server).log_evidence());
        without.fold(self.sum.log_evidence(), f64::min)
    }
}

/// Log likelihood ratios of a pace. Of the baseline's paces 0.5 are below the median, 0.4 in the upper and 0.1 in the top
/// band; the alternatives are versions of which a third, half, or all answers are several times slower, and one of which all
/// answers are somewhat slower.
fn band_ratios(band: Band) -> [f64; ALTERNATIVE_COUNT] {
    let (baseline, alternatives) = match band {
        Band::Lowest | Band::Lower => (0.5, [0.37, 0.27, 0.05, 0.1]),
        Band::Upper => (0.4, [0.3, 0.23, 0.15, 0.6]),
        Band::Top => (0.1, [0.33, 0.5, 0.8, 0.3]),
    };
    alternatives.map(|alternative: f64| (alternative / baseline).ln())
}

/// Log likelihood ratio of a pace for a version that is slower at its fastest, by the share of paces in the lowest band.
fn floor_ratio(band: Band) -> f64 {
    const BASELINE: f64 = 0.24;
    const SLOWER: f64 = 0.03;
    match band {
        Band::Lowest => (SLOWER / BASELINE).ln(),
        Band::Lower | Band::Upper | Band::Top => ((1.0 - SLOWER) / (1.0 - BASELINE)).ln(),
    }
}
