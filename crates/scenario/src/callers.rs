//! Callers in the world: what they send, and when.

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Priority;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::TaskClass;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::Span;

/// Requests of one kind, sent at intervals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub name: String,
    pub from: Span,
    #[serde(default)]
    pub every: Span,
    #[serde(default = "one")]
    pub count: u32,
    pub workspace: WorkspaceId,
    /// What is called.
    #[serde(default)]
    pub call: Call,
    /// Host that the balancer picks; any ready one in turn when absent.
    #[serde(default)]
    pub to: Option<EntryHostId>,
    /// Distinct callers, in turn.
    #[serde(default = "one")]
    pub callers: u32,
    #[serde(default = "default_deadline")]
    pub deadline: Span,
    #[serde(default)]
    pub priority: Priority,
    /// Content; the same for all, so that resends are known by it.
    #[serde(default)]
    pub content: Option<String>,
    /// Idempotency key; `{n}` stands for the number of the request.
    #[serde(default)]
    pub key: Option<String>,
    /// Times that a caller sends a request again which did not run or whose outcome it does not know.
    #[serde(default)]
    pub resend: u32,
    /// The caller leaves after this time.
    #[serde(default)]
    pub leaves_after: Option<Span>,
}

/// What a request calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Call {
    Chat {
        class: TaskClass,
        #[serde(default)]
        streamed: bool,
        /// One session for all requests of a caller.
        #[serde(default)]
        session: Option<SessionId>,
        /// Callers send the sealed token of their last answer, not the bare session id.
        #[serde(default)]
        token: bool,
        #[serde(default)]
        model: Option<String>,
    },
    /// A non-idempotent call of the plain service.
    Renewal,
}

/// One request about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// Index of the traffic.
    pub traffic: usize,
    /// Number of the request within it.
    pub number: u32,
    /// 0 for the first sending.
    pub resend: u32,
}

impl Default for Call {
    fn default() -> Call {
        Call::Chat {
            class: "question".to_owned(),
            streamed: false,
            session: None,
            token: false,
            model: None,
        }
    }
}

fn one() -> u32 {
    1
}

fn default_deadline() -> Span {
    Span(std::time::Duration::from_secs(20))
}
