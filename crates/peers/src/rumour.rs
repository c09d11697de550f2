//! Table of the announcements that spread to every entry host.
//!
//! Each is a set that only grows, merged by union, so the order of arrival does not matter and two halves of a
//! partition agree after it. A version's vetoes merge to the highest epoch, its clearances too; a veto holds while no
//! clearance has a higher epoch. Suspicions, quarantines and leaving marks expire at a fixed age, which travels with
//! them, so a copy that arrives late does not start a new life.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::event::Announcement;
use crate::message::BUCKETS;
use crate::message::GOSSIP_RUMOURS;
use crate::message::Rumour;
use crate::message::combined;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::stable_hash;

/// Most vetoes and clearances, each; the oldest is evicted, long after the configuration has recorded it.
pub const VETOED_VERSIONS: usize = 256;
/// Most suspicions, quarantines and leaving marks, each; the oldest is evicted.
pub const SUSPICIONS: usize = 512;
pub const QUARANTINES: usize = 1024;
pub const LEAVING_MARKS: usize = 512;
/// Age at which a suspicion, a quarantine and a leaving mark is dropped.
pub const SUSPICION_AGE: Duration = Duration::from_secs(600);
pub const QUARANTINE_AGE: Duration = Duration::from_secs(24 * 3600);
pub const LEAVING_AGE: Duration = Duration::from_secs(300);
/// Longest reason of a veto, in bytes.
pub const REASON_BYTES: usize = 160;
/// Gossip rounds in which a host passes an announcement on.
const ROUNDS: u32 = 3;

/// Announcements by what they are about.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumourTable {
    entries: BTreeMap<Topic, Heard>,
    digests: [u64; BUCKETS],
    /// Topics that are still passed on, and in how many rounds.
    spreading: BTreeMap<Topic, u32>,
    changed_at: Option<Instant>,
}

/// What an announcement is about; at most one is kept for each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Topic {
    Veto(ModelVersion),
    Clearance(ModelVersion),
    Suspicion(u64),
    Quarantine(u64),
    Leaving(String),
}

#[derive(Clone, Debug)]
struct Heard {
    announcement: Announcement,
    /// When it was announced first.
    at: Instant,
}

