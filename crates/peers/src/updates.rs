//! Table of the announcements that spread to every entry host.
//!
//! Each kind is a grow-only set merged by union, so the order of arrival does not matter and both sides of a partition
//! converge after it. The vetoes of a version merge to the highest epoch, and so do its clearances; a veto is in
//! effect until a clearance has a higher epoch. Suspicions, quarantines and leaving servers expire at a fixed age. The
//! age is sent along, so a copy that arrives late does not extend the lifetime.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::event::Announcement;
use crate::message::DIGEST_BUCKETS;
use crate::message::GossipUpdate;
use crate::message::MAX_GOSSIP_UPDATES;
use crate::message::combine_digests;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::stable_hash;

/// Maximum number of vetoes and, separately, of clearances. The oldest is evicted, long after the configuration has
/// recorded it.
pub const MAX_VETOED_VERSIONS: usize = 256;
/// Maximum number of suspected contents; the oldest suspicion is evicted.
pub const MAX_SUSPICIONS: usize = 512;
/// Maximum number of quarantined contents; the oldest quarantine is evicted.
pub const MAX_QUARANTINES: usize = 1024;
/// Maximum number of leaving servers; the oldest is evicted.
pub const MAX_LEAVING_SERVERS: usize = 512;
/// Age at which the suspicion of a content expires.
pub const MAX_SUSPICION_AGE: Duration = Duration::from_secs(600);
/// Age at which the quarantine of a content expires.
pub const MAX_QUARANTINE_AGE: Duration = Duration::from_secs(24 * 3600);
/// Age at which the announcement of a leaving server expires.
pub const MAX_LEAVING_AGE: Duration = Duration::from_secs(300);
/// Maximum length of a veto's reason.
pub const MAX_REASON_BYTES: usize = 160;
/// Number of gossip rounds in which a host forwards an announcement.
const FORWARD_ROUNDS: u32 = 3;

/// Announcements by topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateTable {
    entries: BTreeMap<Topic, KnownAnnouncement>,
    digests: [u64; DIGEST_BUCKETS],
    /// Topics that are still forwarded, and the number of rounds left.
    forwarding: BTreeMap<Topic, u32>,
    changed_at: Option<Instant>,
}

/// Subject of an announcement; the table holds at most one announcement for each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Topic {
    Veto(ModelVersion),
    Clearance(ModelVersion),
    Suspicion(u64),
    Quarantine(u64),
    Leaving(String),
}

#[derive(Clone, Debug)]
struct KnownAnnouncement {
    announcement: Announcement,
    /// When the announcement was first made.
    announced_at: Instant,
}

impl UpdateTable {
    /// Merges an announcement of the given age; returns whether it was new and added.
    pub fn merge(&mut self, announcement: Announcement, age: Duration, now: Instant) -> bool {
        let announcement = truncate_reason(announcement);
        let topic = Topic::of(&announcement);
        if topic.max_age().is_some_and(|max_age| age >= max_age) {
            return false;
        }
        let announced_at = now.checked_sub(age).unwrap_or(now);
        if !self.is_new(&topic, &announcement) || !self.ensure_capacity(&topic, announced_at) {
            return false;
        }
        if let Announcement::VetoCleared { model_version, epoch, .. } = &announcement {
            self.remove_cleared(model_version, *epoch);
        }
        self.remove(&topic);
        self.digests[bucket_of(&topic)] ^= digest_of(&announcement);
        self.forwarding.insert(topic.clone(), FORWARD_ROUNDS);
        self.entries.insert(topic, KnownAnnouncement { announcement, announced_at });
        self.changed_at = Some(now);
        true
    }

    /// Versions with a veto that is not cleared, and the epoch of the veto.
    pub fn vetoes(&self) -> BTreeMap<ModelVersion, u64> {
        let vetoed = self.entries.values().filter_map(|known| match &known.announcement {
            Announcement::Vetoed { model_version, epoch, .. } => {
                Some((model_version.clone(), *epoch))
            }
            _ => None,
        });
        vetoed.collect()
    }

