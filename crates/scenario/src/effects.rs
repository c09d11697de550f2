//! Carries out what entry hosts ask for.

use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_host::event::AttemptEvent;
use foxtailhoist_host::event::Effect;
use foxtailhoist_host::event::Event;
use foxtailhoist_host::event::Notification;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Rating;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::Usage;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Completion;
use foxtailhoist_route::event::Dispatch;
use rand::RngExt;

use crate::Violation;
use crate::World;
use crate::backends::Attempt;
use crate::backends::Lost;
use crate::backends::Run;
use crate::book::Ending;
use crate::book::SessionKey;
use crate::store::Call;
use crate::world::Happening;
use crate::world::Process;
use crate::world::Running;
use crate::world::Watch;

/// Time after which a connection or message across a cut is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time from the first sign that a server leaves until it gets no new work; the host list's lag comes first.
const LEAVING_BOUND: Duration = Duration::from_secs(5);
/// Tokens of every answer.
const USAGE: Usage = Usage { prompt_tokens: 100, output_tokens: 50 };

impl World {
    pub(crate) fn perform(&mut self, process: &Process, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(process, &dispatch),
            Effect::Cancel { attempt } => self.cancel(attempt),
            Effect::Deliver { .. } => {}
            Effect::Complete(completion) => self.complete(*completion),
            Effect::Replay { request, .. } => self.end_request(request, Ending::Replayed, None),
            Effect::Refuse { request, refusal } => {
                let ending = Ending::Refused { kind: refusal.kind, ran: refusal.ran };
                self.end_request(request, ending, refusal.retry_after);
            }
            Effect::Rate { request } => self.rate(process, request),
            Effect::RetireConnections(server) => self.backends.reconnected(&server, &process.host),
            Effect::RetirePeer { .. } => {}
            Effect::Order(order) => {
                self.line(format_args!("{} orders {}", process.host, order.server))
            }
            Effect::Store { call, op } => self.store_call(process, call, op),
            Effect::Send { to, body, .. } => self.send_message(process, to, body),
            Effect::Operator { reply, .. } => {
                match &reply {
                    Ok(reply) => self.line(format_args!("operator: {reply:?}")),
                    Err(refusal) => self.line(format_args!(
                        "operator refused: {} {}",
                        refusal.kind, refusal.message
                    )),
                }
                self.book.replies.push(reply);
            }
            Effect::Notification(note) => self.note(process, &note),
            Effect::Stopped => self.stopped(process),
        }
    }

    pub(crate) fn line(&mut self, line: std::fmt::Arguments<'_>) {
        let at = self.elapsed();
        self.trace.note(at, line);
    }

    /// Ends a request for its caller, who may send it again.
    pub(crate) fn end_request(
        &mut self,
        request: RequestId,
        ending: Ending,
        retry_after: Option<Duration>,
    ) {
        let Some(open) = self.book.end(request, ending.clone()) else {
            return;
        };
        let name = self
            .traffic
            .get(open.turn.traffic)
            .map_or("", |traffic| traffic.name.as_str())
            .to_owned();
        self.line(format_args!("{name}[{}] ends {ending:?}", open.turn.number));
        self.consider_resend(&open, &ending, retry_after);
    }

    /// The server's attempts are lost with it.
    pub(crate) fn lose_attempts(&mut self, lost: Vec<Lost>) {
        for lost in lost {
            let Some(running) = self.attempts.remove(&lost.attempt) else {
                continue;
            };
            let update = AttemptEvent::Failed(AttemptFailure::ServerDied);
            let event = Event::Attempt { attempt: lost.attempt, update };
            self.deliver_after(Duration::from_millis(5), running.process, event);
        }
    }

    pub(crate) fn answer_watches(&mut self) {
        let ids: Vec<u64> = self.watches.keys().copied().collect();
        for id in ids {
            let Some(watch) = self.watches.get(&id) else {
                continue;
            };
            if let Some(reply) = self.store.changed(&watch.prefix, watch.after)
                && let Some(watch) = self.watches.remove(&id)
            {
                let event = Event::Store { call: watch.call, result: Ok(reply) };
                self.deliver_after(Duration::from_millis(2), watch.process, event);
            }
        }
    }

    pub(crate) fn watch_ends(&mut self, id: u64) {
        if let Some(watch) = self.watches.remove(&id) {
            let event = Event::Store { call: watch.call, result: Ok(self.store.nothing_changed()) };
            self.hand(watch.process, event);
        }
    }

    fn dispatch(&mut self, process: &Process, dispatch: &Dispatch) {
        let attempt = dispatch.attempt;
        self.check_leaving(&dispatch.server);
        if let Some(version) = &dispatch.model_version {
            let at = self.elapsed();
            self.book.note_dispatch(dispatch.request, version, at);
        }
        self.line(format_args!("{} dispatches to {}", process.host, dispatch.server));
        self.deliver_after(
            Duration::ZERO,
            process.clone(),
            attempt_event(attempt, AttemptEvent::Sent),
        );
        let Some(delay) = self.delay_to(process, &dispatch.server) else {
            return self.fail(process, attempt, CONNECT_TIMEOUT, AttemptFailure::Refused);
        };
        let content = self
            .book
            .open
            .get(&dispatch.request)
            .map(|open| open.content.clone())
            .unwrap_or_default();
        let seen = Attempt {
            id: attempt,
            host: &process.host,
            model_version: dispatch.model_version.as_ref(),
            content: &content,
            first_byte_timeout: dispatch.first_byte_timeout,
        };
        let run = self.backends.start(&dispatch.server, &seen, self.now, &mut self.rng);
        if took_in(&run) {
            self.book.note_run(dispatch.request);
            let running = Running { process: process.clone(), server: dispatch.server.clone() };
            self.attempts.insert(attempt, running);
        }
        self.follow(process, dispatch, run, delay * 2);
    }

    fn follow(&mut self, process: &Process, dispatch: &Dispatch, run: Run, round_trip: Duration) {
        let attempt = dispatch.attempt;
        match run {
            Run::Refused(failure) => self.fail(process, attempt, round_trip, failure),
            Run::Fails { after, failure } => {
                self.fail(process, attempt, after + round_trip, failure)
            }
            Run::Answers { first, whole, leaving } => {
                let event = attempt_event(attempt, AttemptEvent::FirstByte);
                self.deliver_after(first + round_trip, process.clone(), event);
                let confidence = Some(self.rng.random_range(-1.0..2.0));
                let summary = AnswerSummary { status: 200, usage: USAGE, confidence, leaving };
                let news = AttemptEvent::Finished { summary, body: b"{}".to_vec() };
                self.deliver_after(
                    whole + round_trip,
                    process.clone(),
                    attempt_event(attempt, news),
                );
            }
            Run::Dies { back_after } => {
                let lost = self.backends.die(&dispatch.server, self.now + back_after);
                self.line(format_args!("{} dies", dispatch.server));
                self.lose_attempts(lost);
            }
        }
    }

    fn fail(&mut self, process: &Process, attempt: u128, after: Duration, failure: AttemptFailure) {
        let event = attempt_event(attempt, AttemptEvent::Failed(failure));
        self.deliver_after(after, process.clone(), event);
    }

    fn cancel(&mut self, attempt: u128) {
        if let Some(running) = self.attempts.remove(&attempt) {
            self.backends.end(&running.server, attempt);
        }
    }

    /// Whether news of an attempt still reach its host; ends the attempt with its last news.
    pub(crate) fn attempt_news(
        &mut self,
        attempt: u128,
        news: &AttemptEvent,
    ) -> Option<AttemptEvent> {
        match news {
            AttemptEvent::Sent => return Some(news.clone()),
            AttemptEvent::Failed(_) => {
                self.cancel(attempt);
                return Some(news.clone());
            }
            AttemptEvent::FirstByte
            | AttemptEvent::Finished { .. }
            | AttemptEvent::Progress { .. } => {}
        }
        let running = self.attempts.get(&attempt)?;
        let (process, server) = (running.process.clone(), running.server.clone());
        if self.delay_to(&process, &server).is_none() {
            // The connection broke across a cut, and new ones fail too.
            self.cancel(attempt);
            return Some(AttemptEvent::Failed(AttemptFailure::ServerDied));
        }
        if matches!(news, AttemptEvent::Finished { .. }) {
            self.cancel(attempt);
        }
        Some(news.clone())
    }

    fn delay_to(&self, process: &Process, server: &BackendServerId) -> Option<Duration> {
        let from = &self.hosts.get(&process.host)?.data_centre;
        self.network.delay(from, self.backends.data_centre(server)?)
    }

    fn check_leaving(&mut self, server: &BackendServerId) {
        let since = self.backends.leaving_since(server);
        let after = since.map(|since| self.now.saturating_duration_since(since));
        if let Some(after) = after.filter(|after| *after > LEAVING_BOUND)
            && self.network.is_whole()
        {
            self.book.violations.push(Violation::WorkToLeaving { server: server.clone(), after });
        }
    }

    fn complete(&mut self, completion: Completion) {
        if let (Some(session), Some(version)) = (&completion.session, &completion.model_version) {
            let key =
                SessionKey { workspace: completion.workspace.clone(), session: session.clone() };
            self.book.note_session(completion.request, key, version, completion.session_moved);
        }
        let ending = Ending::Whole { model_version: completion.model_version.clone() };
        self.end_request(completion.request, ending, None);
    }

    fn rate(&mut self, process: &Process, request: RequestId) {
        // The request has ended by now; which version answered it is in the trace of its session or traffic.
        let unacceptable = self
            .rated_version(request)
            .map_or(0.03, |version| self.backends.unacceptable(&version));
        let acceptable = !self.rng.random_bool(unacceptable);
        let event = Event::Rated(Rating { request, acceptable });
        self.deliver_after(self.rating_delay, process.clone(), event);
    }

    fn rated_version(&self, request: RequestId) -> Option<ModelVersion> {
        self.book.answered_by.get(&request).cloned()
    }

    fn store_call(&mut self, process: &Process, call: u64, op: StoreOp) {
        let reaches = self
            .hosts
            .get(&process.host)
            .is_some_and(|slot| self.network.reaches_platform(&slot.data_centre));
        if !reaches {
            let event = Event::Store { call, result: Err(StoreError::Unavailable) };
            return self.deliver_after(CONNECT_TIMEOUT, process.clone(), event);
        }
        let is_write = op.is_write();
        match self.store.call(op, &mut self.rng) {
            Call::Answer { after, result } => {
                self.deliver_after(after, process.clone(), Event::Store { call, result });
            }
            Call::Late { effect, after, op } => {
                self.schedule(self.now + effect, Happening::LateWrite(op));
                let event = Event::Store { call, result: Err(StoreError::Unknown) };
                self.deliver_after(after, process.clone(), event);
            }
            Call::Watch { prefix, after, wait } => {
                let id = self.next_id();
                self.watches.insert(id, Watch { process: process.clone(), call, prefix, after });
                self.schedule(self.now + wait, Happening::WatchEnds(id));
            }
        }
        if is_write {
            self.answer_watches();
        }
    }

    fn send_message(&mut self, from: &Process, to: EntryHostId, body: Bytes) {
        let delay = match (self.hosts.get(&from.host), self.hosts.get(&to)) {
            (Some(source), Some(target)) => {
                self.network.delay(&source.data_centre, &target.data_centre)
            }
            _ => None,
        };
        match (delay, self.process(&to)) {
            (Some(delay), Some(target)) => {
                let event = Event::Message { from: from.host.clone(), body };
                self.deliver_after(delay, target, event);
            }
            (Some(delay), None) => {
                self.deliver_after(delay * 2, from.clone(), Event::SendFailed { to })
            }
            (None, _) => {
                self.deliver_after(CONNECT_TIMEOUT, from.clone(), Event::SendFailed { to })
            }
        }
    }

    fn note(&mut self, process: &Process, note: &Notification) {
        if let Notification::InvariantViolated { detail } = note {
            let seen = detail.clone();
            let expected = "no violated invariant".to_owned();
            self.book.violations.push(Violation::Expectation { expected, seen });
        }
        self.line(format_args!("{} {note:?}", process.host));
    }

    fn stopped(&mut self, process: &Process) {
        self.line(format_args!("{} stopped", process.host));
        if let Some(slot) = self.hosts.get_mut(&process.host) {
            slot.host = None;
        }
    }
}

fn attempt_event(attempt: u128, update: AttemptEvent) -> Event {
    Event::Attempt { attempt, update }
}

/// Whether the request may have run.
fn took_in(run: &Run) -> bool {
    match run {
        Run::Refused(_) => false,
        Run::Fails { failure, .. } => *failure != AttemptFailure::SilentConnection,
        Run::Answers { .. } | Run::Dies { .. } => true,
    }
}
