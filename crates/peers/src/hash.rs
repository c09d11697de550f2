//! Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
//!
//! Every host ranks all members for a key by a hash of both. When one member leaves, only the keys that ranked it
//! first move.

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::stable_hash;

/// Keeps ranks apart from other uses of the hash.
const RANK_SEED: u64 = 0x7a6e;

/// Members that are home to `key`, best first, at most `n`.
#[must_use]
pub fn homes<'a>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a EntryHostId>,
    n: usize,
) -> Vec<&'a EntryHostId> {
    let mut ranked: Vec<(u64, &EntryHostId)> =
        members.into_iter().map(|host| (rank(key, host), host)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(n).map(|(_, host)| host).collect()
}

/// Rank of a host for a key; the lowest is the first home.
#[must_use]
pub fn rank(key: &[u8], host: &EntryHostId) -> u64 {
    stable_hash(RANK_SEED, &[key, host.as_bytes()])
}
