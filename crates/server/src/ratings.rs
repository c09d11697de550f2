//! Heads of recent answers, kept until it is known whether they are to be rated.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use foxtailhoist_edge::RatingRequest;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::RequestId;
use foxtailhoist_report::Labels;
use foxtailhoist_route::event::Completion;

/// Answers that are remembered.
const ANSWERS: usize = 256;
/// Bytes of an answer that are sent to the rating service.
const RATED_BYTES: usize = 4 << 10;

/// Recent answers by attempt and by request.
#[derive(Default)]
pub struct RecentAnswers {
    bodies: BTreeMap<AttemptId, String>,
    ratings: BTreeMap<RequestId, RatedAnswer>,
    order: VecDeque<Remembered>,
}

/// An answer that may be rated, and by what its verdict is counted.
pub struct RatedAnswer {
    pub rating: RatingRequest,
    pub labels: Labels,
}

enum Remembered {
    Attempt(AttemptId),
    Request(RequestId),
}

impl RecentAnswers {
    pub fn note_attempt(&mut self, attempt: AttemptId, body: &[u8]) {
        let head = &body[..body.len().min(RATED_BYTES)];
        self.bodies.insert(attempt, String::from_utf8_lossy(head).into_owned());
        self.remember(Remembered::Attempt(attempt));
    }

    pub fn note_completion(&mut self, completion: &Completion, labels: Labels) {
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
        self.ratings.insert(completion.request, RatedAnswer { rating, labels });
        self.remember(Remembered::Request(completion.request));
    }

    /// What to ask the rating service about a request, if its answer is still remembered.
    pub fn rating_request(&mut self, request: RequestId) -> Option<RatedAnswer> {
        self.ratings.remove(&request)
    }

    fn remember(&mut self, remembered: Remembered) {
        self.order.push_back(remembered);
        if self.order.len() <= ANSWERS {
            return;
        }
        match self.order.pop_front() {
            Some(Remembered::Attempt(attempt)) => drop(self.bodies.remove(&attempt)),
            Some(Remembered::Request(request)) => drop(self.ratings.remove(&request)),
            None => {}
        }
    }
}
