//! Observations that an entry host records about its requests.

use std::time::Duration;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Usage;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// Money in billionths of a unit: integers add exactly.
pub type NanoMoney = u64;

/// Billionths in one unit of money.
pub const NANO_PER_UNIT: f64 = 1e9;
/// Number of tokens that a price is quoted for.
const TOKENS_PER_PRICE: f64 = 1e6;

/// Labels by which a request is counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Labels {
    pub workspace: WorkspaceId,
    /// `None` for a plain service, or if none was selected.
    pub model_version: Option<ModelVersion>,
    /// `None` if none was selected.
    pub server: Option<BackendServerId>,
    /// Data centre of the backend server, or of the entry host if no server was selected.
    pub data_centre: DataCentreId,
    pub preset: PresetId,
    pub revision: Revision,
}

/// An event to be counted.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    Completed(CompletedRequest),
    Refused(RefusedRequest),
    /// The rating service's verdict on an answer.
    Rated {
        labels: Labels,
        acceptable: bool,
    },
    /// Total number of distinct callers that this host has exposed to a version.
    Exposed {
        model_version: ModelVersion,
        callers: u64,
    },
    /// A version was vetoed: all callers counted so far were exposed to a bad version.
    Vetoed {
        model_version: ModelVersion,
    },
}

/// A request that was answered completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
    pub labels: Labels,
    /// Time to the first token of a streamed answer.
    pub first_token: Option<Duration>,
    pub total: Duration,
    /// Whether the complete answer arrived before its deadline.
    pub in_time: bool,
    pub cost: NanoMoney,
    /// Cost if the best allowed model had answered.
    pub best_cost: NanoMoney,
}

/// A request that was refused, before or after it was sent to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRequest {
    pub labels: Labels,
    pub kind: ErrorKind,
    pub ran: Ran,
}

/// Cost of an answer, from prices per million tokens.
#[must_use]
pub fn cost_of(usage: Usage, price_in: f64, price_out: f64) -> NanoMoney {
    let nano = |tokens: u32, price: f64| {
        (f64::from(tokens) * price * NANO_PER_UNIT / TOKENS_PER_PRICE).round() as NanoMoney
    };
    nano(usage.prompt_tokens, price_in) + nano(usage.output_tokens, price_out)
}

/// Whether a refusal is caused by the caller, so that it burns no budget.
#[must_use]
pub fn is_callers_fault(kind: ErrorKind) -> bool {
    match kind {
        ErrorKind::BadRequest
        | ErrorKind::BodyTooLarge
        | ErrorKind::SlowSender
        | ErrorKind::Unauthenticated
        | ErrorKind::Forbidden
        | ErrorKind::NotFound
        | ErrorKind::KeyReused
        | ErrorKind::CallerGone
        | ErrorKind::Conflict
        | ErrorKind::Invalid => true,
        ErrorKind::NoVersionAllowed
        | ErrorKind::NoServer
        | ErrorKind::Overloaded
        | ErrorKind::OverFairShare
        | ErrorKind::DeadlineTooShort
        | ErrorKind::DeadlineExceeded
        | ErrorKind::Stopping
        | ErrorKind::ConfigurationStale
        | ErrorKind::JournalUnavailable
        | ErrorKind::Undecided
        | ErrorKind::Quarantined
        | ErrorKind::BackendFailed
        | ErrorKind::StreamBroken
        | ErrorKind::OutcomeUnknown
        | ErrorKind::StoreUnavailable
        | ErrorKind::Internal => false,
    }
}
