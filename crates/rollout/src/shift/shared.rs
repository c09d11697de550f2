//! Evidence that entry hosts share while a service's traffic shifts.
//!
//! Each host sees a small part of a new version's answers. Hosts therefore pass on what they know to a few others at a
//! time, and every host adds up the latest evidence of all.

use std::collections::BTreeMap;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::EntryHostId;
use serde::Deserialize;
use serde::Serialize;

use crate::judge::sequential::ALTERNATIVE_COUNT;
use crate::judge::sequential::MixtureTest;
use crate::shift::evidence::ServerTests;

/// Rounds in which an update is passed on after it arrived.
const ROUNDS_PER_UPDATE: u8 = 3;
/// Maximum size of the evidence of all hosts; what exceeds it is ignored.
const MAX_EVIDENCE_BYTES: usize = 8 * 1024 * 1024;
/// Log likelihood ratios are sent in hundredths.
const SCALE: f64 = 100.0;
/// Largest log likelihood ratio accepted from a peer, in hundredths.
const MAX_SCALED: i32 = 100_000;

/// Log likelihood ratios of a test's alternatives, in hundredths.
type ScaledRatios = [i32; ALTERNATIVE_COUNT];

/// One host's evidence on the target of a shift, over all routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEvidence {
    pub host: EntryHostId,
    /// Unix milliseconds of the host's clock; the latest evidence of a host replaces what it sent before.
    pub updated_ms: u64,
    pub failures: BTreeMap<BackendServerId, ScaledRatios>,
    pub slowness: BTreeMap<BackendServerId, ScaledRatios>,
    /// Log likelihood ratio of the floor test, in hundredths.
    #[serde(default)]
    pub floor: i32,
}

/// Sums of the tests at several hosts.
#[derive(Debug, Default)]
pub struct PeerSums {
    pub failures: ServerTests,
    pub slowness: ServerTests,
    pub floor: f64,
}

/// Latest evidence of all hosts.
#[derive(Debug, Default)]
pub struct SharedEvidence {
    hosts: BTreeMap<EntryHostId, (HostEvidence, u8)>,
    bytes: usize,
}

impl HostEvidence {
    /// Approximate size in memory.
    fn bytes(&self) -> usize {
        let tests = self.failures.keys().chain(self.slowness.keys());
        let bytes: usize = tests.map(|server| server.len() + size_of::<ScaledRatios>()).sum();
        self.host.len() + size_of::<HostEvidence>() + bytes
    }
}

impl SharedEvidence {
    /// Adds evidence; returns whether it is newer than what is known of its host, and kept.
    pub fn merge(&mut self, evidence: HostEvidence) -> bool {
        let known = self.hosts.get(&evidence.host);
        if known.is_some_and(|(known, _)| known.updated_ms >= evidence.updated_ms) {
            return false;
        }
        let known_bytes = known.map_or(0, |(known, _)| known.bytes());
        let bytes = self.bytes - known_bytes + evidence.bytes();
        if bytes > MAX_EVIDENCE_BYTES {
            return false;
        }
        self.bytes = bytes;
        self.hosts.insert(evidence.host.clone(), (evidence, ROUNDS_PER_UPDATE));
        true
    }

    /// Time of the host's next update; later than that of its latest one even if its clock was set back.
    #[must_use]
    pub fn next_update(&self, host: &str, now_ms: u64) -> u64 {
        let latest = self.hosts.get(host).map(|(evidence, _)| evidence.updated_ms);
        latest.map_or(now_ms, |latest| now_ms.max(latest + 1))
    }

    /// Evidence to pass on in this round.
    pub fn take_news(&mut self) -> Vec<HostEvidence> {
        let mut news = Vec::new();
        for (evidence, rounds) in self.hosts.values_mut() {
            if *rounds > 0 {
                *rounds -= 1;
                news.push(evidence.clone());
            }
        }
        news
    }

    /// Sums of the tests at all hosts but `own`.
    #[must_use]
    pub fn sums(&self, own: &str) -> PeerSums {
        let mut sums = PeerSums::default();
        for (host, (evidence, _)) in &self.hosts {
            if host != own {
                add(&mut sums.failures, &evidence.failures);
                add(&mut sums.slowness, &evidence.slowness);
                sums.floor += unscaled_ratio(evidence.floor);
            }
        }
        sums
    }
}

/// Converts a test to what is sent.
#[must_use]
pub fn scaled(tests: &ServerTests) -> BTreeMap<BackendServerId, ScaledRatios> {
    tests
        .servers()
        .map(|(server, test)| (server.clone(), test.log_ratios().map(scaled_ratio)))
        .collect()
}

/// Converts a log likelihood ratio to what is sent.
#[must_use]
pub fn scaled_ratio(ratio: f64) -> i32 {
    (ratio * SCALE) as i32
}

fn unscaled_ratio(ratio: i32) -> f64 {
    f64::from(ratio.clamp(-MAX_SCALED, MAX_SCALED)) / SCALE
}

fn add(sums: &mut ServerTests, servers: &BTreeMap<BackendServerId, ScaledRatios>) {
    for (server, ratios) in servers {
        let ratios = ratios.map(unscaled_ratio);
        sums.add(server, &MixtureTest::from_log_ratios(ratios));
    }
}
