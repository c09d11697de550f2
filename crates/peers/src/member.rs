//! Table of the peers and their states.
//!
//! State changes are ordered as in SWIM (Das, Gupta and Motivala, "SWIM: Scalable weakly-consistent infection-style
//! process group membership protocol", 2002): a higher incarnation wins, and within one incarnation the state that is
//! closer to `gone`. Only the host itself announces a higher incarnation, so only the suspect can refute a suspicion.
//! The transitions are in `charts/peer.yaml`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::message::DIGEST_BUCKETS;
use crate::message::MAX_SYNC_MEMBERS;
use crate::message::MemberRecord;
use foxtailhoist_chart::Chart;
use foxtailhoist_chart::ChartError;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::stable_hash;

/// Maximum number of members. When the table is full, the member that has been gone longest is evicted; if none is
/// gone, a new member is rejected.
pub const MAX_MEMBERS: usize = 2048;
/// Time that a suspect has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without a gossip message after which a leaving host is gone.
pub const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a gone host is kept. It exceeds the lag of the host list, which would otherwise add the host again.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// State of a peer. Within one incarnation, later variants take precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    Alive,
    Suspect,
    Leaving,
    Gone,
}

/// Events of `charts/peer.yaml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerEvent {
    Suspected,
    Left,
    DeclaredGone,
    HigherIncarnation,
    Expired,
}

/// Guards of `charts/peer.yaml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerGuard {
    /// The host sent a gossip message within the departure timeout.
    Answers,
}

/// Effects of `charts/peer.yaml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerEffect {
    StartSuspicion,
    StartDeparture,
    StartRetention,
    Spread,
}

/// `charts/peer.yaml`.
pub type PeerChart = Chart<PeerState, PeerEvent, PeerGuard, PeerEffect>;

/// Parses the state chart.
///
/// # Errors
///
/// Returns an error if the chart is invalid.
pub fn peer_chart() -> Result<PeerChart, ChartError> {
    PeerChart::parse(include_str!("../../../charts/peer.yaml"))
}

/// All known peers, without this host.
#[derive(Clone, Debug)]
pub(crate) struct MemberTable {
    chart: PeerChart,
    entries: BTreeMap<EntryHostId, Entry>,
    /// Digests of the entries that are not gone, by bucket.
    digests: [u64; DIGEST_BUCKETS],
    changed_at: Option<Instant>,
}

/// A peer's record and when it last communicated with this host.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub record: MemberRecord,
    /// Revision in force that the peer last reported.
    pub revision: Revision,
    /// When the peer last sent a gossip message to this host.
    pub last_gossip_at: Option<Instant>,
    /// When a heartbeat to the peer as a link target last timed out.
    pub last_failure_at: Option<Instant>,
    expires_at: Option<Instant>,
}

impl MemberTable {
    pub fn new() -> MemberTable {
        let chart = peer_chart().expect("charts/peer.yaml is embedded and valid");
        MemberTable {
            chart,
            entries: BTreeMap::new(),
            digests: [0; DIGEST_BUCKETS],
            changed_at: None,
        }
    }

    pub fn get(&self, host: &EntryHostId) -> Option<&Entry> {
        self.entries.get(host)
    }

