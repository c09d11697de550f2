//! Lookup of sessions that callers name without a sealed token, and exchange of quality sums between hosts.
//!
//! A request with only a session id waits for the version that the session's owning entry hosts remember. Their table
//! is soft state: if nothing is found, the session starts anew.

use std::time::Duration;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::Target;
use foxtailhoist_peers::event as peers;
use foxtailhoist_route::event as route;
use foxtailhoist_route::event::Completion;
use foxtailhoist_route::shared::SharedQuality;

use crate::EntryHost;
use crate::HostMessage;
use crate::entry_host::InternalEvent;

/// Retry delay sent to a caller while the journal is full.
const JOURNAL_FULL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Largest fleet in which quality sums are sent to all entry hosts rather than only those of the same data centre.
const SMALL_FLEET_MAX_HOSTS: usize = 12;

impl EntryHost {
    /// Passes a request to the router, after looking up its session where needed.
    pub(crate) fn handle_request(&mut self, request: Box<Request>) {
        if !self.journal.has_capacity() {
            let message = "too many bills wait for the object API; nothing ran, come back later";
            let refusal = Refusal::new(ErrorKind::Overloaded, message)
                .with_retry_after(JOURNAL_FULL_RETRY_AFTER);
            return self.refuse(request.id, refusal);
        }
        let Some(session) = unresolved_session(&request).cloned() else {
            return self.enqueue(InternalEvent::Router(route::Event::Arrived(request)));
        };
        let token = self.next_lookup_token;
        self.next_lookup_token += 1;
        let workspace = request.workspace.clone();
        self.session_lookups.insert(token, request);
        self.enqueue(InternalEvent::Peers(peers::Event::SessionLookup {
            token,
            workspace,
            session,
        }));
    }

    pub(crate) fn session_found(&mut self, token: u64, found: Option<ModelVersion>) {
        let Some(mut request) = self.session_lookups.remove(&token) else {
            return;
        };
        if let Target::Chat { session: Some(pin), .. } = &mut request.target {
            pin.version = found;
        }
        self.enqueue(InternalEvent::Router(route::Event::Arrived(request)));
    }

    pub(crate) fn caller_disconnected(&mut self, request: RequestId) {
        // A request that still waits for its session goes to the router first, which then ends it as usual.
        let waiting = self.session_lookups.iter().find(|(_, waiting)| waiting.id == request);
        if let Some(token) = waiting.map(|(token, _)| *token) {
            self.session_found(token, None);
        }
        self.enqueue(InternalEvent::Router(route::Event::CallerGone { request }));
    }

    /// Reports the version that a session keeps to the session's owning entry hosts.
    pub(crate) fn pin_session(&mut self, completion: &Completion) {
        let pair = completion.session.as_ref().zip(completion.model_version.as_ref());
        if let Some((session, model_version)) = pair {
            self.enqueue(InternalEvent::Peers(peers::Event::SessionPinned {
                workspace: completion.workspace.clone(),
                session: session.clone(),
                model_version: model_version.clone(),
            }));
        }
    }

    /// Sends quality sums to the other hosts of this data centre, or to all hosts of a small fleet.
    pub(crate) fn share_quality(&mut self, shared: &SharedQuality) {
        let members = self.peers.members();
        let small = members.len() <= SMALL_FLEET_MAX_HOSTS;
        let others = members.into_iter().filter(|member| member.host != self.cfg.host);
        let near = others.filter(|member| small || member.data_centre == self.cfg.data_centre);
        let hosts: Vec<EntryHostId> = near.map(|member| member.host).collect();
        let message = HostMessage::Quality(shared.clone());
        for host in hosts {
            self.send(host, &message);
        }
    }
}

/// Session of a request whose version is not known yet.
fn unresolved_session(request: &Request) -> Option<&SessionId> {
    match &request.target {
        Target::Chat { session: Some(pin), .. } if pin.version.is_none() => Some(&pin.session),
        _ => None,
    }
}
