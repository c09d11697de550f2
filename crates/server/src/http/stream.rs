//! Writes streamed answers as server-sent events.

use bytes::Bytes;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use futures::Stream;
use futures::stream;
use salvo::prelude::Response;

use crate::answers;
use crate::answers::ErrorBody;
use crate::http::callers::CallerGuard;
use crate::http::callers::SessionTokenSealer;
use crate::http::callers::lost_request;
use crate::registry::CallerHandle;
use crate::registry::RequestOutcome;

/// Writes a streamed answer. The status is not sent before the first chunk, so that an earlier refusal is an ordinary
/// HTTP response.
pub async fn answer(
    res: &mut Response,
    mut handle: CallerHandle,
    guard: CallerGuard,
    sealer: &SessionTokenSealer,
    id: RequestId,
) {
    let Some(first) = handle.chunks.recv().await else {
        return answer_without_chunks(res, handle, id).await;
    };
    // The host reports that a session moved only with the completion, after the headers were sent.
    answers::set_origin_headers(res, &sealer.origin(id, handle.head.get(), false));
    answers::set_header(res, "content-type", "text/event-stream");
    answers::set_header(res, "cache-control", "no-cache");
    res.stream(events(first, handle, guard, id));
}

async fn answer_without_chunks(res: &mut Response, handle: CallerHandle, id: RequestId) {
    match handle.outcome.await {
        Ok(RequestOutcome::Complete(_)) => {
            answers::set_header(res, "content-type", "text/event-stream");
            let _ = res.write_body(done_event());
        }
        Ok(RequestOutcome::Replay(outcome)) => answers::replay(res, outcome, id),
        Ok(RequestOutcome::Refused(refusal)) => answers::refuse(res, &refusal, Some(id)),
        Err(_) => answers::refuse(res, &lost_request(), Some(id)),
    }
}

enum State {
    First(Bytes, Progress),
    Rest(Progress),
    Ended,
}

struct Progress {
    handle: CallerHandle,
    // Dropped together with the stream, which reports the caller's disconnection to the host.
    _guard: CallerGuard,
    id: RequestId,
}

type StreamItem = Result<Bytes, std::convert::Infallible>;

fn events(
    first: Bytes,
    handle: CallerHandle,
    guard: CallerGuard,
    id: RequestId,
) -> impl Stream<Item = StreamItem> {
    let progress = Progress { handle, _guard: guard, id };
    stream::unfold(State::First(first, progress), async move |state| match state {
        State::First(chunk, progress) => Some((Ok(data_event(&chunk)), State::Rest(progress))),
        State::Rest(mut progress) => match progress.handle.chunks.recv().await {
            Some(chunk) => Some((Ok(data_event(&chunk)), State::Rest(progress))),
            None => Some((Ok(final_event(progress).await), State::Ended)),
        },
        State::Ended => None,
    })
}

async fn final_event(progress: Progress) -> Bytes {
    match progress.handle.outcome.await {
        Ok(RequestOutcome::Complete(_) | RequestOutcome::Replay(_)) => done_event(),
        Ok(RequestOutcome::Refused(refusal)) => error_event(&refusal, progress.id),
        Err(_) => error_event(&lost_request(), progress.id),
    }
}

fn data_event(payload: &Bytes) -> Bytes {
    let mut buf = Vec::with_capacity(payload.len() + 8);
    buf.extend_from_slice(b"data: ");
    buf.extend_from_slice(payload);
    buf.extend_from_slice(b"\n\n");
    buf.into()
}

fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

fn error_event(refusal: &Refusal, id: RequestId) -> Bytes {
    format!("event: error\ndata: {}\n\n", ErrorBody::new(refusal, Some(id)).to_json()).into()
}
