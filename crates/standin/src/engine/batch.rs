//! Slots in an engine's batch, assigned by priority and then by arrival, and the load, which is published with a lag.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Priority;
use tokio::sync::oneshot;

use crate::sync::lock;

/// Maximum load samples kept for delayed publication; the oldest is evicted first.
const SAMPLES_LIMIT: usize = 1_024;

/// An engine's batch and its waiting queue.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: u32,
    waiting_limit: usize,
    state: Mutex<BatchState>,
}

#[derive(Debug, Default)]
struct BatchState {
    running: u32,
    waiting: BTreeMap<(Reverse<Priority>, u64), oneshot::Sender<Slot>>,
    arrivals: u64,
    samples: VecDeque<LoadSample>,
}

/// Load at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadSample {
    pub(crate) at: Instant,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

/// A slot in the batch; dropping it passes it to the next waiting request.
#[derive(Debug)]
pub(crate) struct Slot {
    batch: Arc<Batch>,
}

/// The waiting queue is at its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueFull;

impl Batch {
    pub(crate) fn new(slots: u32, waiting_limit: usize) -> Batch {
        Batch { slots, waiting_limit, state: Mutex::default() }
    }

    /// Waits for a slot. Dropping the future cancels the wait.
    pub(crate) async fn acquire_slot(
        self: &Arc<Batch>,
        priority: Priority,
    ) -> Result<Slot, QueueFull> {
        let granted = {
            let mut state = lock(&self.state);
            if state.running < self.slots {
                state.running += 1;
                state.sample();
                return Ok(Slot { batch: Arc::clone(self) });
            }
            state.waiting.retain(|_, waiter| !waiter.is_closed());
            if state.waiting.len() >= self.waiting_limit {
                return Err(QueueFull);
            }
            let (tx, rx) = oneshot::channel();
            state.arrivals += 1;
            let arrival = state.arrivals;
            state.waiting.insert((Reverse(priority), arrival), tx);
            state.sample();
            rx
        };
        granted.await.map_err(|_dropped| QueueFull)
    }

    pub(crate) fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// The latest load that is at least `lag` old.
    pub(crate) fn load(&self, lag: Duration) -> Option<LoadSample> {
        let now = Instant::now();
        let state = lock(&self.state);
        state.samples.iter().rev().find(|sample| now.duration_since(sample.at) >= lag).copied()
    }

    /// Passes a released slot to the next waiting request.
    fn release_slot(self: &Arc<Batch>) {
        let next = {
            let mut state = lock(&self.state);
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.running -= 1;
            }
            state.sample();
            next
        };
        if let Some((_, waiter)) = next {
            // If the receiver is gone, the slot is dropped here and thereby passed on.
            drop(waiter.send(Slot { batch: Arc::clone(self) }));
        }
    }
}

impl BatchState {
    fn sample(&mut self) {
        if self.samples.len() >= SAMPLES_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back(LoadSample {
            at: Instant::now(),
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.batch.release_slot();
    }
}
