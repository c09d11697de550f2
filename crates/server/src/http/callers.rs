//! Handlers for chat completions and plain service calls.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Idempotency;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::SessionPin;
use foxtailhoist_model::Target;
use foxtailhoist_model::stable_hash;
use salvo::handler;
use salvo::http::StatusCode;
use salvo::prelude::Request;
use salvo::prelude::Response;

use crate::answers;
use crate::answers::Origin;
use crate::chat::ChatRequest;
use crate::driver::Driver;
use crate::http;
use crate::http::head::RequestHead;
use crate::http::stream;
use crate::registry::AnswerHead;
use crate::registry::CallerHandle;
use crate::registry::RequestContent;
use crate::registry::RequestOutcome;

/// `POST /v1/chat/completions`.
pub struct Chat {
    pub driver: Arc<Driver>,
}

/// Any method on `/v1/services/{service}/{path}`.
pub struct ServiceCall {
    pub driver: Arc<Driver>,
}

/// Reports the caller's disconnection when dropped, which cancels a request in progress.
pub struct CallerGuard {
    driver: Arc<Driver>,
    request: RequestId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.driver.caller_disconnected(self.request);
    }
}

#[handler]
impl Chat {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let driver = &self.driver;
        let head = match RequestHead::read(driver, req) {
            Ok(head) => head,
            Err(refusal) => return refuse_early(driver, res, None, &refusal),
        };
        let (request, content) = match chat_request(driver, &head, req).await {
            Ok(parts) => parts,
            Err(refusal) => return refuse_early(driver, res, Some(&head.workspace), &refusal),
        };
        answer(driver, request, content, res).await;
    }
}

#[handler]
impl ServiceCall {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let driver = &self.driver;
        let head = match RequestHead::read(driver, req) {
            Ok(head) => head,
            Err(refusal) => return refuse_early(driver, res, None, &refusal),
        };
        let (request, content) = match service_request(driver, &head, req).await {
            Ok(parts) => parts,
            Err(refusal) => return refuse_early(driver, res, Some(&head.workspace), &refusal),
        };
        answer(driver, request, content, res).await;
    }
}

/// Refuses a request before it reaches the host.
fn refuse_early(driver: &Driver, res: &mut Response, workspace: Option<&str>, refusal: &Refusal) {
    driver.record_early_refusal(workspace, refusal);
    answers::refuse(res, refusal, None);
}

async fn chat_request(
    driver: &Arc<Driver>,
    head: &RequestHead,
    req: &mut Request,
) -> Result<(foxtailhoist_model::Request, RequestContent), Refusal> {
    let body = http::read_body(req, driver.limits()).await?;
    let chat = ChatRequest::parse(&body)?;
    let session = session_pin(driver, head)?;
    let content = RequestContent {
        workspace: head.workspace.clone(),
        session: session.as_ref().map(|pin| pin.session.clone()),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        content_type: "application/json".to_owned(),
        streamed: chat.streamed,
        idempotency_key: head.idempotency_key.clone(),
        body: body.clone(),
    };
    let caller = match &chat.user {
        Some(user) => stable_hash(0, &[head.workspace.as_bytes(), user.as_bytes()]),
        None => head.key_hash,
    };
    let target = Target::Chat {
        class: head.class.clone(),
        model: chat.model,
        session,
        prompt_tokens: chat.prompt_tokens,
        max_output_tokens: chat.max_output_tokens,
        prefix: chat.prefix,
        prefix_tokens: chat.prefix_tokens,
        streamed: chat.streamed,
    };
    Ok((request(driver, head, caller, target, Idempotency::Idempotent, &body), content))
}

async fn service_request(
    driver: &Arc<Driver>,
    head: &RequestHead,
    req: &mut Request,
) -> Result<(foxtailhoist_model::Request, RequestContent), Refusal> {
    let service: String = req.param("service").unwrap_or_default();
    let path: String = req.param("path").unwrap_or_default();
    let query = req.uri().query().map_or_else(String::new, |query| format!("?{query}"));
    let body = http::read_body(req, driver.limits()).await?;
    let idempotency = driver.idempotency(&service, &path, head.idempotency_key.as_deref())?;
    let content = RequestContent {
        workspace: head.workspace.clone(),
        session: None,
        method: req.method().as_str().to_owned(),
        path: format!("/{path}{query}"),
        content_type: http::header(req, "content-type").unwrap_or("application/json").to_owned(),
        streamed: false,
        idempotency_key: head.idempotency_key.clone(),
        body: body.clone(),
    };
    let caller = head.key_hash;
    Ok((request(driver, head, caller, Target::Service { service }, idempotency, &body), content))
}

