//! Sending, resending and disconnecting of callers.

use std::time::Duration;

use foxtailhoist_host::event::Event;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Idempotency;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::SessionPin;
use foxtailhoist_model::Target;
use foxtailhoist_model::stable_hash;
use rand::RngExt;

use crate::PlannedRequest;
use crate::Traffic;
use crate::World;
use crate::callers::Call;
use crate::default::SERVICE;
use crate::observations::OpenRequest;
use crate::observations::RequestOutcome;
use crate::observations::SessionKey;
use crate::world::WorldEvent;

/// Minimum delay before a caller resends; also the delay if the refusal gives none.
const RESEND_DELAY: Duration = Duration::from_secs(1);

impl World {
    pub(crate) fn schedule_traffic(&mut self) {
        let planned_requests: Vec<(Duration, PlannedRequest)> =
            self.traffic.iter().enumerate().flat_map(planned_requests).collect();
        for (at, planned) in planned_requests {
            self.send_at(at, planned);
        }
    }

    pub(crate) fn send(&mut self, planned: PlannedRequest) {
        let Some(traffic) = self.traffic.get(planned.traffic).cloned() else {
            return;
        };
        let Some(host) = self.pick_host(traffic.to.as_ref()) else {
            self.observations
                .outcomes
                .entry(planned.traffic)
                .or_default()
                .push(RequestOutcome::NoHost);
            return self.resend_later(planned, RESEND_DELAY);
        };
        let mut request = self.request(&traffic, planned);
        let session_version = self.session_version(&request);
        apply_session_token(&traffic, &mut request, session_version.as_ref());
        if self.observations.open.contains_key(&request.id) {
            // A request with the same key is in progress, which the server refuses before it reaches the host.
            return self.resend_later(planned, RESEND_DELAY);
        }
        let open = OpenRequest {
            planned,
            host: host.clone(),
            workspace: request.workspace.clone(),
            caller: request.caller,
            deadline: request.deadline,
            key: claim_key(&request),
            session: session(&request),
            session_version,
            content: traffic.content(planned.number),
            disconnected: false,
            runs: 0,
        };
        let id = request.id;
        self.observations.open.insert(id, open);
        if let Some(after) = traffic.leaves_after {
            self.schedule(self.now + after.0, WorldEvent::Disconnect(id));
        }
        if let Some(process) = self.process(&host) {
            self.deliver(process, Event::Request(Box::new(request)));
        }
    }

    pub(crate) fn disconnect_caller(&mut self, request: RequestId) {
        let Some(open) = self.observations.open.get_mut(&request) else {
            return;
        };
        open.disconnected = true;
        let host = open.host.clone();
        if let Some(process) = self.process(&host) {
            self.deliver(process, Event::CallerDisconnected { request });
        }
    }

    /// Resends a request without an answer, up to the limit of its traffic.
    pub(crate) fn resend_if_unanswered(
        &mut self,
        open: &OpenRequest,
        outcome: &RequestOutcome,
        retry_after: Option<Duration>,
    ) {
        let should_resend = match outcome {
            RequestOutcome::Refused { ran: Ran::NotRun | Ran::Unknown, .. }
            | RequestOutcome::Lost
            | RequestOutcome::NoHost => true,
            RequestOutcome::Refused { ran: Ran::Ran, .. }
            | RequestOutcome::Completed { .. }
            | RequestOutcome::Replayed
            | RequestOutcome::Disconnected => false,
        };
        if should_resend && !open.disconnected {
            self.resend_later(open.planned, retry_after.unwrap_or(RESEND_DELAY).max(RESEND_DELAY));
        }
    }

    /// Model version of the last answer in the request's session.
    fn session_version(&self, request: &Request) -> Option<ModelVersion> {
        let key = SessionKey { workspace: request.workspace.clone(), session: session(request)? };
        self.observations.sessions.get(&key).cloned()
    }

    fn resend_later(&mut self, planned: PlannedRequest, after: Duration) {
        let allowed = self.traffic.get(planned.traffic).map_or(0, |traffic| traffic.resend);
        if planned.resend < allowed {
            let planned = PlannedRequest { resend: planned.resend + 1, ..planned };
            self.schedule(self.now + after, WorldEvent::Send(planned));
        }
    }

