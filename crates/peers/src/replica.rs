//! Replication of the configuration between peers.
//!
//! A host that learns of a higher revision pulls it from the peer that has it. The response is the change since the
//! requester's revision if the peer still has that change, otherwise the complete configuration.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::message::PeerMessage;
use foxtailhoist_config::Delta;
use foxtailhoist_config::DeltaError;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Stage;

/// Maximum number of changes kept for peers with an older revision.
pub const MAX_CHANGES: usize = 32;
/// Time after which an unanswered pull can be sent to another peer.
pub const PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Configuration in force, recent changes and the state of pulls.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationReplica {
    in_force: Option<Arc<Configuration>>,
    /// Changes up to the revision in force, each based on the one before.
    changes: VecDeque<Arc<Delta>>,
    /// Host that last reported a higher revision, and when to pull from it.
    offer: Option<Offer>,
    pull: Option<Pull>,
    confirmed_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Offer {
    from: EntryHostId,
    pull_at: Instant,
}

/// A pull in progress.
#[derive(Clone, Debug)]
struct Pull {
    from: EntryHostId,
    deadline: Instant,
}

impl ConfigurationReplica {
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map_or(0, |configuration| configuration.revision)
    }

    /// Versions that may have requests: in roll-out, settled, or being withdrawn.
    pub fn versions_in_use(&self) -> BTreeSet<ModelVersion> {
        let versions = self.in_force.iter().flat_map(|configuration| &configuration.versions);
        let in_use = versions.filter(|(_, record)| {
            record.stage.takes_new_work() || record.stage == Stage::Withdrawing
        });
        in_use.map(|(version, _)| version.clone()).collect()
    }

    pub fn changes(&self) -> usize {
        self.changes.len()
    }

    /// Adopts a configuration if its revision is higher than the one in force; returns whether it did.
    pub fn adopt(&mut self, configuration: &Arc<Configuration>) -> bool {
        if configuration.revision <= self.revision() {
            return false;
        }
        let change = self.in_force.as_ref().map(|before| Delta::between(before, configuration));
        self.replace(Arc::clone(configuration), change);
        true
    }

    /// Applies a change to the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the change does not apply; the complete configuration must be pulled then.
    pub fn adopt_change(&mut self, change: Delta) -> Result<Arc<Configuration>, DeltaError> {
        self.pull = None;
        let Some(before) = &self.in_force else {
            return Err(DeltaError::BaseMismatch { expected: change.base, found: 0 });
        };
        let configuration = Arc::new(change.apply(before)?);
        self.replace(Arc::clone(&configuration), Some(change));
        Ok(configuration)
    }

    /// Records that a host has a higher revision. The first offer starts the wait; the pull goes to the host of the
    /// last one.
    pub fn offer(&mut self, from: &EntryHostId, wait: Duration, now: Instant) {
        let pull_at = self.offer.as_ref().map_or(now + wait, |offer| offer.pull_at);
        self.offer = Some(Offer { from: from.clone(), pull_at });
    }

    /// Time at which a pull is due.
    pub fn pull_due_at(&self) -> Option<Instant> {
        let offer = self.offer.as_ref()?;
        let deadline = self.pull.as_ref().map(|pull| pull.deadline);
        Some(deadline.map_or(offer.pull_at, |deadline| deadline.max(offer.pull_at)))
    }

    /// Starts a pull if one is due; returns the peer and the request.
    pub fn start_pull(&mut self, now: Instant) -> Option<(EntryHostId, PeerMessage)> {
        if self.pull_due_at().is_none_or(|at| now < at) {
            return None;
        }
        let from = self.offer.take()?.from;
        self.pull = Some(Pull { from: from.clone(), deadline: now + PULL_TIMEOUT });
        Some((from, PeerMessage::Pull { have: self.revision() }))
    }

    /// Ends a pull whose request could not be delivered.
    pub fn pull_failed(&mut self, to: &EntryHostId) {
        self.pull.take_if(|pull| pull.from == *to);
    }

    /// Response to a peer that has revision `have`; `None` if it has the revision in force or a higher one.
    pub fn answer_pull(&self, have: Revision) -> Option<PeerMessage> {
        let in_force = self.in_force.as_ref()?;
        if have >= in_force.revision {
            return None;
        }
        let since: Vec<&Arc<Delta>> =
            self.changes.iter().skip_while(|change| change.base != have).collect();
        let Some((first, later)) = since.split_first() else {
            return Some(PeerMessage::Whole(Box::new(Configuration::clone(in_force))));
        };
        let change = later.iter().fold(Delta::clone(first), |all, next| all.then(next));
        Some(PeerMessage::Change(Box::new(change)))
    }

    /// Records a confirmation of the revision in force; returns whether it is newer than the known one.
    pub fn confirm(&mut self, revision: Revision, age: Duration, now: Instant) -> bool {
        let confirmed_at = now.checked_sub(age);
        if revision == 0 || revision != self.revision() || confirmed_at <= self.confirmed_at {
            return false;
        }
        self.confirmed_at = confirmed_at;
        true
    }

    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    fn replace(&mut self, configuration: Arc<Configuration>, change: Option<Delta>) {
        self.changes.extend(change.map(Arc::new));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.in_force = Some(configuration);
        self.offer = None;
        self.pull = None;
    }
}
