//! Communication topology and roles, derived from the member table.
//!
//! The hosts of a data centre form a ring ordered by hash, and so do the data centres. Both rings are functions of the
//! member table, so hosts with the same table agree without coordination. The first two hosts of a data centre by rank,
//! its delegate and its deputy, are its watchers: they watch the configuration in the store and exchange gossip and
//! tallies over links to hosts of other data centres and to each other. The number of links per host has a bound that
//! does not depend on the size of the fleet.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::hash::rank;
use crate::member::MemberTable;
use crate::member::PeerState;
use crate::message::MemberRecord;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::stable_hash;

/// Distances along the host ring to the hosts that receive a heartbeat.
const RING_STEPS: [usize; 2] = [1, 2];
/// Distances along the data centre ring to the data centres that the delegate and the deputy link to.
const CENTRE_STEPS: [[usize; 2]; WATCHERS_PER_CENTRE] = [[1, 4], [2, 8]];
/// Number of hosts of each data centre that watch the store and link to other data centres.
const WATCHERS_PER_CENTRE: usize = 2;

/// Rings and roles.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Hosts of the own data centre in ring order, starting with this host's successor.
    ring: Vec<EntryHostId>,
    /// Other data centres in ring order, starting with the successor of the own one.
    centre_ring: Vec<DataCentreId>,
    /// Hosts of each data centre by rank: the delegate, the deputy, then the others.
    ranked: BTreeMap<DataCentreId, Vec<EntryHostId>>,
}

impl View {
    pub fn of(own: &MemberRecord, members: &MemberTable) -> View {
        let ring_hash = |host: &EntryHostId| stable_hash(20, &[host.as_bytes()]);
        let mut ring: Vec<(u64, EntryHostId)> = members
            .present_in(&own.data_centre)
            .map(|entry| (ring_hash(&entry.record.host), entry.record.host.clone()))
            .collect();
        ring.sort_unstable();
        let after = ring.partition_point(|(hash, _)| *hash <= ring_hash(&own.host));
        ring.rotate_left(after);

        let mut ranked: BTreeMap<DataCentreId, Vec<EntryHostId>> = BTreeMap::new();
        let is_alive = |state| matches!(state, PeerState::Alive | PeerState::Suspect);
        let records = members.iter().map(|entry| &entry.record).chain([own]);
        for record in records.filter(|record| is_alive(record.state)) {
            ranked.entry(record.data_centre.clone()).or_default().push(record.host.clone());
        }
        for (data_centre, hosts) in &mut ranked {
            hosts.sort_by_cached_key(|host| rank(data_centre.as_bytes(), host));
        }

        let mut centres: Vec<(u64, DataCentreId)> = ranked
            .keys()
            .filter(|name| **name != own.data_centre)
            .map(|name| (stable_hash(21, &[name.as_bytes()]), name.clone()))
            .collect();
        centres.sort_unstable();
        let own_hash = stable_hash(21, &[own.data_centre.as_bytes()]);
        let after = centres.partition_point(|(hash, _)| *hash <= own_hash);
        centres.rotate_left(after);
        View {
            ring: ring.into_iter().map(|(_, host)| host).collect(),
            centre_ring: centres.into_iter().map(|(_, name)| name).collect(),
            ranked,
        }
    }

    /// Hosts of the own data centre that receive a heartbeat: successors on the ring, the opposite host and a random
    /// one.
    pub fn heartbeat_targets(&self, rng: &mut ChaCha8Rng) -> Vec<EntryHostId> {
        let steps = RING_STEPS.into_iter().chain([self.ring.len().div_ceil(2)]);
        let mut targets: Vec<EntryHostId> =
            steps.filter_map(|step| self.ring.get(step.checked_sub(1)?)).cloned().collect();
        if !self.ring.is_empty() {
            targets.push(self.ring[rng.random_range(0..self.ring.len())].clone());
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Random hosts that are asked to probe `target`.
    pub fn probe_helpers(
        &self,
        target: &EntryHostId,
        count: usize,
        rng: &mut ChaCha8Rng,
    ) -> Vec<EntryHostId> {
        let mut others: Vec<&EntryHostId> =
            self.ring.iter().filter(|host| *host != target).collect();
        let mut helpers = Vec::new();
        while helpers.len() < count && !others.is_empty() {
            let index = rng.random_range(0..others.len());
            helpers.push(others.swap_remove(index).clone());
        }
        helpers
    }

    /// Data centres that the delegate or the deputy links to, and a random one.
    pub fn linked_centres(&self, delegate: bool, rng: &mut ChaCha8Rng) -> Vec<&DataCentreId> {
        let steps = CENTRE_STEPS[usize::from(!delegate)];
        let mut linked: Vec<&DataCentreId> =
            steps.iter().filter_map(|step| self.centre_ring.get(step - 1)).collect();
        if !self.centre_ring.is_empty() {
            linked.push(&self.centre_ring[rng.random_range(0..self.centre_ring.len())]);
        }
        linked.sort_unstable();
        linked.dedup();
        linked
    }

    /// Other data centres.
    pub fn other_centres(&self) -> &[DataCentreId] {
        &self.centre_ring
    }

    /// Hosts of a data centre by rank.
    pub fn ranked(&self, data_centre: &DataCentreId) -> &[EntryHostId] {
        self.ranked.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Delegate of a data centre, which sums tallies and decides which data centres are reachable.
    pub fn delegate(&self, data_centre: &DataCentreId) -> Option<&EntryHostId> {
        self.ranked(data_centre).first()
    }

    /// Whether a host watches the store and links to other data centres.
    pub fn is_watcher(&self, data_centre: &DataCentreId, host: &EntryHostId) -> bool {
        self.ranked(data_centre).iter().take(WATCHERS_PER_CENTRE).any(|watcher| watcher == host)
    }

    /// Watchers of a data centre without `host`.
    pub fn other_watchers<'a>(
        &'a self,
        data_centre: &DataCentreId,
        host: &'a EntryHostId,
    ) -> impl Iterator<Item = &'a EntryHostId> {
        self.ranked(data_centre)
            .iter()
            .take(WATCHERS_PER_CENTRE)
            .filter(move |watcher| *watcher != host)
    }
}
