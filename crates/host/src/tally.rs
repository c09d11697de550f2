//! Counts a host's own evidence about versions.
//!
//! The judge and the peers get cumulative counters at intervals rather than each observation, so that their cost
//! does not grow with the request rate.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use foxtailhoist_model::CallerId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Tally;
use foxtailhoist_model::TaskClass;
use foxtailhoist_route::event::Evidence;
use foxtailhoist_route::event::EvidenceKind;

/// Most callers that are told apart for each version.
const CALLERS_LIMIT: usize = 10_000;
/// An answer is slow when its time exceeds the usual one by this factor.
const SLOW_FACTOR: f64 = 2.0;
/// Weight of a new observation in the usual time.
const USUAL_WEIGHT: f64 = 0.05;

/// Own evidence by version.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    versions: BTreeMap<ModelVersion, Counted>,
    usual: BTreeMap<Usual, Duration>,
    changed: BTreeSet<ModelVersion>,
}

#[derive(Clone, Debug, Default)]
struct Counted {
    tally: Tally,
    callers: BTreeSet<CallerId>,
}

/// Names the usual time per token of a model's answers of a class, over all versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Usual {
    model: String,
    class: TaskClass,
}

impl Tallies {
    pub fn note(&mut self, evidence: Evidence) {
        let slow = match evidence.kind {
            EvidenceKind::Latency { per_token, .. } => self.is_slow(&evidence, per_token),
            EvidenceKind::Rated { .. } | EvidenceKind::Ended { .. } => false,
        };
        let counted = self.versions.entry(evidence.model_version.clone()).or_default();
        counted.add(evidence.kind, slow);
        counted.add_caller(evidence.caller);
        self.changed.insert(evidence.model_version);
    }

    /// Counters that changed since the last call.
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
        let key =
            Usual { model: evidence.model_version.model.clone(), class: evidence.class.clone() };
        let usual = self.usual.entry(key).or_insert(per_token);
        let slow = per_token > usual.mul_f64(SLOW_FACTOR);
        if !slow {
            *usual = usual.mul_f64(1.0 - USUAL_WEIGHT) + per_token.mul_f64(USUAL_WEIGHT);
        }
        slow
    }
}

impl Counted {
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
        if self.callers.len() < CALLERS_LIMIT {
            self.callers.insert(caller);
            self.tally.callers = self.callers.len() as u64;
        }
    }
}
