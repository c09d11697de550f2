//! Division of a step's bound on distinct callers among the entry hosts.
//!
//! Quotas of removed hosts stay in the configuration: their callers were exposed to the version, and the next lease
//! holder has no other source for that. The sum of all quotas is at most the bound.

use std::collections::BTreeMap;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::stable_hash;

/// Callers that each entry host may expose to the version.
pub type Quotas = BTreeMap<EntryHostId, u32>;

/// Seed of the hash that orders hosts; the bytes of `quotas`.
const ORDER_SEED: u64 = 0x7175_6f74_6173;

/// Divides `bound` among `hosts`, less the `previous` quotas of removed hosts, which may be used up.
///
/// A host's quota does not shrink unless the bound falls below the sum of the previous quotas. Where the bound is
/// smaller than the number of hosts, a hash order selects the hosts that get one caller.
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
    let mut remaining = bound.saturating_sub(used);
    let equal_share = equal_share(bound, &quotas, hosts);
    for host in in_hash_order(model_version, hosts) {
        let current = quotas.get(host).copied().unwrap_or(0);
        let more = equal_share.saturating_sub(current).min(remaining);
        if more > 0 {
            quotas.insert(host.clone(), current + more);
            remaining -= more;
        }
    }
    for host in in_hash_order(model_version, hosts) {
        if remaining == 0 {
            break;
        }
        *quotas.entry(host.clone()).or_default() += 1;
        remaining -= 1;
    }
    quotas
}

/// Lowers quotas, starting with the last host by id, until their sum is within the bound.
fn trim(quotas: &mut Quotas, bound: u32) {
    let mut remaining = bound;
    for quota in quotas.values_mut() {
        *quota = (*quota).min(remaining);
        remaining -= *quota;
    }
    quotas.retain(|_, quota| *quota > 0);
}

/// Sum of all quotas.
#[must_use]
pub fn total(quotas: &Quotas) -> u64 {
    quotas.values().map(|quota| u64::from(*quota)).sum()
}

/// Equal share of the bound that remains after the quotas of removed hosts.
fn equal_share(bound: u32, quotas: &Quotas, hosts: &[EntryHostId]) -> u32 {
    let removed = quotas.iter().filter(|(host, _)| !hosts.contains(host));
    let used: u32 = removed.fold(0, |sum, (_, quota)| sum.saturating_add(*quota));
    let count = u32::try_from(hosts.len()).unwrap_or(u32::MAX).max(1);
    bound.saturating_sub(used) / count
}

fn in_hash_order<'a>(
    model_version: &ModelVersion,
    hosts: &'a [EntryHostId],
) -> Vec<&'a EntryHostId> {
    let name = model_version.to_string();
    let key = |host: &&EntryHostId| stable_hash(ORDER_SEED, &[name.as_bytes(), host.as_bytes()]);
    let mut ordered: Vec<&EntryHostId> = hosts.iter().collect();
    ordered.sort_by_key(key);
    ordered
}
