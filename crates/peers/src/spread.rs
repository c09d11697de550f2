//! Configurations that peers pull from each other.
//!
//! A host that hears of a greater revision pulls it from whoever named it. The answer is the change since the
//! puller's revision when the sender still has it, else the whole configuration.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::message::PeerMessage;
use foxtailhoist_config::Delta;
use foxtailhoist_config::DeltaError;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Revision;

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
    pull: Option<Pull>,
    confirmed_at: Option<Instant>,
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
            return Err(DeltaError::OtherBase { expected: change.base, found: 0 });
        };
        let configuration = Arc::new(change.apply(before)?);
        self.replace(Arc::clone(&configuration), Some(change));
        Ok(configuration)
    }

    /// Starts a pull from a host that named a greater revision, unless one is under way.
    pub fn start_pull(&mut self, from: &EntryHostId, now: Instant) -> Option<PeerMessage> {
        if self.pull.as_ref().is_some_and(|pull| now < pull.until) {
            return None;
        }
        self.pull = Some(Pull { from: from.clone(), until: now + PULL_TIMEOUT });
        Some(PeerMessage::Pull { have: self.revision() })
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
        self.pull = None;
    }
}
