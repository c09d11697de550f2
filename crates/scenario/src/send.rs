//! Callers at work: sending, leaving, sending again.

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

use crate::Traffic;
use crate::Turn;
use crate::World;
use crate::book::Ending;
use crate::book::Open;
use crate::book::SessionKey;
use crate::callers::Call;
use crate::default::SERVICE;
use crate::world::Happening;

/// Wait before a caller sends again, where the refusal named none.
const RESEND_WAIT: Duration = Duration::from_secs(1);

impl World {
    pub(crate) fn plan_traffic(&mut self) {
        let turns: Vec<(Duration, Turn)> =
            self.traffic.iter().enumerate().flat_map(turns).collect();
        for (at, turn) in turns {
            self.send_at(at, turn);
        }
    }

    pub(crate) fn send(&mut self, turn: Turn) {
        let Some(traffic) = self.traffic.get(turn.traffic).cloned() else {
            return;
        };
        let Some(host) = self.balance(traffic.to.as_ref()) else {
            self.book.endings.entry(turn.traffic).or_default().push(Ending::NoHost);
            return self.resend_later(turn, RESEND_WAIT);
        };
        let mut request = self.request(&traffic, turn);
        let kept = self.kept_version(&request);
        show_token(&traffic, &mut request, kept.as_ref());
        if self.book.open.contains_key(&request.id) {
            // The same key is in progress; the server refuses it before the host sees it.
            return self.resend_later(turn, RESEND_WAIT);
        }
        let open = Open {
            turn,
            host: host.clone(),
            workspace: request.workspace.clone(),
            caller: request.caller,
            deadline: request.deadline,
            key: claim_key(&request),
            session: session(&request),
            kept,
            content: traffic.content(turn.number),
            left: false,
            runs: 0,
        };
        let id = request.id;
        self.book.open.insert(id, open);
        if let Some(after) = traffic.leaves_after {
            self.schedule(self.now + after.0, Happening::Leave(id));
        }
        if let Some(process) = self.process(&host) {
            self.hand(process, Event::Request(Box::new(request)));
        }
    }

    pub(crate) fn caller_leaves(&mut self, request: RequestId) {
        let Some(open) = self.book.open.get_mut(&request) else {
            return;
        };
        open.left = true;
        let host = open.host.clone();
        if let Some(process) = self.process(&host) {
            self.hand(process, Event::CallerDisconnected { request });
        }
    }

    /// A caller that does not have its answer sends again, as often as its traffic says.
    pub(crate) fn consider_resend(
        &mut self,
        open: &Open,
        ending: &Ending,
        retry_after: Option<Duration>,
    ) {
        let again = match ending {
            Ending::Refused { ran: Ran::NotRun | Ran::Unknown, .. }
            | Ending::Lost
            | Ending::NoHost => true,
            Ending::Refused { ran: Ran::Ran, .. }
            | Ending::Whole { .. }
            | Ending::Replayed
            | Ending::Left => false,
        };
        if again && !open.left {
            self.resend_later(open.turn, retry_after.unwrap_or(RESEND_WAIT).max(RESEND_WAIT));
        }
    }

    /// Version of the last answer in the request's session.
    fn kept_version(&self, request: &Request) -> Option<ModelVersion> {
        let key = SessionKey { workspace: request.workspace.clone(), session: session(request)? };
        self.book.sessions.get(&key).cloned()
    }

    fn resend_later(&mut self, turn: Turn, after: Duration) {
        let allowed = self.traffic.get(turn.traffic).map_or(0, |traffic| traffic.resend);
        if turn.resend < allowed {
            let turn = Turn { resend: turn.resend + 1, ..turn };
            self.schedule(self.now + after, Happening::Send(turn));
        }
    }

    /// The next ready host in turn, or the one that is asked for.
    fn balance(&mut self, wanted: Option<&EntryHostId>) -> Option<EntryHostId> {
        let fits = |id: &&EntryHostId| wanted.is_none_or(|wanted| wanted == *id);
        let ready = self.alive().filter(|(_, host)| host.is_ready()).map(|(id, _)| id);
        let ready: Vec<EntryHostId> = ready.filter(fits).cloned().collect();
        self.balanced += 1;
        let index = self.balanced.checked_rem(ready.len())?;
        ready.get(index).cloned()
    }

    fn request(&mut self, traffic: &Traffic, turn: Turn) -> Request {
        let caller = u64::from(turn.number % traffic.callers.max(1));
        let key = traffic.key.as_ref().map(|key| key.replace("{n}", &turn.number.to_string()));
        let id = match &key {
            Some(key) => key_id(&traffic.workspace, key),
            None => self.rng.random(),
        };
        let content = traffic.content(turn.number);
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

fn turns((index, traffic): (usize, &Traffic)) -> Vec<(Duration, Turn)> {
    let at = |number: u32| traffic.from.0 + traffic.every.0 * number;
    (0..traffic.count)
        .map(|number| (at(number), Turn { traffic: index, number, resend: 0 }))
        .collect()
}

fn key_id(workspace: &str, key: &str) -> RequestId {
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

/// Puts the version of the session's sealed token into the request, as the server does when it opens the token.
fn show_token(traffic: &Traffic, request: &mut Request, kept: Option<&ModelVersion>) {
    if let (Call::Chat { token: true, .. }, Target::Chat { session: Some(pin), .. }) =
        (&traffic.call, &mut request.target)
    {
        pin.version = kept.cloned();
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
