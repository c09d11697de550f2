//! Orders to engines: versions in demand that too few engines have loaded.
//!
//! Only the holder of the lease on orders gives any, at a limited rate and never near the lease's end: an engine that
//! ignores fencing numbers cannot refuse a late one. An order states the engine's whole end state, so a repeat is
//! harmless. Versions that are not in use any more make room for the one in demand.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::FencingNumber;
use foxtailhoist_model::ModelVersion;

/// Shortest time between two orders, for the weight store's rate.
const ORDER_INTERVAL: Duration = Duration::from_secs(10);
/// Time before the lease's end from which no order is given.
const LEASE_MARGIN: Duration = Duration::from_secs(3);
/// Requests that found no place, within an interval, from which a version counts as in demand.
const MIN_DEMAND: u32 = 3;
/// Versions whose demand is counted.
const MAX_VERSIONS: usize = 64;

/// Lease on orders and the demand that was not met.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    lease: Option<Lease>,
    unmet: BTreeMap<ModelVersion, u32>,
    last: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    fencing: FencingNumber,
    until: Instant,
}

impl Orders {
    /// Takes in a lease; one with a lower number than the present is ignored.
    pub(crate) fn lease(&mut self, fencing: FencingNumber, until: Instant) {
        if self.lease.is_none_or(|lease| lease.fencing <= fencing) {
            self.lease = Some(Lease { fencing, until });
        }
    }

    /// Counts a request that found no place at a version.
    pub(crate) fn unmet(&mut self, model_version: &ModelVersion) {
        if self.unmet.len() >= MAX_VERSIONS && !self.unmet.contains_key(model_version) {
            return;
        }
        *self.unmet.entry(model_version.clone()).or_default() += 1;
    }

    /// Version to be loaded on one more engine, and the number to order it with.
    pub(crate) fn due(&mut self, now: Instant) -> Option<(ModelVersion, FencingNumber)> {
        let lease = self.lease.filter(|lease| now + LEASE_MARGIN < lease.until)?;
        if self.last.is_some_and(|last| now < last + ORDER_INTERVAL) {
            return None;
        }
        let (model_version, demand) = self.unmet.iter().max_by_key(|(_, demand)| **demand)?;
        if *demand < MIN_DEMAND {
            return None;
        }
        let model_version = model_version.clone();
        self.last = Some(now);
        self.unmet.clear();
        Some((model_version, lease.fencing))
    }

    pub(crate) fn holds_lease(&self, fencing: FencingNumber, now: Instant) -> bool {
        self.lease.is_some_and(|lease| lease.fencing == fencing && now < lease.until)
    }
}
