//! What a caller's headers say about a request.

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

use crate::http::header;
use crate::keys::bearer;
use crate::shell::Shell;
use crate::shell::authenticate;

/// Longest idempotency key, session id and task class, in bytes.
const NAME_BYTES: usize = 256;
/// Longest deadline that a caller may state.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3600);
/// Task class of a request that states none.
const DEFAULT_CLASS: &str = "general";

/// A caller's headers, read and checked.
pub struct Head {
    pub workspace: WorkspaceId,
    /// Tells this caller from others of the workspace when the body names no user.
    pub key_hash: u64,
    pub idempotency_key: Option<String>,
    pub session: Option<SessionId>,
    pub session_token: Option<String>,
    pub class: TaskClass,
    pub deadline: Option<Duration>,
    /// `None` leaves it to the workspace.
    pub priority: Option<Priority>,
}

impl Head {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// Refuses unknown keys and headers that cannot be read.
    pub fn read(shell: &Shell, req: &Request) -> Result<Head, Refusal> {
        let key = header(req, "authorization").and_then(bearer);
        let workspace = authenticate(shell, key)?;
        let key_hash = stable_hash(0, &[workspace.as_bytes(), key.unwrap_or_default().as_bytes()]);
        Ok(Head {
            workspace,
            key_hash,
            idempotency_key: name(req, "idempotency-key")?,
            session: name(req, "x-session")?,
            session_token: name(req, "x-session-token")?,
            class: name(req, "x-task-class")?.unwrap_or_else(|| DEFAULT_CLASS.to_owned()),
            deadline: deadline(req)?,
            priority: priority(req)?,
        })
    }

    /// Id of the request: the same for the same idempotency key, so that a repeat is not billed again.
    pub fn request_id(&self) -> RequestId {
        let Some(key) = &self.idempotency_key else {
            return rand::random();
        };
        let half =
            |seed| u128::from(stable_hash(seed, &[self.workspace.as_bytes(), key.as_bytes()]));
        half(1) << 64 | half(2)
    }
}

fn name(req: &Request, header_name: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = req.headers().get(header_name) else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|text| !text.is_empty() && text.len() <= NAME_BYTES);
    match text {
        Some(text) => Ok(Some(text.to_owned())),
        None => {
            let message =
                format!("{header_name} must be 1 to {NAME_BYTES} bytes of printable text");
            Err(Refusal::new(ErrorKind::BadRequest, &message))
        }
    }
}

fn deadline(req: &Request) -> Result<Option<Duration>, Refusal> {
    let Some(text) = name(req, "x-deadline-ms")? else {
        return Ok(None);
    };
    let time = text.parse().ok().map(Duration::from_millis);
    match time.filter(|time| !time.is_zero() && *time <= LONGEST_DEADLINE) {
        Some(time) => Ok(Some(time)),
        None => {
            let message = format!(
                "x-deadline-ms must be a number from 1 to {}",
                LONGEST_DEADLINE.as_millis()
            );
            Err(Refusal::new(ErrorKind::BadRequest, &message))
        }
    }
}

fn priority(req: &Request) -> Result<Option<Priority>, Refusal> {
    match name(req, "x-priority")?.as_deref() {
        None => Ok(None),
        Some("batch") => Ok(Some(Priority::Batch)),
        Some("normal") => Ok(Some(Priority::Normal)),
        Some("urgent") => Ok(Some(Priority::Urgent)),
        Some(_) => {
            Err(Refusal::new(ErrorKind::BadRequest, "x-priority must be batch, normal or urgent"))
        }
    }
}
