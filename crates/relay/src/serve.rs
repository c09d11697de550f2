//! Serves one request of a caller: reads it, admits it, obtains an answer and returns it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::stable_hash;
use foxtailhoist_route::in_flight::AttemptOutcome;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::attempt::CallerRequest;
use crate::attempt::FinalAnswer;
use crate::attempt::run_attempts;
use crate::caller_conn::CallerConn;
use crate::caller_conn::ConnPhase;
use crate::core::Core;
use crate::hand_over;
use crate::hand_over::HANDED_OVER;
use crate::hand_over::OUT_OF_REACH;
use crate::listen::OpenConnection;
use crate::log_event::LogEvent;
use crate::memory::Holder;
use crate::memory::Owner;
use crate::memory::Reservation;
use crate::memory::SMALL_BODY_BYTES;
use crate::request_guard::RequestGuard;
use crate::request_guard::RequestSource;
use crate::stream;
use crate::stream::EventBody;
use crate::stream::StreamBroken;

/// Maximum time for a request's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time without any byte of a body that is not complete. The same as the default limit on heads: a lost segment is
/// sent again several times in it.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// When a caller may try again whose body there was no memory for: bodies that stall make room after
/// [`BODY_STALL_TIMEOUT`], ordinary ones within milliseconds.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
const FINGERPRINT_SEED: u64 = 0x626f_6479;
/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

type FinalBody = Either<Full<Bytes>, EventBody>;

/// Body of a response to a caller; its connection becomes idle when the body is dropped.
pub(crate) struct AnswerBody {
    body: FinalBody,
    conn: Rc<CallerConn>,
    /// Keeps a request that another host handed over registered until its answer ends.
    open: Option<OpenConnection>,
}

/// Serves one request; closes the connection afterwards where required.
pub(crate) async fn serve(
    core: Rc<Core>,
    conn: Rc<CallerConn>,
    request: Request<Incoming>,
    source: RequestSource,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    // Nothing is read from the connection after a chunked body, which prevents request smuggling where two readers
    // interpret the framing differently.
    let must_close = head.headers.contains_key(header::TRANSFER_ENCODING);
    let mut answer = answer(&core, &conn, head, body, source).await;
    if must_close || core.stopping.get() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    conn.enter(ConnPhase::Answer);
    answer.map(|body| AnswerBody { body, conn, open: None })
}

/// Serves a request that another entry host hands over. It counts as a caller's, so that a stop waits for its answer.
pub(crate) async fn serve_handed_over(
    core: Rc<Core>,
    mut request: Request<Incoming>,
) -> Response<AnswerBody> {
    request.headers_mut().remove(HANDED_OVER);
    let conn = Rc::new(CallerConn::new(None, Instant::now()));
    let open = OpenConnection::new(core.clone(), conn.clone());
    conn.request_began();
    let mut response = serve(core, conn, request, RequestSource::EntryHost).await;
    response.body_mut().open = Some(open);
    response
}

async fn answer(
    core: &Rc<Core>,
    conn: &CallerConn,
    head: http::request::Parts,
    body: Incoming,
    source: RequestSource,
) -> Response<FinalBody> {
    let arrived = Instant::now();
    if is_ambiguous(&head) {
        return refuse(core, conn, "-", ErrorKind::BadRequest, "ambiguous framing", arrived);
    }
    let mut arrival = match core.wire.decode_request(&head) {
        Ok(arrival) => arrival,
        Err(malformed) => {
            return refuse(core, conn, "-", ErrorKind::BadRequest, &malformed.0, arrived);
        }
    };
    conn.set_request(&arrival.id);
    let read = read_body(core, body, || core.body_owner(&arrival, conn.address())).await;
    let CallerBody { bytes: body, share: body_share } = match read {
        Ok(body) => body,
        Err(kind) => return refuse(core, conn, &arrival.id, kind, "", arrived),
    };
    conn.enter(ConnPhase::Waiting);
    arrival.fingerprint = stable_hash(FINGERPRINT_SEED, &[arrival.path.as_bytes(), &body]);
    let id = arrival.id.clone();
    core.wait_for_routes(arrived, arrival.caller_timeout).await;
    let admitted = core.dispatcher.borrow_mut().admit(arrival, arrived);
    let req = match admitted {
        Ok(req) => req,
        Err(refusal) => return not_admitted(core, &id, &refusal, arrived),
    };
    let caller = CallerRequest {
        target: head.uri.path_and_query().map_or(head.uri.clone(), |path| path.clone().into()),
        method: head.method,
        headers: end_to_end(&head.headers),
        body,
        _body_share: body_share,
    };
    let mut guard = RequestGuard::new(core.clone(), req, source);
    match run_attempts(&mut guard, &caller).await {
        FinalAnswer::Refused(refusal) => {
            let is_out_of_reach =
                source == RequestSource::EntryHost && guard.is_out_of_reach(&refusal);
            guard.finish_refused(&refusal);
            let mut response = refusal_response(core, &refusal);
            if is_out_of_reach {
                response.headers_mut().insert(OUT_OF_REACH, HeaderValue::from_static("1"));
            }
            response
        }
        FinalAnswer::HandedOver(parts, body, share) => {
            conn.hold_answer(share);
            guard.finish_answered(parts.status.as_u16(), AttemptOutcome::Whole);
            response(&parts, Either::Left(Full::new(body)))
        }
        FinalAnswer::HandedOverStream(parts, body, conn) => {
            let events = hand_over::forward(guard, body, conn, parts.status.as_u16());
            response(&parts, Either::Right(events))
        }
        FinalAnswer::Plain(parts, body, share) => {
            conn.hold_answer(share);
            let is_failure = parts.status.is_server_error();
            let outcome = if is_failure { AttemptOutcome::Failed } else { AttemptOutcome::Whole };
            core.metrics.first_byte(guard.req.arrived.elapsed(), false);
            guard.finish_answered(parts.status.as_u16(), outcome);
            response(&parts, Either::Left(Full::new(body)))
        }
        FinalAnswer::Stream(parts, body, conn) => {
            core.metrics.first_byte(guard.req.arrived.elapsed(), true);
            let status = parts.status.as_u16();
            let events = stream::forward(guard, caller, body, conn, status);
            response(&parts, Either::Right(events))
        }
    }
}

