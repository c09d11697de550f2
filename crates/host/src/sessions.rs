//! Sessions that callers name without a sealed token, and what hosts share about answers' quality.
//!
//! A request with a bare session id waits for the version that the session's home entry hosts remember. The table
//! there is soft state: when nothing is found the session starts anew.

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
use crate::entry_host::Step;

/// When a caller should come back whose request the journal has no room for.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Most entry hosts up to which quality sums go to all of them, not only to those of the own data centre.
const SMALL_FLEET: usize = 12;

impl EntryHost {
    /// Hands a request to the router, after its session has been looked up where needed.
    pub(crate) fn take_request(&mut self, request: Box<Request>) {
        if !self.journal.has_capacity() {
            let message = "too many bills wait for the object API; nothing ran, come back later";
            let refusal =
                Refusal::new(ErrorKind::Overloaded, message).with_retry_after(FULL_RETRY_AFTER);
            return self.refuse(request.id, refusal);
        }
        let Some(session) = bare_session(&request).cloned() else {
            return self.push(Step::Router(route::Event::Arrived(request)));
        };
        let token = self.next_lookup;
        self.next_lookup += 1;
        let workspace = request.workspace.clone();
        self.lookups.insert(token, request);
        self.push(Step::Peers(peers::Event::SessionLookup { token, workspace, session }));
    }

    pub(crate) fn session_found(&mut self, token: u64, found: Option<ModelVersion>) {
        let Some(mut request) = self.lookups.remove(&token) else {
            return;
        };
        if let Target::Chat { session: Some(pin), .. } = &mut request.target {
            pin.version = found;
        }
        self.push(Step::Router(route::Event::Arrived(request)));
    }

    pub(crate) fn caller_gone(&mut self, request: RequestId) {
        // A request that still waits for its session reaches the router first, which then ends it in the ordinary way.
        let waiting = self.lookups.iter().find(|(_, waiting)| waiting.id == request);
        if let Some(token) = waiting.map(|(token, _)| *token) {
            self.session_found(token, None);
        }
        self.push(Step::Router(route::Event::CallerGone { request }));
    }

    /// Tells the session's home entry hosts which version it keeps.
    pub(crate) fn pin_session(&mut self, completion: &Completion) {
        let pair = completion.session.as_ref().zip(completion.model_version.as_ref());
        if let Some((session, model_version)) = pair {
            self.push(Step::Peers(peers::Event::SessionPinned {
                workspace: completion.workspace.clone(),
                session: session.clone(),
                model_version: model_version.clone(),
            }));
        }
    }

    /// Sends what was learned of answers' quality to the hosts of the own data centre, or to all of a small fleet.
    pub(crate) fn share_quality(&mut self, shared: &SharedQuality) {
        let members = self.peers.members();
        let small = members.len() <= SMALL_FLEET;
        let others = members.into_iter().filter(|member| member.host != self.cfg.host);
        let near = others.filter(|member| small || member.data_centre == self.cfg.data_centre);
        let hosts: Vec<EntryHostId> = near.map(|member| member.host).collect();
        let message = HostMessage::Quality(shared.clone());
        for host in hosts {
            self.send(host, &message);
        }
    }
}

fn bare_session(request: &Request) -> Option<&SessionId> {
    match &request.target {
        Target::Chat { session: Some(pin), .. } if pin.version.is_none() => Some(&pin.session),
        _ => None,
    }
}
