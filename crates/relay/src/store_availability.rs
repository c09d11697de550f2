//! Availability of the store as this host sees it, from the calls for all kinds of objects.
//!
//! A call tells of all kinds: while the store is silent, the watches of most kinds merely wait and do not fail themselves.

use std::time::Duration;
use std::time::Instant;

use crate::store::StoreError;

/// Time without a successful call after which the store counts as having been unavailable.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Time after the store's recovery within which live servers register again.
pub(crate) const RELIST_WINDOW: Duration = Duration::from_millis(2_200);

/// When calls to the store fail, and how long registrations may merely have expired.
#[derive(Debug, Default)]
pub(crate) struct StoreAvailability {
    failing_since: Option<Instant>,
    /// Whether a call got no answer since then.
    was_silent: bool,
    /// Until then, missing registrations may merely have expired.
    expired_until: Option<Instant>,
    /// Whether the store answered none of the last calls for the configuration.
    is_turned_away: bool,
}

impl StoreAvailability {
    pub(crate) fn call_failed(&mut self, e: &StoreError, now: Instant) {
        if e.is_unusable_answer() {
            return;
        }
        self.failing_since.get_or_insert(now);
        self.was_silent |= e.is_silence();
    }

    /// Records a successful call; returns whether calls got no answer before it.
    pub(crate) fn call_succeeded(&mut self, now: Instant) -> bool {
        if self.was_unavailable(now) {
            self.expired_until = Some(now + RELIST_WINDOW);
        }
        self.failing_since = None;
        std::mem::take(&mut self.was_silent)
    }

    /// Records whether the store answers the calls for the configuration.
    pub(crate) fn set_turned_away(&mut self, is_turned_away: bool) {
        self.is_turned_away = is_turned_away;
    }

    pub(crate) fn is_turned_away(&self) -> bool {
        self.is_turned_away
    }

    /// Records that the store was restored from a copy.
    pub(crate) fn restored(&mut self, now: Instant) {
        self.expired_until = Some(now + RELIST_WINDOW);
    }

    /// How long to keep registrations that are missing now, if they may merely have expired.
    pub(crate) fn keep_for(&self, now: Instant) -> Option<Duration> {
        if self.was_unavailable(now) {
            return Some(RELIST_WINDOW);
        }
        let left = self.expired_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether calls have been failing for at least [`OUTAGE_THRESHOLD`].
    fn was_unavailable(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= OUTAGE_THRESHOLD)
    }
}
