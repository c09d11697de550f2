//! Cost, quality, latency and exposure of routing policies, in virtual time.
//!
//! [`run`] sets the router beside baselines on the same arrivals: ordinary days, peaks, a sweep for capacity, overload
//! and faults, for several seeds. Engines, the rating service and the feeds are small stand-ins driven by the figures
//! of a workload file; a policy sees only what they show. The report ends with a table of the targets.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::policy::report::PolicyReport;
use crate::policy::site::Site;
use crate::policy::workload::DEFAULT_WORKLOAD;
use crate::policy::workload::Workloads;

pub mod baseline;
pub mod clock;
pub mod engine;
pub mod fault;
pub mod host_policy;
pub mod kind;
pub mod plan;
pub mod random;
pub mod record;
pub mod report;
pub mod runs;
pub mod site;
pub mod summary;
pub mod targets;
pub mod trace;
pub mod workload;
pub mod world;

/// Why a measurement could not be made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyError {
    #[error("workload file: {0}")]
    Workload(String),
}

/// A group of runs that may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunKind {
    Ordinary,
    Peak,
    /// The sweep for capacity, and runs around it.
    Capacity,
    Faults,
}

/// What to measure.
#[derive(Clone, Debug)]
pub struct PolicyOptions {
    /// Text of the workload file.
    pub workload: String,
    pub seeds: Vec<u64>,
    /// Simulated minutes of each run after its warm-up of ten.
    pub minutes: u64,
    pub runs: BTreeSet<RunKind>,
    /// Runs carried out at once.
    pub threads: usize,
}

impl RunKind {
    pub const ALL: [RunKind; 4] =
        [RunKind::Ordinary, RunKind::Peak, RunKind::Capacity, RunKind::Faults];
}

impl Default for PolicyOptions {
    fn default() -> PolicyOptions {
        let available = std::thread::available_parallelism().map_or(1, usize::from);
        PolicyOptions {
            workload: DEFAULT_WORKLOAD.to_owned(),
            seeds: vec![1, 2, 3],
            minutes: 20,
            runs: RunKind::ALL.into_iter().collect(),
            threads: (available / 2).max(1),
        }
    }
}

/// Carries out the measurement.
///
/// # Errors
///
/// Returns the first fault of the workload file.
pub fn run(options: &PolicyOptions) -> Result<PolicyReport, PolicyError> {
    let workloads = Arc::new(Workloads::parse(&options.workload)?);
    let deployments: Vec<_> = workloads
        .deployments
        .iter()
        .map(|(name, deployment)| plan::measure(name, &workloads, Site::new(deployment), options))
        .collect();
    let targets = deployments.iter().flat_map(targets::evaluate).collect();
    Ok(PolicyReport {
        seeds: options.seeds.clone(),
        minutes: options.minutes,
        deployments,
        targets,
    })
}
