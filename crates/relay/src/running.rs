//! A flight and its attempt under way, with the accounts kept right however it ends.
//!
//! A caller that leaves drops the task that serves it, at any point. The drop of a [`Running`] then ends the attempt in
//! the dispatcher's accounts and logs that the caller left.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Refusal;
use foxtailhoist_route::backends::probe::Probe;
use foxtailhoist_route::dispatch::AnswerHead;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::Attempt;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::in_flight::InFlightRequest;
use tokio::task::spawn_local;

use crate::conn::CONNECT_TIMEOUT;
use crate::conn::Conn;
use crate::core::Core;
use crate::log_event::LogEvent;

/// Pause between two looks whether a server still shows life: two of them pass the silence after which it is probed.
pub(crate) const SIGN_CHECK: Duration = Duration::from_millis(230);

/// A request of a caller while it is served.
pub(crate) struct Running {
    pub(crate) core: Rc<Core>,
    pub(crate) flight: InFlightRequest,
    under_way: Option<UnderWay>,
    is_finished: bool,
}

struct UnderWay {
    attempt: Box<Attempt>,
    begun: Instant,
    had_head: bool,
}

impl Running {
    pub(crate) fn new(core: Rc<Core>, flight: InFlightRequest) -> Running {
        Running { core, flight, under_way: None, is_finished: false }
    }

    /// The next step; a step that sends has begun in the accounts.
    pub(crate) fn next(&mut self) -> Step {
        let now = Instant::now();
        let step = self.core.dispatcher.borrow_mut().next_step(&mut self.flight, now);
        if let Step::Send(attempt) = &step {
            let attempt = attempt.clone();
            self.under_way = Some(UnderWay { attempt, begun: now, had_head: false });
        }
        step
    }

    /// The attempt's bytes are about to be sent.
    pub(crate) fn sent(&mut self) {
        if let Some(under_way) = &self.under_way {
            let now = Instant::now();
            let mut dispatcher = self.core.dispatcher.borrow_mut();
            dispatcher.attempt_sent(&mut self.flight, &under_way.attempt, now);
        }
    }

    /// What to do with the answer whose head arrived.
    pub(crate) fn head(&mut self, head: &AnswerHead, elapsed: Duration) -> HeadVerdict {
        let Some(under_way) = &mut self.under_way else {
            return HeadVerdict::Drop(AttemptOutcome::Cancelled);
        };
        let now = Instant::now();
        let mut dispatcher = self.core.dispatcher.borrow_mut();
        let verdict =
            dispatcher.head_received(&mut self.flight, &under_way.attempt, head, elapsed, now);
        under_way.had_head = head.echoes_request_id && !head.not_run;
        verdict
    }

    /// An event of the stream arrived.
    pub(crate) fn progressed(&self, gap: Option<Duration>) {
        if let Some(under_way) = &self.under_way {
            let now = Instant::now();
            self.core.dispatcher.borrow_mut().event_received(&under_way.attempt, gap, now);
        }
    }

    /// Whether the attempt without a head should be given up.
    pub(crate) fn is_head_overdue(&self, begun: Instant) -> bool {
        let dispatcher = self.core.dispatcher.borrow();
        self.under_way.as_ref().is_none_or(|under_way| {
            dispatcher.is_head_overdue(&under_way.attempt, begun, Instant::now())
        })
    }

    /// Whether a stream without an event since then should be given up.
    pub(crate) fn is_stalled(&self, since: Instant) -> bool {
        let dispatcher = self.core.dispatcher.borrow();
        self.under_way.as_ref().is_some_and(|under_way| {
            dispatcher.is_stalled(&self.flight, &under_way.attempt, since, Instant::now())
        })
    }

    /// Whether a probe found that the attempt's server cannot be reached.
    pub(crate) fn is_server_lost(&self) -> bool {
        let dispatcher = self.core.dispatcher.borrow();
        self.under_way
            .as_ref()
            .is_some_and(|under_way| dispatcher.backends().is_unreachable(&under_way.attempt))
    }

    /// Probes the attempt's server if it has been silent since then for too long.
    pub(crate) fn probe_silent_server(&self, since: Instant) {
        let Some(under_way) = &self.under_way else {
            return;
        };
        let now = Instant::now();
        let probe = self.core.dispatcher.borrow_mut().take_probe(&under_way.attempt, since, now);
        if let Some(probe) = probe {
            spawn_local(probe_server(self.core.clone(), probe));
        }
    }

    /// Ends the attempt under way.
    pub(crate) fn ended(&mut self, outcome: AttemptOutcome, reason: &str) {
        let Some(under_way) = self.under_way.take() else {
            return;
        };
        let now = Instant::now();
        let UnderWay { attempt, begun, had_head } = under_way;
        let core = &self.core;
        core.dispatcher.borrow_mut().attempt_ended(
            &mut self.flight,
            &attempt,
            had_head,
            outcome,
            now,
        );
        core.metrics.attempt(outcome.name());
        if outcome != AttemptOutcome::Whole {
            let elapsed = now - begun;
            let flight = &self.flight;
            let attempt = &attempt;
            core.log.write(&LogEvent::AttemptEnded { flight, attempt, outcome, elapsed, reason });
        }
        core.handle_notes();
    }

    /// The whole answer went out; ends the attempt, too.
    pub(crate) fn answered(mut self, status: u16, outcome: AttemptOutcome) {
        let attempt = self.under_way.as_ref().map(|under_way| under_way.attempt.clone());
        self.ended(outcome, "passed on");
        self.is_finished = true;
        self.core.metrics.request("answered");
        self.core.log.write(&LogEvent::Answered {
            flight: &self.flight,
            status,
            elapsed: self.flight.arrived.elapsed(),
            model: attempt.as_ref().and_then(|attempt| attempt.model.as_deref()),
            server: attempt.as_ref().map_or("-", |attempt| &attempt.server),
        });
    }

    /// The final answer is a refusal.
    pub(crate) fn refused(mut self, refusal: &Refusal) {
        self.is_finished = true;
        self.core.metrics.request(refusal.kind.name());
        self.core.log.write(&LogEvent::Refused {
            id: &self.flight.id,
            flight: Some(&self.flight),
            refusal,
            elapsed: self.flight.arrived.elapsed(),
        });
    }

    /// The stream that had begun ends without its end.
    pub(crate) fn stream_broken(mut self) {
        self.is_finished = true;
        self.core.metrics.request("stream_broken");
        let elapsed = self.flight.arrived.elapsed();
        self.core.log.write(&LogEvent::StreamBroken { flight: &self.flight, elapsed });
    }
}

/// Opens a connection to a server that has fallen silent, and keeps it for later requests.
async fn probe_server(core: Rc<Core>, probe: Probe) {
    let opened = Conn::open(probe.address, CONNECT_TIMEOUT).await;
    // A refusal comes from the server's machine, so the way there is sound; its open connections will be reset.
    let reached = opened.as_ref().err().is_none_or(|e| e.kind() != ErrorKind::TimedOut);
    core.dispatcher.borrow_mut().probe_ended(&probe, reached, Instant::now());
    if let Ok(conn) = opened {
        core.pool.keep(conn);
    }
    if !reached {
        core.metrics.server_lost();
        core.log.write(&LogEvent::ServerLost { id: &probe.server, silence: probe.silence });
        core.server_lost.notify_waiters();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.ended(AttemptOutcome::Cancelled, "caller left");
        self.core.metrics.request("caller_left");
        let elapsed = self.flight.arrived.elapsed();
        self.core.log.write(&LogEvent::CallerLeft { flight: &self.flight, elapsed });
    }
}
