//! Virtual time and the queue of scheduled events.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

/// Time since the start of a run.
pub type Time = Duration;

/// Scheduled events in order of time; events at the same time are in order of insertion.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    sequence: u64,
    now: Time,
    base: Instant,
}

#[derive(Debug)]
struct Entry<T> {
    at: Time,
    sequence: u64,
    event: T,
}

impl<T> EventQueue<T> {
    #[must_use]
    pub fn new() -> EventQueue<T> {
        EventQueue { heap: BinaryHeap::new(), sequence: 0, now: Time::ZERO, base: Instant::now() }
    }

    #[must_use]
    pub fn now(&self) -> Time {
        self.now
    }

    /// Current virtual time as an [`Instant`], for the crates that take one.
    #[must_use]
    pub fn instant(&self) -> Instant {
        self.base + self.now
    }

    #[must_use]
    pub fn to_instant(&self, at: Time) -> Instant {
        self.base + at
    }

    #[must_use]
    pub fn to_time(&self, instant: Instant) -> Time {
        instant.saturating_duration_since(self.base)
    }

    /// Schedules an event; a time in the past counts as now.
    pub fn push(&mut self, at: Time, event: T) {
        self.sequence += 1;
        self.heap.push(Entry { at: at.max(self.now), sequence: self.sequence, event });
    }

    pub fn push_after(&mut self, delay: Duration, event: T) {
        self.push(self.now + delay, event);
    }

    /// Removes the next event and advances the time to it.
    pub fn pop(&mut self) -> Option<T> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

impl<T> Default for EventQueue<T> {
    fn default() -> EventQueue<T> {
        EventQueue::new()
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Entry<T>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Entry<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Entry<T>) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
