//! Simulations and benchmarks: routing policies, soak runs, selection cost, journal cost, control-plane cost and
//! fleets with crashing servers.
//!
//! Each module runs one measurement with fixed seeds and simulated peers, and returns typed results that the binary
//! prints as text or JSON.

pub mod choice;
pub mod control;
pub mod fleet;
pub mod journal_cost;
pub mod policy;
pub mod soak;
