//! Live entry hosts: owners of shards, by rendezvous hashing, and peers that hold replicas.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::stable_hash;

use crate::entry::EntryId;
use crate::entry::ShardId;
use crate::event::HostLocation;

/// How long a host that did not respond is bypassed.
pub const BYPASS_DURATION: Duration = Duration::from_secs(5);

const OWNER_SEED: u64 = 0x40e;
const REPLICA_SEED: u64 = 0x401d;

/// Live entry hosts.
#[derive(Clone, Debug)]
pub struct HostTable {
    local_host: EntryHostId,
    local_data_centre: DataCentreId,
    hosts: BTreeMap<EntryHostId, DataCentreId>,
    bypassed: BTreeMap<EntryHostId, Bypass>,
}

/// State of a host that is avoided because it did not respond or declined entries.
#[derive(Clone, Copy, Debug)]
struct Bypass {
    until: Instant,
    /// Whether an entry was sent to it as a probe.
    probing: bool,
}

impl HostTable {
    /// Creates a table with only this host.
    #[must_use]
    pub fn new(local_host: &str, data_centre: &str) -> HostTable {
        HostTable {
            local_host: local_host.to_owned(),
            local_data_centre: data_centre.to_owned(),
            hosts: BTreeMap::from([(local_host.to_owned(), data_centre.to_owned())]),
            bypassed: BTreeMap::new(),
        }
    }

    /// Replaces the set of live hosts; this host is always included.
    pub fn replace(&mut self, hosts: Vec<HostLocation>) {
        self.hosts =
            hosts.into_iter().map(|location| (location.host, location.data_centre)).collect();
        self.hosts.insert(self.local_host.clone(), self.local_data_centre.clone());
        let hosts = &self.hosts;
        self.bypassed.retain(|host, _| hosts.contains_key(host));
    }

    #[must_use]
    pub fn is_alive(&self, host: &EntryHostId) -> bool {
        self.hosts.contains_key(host)
    }

    /// Owner of a shard.
    #[must_use]
    pub fn owner(&self, shard: ShardId) -> &EntryHostId {
        let weight =
            |host: &EntryHostId| stable_hash(OWNER_SEED, &[host.as_bytes(), &shard.to_le_bytes()]);
        self.hosts.keys().max_by_key(|host| weight(host)).unwrap_or(&self.local_host)
    }

    #[must_use]
    pub fn is_owner(&self, shard: ShardId) -> bool {
        *self.owner(shard) == self.local_host
    }

    /// Bypasses a host for [`BYPASS_DURATION`]; false when it was already bypassed.
    pub fn bypass(&mut self, host: &EntryHostId, now: Instant) -> bool {
        let was_bypassed = self.is_bypassed(host, now);
        if self.is_alive(host) {
            let bypass = Bypass { until: now + BYPASS_DURATION, probing: false };
            self.bypassed.insert(host.clone(), bypass);
        }
        !was_bypassed
    }

    /// Ends the bypass of a host that responded.
    pub fn mark_reachable(&mut self, host: &EntryHostId) {
        self.bypassed.remove(host);
    }

    #[must_use]
    pub fn is_bypassed(&self, host: &EntryHostId, now: Instant) -> bool {
        self.bypassed.get(host).is_some_and(|bypass| !bypass.probing && now < bypass.until)
    }

    /// Whether an entry may be sent to an owner now. After a bypass, one probe per [`BYPASS_DURATION`] is allowed until
    /// the owner responds.
    #[must_use]
    pub fn try_owner(&mut self, host: &EntryHostId, now: Instant) -> bool {
        let Some(bypass) = self.bypassed.get_mut(host) else { return true };
        if now < bypass.until {
            return false;
        }
        *bypass = Bypass { until: now + BYPASS_DURATION, probing: true };
        true
    }

    /// Peers that may hold a replica of an entry: one in another data centre first, then in hash order.
    #[must_use]
    pub fn replica_candidates(&self, id: EntryId, now: Instant) -> Vec<EntryHostId> {
        let id_bytes = match id {
            EntryId::Claim(hash) | EntryId::Outcome(hash) | EntryId::Bill(hash) => {
                hash.to_le_bytes()
            }
        };
        let mut peers: Vec<(u64, &EntryHostId)> = self
            .hosts
            .keys()
            .filter(|host| **host != self.local_host && !self.is_bypassed(host, now))
            .map(|host| (stable_hash(REPLICA_SEED, &[host.as_bytes(), &id_bytes]), host))
            .collect();
        peers.sort_unstable();
        let is_remote = |host: &EntryHostId| self.hosts.get(host) != Some(&self.local_data_centre);
        if let Some(first_remote) = peers.iter().position(|(_, host)| is_remote(host)) {
            peers[..=first_remote].rotate_right(1);
        }
        peers.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Whether enough peers are available to hold replicas.
    #[must_use]
    pub fn can_replicate(&self, now: Instant) -> bool {
        let usable =
            |host: &&EntryHostId| **host != self.local_host && !self.is_bypassed(host, now);
        self.hosts.keys().filter(usable).count() >= MIN_REPLICAS
    }
}

/// Number of peers that must hold an entry before it counts as replicated.
pub const MIN_REPLICAS: usize = 2;
