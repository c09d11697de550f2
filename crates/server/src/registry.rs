//! Requests and attempts in progress, as the shell holds them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_report::Labels;
use foxtailhoist_route::event::Completion;
use foxtailhoist_route::event::Dispatch;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::recorder::Arrival;

/// What is sent to backend servers for a request.
#[derive(Clone, Debug)]
pub struct Content {
    pub workspace: WorkspaceId,
    pub session: Option<SessionId>,
    pub method: String,
    pub path: String,
    pub body: Bytes,
    pub content_type: String,
    pub streamed: bool,
    pub idempotency_key: Option<String>,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Verdict {
    Complete(Box<Completion>),
    Replay(ClaimOutcome),
    Refused(Refusal),
}

/// What is known about an answer when its first byte may go out.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    pub dispatch: Dispatch,
    pub status: u16,
    pub content_type: String,
}

/// Permission of an attempt's output to reach the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Delivery {
    /// Everything is withheld.
    Withheld,
    /// Everything but the last piece may go out.
    Started,
    /// The last piece too.
    Released,
}

/// Caller's end of a request.
pub struct CallerEnd {
    pub pieces: mpsc::Receiver<Bytes>,
    pub verdict: oneshot::Receiver<Verdict>,
    pub head: Arc<OnceLock<AnswerHead>>,
}

/// Shell's end of a request.
pub struct RequestEntry {
    pub content: Arc<Content>,
    pub arrival: Arrival,
    /// By what it is counted if it is refused: those of its last attempt, if it had one.
    pub labels: Labels,
    pub pieces: mpsc::Sender<Bytes>,
    pub head: Arc<OnceLock<AnswerHead>>,
    verdict: oneshot::Sender<Verdict>,
}

/// Shell's end of an attempt.
pub struct AttemptEntry {
    pub request: RequestId,
    pub delivery: watch::Sender<Delivery>,
    pub task: Option<AbortHandle>,
}

/// Everything in progress.
#[derive(Default)]
pub struct Registry {
    requests: BTreeMap<RequestId, RequestEntry>,
    attempts: BTreeMap<AttemptId, AttemptEntry>,
}

impl Registry {
    /// Adds a request; `None` when one with its id is in progress.
    pub fn open(
        &mut self,
        request: RequestId,
        content: Content,
        arrival: Arrival,
        labels: Labels,
        pieces: usize,
    ) -> Option<CallerEnd> {
        if self.requests.contains_key(&request) {
            return None;
        }
        let (pieces_tx, pieces_rx) = mpsc::channel(pieces);
        let (verdict_tx, verdict_rx) = oneshot::channel();
        let head = Arc::new(OnceLock::new());
        let entry = RequestEntry {
            content: Arc::new(content),
            arrival,
            labels,
            pieces: pieces_tx,
            head: Arc::clone(&head),
            verdict: verdict_tx,
        };
        self.requests.insert(request, entry);
        Some(CallerEnd { pieces: pieces_rx, verdict: verdict_rx, head })
    }

    pub fn request(&self, request: RequestId) -> Option<&RequestEntry> {
        self.requests.get(&request)
    }

    /// Notes the labels of a request's newest attempt.
    pub fn set_labels(&mut self, request: RequestId, labels: Labels) {
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.labels = labels;
        }
    }

    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Streamed answers in progress.
    pub fn streams(&self) -> usize {
        self.requests.values().filter(|entry| entry.content.streamed).count()
    }

    /// Ends a request: its caller learns the verdict.
    pub fn end(&mut self, request: RequestId, verdict: Verdict) {
        if let Some(entry) = self.requests.remove(&request) {
            // The caller may have left; there is nobody to tell then.
            let _ = entry.verdict.send(verdict);
        }
    }

    pub fn add_attempt(&mut self, attempt: AttemptId, entry: AttemptEntry) {
        self.attempts.insert(attempt, entry);
    }

    pub fn set_task(&mut self, attempt: AttemptId, task: AbortHandle) {
        if let Some(entry) = self.attempts.get_mut(&attempt) {
            entry.task = Some(task);
        }
    }

    /// Lets more of an attempt's output through; a lower permission than the present one changes nothing.
    pub fn permit(&self, attempt: AttemptId, delivery: Delivery) {
        if let Some(entry) = self.attempts.get(&attempt) {
            entry.delivery.send_if_modified(|present| {
                let raised = delivery > *present;
                *present = delivery.max(*present);
                raised
            });
        }
    }

    /// Forgets an attempt whose task ended by itself.
    pub fn forget_attempt(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    /// Stops an attempt.
    pub fn cancel(&mut self, attempt: AttemptId) {
        if let Some(entry) = self.attempts.remove(&attempt)
            && let Some(task) = entry.task
        {
            task.abort();
        }
    }

    /// Ends a request whose answer is whole. The delivered attempt may send its last piece; the others, such as a
    /// cascade's first answer that was withheld in case the second failed, are of no use any more.
    pub fn complete(&mut self, completion: Box<Completion>) {
        self.permit(completion.attempt, Delivery::Released);
        for attempt in self.attempts_of(completion.request) {
            if attempt != completion.attempt {
                self.cancel(attempt);
            }
        }
        self.end(completion.request, Verdict::Complete(completion));
    }

    /// Stops every attempt of a request that ended without a whole answer.
    pub fn cancel_all(&mut self, request: RequestId) {
        for attempt in self.attempts_of(request) {
            self.cancel(attempt);
        }
    }

    /// Attempts in progress or withheld.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    fn attempts_of(&self, request: RequestId) -> Vec<AttemptId> {
        let of_request = |(attempt, entry): (&AttemptId, &AttemptEntry)| {
            (entry.request == request).then_some(*attempt)
        };
        self.attempts.iter().filter_map(of_request).collect()
    }
}
