//! Reads a request's headers.

use std::time::Duration;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Priority;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::TaskClass;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_model::stable_hash;
use salvo::prelude::Request;

use crate::driver::Driver;
use crate::driver::authenticate;
use crate::http::header;
use crate::keys::bearer_key;

/// Longest accepted header value, such as an idempotency key, session id or task class, in bytes.
const MAX_HEADER_TEXT_BYTES: usize = 256;
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Task class of a request that names none.
const DEFAULT_CLASS: &str = "general";

/// Validated headers of a request.
pub struct RequestHead {
    pub workspace: WorkspaceId,
    /// Identifies the caller within the workspace if the body names no user.
    pub key_hash: u64,
    pub idempotency_key: Option<String>,
    pub session: Option<SessionId>,
    pub session_token: Option<String>,
    pub class: TaskClass,
    pub deadline: Option<Duration>,
    /// `None` selects the workspace's default.
    pub priority: Option<Priority>,
}

impl RequestHead {
    /// Reads and validates the headers.
    ///
    /// # Errors
    ///
    /// Refuses unknown keys and invalid headers.
    pub fn read(driver: &Driver, req: &Request) -> Result<RequestHead, Refusal> {
        let key = header(req, "authorization").and_then(bearer_key);
        let workspace = authenticate(driver, key)?;
        let key_hash = stable_hash(0, &[workspace.as_bytes(), key.unwrap_or_default().as_bytes()]);
        Ok(RequestHead {
            workspace,
            key_hash,
            idempotency_key: text_header(req, "idempotency-key")?,
            session: text_header(req, "x-session")?,
            session_token: text_header(req, "x-session-token")?,
            class: text_header(req, "x-task-class")?.unwrap_or_else(|| DEFAULT_CLASS.to_owned()),
            deadline: deadline(req)?,
            priority: priority(req)?,
        })
    }

    /// Id of the request. It is derived from the idempotency key if there is one, so that a retry is not billed again.
    pub fn request_id(&self) -> RequestId {
        let Some(key) = &self.idempotency_key else {
            return rand::random();
        };
        let half =
            |seed| u128::from(stable_hash(seed, &[self.workspace.as_bytes(), key.as_bytes()]));
        half(1) << 64 | half(2)
    }
}

fn text_header(req: &Request, header_name: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = req.headers().get(header_name) else {
        return Ok(None);
    };
    let text =
        value.to_str().ok().filter(|text| !text.is_empty() && text.len() <= MAX_HEADER_TEXT_BYTES);
    match text {
        Some(text) => Ok(Some(text.to_owned())),
        None => {
            let message = format!(
                "{header_name} must be 1 to {MAX_HEADER_TEXT_BYTES} bytes of printable text"
            );
            Err(Refusal::new(ErrorKind::BadRequest, &message))
        }
    }
}

fn deadline(req: &Request) -> Result<Option<Duration>, Refusal> {
    let Some(text) = text_header(req, "x-deadline-ms")? else {
        return Ok(None);
    };
    let time = text.parse().ok().map(Duration::from_millis);
    match time.filter(|time| !time.is_zero() && *time <= MAX_DEADLINE) {
        Some(time) => Ok(Some(time)),
        None => {
            let message =
                format!("x-deadline-ms must be a number from 1 to {}", MAX_DEADLINE.as_millis());
            Err(Refusal::new(ErrorKind::BadRequest, &message))
        }
    }
}

fn priority(req: &Request) -> Result<Option<Priority>, Refusal> {
    match text_header(req, "x-priority")?.as_deref() {
        None => Ok(None),
        Some("batch") => Ok(Some(Priority::Batch)),
        Some("normal") => Ok(Some(Priority::Normal)),
        Some("urgent") => Ok(Some(Priority::Urgent)),
        Some(_) => {
            Err(Refusal::new(ErrorKind::BadRequest, "x-priority must be batch, normal or urgent"))
        }
    }
}
