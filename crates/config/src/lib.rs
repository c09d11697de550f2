//! Proposes, approves and applies configuration, and keeps its audit log.
//!
//! The object `config/active` names the configuration in force, so one conditional update switches preset and
//! configuration at once, and of several concurrent operators only one succeeds. The object refers to an immutable body
//! by its digest and contains the complete audit record of its last change, so every applied change has one.
//! [`Change`] runs one command against the store; [`Adopter`] keeps a host on the newest configuration. Both are plain
//! state machines whose store calls are effects.

pub mod adopter;
pub mod change;
mod delta;
mod diff;
mod object;
mod validate;

pub use adopter::Adopter;
pub use adopter::AdopterConfig;
pub use change::Applied;
pub use change::Change;
pub use change::ChangeConfig;
pub use change::ChangeRefusal;
pub use change::Command;
pub use delta::Changes;
pub use delta::Delta;
pub use delta::DeltaError;
pub use diff::diff;
pub use object::ACTIVE_KEY;
pub use object::Act;
pub use object::ActRecord;
pub use object::Active;
pub use object::Approval;
pub use object::AuditRecord;
pub use object::BODY_LIMIT_BYTES;
pub use object::ChangeId;
pub use object::Digest;
pub use object::Proposal;
pub use object::ProposalId;
pub use object::ProposalState;
pub use object::act_key;
pub use object::audit_key;
pub use object::body_key;
pub use object::decode;
pub use object::decode_configuration;
pub use object::encode;
pub use object::encode_body;
pub use object::proposal_key;
pub use object::sha256_hex;
pub use validate::validate;

/// Matches the result of a store call to its effect.
pub type CallId = u64;
