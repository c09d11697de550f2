//! Failed attempts: their effect on server, version and content, and the retry.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use rand::RngExt;

use super::Router;
use super::TimerKind;
use super::admission::quarantined_refusal;
use super::admission::stream_broken_refusal;
use crate::active_request::Attempt;
use crate::event::AttemptFailure;
use crate::event::Effect;
use crate::event::EvidenceKind;
use crate::lifecycle::State;
use crate::lifecycle::Trigger;
use crate::poison::QuarantineStatus;

/// Upper bound of the backoff before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Maximum backoff before a retry.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Maximum number of retries of one request that are charged to the retry budget.
const MAX_RETRIES: u32 = 3;
/// Maximum number of retries of one request after attempts that did not run or whose connection went silent. They add
/// no load to the servers, so they are not charged to the retry budget.
const MAX_FREE_RETRIES: u32 = 4;
/// `retry_after` of the refusal if the last attempt was rejected and none can have run.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Expected number of hosts that report a crash as evidence against the version.
const CRASH_REPORTERS: f64 = 3.0;

impl Router {
    pub(super) fn failed(
        &mut self,
        attempt: AttemptId,
        failure: AttemptFailure,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some((id, ended)) = self.end_attempt(attempt, now) else {
            return;
        };
        self.record_failure(id, &ended, failure, now, out);
        let quarantined_now = self.mark_suspect(id, &ended, failure, now, out);
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        if failure != AttemptFailure::SilentConnection {
            active.avoided.push(ended.chosen.slot);
        }
        let not_run = cannot_have_run(&ended, failure);
        active.may_have_run |= !not_run;
        if quarantined_now {
            self.refuse(id, quarantined_refusal(), now, out);
            return;
        }
        if !active.live.is_empty() || active.state == State::Billed {
            return;
        }
        if active.request.at_most_once() && active.may_have_run {
            let message =
                "the request was sent and its answer was lost; ask again with the same key";
            self.refuse(id, Refusal::new(ErrorKind::OutcomeUnknown, message), now, out);
            return;
        }
        if active.delivered_attempt == Some(ended.id) && active.delivered_tokens > 0 {
            active.resume_version = ended.destination.model_version().cloned();
        }
        active.delivered_attempt = None;
        // The retry after a silent connection adds no load: the server's connections are retired, so only the retry
        // reaches it.
        let free = not_run || failure == AttemptFailure::SilentConnection;
        let rejected = failure == AttemptFailure::Rejected && !active.may_have_run;
        self.retry(id, RetryContext { free, rejected }, now, out);
    }

    pub(super) fn retry_due(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let active = self.requests.get(&id);
        let due = active.is_some_and(|active| {
            active.state == State::Queued && active.retry_at.is_some_and(|at| at <= now)
        });
        if due {
            self.try_dispatch(id, now, out);
        }
    }

