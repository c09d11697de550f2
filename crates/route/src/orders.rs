//! Orders to engines to load versions in demand that too few engines have loaded.
//!
//! Only the holder of the orders lease issues orders, at a limited rate and never shortly before the lease expires: an
//! engine that ignores fencing numbers cannot refuse a late order. An order states the engine's complete target state,
//! so a repeated order is harmless. Versions that no longer take new work are unloaded in favour of the one in demand.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::FencingNumber;
use foxtailhoist_model::ModelVersion;

/// Minimum interval between two orders, because the weight store that engines load versions from has a limited rate.
const ORDER_INTERVAL: Duration = Duration::from_secs(10);
/// Time before the lease expires in which no order is issued.
const LEASE_MARGIN: Duration = Duration::from_secs(3);
/// Minimum unmet demand of a version since the last order, in requests, for another order.
const MIN_DEMAND: u32 = 3;
/// Maximum number of versions whose unmet demand is counted.
const MAX_VERSIONS: usize = 64;

/// Orders lease and unmet demand by version.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    lease: Option<Lease>,
    unmet_demand: BTreeMap<ModelVersion, u32>,
    last_order: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    fencing: FencingNumber,
    until: Instant,
}

impl Orders {
    /// Records a lease; one with a lower fencing number than the current lease is ignored.
    pub(crate) fn update_lease(&mut self, fencing: FencingNumber, until: Instant) {
        if self.lease.is_none_or(|lease| lease.fencing <= fencing) {
            self.lease = Some(Lease { fencing, until });
        }
    }

    /// Counts a request for which no server of the version was available.
    pub(crate) fn record_unmet_demand(&mut self, model_version: &ModelVersion) {
        if self.unmet_demand.len() >= MAX_VERSIONS && !self.unmet_demand.contains_key(model_version)
        {
            return;
        }
        *self.unmet_demand.entry(model_version.clone()).or_default() += 1;
    }

    /// Returns the version to load on one more engine, and the fencing number of the order.
    pub(crate) fn next_order(&mut self, now: Instant) -> Option<(ModelVersion, FencingNumber)> {
        let lease = self.lease.filter(|lease| now + LEASE_MARGIN < lease.until)?;
        if self.last_order.is_some_and(|last| now < last + ORDER_INTERVAL) {
            return None;
        }
        let (model_version, demand) =
            self.unmet_demand.iter().max_by_key(|(_, demand)| **demand)?;
        if *demand < MIN_DEMAND {
            return None;
        }
        let model_version = model_version.clone();
        self.last_order = Some(now);
        self.unmet_demand.clear();
        Some((model_version, lease.fencing))
    }

    pub(crate) fn holds_lease(&self, fencing: FencingNumber, now: Instant) -> bool {
        self.lease.is_some_and(|lease| lease.fencing == fencing && now < lease.until)
    }
}
