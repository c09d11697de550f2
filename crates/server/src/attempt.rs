//! One attempt: from the dispatch to the last piece of its answer.

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

use crate::registry::AnswerHead;
use crate::registry::Delivery;
use crate::registry::RequestEntry;
use crate::shell::Shell;

/// Most bytes of an answer that are kept for a repeat of a non-idempotent request and for its rating.
const KEPT_BYTES: usize = 16 << 10;

/// The task that runs one attempt.
pub struct AttemptTask {
    pub shell: Arc<Shell>,
    pub dispatch: Dispatch,
    pub request: AttemptRequest,
    pub output: Output,
}

/// The way of an attempt's output to the caller.
pub struct Output {
    caller: mpsc::Sender<Bytes>,
    head: Arc<std::sync::OnceLock<AnswerHead>>,
    delivery: watch::Receiver<Delivery>,
    pending_head: Option<AnswerHead>,
    withheld: VecDeque<Piece>,
    withheld_bytes: usize,
    kept: Vec<u8>,
    delivered_tokens: u32,
}

struct Piece {
    bytes: Bytes,
    tokens: u32,
}

impl AttemptTask {
    /// Runs the attempt. Every way out tells the entry host how it ended, but for an abort, which it ordered.
    pub async fn run(mut self) {
        let attempt = self.dispatch.attempt;
        self.shell.attempt(attempt, AttemptEvent::Sent);
        match self.shell.edges().backends.start(self.request.clone()).await {
            Ok(start) => self.pump(start).await,
            Err(failure) => self.shell.attempt(attempt, AttemptEvent::Failed(failure)),
        }
        self.shell.forget_attempt(attempt);
    }

    async fn pump(&mut self, mut start: AttemptStart) {
        let attempt = self.dispatch.attempt;
        self.output.prepare_head(&self.dispatch, &start);
        self.shell.attempt(attempt, AttemptEvent::FirstByte);
        loop {
            match self.next(&mut start).await {
                Next::Piece(piece) => self.output.push(piece).await,
                Next::Delivery => self.output.flush(1).await,
                Next::End(summary) => return self.finish(summary).await,
                Next::Failed(failure) => return self.fail(failure),
            }
        }
    }

    async fn next(&mut self, start: &mut AttemptStart) -> Next {
        let room = self.output.withheld_bytes < self.shell.limits().withheld_bytes;
        tokio::select! {
            item = start.chunks.next(), if room => match item {
                Some(Ok(AttemptOutput::Chunk { bytes, tokens })) => Next::Piece(Piece { bytes, tokens }),
                Some(Ok(AttemptOutput::End(summary))) => Next::End(summary),
                Some(Err(failure)) => Next::Failed(failure),
                None => Next::Failed(AttemptFailure::ConnectionLost),
            },
            changed = self.output.delivery.changed() => match changed {
                Ok(()) => Next::Delivery,
                Err(_) => Next::Failed(AttemptFailure::Cancelled),
            },
        }
    }

    async fn finish(&mut self, summary: AnswerSummary) {
        let attempt = self.dispatch.attempt;
        let body = std::mem::take(&mut self.output.kept);
        self.shell.attempt(attempt, AttemptEvent::Finished { summary, body });
        self.output.release().await;
    }

    fn fail(&self, failure: AttemptFailure) {
        let attempt = self.dispatch.attempt;
        let tokens = self.output.delivered_tokens;
        self.shell.attempt(attempt, AttemptEvent::Progress { tokens });
        self.shell.attempt(attempt, AttemptEvent::Failed(failure));
    }
}

enum Next {
    Piece(Piece),
    Delivery,
    End(AnswerSummary),
    Failed(AttemptFailure),
}

impl Output {
    pub fn new(entry: &RequestEntry, delivery: watch::Receiver<Delivery>) -> Output {
        Output {
            caller: entry.pieces.clone(),
            head: Arc::clone(&entry.head),
            delivery,
            pending_head: None,
            withheld: VecDeque::new(),
            withheld_bytes: 0,
            kept: Vec::new(),
            delivered_tokens: 0,
        }
    }

    /// Notes the head for the caller; the first attempt that delivers a piece sets it for good.
    fn prepare_head(&mut self, dispatch: &Dispatch, start: &AttemptStart) {
        self.pending_head = Some(AnswerHead {
            dispatch: dispatch.clone(),
            status: start.status,
            content_type: start.content_type.clone(),
        });
    }

    async fn push(&mut self, piece: Piece) {
        let room = KEPT_BYTES.saturating_sub(self.kept.len());
        self.kept.extend_from_slice(&piece.bytes[..piece.bytes.len().min(room)]);
        self.withheld_bytes += piece.bytes.len();
        self.withheld.push_back(piece);
        self.flush(1).await;
    }

    /// Sends what may go out, all but the last `keep` pieces.
    async fn flush(&mut self, keep: usize) {
        if *self.delivery.borrow() == Delivery::Withheld {
            return;
        }
        while self.withheld.len() > keep
            && let Some(piece) = self.withheld.pop_front()
        {
            self.withheld_bytes -= piece.bytes.len();
            self.send(piece).await;
        }
    }

    async fn send(&mut self, piece: Piece) {
        if let Some(head) = self.pending_head.take() {
            let _ = self.head.set(head);
        }
        // A caller that left is noticed by its own handler, which cancels the attempt.
        if self.caller.send(piece.bytes).await.is_ok() {
            self.delivered_tokens += piece.tokens;
        }
    }

    /// Waits until the bill is safe and sends the last piece.
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
