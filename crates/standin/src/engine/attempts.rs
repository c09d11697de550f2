//! The attempts that an engine has received, so that it can say which it knows.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use foxtailhoist_edge::AttemptState;
use foxtailhoist_edge::AttemptStatus;
use foxtailhoist_model::AttemptId;

/// Attempts remembered; the oldest goes first.
const ATTEMPTS_LIMIT: usize = 8_192;

/// Attempts by id.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    attempts: BTreeMap<AttemptId, AttemptStatus>,
    arrivals: VecDeque<AttemptId>,
}

impl AttemptTable {
    /// Notes a new attempt, of which the caller has some tokens already.
    pub(crate) fn insert(&mut self, attempt: AttemptId, output_tokens: u32) {
        if self.arrivals.len() >= ATTEMPTS_LIMIT
            && let Some(oldest) = self.arrivals.pop_front()
        {
            self.attempts.remove(&oldest);
        }
        let status = AttemptStatus { state: AttemptState::Waiting, output_tokens };
        if self.attempts.insert(attempt, status).is_none() {
            self.arrivals.push_back(attempt);
        }
    }

    pub(crate) fn set(&mut self, attempt: AttemptId, state: AttemptState, output_tokens: u32) {
        if let Some(status) = self.attempts.get_mut(&attempt) {
            *status = AttemptStatus { state, output_tokens };
        }
    }

    pub(crate) fn status(&self, attempt: AttemptId) -> Option<AttemptStatus> {
        self.attempts.get(&attempt).copied()
    }

    /// Forgets everything, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.attempts.clear();
        self.arrivals.clear();
    }
}
