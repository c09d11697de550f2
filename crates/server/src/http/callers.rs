//! Chat completions and calls of plain services.

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
use crate::http;
use crate::http::head::Head;
use crate::http::stream;
use crate::registry::AnswerHead;
use crate::registry::CallerEnd;
use crate::registry::Content;
use crate::registry::Verdict;
use crate::shell::Shell;

/// `POST /v1/chat/completions`
pub struct Chat {
    pub shell: Arc<Shell>,
}

/// Any method on `/v1/services/{service}/{path}`
pub struct Call {
    pub shell: Arc<Shell>,
}

/// Cancels a request when its caller's connection is dropped.
pub struct CallerGuard {
    shell: Arc<Shell>,
    request: RequestId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.shell.caller_gone(self.request);
    }
}

#[handler]
impl Chat {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let shell = &self.shell;
        let head = match Head::read(shell, req) {
            Ok(head) => head,
            Err(refusal) => return refuse_early(shell, res, None, &refusal),
        };
        let (request, content) = match chat_request(shell, &head, req).await {
            Ok(parts) => parts,
            Err(refusal) => return refuse_early(shell, res, Some(&head.workspace), &refusal),
        };
        answer(shell, request, content, res).await;
    }
}

#[handler]
impl Call {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let shell = &self.shell;
        let head = match Head::read(shell, req) {
            Ok(head) => head,
            Err(refusal) => return refuse_early(shell, res, None, &refusal),
        };
        let (request, content) = match service_request(shell, &head, req).await {
            Ok(parts) => parts,
            Err(refusal) => return refuse_early(shell, res, Some(&head.workspace), &refusal),
        };
        answer(shell, request, content, res).await;
    }
}

/// Refuses a request of which nothing was dispatched.
fn refuse_early(shell: &Shell, res: &mut Response, workspace: Option<&str>, refusal: &Refusal) {
    shell.refused_early(workspace, refusal);
    answers::refuse(res, refusal, None);
}

async fn chat_request(
    shell: &Arc<Shell>,
    head: &Head,
    req: &mut Request,
) -> Result<(foxtailhoist_model::Request, Content), Refusal> {
    let body = http::body(req, shell.limits()).await?;
    let chat = ChatRequest::parse(&body)?;
    let session = session_pin(shell, head)?;
    let content = Content {
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
    Ok((request(shell, head, caller, target, Idempotency::Idempotent, &body), content))
}

async fn service_request(
    shell: &Arc<Shell>,
    head: &Head,
    req: &mut Request,
) -> Result<(foxtailhoist_model::Request, Content), Refusal> {
    let service: String = req.param("service").unwrap_or_default();
    let path: String = req.param("path").unwrap_or_default();
    let query = req.uri().query().map_or_else(String::new, |query| format!("?{query}"));
    let body = http::body(req, shell.limits()).await?;
    let idempotency = shell.idempotency(&service, &path, head.idempotency_key.as_deref())?;
    let content = Content {
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
    Ok((request(shell, head, caller, Target::Service { service }, idempotency, &body), content))
}

fn request(
    shell: &Shell,
    head: &Head,
    caller: u64,
    target: Target,
    idempotency: Idempotency,
    body: &Bytes,
) -> foxtailhoist_model::Request {
    let defaults = shell.request_defaults(&head.workspace);
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

/// The session that the caller names; a sealed token names the version too.
fn session_pin(shell: &Shell, head: &Head) -> Result<Option<SessionPin>, Refusal> {
    let Some(token) = &head.session_token else {
        return Ok(head.session.clone().map(|session| SessionPin { session, version: None }));
    };
    let pin = shell.keys().sessions().open(&head.workspace, token);
    pin.map(Some).map_err(|e| Refusal::new(ErrorKind::BadRequest, &format!("x-session-token: {e}")))
}

async fn answer(
    shell: &Arc<Shell>,
    request: foxtailhoist_model::Request,
    content: Content,
    res: &mut Response,
) {
    let id = request.id;
    let streamed = content.streamed;
    let workspace = content.workspace.clone();
    let sealer = Sealer {
        shell: Arc::clone(shell),
        workspace: content.workspace.clone(),
        session: content.session.clone(),
    };
    let end = match shell.open(request, content) {
        Ok(end) => end,
        Err(refusal) => {
            shell.refused_early(Some(&workspace), &refusal);
            return answers::refuse(res, &refusal, Some(id));
        }
    };
    let guard = CallerGuard { shell: Arc::clone(shell), request: id };
    if streamed {
        stream::answer(res, end, guard, &sealer, id).await;
    } else {
        whole_answer(res, end, &sealer, id).await;
        drop(guard);
    }
}

/// Collects an answer and writes it once its bill is safe.
async fn whole_answer(res: &mut Response, mut end: CallerEnd, sealer: &Sealer, id: RequestId) {
    let mut body = Vec::new();
    while let Some(piece) = end.pieces.recv().await {
        body.extend_from_slice(&piece);
    }
    match end.verdict.await {
        Ok(Verdict::Complete(completion)) => {
            let head = end.head.get();
            res.status_code(head.map_or(StatusCode::OK, |head| answers::status(head.status)));
            answers::describe(res, &sealer.origin(id, head, completion.session_moved));
            answers::set(
                res,
                "content-type",
                head.map_or("application/json", |head| &head.content_type),
            );
            let _ = res.write_body(body);
        }
        Ok(Verdict::Replay(outcome)) => answers::replay(res, outcome, id),
        Ok(Verdict::Refused(refusal)) => answers::refuse(res, &refusal, Some(id)),
        Err(_) => answers::refuse(res, &lost_verdict(), Some(id)),
    }
}

/// Refusal for a request whose shell is gone.
pub fn lost_verdict() -> Refusal {
    Refusal::new(
        ErrorKind::Internal,
        "the entry host lost the request; send it again with the same idempotency key",
    )
}

/// Seals session tokens for one request's answers.
pub struct Sealer {
    shell: Arc<Shell>,
    workspace: String,
    session: Option<String>,
}

impl Sealer {
    /// Origin of an answer, with a token for its session.
    pub fn origin<'a>(
        &self,
        request: RequestId,
        head: Option<&'a AnswerHead>,
        session_moved: bool,
    ) -> Origin<'a> {
        let model_version = head.and_then(|head| head.dispatch.model_version.as_ref());
        let session_token = match (&self.session, model_version) {
            (Some(session), Some(model_version)) => {
                Some(self.shell.keys().sessions().seal(&self.workspace, session, model_version))
            }
            _ => None,
        };
        let revision = head.map_or(0, |head| head.dispatch.revision);
        Origin { request, model_version, revision, session_token, session_moved }
    }
}

/// What a workspace's requests get when they state nothing.
pub struct RequestDefaults {
    pub priority: foxtailhoist_model::Priority,
    pub deadline: Duration,
}
