//! Applies the effects of the router.

use std::time::Instant;

use foxtailhoist_journal::event as journal;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Bill;
use foxtailhoist_model::Claim;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Usage;
use foxtailhoist_peers::event as peers;
use foxtailhoist_peers::event::Announcement;
use foxtailhoist_route::event as route;

use crate::EntryHost;
use crate::entry_host::BillState;
use crate::entry_host::InternalEvent;
use crate::event::Effect;
use crate::event::Notification;

impl EntryHost {
    pub(crate) fn step_router(&mut self, event: route::Event, now: Instant) {
        for effect in self.router.handle(event, now) {
            self.apply_router_effect(effect, now);
        }
    }

    fn apply_router_effect(&mut self, effect: route::Effect, now: Instant) {
        match effect {
            route::Effect::Claim(claim) => {
                let claim = Claim { at: self.wall(now), ..claim };
                self.enqueue(InternalEvent::Journal(journal::Event::Claim(claim)));
            }
            route::Effect::Dispatch(dispatch) => self.effects.push(Effect::Dispatch(dispatch)),
            route::Effect::Cancel { attempt } => self.effects.push(Effect::Cancel { attempt }),
            route::Effect::Deliver { request, attempt } => {
                self.record_outcome(request, attempt);
                self.effects.push(Effect::Deliver { request, attempt });
            }
            route::Effect::Bill { request, model_version, usage } => {
                self.bill(request, model_version, usage, now)
            }
            route::Effect::Complete(completion) => {
                self.pin_session(&completion);
                self.end_request(completion.request);
                self.effects.push(Effect::Complete(Box::new(completion)));
            }
            route::Effect::Refuse { request, refusal } => self.refuse(request, refusal),
            route::Effect::Rate { request } => self.effects.push(Effect::Rate { request }),
            route::Effect::Evidence(evidence) => self.tallies.record(evidence),
            route::Effect::Suspect(fingerprint) => {
                self.announce(Announcement::Suspected { fingerprint })
            }
            route::Effect::Quarantine(fingerprint) => {
                self.notify(Notification::Quarantined { fingerprint });
                self.announce(Announcement::Quarantined { fingerprint });
            }
            route::Effect::Leaving(server) => self.server_leaving(server, now),
            route::Effect::RetireConnections(server) => {
                self.effects.push(Effect::RetireConnections(server))
            }
            route::Effect::ShareQuality(shared) => self.share_quality(&shared),
            route::Effect::Order(order) => self.effects.push(Effect::Order(order)),
        }
    }

    /// Marks a server as leaving and announces it to the peers; a repeated mark does nothing.
    pub(crate) fn server_leaving(&mut self, server: BackendServerId, now: Instant) {
        if !self.servers.mark_leaving(&server, now) {
            return;
        }
        self.notify(Notification::ServerLeaving { server: server.clone() });
        self.enqueue(InternalEvent::Router(route::Event::Leaving(server.clone())));
        self.announce(Announcement::Leaving { server });
    }

    pub(crate) fn announce(&mut self, announcement: Announcement) {
        self.enqueue(InternalEvent::Peers(peers::Event::Announce(announcement)));
    }

    fn bill(
        &mut self,
        request: RequestId,
        model_version: Option<ModelVersion>,
        usage: Usage,
        now: Instant,
    ) {
        let Some(workspace) = self.running.get(&request).cloned() else {
            return;
        };
        let bill = Bill { workspace, request, model_version, usage, at: self.wall(now) };
        self.enqueue(InternalEvent::Journal(journal::Event::Bill(bill)));
    }

    /// Records the answer of a claimed request that ran, so that it can be replayed to a retry.
    fn record_outcome(&mut self, request: RequestId, attempt: u128) {
        let Some(answer) = self.finished.remove(&attempt) else {
            return;
        };
        if let Some(key) = self.claims.get(&request).cloned() {
            let outcome = ClaimOutcome::Ran { status: answer.status, body: answer.body };
            self.pending_outcomes.insert(request, BillState::Pending);
            self.enqueue(InternalEvent::Journal(journal::Event::Outcome { key, request, outcome }));
        }
    }

    /// Ends a request without a complete answer. Its claim is released only if nothing ran; otherwise the claim stays
    /// undecided, so that a retry cannot run the request a second time.
    pub(crate) fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        if refusal.ran == Ran::NotRun
            && let Some(key) = self.claims.get(&request).cloned()
        {
            let outcome = ClaimOutcome::NotRun;
            self.enqueue(InternalEvent::Journal(journal::Event::Outcome { key, request, outcome }));
        }
        self.end_request(request);
        self.effects.push(Effect::Refuse { request, refusal });
    }
}
