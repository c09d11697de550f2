//! Tests versions on ratings, failures and latency, and vetoes bad ones.
//!
//! A sequential test compares a canary with the settled versions of its model; a settled version is tested for a
//! change against its own long-term shares. A veto needs neither store nor lease. It is monotonic: only a higher
//! epoch, which starts when an operator clears the veto, lifts it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Stage;
use foxtailhoist_model::Tally;

use crate::event::Effect;
use crate::judge::evidence::Increment;
use crate::judge::version::Reference;
use crate::judge::version::VersionEvidence;
use crate::judge::version::VetoCause;

pub mod decaying_share;
pub mod evidence;
pub mod sequential;
pub mod version;

/// Result of the tests of one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough evidence.
    Undecided,
    /// No worse than the settled versions, within the tolerance.
    NotWorse,
    Vetoed,
}

/// Evidence and vetoes of all versions in the configuration, and of some that are not in it yet.
#[derive(Debug, Default)]
pub struct Judge {
    preset: PresetId,
    versions: BTreeMap<ModelVersion, JudgedVersion>,
}

/// Evidence and veto of one version.
#[derive(Debug, Default)]
struct JudgedVersion {
    phase: Phase,
    evidence: VersionEvidence,
    /// Number of times that an operator cleared the version's vetoes.
    epoch: u64,
    /// Highest epoch of a veto by this host or a peer.
    veto: Option<u64>,
    /// Whether the configuration holds a veto.
    vetoed_in_configuration: bool,
}

/// Selects the tests that run on a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Unused,
    Canary,
    Settled,
}

/// Number of known versions from which on vetoes and evidence about further versions are ignored. Below it they are
/// kept until the next configuration takes effect, because a veto may arrive before the configuration that has the
/// version.
const UNKNOWN_VERSION_LIMIT: usize = 64;