fn request(
    driver: &Driver,
    head: &RequestHead,
    caller: u64,
    target: Target,
    idempotency: Idempotency,
    body: &Bytes,
) -> foxtailhoist_model::Request {
    let defaults = driver.request_defaults(&head.workspace);
    foxtailhoist_model::Request {
        id: head.request_id(),
        workspace: head.workspace.clone(),
        caller,
        target,
        priority: head.priority.unwrap_or(defaults.priority),
        idempotency,
        deadline: Instant::now() + head.deadline.unwrap_or(defaults.deadline),
        fingerprint: stable_hash(0, &[head.workspace.as_bytes(), body]),
    }
}

/// Session that the caller names; a session token also pins the version.
fn session_pin(driver: &Driver, head: &RequestHead) -> Result<Option<SessionPin>, Refusal> {
    let Some(token) = &head.session_token else {
        return Ok(head.session.clone().map(|session| SessionPin { session, version: None }));
    };
    let pin = driver.keys().sessions().open(&head.workspace, token);
    pin.map(Some).map_err(|e| Refusal::new(ErrorKind::BadRequest, &format!("x-session-token: {e}")))
}

async fn answer(
    driver: &Arc<Driver>,
    request: foxtailhoist_model::Request,
    content: RequestContent,
    res: &mut Response,
) {
    let id = request.id;
    let streamed = content.streamed;
    let workspace = content.workspace.clone();
    let sealer = SessionTokenSealer {
        driver: Arc::clone(driver),
        workspace: content.workspace.clone(),
        session: content.session.clone(),
    };
    let handle = match driver.open(request, content) {
        Ok(handle) => handle,
        Err(refusal) => {
            driver.record_early_refusal(Some(&workspace), &refusal);
            return answers::refuse(res, &refusal, Some(id));
        }
    };
    let guard = CallerGuard { driver: Arc::clone(driver), request: id };
    if streamed {
        stream::answer(res, handle, guard, &sealer, id).await;
    } else {
        buffered_answer(res, handle, &sealer, id).await;
        drop(guard);
    }
}

/// Buffers an answer and writes it once the request has ended. A complete answer is subject to the same wait as
/// [`Delivery::Released`](crate::registry::Delivery::Released).
async fn buffered_answer(
    res: &mut Response,
    mut handle: CallerHandle,
    sealer: &SessionTokenSealer,
    id: RequestId,
) {
    let mut body = Vec::new();
    while let Some(chunk) = handle.chunks.recv().await {
        body.extend_from_slice(&chunk);
    }
    match handle.outcome.await {
        Ok(RequestOutcome::Complete(completion)) => {
            let head = handle.head.get();
            res.status_code(head.map_or(StatusCode::OK, |head| answers::status_code(head.status)));
            answers::set_origin_headers(res, &sealer.origin(id, head, completion.session_moved));
            answers::set_header(
                res,
                "content-type",
                head.map_or("application/json", |head| &head.content_type),
            );
            let _ = res.write_body(body);
        }
        Ok(RequestOutcome::Replay(outcome)) => answers::replay(res, outcome, id),
        Ok(RequestOutcome::Refused(refusal)) => answers::refuse(res, &refusal, Some(id)),
        Err(_) => answers::refuse(res, &lost_request(), Some(id)),
    }
}

/// Refusal for a request that the driver dropped without an outcome.
pub fn lost_request() -> Refusal {
    Refusal::new(
        ErrorKind::Internal,
        "the entry host lost the request; send it again with the same idempotency key",
    )
}

/// Issues session tokens for the answer to one request.
pub struct SessionTokenSealer {
    driver: Arc<Driver>,
    workspace: String,
    session: Option<String>,
}

impl SessionTokenSealer {
    /// Origin of an answer, with a session token if the request names a session.
    pub fn origin<'a>(
        &self,
        request: RequestId,
        head: Option<&'a AnswerHead>,
        session_moved: bool,
    ) -> Origin<'a> {
        let model_version = head.and_then(|head| head.dispatch.model_version.as_ref());
        let session_token = match (&self.session, model_version) {
            (Some(session), Some(model_version)) => {
                Some(self.driver.keys().sessions().seal(&self.workspace, session, model_version))
            }
            _ => None,
        };
        let revision = head.map_or(0, |head| head.dispatch.revision);
        Origin { request, model_version, revision, session_token, session_moved }
    }
}

/// Defaults for a workspace's requests that set no priority or deadline.
pub struct RequestDefaults {
    pub priority: foxtailhoist_model::Priority,
    pub deadline: Duration,
}
