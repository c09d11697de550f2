//! Configurations between peers: pulled when a greater revision is named, handed out when asked.

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

/// Gain in freshness from which a peer's confirmation is passed to the host.
const CONFIRMATION_STEP: Duration = Duration::from_millis(500);
/// Longest wait before a pull. Those who waited pull from hosts that did not, which spares the watchers.
const PULL_SPREAD: Duration = Duration::from_millis(200);

impl Peers {
    /// A configuration came into force here, from the store.
    pub(super) fn adopted(
        &mut self,
        configuration: &Arc<Configuration>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.spread.revision();
        if self.spread.adopt(configuration) {
            self.note_revision(before, now, effects);
        }
    }

    /// Takes the revision that a peer has in force.
    pub(super) fn take_revision(
        &mut self,
        from: &EntryHostId,
        revision: Revision,
        confirmed_age_ms: Option<u64>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if revision > self.spread.revision() {
            effects.push(Effect::PeerRevision(revision));
            let wait = PULL_SPREAD.mul_f64(self.rng.random::<f64>());
            self.spread.offer(from, wait, now);
            return;
        }
        let Some(age) = confirmed_age_ms.map(Duration::from_millis) else {
            return;
        };
        let known = self.spread.confirmed_age(now);
        let gains = known.is_none_or(|known| known > age + CONFIRMATION_STEP);
        if gains && self.spread.confirm(revision, age, now) {
            effects.push(Effect::PeerConfirmed { revision, age });
        }
    }

    /// Pulls from the host that offered last, when it is time to.
    pub(super) fn pull(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if let Some((from, pull)) = self.spread.start_pull(now) {
            self.send(&from, pull, effects);
        }
    }

    pub(super) fn answer_pull(
        &mut self,
        to: &EntryHostId,
        have: Revision,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(answer) = self.spread.answer_pull(have) {
            self.send(to, answer, effects);
        }
    }

    pub(super) fn take_whole(
        &mut self,
        configuration: Configuration,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.spread.revision();
        let configuration = Arc::new(configuration);
        if self.spread.adopt(&configuration) {
            self.note_revision(before, now, effects);
            effects.push(Effect::Adopt(configuration));
        }
    }

    /// Applies a change; pulls the whole when its base is not the revision in force or the result differs.
    pub(super) fn take_change(
        &mut self,
        from: &EntryHostId,
        change: Delta,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.spread.revision();
        if change.revision <= before {
            return;
        }
        match self.spread.adopt_change(change) {
            Ok(configuration) => {
                self.note_revision(before, now, effects);
                effects.push(Effect::Adopt(configuration));
            }
            Err(_) => self.send(from, PeerMessage::Pull { have: 0 }, effects),
        }
    }

    fn note_revision(&mut self, before: Revision, now: Instant, effects: &mut Vec<Effect>) {
        let after = self.spread.revision();
        self.invariants.check(Invariant::RevisionNeverFalls, after > before, || {
            format!("revision {before} was replaced by {after}")
        });
        self.board.set_in_use(self.spread.versions_in_use());
        self.flush_soon(now);
        if !self.delegate {
            self.report(false, effects);
        }
    }
}
