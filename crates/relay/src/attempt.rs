//! Sends attempts to backend servers until one answers or no further attempt is allowed.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use foxtailhoist_model::Refusal;
use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::Attempt;
use foxtailhoist_route::in_flight::AttemptOutcome;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::answer_memory::AnswerShare;
use crate::conn::Conn;
use crate::conn::SERVER_CONNECT_TIMEOUT;
use crate::conn::SendError;
use crate::core::Core;
use crate::hand_over::hand_over;
use crate::memory::Reservation;
use crate::request_guard::LIVENESS_POLL_INTERVAL;
use crate::request_guard::RequestGuard;
use crate::request_guard::RequestSource;
use crate::stream::EventSource;

/// Log reason for an attempt abandoned because a probe could not reach its server.
pub(crate) const SERVER_LOST: &str = "server is no longer reachable";
/// Log reason of an attempt whose server was evacuated while its connection was opened.
const WITHDRAWN: &str = "data centre is evacuated";
/// Maximum body size of an answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A caller's request, as it is sent to each server tried.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    /// Path and query, unchanged.
    pub(crate) target: Uri,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The body's part of the memory.
    pub(crate) _body_share: Option<Reservation>,
}

/// What the caller gets once no further attempt is made.
pub(crate) enum FinalAnswer {
    Plain(http::response::Parts, Bytes, AnswerShare),
    /// A stream whose response head has arrived.
    Stream(http::response::Parts, Incoming, Conn),
    /// Another entry host's complete answer.
    HandedOver(http::response::Parts, Bytes, AnswerShare),
    /// Another entry host's stream whose response head has arrived.
    HandedOverStream(http::response::Parts, Incoming, Conn),
    Refused(Refusal),
}

/// No response head arrived before the deadline or before the dispatcher abandoned the attempt.
struct AttemptAbandoned;

/// Result of sending one attempt.
enum SendOutcome {
    /// The response head and the connection, with the time until the head arrived.
    Head(Box<(Response<Incoming>, Conn)>, Duration),
    /// The outcome and the log reason.
    Failed(AttemptOutcome, String),
}

/// Sends attempts until there is an answer for the caller. While no server can be reached from here, another entry host
/// is asked.
pub(crate) async fn run_attempts(guard: &mut RequestGuard, caller: &CallerRequest) -> FinalAnswer {
    loop {
        if guard.is_cut_off() {
            match guard.source {
                RequestSource::Caller => {
                    if let Some(answer) = hand_over(guard, caller).await {
                        return answer;
                    }
                }
                RequestSource::EntryHost => return FinalAnswer::Refused(guard.refuse_cut_off()),
            }
        }
        match guard.next_step() {
            Step::Refuse(refusal) => {
                if guard.source == RequestSource::Caller
                    && guard.is_out_of_reach(&refusal)
                    && let Some(answer) = hand_over(guard, caller).await
                {
                    return answer;
                }
                return FinalAnswer::Refused(refusal);
            }
            Step::WaitUntil(at) => tokio::time::sleep_until(at.into()).await,
            Step::Send(attempt) => {
                if let Some(answer) = try_attempt(guard, caller, &attempt).await {
                    return answer;
                }
            }
        }
    }
}

