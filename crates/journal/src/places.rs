//! Entry hosts alive: homes of shards by rendezvous hashing, and peers that keep entries.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::stable_hash;

use crate::entry::EntryId;
use crate::entry::ShardId;
use crate::event::HostPlace;

/// How long a host that did not answer is passed over.
pub const BYPASS: Duration = Duration::from_secs(5);

const HOME_SEED: u64 = 0x40e;
const HOLDER_SEED: u64 = 0x401d;

/// Entry hosts alive.
#[derive(Clone, Debug)]
pub struct Places {
    own: EntryHostId,
    own_data_centre: DataCentreId,
    hosts: BTreeMap<EntryHostId, DataCentreId>,
    bypassed: BTreeMap<EntryHostId, Bypass>,
}

/// A host that did not answer or declined.
#[derive(Clone, Copy, Debug)]
struct Bypass {
    until: Instant,
    /// One entry was sent to it since, to see whether it works again.
    probing: bool,
}

impl Places {
    /// Only this host.
    #[must_use]
    pub fn new(own: &str, data_centre: &str) -> Places {
        Places {
            own: own.to_owned(),
            own_data_centre: data_centre.to_owned(),
            hosts: BTreeMap::from([(own.to_owned(), data_centre.to_owned())]),
            bypassed: BTreeMap::new(),
        }
    }

    /// Replaces the set of hosts alive; this host is always in it.
    pub fn replace(&mut self, hosts: Vec<HostPlace>) {
        self.hosts = hosts.into_iter().map(|place| (place.host, place.data_centre)).collect();
        self.hosts.insert(self.own.clone(), self.own_data_centre.clone());
        let hosts = &self.hosts;
        self.bypassed.retain(|host, _| hosts.contains_key(host));
    }

    #[must_use]
    pub fn is_alive(&self, host: &EntryHostId) -> bool {
        self.hosts.contains_key(host)
    }

    /// Home of a shard.
    #[must_use]
    pub fn home(&self, shard: ShardId) -> &EntryHostId {
        let weight =
            |host: &EntryHostId| stable_hash(HOME_SEED, &[host.as_bytes(), &shard.to_le_bytes()]);
        self.hosts.keys().max_by_key(|host| weight(host)).unwrap_or(&self.own)
    }

    #[must_use]
    pub fn is_home(&self, shard: ShardId) -> bool {
        *self.home(shard) == self.own
    }

    /// Passes over a host for a while; false when it was passed over already.
    pub fn bypass(&mut self, host: &EntryHostId, now: Instant) -> bool {
        let was_bypassed = self.is_bypassed(host, now);
        if self.is_alive(host) {
            let bypass = Bypass { until: now + BYPASS, probing: false };
            self.bypassed.insert(host.clone(), bypass);
        }
        !was_bypassed
    }

    /// Takes note that a host works again.
    pub fn answered(&mut self, host: &EntryHostId) {
        self.bypassed.remove(host);
    }

    #[must_use]
    pub fn is_bypassed(&self, host: &EntryHostId, now: Instant) -> bool {
        self.bypassed.get(host).is_some_and(|bypass| !bypass.probing && now < bypass.until)
    }

    /// Whether something may be sent to a home now. After a bypass one probe at a time may, until it is answered.
    #[must_use]
    pub fn try_home(&mut self, host: &EntryHostId, now: Instant) -> bool {
        let Some(bypass) = self.bypassed.get_mut(host) else { return true };
        if now < bypass.until {
            return false;
        }
        *bypass = Bypass { until: now + BYPASS, probing: true };
        true
    }

    /// Peers that may keep an entry: first one of another data centre, then by hash.
    #[must_use]
    pub fn holders(&self, id: EntryId, now: Instant) -> Vec<EntryHostId> {
        let id_bytes = match id {
            EntryId::Claim(hash) | EntryId::Outcome(hash) | EntryId::Bill(hash) => {
                hash.to_le_bytes()
            }
        };
        let mut peers: Vec<(u64, &EntryHostId)> = self
            .hosts
            .keys()
            .filter(|host| **host != self.own && !self.is_bypassed(host, now))
            .map(|host| (stable_hash(HOLDER_SEED, &[host.as_bytes(), &id_bytes]), host))
            .collect();
        peers.sort_unstable();
        let is_far = |host: &EntryHostId| self.hosts.get(host) != Some(&self.own_data_centre);
        if let Some(first_far) = peers.iter().position(|(_, host)| is_far(host)) {
            peers[..=first_far].rotate_right(1);
        }
        peers.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Whether two peers can be asked to keep an entry.
    #[must_use]
    pub fn can_park(&self, now: Instant) -> bool {
        let usable = |host: &&EntryHostId| **host != self.own && !self.is_bypassed(host, now);
        self.hosts.keys().filter(usable).count() >= COPIES
    }
}

/// Peers that keep an entry before it counts as parked.
pub const COPIES: usize = 2;
