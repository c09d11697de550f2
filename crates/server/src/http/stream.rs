//! Streamed answers as server-sent events.

use bytes::Bytes;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use futures::Stream;
use futures::stream;
use salvo::prelude::Response;

use crate::answers;
use crate::answers::ErrorBody;
use crate::http::callers::CallerGuard;
use crate::http::callers::Sealer;
use crate::http::callers::lost_verdict;
use crate::registry::CallerEnd;
use crate::registry::Verdict;

/// Writes a streamed answer. Until its first piece the status is open, so that a refusal is an ordinary one.
pub async fn answer(
    res: &mut Response,
    mut end: CallerEnd,
    guard: CallerGuard,
    sealer: &Sealer,
    id: RequestId,
) {
    let Some(first) = end.pieces.recv().await else {
        return without_pieces(res, end, id).await;
    };
    answers::describe(res, &sealer.origin(id, end.head.get(), false));
    answers::set(res, "content-type", "text/event-stream");
    answers::set(res, "cache-control", "no-cache");
    res.stream(events(first, end, guard, id));
}

async fn without_pieces(res: &mut Response, end: CallerEnd, id: RequestId) {
    match end.verdict.await {
        Ok(Verdict::Complete(_)) => {
            answers::set(res, "content-type", "text/event-stream");
            let _ = res.write_body(done());
        }
        Ok(Verdict::Replay(outcome)) => answers::replay(res, outcome, id),
        Ok(Verdict::Refused(refusal)) => answers::refuse(res, &refusal, Some(id)),
        Err(_) => answers::refuse(res, &lost_verdict(), Some(id)),
    }
}

enum State {
    First(Bytes, Progress),
    Rest(Progress),
    Ended,
}

struct Progress {
    end: CallerEnd,
    // Dropped with the stream, which tells the host that the caller left.
    _guard: CallerGuard,
    id: RequestId,
}

type Frame = Result<Bytes, std::convert::Infallible>;

fn events(
    first: Bytes,
    end: CallerEnd,
    guard: CallerGuard,
    id: RequestId,
) -> impl Stream<Item = Frame> {
    let progress = Progress { end, _guard: guard, id };
    stream::unfold(State::First(first, progress), async move |state| match state {
        State::First(piece, progress) => Some((Ok(event(&piece)), State::Rest(progress))),
        State::Rest(mut progress) => match progress.end.pieces.recv().await {
            Some(piece) => Some((Ok(event(&piece)), State::Rest(progress))),
            None => Some((Ok(last(progress).await), State::Ended)),
        },
        State::Ended => None,
    })
}

async fn last(progress: Progress) -> Bytes {
    match progress.end.verdict.await {
        Ok(Verdict::Complete(_) | Verdict::Replay(_)) => done(),
        Ok(Verdict::Refused(refusal)) => error(&refusal, progress.id),
        Err(_) => error(&lost_verdict(), progress.id),
    }
}

fn event(payload: &Bytes) -> Bytes {
    let mut buf = Vec::with_capacity(payload.len() + 8);
    buf.extend_from_slice(b"data: ");
    buf.extend_from_slice(payload);
    buf.extend_from_slice(b"\n\n");
    buf.into()
}

fn done() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

fn error(refusal: &Refusal, id: RequestId) -> Bytes {
    format!("event: error\ndata: {}\n\n", ErrorBody::of(refusal, Some(id)).to_json()).into()
}
