//! Cost, quality, latency and exposure of routing policies, in virtual time.
//!
//! [`run`] sets the router beside baselines on the same arrivals: ordinary days, peaks, a sweep for capacity, overload
//! and faults, for several seeds. Engines, the rating service and the feeds are small stand-ins driven by the figures
//! of a workload file; a policy sees only what they show. The report ends with a table of the targets.

use thiserror::Error;

pub mod baseline;
pub mod brain;
pub mod clock;
pub mod engine;
pub mod fault;
pub mod kind;
pub mod random;
pub mod record;
pub mod runs;
pub mod site;
pub mod summary;
pub mod trace;
pub mod workload;
pub mod world;

/// Why a measurement could not be made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyError {
    #[error("workload file: {0}")]
    Workload(String),
}
