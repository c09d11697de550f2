//! Simulated inference engine in virtual time.
//!
//! The engine uses continuous batching: all running requests advance by one token per step, whose length grows with
//! the batch size. Prefill of the tokens that are not in the prefix cache takes precedence over decode and blocks it.
//! Requests queue by priority, then in order of arrival, for a fixed number of slots. The prefix cache evicts the least
//! recently used prefix.

use std::collections::BTreeMap;
use std::time::Duration;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::PrefixHash;
use foxtailhoist_model::Priority;

use crate::policy::clock::Time;
use crate::policy::workload::EngineSpec;

/// Work of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub attempt: AttemptId,
    pub priority: Priority,
    pub prefix: PrefixHash,
    pub prefix_tokens: u32,
    /// Tokens of the prompt, the prefix included.
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// Output of an engine: progress of an attempt, or a prefix that was cached or, if not `present`, evicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    FirstToken(AttemptId),
    Finished(AttemptId),
    Cached { prefix: PrefixHash, tokens: u32, present: bool },
}

/// Tokens processed for an attempt that has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// Simulated engine that serves one model.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    /// Multiplier on the duration of all work; 1 for a healthy engine.
    pub slowness: f64,
    updated: Time,
    /// Tokens that a request would have if it had been decoding since the start.
    decoded: f64,
    /// Decoding requests, keyed by the value of `decoded` at which they end, as bits: for positive floats the order is
    /// the same.
    decoding: BTreeMap<(u64, AttemptId), Job>,
    ends: BTreeMap<AttemptId, f64>,
    prefill: Option<Prefill>,
    waiting: BTreeMap<(std::cmp::Reverse<Priority>, u64), Job>,
    arrivals: u64,
    cache: PrefixCache,
    /// Total time spent in prefill or decode.
    busy: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Prefill {
    job: Job,
    left_s: f64,
}

/// Prefix cache with least-recently-used eviction.
#[derive(Debug)]
struct PrefixCache {
    /// Capacity in tokens.
    limit: u32,
    /// Cached tokens.
    held: u32,
    /// Number of lookups so far, by which uses are ordered.
    uses: u64,
    entries: BTreeMap<PrefixHash, CachedPrefix>,
}

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u32,
    last_use: u64,
}

/// Time differences below this are rounding errors.
const EPSILON_S: f64 = 1e-9;
/// Token differences below this are rounding errors.
const EPSILON_TOKENS: f64 = 1e-6;

impl Engine {
    #[must_use]
    pub fn new(spec: EngineSpec) -> Engine {
        Engine {
            slowness: 1.0,
            updated: Time::ZERO,
            decoded: 0.0,
            decoding: BTreeMap::new(),
            ends: BTreeMap::new(),
            prefill: None,
            waiting: BTreeMap::new(),
            arrivals: 0,
            cache: PrefixCache::new(spec.cache_tokens),
            busy: Duration::ZERO,
            spec,
        }
    }

    /// Queues a job.
    pub fn submit(&mut self, job: Job, now: Time, outputs: &mut Vec<Output>) {
        self.advance(now, outputs);
        self.arrivals += 1;
        self.waiting.insert((std::cmp::Reverse(job.priority), self.arrivals), job);
        self.admit(outputs);
    }

    /// Cancels an attempt; returns the work done for it, or `None` if the engine does not have it.
    pub fn cancel(
        &mut self,
        attempt: AttemptId,
        now: Time,
        outputs: &mut Vec<Output>,
    ) -> Option<Work> {
        self.advance(now, outputs);
        let work = self.remove(attempt);
        self.admit(outputs);
        work
    }

    /// Drops all attempts and clears the cache; returns the attempts with the work done for them.
    pub fn crash(&mut self, now: Time, outputs: &mut Vec<Output>) -> Vec<(AttemptId, Work)> {
        self.advance(now, outputs);
        let decoding = self.ends.keys().copied();
        let waiting = self.waiting.values().map(|job| job.attempt);
        let prefill = self.prefill.iter().map(|prefill| prefill.job.attempt);
        let attempts: Vec<AttemptId> = decoding.chain(waiting).chain(prefill).collect();
        let ended = attempts.into_iter().filter_map(|attempt| {
            let work = self.remove(attempt)?;
            Some((attempt, work))
        });
        let ended = ended.collect();
        self.cache = PrefixCache::new(self.spec.cache_tokens);
        ended
    }

    /// Advances the simulation to `now`.
    pub fn advance(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let mut left_s = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        while left_s > 0.0 || self.next_s().is_some_and(|next| next <= EPSILON_S) {
            let Some(next_s) = self.next_s() else {
                return;
            };
            let step_s = next_s.min(left_s).max(0.0);
            self.work(step_s);
            left_s -= step_s;
            if next_s - step_s <= EPSILON_S {
                self.complete(outputs);
                self.admit(outputs);
            }
        }
    }

