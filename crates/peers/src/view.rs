//! Who speaks with whom, as the member table implies it.
//!
//! Within a data centre the hosts form a ring by hash; between data centres the names do. Both are functions of the
//! member table, so hosts with the same table agree without a word. The number of links has a bound that the size of
//! the fleet does not change.

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

/// Distances along the ring of a data centre's hosts to those that get a heartbeat.
const RING_STEPS: [usize; 2] = [1, 2];
/// Distances along the ring of data centres to those that the delegate and the deputy link to.
const CENTRE_STEPS: [[usize; 2]; WATCHERS] = [[1, 4], [2, 8]];
/// Hosts of each data centre that hold watches and link to other data centres.
const WATCHERS: usize = 2;

/// Rings and roles.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Hosts of the own data centre by ring order, from this host's successor on.
    ring: Vec<EntryHostId>,
    /// Other data centres, from the own one's successor on.
    centre_ring: Vec<DataCentreId>,
    /// Hosts of each data centre by rank; delegate, then deputy, then the rest.
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
        let alive = |state| matches!(state, PeerState::Alive | PeerState::Suspect);
        let records = members.iter().map(|entry| &entry.record).chain([own]);
        for record in records.filter(|record| alive(record.state)) {
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

    /// Hosts of the own data centre that get a heartbeat: ring neighbours, the opposite one, and one at random.
    pub fn targets(&self, rng: &mut ChaCha8Rng) -> Vec<EntryHostId> {
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

    /// Hosts to ask for a probe of `target`, at random.
    pub fn helpers(
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

    /// Data centres that a watcher links to, and one at random.
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
    pub fn centres(&self) -> &[DataCentreId] {
        &self.centre_ring
    }

    /// Hosts of a data centre by rank.
    pub fn ranked(&self, data_centre: &DataCentreId) -> &[EntryHostId] {
        self.ranked.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Delegate of a data centre: it sums evidence and judges which data centres are reachable.
    pub fn delegate(&self, data_centre: &DataCentreId) -> Option<&EntryHostId> {
        self.ranked(data_centre).first()
    }

    /// Whether a host holds watches and links to other data centres.
    pub fn is_watcher(&self, data_centre: &DataCentreId, host: &EntryHostId) -> bool {
        self.ranked(data_centre).iter().take(WATCHERS).any(|watcher| watcher == host)
    }

    /// Watchers of a data centre, this host left out.
    pub fn other_watchers<'a>(
        &'a self,
        data_centre: &DataCentreId,
        host: &'a EntryHostId,
    ) -> impl Iterator<Item = &'a EntryHostId> {
        self.ranked(data_centre).iter().take(WATCHERS).filter(move |watcher| *watcher != host)
    }
}
