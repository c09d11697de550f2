//! Attempts that an engine has received, for status queries.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use foxtailhoist_edge::AttemptState;
use foxtailhoist_edge::AttemptStatus;
use foxtailhoist_model::AttemptId;

/// Maximum attempts remembered; the oldest is evicted first.
const ATTEMPTS_LIMIT: usize = 8_192;

/// Attempt status by id, in order of arrival for eviction.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    attempts: BTreeMap<AttemptId, AttemptStatus>,
    arrivals: VecDeque<AttemptId>,
}

impl AttemptTable {
    /// Adds a new attempt, of which the caller already has `output_tokens` tokens.
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

    /// Removes all attempts, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.attempts.clear();
        self.arrivals.clear();
    }
}
