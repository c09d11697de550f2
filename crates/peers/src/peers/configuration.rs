//! Pulls configurations with a higher revision from peers and answers their pulls.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use super::Peers;
use crate::event::Effect;
use crate::message::PeerMessage;
use foxtailhoist_config::Delta;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Revision;

/// Minimum decrease of the confirmed age for which a peer's confirmation is recorded and reported.
const MIN_CONFIRMATION_GAIN: Duration = Duration::from_millis(500);
/// Maximum random wait before a pull. Hosts that wait can pull from hosts that already pulled, which reduces the load
/// on the watchers.
const MAX_PULL_DELAY: Duration = Duration::from_millis(200);

impl Peers {
    /// Handles a configuration that this host adopted from the store.
    pub(super) fn adopted(
        &mut self,
        configuration: &Arc<Configuration>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.replica.revision();
        if self.replica.adopt(configuration) {
            self.revision_changed(before, now, effects);
        }
    }

    /// Handles the revision that a peer has in force.
    pub(super) fn handle_revision(
        &mut self,
        from: &EntryHostId,
        revision: Revision,
        confirmed_age_ms: Option<u64>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if revision > self.replica.revision() {
            effects.push(Effect::PeerRevision(revision));
            let wait = MAX_PULL_DELAY.mul_f64(self.rng.random::<f64>());
            self.replica.offer(from, wait, now);
            return;
        }
        let Some(age) = confirmed_age_ms.map(Duration::from_millis) else {
            return;
        };
        let known = self.replica.confirmed_age(now);
        let is_fresher = known.is_none_or(|known| known > age + MIN_CONFIRMATION_GAIN);
        if is_fresher && self.replica.confirm(revision, age, now) {
            effects.push(Effect::PeerConfirmed { revision, age });
        }
    }

    /// Sends the pull that is due, if any.
    pub(super) fn send_due_pull(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if let Some((from, pull)) = self.replica.start_pull(now) {
            self.send(&from, pull, effects);
        }
    }

    pub(super) fn answer_pull(
        &mut self,
        to: &EntryHostId,
        have: Revision,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(answer) = self.replica.answer_pull(have) {
            self.send(to, answer, effects);
        }
    }

    pub(super) fn handle_configuration(
        &mut self,
        configuration: Configuration,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.replica.revision();
        let configuration = Arc::new(configuration);
        if self.replica.adopt(&configuration) {
            self.revision_changed(before, now, effects);
            effects.push(Effect::Adopt(configuration));
        }
    }

    /// Applies a change; pulls the complete configuration if the base is not the revision in force or
    /// the result differs from the configuration of the sender.
    pub(super) fn handle_change(
        &mut self,
        from: &EntryHostId,
        change: Delta,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.replica.revision();
        if change.revision <= before {
            return;
        }
        match self.replica.adopt_change(change) {
            Ok(configuration) => {
                self.revision_changed(before, now, effects);
                effects.push(Effect::Adopt(configuration));
            }
            Err(_) => self.send(from, PeerMessage::Pull { have: 0 }, effects),
        }
    }

    fn revision_changed(&mut self, before: Revision, now: Instant, effects: &mut Vec<Effect>) {
        let after = self.replica.revision();
        self.invariants.check(Invariant::RevisionNeverFalls, after > before, || {
            format!("revision {before} was replaced by {after}")
        });
        self.tallies.set_in_use(self.replica.versions_in_use());
        self.schedule_flush(now);
        if !self.delegate {
            self.send_report(false, effects);
        }
    }
}
