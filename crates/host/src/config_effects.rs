//! Applies the effects of the configuration adopter and starts configuration changes.

use std::sync::Arc;
use std::time::Instant;

use foxtailhoist_config::Change;
use foxtailhoist_config::ChangeConfig;
use foxtailhoist_config::Command;
use foxtailhoist_config::adopter;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::FencingNumber;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Stage;
use foxtailhoist_peers::event as peers;
use foxtailhoist_rollout::event as rollout;
use foxtailhoist_route::event as route;

use crate::EntryHost;
use crate::calls::Owner;
use crate::commands::ChangeSource;
use crate::entry_host::InternalEvent;
use crate::event::Effect;
use crate::event::Notification;

impl EntryHost {
    pub(crate) fn step_adopter(&mut self, event: adopter::Event, now: Instant) {
        for effect in self.adopter.handle(event, now) {
            self.apply_adopter_effect(effect);
        }
    }

    fn apply_adopter_effect(&mut self, effect: adopter::Effect) {
        match effect {
            adopter::Effect::Store { call, op } => {
                let call = self.calls.open(Owner::Adopter, call);
                self.effects.push(Effect::Store { call, op });
            }
            adopter::Effect::Adopt(configuration) => self.adopt(configuration),
            adopter::Effect::Confirmed(confirmed) => {
                self.confirmed = confirmed;
                self.enqueue(InternalEvent::Router(route::Event::Confirmed(confirmed)));
                self.notify(Notification::ConfigurationConfirmed(confirmed));
            }
            adopter::Effect::StoreConfirmed { revision, age } => {
                self.enqueue(InternalEvent::Peers(peers::Event::Confirmed { revision, age }));
            }
            adopter::Effect::StoreFellBack { store, in_force } => {
                self.notify(Notification::StoreFellBack { shown: store, in_force });
            }
            adopter::Effect::BodyRefused { revision, reason } => {
                self.notify(Notification::ConfigurationRefused { revision, reason });
            }
        }
    }

    fn adopt(&mut self, configuration: Arc<Configuration>) {
        let revision = configuration.revision;
        let preset = configuration.preset.clone();
        self.enqueue(InternalEvent::Router(route::Event::Configured(Arc::clone(&configuration))));
        self.enqueue(InternalEvent::Rollout(rollout::Event::Configured(Arc::clone(
            &configuration,
        ))));
        self.enqueue(InternalEvent::Peers(peers::Event::Adopted(Arc::clone(&configuration))));
        self.configuration = Some(configuration);
        self.notify(Notification::ConfigurationAdopted { revision, preset });
    }

    /// Starts the change of a version's stage for the roll-out controller.
    pub(crate) fn set_stage(
        &mut self,
        model_version: ModelVersion,
        stage: Stage,
        vetoed: bool,
        fencing: FencingNumber,
        why: String,
        now: Instant,
    ) {
        let command = Command::SetStage {
            actor: self.cfg.host.clone(),
            model_version: model_version.clone(),
            stage,
            vetoed,
            fencing: Some(fencing),
            why,
        };
        self.start_change(command, ChangeSource::Controller { model_version }, now);
    }

    /// Starts a configuration change against the store.
    pub(crate) fn start_change(&mut self, command: Command, source: ChangeSource, now: Instant) {
        let known = self
            .peers
            .members()
            .iter()
            .map(|member| member.revision)
            .max()
            .unwrap_or(0)
            .max(self.revision());
        let cfg = ChangeConfig { known, enforcement: self.cfg.enforcement };
        let change = Change::new(command, cfg, self.wall(now), self.commands.next_seed(), now);
        let id = self.commands.add(change, source);
        self.step_change(id, foxtailhoist_config::change::Event::Tick, now);
    }
}
