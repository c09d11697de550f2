//! What the judge and the controller of roll-outs ask for.

use std::time::Instant;

use foxtailhoist_model::ModelVersion;
use foxtailhoist_peers::event::Announcement;
use foxtailhoist_rollout::event as rollout;
use foxtailhoist_route::event as route;

use crate::EntryHost;
use crate::calls::Owner;
use crate::entry_host::Step;
use crate::event::Effect;
use crate::event::Note;

impl EntryHost {
    pub(crate) fn step_rollout(&mut self, event: rollout::Event, now: Instant) {
        for effect in self.rollout.handle(event, now) {
            self.rollout_asks(effect, now);
        }
    }

    fn rollout_asks(&mut self, effect: rollout::Effect, now: Instant) {
        match effect {
            rollout::Effect::Veto { model_version, epoch, reason } => {
                self.veto(model_version, epoch, reason)
            }
            rollout::Effect::Store { call, op } => {
                let call = self.calls.open(Owner::Rollout, call);
                self.effects.push(Effect::Store { call, op });
            }
            rollout::Effect::SetStage { model_version, stage, vetoed, fencing, reason } => {
                self.set_stage(model_version, stage, vetoed, fencing, reason, now);
            }
            rollout::Effect::Leading(leading) => {
                self.leading = leading;
                self.note(Note::Leading(leading));
            }
        }
    }

    /// Puts a veto of this host in force and tells the peers.
    pub(crate) fn veto(&mut self, model_version: ModelVersion, epoch: u64, reason: String) {
        self.announce(Announcement::Vetoed {
            model_version: model_version.clone(),
            epoch,
            reason: reason.clone(),
        });
        self.learn_veto(model_version, epoch, reason);
    }

    /// Puts a veto in force, of this host or a peer.
    pub(crate) fn learn_veto(&mut self, model_version: ModelVersion, epoch: u64, reason: String) {
        if !self.vetoes.veto(&model_version, epoch) {
            return;
        }
        self.push(Step::Router(route::Event::Vetoed(model_version.clone())));
        self.push(Step::Rollout(rollout::Event::Vetoed {
            model_version: model_version.clone(),
            epoch,
        }));
        self.note(Note::Vetoed { model_version, reason });
    }

    /// Lifts the vetoes below an epoch.
    pub(crate) fn learn_clearance(&mut self, model_version: ModelVersion, epoch: u64) {
        if !self.vetoes.clear(&model_version, epoch) {
            return;
        }
        self.push(Step::Router(route::Event::VetoCleared(model_version.clone())));
        self.push(Step::Rollout(rollout::Event::VetoCleared {
            model_version: model_version.clone(),
            epoch,
        }));
        self.note(Note::VetoCleared { model_version });
    }
}