    /// Announcements for the next gossip round; reduces their number of rounds left.
    pub fn next_round(&mut self, now: Instant) -> Vec<GossipUpdate> {
        let updates = self.forwarded(now);
        let topics: Vec<Topic> =
            updates.iter().map(|update| Topic::of(&update.announcement)).collect();
        for topic in topics {
            self.count_round(&topic);
        }
        updates
    }

    /// Announcements that are being forwarded, those with most rounds left first.
    pub fn forwarded(&self, now: Instant) -> Vec<GossipUpdate> {
        let mut topics: Vec<(&Topic, &u32)> = self.forwarding.iter().collect();
        topics.sort_by_key(|(_, rounds)| std::cmp::Reverse(**rounds));
        let known = topics.iter().filter_map(|(topic, _)| self.entries.get(topic));
        known.take(MAX_GOSSIP_UPDATES).map(|known| known.to_update(now)).collect()
    }

    /// Announcements of the buckets that differ from `digests`. Starts at position `start` and wraps around.
    pub fn differing(
        &self,
        digests: &[u64; DIGEST_BUCKETS],
        start: usize,
        now: Instant,
    ) -> Vec<GossipUpdate> {
        let differs: Vec<&KnownAnnouncement> = self
            .entries
            .iter()
            .filter(|(topic, _)| {
                let bucket = bucket_of(topic);
                self.digests[bucket] != digests[bucket]
            })
            .map(|(_, known)| known)
            .collect();
        let count = differs.len().min(MAX_GOSSIP_UPDATES);
        let known = differs.iter().cycle().skip(start % differs.len().max(1)).take(count);
        known.map(|known| known.to_update(now)).collect()
    }

    /// Removes announcements that have reached their maximum age.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<Topic> = self
            .entries
            .iter()
            .filter(|(topic, known)| known.expires_at(topic).is_some_and(|at| at <= now))
            .map(|(topic, _)| topic.clone())
            .collect();
        for topic in expired {
            self.remove(&topic);
        }
    }

    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries.iter().filter_map(|(topic, known)| known.expires_at(topic)).min()
    }

    pub fn digests(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.digests
    }

    pub fn digest(&self) -> u64 {
        combine_digests(&self.digests)
    }

    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn is_new(&self, topic: &Topic, announcement: &Announcement) -> bool {
        if let Announcement::Vetoed { model_version, epoch, .. } = announcement {
            let clearance = self.entries.get(&Topic::Clearance(model_version.clone()));
            if clearance.is_some_and(|known| known.announcement.epoch() > *epoch) {
                return false;
            }
        }
        match self.entries.get(topic) {
            None => true,
            Some(known) => known.announcement.epoch() < announcement.epoch(),
        }
    }

    /// Removes a veto that a clearance of `epoch` supersedes.
    fn remove_cleared(&mut self, model_version: &ModelVersion, epoch: u64) {
        let topic = Topic::Veto(model_version.clone());
        let is_superseded =
            self.entries.get(&topic).is_some_and(|known| known.announcement.epoch() < epoch);
        if is_superseded {
            self.remove(&topic);
        }
    }

    fn remove(&mut self, topic: &Topic) {
        if let Some(known) = self.entries.remove(topic) {
            self.digests[bucket_of(topic)] ^= digest_of(&known.announcement);
        }
        self.forwarding.remove(topic);
    }

    /// Evicts the oldest announcement of the topic's kind if the table is full; returns false if the new one is the
    /// oldest.
    fn ensure_capacity(&mut self, topic: &Topic, announced_at: Instant) -> bool {
        if self.entries.contains_key(topic) {
            return true;
        }
        let kind = std::mem::discriminant(topic);
        let same_kind =
            self.entries.iter().filter(|(other, _)| std::mem::discriminant(*other) == kind);
        if same_kind.clone().count() < topic.capacity() {
            return true;
        }
        let oldest = same_kind.min_by_key(|(_, known)| known.announced_at);
        let Some((oldest, _)) = oldest.filter(|(_, known)| known.announced_at < announced_at)
        else {
            return false;
        };
        let oldest = oldest.clone();
        self.remove(&oldest);
        true
    }

    fn count_round(&mut self, topic: &Topic) {
        let Some(rounds) = self.forwarding.get_mut(topic) else {
            return;
        };
        *rounds -= 1;
        if *rounds == 0 {
            self.forwarding.remove(topic);
        }
    }
}

