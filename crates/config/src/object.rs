//! Objects that configuration keeps in the object API, and their keys.
//!
//! A body is written once under the SHA-256 of its bytes. Revision and preset are those of [`Active`]; a body's own
//! are overridden when it is read, so a switch of preset needs no new body.

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

/// Key of the object that names what is in force.
pub const ACTIVE_KEY: &str = "config/active";

/// Largest body; the object API holds values up to a megabyte.
pub const BODY_LIMIT_BYTES: usize = 900_000;

/// SHA-256 of a body's bytes, in lower-case hex.
pub type Digest = String;
/// Names one attempt to change the configuration; random.
pub type ChangeId = String;
/// Names a proposal; random.
pub type ProposalId = String;

/// What is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Active {
    pub revision: Revision,
    pub preset: PresetId,
    /// Names the body.
    pub digest: Digest,
    /// Highest fencing number of a roll-out controller that changed a stage.
    pub controller_fencing: FencingNumber,
    /// The change that made this revision.
    pub change: AuditRecord,
    /// The last change by an operator; equals `change` unless a roll-out controller changed a stage since.
    pub operator_change: AuditRecord,
}

/// One applied change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    pub change: ChangeId,
    /// Revision that the change made.
    pub revision: Revision,
    pub act: Act,
    /// The operator, or the entry host that held the controller's lease.
    pub actor: OperatorId,
    pub why: String,
    pub at: SystemTime,
    pub proposal: Option<ProposalId>,
    /// Second operator, where the act needs one.
    pub approved_by: Option<OperatorId>,
    pub before: Option<Digest>,
    pub after: Digest,
    /// Readable lines, bounded in number.
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

/// An act that changes no revision.
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

/// A configuration that waits for approval or application.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    pub id: ProposalId,
    pub operator: OperatorId,
    pub why: String,
    pub at: SystemTime,
    /// Revision that the operator changed.
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

/// Who decided on a proposal.
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

/// Key of the record of an act that makes no revision; keys sort by time.
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

/// JSON of an object.
///
/// # Errors
///
/// Names the field that has no JSON form, such as a number that is not finite.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, String> {
    serde_json::to_vec(value).map(Bytes::from).map_err(|e| e.to_string())
}

/// JSON of a body, independent of the revision.
///
/// # Errors
///
/// As [`encode`].
pub fn encode_body(configuration: &Configuration) -> Result<Bytes, String> {
    let mut body = configuration.clone();
    body.revision = 0;
    encode(&body)
}

/// Reads an object.
///
/// # Errors
///
/// Says where the JSON is not of the expected shape.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|e| e.to_string())
}

/// Configuration that an active object and its body make together.
///
/// # Errors
///
/// Refuses a body whose digest is not the one that `active` names, or that cannot be read.
pub fn configuration_of(active: &Active, body: &[u8]) -> Result<Configuration, String> {
    let digest = sha256_hex(body);
    if digest != active.digest {
        return Err(format!("body has digest {digest}, expected {}", active.digest));
    }
    let mut configuration: Configuration = decode(body)?;
    configuration.revision = active.revision;
    configuration.preset = active.preset.clone();
    Ok(configuration)
}
