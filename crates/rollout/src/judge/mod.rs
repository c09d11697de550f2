//! Judges versions by ratings, failures and latency.
//!
//! A canary is compared with the settled versions of its model by a sequential test; a settled version is watched for
//! a change against its own record. A veto needs neither store nor lease. It is monotonic: only a higher epoch, which
//! an operator's clearance starts, lifts it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Stage;
use foxtailhoist_model::Tally;

use crate::event::Effect;
use crate::judge::evidence::Increment;
use crate::judge::version::Grounds;
use crate::judge::version::Reference;
use crate::judge::version::VersionEvidence;

pub mod evidence;
pub mod record;
pub mod sequential;
pub mod version;

/// Standing of a version with the judge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough evidence.
    Undecided,
    /// No worse than the settled versions, within the tolerance.
    NotWorse,
    Vetoed,
}

/// Evidence and vetoes of all versions of the configuration.
#[derive(Debug, Default)]
pub struct Judge {
    preset: PresetId,
    versions: BTreeMap<ModelVersion, JudgedVersion>,
}

/// A version under judgement. Bounded by the versions of the configuration.
#[derive(Debug, Default)]
struct JudgedVersion {
    phase: Phase,
    evidence: VersionEvidence,
    /// Number of operators' clearances.
    epoch: u64,
    /// Highest epoch of a veto, by evidence here or at a peer.
    veto: Option<u64>,
    /// The configuration holds a veto.
    formal: bool,
}

/// What a version is tested for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Unused,
    Canary,
    Settled,
}

/// Versions beyond the configuration of which vetoes and evidence are kept until it comes into force.
const UNKNOWN_VERSION_LIMIT: usize = 64;

impl Judge {
    /// Takes over the versions of a configuration; those it lacks are dropped.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.versions.retain(|name, _| configuration.versions.contains_key(name));
        let preset_changed = self.preset != configuration.preset;
        self.preset.clone_from(&configuration.preset);
        for (name, record) in &configuration.versions {
            let version = self.versions.entry(name.clone()).or_default();
            version.enter(Phase::of(&record.stage));
            version.formal = record.vetoed;
            if preset_changed {
                version.evidence.forget_ratings();
            }
        }
    }

    /// Takes this host's own cumulative evidence.
    pub fn observe_own(&mut self, name: &ModelVersion, tally: Tally) -> Option<Effect> {
        let increment = self.version(name)?.evidence.own(tally);
        self.test(name, increment)
    }

    /// Takes the other hosts' cumulative evidence.
    pub fn observe_others(&mut self, tallies: &BTreeMap<ModelVersion, Tally>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (name, tally) in tallies {
            let Some(version) = self.version(name) else {
                continue;
            };
            let increment = version.evidence.others(*tally);
            effects.extend(self.test(name, increment));
        }
        effects
    }

    /// Learns of a veto.
    pub fn record_veto(&mut self, name: &ModelVersion, epoch: u64) {
        if let Some(version) = self.version(name) {
            version.veto = version.veto.max(Some(epoch));
        }
    }

    /// Learns that an operator lifted the vetoes below `epoch`.
    pub fn clear_veto(&mut self, name: &ModelVersion, epoch: u64) {
        let Some(version) = self.version(name) else {
            return;
        };
        if epoch > version.epoch {
            version.epoch = epoch;
            version.evidence = version.evidence.restarted();
        }
    }

    /// Whether new work on the version is forbidden by evidence or configuration.
    #[must_use]
    pub fn is_vetoed(&self, name: &ModelVersion) -> bool {
        self.versions.get(name).is_some_and(JudgedVersion::is_vetoed)
    }

    #[must_use]
    pub fn vetoed(&self) -> BTreeSet<ModelVersion> {
        let vetoed = self.versions.iter().filter(|(_, version)| version.is_vetoed());
        vetoed.map(|(name, _)| name.clone()).collect()
    }

    /// Ratings of a version seen so far.
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

    fn version(&mut self, name: &ModelVersion) -> Option<&mut JudgedVersion> {
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
        let grounds = match version.phase {
            Phase::Unused => None,
            Phase::Canary => version.evidence.test_canary(increment.tally, reference),
            Phase::Settled if increment.first => {
                version.evidence.learn(increment.tally);
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
            reason: reason(version, grounds),
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
    fn enter(&mut self, phase: Phase) {
        if self.phase == Phase::Unused && phase == Phase::Canary {
            self.evidence = self.evidence.restarted();
        }
        self.phase = phase;
    }

    fn is_vetoed(&self) -> bool {
        self.formal || self.veto.is_some_and(|epoch| epoch >= self.epoch)
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

fn reason(version: &JudgedVersion, grounds: Grounds) -> String {
    let phase = match version.phase {
        Phase::Canary => "in canary",
        Phase::Unused | Phase::Settled => "settled",
    };
    let finding = match grounds {
        Grounds::Ratings => "too many answers rated unacceptable",
        Grounds::Failures => "too many attempts failed",
        Grounds::Latency => "too many slow answers",
    };
    format!("{finding} {phase} ({} rated)", version.evidence.rated())
}
