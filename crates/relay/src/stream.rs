//! Passes the events of a stream on and resumes it at another server when its server fails.

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
use crate::attempt::Found;
use crate::attempt::SERVER_LOST;
use crate::attempt::find_answer;
use crate::conn::Conn;
use crate::running::Running;
use crate::running::SIGN_CHECK;
use crate::sse::EventSplitter;

/// Pieces that wait for a slow caller before the server is held back.
const PIECES: usize = 16;

/// Body of a streamed answer.
pub(crate) struct EventBody {
    rx: mpsc::Receiver<Result<Bytes, StreamBroken>>,
}

/// The stream cannot be finished; the connection is broken off so that it does not look whole.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream broke")]
pub(crate) struct StreamBroken;

type Pieces = mpsc::Sender<Result<Bytes, StreamBroken>>;

enum Pumped {
    /// The server ended the stream properly.
    Whole,
    Failed(AttemptOutcome, String),
    CallerGone,
}

/// Starts to pass a stream on; its events come out of the returned body.
pub(crate) fn pass_on(
    mut running: Running,
    caller: CallerRequest,
    body: Incoming,
    conn: Conn,
    status: u16,
) -> EventBody {
    let (tx, rx) = mpsc::channel(PIECES);
    tokio::task::spawn_local(async move {
        let mut source = (body, conn);
        loop {
            let (body, conn) = source;
            match pump(&mut running, body, &tx).await {
                Pumped::Whole => {
                    running.core.pool.keep(conn);
                    return running.answered(status, AttemptOutcome::Whole);
                }
                Pumped::CallerGone => return conn.close(),
                Pumped::Failed(outcome, reason) => {
                    conn.close();
                    running.ended(outcome, &reason);
                }
            }
            let found = tokio::select! {
                found = find_answer(&mut running, &caller) => found,
                () = tx.closed() => return,
            };
            match found {
                Found::Stream(_, body, conn) => source = (body, conn),
                Found::Plain(..) | Found::Refused(_) => {
                    // The receiver may be gone already; then nobody is left to tell.
                    let _ = tx.send(Err(StreamBroken)).await;
                    return running.stream_broken();
                }
            }
        }
    });
    EventBody { rx }
}

async fn pump(running: &mut Running, mut body: Incoming, tx: &Pieces) -> Pumped {
    let mut splitter = EventSplitter::default();
    let mut last_event = Instant::now();
    let mut has_event = false;
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout(SIGN_CHECK, body.frame()) => frame,
            () = running.core.server_lost.notified() => {
                if running.is_stalled(last_event) {
                    return Pumped::Failed(AttemptOutcome::Silent, SERVER_LOST.to_owned());
                }
                continue;
            }
            () = tx.closed() => return Pumped::CallerGone,
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => return Pumped::Failed(AttemptOutcome::Broken, e.to_string()),
            Ok(None) if splitter.is_between_events() => return Pumped::Whole,
            Ok(None) => {
                return Pumped::Failed(AttemptOutcome::Broken, "ends inside an event".to_owned());
            }
            Err(_) if Instant::now() >= running.flight.deadline => {
                return Pumped::Failed(AttemptOutcome::Cancelled, "deadline".to_owned());
            }
            Err(_) if running.is_stalled(last_event) => {
                return Pumped::Failed(AttemptOutcome::Silent, "no event in time".to_owned());
            }
            Err(_) => {
                running.probe_silent_server(last_event);
                continue;
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = match splitter.push(&data) {
            Ok(Some(events)) => events,
            Ok(None) => continue,
            Err(_) => return Pumped::Failed(AttemptOutcome::Garbled, "event too large".to_owned()),
        };
        let now = Instant::now();
        running.progressed(has_event.then(|| now - last_event));
        last_event = now;
        has_event = true;
        if let Some(id) = events.last_id {
            running.flight.record_forwarded_event(id);
        }
        let sent = tokio::select! {
            sent = tx.send(Ok(events.bytes)) => sent,
            () = tokio::time::sleep_until(running.flight.deadline.into()) => {
                return Pumped::Failed(AttemptOutcome::Cancelled, "deadline".to_owned());
            }
        };
        if sent.is_err() {
            return Pumped::CallerGone;
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
        self.rx.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}
