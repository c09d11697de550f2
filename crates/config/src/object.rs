//! Objects that store the configuration in the object API, and their keys.
//!
//! A body is the JSON of a configuration, written once under the SHA-256 of its bytes. When it is read, its own
//! revision and preset are replaced by those of [`Active`], so a switch of preset needs no new body.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Digest as _;
use sha2::Sha256;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::FencingNumber;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::OperatorId;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Revision;

/// Key of the object that names the configuration in force.
pub const ACTIVE_KEY: &str = "config/active";

/// Size limit of a body; the object API stores values up to a megabyte.
pub const BODY_LIMIT_BYTES: usize = 900_000;

/// SHA-256 of a body's bytes, in lower-case hex.
pub type Digest = String;
/// Random identifier of one attempt to change the configuration.
pub type ChangeId = String;
/// Random identifier of a proposal.
pub type ProposalId = String;

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Active {
    pub revision: Revision,
    pub preset: PresetId,
    /// Digest of the body.
    pub digest: Digest,
    /// Highest fencing number of a roll-out controller that changed a stage.
    pub controller_fencing: FencingNumber,
    /// The change that created this revision.
    pub change: AuditRecord,
    /// Last change by an operator; equals `change` unless a roll-out controller has changed a stage since.
    pub operator_change: AuditRecord,
}

/// One applied change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    pub change: ChangeId,
    /// Revision that the change created.
    pub revision: Revision,
    pub act: Act,
    /// The operator, or the entry host that held the roll-out controller's lease.
    pub actor: OperatorId,
    pub why: String,
    pub at: SystemTime,
    pub proposal: Option<ProposalId>,
    /// Second operator, where the act needs approval.
    pub approved_by: Option<OperatorId>,
    pub before: Option<Digest>,
    pub after: Digest,
    /// Human-readable lines, bounded in number.
    pub diff: Vec<String>,
}

/// Kind of an operator's or controller's act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    Initialise,
    Propose,
    Approve,
    Refuse,
    Apply,
    SwitchPreset,
    SetStage,
    ClearVeto,
    Restore,
}

/// Audit record of an act that creates no revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActRecord {
    pub change: ChangeId,
    pub act: Act,
    pub actor: OperatorId,
    pub why: String,
    pub at: SystemTime,
    pub proposal: ProposalId,
    pub before: Option<Digest>,
    pub after: Digest,
    pub diff: Vec<String>,
}

/// A proposed configuration and the decision on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    pub id: ProposalId,
    pub operator: OperatorId,
    pub why: String,
    pub at: SystemTime,
    /// Revision that the proposal is based on.
    pub base_revision: Revision,
    pub base_digest: Digest,
    pub base_preset: PresetId,
    pub preset: PresetId,
    pub digest: Digest,
    pub diff: Vec<String>,
    pub state: ProposalState,
}

/// Decision on a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposalState {
    Waiting,
    Approved(Approval),
    Refused(Approval),
}

/// Operator's decision on a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Approval {
    pub change: ChangeId,
    pub operator: OperatorId,
    pub at: SystemTime,
}

/// Key of a body.
#[must_use]
pub fn body_key(digest: &str) -> ObjectKey {
    format!("config/bodies/{digest}")
}

/// Key of a proposal.
#[must_use]
pub fn proposal_key(id: &str) -> ObjectKey {
    format!("config/proposals/{id}")
}

/// Key of the audit record of a revision; keys sort by revision.
#[must_use]
pub fn audit_key(revision: Revision) -> ObjectKey {
    format!("config/audit/{revision:020}")
}

/// Key of the record of an act that creates no revision; keys sort by time.
#[must_use]
pub fn act_key(at: SystemTime, change: &str) -> ObjectKey {
    let since_epoch = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("config/audit-acts/{:016}-{change}", since_epoch.as_millis())
}

/// Lower-case hex of the SHA-256 of `bytes`.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Encodes an object as JSON.
///
/// # Errors
///
/// Returns why the value has no JSON form.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, String> {
    serde_json::to_vec(value).map(Bytes::from).map_err(|e| e.to_string())
}

/// Encodes a body as JSON, without the revision.
///
/// # Errors
///
/// Same as [`encode`].
pub fn encode_body(configuration: &Configuration) -> Result<Bytes, String> {
    let mut body = configuration.clone();
    body.revision = 0;
    encode(&body)
}

/// Decodes an object from JSON.
///
/// # Errors
///
/// Returns where the JSON does not match the expected type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|e| e.to_string())
}

/// Decodes a body and gives the configuration the revision and preset of `active`.
///
/// # Errors
///
/// Returns an error if the body's digest differs from the one in `active` or the body cannot be decoded.
pub fn decode_configuration(active: &Active, body: &[u8]) -> Result<Configuration, String> {
    let digest = sha256_hex(body);
    if digest != active.digest {
        return Err(format!("body has digest {digest}, expected {}", active.digest));
    }
    let mut configuration: Configuration = decode(body)?;
    configuration.revision = active.revision;
    configuration.preset = active.preset.clone();
    Ok(configuration)
}
