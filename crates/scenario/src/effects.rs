//! Performs the effects that entry hosts return.

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
use crate::backends::LostAttempt;
use crate::backends::PlannedOutcome;
use crate::observations::RequestOutcome;
use crate::observations::SessionKey;
use crate::store::CallOutcome;
use crate::world::Process;
use crate::world::RunningAttempt;
use crate::world::Watch;
use crate::world::WorldEvent;

/// Time after which a connection or message across a cut fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest allowed time from when a server begins to leave until it gets no new work, including the host list's lag.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(5);
/// Token usage of every answer.
const USAGE: Usage = Usage { prompt_tokens: 100, output_tokens: 50 };

impl World {
    pub(crate) fn perform(&mut self, process: &Process, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(process, &dispatch),
            Effect::Cancel { attempt } => self.cancel(attempt),
            Effect::Deliver { .. } => {}
            Effect::Complete(completion) => self.complete(*completion),
            Effect::Replay { request, .. } => {
                self.end_request(request, RequestOutcome::Replayed, None)
            }
            Effect::Refuse { request, refusal } => {
                let outcome = RequestOutcome::Refused { kind: refusal.kind, ran: refusal.ran };
                self.end_request(request, outcome, refusal.retry_after);
            }
            Effect::Rate { request } => self.rate(process, request),
            Effect::RetireConnections(server) => {
                self.backends.record_reconnect(&server, &process.host)
            }
            Effect::RetirePeer { .. } => {}
            Effect::Order(order) => {
                self.trace_line(format_args!("{} orders {}", process.host, order.server))
            }
            Effect::Store { call, op } => self.store_call(process, call, op),
            Effect::Send { to, body, .. } => self.send_message(process, to, body),
            Effect::Operator { reply, .. } => {
                match &reply {
                    Ok(reply) => self.trace_line(format_args!("operator: {reply:?}")),
                    Err(refusal) => self.trace_line(format_args!(
                        "operator refused: {} {}",
                        refusal.kind, refusal.message
                    )),
                }
                self.observations.replies.push(reply);
            }
            Effect::Notification(notification) => self.record_notification(process, &notification),
            Effect::Stopped => self.stopped(process),
        }
    }

    pub(crate) fn trace_line(&mut self, line: std::fmt::Arguments<'_>) {
        let at = self.elapsed();
        self.trace.record(at, line);
    }

    /// Ends a request for its caller, who may resend it.
    pub(crate) fn end_request(
        &mut self,
        request: RequestId,
        outcome: RequestOutcome,
        retry_after: Option<Duration>,
    ) {
        let Some(open) = self.observations.end(request, outcome.clone()) else {
            return;
        };
        let name = self
            .traffic
            .get(open.planned.traffic)
            .map_or("", |traffic| traffic.name.as_str())
            .to_owned();
        self.trace_line(format_args!("{name}[{}] ends {outcome:?}", open.planned.number));
        self.resend_if_unanswered(&open, &outcome, retry_after);
    }

    /// Fails the attempts that were lost with their server.
    pub(crate) fn lose_attempts(&mut self, lost: Vec<LostAttempt>) {
        for lost in lost {
            let Some(running) = self.attempts.remove(&lost.attempt) else {
                continue;
            };
            let update = AttemptEvent::Failed(AttemptFailure::ServerDied);
            let event = Event::Attempt { attempt: lost.attempt, update };
            self.deliver_after(Duration::from_millis(5), running.process, event);
        }
    }

    pub(crate) fn answer_changed_watches(&mut self) {
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

    pub(crate) fn expire_watch(&mut self, id: u64) {
        if let Some(watch) = self.watches.remove(&id) {
            let event = Event::Store { call: watch.call, result: Ok(self.store.nothing_changed()) };
            self.deliver(watch.process, event);
        }
    }

    fn dispatch(&mut self, process: &Process, dispatch: &Dispatch) {
        let attempt = dispatch.attempt;
        self.check_leaving(&dispatch.server);
        if let Some(version) = &dispatch.model_version {
            let at = self.elapsed();
            self.observations.record_dispatch(dispatch.request, version, at);
        }
        self.trace_line(format_args!("{} dispatches to {}", process.host, dispatch.server));
        self.deliver_after(
            Duration::ZERO,
            process.clone(),
            attempt_event(attempt, AttemptEvent::Sent),
        );
        let Some(delay) = self.delay_to(process, &dispatch.server) else {
            return self.fail(process, attempt, CONNECT_TIMEOUT, AttemptFailure::Refused);
        };
        let content = self
            .observations
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
        let planned_outcome =
            self.backends.start_attempt(&dispatch.server, &seen, self.now, &mut self.rng);
        if may_have_run(&planned_outcome) {
            self.observations.record_run(dispatch.request);
            let running =
                RunningAttempt { process: process.clone(), server: dispatch.server.clone() };
            self.attempts.insert(attempt, running);
        }
        self.schedule_outcome(process, dispatch, planned_outcome, delay * 2);
    }

    fn schedule_outcome(
        &mut self,
        process: &Process,
        dispatch: &Dispatch,
        planned_outcome: PlannedOutcome,
        round_trip: Duration,
    ) {
        let attempt = dispatch.attempt;
        match planned_outcome {
            PlannedOutcome::Refused(failure) => self.fail(process, attempt, round_trip, failure),
            PlannedOutcome::Fails { after, failure } => {
                self.fail(process, attempt, after + round_trip, failure)
            }
            PlannedOutcome::Answers { first_byte, complete, leaving } => {
                let event = attempt_event(attempt, AttemptEvent::FirstByte);
                self.deliver_after(first_byte + round_trip, process.clone(), event);
                let confidence = Some(self.rng.random_range(-1.0..2.0));
                let summary = AnswerSummary { status: 200, usage: USAGE, confidence, leaving };
                let update = AttemptEvent::Finished { summary, body: b"{}".to_vec() };
                self.deliver_after(
                    complete + round_trip,
                    process.clone(),
                    attempt_event(attempt, update),
                );
            }
            PlannedOutcome::Crashes { back_after } => {
                let lost = self.backends.crash(&dispatch.server, self.now + back_after);
                self.trace_line(format_args!("{} crashes", dispatch.server));
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
            self.backends.end_attempt(&running.server, attempt);
        }
    }

    /// Returns the update that reaches the host, if any, and ends the attempt with its final update.
    pub(crate) fn filter_attempt_update(
        &mut self,
        attempt: u128,
        update: &AttemptEvent,
    ) -> Option<AttemptEvent> {
        match update {
            AttemptEvent::Sent => return Some(update.clone()),
            AttemptEvent::Failed(_) => {
                self.cancel(attempt);
                return Some(update.clone());
            }
            AttemptEvent::FirstByte
            | AttemptEvent::Finished { .. }
            | AttemptEvent::Progress { .. } => {}
        }
        let running = self.attempts.get(&attempt)?;
        let (process, server) = (running.process.clone(), running.server.clone());
        if self.delay_to(&process, &server).is_none() {
            // A cut broke the connection, and new ones fail too.
            self.cancel(attempt);
            return Some(AttemptEvent::Failed(AttemptFailure::ServerDied));
        }
        if matches!(update, AttemptEvent::Finished { .. }) {
            self.cancel(attempt);
        }
        Some(update.clone())
    }

    fn delay_to(&self, process: &Process, server: &BackendServerId) -> Option<Duration> {
        let from = &self.hosts.get(&process.host)?.data_centre;
        self.network.delay(from, self.backends.data_centre(server)?)
    }

    fn check_leaving(&mut self, server: &BackendServerId) {
        let since = self.backends.leaving_since(server);
        let after = since.map(|since| self.now.saturating_duration_since(since));
        if let Some(after) = after.filter(|after| *after > MAX_LEAVING_DELAY)
            && self.network.is_fully_connected()
        {
            self.observations
                .violations
                .push(Violation::WorkToLeaving { server: server.clone(), after });
        }
    }

    fn complete(&mut self, completion: Completion) {
        if let (Some(session), Some(version)) = (&completion.session, &completion.model_version) {
            let key =
                SessionKey { workspace: completion.workspace.clone(), session: session.clone() };
            self.observations.record_session(
                completion.request,
                key,
                version,
                completion.session_moved,
            );
        }
        let outcome = RequestOutcome::Completed { model_version: completion.model_version.clone() };
        self.end_request(completion.request, outcome, None);
    }

    fn rate(&mut self, process: &Process, request: RequestId) {
        // The request has already ended, so its version comes from the observations.
        let unacceptable_share = self
            .rated_version(request)
            .map_or(0.03, |version| self.backends.unacceptable_share(&version));
        let acceptable = !self.rng.random_bool(unacceptable_share);
        let event = Event::Rated(Rating { request, acceptable });
        self.deliver_after(self.rating_delay, process.clone(), event);
    }

    fn rated_version(&self, request: RequestId) -> Option<ModelVersion> {
        self.observations.answered_by.get(&request).cloned()
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
            CallOutcome::Answer { after, result } => {
                self.deliver_after(after, process.clone(), Event::Store { call, result });
            }
            CallOutcome::Late { effect, after, op } => {
                self.schedule(self.now + effect, WorldEvent::LateWrite(op));
                let event = Event::Store { call, result: Err(StoreError::Unknown) };
                self.deliver_after(after, process.clone(), event);
            }
            CallOutcome::Watch { prefix, after, wait } => {
                let id = self.next_id();
                self.watches.insert(id, Watch { process: process.clone(), call, prefix, after });
                self.schedule(self.now + wait, WorldEvent::ExpireWatch(id));
            }
        }
        if is_write {
            self.answer_changed_watches();
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

    fn record_notification(&mut self, process: &Process, notification: &Notification) {
        if let Notification::InvariantViolated { detail } = notification {
            let seen = detail.clone();
            let expected = "no violated invariant".to_owned();
            self.observations.violations.push(Violation::Expectation { expected, seen });
        }
        self.trace_line(format_args!("{} {notification:?}", process.host));
    }

    fn stopped(&mut self, process: &Process) {
        self.trace_line(format_args!("{} stopped", process.host));
        if let Some(slot) = self.hosts.get_mut(&process.host) {
            slot.host = None;
        }
    }
}

fn attempt_event(attempt: u128, update: AttemptEvent) -> Event {
    Event::Attempt { attempt, update }
}

/// Whether the attempt may have run on the server.
fn may_have_run(planned_outcome: &PlannedOutcome) -> bool {
    match planned_outcome {
        PlannedOutcome::Refused(_) => false,
        PlannedOutcome::Fails { failure, .. } => *failure != AttemptFailure::SilentConnection,
        PlannedOutcome::Answers { .. } | PlannedOutcome::Crashes { .. } => true,
    }
}
