//! Measurements: policy simulator, soak, path cost, control cost.
//!
//! Each module measures one thing with fixed seeds and small stand-ins, and returns typed figures that the binary
//! prints as text or JSON.

pub mod choice;
pub mod control;
pub mod journal_cost;
pub mod policy;
pub mod soak;
