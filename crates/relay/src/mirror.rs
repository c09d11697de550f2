//! An in-memory copy of the store's objects, and the entry hosts that subscribe to its changes.
//!
//! Updates of one object may arrive from the store and from several hosts, late and out of order. They are ordered by
//! the revision of the object's last change: an update is applied and forwarded only if it is newer than the known
//! record. A store that was restored from a copy shows older content under newer revisions; what is known is then
//! merged with it so that nothing goes back.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::Presence;
use foxtailhoist_model::StoreEra;
use foxtailhoist_model::StoreRevision;
use foxtailhoist_route::backends::Registration;
use foxtailhoist_route::blame::Culprit;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::wire::Content;
use crate::wire::ObjectKind;
use crate::wire::Record;

/// Number of records of one kind, of any content, above which the oldest tombstone is evicted. A tombstone is the record
/// of a deleted or unreadable object; it keeps late updates from restoring the object.
const TOMBSTONE_EVICTION_THRESHOLD: usize = 1_024;
/// Maximum number of objects of one kind; further ones are ignored.
pub(crate) const MAX_OBJECTS: usize = 16_384;
/// Frames queued for a slow subscriber; one that falls further behind is disconnected and has to subscribe again.
const MAX_QUEUED_FRAMES: usize = 256;

/// A message of the feed between entry hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// All objects of a kind up to a revision of the store. With `keep_for`, missing objects may merely have expired
    /// and are kept for that time.
    Whole {
        kind: ObjectKind,
        records: Vec<Record>,
        revision: StoreRevision,
        keep_for: Option<Duration>,
    },
    /// Changes of a kind up to a revision of the store.
    Changes { kind: ObjectKind, records: Vec<Record>, revision: StoreRevision },
    /// Heartbeat with the time since the sender's state was last known to be current; absent before its first update.
    Beat { age: Option<Duration> },
}

/// The known objects with their revisions, and the subscribers to their changes.
#[derive(Default)]
pub(crate) struct Mirror {
    records: RefCell<BTreeMap<ObjectKind, BTreeMap<String, Record>>>,
    revisions: RefCell<BTreeMap<ObjectKind, StoreRevision>>,
    /// When the state was last known to match the store.
    fresh_at: Cell<Option<Instant>>,
    subscribers: RefCell<Vec<mpsc::Sender<Bytes>>>,
}

impl Mirror {
    /// Applies a record; returns what replaces the known one, or `None` if the record is not news.
    pub(crate) fn update(&self, kind: ObjectKind, record: Record) -> Option<Record> {
        let mut records = self.records.borrow_mut();
        let records = records.entry(kind).or_default();
        let record = match records.get(&record.name) {
            Some(known) => known.merge(record)?,
            None if records.len() >= MAX_OBJECTS => return None,
            None => record,
        };
        records.insert(record.name.clone(), record.clone());
        if records.len() > TOMBSTONE_EVICTION_THRESHOLD {
            evict_oldest_tombstone(records);
        }
        Some(record)
    }

