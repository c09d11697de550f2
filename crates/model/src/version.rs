//! Model versions and the stages of their lifecycle.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::EntryHostId;
use crate::ModelId;
use crate::VersionId;

/// A model and one of its versions, written `model@version`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ModelVersion {
    pub model: ModelId,
    pub version: VersionId,
}

/// Error for a text that is not of the form `model@version`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{text}' is not of the form model@version")]
pub struct ParseModelVersionError {
    text: String,
}

/// Stage in the lifecycle of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Stage {
    /// Known, but gets no work yet.
    Registered,
    /// In roll-out at a step of the preset's policy.
    Canary {
        /// Index into `RolloutPolicy::steps`.
        step: usize,
        /// Largest share of the model's requests that go to this version, 0 to 1.
        share: f64,
        /// Largest number of distinct callers that each entry host may expose; the sum is within the step's limit.
        quotas: BTreeMap<EntryHostId, u32>,
    },
    /// In ordinary use.
    Settled,
    /// Gets no new work; running requests finish.
    Withdrawing,
    /// Gets no work at all.
    Withdrawn,
}

/// State of a version in the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionRecord {
    pub stage: Stage,
    /// Set when the controller records a veto in the configuration; only an operator clears it.
    #[serde(default)]
    pub vetoed: bool,
}

impl ModelVersion {
    #[must_use]
    pub fn new(model: &str, version: &str) -> ModelVersion {
        ModelVersion { model: model.to_owned(), version: version.to_owned() }
    }
}

impl fmt::Display for ModelVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl FromStr for ModelVersion {
    type Err = ParseModelVersionError;

    fn from_str(text: &str) -> Result<ModelVersion, ParseModelVersionError> {
        let error = || ParseModelVersionError { text: text.to_owned() };
        let (model, version) = text.split_once('@').ok_or_else(error)?;
        if model.is_empty() || version.is_empty() || version.contains('@') {
            return Err(error());
        }
        Ok(ModelVersion::new(model, version))
    }
}

impl From<ModelVersion> for String {
    fn from(model_version: ModelVersion) -> String {
        model_version.to_string()
    }
}

impl TryFrom<String> for ModelVersion {
    type Error = ParseModelVersionError;

    fn try_from(text: String) -> Result<ModelVersion, ParseModelVersionError> {
        text.parse()
    }
}

impl Stage {
    /// Whether new work may go to a version at this stage.
    #[must_use]
    pub fn takes_new_work(&self) -> bool {
        match self {
            Stage::Canary { .. } | Stage::Settled => true,
            Stage::Registered | Stage::Withdrawing | Stage::Withdrawn => false,
        }
    }
}
