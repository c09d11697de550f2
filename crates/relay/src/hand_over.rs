//! Hands requests of callers over to another entry host while this one cannot reach the servers.
//!
//! The request goes to the other host's peer address with the caller's headers and the time that is left, and is served
//! there like one of its own callers, but for one thing: it is not handed over again. A host that cannot serve it either
//! says so in its refusal, and the next one is asked. Only a request that has reached no server is handed over.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_route::in_flight::AttemptOutcome;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::answer_memory::AnswerShare;
use crate::attempt::CallerRequest;
use crate::attempt::FinalAnswer;
use crate::attempt::read_body;
use crate::conn::Conn;
use crate::conn::SendError;
use crate::core::Core;
use crate::log_event::LogEvent;
use crate::request_guard::RequestGuard;
use crate::stream::ChunkSender;
use crate::stream::EventBody;
use crate::stream::StreamBroken;

/// Marks a request that another host hands over; the value is the version of the configuration that it was admitted with.
pub(crate) const HANDED_OVER: HeaderName = HeaderName::from_static("foxtailhoist-handed-over");
/// Marks the refusal of a host that cannot reach the servers either.
pub(crate) const OUT_OF_REACH: HeaderName = HeaderName::from_static("foxtailhoist-out-of-reach");

/// Maximum number of hosts that are asked to serve a request.
const MAX_HOSTS: usize = 3;
/// Connect timeout for another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a host that could not be reached, or could not serve a request, is not asked again.
const AVOID_TIME: Duration = Duration::from_millis(1_000);

/// Whether a host's configuration is at least as new as that of the host that hands a request over: it must not be handled by
/// an older one than its caller has seen in force.
pub(crate) fn is_current(core: &Core, headers: &HeaderMap) -> bool {
    let dispatcher = core.dispatcher.borrow();
    let own = dispatcher.table().map(|table| table.version);
    let theirs = headers.get(HANDED_OVER).and_then(|version| version.to_str().ok()?.parse().ok());
    theirs.is_some_and(|theirs: u64| own >= Some(theirs))
}

/// How one host dealt with a request.
enum HostAnswer {
    Head(Response<Incoming>, Conn),
    /// It did not take the request, or refused it because it cannot reach the servers either.
    NotServed,
    /// The request may have run, for this reason.
    Lost(String),
}

/// Asks other hosts to serve a request; `None` if none of them can.
pub(crate) async fn hand_over(
    guard: &mut RequestGuard,
    caller: &CallerRequest,
) -> Option<FinalAnswer> {
    for (host, address) in guard.core.hand_over_hosts(&guard.req, MAX_HOSTS) {
        if Instant::now() >= guard.req.deadline {
            return None;
        }
        match ask(guard, caller, address).await {
            HostAnswer::Head(response, conn) => {
                return Some(answer(guard, &host, response, conn).await);
            }
            HostAnswer::NotServed => guard.core.avoid_host(host, Instant::now() + AVOID_TIME),
            HostAnswer::Lost(reason) => {
                guard.core.avoid_host(host.clone(), Instant::now() + AVOID_TIME);
                log::info!(
                    "event=hand_over_lost request={} host={host} reason={reason:?}",
                    guard.req.id
                );
                return Some(FinalAnswer::Refused(lost(guard)));
            }
        }
    }
    None
}

async fn ask(guard: &RequestGuard, caller: &CallerRequest, address: SocketAddr) -> HostAnswer {
    let core = &guard.core;
    // A connection that was idle may break after the request was sent, and then nothing tells whether it ran.
    let can_repeat = guard.req.route.repeatability.allows_retry();
    let pooled = if can_repeat { core.pool.take(address) } else { None };
    let mut conn = match pooled {
        Some(conn) => conn,
        None => match Conn::open(address, CONNECT_TIMEOUT).await {
            Ok(conn) => conn,
            Err(_) => return HostAnswer::NotServed,
        },
    };
    let sent = conn.send(encode(guard, caller));
    match timeout_at(guard.req.deadline.into(), sent).await {
        Ok(Ok(response)) if response.headers().contains_key(OUT_OF_REACH) => HostAnswer::NotServed,
        Ok(Ok(response)) => HostAnswer::Head(response, conn),
        Ok(Err(SendError::NotSent(_))) => HostAnswer::NotServed,
        Ok(Err(SendError::Broken(reason))) => HostAnswer::Lost(reason),
        Err(_) => HostAnswer::Lost("deadline".to_owned()),
    }
}

