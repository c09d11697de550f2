//! An in-memory copy of the store's objects, and the entry hosts that subscribe to its changes.
//!
//! Updates of one object may arrive from the store and from several hosts, late and out of order. They are ordered by
//! the revision of the object's last change: an update is applied and forwarded only if it is newer than the known
//! record.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::wire::Content;
use crate::wire::ObjectKind;
use crate::wire::Record;

/// Number of records of one kind, live and deleted, above which the oldest tombstone is evicted. A tombstone is the
/// record of a deleted object; it keeps late updates from restoring the object.
const TOMBSTONE_EVICTION_THRESHOLD: usize = 1_024;
/// Frames queued for a slow subscriber; one that falls further behind is disconnected and has to subscribe again.
const MAX_QUEUED_FRAMES: usize = 256;

/// A message of the feed between entry hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// All objects of a kind up to a revision of the store. With `keep_for`, missing objects may merely have expired
    /// and are kept for that time.
    Whole { kind: ObjectKind, records: Vec<Record>, revision: u64, keep_for: Option<Duration> },
    /// Changes of a kind up to a revision of the store.
    Changes { kind: ObjectKind, records: Vec<Record>, revision: u64 },
    /// Heartbeat with the time since the sender's state was last known to be current; absent before its first update.
    Beat { age: Option<Duration> },
}

/// The known objects with their revisions, and the subscribers to their changes.
#[derive(Default)]
pub(crate) struct Mirror {
    records: RefCell<BTreeMap<ObjectKind, BTreeMap<String, Record>>>,
    revisions: RefCell<BTreeMap<ObjectKind, u64>>,
    /// When the state was last known to match the store.
    fresh_at: Cell<Option<Instant>>,
    subscribers: RefCell<Vec<mpsc::Sender<Bytes>>>,
}

impl Mirror {
    /// Applies a record; returns whether it is newer than the known one.
    pub(crate) fn update(&self, kind: ObjectKind, record: &Record) -> bool {
        let mut records = self.records.borrow_mut();
        let records = records.entry(kind).or_default();
        let known = records.get(&record.name);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        records.insert(record.name.clone(), record.clone());
        if records.len() > TOMBSTONE_EVICTION_THRESHOLD {
            evict_oldest_tombstone(records);
        }
        true
    }

    /// Names of live objects, last changed at or before `revision`, that a complete list at that revision lacks.
    pub(crate) fn missing(
        &self,
        kind: ObjectKind,
        names: &BTreeSet<String>,
        revision: u64,
    ) -> Vec<String> {
        let records = self.records.borrow();
        let known = records.get(&kind).into_iter().flatten();
        known
            .filter(|(name, record)| {
                !record.is_deleted() && record.revision <= revision && !names.contains(*name)
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The store's revision up to which a kind is completely known.
    pub(crate) fn revision(&self, kind: ObjectKind) -> Option<u64> {
        self.revisions.borrow().get(&kind).copied()
    }

    pub(crate) fn set_revision(&self, kind: ObjectKind, revision: u64) {
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
        let revision = self.revision(kind).unwrap_or(0);
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

    fn live_records(&self, kind: ObjectKind) -> Vec<Record> {
        let records = self.records.borrow();
        let known = records.get(&kind).into_iter().flatten();
        known.map(|(_, record)| record).filter(|record| !record.is_deleted()).cloned().collect()
    }
}

impl Record {
    fn is_deleted(&self) -> bool {
        matches!(self.content, Content::Deleted { .. })
    }
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
    let deleted = records.iter().filter(|(_, record)| record.is_deleted());
    let oldest = deleted.min_by_key(|(_, record)| record.revision).map(|(name, _)| name.clone());
    if let Some(name) = oldest {
        records.remove(&name);
    }
}
