//! Cost of a request at an engine, by the shared view of the servers: one function without state, network or clock.
//!
//! Each term is in milliseconds of the caller's time, so that a cached prefix is worth as much as the queue that it
//! outweighs. A popular prefix thereby spreads: a queue at the servers that have it sends requests to further ones, which
//! have it from then on.

/// Approximate prefill rate of an engine of average speed.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Time that each concurrent request of an engine of average speed adds to the expected time of another.
const CONCURRENCY_MS: f64 = 6.0;
/// Cost of the latency and the traffic to another data centre.
pub(crate) const DISTANCE_MS: f64 = 60.0;
/// Assumed time of a request on an idle engine of average speed, without prefill.
const BASE_TIME_MS: f64 = 30.0;
/// Use of the memory from which on an engine may have to preempt requests.
const MEMORY_IN_USE: f64 = 0.8;
/// Cost of a request at an engine whose memory is overcommitted by its whole size: a preempted prompt is processed again.
const MEMORY_MS: f64 = 1_000.0;

/// What is known of a request at a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Requests in flight, of all hosts.
    pub(crate) in_flight: f64,
    /// Requests whose tokens are in the server's memory, by the digest.
    pub(crate) resident: f64,
    /// Prompt tokens not yet processed, of all hosts.
    pub(crate) pending_tokens: f64,
    pub(crate) prompt_tokens: u64,
    /// Tokens of the prompt that the server caches, or that are to be cached there.
    pub(crate) cached_tokens: u64,
    /// Tokens that fit into the server's memory.
    pub(crate) capacity: u64,
    /// Times relative to the service's mean.
    pub(crate) prompt_slowness: f64,
    pub(crate) gap_slowness: f64,
    pub(crate) is_local: bool,
}

/// Terms of the cost, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Prompts ahead in the queue.
    pub queue: f64,
    /// Concurrent requests.
    pub concurrency: f64,
    /// The request's own prompt, as if nothing of it was cached, and the fixed time.
    pub prompt: f64,
    /// Time saved by the cached part of the prompt.
    pub saved: f64,
    pub memory: f64,
    pub distance: f64,
}

impl Terms {
    /// Expected time of the request.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.queue + self.concurrency + self.prompt - self.saved + self.memory + self.distance
    }
}

/// Computes the terms of a request's cost at a server.
pub(crate) fn terms(load: &Load) -> Terms {
    let prompt_ms = |tokens: f64| tokens / PREFILL_TOKENS_PER_MS * load.prompt_slowness;
    let cached = load.cached_tokens.min(load.prompt_tokens);
    let demand = (load.resident + 1.0) * load.prompt_tokens as f64;
    let in_use = demand / load.capacity.max(1) as f64;
    Terms {
        queue: prompt_ms(load.pending_tokens),
        concurrency: load.in_flight * CONCURRENCY_MS * load.gap_slowness,
        prompt: prompt_ms(load.prompt_tokens as f64) + BASE_TIME_MS * load.gap_slowness,
        saved: prompt_ms(cached as f64),
        memory: (in_use - MEMORY_IN_USE).max(0.0) * MEMORY_MS,
        distance: if load.is_local { 0.0 } else { DISTANCE_MS },
    }
}
