//! Simulated callers: what they send, and when.

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Priority;
use foxtailhoist_model::SessionId;
use foxtailhoist_model::TaskClass;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::Span;

/// Requests of one kind, sent at a fixed interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub name: String,
    /// Time of the first request.
    pub from: Span,
    /// Interval between two requests.
    #[serde(default)]
    pub every: Span,
    #[serde(default = "one")]
    pub count: u32,
    pub workspace: WorkspaceId,
    #[serde(default)]
    pub call: Call,
    /// Host to send to; ready hosts in turn when absent.
    #[serde(default)]
    pub to: Option<EntryHostId>,
    /// Number of distinct callers, which send in turn.
    #[serde(default = "one")]
    pub callers: u32,
    #[serde(default = "default_deadline")]
    pub deadline: Span,
    #[serde(default)]
    pub priority: Priority,
    /// Content, the same for all requests so that resends are recognized by it; distinct for each request when absent.
    #[serde(default)]
    pub content: Option<String>,
    /// Idempotency key; `{n}` stands for the number of the request.
    #[serde(default)]
    pub key: Option<String>,
    /// Maximum resends of a request that did not run or whose outcome is unknown.
    #[serde(default)]
    pub resend: u32,
    /// Time after which the caller disconnects.
    #[serde(default)]
    pub leaves_after: Option<Span>,
}

/// Target of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Call {
    Chat {
        class: TaskClass,
        #[serde(default)]
        streamed: bool,
        /// Session prefix; all requests of a caller share one session.
        #[serde(default)]
        session: Option<SessionId>,
        /// Whether callers send the sealed token of their last answer instead of the bare session id.
        #[serde(default)]
        token: bool,
        #[serde(default)]
        model: Option<String>,
    },
    /// A non-idempotent call of the plain service.
    Renewal,
}

/// A request scheduled to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlannedRequest {
    /// Index of the traffic.
    pub traffic: usize,
    /// Number of the request within it.
    pub number: u32,
    /// Number of the resend; 0 for the original.
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
