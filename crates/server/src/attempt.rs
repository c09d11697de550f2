//! Runs one attempt, from its dispatch to the final chunk of its answer.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use foxtailhoist_edge::AttemptOutput;
use foxtailhoist_edge::AttemptRequest;
use foxtailhoist_edge::AttemptStart;
use foxtailhoist_host::event::AttemptEvent;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Dispatch;
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::driver::Driver;
use crate::registry::AnswerHead;
use crate::registry::Delivery;
use crate::registry::RequestEntry;

/// Maximum bytes retained from the start of an answer, for retries of a non-idempotent request and for its rating.
const RETAINED_BODY_BYTES: usize = 16 << 10;

/// Task that runs one attempt.
pub struct AttemptTask {
    pub driver: Arc<Driver>,
    pub dispatch: Dispatch,
    pub request: AttemptRequest,
    pub output: OutputBuffer,
}

/// Buffers an attempt's output until it may be delivered to the caller.
pub struct OutputBuffer {
    caller: mpsc::Sender<Bytes>,
    head: Arc<std::sync::OnceLock<AnswerHead>>,
    delivery: watch::Receiver<Delivery>,
    pending_head: Option<AnswerHead>,
    withheld: VecDeque<Chunk>,
    withheld_bytes: usize,
    retained_body: Vec<u8>,
    delivered_tokens: u32,
}

struct Chunk {
    bytes: Bytes,
    tokens: u32,
}

impl AttemptTask {
    /// Runs the attempt and reports to the entry host how it ended, except after an abort, which the host ordered.
    pub async fn run(mut self) {
        let attempt = self.dispatch.attempt;
        self.driver.handle_attempt_event(attempt, AttemptEvent::Sent);
        match self.driver.clients().backends.start(self.request.clone()).await {
            Ok(start) => self.forward_answer(start).await,
            Err(failure) => {
                self.driver.handle_attempt_event(attempt, AttemptEvent::Failed(failure))
            }
        }
        self.driver.forget_attempt(attempt);
    }

    async fn forward_answer(&mut self, mut start: AttemptStart) {
        let attempt = self.dispatch.attempt;
        self.output.set_pending_head(&self.dispatch, &start);
        self.driver.handle_attempt_event(attempt, AttemptEvent::FirstByte);
        loop {
            match self.next_event(&mut start).await {
                NextEvent::Chunk(chunk) => self.output.push(chunk).await,
                NextEvent::Delivery => self.output.flush(1).await,
                NextEvent::End(summary) => return self.finish(summary).await,
                NextEvent::Failed(failure) => return self.fail(failure),
            }
        }
    }

    async fn next_event(&mut self, start: &mut AttemptStart) -> NextEvent {
        let has_capacity = self.output.withheld_bytes < self.driver.limits().withheld_bytes;
        tokio::select! {
            item = start.chunks.next(), if has_capacity => match item {
                Some(Ok(AttemptOutput::Chunk { bytes, tokens })) => NextEvent::Chunk(Chunk { bytes, tokens }),
                Some(Ok(AttemptOutput::End(summary))) => NextEvent::End(summary),
                Some(Err(failure)) => NextEvent::Failed(failure),
                None => NextEvent::Failed(AttemptFailure::ConnectionLost),
            },
            changed = self.output.delivery.changed() => match changed {
                Ok(()) => NextEvent::Delivery,
                Err(_) => NextEvent::Failed(AttemptFailure::Cancelled),
            },
        }
    }

    async fn finish(&mut self, summary: AnswerSummary) {
        let attempt = self.dispatch.attempt;
        let body = std::mem::take(&mut self.output.retained_body);
        self.driver.handle_attempt_event(attempt, AttemptEvent::Finished { summary, body });
        self.output.release().await;
    }

    fn fail(&self, failure: AttemptFailure) {
        let attempt = self.dispatch.attempt;
        let tokens = self.output.delivered_tokens;
        self.driver.handle_attempt_event(attempt, AttemptEvent::Progress { tokens });
        self.driver.handle_attempt_event(attempt, AttemptEvent::Failed(failure));
    }
}

enum NextEvent {
    Chunk(Chunk),
    /// The delivery permission changed.
    Delivery,
    End(AnswerSummary),
    Failed(AttemptFailure),
}

impl OutputBuffer {
    pub fn new(entry: &RequestEntry, delivery: watch::Receiver<Delivery>) -> OutputBuffer {
        OutputBuffer {
            caller: entry.chunks.clone(),
            head: Arc::clone(&entry.head),
            delivery,
            pending_head: None,
            withheld: VecDeque::new(),
            withheld_bytes: 0,
            retained_body: Vec::new(),
            delivered_tokens: 0,
        }
    }

    /// Stores the attempt's head; the request's first attempt that delivers a chunk determines the head for the caller.
    fn set_pending_head(&mut self, dispatch: &Dispatch, start: &AttemptStart) {
        self.pending_head = Some(AnswerHead {
            dispatch: dispatch.clone(),
            status: start.status,
            content_type: start.content_type.clone(),
        });
    }

    async fn push(&mut self, chunk: Chunk) {
        let capacity = RETAINED_BODY_BYTES.saturating_sub(self.retained_body.len());
        self.retained_body.extend_from_slice(&chunk.bytes[..chunk.bytes.len().min(capacity)]);
        self.withheld_bytes += chunk.bytes.len();
        self.withheld.push_back(chunk);
        self.flush(1).await;
    }

    /// Sends the buffered chunks except the last `retain_last`, unless delivery is withheld.
    async fn flush(&mut self, retain_last: usize) {
        if *self.delivery.borrow() == Delivery::Withheld {
            return;
        }
        while self.withheld.len() > retain_last
            && let Some(chunk) = self.withheld.pop_front()
        {
            self.withheld_bytes -= chunk.bytes.len();
            self.send(chunk).await;
        }
    }

    async fn send(&mut self, chunk: Chunk) {
        if let Some(head) = self.pending_head.take() {
            let _ = self.head.set(head);
        }
        // A caller's disconnection is handled by the request handler, which cancels the attempt.
        if self.caller.send(chunk.bytes).await.is_ok() {
            self.delivered_tokens += chunk.tokens;
        }
    }

    /// Waits for [`Delivery::Released`], then sends the final chunk.
    async fn release(&mut self) {
        loop {
            self.flush(1).await;
            let permission = *self.delivery.borrow_and_update();
            if permission == Delivery::Released {
                return self.flush(0).await;
            }
            if self.delivery.changed().await.is_err() {
                return;
            }
        }
    }
}
