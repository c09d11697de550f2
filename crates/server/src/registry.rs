//! The driver's registry of requests and attempts in progress.

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

/// Content of a request, sent to backend servers with each attempt.
#[derive(Clone, Debug)]
pub struct RequestContent {
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
pub enum RequestOutcome {
    Complete(Box<Completion>),
    Replay(ClaimOutcome),
    Refused(Refusal),
}

/// What is known about an answer when its first chunk is delivered.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    pub dispatch: Dispatch,
    pub status: u16,
    pub content_type: String,
}

/// Permission to deliver an attempt's output to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Delivery {
    /// No output may be delivered.
    Withheld,
    /// All output except the final chunk may be delivered.
    Started,
    /// All output may be delivered: the bill is stored or replicated to two peers, or the bounded wait for that has
    /// passed; the outcome of a claimed request is stored or replicated to two peers.
    Released,
}

/// The request handler's side of a request in progress.
pub struct CallerHandle {
    pub chunks: mpsc::Receiver<Bytes>,
    pub outcome: oneshot::Receiver<RequestOutcome>,
    pub head: Arc<OnceLock<AnswerHead>>,
}

/// The driver's side of a request in progress.
pub struct RequestEntry {
    pub content: Arc<RequestContent>,
    pub arrival: Arrival,
    /// Labels under which a refusal is counted; those of the latest attempt, if there was one.
    pub labels: Labels,
    pub chunks: mpsc::Sender<Bytes>,
    pub head: Arc<OnceLock<AnswerHead>>,
    outcome: oneshot::Sender<RequestOutcome>,
}

/// The driver's side of an attempt in progress.
pub struct AttemptEntry {
    pub request: RequestId,
    pub delivery: watch::Sender<Delivery>,
    pub task: Option<AbortHandle>,
}

/// All requests and attempts in progress.
#[derive(Default)]
pub struct Registry {
    requests: BTreeMap<RequestId, RequestEntry>,
    attempts: BTreeMap<AttemptId, AttemptEntry>,
}

impl Registry {
    /// Adds a request; `None` if one with the same id is in progress.
    pub fn open(
        &mut self,
        request: RequestId,
        content: RequestContent,
        arrival: Arrival,
        labels: Labels,
        buffered_chunks: usize,
    ) -> Option<CallerHandle> {
        if self.requests.contains_key(&request) {
            return None;
        }
        let (chunks_tx, chunks_rx) = mpsc::channel(buffered_chunks);
        let (outcome_tx, outcome_rx) = oneshot::channel();
        let head = Arc::new(OnceLock::new());
        let entry = RequestEntry {
            content: Arc::new(content),
            arrival,
            labels,
            chunks: chunks_tx,
            head: Arc::clone(&head),
            outcome: outcome_tx,
        };
        self.requests.insert(request, entry);
        Some(CallerHandle { chunks: chunks_rx, outcome: outcome_rx, head })
    }

    pub fn request(&self, request: RequestId) -> Option<&RequestEntry> {
        self.requests.get(&request)
    }

    /// Sets a request's labels to those of its latest attempt.
    pub fn set_labels(&mut self, request: RequestId, labels: Labels) {
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.labels = labels;
        }
    }

    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of streamed requests in progress.
    pub fn streams(&self) -> usize {
        self.requests.values().filter(|entry| entry.content.streamed).count()
    }

    /// Ends a request and reports its outcome to the caller.
    pub fn end(&mut self, request: RequestId, outcome: RequestOutcome) {
        if let Some(entry) = self.requests.remove(&request) {
            // The caller may have disconnected; then nobody receives the outcome.
            let _ = entry.outcome.send(outcome);
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

    /// Raises an attempt's delivery permission; a lower one than the current permission has no effect.
    pub fn allow_delivery(&self, attempt: AttemptId, delivery: Delivery) {
        if let Some(entry) = self.attempts.get(&attempt) {
            entry.delivery.send_if_modified(|present| {
                let raised = delivery > *present;
                *present = delivery.max(*present);
                raised
            });
        }
    }

    /// Removes an attempt whose task ended by itself.
    pub fn forget_attempt(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, attempt: AttemptId) {
        if let Some(entry) = self.attempts.remove(&attempt)
            && let Some(task) = entry.task
        {
            task.abort();
        }
    }

    /// Ends a request whose answer is complete. The delivered attempt may send its final chunk. The others, such as a
    /// cascade's first answer that was withheld in case the second failed, are no longer needed and are cancelled.
    pub fn complete(&mut self, completion: Box<Completion>) {
        self.allow_delivery(completion.attempt, Delivery::Released);
        for attempt in self.attempts_of(completion.request) {
            if attempt != completion.attempt {
                self.cancel(attempt);
            }
        }
        self.end(completion.request, RequestOutcome::Complete(completion));
    }

    /// Cancels all attempts of a request that ended without a complete answer.
    pub fn cancel_all(&mut self, request: RequestId) {
        for attempt in self.attempts_of(request) {
            self.cancel(attempt);
        }
    }

    /// Number of attempts in progress or withheld.
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
