//! Long random runs over all failures, with invariants asserted.
