//! Contents and parts that were answered soundly lately.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::Culprit;

/// Time for which a sound answer speaks for its content and parts.
const SOUND_TTL: Duration = Duration::from_secs(60);
/// Age from which on the record of a sound answer is renewed.
const SOUND_RENEWAL_AGE: Duration = Duration::from_secs(10);
/// Maximum number of contents and parts that are remembered as answered soundly.
const MAX_SOUND: usize = 4_096;

/// Contents and parts that were answered soundly lately.
#[derive(Debug, Default)]
pub(super) struct SoundAnswers {
    by_culprit: BTreeMap<Culprit, SoundRecord>,
    /// In order of time, for eviction.
    order: VecDeque<(Culprit, Instant)>,
    /// Requests that were answered soundly.
    requests: usize,
}

#[derive(Clone, Copy, Debug)]
struct SoundRecord {
    /// Answers without a pause of [`SOUND_TTL`] between them.
    answers: usize,
    /// When the record was renewed last.
    at: Instant,
}

impl SoundAnswers {
    /// Adds a sound answer.
    pub(super) fn insert(&mut self, culprit: Culprit, now: Instant) {
        if let Some(record) = self.by_culprit.get_mut(&culprit) {
            let age = now.saturating_duration_since(record.at);
            record.answers = if age >= SOUND_TTL { 1 } else { record.answers.saturating_add(1) };
            if age < SOUND_RENEWAL_AGE {
                return;
            }
            record.at = now;
        } else {
            self.by_culprit.insert(culprit, SoundRecord { answers: 1, at: now });
        }
        self.order.push_back((culprit, now));
        while self.order.len() > MAX_SOUND {
            let Some((oldest, at)) = self.order.pop_front() else {
                return;
            };
            if self.by_culprit.get(&oldest).is_some_and(|record| record.at == at) {
                self.by_culprit.remove(&oldest);
            }
        }
    }

    /// Counts a request that was answered soundly.
    pub(super) fn count_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Part of the requests with sound answers that had a culprit, if there were any.
    pub(super) fn share(&self, culprit: Culprit, now: Instant) -> Option<f64> {
        let answers = self.answers(culprit, now) as f64;
        (self.requests > 0).then(|| answers / self.requests as f64)
    }

    /// Number of sound answers of late.
    pub(super) fn answers(&self, culprit: Culprit, now: Instant) -> usize {
        let is_recent =
            |record: &&SoundRecord| now.saturating_duration_since(record.at) < SOUND_TTL;
        self.by_culprit.get(&culprit).filter(is_recent).map_or(0, |record| record.answers)
    }
}
