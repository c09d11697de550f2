//! Ids, as aliases of plain types.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One attempt of a request at a backend server; random.
pub type AttemptId = u128;
/// A backend server, as the host list names it.
pub type BackendServerId = String;
/// Stable hash of a workspace and the user that the request names, or of its API key if it names none. Roll-outs limit
/// the number of distinct callers that are exposed to a version.
pub type CallerId = u64;
/// A data centre, as settings name it.
pub type DataCentreId = String;
/// Name of a region, which holds one or more data centres.
pub type RegionId = String;
/// An entry host, as its settings name it.
pub type EntryHostId = String;
/// Fencing number of a lease; each new holder gets a higher one.
pub type FencingNumber = u64;
/// Stable hash of workspace and content; identifies a request across resends.
pub type Fingerprint = u64;
/// Identifies one run of an entry host's process; higher after each restart.
pub type Incarnation = u64;
/// A model, without its version.
pub type ModelId = String;
/// A key in the object API.
pub type ObjectKey = String;
/// Version of an object, from one counter over the whole store; 0 before the first write.
pub type ObjectVersion = u64;
/// An operator, as the operator key names them.
pub type OperatorId = String;
/// Stable hash of the part of a prompt that requests share.
pub type PrefixHash = u64;
pub type PresetId = String;
/// A request; random, or derived from the caller's idempotency key.
pub type RequestId = u128;
/// Revision of the configuration; only grows.
pub type Revision = u64;
/// A plain service.
pub type ServiceId = String;
/// A session, as the caller names it.
pub type SessionId = String;
/// Kind of task that a request states, such as `tagging`.
pub type TaskClass = String;
pub type VersionId = String;
pub type WorkspaceId = String;

/// Hash that is the same on every host and in every release.
///
/// The length of each part is hashed too, so that `["ab", "c"]` and `["a", "bc"]` differ.
#[must_use]
pub fn stable_hash(seed: u64, parts: &[&[u8]]) -> u64 {
    parts.iter().fold(seed, |hash, part| {
        let length = part.len() as u64;
        xxh3_64_with_seed(part, hash ^ length.rotate_left(32))
    })
}
