//! The router: events in, effects out.
//!
//! This module holds the state and hands each event to the module for its matter: `arrive` permits requests and finds
//! their places, `attempts` follows attempts, `retry` decides what comes after a failure, `finish` ends requests, and
//! `world` takes in what is known of servers, versions and peers.

mod arrive;
mod attempts;
mod cascade;
mod finish;
mod hedge;
mod retry;
mod world;

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

use crate::budget::RetryBudget;
use crate::config::RouterConfig;
use crate::entry::Entry;
use crate::event::Effect;
use crate::event::Event;
use crate::life::Act;
use crate::life::Guard;
use crate::life::Life;
use crate::life::Step;
use crate::life::life;
use crate::orders::Orders;
use crate::permit::Permissions;
use crate::poison::Poison;
use crate::quality::QualityEstimator;
use crate::queue::WaitQueue;
use crate::sampling::Sampling;
use crate::servers::Servers;
use crate::stats::Stats;

/// Decides for each request of one entry host.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    rng: ChaCha8Rng,
    life: Life,
    invariants: Invariants,
    stats: Stats,
    permissions: Permissions,
    servers: Servers,
    requests: BTreeMap<RequestId, Entry>,
    attempts: BTreeMap<AttemptId, RequestId>,
    timers: BTreeSet<Timer>,
    queue: WaitQueue,
    pace: Pace,
    budget: RetryBudget,
    poison: Poison,
    sampling: Sampling,
    quality: QualityEstimator,
    orders: Orders,
    stopping: bool,
    /// Something changed that may have made room for waiting requests.
    pump_due: bool,
}

/// Something due at a time. Timers are not cancelled: one that is overtaken by events does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Instant,
    kind: TimerKind,
    request: RequestId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Deadline,
    Retry,
    Hedge,
    /// The caller gets the answer of an earlier stage, if no better one came.
    Fallback,
    /// A server may be probed: waiting requests are tried again.
    Probe,
}

/// Rate at which places become free.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    /// Moving average of the seconds between two freed places.
    interval: Option<f64>,
    last: Option<Instant>,
}

impl Router {
    /// A router without configuration or servers; both come as events.
    #[must_use]
    pub fn new(cfg: RouterConfig, seed: u64) -> Router {
        Router {
            rng: ChaCha8Rng::seed_from_u64(seed),
            life: life(),
            invariants: Invariants::new(cfg.enforcement),
            stats: Stats::default(),
            permissions: Permissions::new(cfg.host.clone()),
            servers: Servers::new(cfg.data_centre.clone(), cfg.mechanisms),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            queue: WaitQueue::new(cfg.mechanisms.fair_share),
            pace: Pace::default(),
            budget: RetryBudget::new(),
            poison: Poison::default(),
            sampling: Sampling::new(cfg.ratings_per_second),
            quality: QualityEstimator::new(cfg.mechanisms),
            orders: Orders::default(),
            stopping: false,
            pump_due: false,
            cfg,
        }
    }

    /// Takes in one event and returns what is to be done, in order.
    ///
    /// A request's id must not be in use by another request under way; an [`Event::Arrived`] with such an id is
    /// counted and ignored.
    #[must_use]
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Arrived(request) => self.arrive(request, now, &mut out),
            Event::ClaimGranted { request } => self.claim_granted(request, now, &mut out),
            Event::ClaimRefused { request } => {
                self.advance(request, Step::ClaimRefused, now, &mut out);
            }
            Event::Sent { attempt } => self.sent(attempt),
            Event::FirstByte { attempt } => self.first_byte(attempt, now, &mut out),
            Event::Progress { attempt, tokens } => self.progress(attempt, tokens),
            Event::Finished { attempt, summary } => self.finished(attempt, summary, now, &mut out),
            Event::Failed { attempt, failure } => self.failed(attempt, failure, now, &mut out),
            Event::Billed { request } => self.advance(request, Step::BillSafe, now, &mut out),
            Event::CallerGone { request } => self.caller_gone(request, now, &mut out),
            Event::Tick => self.tick(now, &mut out),
            world => self.take_in(world, now, &mut out),
        }
        if std::mem::take(&mut self.pump_due) {
            self.pump(now, &mut out);
        }
        self.order(now, &mut out);
        if let Some(shared) = self.quality.take_shared() {
            out.push(Effect::ShareQuality(Arc::new(shared)));
        }
        self.check_tables();
        out
    }

    /// When [`Event::Tick`] is due next.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.first().map(|timer| timer.at)
    }

    /// Violations seen so far.
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
                TimerKind::Probe => self.pump_due = true,
            }
        }
    }

    fn set_timer(&mut self, at: Instant, kind: TimerKind, request: RequestId) {
        self.timers.insert(Timer { at, kind, request });
    }

    /// Moves a request on as its chart says and carries out what the chart asks for.
    fn advance(&mut self, id: RequestId, step: Step, now: Instant, out: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let guard = |guard| match guard {
            Guard::NeedsNoClaim => !entry.request.at_most_once(),
        };
        let Some(transition) = self.life.step(entry.state, step, guard) else {
            return;
        };
        entry.state = transition.to;
        let acts = transition.effects.clone();
        let ended = self.life.is_final(transition.to);
        for act in acts {
            self.act(id, act, now, out);
        }
        if ended {
            self.forget(id);
        }
    }

    fn act(&mut self, id: RequestId, act: Act, now: Instant, out: &mut Vec<Effect>) {
        match act {
            Act::Enqueue => self.enqueue(id, now, out),
            Act::Deliver => self.deliver(id, out),
            Act::Bill => self.bill(id, out),
            Act::Complete => self.complete(id, now, out),
            Act::Refuse => self.send_refusal(id, out),
        }
    }

    fn forget(&mut self, id: RequestId) {
        let Some(entry) = self.requests.remove(&id) else {
            return;
        };
        self.timers.remove(&Timer {
            at: entry.request.deadline,
            kind: TimerKind::Deadline,
            request: id,
        });
        self.queue.remove(id, entry.request.priority, &entry.request.workspace);
    }

    fn check_tables(&mut self) {
        let [windows, plans, workspaces] = self.quality.tables();
        let bounds = [
            windows,
            plans,
            workspaces,
            (self.poison.len(), Poison::capacity()),
            (self.budget.workspaces(), RetryBudget::capacity()),
            (self.sampling.len(), Sampling::capacity()),
            self.servers.prefixes(),
        ];
        let bounded = bounds.iter().all(|(size, bound)| size <= bound);
        self.invariants.check(Invariant::TablesBounded, bounded, || format!("{bounds:?}"));
    }
}

impl Pace {
    /// Notes that a place became free.
    fn freed(&mut self, now: Instant) {
        const WEIGHT: f64 = 0.05;
        if let Some(last) = self.last {
            let sample = now.saturating_duration_since(last).as_secs_f64();
            let interval = self.interval.unwrap_or(sample);
            self.interval = Some(interval + WEIGHT * (sample - interval));
        }
        self.last = Some(now);
    }

    /// Seconds until `ahead` places have become free.
    fn wait(&self, ahead: usize) -> f64 {
        self.interval.unwrap_or(0.0) * ahead as f64
    }
}
