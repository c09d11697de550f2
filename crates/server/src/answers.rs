//! Writes answers and refusals as HTTP responses.

use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::prelude::Response;
use serde::Serialize;

/// JSON body of a refusal, and payload of an `error` event in a stream.
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

/// Origin of an answer, sent in its headers.
pub struct Origin<'a> {
    pub request: RequestId,
    pub model_version: Option<&'a ModelVersion>,
    pub revision: u64,
    pub session_token: Option<String>,
    pub session_moved: bool,
}

impl<'a> ErrorBody<'a> {
    #[must_use]
    pub fn new(refusal: &'a Refusal, request: Option<RequestId>) -> ErrorBody<'a> {
        let retry_after_ms =
            refusal.retry_after.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
        let detail = ErrorDetail {
            kind: refusal.kind.name(),
            ran: refusal.ran.name(),
            message: &refusal.message,
            request: request.map(format_request_id),
            retry_after_ms,
        };
        ErrorBody { error: detail }
    }

    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|_| "{}".to_owned())
    }
}

/// Formats a request id as 32 hex digits.
#[must_use]
pub fn format_request_id(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Writes a refusal.
pub fn refuse(res: &mut Response, refusal: &Refusal, request: Option<RequestId>) {
    res.status_code(status_code(refusal.kind.response().status));
    set_header(res, "x-error-kind", refusal.kind.name());
    set_header(res, "x-ran", refusal.ran.name());
    if let Some(request) = request {
        set_header(res, "x-request-id", &format_request_id(request));
    }
    if let Some(time) = refusal.retry_after {
        let seconds = time.as_millis().div_ceil(1000).max(1);
        set_header(res, "retry-after", &seconds.to_string());
    }
    set_header(res, "content-type", "application/json");
    let _ = res.write_body(ErrorBody::new(refusal, request).to_json());
}

/// Sets the headers that describe the origin of an answer.
pub fn set_origin_headers(res: &mut Response, origin: &Origin<'_>) {
    set_header(res, "x-request-id", &format_request_id(origin.request));
    set_header(res, "x-revision", &origin.revision.to_string());
    set_header(res, "x-ran", Ran::Ran.name());
    if let Some(model_version) = origin.model_version {
        set_header(res, "x-model", &model_version.model);
        set_header(res, "x-version", &model_version.version);
    }
    if let Some(token) = &origin.session_token {
        set_header(res, "x-session-token", token);
    }
    if origin.session_moved {
        set_header(res, "x-session-moved", "1");
    }
}

/// Writes the recorded outcome of an earlier run of the same request.
pub fn replay(res: &mut Response, outcome: ClaimOutcome, request: RequestId) {
    set_header(res, "x-request-id", &format_request_id(request));
    set_header(res, "x-replayed", "1");
    match outcome {
        ClaimOutcome::Ran { status: code, body } => {
            res.status_code(status_code(code));
            set_header(res, "x-ran", Ran::Ran.name());
            set_header(res, "content-type", "application/json");
            let _ = res.write_body(body);
        }
        ClaimOutcome::NotRun => {
            res.status_code(StatusCode::CONFLICT);
            set_header(res, "x-ran", Ran::NotRun.name());
        }
    }
}

/// Sets a header; a value that is not valid in HTTP is omitted.
pub fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}

/// Converts a status code; an invalid one is the sender's error and becomes 502.
#[must_use]
pub fn status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}
