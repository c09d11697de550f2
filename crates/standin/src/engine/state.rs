//! State of a stand-in engine and execution of one attempt.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use foxtailhoist_edge::AttemptState;
use foxtailhoist_edge::EngineFeed;
use foxtailhoist_edge::SharedPrefix;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::LoadReport;
use foxtailhoist_model::ModelVersion;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::answer::PlannedAnswer;
use super::attempts::AttemptTable;
use super::batch::Batch;
use super::batch::Slot;
use super::cache::PrefixCache;
use super::spec::EngineFaults;
use super::spec::EngineSpec;
use super::spec::EngineStats;
use crate::connections::Connections;
use crate::sync::lock;

/// State shared by an engine's handlers.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) spec: EngineSpec,
    pub(crate) batch: Arc<Batch>,
    pub(crate) cache: Mutex<PrefixCache>,
    pub(crate) attempts: Mutex<AttemptTable>,
    pub(crate) loaded: Mutex<BTreeSet<ModelVersion>>,
    pub(crate) faults: Mutex<EngineFaults>,
    pub(crate) stats: Mutex<EngineStats>,
    pub(crate) connections: Connections,
    pub(crate) crash: Arc<Notify>,
}

/// An attempt that holds a slot in the batch.
pub(crate) struct RunningAttempt {
    pub(crate) state: Arc<EngineState>,
    pub(crate) attempt: AttemptId,
    pub(crate) answer: PlannedAnswer,
    pub(crate) generated: u32,
    finished: bool,
    _slot: Slot,
}

impl EngineState {
    pub(crate) fn new(spec: EngineSpec) -> EngineState {
        let cache = PrefixCache::new(&spec.id, spec.cache_tokens, spec.lost_event_share, spec.seed);
        EngineState {
            batch: Arc::new(Batch::new(spec.slots, spec.waiting_limit)),
            cache: Mutex::new(cache),
            attempts: Mutex::default(),
            loaded: Mutex::new(spec.loaded.clone()),
            faults: Mutex::default(),
            stats: Mutex::default(),
            connections: Connections::default(),
            crash: Arc::new(Notify::new()),
            spec,
        }
    }

    pub(crate) fn faults(&self) -> EngineFaults {
        lock(&self.faults).clone()
    }

    pub(crate) fn stats(&self) -> EngineStats {
        let loaded = lock(&self.loaded).clone();
        EngineStats { loaded, ..lock(&self.stats).clone() }
    }

    /// Drops all connections and clears the attempts and the cache.
    pub(crate) fn crash(&self) {
        lock(&self.stats).crashes += 1;
        lock(&self.attempts).clear();
        lock(&self.cache).clear();
        self.crash.notify_one();
    }

    /// Load and cache events that are old enough to be published.
    pub(crate) fn feed(&self, after: u64) -> EngineFeed {
        let load_lag = Duration::from_millis(self.spec.load_lag_ms);
        let load = self.batch.load(load_lag).map(|sample| LoadReport {
            server: self.spec.id.clone(),
            running: sample.running,
            waiting: sample.waiting,
            lag_ms: self.spec.load_lag_ms,
        });
        let cache_lag = Duration::from_millis(self.spec.cache_lag_ms);
        let cache = lock(&self.cache).events(after, cache_lag);
        let sequence = cache.last().map_or(after, |event| event.sequence);
        EngineFeed { load, cache, sequence, leaving: lock(&self.faults).leaving }
    }

    /// Sleeps for the prefill of the prompt tokens that are not cached.
    pub(crate) async fn prefill(&self, prompt_tokens: u32, prefix: SharedPrefix) {
        let cached = lock(&self.cache).use_prefix(prefix).min(prompt_tokens);
        lock(&self.stats).cached_tokens += u64::from(cached);
        let time = self.spec.prefill_time(prompt_tokens - cached);
        sleep(self.faults().slowed(time)).await;
    }
}

impl RunningAttempt {
    /// Starts an attempt that has a slot in the batch.
    pub(crate) fn start(
        state: Arc<EngineState>,
        slot: Slot,
        attempt: AttemptId,
        answer: PlannedAnswer,
        resume_after: u32,
    ) -> RunningAttempt {
        {
            let leaving = lock(&state.faults).leaving;
            let mut stats = lock(&state.stats);
            stats.started += 1;
            stats.started_while_leaving += u64::from(leaving);
        }
        let generated = resume_after.min(answer.output_tokens);
        lock(&state.attempts).set(attempt, AttemptState::Running, generated);
        RunningAttempt { state, attempt, answer, generated, finished: false, _slot: slot }
    }

    /// Generates one token; `None` when the answer is complete.
    pub(crate) async fn next_token(&mut self) -> Option<String> {
        if self.generated >= self.answer.output_tokens {
            return None;
        }
        let time = self.state.spec.decode_time(self.state.batch.running());
        sleep(self.state.faults().slowed(time)).await;
        let token = self.answer.token(self.generated);
        self.generated += 1;
        lock(&self.state.attempts).set(self.attempt, AttemptState::Running, self.generated);
        Some(token)
    }

    /// Sends the remaining tokens to a channel until the answer is complete or the receiver is dropped.
    pub(crate) async fn generate(mut self, tx: mpsc::Sender<String>) {
        while let Some(token) = self.next_token().await {
            if tx.send(token).await.is_err() {
                return;
            }
        }
        self.finish();
    }

    /// Marks the answer as complete.
    pub(crate) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        let mut stats = lock(&self.state.stats);
        if self.finished {
            stats.finished += 1;
        } else {
            stats.cancelled += 1;
        }
        drop(stats);
        lock(&self.state.attempts).set(self.attempt, AttemptState::Ended, self.generated);
    }
}