    /// Time at which [`Engine::advance`] next completes a prefill or an answer.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let next_s = self.next_s()?;
        Some(self.updated + Duration::from_secs_f64(next_s.max(0.0)) + Duration::from_nanos(1))
    }

    /// Number of requests in prefill or decode.
    #[must_use]
    pub fn running(&self) -> u32 {
        let running = self.decoding.len() + usize::from(self.prefill.is_some());
        u32::try_from(running).unwrap_or(u32::MAX)
    }

    /// Number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Total time spent in prefill or decode.
    #[must_use]
    pub fn busy(&self) -> Duration {
        self.busy
    }

    fn decode_step_s(&self) -> f64 {
        let extra = self.decoding.len().saturating_sub(1) as f64;
        self.slowness * (self.spec.decode_ms + self.spec.decode_ms_per_extra * extra) / 1_000.0
    }

    fn next_s(&self) -> Option<f64> {
        if let Some(prefill) = &self.prefill {
            return Some(prefill.left_s * self.slowness);
        }
        let ((end_bits, _), _) = self.decoding.first_key_value()?;
        Some((f64::from_bits(*end_bits) - self.decoded).max(0.0) * self.decode_step_s())
    }

    fn work(&mut self, step_s: f64) {
        self.busy += Duration::from_secs_f64(step_s);
        match &mut self.prefill {
            Some(prefill) => prefill.left_s = (prefill.left_s - step_s / self.slowness).max(0.0),
            None => self.decoded += step_s / self.decode_step_s(),
        }
    }

    fn complete(&mut self, outputs: &mut Vec<Output>) {
        if let Some(prefill) = self.prefill.take() {
            self.start_decode(prefill.job, outputs);
            return;
        }
        if let Some(((_, attempt), _)) = self.decoding.pop_first() {
            self.ends.remove(&attempt);
            outputs.push(Output::Finished(attempt));
        }
    }

    fn start_decode(&mut self, job: Job, outputs: &mut Vec<Output>) {
        outputs.push(Output::FirstToken(job.attempt));
        if self.cache.store(job.prefix, job.prefix_tokens, outputs) {
            let tokens = job.prefix_tokens;
            outputs.push(Output::Cached { prefix: job.prefix, tokens, present: true });
        }
        let end = self.decoded + f64::from(job.output_tokens.saturating_sub(1));
        self.decoding.insert((end.to_bits(), job.attempt), job);
        self.ends.insert(job.attempt, end);
    }

    fn admit(&mut self, outputs: &mut Vec<Output>) {
        while self.prefill.is_none() && self.running() < self.spec.slots {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            let cached = if self.cache.touch(job.prefix) { job.prefix_tokens } else { 0 };
            let tokens = job.prompt_tokens.saturating_sub(cached);
            if tokens == 0 {
                self.start_decode(job, outputs);
                continue;
            }
            let left_s = f64::from(tokens) / self.spec.prefill_tok_s;
            self.prefill = Some(Prefill { job, left_s });
        }
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<Work> {
        if let Some(end) = self.ends.remove(&attempt) {
            let job = self.decoding.remove(&(end.to_bits(), attempt))?;
            let left = (end - self.decoded).max(0.0);
            // A token that is only partly decoded does not count.
            let left_tokens = (left - EPSILON_TOKENS).ceil() as u32;
            let output_tokens = job.output_tokens.saturating_sub(left_tokens);
            return Some(Work { prompt_tokens: job.prompt_tokens, output_tokens });
        }
        if let Some(prefill) = self.prefill.take_if(|prefill| prefill.job.attempt == attempt) {
            return Some(Work { prompt_tokens: prefill.job.prompt_tokens, output_tokens: 0 });
        }
        let key =
            self.waiting.iter().find(|(_, job)| job.attempt == attempt).map(|(key, _)| *key)?;
        self.waiting.remove(&key);
        Some(Work::default())
    }
}

impl PrefixCache {
    fn new(limit: u32) -> PrefixCache {
        PrefixCache { limit, held: 0, uses: 0, entries: BTreeMap::new() }
    }

    fn touch(&mut self, prefix: PrefixHash) -> bool {
        self.uses += 1;
        match self.entries.get_mut(&prefix) {
            Some(entry) => {
                entry.last_use = self.uses;
                true
            }
            None => false,
        }
    }

    /// Stores a prefix; returns false if it is cached already or exceeds the cache.
    fn store(&mut self, prefix: PrefixHash, tokens: u32, outputs: &mut Vec<Output>) -> bool {
        if self.touch(prefix) || tokens > self.limit {
            return false;
        }
        while self.held + tokens > self.limit {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_use);
            let Some((evicted, tokens)) = oldest.map(|(prefix, entry)| (*prefix, entry.tokens))
            else {
                break;
            };
            self.entries.remove(&evicted);
            self.held -= tokens;
            outputs.push(Output::Cached { prefix: evicted, tokens, present: false });
        }
        self.held += tokens;
        self.entries.insert(prefix, CachedPrefix { tokens, last_use: self.uses });
        true
    }
}