impl Judge {
    /// Applies a configuration; versions that it does not have are dropped.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.versions.retain(|name, _| configuration.versions.contains_key(name));
        let preset_changed = self.preset != configuration.preset;
        self.preset.clone_from(&configuration.preset);
        for (name, record) in &configuration.versions {
            let version = self.versions.entry(name.clone()).or_default();
            version.set_phase(Phase::of(&record.stage));
            version.vetoed_in_configuration = record.vetoed;
            if preset_changed {
                version.evidence.reset_ratings();
            }
        }
    }

    /// Records this host's own cumulative tally of a version.
    pub fn observe_own(&mut self, name: &ModelVersion, tally: Tally) -> Option<Effect> {
        let increment = self.version_mut(name)?.evidence.update_own(tally);
        self.test(name, increment)
    }

    /// Records the sums of the other hosts' cumulative tallies.
    pub fn observe_peers(&mut self, tallies: &BTreeMap<ModelVersion, Tally>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (name, tally) in tallies {
            let Some(version) = self.version_mut(name) else {
                continue;
            };
            let increment = version.evidence.update_peers(*tally);
            effects.extend(self.test(name, increment));
        }
        effects
    }

    /// Records a veto by this host or a peer.
    pub fn record_veto(&mut self, name: &ModelVersion, epoch: u64) {
        if let Some(version) = self.version_mut(name) {
            version.veto = version.veto.max(Some(epoch));
        }
    }

    /// Lifts the vetoes below `epoch`, which an operator cleared.
    pub fn clear_veto(&mut self, name: &ModelVersion, epoch: u64) {
        let Some(version) = self.version_mut(name) else {
            return;
        };
        if epoch > version.epoch {
            version.epoch = epoch;
            version.evidence = version.evidence.with_reset_tests();
        }
    }

    /// Whether evidence or the configuration forbids new work on the version.
    #[must_use]
    pub fn is_vetoed(&self, name: &ModelVersion) -> bool {
        self.versions.get(name).is_some_and(JudgedVersion::is_vetoed)
    }

    #[must_use]
    pub fn vetoed(&self) -> BTreeSet<ModelVersion> {
        let vetoed = self.versions.iter().filter(|(_, version)| version.is_vetoed());
        vetoed.map(|(name, _)| name.clone()).collect()
    }

    /// Number of ratings of the version so far.
    #[must_use]
    pub fn rated(&self, name: &ModelVersion) -> u64 {
        self.versions.get(name).map_or(0, |version| version.evidence.rated())
    }

    #[must_use]
    pub fn verdict(&self, name: &ModelVersion) -> Verdict {
        let Some(version) = self.versions.get(name) else {
            return Verdict::Undecided;
        };
        if version.is_vetoed() {
            return Verdict::Vetoed;
        }
        if version.evidence.not_worse(self.reference(name)) {
            return Verdict::NotWorse;
        }
        Verdict::Undecided
    }

    #[must_use]
    pub fn verdicts(&self) -> BTreeMap<ModelVersion, Verdict> {
        let used = self.versions.iter().filter(|(_, version)| version.phase != Phase::Unused);
        used.map(|(name, _)| (name.clone(), self.verdict(name))).collect()
    }

    fn version_mut(&mut self, name: &ModelVersion) -> Option<&mut JudgedVersion> {
        if !self.versions.contains_key(name) {
            if self.versions.len() >= UNKNOWN_VERSION_LIMIT {
                return None;
            }
            self.versions.insert(name.clone(), JudgedVersion::default());
        }
        self.versions.get_mut(name)
    }

    fn test(&mut self, name: &ModelVersion, increment: Increment) -> Option<Effect> {
        let reference = self.reference(name);
        let version = self.versions.get_mut(name)?;
        let cause = match version.phase {
            Phase::Unused => None,
            Phase::Canary => version.evidence.test_canary(increment.tally, reference),
            Phase::Settled if increment.is_first => {
                version.evidence.record(increment.tally);
                None
            }
            Phase::Settled => version.evidence.test_settled(increment.tally, reference),
        }?;
        if version.is_vetoed() {
            return None;
        }
        version.veto = Some(version.epoch);
        Some(Effect::Veto {
            model_version: name.clone(),
            epoch: version.epoch,
            reason: veto_reason(version, cause),
        })
    }

    fn reference(&self, name: &ModelVersion) -> Reference {
        let mut settled = Mean::default();
        let mut slow = Mean::default();
        let mut failed = Mean::default();
        for (other, version) in &self.versions {
            if other == name || version.phase == Phase::Unused {
                continue;
            }
            failed.add(version.evidence.recently_failed_share(), 1.0);
            if other.model == name.model && version.phase == Phase::Settled {
                let weight = 1.0 + version.evidence.rated() as f64;
                settled.add(version.evidence.unacceptable_share(), weight);
                slow.add(version.evidence.recently_slow_share(), 1.0);
            }
        }
        Reference {
            unacceptable: settled.value(),
            failed: failed.value().unwrap_or_default(),
            slow: slow.value(),
        }
    }
}

impl JudgedVersion {
    fn set_phase(&mut self, phase: Phase) {
        if self.phase == Phase::Unused && phase == Phase::Canary {
            self.evidence = self.evidence.with_reset_tests();
        }
        self.phase = phase;
    }

    fn is_vetoed(&self) -> bool {
        self.vetoed_in_configuration || self.veto.is_some_and(|epoch| epoch >= self.epoch)
    }
}

impl Phase {
    fn of(stage: &Stage) -> Phase {
        match stage {
            Stage::Canary { .. } => Phase::Canary,
            Stage::Settled => Phase::Settled,
            Stage::Registered | Stage::Withdrawing | Stage::Withdrawn => Phase::Unused,
        }
    }
}

/// Weighted mean.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, value: f64, weight: f64) {
        self.sum += value * weight;
        self.weight += weight;
    }

    fn value(self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

fn veto_reason(version: &JudgedVersion, cause: VetoCause) -> String {
    let phase = match version.phase {
        Phase::Canary => "in canary",
        Phase::Unused | Phase::Settled => "settled",
    };
    let finding = match cause {
        VetoCause::Ratings => "too many answers rated unacceptable",
        VetoCause::Failures => "too many attempts failed",
        VetoCause::Latency => "too many slow answers",
    };
    format!("{finding} {phase} ({} rated)", version.evidence.rated())
}