/// How a started stream goes on.
pub(crate) enum Continuation {
    /// Another server continues it.
    Other(Incoming, Conn),
    /// No other server took it over from the silent one.
    Same(EventSource),
    /// No attempt is left, for this reason.
    Refused(&'static str),
}

/// Sends attempts until a server continues a started stream. An attempt that was set aside is resumed if no other is
/// allowed in the meantime.
pub(crate) async fn continue_stream(
    guard: &mut RequestGuard,
    caller: &CallerRequest,
) -> Continuation {
    loop {
        let step = guard.next_step();
        if !matches!(step, Step::Send(_))
            && let Some(source) = guard.resume_set_aside()
        {
            return Continuation::Same(source);
        }
        match step {
            Step::Refuse(refusal) => return Continuation::Refused(refusal.kind.name()),
            Step::WaitUntil(at) => tokio::time::sleep_until(at.into()).await,
            Step::Send(attempt) => match try_attempt(guard, caller, &attempt).await {
                Some(FinalAnswer::Stream(_, body, conn)) => {
                    guard.end_set_aside();
                    return Continuation::Other(body, conn);
                }
                Some(
                    FinalAnswer::Plain(..)
                    | FinalAnswer::HandedOver(..)
                    | FinalAnswer::HandedOverStream(..),
                ) => return Continuation::Refused("plain_answer"),
                Some(FinalAnswer::Refused(refusal)) => {
                    return Continuation::Refused(refusal.kind.name());
                }
                None => {}
            },
        }
    }
}

/// Makes one attempt; returns `None` if it failed, after recording the failure.
async fn try_attempt(
    guard: &mut RequestGuard,
    caller: &CallerRequest,
    attempt: &Attempt,
) -> Option<FinalAnswer> {
    let (response, conn, elapsed) = match send(guard, caller, attempt).await {
        SendOutcome::Head(answer, elapsed) => (answer.0, answer.1, elapsed),
        SendOutcome::Failed(outcome, reason) => {
            guard.end_attempt(outcome, &reason);
            return None;
        }
    };
    let (parts, body) = response.into_parts();
    let head = guard.core.wire.decode_answer(&guard.req.id, &parts);
    let is_continuation = guard.req.answer_started();
    if let HeadVerdict::Drop(outcome) = guard.record_head(&head, elapsed) {
        conn.close();
        guard.end_attempt(outcome, parts.status.as_str());
        return None;
    }
    let is_success = parts.status.is_success();
    if guard.req.route.repeatability.is_stream() && is_success {
        return Some(FinalAnswer::Stream(parts, body, conn));
    }
    if is_continuation {
        // A stream already being sent to the caller cannot be continued with a plain response.
        conn.close();
        guard.end_attempt(AttemptOutcome::Failed, parts.status.as_str());
        return None;
    }
    let answer_share = AnswerShare::new(&guard.core.answer_memory);
    match read_body(&guard.core, body, answer_share, attempt.deadline).await {
        Ok((body, share)) => {
            guard.core.pool.put(conn);
            Some(FinalAnswer::Plain(parts, body, share))
        }
        Err((outcome, reason)) => {
            conn.close();
            guard.end_attempt(outcome, &reason);
            None
        }
    }
}

async fn send(guard: &mut RequestGuard, caller: &CallerRequest, attempt: &Attempt) -> SendOutcome {
    let core = guard.core.clone();
    let pooled = if attempt.fresh_connection { None } else { core.pool.take(attempt.address) };
    let mut is_reused = pooled.is_some();
    let mut conn = match pooled {
        Some(conn) => conn,
        None => match connect(guard, attempt).await {
            Ok(conn) => conn,
            Err(reason) => return SendOutcome::Failed(AttemptOutcome::Unreachable, reason),
        },
    };
    if guard.is_withdrawn() {
        core.pool.put(conn);
        return SendOutcome::Failed(AttemptOutcome::Evacuated, WITHDRAWN.to_owned());
    }
    guard.record_sent();
    let started = Instant::now();
    loop {
        let request = encode(guard, caller, attempt);
        match wait_for_head(guard, &mut conn, request, attempt, started).await {
            Ok(Ok(response)) => {
                return SendOutcome::Head(Box::new((response, conn)), started.elapsed());
            }
            Ok(Err(SendError::NotSent(_))) if is_reused => match connect(guard, attempt).await {
                Ok(fresh) if guard.is_withdrawn() => {
                    core.pool.put(fresh);
                    return SendOutcome::Failed(AttemptOutcome::Evacuated, WITHDRAWN.to_owned());
                }
                Ok(fresh) => {
                    conn = fresh;
                    is_reused = false;
                }
                Err(reason) => return SendOutcome::Failed(AttemptOutcome::Unreachable, reason),
            },
            Ok(Err(SendError::NotSent(reason))) => {
                return SendOutcome::Failed(AttemptOutcome::Unreachable, reason);
            }
            Ok(Err(SendError::Broken(reason))) => {
                return SendOutcome::Failed(AttemptOutcome::Broken, reason);
            }
            Err(AttemptAbandoned) if Instant::now() >= attempt.deadline => {
                return SendOutcome::Failed(AttemptOutcome::Cancelled, "deadline".to_owned());
            }
            Err(AttemptAbandoned) if guard.is_server_lost() => {
                return SendOutcome::Failed(AttemptOutcome::Silent, SERVER_LOST.to_owned());
            }
            Err(AttemptAbandoned) if is_reused => {
                // The pooled connections may be dead although the server is alive, so the outcome is not `Silent`.
                core.pool.evict(attempt.address);
                return SendOutcome::Failed(
                    AttemptOutcome::Broken,
                    "no response on a pooled connection".to_owned(),
                );
            }
            Err(AttemptAbandoned) => {
                return SendOutcome::Failed(
                    AttemptOutcome::Silent,
                    "timed out waiting for the response head".to_owned(),
                );
            }
        }
    }
}

/// Waits for the response head until the deadline or until the dispatcher abandons the attempt.
async fn wait_for_head(
    guard: &mut RequestGuard,
    conn: &mut Conn,
    request: Request<Full<Bytes>>,
    attempt: &Attempt,
    started: Instant,
) -> Result<Result<Response<Incoming>, SendError>, AttemptAbandoned> {
    let mut answer = std::pin::pin!(conn.send(request));
    // The server is polled for liveness only if another attempt is allowed.
    let head_due = started + attempt.head_timeout;
    let mut check_at = if attempt.has_retry_left {
        head_due.min(started + LIVENESS_POLL_INTERVAL)
    } else {
        head_due
    };
    loop {
        tokio::select! {
            answer = answer.as_mut() => return Ok(answer),
            () = sleep_until(check_at.min(attempt.deadline).into()) => {
                let next = check_at + LIVENESS_POLL_INTERVAL;
                check_at = if check_at < head_due { next.min(head_due) } else { next };
                if attempt.has_retry_left {
                    guard.probe_silent_server(started);
                }
            }
            () = guard.core.server_lost.notified() => {}
            () = until(guard.set_aside_ends_at()) => guard.end_set_aside(),
        }
        if Instant::now() >= attempt.deadline || guard.is_head_overdue(started) {
            return Err(AttemptAbandoned);
        }
    }
}

async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

async fn connect(guard: &RequestGuard, attempt: &Attempt) -> Result<Conn, String> {
    let left = attempt.deadline.saturating_duration_since(Instant::now());
    let timeout = SERVER_CONNECT_TIMEOUT.min(left);
    let conn = guard.core.connect_server(attempt.address, timeout).await;
    let conn = conn.map_err(|e| e.to_string())?;
    guard.record_connected();
    Ok(conn)
}

fn encode(guard: &RequestGuard, caller: &CallerRequest, attempt: &Attempt) -> Request<Full<Bytes>> {
    let wire = &guard.core.wire;
    let headers = wire.encode_attempt(&caller.headers, &guard.req, attempt, Instant::now());
    let mut request = Request::new(Full::new(caller.body.clone()));
    *request.method_mut() = caller.method.clone();
    *request.uri_mut() = caller.target.clone();
    *request.headers_mut() = headers;
    request
}

/// Reads a complete body and returns it with its part of the memory; fails with the attempt's outcome and the log reason.
pub(crate) async fn read_body(
    core: &Core,
    mut body: Incoming,
    mut answer_share: AnswerShare,
    deadline: Instant,
) -> Result<(Bytes, AnswerShare), (AttemptOutcome, String)> {
    // Collected frames would share read buffers many times their size.
    let mut buf = BytesMut::new();
    loop {
        let frame = match timeout_at(deadline.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => return Err((AttemptOutcome::Broken, e.to_string())),
            Ok(None) => return Ok((buf.freeze(), answer_share)),
            Err(_) => return Err((AttemptOutcome::Broken, "deadline".to_owned())),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = buf.len() + data.len();
        if size > MAX_ANSWER_BYTES {
            return Err((AttemptOutcome::Garbled, "answer too large".to_owned()));
        }
        core.resize_answer(&mut answer_share, size)
            .map_err(|e| (AttemptOutcome::Garbled, e.to_string()))?;
        buf.extend_from_slice(&data);
    }
}
