//! Shares of a step's bound on distinct callers, by entry host.
//!
//! The quotas stay in the configuration, those of vanished hosts included: callers that such a host exposed were
//! exposed, and the next holder of the lease knows it from the configuration alone. Their sum is at most the bound.

use std::collections::BTreeMap;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::stable_hash;

/// Quotas of each entry host.
pub type Quotas = BTreeMap<EntryHostId, u32>;

const ORDER_SEED: u64 = 0x7175_6f74_6173;

/// Divides `bound` over `hosts`, after what hosts that are not among them may have used of `previous`.
///
/// A host gets no less than it had, unless the bound itself fell below the sum; where the bound is smaller than the
/// number of hosts, an order by hash decides who gets one.
#[must_use]
pub fn allocate(
    model_version: &ModelVersion,
    bound: u32,
    hosts: &[EntryHostId],
    previous: &Quotas,
) -> Quotas {
    let mut quotas: Quotas = previous.clone();
    trim(&mut quotas, bound);
    let used: u32 = quotas.values().fold(0, |sum, quota| sum.saturating_add(*quota));
    let mut free = bound.saturating_sub(used);
    let level = level(bound, &quotas, hosts);
    for host in in_order(model_version, hosts) {
        let had = quotas.get(host).copied().unwrap_or(0);
        let more = level.saturating_sub(had).min(free);
        if more > 0 {
            quotas.insert(host.clone(), had + more);
            free -= more;
        }
    }
    for host in in_order(model_version, hosts) {
        if free == 0 {
            break;
        }
        *quotas.entry(host.clone()).or_default() += 1;
        free -= 1;
    }
    quotas
}

/// Lowers quotas, the last host's first, until their sum is within the bound.
fn trim(quotas: &mut Quotas, bound: u32) {
    let mut left = bound;
    for quota in quotas.values_mut() {
        *quota = (*quota).min(left);
        left -= *quota;
    }
    quotas.retain(|_, quota| *quota > 0);
}

/// Sum of all quotas.
#[must_use]
pub fn total(quotas: &Quotas) -> u64 {
    quotas.values().map(|quota| u64::from(*quota)).sum()
}

/// Equal share of what vanished hosts leave of the bound.
fn level(bound: u32, quotas: &Quotas, hosts: &[EntryHostId]) -> u32 {
    let vanished = quotas.iter().filter(|(host, _)| !hosts.contains(host));
    let gone: u32 = vanished.fold(0, |sum, (_, quota)| sum.saturating_add(*quota));
    let count = u32::try_from(hosts.len()).unwrap_or(u32::MAX).max(1);
    bound.saturating_sub(gone) / count
}

fn in_order<'a>(model_version: &ModelVersion, hosts: &'a [EntryHostId]) -> Vec<&'a EntryHostId> {
    let name = model_version.to_string();
    let key = |host: &&EntryHostId| stable_hash(ORDER_SEED, &[name.as_bytes(), host.as_bytes()]);
    let mut ordered: Vec<&EntryHostId> = hosts.iter().collect();
    ordered.sort_by_key(key);
    ordered
}