impl KnownAnnouncement {
    fn expires_at(&self, topic: &Topic) -> Option<Instant> {
        topic.max_age().map(|max_age| self.announced_at + max_age)
    }

    fn to_update(&self, now: Instant) -> GossipUpdate {
        let age_ms = now.saturating_duration_since(self.announced_at).as_millis() as u64;
        GossipUpdate { announcement: self.announcement.clone(), age_ms }
    }
}

impl Topic {
    fn of(announcement: &Announcement) -> Topic {
        match announcement {
            Announcement::Vetoed { model_version, .. } => Topic::Veto(model_version.clone()),
            Announcement::VetoCleared { model_version, .. } => {
                Topic::Clearance(model_version.clone())
            }
            Announcement::Suspected { fingerprint } => Topic::Suspicion(*fingerprint),
            Announcement::Quarantined { fingerprint } => Topic::Quarantine(*fingerprint),
            Announcement::Leaving { server } => Topic::Leaving(server.clone()),
        }
    }

    /// Age at which the announcement expires; `None` for vetoes and clearances, which are kept.
    fn max_age(&self) -> Option<Duration> {
        match self {
            Topic::Veto(_) | Topic::Clearance(_) => None,
            Topic::Suspicion(_) => Some(MAX_SUSPICION_AGE),
            Topic::Quarantine(_) => Some(MAX_QUARANTINE_AGE),
            Topic::Leaving(_) => Some(MAX_LEAVING_AGE),
        }
    }

    fn capacity(&self) -> usize {
        match self {
            Topic::Veto(_) | Topic::Clearance(_) => MAX_VETOED_VERSIONS,
            Topic::Suspicion(_) => MAX_SUSPICIONS,
            Topic::Quarantine(_) => MAX_QUARANTINES,
            Topic::Leaving(_) => MAX_LEAVING_SERVERS,
        }
    }
}

impl Announcement {
    /// Orders announcements on the same topic; 0 for kinds that are never superseded.
    fn epoch(&self) -> u64 {
        match self {
            Announcement::Vetoed { epoch, .. } | Announcement::VetoCleared { epoch, .. } => *epoch,
            Announcement::Suspected { .. }
            | Announcement::Quarantined { .. }
            | Announcement::Leaving { .. } => 0,
        }
    }
}

fn truncate_reason(mut announcement: Announcement) -> Announcement {
    if let Announcement::Vetoed { reason, .. } = &mut announcement {
        reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
    }
    announcement
}

fn bucket_of(topic: &Topic) -> usize {
    let hash = match topic {
        Topic::Veto(version) | Topic::Clearance(version) => {
            stable_hash(4, &[version.model.as_bytes(), version.version.as_bytes()])
        }
        Topic::Suspicion(fingerprint) | Topic::Quarantine(fingerprint) => *fingerprint,
        Topic::Leaving(server) => stable_hash(5, &[server.as_bytes()]),
    };
    (hash % DIGEST_BUCKETS as u64) as usize
}

/// Digest of an announcement without its free text, which may differ between vetoes of the same epoch.
fn digest_of(announcement: &Announcement) -> u64 {
    match announcement {
        Announcement::Vetoed { model_version, epoch, .. } => {
            stable_hash(6, &[model_version.to_string().as_bytes(), &epoch.to_le_bytes()])
        }
        Announcement::VetoCleared { model_version, epoch, .. } => {
            stable_hash(7, &[model_version.to_string().as_bytes(), &epoch.to_le_bytes()])
        }
        Announcement::Suspected { fingerprint } => stable_hash(8, &[&fingerprint.to_le_bytes()]),
        Announcement::Quarantined { fingerprint } => stable_hash(9, &[&fingerprint.to_le_bytes()]),
        Announcement::Leaving { server } => stable_hash(10, &[server.as_bytes()]),
    }
}