/// Whether the framing, such as both a length and an encoding, lets readers disagree on where the body ends.
fn is_ambiguous(head: &http::request::Parts) -> bool {
    let has_encoding = head.headers.contains_key(header::TRANSFER_ENCODING);
    let lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().count();
    let encodings = head.headers.get_all(header::TRANSFER_ENCODING).iter().count();
    (has_encoding && lengths > 0)
        || lengths > 1
        || encodings > 1
        || (has_encoding && head.version == Version::HTTP_10)
}

/// A complete body and its part of the memory; a request without a body needs none.
#[derive(Default)]
struct CallerBody {
    bytes: Bytes,
    share: Option<Reservation>,
}

/// Reads a body into one buffer. Its memory is reserved first: all of it where the length is stated, so that a body that
/// was begun is never refused for memory, else as the buffer grows.
async fn read_body(
    core: &Core,
    mut body: Incoming,
    owner: impl FnOnce() -> Owner,
) -> Result<CallerBody, ErrorKind> {
    if body.is_end_stream() {
        return Ok(CallerBody::default());
    }
    let limit = core.limits().body_bytes;
    let stated =
        body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if stated.is_some_and(|length| length > limit) {
        return Err(ErrorKind::BodyTooLarge);
    }
    let is_small = stated.is_some_and(|length| length <= SMALL_BODY_BYTES);
    let mut share = core.memory.reserve(Holder::Bodies, (!is_small).then(owner));
    let over_budget = |_| {
        core.metrics.memory_refused(Holder::Bodies.name());
        ErrorKind::Overloaded
    };
    let capacity = stated.unwrap_or(SMALL_BODY_BYTES.min(limit));
    share.grow(capacity).map_err(over_budget)?;
    // Collected frames would share read buffers many times their size.
    let mut buf = Vec::with_capacity(capacity);
    let started = Instant::now();
    loop {
        let due = (started + BODY_TIMEOUT).min(Instant::now() + BODY_STALL_TIMEOUT);
        let frame = match timeout_at(due.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(ErrorKind::BadRequest),
            Ok(None) => return Ok(CallerBody { bytes: Bytes::from(buf), share: Some(share) }),
            Err(_) => return Err(ErrorKind::SlowSender),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = buf.len() + data.len();
        if size > limit {
            return Err(ErrorKind::BodyTooLarge);
        }
        if size > buf.capacity() {
            let capacity = size.max(2 * buf.capacity()).min(limit);
            share.grow(capacity).map_err(over_budget)?;
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&data);
    }
}

/// Copies the end-to-end headers.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_named = named.iter().any(|named| named == name.as_str());
        let is_framing = *name == header::CONTENT_LENGTH || *name == header::EXPECT;
        if !is_named && !is_framing && !HOP_BY_HOP.contains(&name.as_str()) {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

fn response(parts: &http::response::Parts, body: FinalBody) -> Response<FinalBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(&parts.headers);
    response
}

/// Logs, counts and answers a request that was not admitted.
fn not_admitted(core: &Core, id: &str, refusal: &Refusal, arrived: Instant) -> Response<FinalBody> {
    core.metrics.request(refusal.kind.name());
    core.log.write(&LogEvent::Refused { id, req: None, refusal, elapsed: arrived.elapsed() });
    refusal_response(core, refusal)
}

/// Refuses a request that was not completely read, and closes its connection.
fn refuse(
    core: &Core,
    conn: &CallerConn,
    id: &str,
    kind: ErrorKind,
    message: &str,
    arrived: Instant,
) -> Response<FinalBody> {
    let retry_after = (kind == ErrorKind::Overloaded).then_some(MEMORY_RETRY_AFTER);
    let refusal =
        Refusal { kind, ran: kind.response().ran, message: message.to_owned(), retry_after };
    let mut response = not_admitted(core, id, &refusal, arrived);
    // Part of what the caller sent may still be unread.
    conn.set_refused();
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn refusal_response(core: &Core, refusal: &Refusal) -> Response<FinalBody> {
    let (status, headers) = core.wire.encode_refusal(refusal);
    let text = format!("{}: {}\n", refusal.kind.name(), refusal.message);
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = headers;
    response
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match &mut self.body {
            Either::Left(whole) => Pin::new(whole)
                .poll_frame(cx)
                .map(|frame| frame.map(|frame| frame.map_err(|never| match never {}))),
            Either::Right(events) => Pin::new(events).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.conn.answer_ended();
    }
}
