//! Session pins and lookups at the owning hosts.

use std::time::Instant;

use super::Peers;
use crate::event::Effect;
use crate::hash::ranked_hosts;
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
        for owner in self.session_owners(key) {
            let model_version = model_version.clone();
            if owner == self.own.host {
                self.sessions.store(key, model_version, now);
            } else {
                self.send(&owner, PeerMessage::StoreSession { key, model_version }, effects);
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
        let mut remote = self.session_owners(key);
        remote.retain(|owner| *owner != self.own.host);
        if !self.lookups.start(token, remote.len(), now) {
            effects.push(Effect::SessionFound { token, model_version: None });
            return;
        }
        for owner in remote {
            self.send(&owner, PeerMessage::LookupSession { token, key }, effects);
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

    /// Owner in the own data centre, and owner in the whole fleet if that is another host.
    fn session_owners(&self, key: SessionKey) -> Vec<EntryHostId> {
        let local = self.view.ranked(&self.own.data_centre);
        let key = key.to_bytes();
        let mut owners: Vec<EntryHostId> =
            ranked_hosts(&key, local, 1).into_iter().cloned().collect();
        owners.extend(ranked_hosts(&key, &self.hosts, 1).into_iter().cloned());
        owners.dedup();
        owners
    }
}
