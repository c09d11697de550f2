//! Sums that other entry hosts shared.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;

use super::WindowKey;
use crate::shared::AnswerSums;
use crate::shared::ConfidenceSums;
use crate::shared::DependenceSums;
use crate::shared::MAX_SHARED_CLASSES;
use crate::shared::SharedQuality;

/// Hosts whose sums are kept; further hosts are ignored.
const MAX_PEERS: usize = 32;
/// Age at which sums expire.
const SHARED_TTL: Duration = Duration::from_secs(300);

/// The latest sums of each peer, and their total.
#[derive(Debug, Default)]
pub(crate) struct PeerSums {
    peers: BTreeMap<EntryHostId, (Instant, Arc<SharedQuality>)>,
    classes: BTreeMap<WindowKey, AnswerSums>,
    confidence: ConfidenceSums,
    dependence: DependenceSums,
}

impl PeerSums {
    /// Replaces a peer's sums. Messages with too many classes are ignored.
    pub(crate) fn update(&mut self, from: EntryHostId, shared: Arc<SharedQuality>, now: Instant) {
        let full = self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&from);
        if full || shared.classes.len() > MAX_SHARED_CLASSES {
            return;
        }
        self.peers.insert(from, (now, shared));
    }

    /// Recomputes the totals over all peers, without expired sums.
    pub(crate) fn recompute_totals(&mut self, now: Instant) {
        self.peers
            .retain(|_, (received_at, _)| now.saturating_duration_since(*received_at) < SHARED_TTL);
        self.classes.clear();
        self.confidence = ConfidenceSums::default();
        self.dependence = DependenceSums::default();
        for (_, shared) in self.peers.values() {
            for class in &shared.classes {
                let key = WindowKey {
                    class: class.class.clone(),
                    model_version: class.model_version.clone(),
                    escalated: class.escalated,
                };
                let sums = self.classes.entry(key).or_default();
                *sums = sums.plus(class.sums);
            }
            self.confidence = self.confidence.plus(shared.confidence);
            self.dependence.covariance += shared.dependence.covariance;
            self.dependence.variance += shared.dependence.variance;
        }
    }

    pub(crate) fn classes(&self) -> &BTreeMap<WindowKey, AnswerSums> {
        &self.classes
    }

    pub(crate) fn confidence(&self) -> ConfidenceSums {
        self.confidence
    }

    pub(crate) fn dependence(&self) -> DependenceSums {
        self.dependence
    }
}
