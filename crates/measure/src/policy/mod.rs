//! Discrete-event simulation of routing policies: cost, quality, latency and exposure in virtual time.
//!
//! [`run`] compares the router with baselines on the same arrivals: ordinary load, peaks, a capacity sweep, overload
//! and faults, for several seeds. Engines, the rating service and the feeds of load reports and cache events
//! are simulated from the parameters of a workload file; a policy sees only their outputs. The report ends with a table
//! of the targets.

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

/// Error that prevents a measurement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyError {
    #[error("workload file: {0}")]
    Workload(String),
}

/// A group of runs that can be selected or left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunKind {
    Ordinary,
    Peak,
    /// The capacity sweep, and runs at rates relative to the capacity it finds.
    Capacity,
    Faults,
}

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct PolicyOptions {
    /// Contents of the workload file.
    pub workload: String,
    pub seeds: Vec<u64>,
    /// Simulated minutes of each run after its warm-up of ten minutes.
    pub minutes: u64,
    pub runs: BTreeSet<RunKind>,
    /// Maximum number of runs in parallel.
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

/// Runs the measurement.
///
/// # Errors
///
/// Returns the first error in the workload file.
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