    /// The next ready host in turn, or the wanted one if it is ready.
    fn pick_host(&mut self, wanted: Option<&EntryHostId>) -> Option<EntryHostId> {
        let fits = |id: &&EntryHostId| wanted.is_none_or(|wanted| wanted == *id);
        let ready = self.running_hosts().filter(|(_, host)| host.is_ready()).map(|(id, _)| id);
        let ready: Vec<EntryHostId> = ready.filter(fits).cloned().collect();
        self.balancer_position += 1;
        let index = self.balancer_position.checked_rem(ready.len())?;
        ready.get(index).cloned()
    }

    fn request(&mut self, traffic: &Traffic, planned: PlannedRequest) -> Request {
        let caller = u64::from(planned.number % traffic.callers.max(1));
        let key = traffic.key.as_ref().map(|key| key.replace("{n}", &planned.number.to_string()));
        let id = match &key {
            Some(key) => request_id_for_key(&traffic.workspace, key),
            None => self.rng.random(),
        };
        let content = traffic.content(planned.number);
        Request {
            id,
            workspace: traffic.workspace.clone(),
            caller: stable_hash(1, &[traffic.workspace.as_bytes(), &caller.to_le_bytes()]),
            target: target(traffic, caller),
            priority: traffic.priority,
            idempotency: idempotency(traffic, key, id),
            deadline: self.now + traffic.deadline.0,
            fingerprint: stable_hash(2, &[traffic.workspace.as_bytes(), content.as_bytes()]),
        }
    }
}

impl Traffic {
    fn content(&self, number: u32) -> String {
        self.content.clone().unwrap_or_else(|| format!("{} {number}", self.name))
    }
}

fn planned_requests((index, traffic): (usize, &Traffic)) -> Vec<(Duration, PlannedRequest)> {
    let at = |number: u32| traffic.from.0 + traffic.every.0 * number;
    (0..traffic.count)
        .map(|number| (at(number), PlannedRequest { traffic: index, number, resend: 0 }))
        .collect()
}

fn request_id_for_key(workspace: &str, key: &str) -> RequestId {
    let half = |seed| u128::from(stable_hash(seed, &[workspace.as_bytes(), key.as_bytes()]));
    half(3) << 64 | half(4)
}

fn target(traffic: &Traffic, caller: u64) -> Target {
    match &traffic.call {
        Call::Renewal => Target::Service { service: SERVICE.to_owned() },
        Call::Chat { class, streamed, session, model, .. } => Target::Chat {
            class: class.clone(),
            model: model.clone(),
            session: session.as_ref().map(|session| SessionPin {
                session: format!("{session}-{caller}"),
                version: None,
            }),
            prompt_tokens: 100,
            max_output_tokens: 50,
            prefix: 7,
            prefix_tokens: 60,
            streamed: *streamed,
        },
    }
}

fn idempotency(traffic: &Traffic, key: Option<String>, id: RequestId) -> Idempotency {
    match traffic.call {
        Call::Chat { .. } => Idempotency::Idempotent,
        Call::Renewal => {
            let from_caller = key.is_some();
            Idempotency::AtMostOnce { key: key.unwrap_or_else(|| format!("{id:x}")), from_caller }
        }
    }
}

/// Sets the session's version in the request, as the server does when it opens the sealed token.
fn apply_session_token(
    traffic: &Traffic,
    request: &mut Request,
    session_version: Option<&ModelVersion>,
) {
    if let (Call::Chat { token: true, .. }, Target::Chat { session: Some(pin), .. }) =
        (&traffic.call, &mut request.target)
    {
        pin.version = session_version.cloned();
    }
}

fn claim_key(request: &Request) -> Option<ClaimKey> {
    match &request.idempotency {
        Idempotency::Idempotent => None,
        Idempotency::AtMostOnce { key, .. } => {
            Some(ClaimKey { workspace: request.workspace.clone(), idempotency_key: key.clone() })
        }
    }
}

fn session(request: &Request) -> Option<String> {
    match &request.target {
        Target::Chat { session, .. } => session.as_ref().map(|pin| pin.session.clone()),
        Target::Service { .. } => None,
    }
}
