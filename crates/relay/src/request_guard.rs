//! Tracks an in-flight request and its current attempt, and records the end of both however the request ends.
//!
//! When a caller disconnects, the task that serves it is dropped at an arbitrary point. Dropping the [`RequestGuard`]
//! then ends the attempt in the dispatcher and logs that the caller disconnected.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Refusal;
use foxtailhoist_route::backends::probe::Probe;
use foxtailhoist_route::backends::probe::ProbeOutcome;
use foxtailhoist_route::backends::probe::ProbeReason;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::Attempt;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::in_flight::InFlightRequest;
use tokio::task::spawn_local;

use crate::conn::SERVER_CONNECT_TIMEOUT;
use crate::core::Core;
use crate::log_event::LogEvent;
use crate::stream::EventSource;

/// Interval between checks for server activity; two of them exceed the silence after which a server is probed.
pub(crate) const LIVENESS_POLL_INTERVAL: Duration = Duration::from_millis(230);

/// Time for a crashing process to stop listening after it has broken off its answers.
const CRASH_PROBE_DELAY: Duration = Duration::from_millis(50);
/// Maximum time for which a silent server's stream stays open after another server got the request: two servers may work
/// on one stream only for a moment.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(250);

/// A caller's request while it is served.
pub(crate) struct RequestGuard {
    pub(crate) core: Rc<Core>,
    pub(crate) req: InFlightRequest,
    current: Option<CurrentAttempt>,
    /// Outcome of the last attempt that ended.
    last_outcome: Option<AttemptOutcome>,
    set_aside: Option<SetAside>,
    pub(crate) source: RequestSource,
    is_finished: bool,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSource {
    Caller,
    /// Another entry host handed it over; it goes to no third one.
    EntryHost,
}

/// A silent attempt whose stream goes on if no other server takes it over.
struct SetAside {
    current: CurrentAttempt,
    source: EventSource,
    /// Log reason if another server takes over.
    reason: &'static str,
    /// When the attempt ends at the latest, once the request was sent to another server.
    ends_at: Option<Instant>,
}

/// The attempt in progress.
struct CurrentAttempt {
    attempt: Box<Attempt>,
    started: Instant,
    /// When the head of its answer arrived.
    head_at: Option<Instant>,
}

impl RequestGuard {
    pub(crate) fn new(core: Rc<Core>, req: InFlightRequest, source: RequestSource) -> RequestGuard {
        RequestGuard {
            core,
            req,
            current: None,
            last_outcome: None,
            set_aside: None,
            source,
            is_finished: false,
        }
    }

    /// Returns the next step; an attempt to send is already counted as started.
    pub(crate) fn next_step(&mut self) -> Step {
        let now = Instant::now();
        let step = self.core.dispatcher.borrow_mut().next_step(&mut self.req, now);
        if let Step::Send(attempt) = &step {
            let attempt = attempt.clone();
            self.current = Some(CurrentAttempt { attempt, started: now, head_at: None });
        }
        step
    }

    /// Whether the request has reached no server, and none can be reached from here.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.core.dispatcher.borrow().is_request_cut_off(&self.req)
    }

    /// Refusal of a request that was handed over to this host and is cut off here, too.
    pub(crate) fn refuse_cut_off(&self) -> Refusal {
        self.core.dispatcher.borrow().refuse_cut_off(&self.req, Instant::now())
    }

    /// Whether a refusal is due to servers that cannot be reached from here.
    pub(crate) fn is_out_of_reach(&self, refusal: &Refusal) -> bool {
        self.core.dispatcher.borrow().is_out_of_reach(&self.req, refusal)
    }

    /// Records that the attempt has a new connection.
    pub(crate) fn record_connected(&self) {
        if let Some(current) = &self.current {
            let now = Instant::now();
            self.core.dispatcher.borrow_mut().attempt_connected(&current.attempt, now);
        }
    }

    /// Whether the attempt must not be sent any more, because its server's data centre was evacuated.
    pub(crate) fn is_withdrawn(&self) -> bool {
        let dispatcher = self.core.dispatcher.borrow();
        self.current
            .as_ref()
            .is_some_and(|current| dispatcher.backends().is_withdrawn(&current.attempt))
    }

    /// Counts the attempt as sent; called once it has a connection, just before its request is written.
    pub(crate) fn record_sent(&mut self) {
        if let Some(current) = &self.current {
            let now = Instant::now();
            let mut dispatcher = self.core.dispatcher.borrow_mut();
            dispatcher.attempt_sent(&mut self.req, &current.attempt, now);
            if let Some(set_aside) = &mut self.set_aside {
                set_aside.ends_at.get_or_insert(now + TAKE_OVER_TIMEOUT);
            }
        }
    }

