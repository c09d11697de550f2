//! Forwards the events of a stream to the caller and resumes the stream on another server when its server fails.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_route::in_flight::AttemptOutcome;
use http_body::Body;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::answer_memory::AnswerShare;
use crate::attempt::CallerRequest;
use crate::attempt::Continuation;
use crate::attempt::SERVER_LOST;
use crate::attempt::continue_stream;
use crate::conn::Conn;
use crate::request_guard::LIVENESS_POLL_INTERVAL;
use crate::request_guard::RequestGuard;
use crate::sse::EventSplitter;

/// Chunks buffered for a slow caller before backpressure stops reading from the server.
const CHUNK_BUFFER: usize = 4;

/// Body of a streamed response.
pub(crate) struct EventBody {
    rx: mpsc::Receiver<Result<Bytes, StreamBroken>>,
}

/// The stream cannot be completed; the caller's connection is aborted so that the stream does not look complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("stream could not be completed")]
pub(crate) struct StreamBroken;

pub(crate) type ChunkSender = mpsc::Sender<Result<Bytes, StreamBroken>>;

/// How reading a stream from one server ended.
enum StreamEnd {
    /// The server ended the stream between two events.
    Complete,
    /// The attempt's outcome and the log reason.
    Failed(AttemptOutcome, String),
    /// The server is silent, for this log reason, and another one may continue.
    Stalled(&'static str),
    CallerDisconnected,
}

/// The events of one server's answer.
pub(crate) struct EventSource {
    body: Incoming,
    conn: Conn,
    splitter: EventSplitter,
    answer_share: AnswerShare,
    /// When the last event, or else the head, arrived.
    last_event: Instant,
    has_event: bool,
}

/// Starts forwarding a stream; its events come out of the returned body.
pub(crate) fn forward(
    mut guard: RequestGuard,
    caller: CallerRequest,
    body: Incoming,
    conn: Conn,
    status: u16,
) -> EventBody {
    let (tx, events) = EventBody::channel();
    tokio::task::spawn_local(async move {
        let mut source = EventSource::new(&guard, body, conn);
        loop {
            match forward_events(&mut guard, &mut source, &tx).await {
                StreamEnd::Complete => {
                    guard.core.pool.put(source.conn);
                    return guard.finish_answered(status, AttemptOutcome::Whole);
                }
                StreamEnd::CallerDisconnected => return source.close(),
                StreamEnd::Failed(outcome, reason) => {
                    source.close();
                    guard.end_attempt(outcome, &reason);
                }
                StreamEnd::Stalled(reason) => guard.set_aside(source, reason),
            }
            let continuation = tokio::select! {
                continuation = continue_stream(&mut guard, &caller) => continuation,
                () = tx.closed() => return,
            };
            match continuation {
                Continuation::Other(body, conn) => source = EventSource::new(&guard, body, conn),
                Continuation::Same(same) => source = same,
                Continuation::Refused(reason) => {
                    // Fails only if the caller has already disconnected.
                    let _ = tx.send(Err(StreamBroken)).await;
                    return guard.finish_stream_broken(reason);
                }
            }
        }
    });
    events
}

/// Forwards events from one server until its stream ends or fails, or the caller disconnects.
async fn forward_events(
    guard: &mut RequestGuard,
    source: &mut EventSource,
    tx: &ChunkSender,
) -> StreamEnd {
    let EventSource { body, splitter, answer_share, last_event, has_event, .. } = source;
    // Only complete events postpone the check: bytes of an event that never ends are no progress.
    let mut check_at = Instant::now() + LIVENESS_POLL_INTERVAL;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sleep_until(check_at.min(guard.req.deadline).into()) => {
                check_at = Instant::now() + LIVENESS_POLL_INTERVAL;
                if Instant::now() >= guard.req.deadline {
                    return StreamEnd::Failed(AttemptOutcome::Cancelled, "deadline".to_owned());
                }
                if guard.is_stalled(*last_event) {
                    return StreamEnd::Stalled("timed out waiting for the next event");
                }
                guard.probe_silent_server(*last_event);
                continue;
            }
            () = guard.core.server_lost.notified() => {
                if guard.is_stalled(*last_event) {
                    return StreamEnd::Stalled(SERVER_LOST);
                }
                continue;
            }
            () = tx.closed() => return StreamEnd::CallerDisconnected,
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(e)) => return StreamEnd::Failed(AttemptOutcome::Broken, e.to_string()),
            None if splitter.is_between_events() => return StreamEnd::Complete,
            None => {
                return StreamEnd::Failed(
                    AttemptOutcome::Broken,
                    "stream ended inside an event".to_owned(),
                );
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = match splitter.push(&data) {
            Ok(events) => events,
            Err(_) => {
                return StreamEnd::Failed(AttemptOutcome::Garbled, "event too large".to_owned());
            }
        };
        if let Err(e) = guard.core.resize_answer(answer_share, splitter.partial_bytes()) {
            return StreamEnd::Failed(AttemptOutcome::Garbled, e.to_string());
        }
        let Some(events) = events else {
            continue;
        };
        let now = Instant::now();
        guard.record_progress(has_event.then(|| now - *last_event));
        *last_event = now;
        check_at = now + LIVENESS_POLL_INTERVAL;
        *has_event = true;
        if let Some(id) = events.last_id {
            guard.req.record_forwarded_event(id);
        }
        let sent = tokio::select! {
            sent = tx.send(Ok(events.bytes)) => sent,
            () = sleep_until(guard.req.deadline.into()) => {
                return StreamEnd::Failed(AttemptOutcome::Cancelled, "deadline".to_owned());
            }
        };
        if sent.is_err() {
            return StreamEnd::CallerDisconnected;
        }
    }
}

impl EventBody {
    /// An empty body and the sender of its chunks.
    pub(crate) fn channel() -> (ChunkSender, EventBody) {
        let (tx, rx) = mpsc::channel(CHUNK_BUFFER);
        (tx, EventBody { rx })
    }
}

impl EventSource {
    fn new(guard: &RequestGuard, body: Incoming, conn: Conn) -> EventSource {
        EventSource {
            body,
            conn,
            splitter: EventSplitter::default(),
            answer_share: AnswerShare::new(&guard.core.answer_memory),
            last_event: Instant::now(),
            has_event: false,
        }
    }

    /// Closes the connection at once.
    pub(crate) fn close(self) {
        self.conn.close();
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        self.rx.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}
