//! Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
//!
//! Every host ranks all members for a key by a hash of both. When a member leaves, only the keys that ranked it first
//! change owner.

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::stable_hash;

/// Seed that separates ranks from other uses of the hash.
const RANK_SEED: u64 = 0x7a6e;

/// The first `n` members by rank for `key`; the first one owns the key.
#[must_use]
pub fn ranked_hosts<'a>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a EntryHostId>,
    n: usize,
) -> Vec<&'a EntryHostId> {
    let mut ranked: Vec<(u64, &EntryHostId)> =
        members.into_iter().map(|host| (rank(key, host), host)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(n).map(|(_, host)| host).collect()
}

/// Rank of a host for a key; the lowest rank owns it.
#[must_use]
pub fn rank(key: &[u8], host: &EntryHostId) -> u64 {
    stable_hash(RANK_SEED, &[key, host.as_bytes()])
}