fn encode(guard: &RequestGuard, caller: &CallerRequest) -> Request<Full<Bytes>> {
    let left = guard.req.deadline.saturating_duration_since(Instant::now());
    let mut headers = guard.core.wire.encode_hand_over(&caller.headers, left);
    headers.insert(HANDED_OVER, HeaderValue::from(guard.req.table_version));
    let mut request = Request::new(Full::new(caller.body.clone()));
    *request.method_mut() = caller.method.clone();
    *request.uri_mut() = caller.target.clone();
    *request.headers_mut() = headers;
    request
}

/// Takes the answer of a host: a plain one completely, a stream from its head on.
async fn answer(
    guard: &RequestGuard,
    host: &EntryHostId,
    response: Response<Incoming>,
    conn: Conn,
) -> FinalAnswer {
    let (parts, body) = response.into_parts();
    let elapsed = guard.req.arrived.elapsed();
    let status = parts.status.as_u16();
    guard.core.log.write(&LogEvent::HandedOver { req: &guard.req, host, status, elapsed });
    guard.core.metrics.handed_over();
    if guard.req.route.repeatability.is_stream() && parts.status.is_success() {
        return FinalAnswer::HandedOverStream(parts, body, conn);
    }
    let share = AnswerShare::new(&guard.core.answer_memory);
    match read_body(&guard.core, body, share, guard.req.deadline).await {
        Ok((body, share)) => {
            guard.core.pool.put(conn);
            FinalAnswer::HandedOver(parts, body, share)
        }
        Err(_) => FinalAnswer::Refused(lost(guard)),
    }
}

/// Starts forwarding the stream of another host, which resumes it at other servers where that is allowed.
pub(crate) fn forward(
    guard: RequestGuard,
    mut body: Incoming,
    conn: Conn,
    status: u16,
) -> EventBody {
    let (tx, events) = EventBody::channel();
    tokio::task::spawn_local(async move {
        let is_complete = tokio::select! {
            is_complete = forward_chunks(&mut body, &tx, guard.req.deadline) => is_complete,
            () = tx.closed() => return conn.close(),
        };
        if is_complete {
            guard.core.pool.put(conn);
            guard.finish_answered(status, AttemptOutcome::Whole);
        } else {
            conn.close();
            // Fails only if the caller has already disconnected.
            let _ = tx.send(Err(StreamBroken)).await;
            guard.finish_stream_broken("hand_over_lost");
        }
    });
    events
}

/// Forwards chunks until the stream ends; returns whether it is complete.
async fn forward_chunks(body: &mut Incoming, tx: &ChunkSender, deadline: Instant) -> bool {
    loop {
        let frame = match timeout_at(deadline.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return true,
            Ok(Some(Err(_))) | Err(_) => return false,
        };
        if let Ok(data) = frame.into_data()
            && !matches!(timeout_at(deadline.into(), tx.send(Ok(data))).await, Ok(Ok(())))
        {
            return false;
        }
    }
}

/// Refusal of a request that another host may have run.
fn lost(guard: &RequestGuard) -> Refusal {
    let is_late = Instant::now() >= guard.req.deadline;
    let kind = if is_late { ErrorKind::DeadlineExceeded } else { ErrorKind::BackendFailed };
    let message = "the answer of another entry host was lost".to_owned();
    Refusal { kind, ran: Ran::Unknown, message, retry_after: None }
}
