//! Pseudo-random draws derived from hashes, so that equal input gives equal draws.

/// Maps a hash to [0, 1).
pub(crate) fn unit_interval(hash: u64) -> f64 {
    // An f64 represents integers of up to 53 bits exactly.
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
