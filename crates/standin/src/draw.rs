//! Draws that depend only on what is hashed, so that a repeat draws the same.

/// A hash as a number from 0 to below 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    // The upper 53 bits are what a f64 holds exactly.
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
