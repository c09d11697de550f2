//! Consistent hashing of prompt prefixes to servers, with bounded load.
//!
//! Each server has a few points on a ring, and a prefix belongs to the first server at or after the prefix's own point
//! whose load is within the bound (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018).
//! A lookup takes logarithmic time, where plain rendezvous hashing would visit every server.

use std::collections::BTreeMap;

use foxtailhoist_model::PrefixHash;
use foxtailhoist_model::stable_hash;

const POINTS_PER_SERVER: u64 = 16;
const RING_SEED: u64 = 0x51b6_0c1e;
/// Points that a lookup visits at most.
const MAX_POINTS_VISITED: usize = 8;

/// Hash ring of servers, identified by slot number.
#[derive(Clone, Debug, Default)]
pub(crate) struct HashRing {
    points: BTreeMap<u64, usize>,
}

impl HashRing {
    pub(crate) fn add(&mut self, id: &str, slot: usize) {
        for point in 0..POINTS_PER_SERVER {
            let hash = stable_hash(RING_SEED, &[id.as_bytes(), &point.to_be_bytes()]);
            self.points.insert(hash, slot);
        }
    }

    /// The first server for the prefix that `accepts` returns true for.
    pub(crate) fn find(
        &self,
        prefix: PrefixHash,
        accepts: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let start = stable_hash(RING_SEED, &[&prefix.to_be_bytes()]);
        let after = self.points.range(start..);
        let before = self.points.range(..start);
        after
            .chain(before)
            .take(MAX_POINTS_VISITED)
            .map(|(_, slot)| *slot)
            .find(|slot| accepts(*slot))
    }
}
