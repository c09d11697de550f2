//! What comes after a failed attempt.

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
use super::arrive::quarantined;
use super::arrive::stream_broken;
use crate::entry::Attempt;
use crate::event::AttemptFailure;
use crate::event::Effect;
use crate::event::EvidenceKind;
use crate::life::State;
use crate::life::Step;
use crate::poison::Standing;

const BACKOFF_BASE: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Repeats of one request, whatever its budget.
const MAX_RETRIES: u32 = 3;
/// Repeats of one request after attempts that did not run; they add no load to the servers.
const MAX_MOVES: u32 = 4;
/// When a caller should come back whose request no server took in.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Hosts that are expected to tell the judge of a crash.
const CRASH_WITNESSES: f64 = 3.0;

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
        self.blame(id, &ended, failure, now, out);
        let quarantined_now = self.suspect(id, &ended, failure, now, out);
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        if failure != AttemptFailure::SilentConnection {
            entry.avoided.push(ended.chosen.slot);
        }
        let not_run = surely_not_run(&ended, failure);
        entry.may_have_run |= !not_run;
        if quarantined_now {
            self.refuse(id, quarantined(), now, out);
            return;
        }
        if !entry.live.is_empty() || entry.state == State::Billed {
            return;
        }
        if entry.request.at_most_once() && entry.may_have_run {
            let message =
                "the request was sent and its answer was lost; ask again with the same key";
            self.refuse(id, Refusal::new(ErrorKind::OutcomeUnknown, message), now, out);
            return;
        }
        if entry.delivered == Some(ended.id) && entry.delivered_tokens > 0 {
            entry.resumes = ended.destination.model_version().cloned();
        }
        entry.delivered = None;
        // A silent connection's server hears of the repeat only, since its pool is retired.
        let free = not_run || failure == AttemptFailure::SilentConnection;
        let full = failure == AttemptFailure::Rejected && !entry.may_have_run;
        self.retry(id, Repeat { free, full }, now, out);
    }

    pub(super) fn retry_due(&mut self, id: RequestId, now: Instant, out: &mut Vec<Effect>) {
        let entry = self.requests.get(&id);
        let due = entry.is_some_and(|entry| {
            entry.state == State::Queued && entry.retry_at.is_some_and(|at| at <= now)
        });
        if due {
            self.place(id, now, out);
        }
    }

    /// Tries again after a pause, or refuses where budget, number or deadline forbid it.
    fn retry(&mut self, id: RequestId, repeat: Repeat, now: Instant, out: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let repeats = entry.retries + entry.moves;
        let full_pause = BACKOFF_BASE.saturating_mul(1 << repeats.min(6)).min(BACKOFF_MAX);
        let pause = full_pause.mul_f64(self.rng.random_range(0.5..1.0));
        let in_time = now + pause < entry.request.deadline;
        let free = repeat.free && entry.moves < MAX_MOVES;
        let retries = self.cfg.mechanisms.retries && (free || entry.retries < MAX_RETRIES);
        if !retries || !in_time || !free && !self.budget.spend(&entry.request.workspace) {
            let refusal = match repeat.full {
                true => full(),
                false => given_up(entry.resumes.is_some(), entry.may_have_run),
            };
            self.refuse(id, refusal, now, out);
            return;
        }
        let kept = self.budget.kept();
        self.invariants.check(Invariant::RetryBudget, kept, || format!("{id:x}"));
        if free {
            entry.moves += 1;
        } else {
            self.stats.retries += 1;
            entry.retries += 1;
        }
        entry.retry_at = Some(now + pause);
        self.advance(id, Step::AttemptLost, now, out);
        self.set_timer(now + pause, TimerKind::Retry, id);
    }

    /// Takes in what the failure says of the server and its version.
    fn blame(
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
                self.evidence(id, ended, EvidenceKind::Ended { failed: true }, out);
            }
            AttemptFailure::ServerDied => {
                if !known_dead && self.witnesses_crash() {
                    self.evidence(id, ended, EvidenceKind::Ended { failed: true }, out);
                }
            }
            AttemptFailure::TimedOut => {
                // A server that is only slow speaks about its load first: the judge hears of latency, not of failure.
                let first_byte = now.saturating_duration_since(ended.started);
                let per_token = Duration::ZERO;
                self.evidence(id, ended, EvidenceKind::Latency { first_byte, per_token }, out);
            }
            AttemptFailure::Refused
            | AttemptFailure::Rejected
            | AttemptFailure::ConnectionLost
            | AttemptFailure::SilentConnection
            | AttemptFailure::WrongAttempt
            | AttemptFailure::Cancelled => {}
        }
    }

    /// Whether this host tells the judge of a crash. A crash ends the attempts of many hosts at once, yet is one failure
    /// of the version; a few hosts are drawn, whatever the size of the fleet.
    fn witnesses_crash(&mut self) -> bool {
        let hosts = f64::from(self.sampling.hosts());
        self.rng.random_bool((CRASH_WITNESSES / hosts).min(1.0))
    }

    /// Marks the content of a request whose server died; whether it is quarantined now.
    fn suspect(
        &mut self,
        id: RequestId,
        ended: &Attempt,
        failure: AttemptFailure,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> bool {
        let entry = self.requests.get(&id).filter(|_| ended.sent);
        let Some(entry) = entry.filter(|_| failure == AttemptFailure::ServerDied) else {
            return false;
        };
        let content = entry.request.fingerprint;
        match self.poison.died(content, now) {
            Standing::Suspect => {
                out.push(Effect::Suspect(content));
                false
            }
            Standing::Quarantined => {
                out.push(Effect::Quarantine(content));
                true
            }
        }
    }
}

/// Whether a failed attempt cannot have run.
fn surely_not_run(ended: &Attempt, failure: AttemptFailure) -> bool {
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

/// What is known of a repeat before it is granted.
#[derive(Clone, Copy)]
struct Repeat {
    /// The attempt before did not run, so that the repeat costs no budget.
    free: bool,
    /// Every attempt so far met a server that had no room.
    full: bool,
}

fn full() -> Refusal {
    let message = "no backend server had room; nothing ran";
    Refusal::new(ErrorKind::Overloaded, message).with_retry_after(FULL_RETRY_AFTER)
}

fn given_up(stream_begun: bool, may_have_run: bool) -> Refusal {
    if stream_begun {
        return stream_broken();
    }
    let refusal =
        Refusal::new(ErrorKind::BackendFailed, "the backend server failed; send the request again");
    if may_have_run {
        return refusal;
    }
    refusal.with_ran(foxtailhoist_model::Ran::NotRun)
}
