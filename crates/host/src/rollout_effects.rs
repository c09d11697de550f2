//! Applies the effects of the roll-out judge and controller.

use std::time::Instant;

use foxtailhoist_model::ModelVersion;
use foxtailhoist_peers::event::Announcement;
use foxtailhoist_rollout::event as rollout;
use foxtailhoist_route::event as route;

use crate::EntryHost;
use crate::calls::Owner;
use crate::entry_host::InternalEvent;
use crate::event::Effect;
use crate::event::Notification;

impl EntryHost {
    pub(crate) fn step_rollout(&mut self, event: rollout::Event, now: Instant) {
        for effect in self.rollout.handle(event, now) {
            self.apply_rollout_effect(effect, now);
        }
    }

    fn apply_rollout_effect(&mut self, effect: rollout::Effect, now: Instant) {
        match effect {
            rollout::Effect::Veto { model_version, epoch, reason } => {
                self.raise_veto(model_version, epoch, reason)
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
                self.notify(Notification::Leading(leading));
            }
        }
    }

    /// Puts a veto raised on this host in force and announces it to the peers.
    pub(crate) fn raise_veto(&mut self, model_version: ModelVersion, epoch: u64, reason: String) {
        self.announce(Announcement::Vetoed {
            model_version: model_version.clone(),
            epoch,
            reason: reason.clone(),
        });
        self.apply_veto(model_version, epoch, reason);
    }

    /// Puts a veto in force, whether raised by this host or a peer.
    pub(crate) fn apply_veto(&mut self, model_version: ModelVersion, epoch: u64, reason: String) {
        if !self.vetoes.veto(&model_version, epoch) {
            return;
        }
        self.enqueue(InternalEvent::Router(route::Event::Vetoed(model_version.clone())));
        self.enqueue(InternalEvent::Rollout(rollout::Event::Vetoed {
            model_version: model_version.clone(),
            epoch,
        }));
        self.notify(Notification::Vetoed { model_version, reason });
    }

    /// Lifts the version's vetoes with an epoch below `epoch`.
    pub(crate) fn apply_veto_clearance(&mut self, model_version: ModelVersion, epoch: u64) {
        if !self.vetoes.clear(&model_version, epoch) {
            return;
        }
        self.enqueue(InternalEvent::Router(route::Event::VetoCleared(model_version.clone())));
        self.enqueue(InternalEvent::Rollout(rollout::Event::VetoCleared {
            model_version: model_version.clone(),
            epoch,
        }));
        self.notify(Notification::VetoCleared { model_version });
    }
}
