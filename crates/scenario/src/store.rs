//! Simulated object API, with its faults.

use std::time::Duration;

use foxtailhoist_model::ObjectVersion;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;
use foxtailhoist_objects::MemoryStore;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::StoreFault;

/// Duration of a call without faults.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Time that an entry host's client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The objects and the current fault.
pub struct Store {
    objects: MemoryStore,
    fault: StoreFault,
    /// State that reads return under [`StoreFault::StaleReads`].
    stale: Option<MemoryStore>,
}

/// Outcome of a call.
pub enum CallOutcome {
    /// The result reaches the caller after the given time.
    Answer { after: Duration, result: StoreResult },
    /// The write is applied after `effect`; the caller receives an unknown result after `after`.
    Late { effect: Duration, after: Duration, op: StoreOp },
    /// A watch that waits for a change.
    Watch { prefix: String, after: ObjectVersion, wait: Duration },
}

impl Store {
    pub fn new() -> Store {
        Store { objects: MemoryStore::default(), fault: StoreFault::None, stale: None }
    }

    pub fn set_fault(&mut self, fault: StoreFault) {
        self.stale = (fault == StoreFault::StaleReads).then(|| self.objects.clone());
        self.fault = fault;
    }

    #[must_use]
    pub fn objects(&self) -> &MemoryStore {
        &self.objects
    }

    /// Handles a call under the current fault.
    pub fn call(&mut self, op: StoreOp, rng: &mut ChaCha8Rng) -> CallOutcome {
        match self.fault.clone() {
            StoreFault::Down => answer(CALL_TIME, Err(StoreError::Unavailable)),
            StoreFault::Slow(span) => self.call_with_delay(op, span.0),
            StoreFault::LoseAnswers(share) if rng.random_bool(share) => {
                // The call takes effect, but its answer is lost.
                let _ = self.objects.apply(&op);
                answer(CLIENT_TIMEOUT, Err(StoreError::Unknown))
            }
            StoreFault::LateWrites { share, late } if op.is_write() && rng.random_bool(share) => {
                let effect = CLIENT_TIMEOUT + late.0.mul_f64(rng.random());
                CallOutcome::Late { effect, after: CLIENT_TIMEOUT, op }
            }
            _ => self.call_without_delay(op),
        }
    }

    /// Applies a delayed write.
    pub fn apply_late(&mut self, op: &StoreOp) {
        let _ = self.objects.apply(op);
    }

    /// Answer to a waiting watch, if something has changed.
    pub fn changed(&mut self, prefix: &str, after: ObjectVersion) -> Option<StoreReply> {
        let op = StoreOp::Watch { prefix: prefix.to_owned(), after, wait: Duration::ZERO };
        match self.objects.apply(&op) {
            Ok(StoreReply::Objects { objects, at }) if !objects.is_empty() => {
                Some(StoreReply::Objects { objects, at })
            }
            _ => None,
        }
    }

    /// Answer to a watch whose wait has expired.
    #[must_use]
    pub fn nothing_changed(&self) -> StoreReply {
        StoreReply::Objects { objects: Vec::new(), at: self.objects.version() }
    }

    fn call_with_delay(&mut self, op: StoreOp, time: Duration) -> CallOutcome {
        let result = self.objects.apply(&op);
        if time >= CLIENT_TIMEOUT {
            return answer(CLIENT_TIMEOUT, Err(StoreError::Unknown));
        }
        answer(time, result)
    }

    fn call_without_delay(&mut self, op: StoreOp) -> CallOutcome {
        if let StoreOp::Watch { prefix, after, wait } = &op {
            if let Some(reply) = self.changed(prefix, *after) {
                return answer(CALL_TIME, Ok(reply));
            }
            return CallOutcome::Watch { prefix: prefix.clone(), after: *after, wait: *wait };
        }
        let result = match &mut self.stale {
            Some(stale) if !op.is_write() => stale.apply(&op),
            _ => self.objects.apply(&op),
        };
        answer(CALL_TIME, result)
    }
}

fn answer(after: Duration, result: StoreResult) -> CallOutcome {
    CallOutcome::Answer { after, result }
}
