//! Health of a backend server, from the outcomes of attempts: pauses, failure rate and relative speed.
//!
//! Failures and speed are moving averages that decay with time, so that an avoided server is tried again.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;

/// First pause of a server that was silent or unreachable; doubled with each consecutive pause. Pauses of a data centre
/// start at twice this value.
const PAUSE_BASE: Duration = Duration::from_millis(300);
/// Maximum pause, well below the time that a restarted server takes to be registered again.
const PAUSE_MAX: Duration = Duration::from_millis(2_400);
/// Number of unreachable or silent servers at which their data centre is paused.
const MIN_UNREACHABLE_SERVERS: usize = 2;
/// Time after a pause during which other servers are still preferred.
const RECENT_PAUSE_WINDOW: Duration = Duration::from_secs(4);
/// Half-life of the recorded failures, successes and slowness.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Successes that a server is credited with initially, so that a single failure does not rule it out.
const PRIOR_SUCCESSES: f64 = 3.0;
/// Weight of a new sample of relative speed.
const SPEED_WEIGHT: f64 = 0.2;
/// Larger samples of relative slowness are clamped to this value.
const SLOWNESS_MAX: f64 = 20.0;

/// Health of one server.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failures: f64,
    successes: f64,
    /// Time per unit of work relative to the service's mean; 1 is average.
    slowness: f64,
    decayed_at: Instant,
    pause: Option<Pause>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    count: u32,
}

impl Health {
    pub(crate) fn new(now: Instant) -> Health {
        Health { failures: 0.0, successes: 0.0, slowness: 1.0, decayed_at: now, pause: None }
    }

    pub(crate) fn record_success(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
        self.pause = None;
    }

    /// Records that the server ran a request and failed it.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.failures += 1.0;
    }

    /// Pauses the server, for longer with each consecutive pause.
    pub(crate) fn pause(&mut self, now: Instant) {
        let count = self.pause.map_or(0, |pause| pause.count);
        let length = PAUSE_BASE.saturating_mul(1 << count.min(4)).min(PAUSE_MAX);
        self.pause = Some(Pause { until: now + length, count: count + 1 });
    }

    /// Ends the pause.
    pub(crate) fn end_pause(&mut self) {
        self.pause = None;
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.pause.is_some_and(|pause| now < pause.until)
    }

    /// Whether the server was paused recently and has not succeeded since.
    pub(crate) fn paused_recently(&self, now: Instant) -> bool {
        self.pause.is_some_and(|pause| now < pause.until + RECENT_PAUSE_WINDOW)
    }

    /// Records the ratio of a measured time to the service's mean.
    pub(crate) fn observe_speed(&mut self, ratio: f64, now: Instant) {
        self.decay(now);
        self.slowness += SPEED_WEIGHT * (ratio.clamp(0.1, SLOWNESS_MAX) - self.slowness);
    }

    /// Moving average of the fraction of requests that fail.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        let factor = self.decay_factor(now);
        let failures = self.failures * factor;
        failures / (failures + self.successes * factor + PRIOR_SUCCESSES)
    }

    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay_factor(now)
    }

    fn decay(&mut self, now: Instant) {
        let factor = self.decay_factor(now);
        self.failures *= factor;
        self.successes *= factor;
        self.slowness = 1.0 + (self.slowness - 1.0) * factor;
        self.decayed_at = now;
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

/// Reachability of a data centre: several servers that become unreachable together have a common cause.
#[derive(Clone, Debug, Default)]
pub(crate) struct DataCentreHealth {
    /// Servers found unreachable or silent since a server of the data centre last answered.
    unreachable_servers: BTreeSet<BackendServerId>,
    pause: Option<Pause>,
}

impl DataCentreHealth {
    /// Records that a server of the data centre answered.
    pub(crate) fn server_answered(&mut self) {
        self.unreachable_servers.clear();
        self.pause = None;
    }

    /// Records that a server of the data centre was unreachable or silent.
    pub(crate) fn server_unreachable(&mut self, server: &BackendServerId, now: Instant) {
        self.unreachable_servers.insert(server.clone());
        if self.unreachable_servers.len() < MIN_UNREACHABLE_SERVERS || self.is_paused(now) {
            return;
        }
        let count = self.pause.map_or(0, |pause| pause.count);
        let length = PAUSE_BASE.saturating_mul(2 << count.min(4)).min(PAUSE_MAX);
        self.pause = Some(Pause { until: now + length, count: count + 1 });
    }

    /// Whether servers of other data centres are preferred for now.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.pause.is_some_and(|pause| now < pause.until)
    }
}
