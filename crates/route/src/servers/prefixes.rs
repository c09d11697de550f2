//! Servers that hold prompt prefixes, known from cache events and this host's dispatches.
//!
//! The table is delayed and incomplete, so it only influences server selection; entries expire unless renewed.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::PrefixHash;

/// Capacity of the table; the prefix recorded first is evicted.
const MAX_PREFIXES: usize = 8192;
/// Holders kept for a prefix, over all models.
const MAX_HOLDERS: usize = 16;
/// Time after which a holder expires unless renewed.
const HOLDER_TTL: Duration = Duration::from_secs(300);

/// Holders of prefixes.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    holders: BTreeMap<PrefixHash, Vec<Holder>>,
    order: VecDeque<PrefixHash>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    slot: usize,
    tokens: u32,
    recorded_at: Instant,
}

impl Prefixes {
    /// Records that a server holds a prefix.
    pub(crate) fn record(&mut self, prefix: PrefixHash, slot: usize, tokens: u32, now: Instant) {
        if !self.holders.contains_key(&prefix) {
            if self.order.len() >= MAX_PREFIXES {
                let oldest = self.order.pop_front();
                oldest.and_then(|oldest| self.holders.remove(&oldest));
            }
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|holder| holder.slot != slot);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder { slot, tokens, recorded_at: now });
    }

    /// Records that a server evicted a prefix.
    pub(crate) fn remove(&mut self, prefix: PrefixHash, slot: usize) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// Removes a server from all prefixes.
    pub(crate) fn remove_server(&mut self, slot: usize) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// Servers that probably hold a prefix, the most recently recorded last.
    pub(crate) fn holders(
        &self,
        prefix: PrefixHash,
        now: Instant,
    ) -> impl Iterator<Item = usize> + '_ {
        let holders = self.holders.get(&prefix).into_iter().flatten();
        let fresh =
            move |holder: &&Holder| now.saturating_duration_since(holder.recorded_at) < HOLDER_TTL;
        holders.filter(fresh).map(|holder| holder.slot)
    }

    /// Tokens of the prefix that a server probably holds.
    pub(crate) fn tokens(&self, prefix: PrefixHash, slot: usize, now: Instant) -> u32 {
        let holders = self.holders.get(&prefix).into_iter().flatten();
        let mut holders = holders.filter(|holder| holder.slot == slot);
        let fresh =
            |holder: &Holder| now.saturating_duration_since(holder.recorded_at) < HOLDER_TTL;
        holders.find(|holder| fresh(holder)).map_or(0, |holder| holder.tokens)
    }

    pub(crate) fn len(&self) -> usize {
        self.holders.len()
    }

    pub(crate) fn capacity() -> usize {
        MAX_PREFIXES
    }
}