    pub fn get_mut(&mut self, host: &EntryHostId) -> Option<&mut Entry> {
        self.entries.get_mut(host)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn address(&self, host: &EntryHostId) -> Option<SocketAddr> {
        self.entries.get(host).map(|entry| entry.record.address)
    }

    /// Members of a data centre that are not gone.
    pub fn present_in(&self, data_centre: &DataCentreId) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |entry| {
            entry.record.data_centre == *data_centre && entry.record.state != PeerState::Gone
        })
    }

    /// Time of the last change of any member.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    pub fn digests(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.digests
    }

    /// Merges a record; returns whether it added a member or changed a state, address or incarnation.
    pub fn merge(&mut self, record: &MemberRecord, now: Instant) -> bool {
        let Some(entry) = self.entries.get(&record.host) else {
            return self.insert(record, now);
        };
        let known = &entry.record;
        if record.incarnation < known.incarnation {
            return false;
        }
        let higher = record.incarnation > known.incarnation;
        if !higher && record.state <= known.state {
            return false;
        }
        if higher {
            self.apply_incarnation(record);
            self.step(&record.host, PeerEvent::HigherIncarnation, now);
        }
        let event = match record.state {
            PeerState::Alive => None,
            PeerState::Suspect => Some(PeerEvent::Suspected),
            PeerState::Leaving => Some(PeerEvent::Left),
            PeerState::Gone => Some(PeerEvent::DeclaredGone),
        };
        let stepped = event.is_some_and(|event| self.step(&record.host, event, now));
        higher || stepped
    }

    /// Applies an event of the chart; returns whether the change is to be spread.
    pub fn step(&mut self, host: &EntryHostId, event: PeerEvent, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(host) else {
            return false;
        };
        let answers = entry.last_gossip_at.is_some_and(|at| now < at + DEPARTURE_TIMEOUT);
        let Some(transition) =
            self.chart.step(entry.record.state, event, |PeerGuard::Answers| answers)
        else {
            return false;
        };
        let before = digest_of(&entry.record);
        entry.record.state = transition.to;
        entry.expires_at = None;
        let mut spread = false;
        for effect in &transition.effects {
            match effect {
                PeerEffect::StartSuspicion => entry.expires_at = Some(now + SUSPICION_TIMEOUT),
                PeerEffect::StartDeparture => entry.expires_at = Some(now + DEPARTURE_TIMEOUT),
                PeerEffect::StartRetention => entry.expires_at = Some(now + GONE_RETENTION),
                PeerEffect::Spread => spread = true,
            }
        }
        self.digests[bucket_of(host)] ^= before ^ digest_of(&entry.record);
        self.changed_at = Some(now);
        spread
    }

    /// Applies expired timeouts; returns the hosts whose change is to be spread.
    pub fn expire(&mut self, now: Instant) -> Vec<EntryHostId> {
        let due: Vec<EntryHostId> = self
            .entries
            .values()
            .filter(|entry| entry.expires_at.is_some_and(|at| at <= now))
            .map(|entry| entry.record.host.clone())
            .collect();
        let mut changed = Vec::new();
        for host in due {
            let gone = self.get(&host).is_some_and(|entry| entry.record.state == PeerState::Gone);
            if gone {
                self.entries.remove(&host);
            } else if self.step(&host, PeerEvent::Expired, now) {
                changed.push(host);
            }
        }
        changed
    }

    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries.values().filter_map(|entry| entry.expires_at).min()
    }

    /// Records of the buckets that differ from `digests`, gone members included. Starts at position `start` and wraps
    /// around.
    pub fn differing(&self, digests: &[u64; DIGEST_BUCKETS], start: usize) -> Vec<MemberRecord> {
        let differs: Vec<&Entry> = self
            .entries
            .values()
            .filter(|entry| {
                let bucket = bucket_of(&entry.record.host);
                self.digests[bucket] != digests[bucket]
            })
            .collect();
        let records = differs.iter().cycle().skip(start % differs.len().max(1));
        let count = differs.len().min(MAX_SYNC_MEMBERS);
        records.take(count).map(|entry| entry.record.clone()).collect()
    }

    /// Adds this host's own record, which is not in the table, to `digests`; removes it from digests of a peer, which
    /// contain it.
    pub fn toggle_own_record(
        mut digests: [u64; DIGEST_BUCKETS],
        own: &MemberRecord,
    ) -> [u64; DIGEST_BUCKETS] {
        digests[bucket_of(&own.host)] ^= digest_of(own);
        digests
    }

    fn insert(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if record.state == PeerState::Gone || !self.ensure_capacity() {
            return false;
        }
        let mut entry = Entry {
            record: record.clone(),
            revision: 0,
            last_gossip_at: None,
            last_failure_at: None,
            expires_at: None,
        };
        entry.record.state = self.chart.initial();
        self.digests[bucket_of(&record.host)] ^= digest_of(&entry.record);
        self.entries.insert(record.host.clone(), entry);
        self.changed_at = Some(now);
        match record.state {
            PeerState::Suspect => self.step(&record.host, PeerEvent::Suspected, now),
            PeerState::Leaving => self.step(&record.host, PeerEvent::Left, now),
            PeerState::Alive | PeerState::Gone => true,
        };
        true
    }

    fn ensure_capacity(&mut self) -> bool {
        if self.entries.len() < MAX_MEMBERS {
            return true;
        }
        let gone = self.entries.values().filter(|entry| entry.record.state == PeerState::Gone);
        let Some(host) =
            gone.min_by_key(|entry| entry.expires_at).map(|entry| entry.record.host.clone())
        else {
            return false;
        };
        self.entries.remove(&host);
        true
    }

    /// Updates address, data centre and incarnation from a record with a higher incarnation.
    fn apply_incarnation(&mut self, record: &MemberRecord) {
        let Some(entry) = self.entries.get_mut(&record.host) else {
            return;
        };
        let bucket = bucket_of(&record.host);
        self.digests[bucket] ^= digest_of(&entry.record);
        entry.record.incarnation = record.incarnation;
        entry.record.address = record.address;
        entry.record.data_centre.clone_from(&record.data_centre);
        self.digests[bucket] ^= digest_of(&entry.record);
    }
}

fn bucket_of(host: &EntryHostId) -> usize {
    (stable_hash(2, &[host.as_bytes()]) % DIGEST_BUCKETS as u64) as usize
}

/// Digest of the state on which all hosts converge. Suspicion is temporary and gone hosts are removed at different
/// times on each host, so neither is included.
fn digest_of(record: &MemberRecord) -> u64 {
    let leaving = match record.state {
        PeerState::Gone => return 0,
        PeerState::Leaving => [1],
        PeerState::Alive | PeerState::Suspect => [0],
    };
    stable_hash(3, &[record.host.as_bytes(), &record.incarnation.to_le_bytes(), &leaving])
}