    /// Schedules a retry after a backoff, or refuses the request if budget, retry limit or deadline forbid it.
    fn retry(&mut self, id: RequestId, context: RetryContext, now: Instant, out: &mut Vec<Effect>) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let retry_count = active.retries + active.free_retries;
        let full_backoff = BACKOFF_BASE.saturating_mul(1 << retry_count.min(6)).min(BACKOFF_MAX);
        let backoff = full_backoff.mul_f64(self.rng.random_range(0.5..1.0));
        let in_time = now + backoff < active.request.deadline;
        let free = context.free && active.free_retries < MAX_FREE_RETRIES;
        let may_retry = self.cfg.mechanisms.retries && (free || active.retries < MAX_RETRIES);
        if !may_retry || !in_time || !free && !self.budget.spend(&active.request.workspace) {
            let refusal = match context.rejected {
                true => overloaded_refusal(),
                false => failure_refusal(active.resume_version.is_some(), active.may_have_run),
            };
            self.refuse(id, refusal, now, out);
            return;
        }
        let within_budget = self.budget.is_within_earned();
        self.invariants.check(Invariant::RetryBudget, within_budget, || format!("{id:x}"));
        if free {
            active.free_retries += 1;
        } else {
            self.stats.retries += 1;
            active.retries += 1;
        }
        active.retry_at = Some(now + backoff);
        self.advance(id, Trigger::AttemptLost, now, out);
        self.set_timer(now + backoff, TimerKind::Retry, id);
    }

    /// Records the consequences of a failure for the server and its version.
    fn record_failure(
        &mut self,
        id: RequestId,
        ended: &Attempt,
        failure: AttemptFailure,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let slot = ended.chosen.slot;
        let Some(server) = self.servers.server_mut(slot) else {
            return;
        };
        let known_dead = server.is_ejected(now);
        match failure {
            AttemptFailure::ServerDied | AttemptFailure::Refused | AttemptFailure::Rejected => {
                let until = server.eject(now);
                self.set_timer(until, TimerKind::Probe, 0);
            }
            AttemptFailure::TimedOut => {
                if let Some(lane) = server.by_destination.get_mut(&ended.destination) {
                    lane.limiter.decrease();
                }
            }
            AttemptFailure::WrongAttempt => {
                let until = server.eject(now);
                out.push(Effect::RetireConnections(server.listed.id.clone()));
                self.set_timer(until, TimerKind::Probe, 0);
            }
            AttemptFailure::SilentConnection => {
                let server = server.listed.id.clone();
                out.push(Effect::RetireConnections(server));
            }
            AttemptFailure::ConnectionLost
            | AttemptFailure::ServerError
            | AttemptFailure::Cancelled => {}
        }
        match failure {
            AttemptFailure::ServerError => {
                self.report_evidence(id, ended, EvidenceKind::Ended { failed: true }, out);
            }
            AttemptFailure::ServerDied => {
                if !known_dead && self.reports_crash() {
                    self.report_evidence(id, ended, EvidenceKind::Ended { failed: true }, out);
                }
            }
            AttemptFailure::TimedOut => {
                // A slow server indicates its load rather than a fault of the version, so it is reported as latency.
                let first_byte = now.saturating_duration_since(ended.started);
                let per_token = Duration::ZERO;
                self.report_evidence(
                    id,
                    ended,
                    EvidenceKind::Latency { first_byte, per_token },
                    out,
                );
            }
            AttemptFailure::Refused
            | AttemptFailure::Rejected
            | AttemptFailure::ConnectionLost
            | AttemptFailure::SilentConnection
            | AttemptFailure::WrongAttempt
            | AttemptFailure::Cancelled => {}
        }
    }

    /// Whether this host reports a crash as evidence. A crash ends the attempts of many hosts at once but is one
    /// failure of the version, so a few hosts are drawn at random, independently of the fleet size.
    fn reports_crash(&mut self) -> bool {
        let hosts = f64::from(self.sampling.hosts());
        self.rng.random_bool((CRASH_REPORTERS / hosts).min(1.0))
    }

    /// Marks the content of a request whose server died; returns whether the content is now quarantined.
    fn mark_suspect(
        &mut self,
        id: RequestId,
        ended: &Attempt,
        failure: AttemptFailure,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> bool {
        let active = self.requests.get(&id).filter(|_| ended.sent);
        let Some(active) = active.filter(|_| failure == AttemptFailure::ServerDied) else {
            return false;
        };
        let content = active.request.fingerprint;
        match self.poison.record_server_death(content, now) {
            QuarantineStatus::Suspect => {
                out.push(Effect::Suspect(content));
                false
            }
            QuarantineStatus::Quarantined => {
                out.push(Effect::Quarantine(content));
                true
            }
        }
    }
}

/// Whether it is certain that a failed attempt did not run.
fn cannot_have_run(ended: &Attempt, failure: AttemptFailure) -> bool {
    match failure {
        AttemptFailure::Refused | AttemptFailure::Rejected => true,
        AttemptFailure::ServerError | AttemptFailure::WrongAttempt => false,
        AttemptFailure::ServerDied
        | AttemptFailure::ConnectionLost
        | AttemptFailure::SilentConnection
        | AttemptFailure::TimedOut
        | AttemptFailure::Cancelled => !ended.sent,
    }
}

/// Circumstances of a retry.
#[derive(Clone, Copy)]
struct RetryContext {
    /// Whether the retry is not charged to the budget, because the previous attempt added no load.
    free: bool,
    /// Whether the last attempt was rejected and no attempt of the request can have run.
    rejected: bool,
}

fn overloaded_refusal() -> Refusal {
    let message = "no backend server had room; nothing ran";
    Refusal::new(ErrorKind::Overloaded, message).with_retry_after(OVERLOADED_RETRY_AFTER)
}

fn failure_refusal(stream_started: bool, may_have_run: bool) -> Refusal {
    if stream_started {
        return stream_broken_refusal();
    }
    let refusal =
        Refusal::new(ErrorKind::BackendFailed, "the backend server failed; send the request again");
    if may_have_run {
        return refusal;
    }
    refusal.with_ran(foxtailhoist_model::Ran::NotRun)
}
