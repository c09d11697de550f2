//! Sends attempts to backend servers until one answers, or no further one is allowed.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
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
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::conn::CONNECT_TIMEOUT;
use crate::conn::Conn;
use crate::conn::SendError;
use crate::running::Running;
use crate::running::SIGN_CHECK;

/// Reason of an attempt that was given up after a probe.
pub(crate) const SERVER_LOST: &str = "server cannot be reached any more";
/// Largest body of an answer that is not a stream.
const ANSWER_MAX: usize = 16 * 1024 * 1024;

/// What a caller sent.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    /// Path and query, unchanged.
    pub(crate) target: Uri,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How the search for an answer ended.
pub(crate) enum Found {
    Plain(http::response::Parts, Bytes),
    /// A stream whose head arrived.
    Stream(http::response::Parts, Incoming, Conn),
    Refused(Refusal),
}

/// The head did not come in time.
struct GivenUp;

enum Sent {
    Head(Box<(Response<Incoming>, Conn)>, Duration),
    Failed(AttemptOutcome, String),
}

/// Sends attempts until there is an answer for the caller.
pub(crate) async fn find_answer(running: &mut Running, caller: &CallerRequest) -> Found {
    loop {
        match running.next() {
            Step::Refuse(refusal) => return Found::Refused(refusal),
            Step::WaitUntil(at) => tokio::time::sleep_until(at.into()).await,
            Step::Send(attempt) => {
                if let Some(found) = try_attempt(running, caller, &attempt).await {
                    return found;
                }
            }
        }
    }
}

/// Makes one attempt; `None` means that it failed and is accounted for.
async fn try_attempt(
    running: &mut Running,
    caller: &CallerRequest,
    attempt: &Attempt,
) -> Option<Found> {
    let (response, conn, elapsed) = match send(running, caller, attempt).await {
        Sent::Head(answer, elapsed) => (answer.0, answer.1, elapsed),
        Sent::Failed(outcome, reason) => {
            running.ended(outcome, &reason);
            return None;
        }
    };
    let (parts, body) = response.into_parts();
    let head = running.core.wire.decode_answer(&running.flight.id, &parts);
    let is_continuation = running.flight.answer_started();
    if let HeadVerdict::Drop(outcome) = running.head(&head, elapsed) {
        conn.close();
        running.ended(outcome, parts.status.as_str());
        return None;
    }
    let is_success = parts.status.is_success();
    if running.flight.route.repeatability.is_stream() && is_success {
        return Some(Found::Stream(parts, body, conn));
    }
    if is_continuation {
        // A failure cannot go on a stream that has begun.
        conn.close();
        running.ended(AttemptOutcome::Failed, parts.status.as_str());
        return None;
    }
    match read_body(body, attempt.deadline).await {
        Ok(body) => {
            running.core.pool.keep(conn);
            Some(Found::Plain(parts, body))
        }
        Err(reason) => {
            conn.close();
            running.ended(AttemptOutcome::Broken, &reason);
            None
        }
    }
}

async fn send(running: &mut Running, caller: &CallerRequest, attempt: &Attempt) -> Sent {
    let core = running.core.clone();
    let kept = if attempt.fresh_connection { None } else { core.pool.take(attempt.address) };
    let is_kept = kept.is_some();
    let mut conn = match kept {
        Some(conn) => conn,
        None => match open(attempt).await {
            Ok(conn) => conn,
            Err(reason) => return Sent::Failed(AttemptOutcome::Unreachable, reason),
        },
    };
    running.sent();
    let begun = Instant::now();
    loop {
        let request = encode(running, caller, attempt);
        match wait_for_head(running, &mut conn, request, attempt, begun).await {
            Ok(Ok(response)) => {
                return Sent::Head(Box::new((response, conn)), begun.elapsed());
            }
            Ok(Err(SendError::NotSent(_))) if is_kept => match open(attempt).await {
                Ok(fresh) => conn = fresh,
                Err(reason) => return Sent::Failed(AttemptOutcome::Unreachable, reason),
            },
            Ok(Err(SendError::NotSent(reason))) => {
                return Sent::Failed(AttemptOutcome::Unreachable, reason);
            }
            Ok(Err(SendError::Broken(reason))) => {
                return Sent::Failed(AttemptOutcome::Broken, reason);
            }
            Err(GivenUp) if Instant::now() >= attempt.deadline => {
                return Sent::Failed(AttemptOutcome::Cancelled, "deadline".to_owned());
            }
            Err(GivenUp) if running.is_server_lost() => {
                return Sent::Failed(AttemptOutcome::Silent, SERVER_LOST.to_owned());
            }
            Err(GivenUp) if is_kept => {
                // Kept connections may have gone silent; the server is not to blame then.
                core.pool.retire(attempt.address);
                return Sent::Failed(
                    AttemptOutcome::Broken,
                    "kept connection is silent".to_owned(),
                );
            }
            Err(GivenUp) => {
                return Sent::Failed(AttemptOutcome::Silent, "no head in time".to_owned());
            }
        }
    }
}

/// Waits for the head until the deadline, or until the dispatcher gives the attempt up.
async fn wait_for_head(
    running: &Running,
    conn: &mut Conn,
    request: Request<Full<Bytes>>,
    attempt: &Attempt,
    begun: Instant,
) -> Result<Result<Response<Incoming>, SendError>, GivenUp> {
    let mut answer = std::pin::pin!(conn.send(request));
    // Attempts that may be given up are looked at now and then; the others only wait.
    let expected = begun + attempt.head_timeout;
    let mut due = if attempt.has_retry_left { expected.min(begun + SIGN_CHECK) } else { expected };
    loop {
        tokio::select! {
            answer = answer.as_mut() => return Ok(answer),
            () = sleep_until(due.min(attempt.deadline).into()) => {
                let next = due + SIGN_CHECK;
                due = if due < expected { next.min(expected) } else { next };
                if attempt.has_retry_left {
                    running.probe_silent_server(begun);
                }
            }
            () = running.core.server_lost.notified() => {}
        }
        if Instant::now() >= attempt.deadline || running.is_head_overdue(begun) {
            return Err(GivenUp);
        }
    }
}

async fn open(attempt: &Attempt) -> Result<Conn, String> {
    let left = attempt.deadline.saturating_duration_since(Instant::now());
    let timeout = CONNECT_TIMEOUT.min(left);
    Conn::open(attempt.address, timeout).await.map_err(|e| e.to_string())
}

fn encode(running: &Running, caller: &CallerRequest, attempt: &Attempt) -> Request<Full<Bytes>> {
    let wire = &running.core.wire;
    let headers = wire.encode_attempt(&caller.headers, &running.flight, attempt, Instant::now());
    let mut request = Request::new(Full::new(caller.body.clone()));
    *request.method_mut() = caller.method.clone();
    *request.uri_mut() = caller.target.clone();
    *request.headers_mut() = headers;
    request
}

async fn read_body(body: Incoming, deadline: Instant) -> Result<Bytes, String> {
    let collected = timeout_at(deadline.into(), Limited::new(body, ANSWER_MAX).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("deadline".to_owned()),
    }
}
