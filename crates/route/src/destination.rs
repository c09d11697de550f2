//! What an attempt is for: a model version on an engine, or a plain service.

use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::ServiceId;

/// Kind of work that a backend server offers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Destination {
    Version(ModelVersion),
    Service(ServiceId),
}

impl Destination {
    /// Model version, `None` for a plain service.
    pub(crate) fn model_version(&self) -> Option<&ModelVersion> {
        match self {
            Destination::Version(model_version) => Some(model_version),
            Destination::Service(_) => None,
        }
    }
}
