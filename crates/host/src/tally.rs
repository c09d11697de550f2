//! Counters of this host's own evidence about versions.
//!
//! The roll-out judge and the peers receive cumulative counters at intervals rather than each observation, so that
//! their cost does not grow with the request rate.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use foxtailhoist_model::CallerId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Tally;
use foxtailhoist_model::TaskClass;
use foxtailhoist_route::event::Evidence;
use foxtailhoist_route::event::EvidenceKind;

/// Distinct callers counted for each version.
const MAX_CALLERS: usize = 10_000;
/// Factor over the baseline above which an answer counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Weight of a new observation in the baseline's moving average.
const BASELINE_WEIGHT: f64 = 0.05;

/// Tallies by version.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    versions: BTreeMap<ModelVersion, VersionTally>,
    baselines: BTreeMap<BaselineKey, Duration>,
    changed: BTreeSet<ModelVersion>,
}

#[derive(Clone, Debug, Default)]
struct VersionTally {
    tally: Tally,
    callers: BTreeSet<CallerId>,
}

/// Key of the baseline: the average time per token of a model's answers to a class, over all versions.
/// Slow answers are left out of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BaselineKey {
    model: String,
    class: TaskClass,
}

impl Tallies {
    pub fn record(&mut self, evidence: Evidence) {
        let slow = match evidence.kind {
            EvidenceKind::Latency { per_token, .. } => self.is_slow(&evidence, per_token),
            EvidenceKind::Rated { .. } | EvidenceKind::Ended { .. } => false,
        };
        let version_tally = self.versions.entry(evidence.model_version.clone()).or_default();
        version_tally.add(evidence.kind, slow);
        version_tally.add_caller(evidence.caller);
        self.changed.insert(evidence.model_version);
    }

    /// Returns the tallies that changed since the last call.
    pub fn take_changed(&mut self) -> BTreeMap<ModelVersion, Tally> {
        let changed = std::mem::take(&mut self.changed);
        let tally = |version: ModelVersion| {
            let tally = self.versions.get(&version)?.tally;
            Some((version, tally))
        };
        changed.into_iter().filter_map(tally).collect()
    }

    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    fn is_slow(&mut self, evidence: &Evidence, per_token: Duration) -> bool {
        let key = BaselineKey {
            model: evidence.model_version.model.clone(),
            class: evidence.class.clone(),
        };
        let baseline = self.baselines.entry(key).or_insert(per_token);
        let slow = per_token > baseline.mul_f64(SLOW_FACTOR);
        if !slow {
            *baseline =
                baseline.mul_f64(1.0 - BASELINE_WEIGHT) + per_token.mul_f64(BASELINE_WEIGHT);
        }
        slow
    }
}

impl VersionTally {
    fn add(&mut self, kind: EvidenceKind, slow: bool) {
        let tally = &mut self.tally;
        match kind {
            EvidenceKind::Rated { acceptable } => {
                tally.rated += 1;
                tally.unacceptable += u64::from(!acceptable);
            }
            EvidenceKind::Ended { failed } => {
                tally.ended += 1;
                tally.failed += u64::from(failed);
            }
            EvidenceKind::Latency { .. } => {
                tally.timed += 1;
                tally.slow += u64::from(slow);
            }
        }
    }

    fn add_caller(&mut self, caller: CallerId) {
        if self.callers.len() < MAX_CALLERS {
            self.callers.insert(caller);
            self.tally.callers = self.callers.len() as u64;
        }
    }
}
