//! What the journal asks for.

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
use crate::entry_host::Step;
use crate::entry_host::Stopping;
use crate::event::Effect;

/// When a caller whose request is undecided or cannot be claimed should ask again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl EntryHost {
    pub(crate) fn step_journal(&mut self, event: journal::Event, now: Instant) {
        for effect in self.journal.handle(event, now) {
            self.journal_asks(effect);
        }
    }

    fn journal_asks(&mut self, effect: journal::Effect) {
        match effect {
            journal::Effect::Store { call, op } => {
                let call = self.calls.open(Owner::Journal, call);
                self.effects.push(Effect::Store { call, op });
            }
            journal::Effect::Send { to, message } => self.send(to, &HostMessage::Journal(message)),
            journal::Effect::Claimed { request, key, result } => self.claimed(request, key, result),
            journal::Effect::Billed { request, .. } => self.billed(request),
            journal::Effect::OutcomeSafe { request } => self.outcome_safe(request),
            journal::Effect::Stopped => {
                if self.stopping == Stopping::Closing {
                    self.stopping = Stopping::Done;
                    self.effects.push(Effect::Stopped);
                }
            }
        }
    }

    /// An answer goes out when its bill is safe and, for a claimed request, its outcome too: the caller's next repeat
    /// must find it.
    fn billed(&mut self, request: RequestId) {
        match self.unsafe_outcomes.get_mut(&request) {
            Some(bill) => *bill = BillState::Safe,
            None => self.push(Step::Router(route::Event::Billed { request })),
        }
    }

    fn outcome_safe(&mut self, request: RequestId) {
        if self.unsafe_outcomes.remove(&request) == Some(BillState::Safe) {
            self.push(Step::Router(route::Event::Billed { request }));
        }
    }

    /// Sends a message to a peer whose address is known; the sender's own time-out covers one that is not.
    pub(crate) fn send(&mut self, to: EntryHostId, message: &HostMessage) {
        match self.peers.address(&to) {
            Some(address) => {
                self.effects.push(Effect::Send { to, address, body: message.encode() })
            }
            None => self.push(Step::Journal(journal::Event::SendFailed { to })),
        }
    }

    /// Frees a claim that was granted after its request had ended without running.
    fn release_unused(&mut self, request: RequestId, key: ClaimKey, result: &ClaimResult) {
        if *result == ClaimResult::Granted {
            let outcome = ClaimOutcome::NotRun;
            self.push(Step::Journal(journal::Event::Outcome { key, request, outcome }));
        }
    }

    fn claimed(&mut self, request: RequestId, key: ClaimKey, result: ClaimResult) {
        if !self.running.contains_key(&request) {
            return self.release_unused(request, key, &result);
        }
        if result == ClaimResult::Granted {
            self.claims.insert(request, key);
            return self.push(Step::Router(route::Event::ClaimGranted { request }));
        }
        self.push(Step::Router(route::Event::ClaimRefused { request }));
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
