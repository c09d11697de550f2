//! Messages to peers, collected while one event is handled and sent in bounded batches.

use std::collections::BTreeMap;

use foxtailhoist_model::EntryHostId;

use crate::config::MAX_BATCH_BYTES;
use crate::config::MAX_BATCH_ENTRIES;
use crate::entry::EntryId;
use crate::event::Effect;
use crate::message::EntryResult;
use crate::message::HeldEntry;
use crate::message::JournalMessage;

/// Outgoing messages by receiver.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    queues: BTreeMap<EntryHostId, PeerQueue>,
}

/// Outgoing contents for one receiver, by kind of message.
#[derive(Clone, Debug, Default)]
pub struct PeerQueue {
    pub append: Vec<HeldEntry>,
    pub accepted: Vec<EntryId>,
    pub declined: Vec<EntryId>,
    pub appended: Vec<EntryResult>,
    pub park: Vec<HeldEntry>,
    pub parked: Vec<EntryId>,
    pub release: Vec<EntryId>,
    pub single: Vec<JournalMessage>,
}

impl Outbox {
    /// Outgoing contents for a receiver.
    pub fn to(&mut self, host: &EntryHostId) -> &mut PeerQueue {
        self.queues.entry(host.clone()).or_default()
    }

    /// Drains the outbox into effects.
    pub fn flush(&mut self, effects: &mut Vec<Effect>) {
        for (to, queue) in std::mem::take(&mut self.queues) {
            for message in queue.into_messages() {
                effects.push(Effect::Send { to: to.clone(), message });
            }
        }
    }
}

impl PeerQueue {
    fn into_messages(self) -> Vec<JournalMessage> {
        let mut messages = self.single;
        messages
            .extend(entry_batches(self.append).map(|entries| JournalMessage::Append { entries }));
        messages.extend(entry_batches(self.park).map(|entries| JournalMessage::Park { entries }));
        messages.extend(batches(self.accepted).map(|ids| JournalMessage::Accepted { ids }));
        messages.extend(batches(self.declined).map(|ids| JournalMessage::Declined { ids }));
        messages.extend(batches(self.appended).map(|results| JournalMessage::Appended { results }));
        messages.extend(batches(self.parked).map(|ids| JournalMessage::Parked { ids }));
        messages.extend(batches(self.release).map(|ids| JournalMessage::Release { ids }));
        messages
    }
}

fn entry_batches(entries: Vec<HeldEntry>) -> impl Iterator<Item = Vec<HeldEntry>> {
    let mut rest = entries.into_iter().peekable();
    std::iter::from_fn(move || {
        let mut batch = vec![rest.next()?];
        let mut bytes = batch[0].entry.encoded_estimate();
        while batch.len() < MAX_BATCH_ENTRIES {
            let fits = |held: &HeldEntry| bytes + held.entry.encoded_estimate() <= MAX_BATCH_BYTES;
            let Some(held) = rest.next_if(fits) else { break };
            bytes += held.entry.encoded_estimate();
            batch.push(held);
        }
        Some(batch)
    })
}

fn batches<T>(items: Vec<T>) -> impl Iterator<Item = Vec<T>> {
    let mut rest = items.into_iter();
    std::iter::from_fn(move || {
        let batch: Vec<T> = rest.by_ref().take(MAX_BATCH_ENTRIES).collect();
        (!batch.is_empty()).then_some(batch)
    })
}