    /// Sets the current attempt aside while other servers are tried.
    pub(crate) fn set_aside(&mut self, source: EventSource, reason: &'static str) {
        let current = self.current.take();
        self.set_aside = current.map(|current| SetAside { current, source, reason, ends_at: None });
    }

    /// Makes the attempt that was set aside the current one again, if it has not ended.
    pub(crate) fn resume_set_aside(&mut self) -> Option<EventSource> {
        let SetAside { current, source, .. } = self.set_aside.take()?;
        self.current = Some(current);
        Some(source)
    }

    /// When the attempt that was set aside ends at the latest.
    pub(crate) fn set_aside_ends_at(&self) -> Option<Instant> {
        self.set_aside.as_ref().and_then(|set_aside| set_aside.ends_at)
    }

    /// Ends the attempt that was set aside, if any.
    pub(crate) fn end_set_aside(&mut self) {
        if let Some(SetAside { current, source, reason, .. }) = self.set_aside.take() {
            source.close();
            self.end(current, AttemptOutcome::Silent, reason);
        }
    }

    /// Records the response head; returns what to do with the answer.
    pub(crate) fn record_head(&mut self, head: &AnswerHead, elapsed: Duration) -> HeadVerdict {
        let Some(current) = &mut self.current else {
            return HeadVerdict::Drop(AttemptOutcome::Cancelled);
        };
        let now = Instant::now();
        let mut dispatcher = self.core.dispatcher.borrow_mut();
        let verdict = dispatcher.head_received(&mut self.req, &current.attempt, head, elapsed, now);
        current.head_at = (head.echoes_request_id && !head.not_run).then_some(now);
        verdict
    }

    /// Records that events of the stream arrived.
    pub(crate) fn record_progress(&mut self, gap: Option<Duration>) {
        if let Some(current) = &self.current {
            let now = Instant::now();
            let mut dispatcher = self.core.dispatcher.borrow_mut();
            dispatcher.event_received(&mut self.req, &current.attempt, gap, now);
            drop(dispatcher);
            self.core.handle_notifications();
        }
    }

    /// Whether an attempt without a response head should be abandoned.
    pub(crate) fn is_head_overdue(&mut self, started: Instant) -> bool {
        let dispatcher = self.core.dispatcher.borrow();
        self.current.as_ref().is_none_or(|current| {
            let now = Instant::now();
            dispatcher.is_head_overdue(&mut self.req, &current.attempt, started, now)
        })
    }

    /// Whether a stream without an event since `since` should be abandoned.
    pub(crate) fn is_stalled(&mut self, since: Instant) -> bool {
        let dispatcher = self.core.dispatcher.borrow();
        self.current.as_ref().is_some_and(|current| {
            dispatcher.is_stalled(&mut self.req, &current.attempt, since, Instant::now())
        })
    }

    /// Whether a probe found the attempt's server unreachable.
    pub(crate) fn is_server_lost(&self) -> bool {
        let dispatcher = self.core.dispatcher.borrow();
        self.current
            .as_ref()
            .is_some_and(|current| dispatcher.backends().is_unreachable(&current.attempt))
    }

    /// Probes the attempt's server if it has been silent for too long since `since`.
    pub(crate) fn probe_silent_server(&self, since: Instant) {
        let Some(current) = &self.current else {
            return;
        };
        let now = Instant::now();
        let probe = self.core.dispatcher.borrow_mut().take_probe(&current.attempt, since, now);
        if let Some(probe) = probe {
            spawn_local(probe_server(self.core.clone(), probe));
        }
    }

    /// Ends the current attempt, if any.
    pub(crate) fn end_attempt(&mut self, outcome: AttemptOutcome, reason: &str) {
        if let Some(current) = self.current.take() {
            self.end(current, outcome, reason);
        }
        let is_not_run = matches!(
            outcome,
            AttemptOutcome::Unreachable
                | AttemptOutcome::Misdirected
                | AttemptOutcome::Evacuated
                | AttemptOutcome::Full { .. }
        );
        if !is_not_run {
            // Another server may have worked on the stream, so the silent one must not go on with it.
            self.end_set_aside();
        }
    }

