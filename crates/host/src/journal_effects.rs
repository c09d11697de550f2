//! Applies the effects of the journal.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_journal::event as journal;
use foxtailhoist_model::ClaimKey;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use foxtailhoist_route::event as route;

use crate::EntryHost;
use crate::HostMessage;
use crate::calls::Owner;
use crate::entry_host::BillState;
use crate::entry_host::InternalEvent;
use crate::entry_host::StopPhase;
use crate::event::Effect;

/// Retry delay sent to a caller whose request is undecided or cannot be claimed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl EntryHost {
    pub(crate) fn step_journal(&mut self, event: journal::Event, now: Instant) {
        for effect in self.journal.handle(event, now) {
            self.apply_journal_effect(effect);
        }
    }

    fn apply_journal_effect(&mut self, effect: journal::Effect) {
        match effect {
            journal::Effect::Store { call, op } => {
                let call = self.calls.open(Owner::Journal, call);
                self.effects.push(Effect::Store { call, op });
            }
            journal::Effect::Send { to, message } => self.send(to, &HostMessage::Journal(message)),
            journal::Effect::Claimed { request, key, result } => {
                self.handle_claim_result(request, key, result)
            }
            journal::Effect::Billed { request, .. } => self.handle_billed(request),
            journal::Effect::OutcomeSafe { request } => self.handle_outcome_safe(request),
            journal::Effect::Stopped => {
                if self.stop_phase == StopPhase::Closing {
                    self.stop_phase = StopPhase::Done;
                    self.effects.push(Effect::Stopped);
                }
            }
        }
    }

    /// Releases an answer once the journal has reported its bill and, for a claimed request, its outcome too, because
    /// the caller's next retry must find the outcome.
    fn handle_billed(&mut self, request: RequestId) {
        match self.pending_outcomes.get_mut(&request) {
            Some(bill) => *bill = BillState::Reported,
            None => self.enqueue(InternalEvent::Router(route::Event::Billed { request })),
        }
    }

    fn handle_outcome_safe(&mut self, request: RequestId) {
        if self.pending_outcomes.remove(&request) == Some(BillState::Reported) {
            self.enqueue(InternalEvent::Router(route::Event::Billed { request }));
        }
    }

    /// Sends a message to a peer. A peer without a known address is reported to the journal as a failed send;
    /// other components rely on their own timeouts.
    pub(crate) fn send(&mut self, to: EntryHostId, message: &HostMessage) {
        match self.peers.address(&to) {
            Some(address) => {
                self.effects.push(Effect::Send { to, address, body: message.encode() })
            }
            None => self.enqueue(InternalEvent::Journal(journal::Event::SendFailed { to })),
        }
    }

    /// Releases a claim that was granted after its request had ended without running.
    fn release_unused(&mut self, request: RequestId, key: ClaimKey, result: &ClaimResult) {
        if *result == ClaimResult::Granted {
            let outcome = ClaimOutcome::NotRun;
            self.enqueue(InternalEvent::Journal(journal::Event::Outcome { key, request, outcome }));
        }
    }

    fn handle_claim_result(&mut self, request: RequestId, key: ClaimKey, result: ClaimResult) {
        if !self.running.contains_key(&request) {
            return self.release_unused(request, key, &result);
        }
        if result == ClaimResult::Granted {
            self.claims.insert(request, key);
            return self.enqueue(InternalEvent::Router(route::Event::ClaimGranted { request }));
        }
        self.enqueue(InternalEvent::Router(route::Event::ClaimRefused { request }));
        match result {
            ClaimResult::Granted => {}
            ClaimResult::Recorded(outcome) => {
                self.end_request(request);
                self.effects.push(Effect::Replay { request, outcome });
            }
            ClaimResult::Undecided => {
                let message = "an earlier request with this idempotency key has no outcome yet; ask again later";
                self.refuse(
                    request,
                    Refusal::new(ErrorKind::Undecided, message).with_retry_after(RETRY_AFTER),
                );
            }
            ClaimResult::ContentDiffers => {
                let message = "this idempotency key was used with other content; use a new key";
                self.refuse(request, Refusal::new(ErrorKind::KeyReused, message));
            }
            ClaimResult::Unavailable => {
                let message = "the request cannot be recorded now and was not run; send it again with the same key";
                let refusal = Refusal::new(ErrorKind::JournalUnavailable, message);
                self.refuse(request, refusal.with_retry_after(RETRY_AFTER));
            }
        }
    }
}
