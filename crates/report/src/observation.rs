//! What an entry host reports about each request.

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

/// Money in billionths: whole numbers add without error.
pub type NanoMoney = u64;

/// Nano money in one unit of money.
pub const NANO_PER_UNIT: f64 = 1e9;
/// Tokens that a price is for.
const TOKENS_PER_PRICE: f64 = 1e6;

/// By what a request is counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Labels {
    pub workspace: WorkspaceId,
    /// `None` for a plain service, or where none was chosen.
    pub model_version: Option<ModelVersion>,
    /// `None` where none was chosen.
    pub server: Option<BackendServerId>,
    /// Of the backend server; of the entry host where no server was chosen.
    pub data_centre: DataCentreId,
    pub preset: PresetId,
    pub revision: Revision,
}

/// Something to be counted.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    Completed(CompletedRequest),
    Refused(RefusedRequest),
    /// The rating service's verdict on an answer.
    Rated {
        labels: Labels,
        acceptable: bool,
    },
    /// Distinct callers that this host has exposed to a version in all.
    Exposed {
        model_version: ModelVersion,
        callers: u64,
    },
    /// A version was vetoed; callers exposed until now were exposed to a bad version.
    Vetoed {
        model_version: ModelVersion,
    },
}

/// A request that was answered whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
    pub labels: Labels,
    /// Time to the first token of a streamed answer.
    pub first_token: Option<Duration>,
    pub total: Duration,
    /// Whether the whole answer came before its deadline.
    pub in_time: bool,
    pub cost: NanoMoney,
    /// What the best allowed model would have cost.
    pub best_cost: NanoMoney,
}

/// A request that was refused, before or after it was sent to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRequest {
    pub labels: Labels,
    pub kind: ErrorKind,
    pub ran: Ran,
}

/// Price of an answer, from prices per million tokens.
#[must_use]
pub fn cost_of(usage: Usage, price_in: f64, price_out: f64) -> NanoMoney {
    let nano = |tokens: u32, price: f64| {
        (f64::from(tokens) * price * NANO_PER_UNIT / TOKENS_PER_PRICE).round() as NanoMoney
    };
    nano(usage.prompt_tokens, price_in) + nano(usage.output_tokens, price_out)
}

/// Whether a refusal is the caller's own doing, so that it burns no budget.
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
