//! In-memory object API.
//!
//! It substitutes for the platform's service where that is not available: behind the HTTP service of the `standin`
//! crate, in scenarios, in random runs and in tests. It has no clock and performs no I/O: [`MemoryStore::apply`]
//! carries out one call immediately. The driver adds delays, losses and outages, because only the driver knows the
//! time.

use std::collections::BTreeMap;

use bytes::Bytes;
use foxtailhoist_model::Condition;
use foxtailhoist_model::Object;
use foxtailhoist_model::ObjectKey;
use foxtailhoist_model::ObjectVersion;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;

/// Largest value that the object API holds, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Objects by key, and counts of the calls made.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    objects: BTreeMap<ObjectKey, StoredValue>,
    version: ObjectVersion,
    calls: CallCounts,
}

/// Numbers of calls made, including refused ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Puts and deletes, including those that failed because of their condition.
    pub writes: u64,
    /// Gets, lists and watches.
    pub reads: u64,
}

#[derive(Clone, Debug)]
struct StoredValue {
    version: ObjectVersion,
    value: Bytes,
}

impl MemoryStore {
    /// Carries out one call. A watch returns immediately with the objects written so far; it does not show deletions.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] for a value over [`VALUE_LIMIT_BYTES`].
    pub fn apply(&mut self, op: &StoreOp) -> StoreResult {
        if op.is_write() {
            self.calls.writes += 1;
        } else {
            self.calls.reads += 1;
        }
        match op {
            StoreOp::Get { key } => Ok(StoreReply::Object(self.object(key))),
            StoreOp::List { prefix, after, limit } => Ok(self.list(prefix, after.as_ref(), *limit)),
            StoreOp::Put { key, value, condition } => self.put(key, value, *condition),
            StoreOp::Delete { key, condition } => Ok(self.delete(key, *condition)),
            StoreOp::Watch { prefix, after, .. } => Ok(self.changed_since(prefix, *after)),
        }
    }

    /// Version of the latest change: a write, or the deletion of an object that existed.
    #[must_use]
    pub fn version(&self) -> ObjectVersion {
        self.version
    }

    /// Numbers of calls so far.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.calls
    }

    /// Number of objects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// An object, without counting a call.
    #[must_use]
    pub fn object(&self, key: &str) -> Option<Object> {
        let (key, stored) = self.objects.get_key_value(key)?;
        Some(stored.to_object(key))
    }

    fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&ObjectKey, &StoredValue)> {
        self.objects.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn list(&self, prefix: &str, after: Option<&ObjectKey>, limit: usize) -> StoreReply {
        let objects = self
            .with_prefix(prefix)
            .filter(|(key, _)| after.is_none_or(|after| *key > after))
            .take(limit)
            .map(|(key, stored)| stored.to_object(key))
            .collect();
        StoreReply::Objects { objects, at: self.version }
    }

    fn changed_since(&self, prefix: &str, after: ObjectVersion) -> StoreReply {
        let objects = self
            .with_prefix(prefix)
            .filter(|(_, stored)| stored.version > after)
            .map(|(key, stored)| stored.to_object(key))
            .collect();
        StoreReply::Objects { objects, at: self.version }
    }

    fn put(&mut self, key: &ObjectKey, value: &Bytes, condition: Condition) -> StoreResult {
        if value.len() > VALUE_LIMIT_BYTES {
            let reason =
                format!("value of {} bytes is over the limit of {VALUE_LIMIT_BYTES}", value.len());
            return Err(StoreError::Refused { reason });
        }
        if !self.condition_holds(key, condition) {
            return Ok(StoreReply::Conflict);
        }
        self.version += 1;
        let stored = StoredValue { version: self.version, value: value.clone() };
        self.objects.insert(key.clone(), stored);
        Ok(StoreReply::Written(self.version))
    }

    fn delete(&mut self, key: &ObjectKey, condition: Condition) -> StoreReply {
        if !self.condition_holds(key, condition) {
            return StoreReply::Conflict;
        }
        if self.objects.remove(key).is_some() {
            self.version += 1;
        }
        StoreReply::Deleted
    }

    fn condition_holds(&self, key: &str, condition: Condition) -> bool {
        let version = self.objects.get(key).map(|stored| stored.version);
        match condition {
            Condition::Any => true,
            Condition::Absent => version.is_none(),
            Condition::Version(expected) => version == Some(expected),
        }
    }
}

impl StoredValue {
    fn to_object(&self, key: &ObjectKey) -> Object {
        Object { key: key.clone(), version: self.version, value: self.value.clone() }
    }
}