    /// Names of live objects, last changed at or before `revision`, that a complete list at that revision lacks. What a
    /// restored store lacks is not deleted: of that, only servers are returned, which register again or are gone.
    pub(crate) fn missing(
        &self,
        kind: ObjectKind,
        names: &BTreeSet<String>,
        revision: StoreRevision,
    ) -> Vec<String> {
        let is_first_of_era = self.is_behind(kind, revision.era);
        let may_be_deleted = |record: &Record| match kind {
            ObjectKind::Servers => true,
            ObjectKind::Hosts => !is_first_of_era,
            ObjectKind::Configuration
            | ObjectKind::Shifts
            | ObjectKind::Suspects
            | ObjectKind::Evacuations => record.revision.era == revision.era,
        };
        let records = self.records.borrow();
        let known = records.get(&kind).into_iter().flatten();
        known
            .filter(|(name, record)| {
                !record.is_deleted()
                    && record.revision <= revision
                    && may_be_deleted(record)
                    && !names.contains(*name)
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The store's revision up to which a kind is completely known.
    pub(crate) fn revision(&self, kind: ObjectKind) -> Option<StoreRevision> {
        self.revisions.borrow().get(&kind).copied()
    }

    /// Whether a kind is known, but only from before an era.
    pub(crate) fn is_behind(&self, kind: ObjectKind, era: StoreEra) -> bool {
        self.revision(kind).is_some_and(|known| known.era < era)
    }

    /// Live objects of a kind that the restored store lacks.
    pub(crate) fn lost_in_restore(&self, kind: ObjectKind) -> Vec<Record> {
        let era = self.revision(kind).unwrap_or_default().era;
        let mut records = self.live_records(kind);
        records.retain(|record| record.revision.era < era);
        records
    }

    /// Deaths that the store's record of a culprit states; `None` without a record.
    pub(crate) fn suspect_deaths(&self, culprit: Culprit) -> Option<u32> {
        let suspects = self.live_records(ObjectKind::Suspects);
        suspects.iter().find_map(|record| match record.content {
            Content::Suspect { culprit: known, deaths } if known == culprit => Some(deaths),
            _ => None,
        })
    }

    pub(crate) fn set_revision(&self, kind: ObjectKind, revision: StoreRevision) {
        let mut revisions = self.revisions.borrow_mut();
        let known = revisions.entry(kind).or_default();
        *known = revision.max(*known);
    }

    /// Records that the state was current at a time; earlier times than the known one are ignored.
    pub(crate) fn set_fresh(&self, at: Instant) {
        let fresh_at = self.fresh_at.get().map_or(at, |known| known.max(at));
        self.fresh_at.set(Some(fresh_at));
    }

    /// Time since the state was last known to match the store.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Adds a subscriber; returns snapshots of all kinds to send first, and the frames that follow.
    pub(crate) fn subscribe(&self) -> (Vec<Bytes>, mpsc::Receiver<Bytes>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
        self.subscribers.borrow_mut().push(tx);
        let revisions = self.revisions.borrow();
        let snapshots = revisions.keys().map(|kind| encode(&self.snapshot(*kind, None)));
        (snapshots.collect(), rx)
    }

    /// All live objects of a kind.
    pub(crate) fn snapshot(&self, kind: ObjectKind, keep_for: Option<Duration>) -> Frame {
        let revision = self.revision(kind).unwrap_or_default();
        Frame::Whole { kind, records: self.live_records(kind), revision, keep_for }
    }

    /// Sends a frame to all subscribers.
    pub(crate) fn publish(&self, frame: &Frame) {
        let mut subscribers = self.subscribers.borrow_mut();
        if subscribers.is_empty() {
            return;
        }
        let bytes = encode(frame);
        subscribers.retain(|tx| tx.try_send(bytes.clone()).is_ok());
    }

    pub(crate) fn live_records(&self, kind: ObjectKind) -> Vec<Record> {
        let records = self.records.borrow();
        let known = records.get(&kind).into_iter().flatten();
        known.map(|(_, record)| record).filter(|record| !record.is_deleted()).cloned().collect()
    }
}

impl Record {
    fn is_deleted(&self) -> bool {
        matches!(self.content, Content::Deleted { .. })
    }

    pub(crate) fn is_unreadable(&self) -> bool {
        matches!(self.content, Content::Unreadable(_))
    }

    pub(crate) fn configuration_version(&self) -> Option<u64> {
        match &self.content {
            Content::Configuration(table) => Some(table.version),
            _ => None,
        }
    }

    /// Merges news of the object into this record; returns `None` if nothing changes.
    fn merge(&self, news: Record) -> Option<Record> {
        let is_newer = news.revision > self.revision;
        let is_restored = news.revision.era > self.revision.era;
        let has_more = match (&self.content, &news.content) {
            (Content::Configuration(known), Content::Configuration(new)) => {
                new.version > known.version
            }
            (Content::Suspect { deaths: known, .. }, Content::Suspect { deaths: new, .. }) => {
                new > known
            }
            _ => false,
        };
        if !is_newer && !has_more {
            return None;
        }
        let content = match (&self.content, news.content) {
            (known @ (Content::Configuration(_) | Content::Suspect { .. }), new)
                if !has_more && known.is_same_kind(&new) =>
            {
                known.clone()
            }
            (Content::Server(known), Content::Server(new)) if is_restored => {
                Content::Server(merge_restored(known, new))
            }
            // A server that has left stays away; a later start of it does not.
            (Content::Deleted { keep_for: None, started_ms }, Content::Server(new))
                if is_restored && new.started_ms <= *started_ms =>
            {
                self.content.clone()
            }
            (Content::Server(known), Content::Deleted { keep_for, .. }) => {
                Content::Deleted { keep_for, started_ms: known.started_ms }
            }
            (
                Content::Deleted { started_ms: known, .. },
                Content::Deleted { keep_for, started_ms },
            ) => Content::Deleted { keep_for, started_ms: started_ms.or(*known) },
            (_, new) => new,
        };
        let revision = news.revision.max(self.revision);
        Some(Record { name: news.name, revision, content })
    }
}

impl Content {
    fn is_same_kind(&self, other: &Content) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

/// Merges a registration that a restored store shows into the known one.
fn merge_restored(known: &Registration, restored: Registration) -> Registration {
    if known.started_ms > restored.started_ms {
        return known.clone();
    }
    let is_leaving = known.started_ms == restored.started_ms && known.presence == Presence::Leaving;
    let presence = if is_leaving { Presence::Leaving } else { restored.presence };
    Registration { presence, ..restored }
}

/// Encodes a frame: its length as four big-endian bytes, then MessagePack without field names. A host of another
/// release cannot read it and watches the store itself until all hosts run the same release.
fn encode(frame: &Frame) -> Bytes {
    let mut buf = vec![0; 4];
    if let Err(e) = rmp_serde::encode::write(&mut buf, frame) {
        // Only a bug in this program can cause this. The empty frame sent instead cannot be decoded, so the receivers
        // drop this host as a source.
        log::error!("event=frame_not_encoded reason={:?}", e.to_string());
        buf.truncate(4);
    }
    let length = u32::try_from(buf.len() - 4).unwrap_or(0);
    buf[..4].copy_from_slice(&length.to_be_bytes());
    Bytes::from(buf)
}

fn evict_oldest_tombstone(records: &mut BTreeMap<String, Record>) {
    let tombstones =
        records.iter().filter(|(_, record)| record.is_deleted() || record.is_unreadable());
    let oldest = tombstones.min_by_key(|(_, record)| record.revision).map(|(name, _)| name.clone());
    if let Some(name) = oldest {
        records.remove(&name);
    }
}
