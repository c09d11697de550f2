//! Table of the peers and their states.
//!
//! A state change is ordered as in SWIM (Das, Gupta and Motivala, "SWIM: Scalable weakly-consistent infection-style
//! process group membership protocol", 2002): a higher incarnation wins, and within one incarnation the state that is
//! nearer to `gone`. Only the host itself announces a higher incarnation, so a false suspicion is refuted by the
//! suspect and by nobody else. The transitions are in `charts/peer.yaml`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::message::BUCKETS;
use crate::message::MemberRecord;
use crate::message::SYNC_MEMBERS;
use foxtailhoist_chart::Chart;
use foxtailhoist_chart::ChartError;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::stable_hash;

/// Most members; when full, the longest gone is evicted, and without one a new member is refused.
pub const MEMBERS: usize = 2048;
/// Time in which a suspect can refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without an answer after which a leaving host is gone.
pub const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a gone host is remembered, longer than the host list lags.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// State of a peer, in the order of precedence within one incarnation.
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
    /// The host answered within the departure time-out.
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

/// Reads the chart.
///
/// # Errors
///
/// Returns the chart's fault.
pub fn peer_chart() -> Result<PeerChart, ChartError> {
    PeerChart::parse(include_str!("../../../charts/peer.yaml"))
}

/// Peers, this host left out.
#[derive(Clone, Debug)]
pub(crate) struct MemberTable {
    chart: PeerChart,
    entries: BTreeMap<EntryHostId, Entry>,
    /// Digest of the entries that are not gone, by bucket.
    digests: [u64; BUCKETS],
    changed_at: Option<Instant>,
}

/// One peer.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub record: MemberRecord,
    /// Revision that it last said to have in force.
    pub revision: Revision,
    /// When it last sent something to this host.
    pub heard_at: Option<Instant>,
    /// When a message to it last went unanswered.
    pub failed_at: Option<Instant>,
    expires_at: Option<Instant>,
}

impl MemberTable {
    pub fn new() -> MemberTable {
        let chart = peer_chart().expect("a test parses the file that is compiled in");
        MemberTable { chart, entries: BTreeMap::new(), digests: [0; BUCKETS], changed_at: None }
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

    /// Last change of any member's state.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    pub fn digests(&self) -> &[u64; BUCKETS] {
        &self.digests
    }

    /// Merges a record; true when it changed a member's state, place or incarnation.
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
            self.restart(record);
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

    /// Takes an event of the chart; true when the change is to be spread.
    pub fn step(&mut self, host: &EntryHostId, event: PeerEvent, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(host) else {
            return false;
        };
        let answers = entry.heard_at.is_some_and(|at| now < at + DEPARTURE_TIMEOUT);
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

    /// Takes the time-outs that have passed; returns the hosts whose change is to be spread.
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

    /// Records of the buckets that differ from `digests`, gone ones included, from `start` on and around.
    pub fn differing(&self, digests: &[u64; BUCKETS], start: usize) -> Vec<MemberRecord> {
        let differs: Vec<&Entry> = self
            .entries
            .values()
            .filter(|entry| {
                let bucket = bucket_of(&entry.record.host);
                self.digests[bucket] != digests[bucket]
            })
            .collect();
        let records = differs.iter().cycle().skip(start % differs.len().max(1));
        let count = differs.len().min(SYNC_MEMBERS);
        records.take(count).map(|entry| entry.record.clone()).collect()
    }

    /// Digest and bucket of a record that is not in the table: the host's own.
    pub fn fold_own(mut digests: [u64; BUCKETS], own: &MemberRecord) -> [u64; BUCKETS] {
        digests[bucket_of(&own.host)] ^= digest_of(own);
        digests
    }

    fn insert(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if record.state == PeerState::Gone || !self.make_room() {
            return false;
        }
        let mut entry = Entry {
            record: record.clone(),
            revision: 0,
            heard_at: None,
            failed_at: None,
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

    fn make_room(&mut self) -> bool {
        if self.entries.len() < MEMBERS {
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

    /// Takes place and incarnation of a host's new start.
    fn restart(&mut self, record: &MemberRecord) {
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
    (stable_hash(2, &[host.as_bytes()]) % BUCKETS as u64) as usize
}

/// Digest of what all hosts agree on in the end: suspicion passes, and gone hosts are forgotten at unlike times.
fn digest_of(record: &MemberRecord) -> u64 {
    let leaving = match record.state {
        PeerState::Gone => return 0,
        PeerState::Leaving => [1],
        PeerState::Alive | PeerState::Suspect => [0],
    };
    stable_hash(3, &[record.host.as_bytes(), &record.incarnation.to_le_bytes(), &leaving])
}
