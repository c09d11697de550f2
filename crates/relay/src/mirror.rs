//! What this host knows of the store's objects, and who takes the news from it.
//!
//! News of one object may come from the store and from several hosts, late and crossed. The revision of an object's
//! last change orders them: only what is newer than what is known counts, and only that is passed on.

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

/// Deleted objects whose revision is remembered.
const TOMBSTONES_MAX: usize = 1_024;
/// Frames that wait for a slow listener; one that is further behind is cut off and starts again.
const FRAMES_MAX: usize = 256;

/// A piece of news between entry hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// All objects of a kind up to a revision of the store. What is missing may only have lapsed, for that long.
    Whole { kind: ObjectKind, records: Vec<Record>, revision: u64, keep_for: Option<Duration> },
    /// Changes of a kind up to a revision of the store.
    Changes { kind: ObjectKind, records: Vec<Record>, revision: u64 },
    /// Time since the sender's news were certainly the store's newest; absent before the first news.
    Beat { age: Option<Duration> },
}

/// Objects, their revisions, and listeners.
#[derive(Default)]
pub(crate) struct Mirror {
    records: RefCell<BTreeMap<ObjectKind, BTreeMap<String, Record>>>,
    revisions: RefCell<BTreeMap<ObjectKind, u64>>,
    /// When the news were certainly the store's newest.
    fresh_at: Cell<Option<Instant>>,
    listeners: RefCell<Vec<mpsc::Sender<Bytes>>>,
}

impl Mirror {
    /// Takes in a record; whether it is news.
    pub(crate) fn take(&self, kind: ObjectKind, record: &Record) -> bool {
        let mut records = self.records.borrow_mut();
        let records = records.entry(kind).or_default();
        let known = records.get(&record.name);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        records.insert(record.name.clone(), record.clone());
        if records.len() > TOMBSTONES_MAX {
            forget_oldest_tombstone(records);
        }
        true
    }

    /// Names known and not deleted up to a revision that a whole list at that revision does not show.
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

    /// The store's revision up to which a kind is known whole.
    pub(crate) fn revision(&self, kind: ObjectKind) -> Option<u64> {
        self.revisions.borrow().get(&kind).copied()
    }

    pub(crate) fn set_revision(&self, kind: ObjectKind, revision: u64) {
        let mut revisions = self.revisions.borrow_mut();
        let known = revisions.entry(kind).or_default();
        *known = revision.max(*known);
    }

    /// The news are as fresh as they were at that time.
    pub(crate) fn set_fresh(&self, at: Instant) {
        let fresh_at = self.fresh_at.get().map_or(at, |known| known.max(at));
        self.fresh_at.set(Some(fresh_at));
    }

    /// Time since the news were certainly the store's newest.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Registers a listener; the frames that tell it all that is known come first.
    pub(crate) fn listen(&self) -> (Vec<Bytes>, mpsc::Receiver<Bytes>) {
        let (tx, rx) = mpsc::channel(FRAMES_MAX);
        self.listeners.borrow_mut().push(tx);
        let revisions = self.revisions.borrow();
        let whole = revisions.keys().map(|kind| encode(&self.whole(*kind, None)));
        (whole.collect(), rx)
    }

    /// All that is known of a kind.
    pub(crate) fn whole(&self, kind: ObjectKind, keep_for: Option<Duration>) -> Frame {
        let revision = self.revision(kind).unwrap_or(0);
        Frame::Whole { kind, records: self.living(kind), revision, keep_for }
    }

    /// Sends a frame to all listeners.
    pub(crate) fn publish(&self, frame: &Frame) {
        let mut listeners = self.listeners.borrow_mut();
        if listeners.is_empty() {
            return;
        }
        let bytes = encode(frame);
        listeners.retain(|tx| tx.try_send(bytes.clone()).is_ok());
    }

    fn living(&self, kind: ObjectKind) -> Vec<Record> {
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

/// A frame as it goes over the wire: its length in four bytes, then MessagePack without field names. A host of another
/// release cannot read it and watches the store itself until all are of one.
fn encode(frame: &Frame) -> Bytes {
    let mut buf = vec![0; 4];
    if let Err(e) = rmp_serde::encode::write(&mut buf, frame) {
        // Only a fault of this program gets here; an empty frame is skipped by the listener.
        log::error!("event=frame_not_encoded reason={:?}", e.to_string());
        buf.truncate(4);
    }
    let length = u32::try_from(buf.len() - 4).unwrap_or(0);
    buf[..4].copy_from_slice(&length.to_be_bytes());
    Bytes::from(buf)
}

fn forget_oldest_tombstone(records: &mut BTreeMap<String, Record>) {
    let deleted = records.iter().filter(|(_, record)| record.is_deleted());
    let oldest = deleted.min_by_key(|(_, record)| record.revision).map(|(name, _)| name.clone());
    if let Some(name) = oldest {
        records.remove(&name);
    }
}
