//! Target of an attempt: a model version on an engine, or a plain service.

use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::ServiceId;

/// Model version or plain service that backend servers offer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Destination {
    Version(ModelVersion),
    Service(ServiceId),
}

impl Destination {
    /// Model version; `None` for a plain service.
    pub(crate) fn model_version(&self) -> Option<&ModelVersion> {
        match self {
            Destination::Version(model_version) => Some(model_version),
            Destination::Service(_) => None,
        }
    }
}
