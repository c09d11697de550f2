//! The router: a state machine that turns events into effects.
//!
//! This module holds the state and passes each event to a submodule: `admission` permits requests and selects their
//! servers, `attempts` tracks attempts, `cascade` replaces answers of low confidence, `hedge` starts second attempts,
//! `retry` handles failures, `finish` ends requests, and `updates` applies changes of configuration, servers, versions
//! and peers.

mod admission;
mod attempts;
mod cascade;
mod finish;
mod hedge;
mod retry;
mod updates;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::RequestId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::active_request::ActiveRequest;
use crate::budget::RetryBudget;
use crate::config::RouterConfig;
use crate::event::Effect;
use crate::event::Event;
use crate::lifecycle::Action;
use crate::lifecycle::Guard;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::Trigger;
use crate::lifecycle::lifecycle;
use crate::orders::Orders;
use crate::permit::Permissions;
use crate::poison::PoisonTable;
use crate::quality::QualityEstimator;
use crate::queue::WaitQueue;
use crate::sampling::RatingSampler;
use crate::servers::Servers;
use crate::stats::Stats;

/// Routes the requests of one entry host.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    rng: ChaCha8Rng,
    lifecycle: Lifecycle,
    invariants: Invariants,
    stats: Stats,
    permissions: Permissions,
    servers: Servers,
    requests: BTreeMap<RequestId, ActiveRequest>,
    attempts: BTreeMap<AttemptId, RequestId>,
    timers: BTreeSet<Timer>,
    queue: WaitQueue,
    drain_rate: DrainRate,
    budget: RetryBudget,
    poison: PoisonTable,
    sampling: RatingSampler,
    quality: QualityEstimator,
    orders: Orders,
    stopping: bool,
    /// Whether an event may have freed capacity for queued requests.
    queue_check_due: bool,
}

/// A pending timer. Only deadlines are cancelled; any other timer that no longer applies has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Instant,
    kind: TimerKind,
    /// Request of the timer; 0 for [`TimerKind::Probe`], which belongs to none.
    request: RequestId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Deadline,
    Retry,
    Hedge,
    /// Delivers the answer of an earlier stage if no better one arrived.
    Fallback,
    /// Retries queued requests, because a failed server may be probed again.
    Probe,
}

/// Rate at which attempts end and so free capacity for queued requests.
#[derive(Clone, Copy, Debug, Default)]
struct DrainRate {
    /// Moving average of the seconds between the ends of two attempts.
    interval: Option<f64>,
    last: Option<Instant>,
}

impl Router {
    /// Creates a router without configuration or servers; both arrive as events.
    #[must_use]
    pub fn new(cfg: RouterConfig, seed: u64) -> Router {
        Router {
            rng: ChaCha8Rng::seed_from_u64(seed),
            lifecycle: lifecycle(),
            invariants: Invariants::new(cfg.enforcement),
            stats: Stats::default(),
            permissions: Permissions::new(cfg.host.clone()),
            servers: Servers::new(cfg.data_centre.clone(), cfg.mechanisms),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            queue: WaitQueue::new(cfg.mechanisms.fair_share),
            drain_rate: DrainRate::default(),
            budget: RetryBudget::new(),
            poison: PoisonTable::default(),
            sampling: RatingSampler::new(cfg.ratings_per_second),
            quality: QualityEstimator::new(cfg.mechanisms),
            orders: Orders::default(),
            stopping: false,
            queue_check_due: false,
            cfg,
        }
    }

