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

use crate::attempt::CallerRequest;
use crate::attempt::FinalAnswer;
use crate::attempt::SERVER_LOST;
use crate::attempt::run_attempts;
use crate::conn::Conn;
use crate::request_guard::LIVENESS_POLL_INTERVAL;
use crate::request_guard::RequestGuard;
use crate::sse::EventSplitter;

/// Chunks buffered for a slow caller before backpressure stops reading from the server.
const CHUNK_BUFFER: usize = 16;

/// Body of a streamed response.
pub(crate) struct EventBody {
    rx: mpsc::Receiver<Result<Bytes, StreamBroken>>,
}

/// The stream cannot be completed; the caller's connection is aborted so that the stream does not look complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("stream could not be completed")]
pub(crate) struct StreamBroken;

type ChunkSender = mpsc::Sender<Result<Bytes, StreamBroken>>;

/// How reading a stream from one server ended.
enum StreamEnd {
    /// The server ended the stream between two events.
    Complete,
    /// The attempt's outcome and the log reason.
    Failed(AttemptOutcome, String),
    CallerDisconnected,
}

/// Starts forwarding a stream; its events come out of the returned body.
pub(crate) fn forward(
    mut guard: RequestGuard,
    caller: CallerRequest,
    body: Incoming,
    conn: Conn,
    status: u16,
) -> EventBody {
    let (tx, rx) = mpsc::channel(CHUNK_BUFFER);
    tokio::task::spawn_local(async move {
        let mut source = (body, conn);
        loop {
            let (body, conn) = source;
            match forward_events(&mut guard, body, &tx).await {
                StreamEnd::Complete => {
                    guard.core.pool.put(conn);
                    return guard.finish_answered(status, AttemptOutcome::Whole);
                }
                StreamEnd::CallerDisconnected => return conn.close(),
                StreamEnd::Failed(outcome, reason) => {
                    conn.close();
                    guard.end_attempt(outcome, &reason);
                }
            }
            let answer = tokio::select! {
                answer = run_attempts(&mut guard, &caller) => answer,
                () = tx.closed() => return,
            };
            match answer {
                FinalAnswer::Stream(_, body, conn) => source = (body, conn),
                FinalAnswer::Plain(..) | FinalAnswer::Refused(_) => {
                    // Fails only if the caller has already disconnected.
                    let _ = tx.send(Err(StreamBroken)).await;
                    return guard.finish_stream_broken(&answer);
                }
            }
        }
    });
    EventBody { rx }
}

/// Forwards events from one server until its stream ends or fails, or the caller disconnects.
async fn forward_events(
    guard: &mut RequestGuard,
    mut body: Incoming,
    tx: &ChunkSender,
) -> StreamEnd {
    let mut splitter = EventSplitter::default();
    let mut last_event = Instant::now();
    let mut has_event = false;
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout(LIVENESS_POLL_INTERVAL, body.frame()) => frame,
            () = guard.core.server_lost.notified() => {
                if guard.is_stalled(last_event) {
                    return StreamEnd::Failed(AttemptOutcome::Silent, SERVER_LOST.to_owned());
                }
                continue;
            }
            () = tx.closed() => return StreamEnd::CallerDisconnected,
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => return StreamEnd::Failed(AttemptOutcome::Broken, e.to_string()),
            Ok(None) if splitter.is_between_events() => return StreamEnd::Complete,
            Ok(None) => {
                return StreamEnd::Failed(
                    AttemptOutcome::Broken,
                    "stream ended inside an event".to_owned(),
                );
            }
            Err(_) if Instant::now() >= guard.req.deadline => {
                return StreamEnd::Failed(AttemptOutcome::Cancelled, "deadline".to_owned());
            }
            Err(_) if guard.is_stalled(last_event) => {
                return StreamEnd::Failed(
                    AttemptOutcome::Silent,
                    "timed out waiting for the next event".to_owned(),
                );
            }
            Err(_) => {
                guard.probe_silent_server(last_event);
                continue;
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = match splitter.push(&data) {
            Ok(Some(events)) => events,
            Ok(None) => continue,
            Err(_) => {
                return StreamEnd::Failed(AttemptOutcome::Garbled, "event too large".to_owned());
            }
        };
        let now = Instant::now();
        guard.record_progress(has_event.then(|| now - last_event));
        last_event = now;
        has_event = true;
        if let Some(id) = events.last_id {
            guard.req.record_forwarded_event(id);
        }
        let sent = tokio::select! {
            sent = tx.send(Ok(events.bytes)) => sent,
            () = tokio::time::sleep_until(guard.req.deadline.into()) => {
                return StreamEnd::Failed(AttemptOutcome::Cancelled, "deadline".to_owned());
            }
        };
        if sent.is_err() {
            return StreamEnd::CallerDisconnected;
        }
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
