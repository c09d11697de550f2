//! Configurations that peers pull from each other.
//!
//! A host that hears of a greater revision pulls it from whoever named it. The answer is the change since the
//! puller's revision when the sender still has it, else the whole configuration.

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

/// Changes that are kept for peers that are behind.
pub const CHANGES_KEPT: usize = 32;
/// Time after which an unanswered pull is tried elsewhere.
pub const PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Configuration in force and the way to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spread {
    in_force: Option<Arc<Configuration>>,
    /// Changes that led to the revision in force, each based on the one before.
    changes: VecDeque<Arc<Delta>>,
    /// Host that last named a greater revision, and when to pull from it.
    offer: Option<Offer>,
    pull: Option<Pull>,
    confirmed_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Offer {
    from: EntryHostId,
    pull_at: Instant,
}

/// A pull under way.
#[derive(Clone, Debug)]
struct Pull {
    from: EntryHostId,
    until: Instant,
}

impl Spread {
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map_or(0, |configuration| configuration.revision)
    }

    /// Versions that may have work: in roll-out, settled, or with requests that still finish.
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

    /// Takes a configuration; true when its revision is greater than the one in force.
    pub fn adopt(&mut self, configuration: &Arc<Configuration>) -> bool {
        if configuration.revision <= self.revision() {
            return false;
        }
        let change = self.in_force.as_ref().map(|before| Delta::between(before, configuration));
        self.replace(Arc::clone(configuration), change);
        true
    }

    /// Adopts what a change makes of the configuration in force.
    ///
    /// # Errors
    ///
    /// Refuses a change that does not fit; the whole configuration has to be pulled then.
    pub fn adopt_change(&mut self, change: Delta) -> Result<Arc<Configuration>, DeltaError> {
        self.pull = None;
        let Some(before) = &self.in_force else {
            return Err(DeltaError::BaseMismatch { expected: change.base, found: 0 });
        };
        let configuration = Arc::new(change.apply(before)?);
        self.replace(Arc::clone(&configuration), Some(change));
        Ok(configuration)
    }

    /// A host named a greater revision; the first offer starts the wait, the last one is taken.
    pub fn offer(&mut self, from: &EntryHostId, wait: Duration, now: Instant) {
        let pull_at = self.offer.as_ref().map_or(now + wait, |offer| offer.pull_at);
        self.offer = Some(Offer { from: from.clone(), pull_at });
    }

    /// When a pull is due.
    pub fn pull_due(&self) -> Option<Instant> {
        let offer = self.offer.as_ref()?;
        let until = self.pull.as_ref().map(|pull| pull.until);
        Some(until.map_or(offer.pull_at, |until| until.max(offer.pull_at)))
    }

    /// Starts the pull that is due.
    pub fn start_pull(&mut self, now: Instant) -> Option<(EntryHostId, PeerMessage)> {
        if self.pull_due().is_none_or(|at| now < at) {
            return None;
        }
        let from = self.offer.take()?.from;
        self.pull = Some(Pull { from: from.clone(), until: now + PULL_TIMEOUT });
        Some((from, PeerMessage::Pull { have: self.revision() }))
    }

    /// Ends a pull whose message could not be delivered.
    pub fn pull_failed(&mut self, to: &EntryHostId) {
        self.pull.take_if(|pull| pull.from == *to);
    }

    /// Answer to a peer that has revision `have`; none when it is not behind.
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

    /// Takes a confirmation; true when it is newer than the one known.
    pub fn confirm(&mut self, revision: Revision, age: Duration, now: Instant) -> bool {
        let at = now.checked_sub(age);
        if revision == 0 || revision != self.revision() || at <= self.confirmed_at {
            return false;
        }
        self.confirmed_at = at;
        true
    }

    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    fn replace(&mut self, configuration: Arc<Configuration>, change: Option<Delta>) {
        self.changes.extend(change.map(Arc::new));
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        self.in_force = Some(configuration);
        self.offer = None;
        self.pull = None;
    }
}