impl RumourTable {
    /// Merges an announcement of the given age; true when it tells something new.
    pub fn merge(&mut self, announcement: Announcement, age: Duration, now: Instant) -> bool {
        let announcement = bounded(announcement);
        let topic = Topic::of(&announcement);
        if topic.longest_age().is_some_and(|longest| age >= longest) {
            return false;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        if !self.is_news(&topic, &announcement) || !self.make_room(&topic, at) {
            return false;
        }
        if let Announcement::VetoCleared { model_version, epoch, .. } = &announcement {
            self.drop_cleared(model_version, *epoch);
        }
        self.remove(&topic);
        self.digests[bucket_of(&topic)] ^= digest_of(&announcement);
        self.spreading.insert(topic.clone(), ROUNDS);
        self.entries.insert(topic, Heard { announcement, at });
        self.changed_at = Some(now);
        true
    }

    /// Versions with a veto that no operator has cleared, and its epoch.
    pub fn vetoes(&self) -> BTreeMap<ModelVersion, u64> {
        let vetoed = self.entries.values().filter_map(|heard| match &heard.announcement {
            Announcement::Vetoed { model_version, epoch, .. } => {
                Some((model_version.clone(), *epoch))
            }
            _ => None,
        });
        vetoed.collect()
    }

    /// Announcements for one gossip round.
    pub fn take_round(&mut self, now: Instant) -> Vec<Rumour> {
        let rumours = self.spreading_now(now);
        let topics: Vec<Topic> =
            rumours.iter().map(|rumour| Topic::of(&rumour.announcement)).collect();
        for topic in topics {
            self.count_round(&topic);
        }
        rumours
    }

    /// Announcements that are being spread, those with most rounds left first.
    pub fn spreading_now(&self, now: Instant) -> Vec<Rumour> {
        let mut topics: Vec<(&Topic, &u32)> = self.spreading.iter().collect();
        topics.sort_by_key(|(_, rounds)| std::cmp::Reverse(**rounds));
        let heard = topics.iter().filter_map(|(topic, _)| self.entries.get(topic));
        heard.take(GOSSIP_RUMOURS).map(|heard| heard.to_rumour(now)).collect()
    }

    /// Announcements of the buckets that differ from `digests`, from `start` on and around.
    pub fn differing(&self, digests: &[u64; BUCKETS], start: usize, now: Instant) -> Vec<Rumour> {
        let differs: Vec<&Heard> = self
            .entries
            .iter()
            .filter(|(topic, _)| {
                let bucket = bucket_of(topic);
                self.digests[bucket] != digests[bucket]
            })
            .map(|(_, heard)| heard)
            .collect();
        let count = differs.len().min(GOSSIP_RUMOURS);
        let heard = differs.iter().cycle().skip(start % differs.len().max(1)).take(count);
        heard.map(|heard| heard.to_rumour(now)).collect()
    }

    /// Drops what has reached its age.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<Topic> = self
            .entries
            .iter()
            .filter(|(topic, heard)| heard.expires_at(topic).is_some_and(|at| at <= now))
            .map(|(topic, _)| topic.clone())
            .collect();
        for topic in expired {
            self.remove(&topic);
        }
    }

    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries.iter().filter_map(|(topic, heard)| heard.expires_at(topic)).min()
    }

    pub fn digests(&self) -> &[u64; BUCKETS] {
        &self.digests
    }

    pub fn digest(&self) -> u64 {
        combined(&self.digests)
    }

    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn is_news(&self, topic: &Topic, announcement: &Announcement) -> bool {
        if let Announcement::Vetoed { model_version, epoch, .. } = announcement {
            let clearance = self.entries.get(&Topic::Clearance(model_version.clone()));
            if clearance.is_some_and(|heard| heard.announcement.epoch() > *epoch) {
                return false;
            }
        }
        match self.entries.get(topic) {
            None => true,
            Some(known) => known.announcement.epoch() < announcement.epoch(),
        }
    }

    /// Drops a veto that a clearance of `epoch` lifts.
    fn drop_cleared(&mut self, model_version: &ModelVersion, epoch: u64) {
        let topic = Topic::Veto(model_version.clone());
        let lifted =
            self.entries.get(&topic).is_some_and(|heard| heard.announcement.epoch() < epoch);
        if lifted {
            self.remove(&topic);
        }
    }

    fn remove(&mut self, topic: &Topic) {
        if let Some(heard) = self.entries.remove(topic) {
            self.digests[bucket_of(topic)] ^= digest_of(&heard.announcement);
        }
        self.spreading.remove(topic);
    }

    /// Evicts the oldest of the topic's kind when its table is full; false when that is the new one.
    fn make_room(&mut self, topic: &Topic, at: Instant) -> bool {
        if self.entries.contains_key(topic) {
            return true;
        }
        let kind = std::mem::discriminant(topic);
        let same_kind =
            self.entries.iter().filter(|(other, _)| std::mem::discriminant(*other) == kind);
        if same_kind.clone().count() < topic.bound() {
            return true;
        }
        let oldest = same_kind.min_by_key(|(_, heard)| heard.at);
        let Some((oldest, _)) = oldest.filter(|(_, heard)| heard.at < at) else {
            return false;
        };
        let oldest = oldest.clone();
        self.remove(&oldest);
        true
    }

    fn count_round(&mut self, topic: &Topic) {
        let Some(rounds) = self.spreading.get_mut(topic) else {
            return;
        };
        *rounds -= 1;
        if *rounds == 0 {
            self.spreading.remove(topic);
        }
    }
}

impl Heard {
    fn expires_at(&self, topic: &Topic) -> Option<Instant> {
        topic.longest_age().map(|longest| self.at + longest)
    }

    fn to_rumour(&self, now: Instant) -> Rumour {
        let age_ms = now.saturating_duration_since(self.at).as_millis() as u64;
        Rumour { announcement: self.announcement.clone(), age_ms }
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

    /// Age at which the announcement is dropped; `None` for vetoes and clearances, which are kept.
    fn longest_age(&self) -> Option<Duration> {
        match self {
            Topic::Veto(_) | Topic::Clearance(_) => None,
            Topic::Suspicion(_) => Some(SUSPICION_AGE),
            Topic::Quarantine(_) => Some(QUARANTINE_AGE),
            Topic::Leaving(_) => Some(LEAVING_AGE),
        }
    }

    fn bound(&self) -> usize {
        match self {
            Topic::Veto(_) | Topic::Clearance(_) => VETOED_VERSIONS,
            Topic::Suspicion(_) => SUSPICIONS,
            Topic::Quarantine(_) => QUARANTINES,
            Topic::Leaving(_) => LEAVING_MARKS,
        }
    }
}

impl Announcement {
    /// Number that orders announcements about the same thing; 0 where there is one only.
    fn epoch(&self) -> u64 {
        match self {
            Announcement::Vetoed { epoch, .. } | Announcement::VetoCleared { epoch, .. } => *epoch,
            Announcement::Suspected { .. }
            | Announcement::Quarantined { .. }
            | Announcement::Leaving { .. } => 0,
        }
    }
}

fn bounded(mut announcement: Announcement) -> Announcement {
    if let Announcement::Vetoed { reason, .. } = &mut announcement {
        reason.truncate(reason.floor_char_boundary(REASON_BYTES));
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
    (hash % BUCKETS as u64) as usize
}

/// Digest without the free text, in which two vetoes of one epoch may differ.
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
