//! Sessions at their homes.

use std::time::Instant;

use super::Peers;
use crate::event::Effect;
use crate::hash::homes;
use crate::message::PeerMessage;
use crate::session::SessionKey;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::WorkspaceId;

impl Peers {
    pub(super) fn pin_session(
        &mut self,
        workspace: &WorkspaceId,
        session: &SessionId,
        model_version: ModelVersion,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let key = SessionKey::new(workspace, session);
        for home in self.session_homes(key) {
            let model_version = model_version.clone();
            if home == self.own.host {
                self.sessions.store(key, model_version, now);
            } else {
                self.send(&home, PeerMessage::StoreSession { key, model_version }, effects);
            }
        }
    }

    pub(super) fn look_up_session(
        &mut self,
        token: u64,
        workspace: &WorkspaceId,
        session: &SessionId,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let key = SessionKey::new(workspace, session);
        if let Some(model_version) = self.sessions.find(key, now) {
            effects.push(Effect::SessionFound { token, model_version: Some(model_version) });
            return;
        }
        let mut remote = self.session_homes(key);
        remote.retain(|home| *home != self.own.host);
        if !self.lookups.start(token, remote.len(), now) {
            effects.push(Effect::SessionFound { token, model_version: None });
            return;
        }
        for home in remote {
            self.send(&home, PeerMessage::LookupSession { token, key }, effects);
        }
    }

    pub(super) fn session_answered(
        &mut self,
        token: u64,
        model_version: Option<ModelVersion>,
        effects: &mut Vec<Effect>,
    ) {
        if self.lookups.answered(token, model_version.is_some()) {
            effects.push(Effect::SessionFound { token, model_version });
        }
    }

    pub(super) fn expire_lookups(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for token in self.lookups.expire(now) {
            effects.push(Effect::SessionFound { token, model_version: None });
        }
    }

    /// Home in the own data centre, and home in the whole fleet where that is another host.
    fn session_homes(&self, key: SessionKey) -> Vec<EntryHostId> {
        let near = self.view.ranked(&self.own.data_centre);
        let key = key.to_bytes();
        let mut chosen: Vec<EntryHostId> = homes(&key, near, 1).into_iter().cloned().collect();
        chosen.extend(homes(&key, &self.hosts, 1).into_iter().cloned());
        chosen.dedup();
        chosen
    }
}