    /// Handles one event and returns the effects to perform, in order.
    ///
    /// The id of a new request must differ from those of all active requests; an [`Event::Arrived`] with an id in use
    /// is counted and ignored.
    #[must_use]
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Arrived(request) => self.arrive(request, now, &mut out),
            Event::ClaimGranted { request } => self.claim_granted(request, now, &mut out),
            Event::ClaimRefused { request } => {
                self.advance(request, Trigger::ClaimRefused, now, &mut out);
            }
            Event::Sent { attempt } => self.sent(attempt),
            Event::FirstByte { attempt } => self.first_byte(attempt, now, &mut out),
            Event::Progress { attempt, tokens } => self.progress(attempt, tokens),
            Event::Finished { attempt, summary } => self.finished(attempt, summary, now, &mut out),
            Event::Failed { attempt, failure } => self.failed(attempt, failure, now, &mut out),
            Event::Billed { request } => self.advance(request, Trigger::BillSafe, now, &mut out),
            Event::CallerGone { request } => self.caller_gone(request, now, &mut out),
            Event::Tick => self.tick(now, &mut out),
            update => self.apply_update(update, now, &mut out),
        }
        if std::mem::take(&mut self.queue_check_due) {
            self.dispatch_queued(now, &mut out);
        }
        self.order_version_load(now, &mut out);
        if let Some(shared) = self.quality.take_shared() {
            out.push(Effect::ShareQuality(Arc::new(shared)));
        }
        self.check_table_bounds();
        out
    }

    /// Time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.first().map(|timer| timer.at)
    }

    /// Invariant violations so far.
    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Counters since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        Stats {
            queued: self.queue.len() as u64,
            in_flight: self.attempts.len() as u64,
            ..self.stats.clone()
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= now) {
            self.timers.remove(&timer);
            match timer.kind {
                TimerKind::Deadline => self.deadline_passed(timer.request, now, out),
                TimerKind::Retry => self.retry_due(timer.request, now, out),
                TimerKind::Hedge => self.hedge_due(timer.request, now, out),
                TimerKind::Fallback => self.fallback_due(timer.request, now, out),
                TimerKind::Probe => self.queue_check_due = true,
            }
        }
    }

    fn set_timer(&mut self, at: Instant, kind: TimerKind, request: RequestId) {
        self.timers.insert(Timer { at, kind, request });
    }

    /// Takes the transition that the chart defines for a trigger, and performs its actions.
    fn advance(&mut self, id: RequestId, trigger: Trigger, now: Instant, out: &mut Vec<Effect>) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let guard = |guard| match guard {
            Guard::NeedsNoClaim => !active.request.at_most_once(),
        };
        let Some(transition) = self.lifecycle.step(active.state, trigger, guard) else {
            return;
        };
        active.state = transition.to;
        let actions = transition.effects.clone();
        let ended = self.lifecycle.is_final(transition.to);
        for action in actions {
            self.perform(id, action, now, out);
        }
        if ended {
            self.remove_request(id);
        }
    }

    fn perform(&mut self, id: RequestId, action: Action, now: Instant, out: &mut Vec<Effect>) {
        match action {
            Action::Enqueue => self.enqueue(id, now, out),
            Action::Deliver => self.deliver(id, out),
            Action::Bill => self.bill(id, out),
            Action::Complete => self.complete(id, now, out),
            Action::Refuse => self.send_refusal(id, out),
        }
    }

    fn remove_request(&mut self, id: RequestId) {
        let Some(active) = self.requests.remove(&id) else {
            return;
        };
        self.timers.remove(&Timer {
            at: active.request.deadline,
            kind: TimerKind::Deadline,
            request: id,
        });
        self.queue.remove(id, active.request.priority, &active.request.workspace);
    }

    fn check_table_bounds(&mut self) {
        let [windows, plans, workspaces] = self.quality.tables();
        let bounds = [
            windows,
            plans,
            workspaces,
            (self.poison.len(), PoisonTable::capacity()),
            (self.budget.workspace_count(), RetryBudget::capacity()),
            (self.sampling.len(), RatingSampler::capacity()),
            self.servers.prefixes(),
        ];
        let bounded = bounds.iter().all(|(size, bound)| size <= bound);
        self.invariants.check(Invariant::TablesBounded, bounded, || format!("{bounds:?}"));
    }
}

impl DrainRate {
    /// Records the end of an attempt.
    fn record_release(&mut self, now: Instant) {
        const SMOOTHING: f64 = 0.05;
        if let Some(last) = self.last {
            let sample = now.saturating_duration_since(last).as_secs_f64();
            let interval = self.interval.unwrap_or(sample);
            self.interval = Some(interval + SMOOTHING * (sample - interval));
        }
        self.last = Some(now);
    }

    /// Seconds until `ahead` more attempts are expected to end.
    fn expected_wait(&self, ahead: usize) -> f64 {
        self.interval.unwrap_or(0.0) * ahead as f64
    }
}
