//! First bytes of recent answers, kept until the host decides whether to rate them.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use foxtailhoist_edge::RatingRequest;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::RequestId;
use foxtailhoist_report::Labels;
use foxtailhoist_route::event::Completion;

/// Maximum number of entries kept; each recorded attempt and each recorded completion counts as one.
const MAX_ENTRIES: usize = 256;
/// Maximum bytes of an answer that are sent to the rating service.
const RATED_ANSWER_BYTES: usize = 4 << 10;

/// Recent answers by attempt and by request.
#[derive(Default)]
pub struct RecentAnswers {
    bodies: BTreeMap<AttemptId, String>,
    ratings: BTreeMap<RequestId, RatingCandidate>,
    order: VecDeque<EntryKey>,
}

/// An answer that may be rated, and the labels under which its rating is counted.
pub struct RatingCandidate {
    pub rating: RatingRequest,
    pub labels: Labels,
}

enum EntryKey {
    Attempt(AttemptId),
    Request(RequestId),
}

impl RecentAnswers {
    pub fn record_attempt(&mut self, attempt: AttemptId, body: &[u8]) {
        let head = &body[..body.len().min(RATED_ANSWER_BYTES)];
        self.bodies.insert(attempt, String::from_utf8_lossy(head).into_owned());
        self.push_and_evict(EntryKey::Attempt(attempt));
    }

    pub fn record_completion(&mut self, completion: &Completion, labels: Labels) {
        let (Some(model_version), Some(class)) = (&completion.model_version, &completion.class)
        else {
            return;
        };
        let rating = RatingRequest {
            request: completion.request,
            model_version: model_version.clone(),
            class: class.clone(),
            answer: self.bodies.remove(&completion.attempt).unwrap_or_default(),
        };
        self.ratings.insert(completion.request, RatingCandidate { rating, labels });
        self.push_and_evict(EntryKey::Request(completion.request));
    }

    /// Removes and returns the answer to a request, if it is still kept.
    pub fn take_candidate(&mut self, request: RequestId) -> Option<RatingCandidate> {
        self.ratings.remove(&request)
    }

    fn push_and_evict(&mut self, key: EntryKey) {
        self.order.push_back(key);
        if self.order.len() <= MAX_ENTRIES {
            return;
        }
        match self.order.pop_front() {
            Some(EntryKey::Attempt(attempt)) => drop(self.bodies.remove(&attempt)),
            Some(EntryKey::Request(request)) => drop(self.ratings.remove(&request)),
            None => {}
        }
    }
}