    fn end(&mut self, current: CurrentAttempt, outcome: AttemptOutcome, reason: &str) {
        let now = Instant::now();
        let CurrentAttempt { attempt, started, head_at } = current;
        let core = &self.core;
        core.dispatcher.borrow_mut().attempt_ended(
            &mut self.req,
            &attempt,
            head_at.is_some(),
            outcome,
            now,
        );
        if outcome == AttemptOutcome::Broken
            && let Some(probe) = core.dispatcher.borrow_mut().take_crash_probe(&attempt, now)
        {
            spawn_local(probe_crashed_server(core.clone(), probe));
        }
        core.metrics.attempt(outcome.name());
        self.last_outcome = Some(outcome);
        if outcome != AttemptOutcome::Whole {
            let elapsed = now - started;
            let req = &self.req;
            let attempt = &attempt;
            core.log.write(&LogEvent::AttemptEnded {
                req,
                attempt,
                outcome,
                elapsed,
                answering: head_at.map(|at| now - at),
                reason,
            });
        }
        core.handle_notifications();
    }

    /// Records that the complete answer was delivered; ends the attempt, too.
    pub(crate) fn finish_answered(mut self, status: u16, outcome: AttemptOutcome) {
        let attempt = self.current.as_ref().map(|current| current.attempt.clone());
        self.end_attempt(outcome, "response forwarded to the caller");
        self.is_finished = true;
        self.core.metrics.request("answered");
        self.core.log.write(&LogEvent::Answered {
            req: &self.req,
            status,
            elapsed: self.req.arrived.elapsed(),
            model: attempt.as_ref().and_then(|attempt| attempt.model.as_deref()),
            server: attempt.as_ref().map_or("-", |attempt| &attempt.server),
        });
    }

    /// Records that the final answer is a refusal.
    pub(crate) fn finish_refused(mut self, refusal: &Refusal) {
        self.is_finished = true;
        self.core.metrics.request(refusal.kind.name());
        self.core.log.write(&LogEvent::Refused {
            id: &self.req.id,
            req: Some(&self.req),
            refusal,
            elapsed: self.req.arrived.elapsed(),
        });
    }

    /// Records that a started stream could not be completed: no attempt is left, for this reason.
    pub(crate) fn finish_stream_broken(mut self, reason: &'static str) {
        self.is_finished = true;
        self.core.metrics.request("stream_broken");
        self.core.metrics.stream_broken(reason);
        let now = Instant::now();
        self.core.log.write(&LogEvent::StreamBroken {
            req: &self.req,
            reason,
            last_outcome: self.last_outcome,
            elapsed: now - self.req.arrived,
            left: self.req.deadline.saturating_duration_since(now),
            stopping: self.core.stopping.get(),
            store_age: self.core.mirror.age(now),
        });
    }
}

/// Opens a connection to a server that is silent or was out of reach, and adds it to the pool for later requests.
pub(crate) async fn probe_server(core: Rc<Core>, probe: Probe) {
    let opened = core.connect_server(probe.address, SERVER_CONNECT_TIMEOUT).await;
    let outcome = match &opened {
        Ok(_) => ProbeOutcome::Connected,
        Err(e) if e.kind() == ErrorKind::TimedOut => ProbeOutcome::Unreachable,
        Err(_) => ProbeOutcome::Refused,
    };
    core.dispatcher.borrow_mut().probe_ended(&probe, outcome, Instant::now());
    core.handle_notifications();
    if let Ok(conn) = opened {
        core.pool.put(conn);
    }
    if outcome == ProbeOutcome::Unreachable && probe.reason == ProbeReason::Silent {
        core.metrics.server_lost();
        core.log.write(&LogEvent::ServerLost { id: &probe.server, silence: probe.silence });
        core.server_lost.notify_waiters();
    }
}

/// Tells whether a server whose answers broke off has crashed: it accepts no new connection.
async fn probe_crashed_server(core: Rc<Core>, probe: Probe) {
    tokio::time::sleep(CRASH_PROBE_DELAY).await;
    match core.connect_server(probe.address, SERVER_CONNECT_TIMEOUT).await {
        Ok(conn) => core.pool.put(conn),
        Err(_) => {
            core.dispatcher.borrow_mut().crash_confirmed(&probe.server, Instant::now());
            core.handle_notifications();
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(SetAside { current, source, .. }) = self.set_aside.take() {
            source.close();
            self.end(current, AttemptOutcome::Cancelled, "caller disconnected");
        }
        if self.is_finished {
            return;
        }
        if self.core.closed.get() {
            // `caller_closed` names the request.
            self.end_attempt(AttemptOutcome::Cancelled, "grace period over");
            self.core.metrics.request("cut");
            return;
        }
        self.end_attempt(AttemptOutcome::Cancelled, "caller disconnected");
        self.core.metrics.request("caller_left");
        let elapsed = self.req.arrived.elapsed();
        self.core.log.write(&LogEvent::CallerLeft { req: &self.req, elapsed });
    }
}
