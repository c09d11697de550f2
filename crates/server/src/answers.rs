//! Writes answers and refusals as HTTP.

use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::prelude::Response;
use serde::Serialize;

/// Body of a refusal; also the payload of an `error` event on a stream.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Clone, Debug, Serialize)]
struct ErrorDetail<'a> {
    kind: &'static str,
    ran: &'static str,
    message: &'a str,
    request: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// What the headers of an answer say about its origin.
pub struct Origin<'a> {
    pub request: RequestId,
    pub model_version: Option<&'a ModelVersion>,
    pub revision: u64,
    pub session_token: Option<String>,
    pub session_moved: bool,
}

impl<'a> ErrorBody<'a> {
    #[must_use]
    pub fn of(refusal: &'a Refusal, request: Option<RequestId>) -> ErrorBody<'a> {
        let retry_after_ms =
            refusal.retry_after.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
        let detail = ErrorDetail {
            kind: refusal.kind.name(),
            ran: refusal.ran.name(),
            message: &refusal.message,
            request: request.map(request_text),
            retry_after_ms,
        };
        ErrorBody { error: detail }
    }

    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|_| "{}".to_owned())
    }
}

/// A request id as it is written for people.
#[must_use]
pub fn request_text(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Writes a refusal.
pub fn refuse(res: &mut Response, refusal: &Refusal, request: Option<RequestId>) {
    res.status_code(status(refusal.kind.response().status));
    set(res, "x-error-kind", refusal.kind.name());
    set(res, "x-ran", refusal.ran.name());
    if let Some(request) = request {
        set(res, "x-request-id", &request_text(request));
    }
    if let Some(time) = refusal.retry_after {
        let seconds = time.as_millis().div_ceil(1000).max(1);
        set(res, "retry-after", &seconds.to_string());
    }
    set(res, "content-type", "application/json");
    let _ = res.write_body(ErrorBody::of(refusal, request).to_json());
}

/// Writes the headers that say where an answer comes from.
pub fn describe(res: &mut Response, origin: &Origin<'_>) {
    set(res, "x-request-id", &request_text(origin.request));
    set(res, "x-revision", &origin.revision.to_string());
    set(res, "x-ran", Ran::Ran.name());
    if let Some(model_version) = origin.model_version {
        set(res, "x-model", &model_version.model);
        set(res, "x-version", &model_version.version);
    }
    if let Some(token) = &origin.session_token {
        set(res, "x-session-token", token);
    }
    if origin.session_moved {
        set(res, "x-session-moved", "1");
    }
}

/// Writes the recorded outcome of an earlier run of the same request.
pub fn replay(res: &mut Response, outcome: ClaimOutcome, request: RequestId) {
    set(res, "x-request-id", &request_text(request));
    set(res, "x-replayed", "1");
    match outcome {
        ClaimOutcome::Ran { status: code, body } => {
            res.status_code(status(code));
            set(res, "x-ran", Ran::Ran.name());
            set(res, "content-type", "application/json");
            let _ = res.write_body(body);
        }
        ClaimOutcome::NotRun => {
            res.status_code(StatusCode::CONFLICT);
            set(res, "x-ran", Ran::NotRun.name());
        }
    }
}

/// Sets a header; a value that HTTP cannot carry is left out.
pub fn set(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}

/// Status of a number; anything odd is a fault of whoever sent it.
#[must_use]
pub fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}
