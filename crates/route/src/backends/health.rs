//! What outcomes tell of a backend server: whether to pause it, how often it fails, how fast it is beside its peers.
//!
//! Failures and speed are moving averages that fade with time, so that a server which was avoided is tried again.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;

/// First pause after a refused or broken connection; doubles with each further one.
const PAUSE_BASE: Duration = Duration::from_millis(300);
/// Longest pause: well within the time in which a restarted server is listed again.
const PAUSE_MAX: Duration = Duration::from_millis(2_400);
/// Servers of a data centre that fail before it counts as cut off.
const LOST_TOGETHER: usize = 2;
/// Time after a pause in which a server is still avoided where others can do the work.
const DOUBT: Duration = Duration::from_secs(4);
/// Time in which half of what was seen is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Successes that an unknown server is credited with, so that one failure does not condemn it.
const PRIOR_SUCCESSES: f64 = 3.0;
/// Weight of a new sample of relative speed.
const SPEED_WEIGHT: f64 = 0.2;
/// Largest relative slowness that is recorded.
const SLOWNESS_MAX: f64 = 20.0;

/// State of one server.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failures: f64,
    successes: f64,
    /// Time per unit of work beside the service's mean; 1 is average.
    slowness: f64,
    faded: Instant,
    pause: Option<Pause>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    count: u32,
}

impl Health {
    pub(crate) fn new(now: Instant) -> Health {
        Health { failures: 0.0, successes: 0.0, slowness: 1.0, faded: now, pause: None }
    }

    pub(crate) fn succeed(&mut self, now: Instant) {
        self.fade(now);
        self.successes += 1.0;
        self.pause = None;
    }

    /// The server ran a request and failed it.
    pub(crate) fn fail(&mut self, now: Instant) {
        self.fade(now);
        self.failures += 1.0;
    }

    /// Takes the server out of use for a while.
    pub(crate) fn pause(&mut self, now: Instant) {
        let count = self.pause.map_or(0, |pause| pause.count);
        let length = PAUSE_BASE.saturating_mul(1 << count.min(4)).min(PAUSE_MAX);
        self.pause = Some(Pause { until: now + length, count: count + 1 });
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.pause.is_some_and(|pause| now < pause.until)
    }

    /// Whether the server failed lately and has not succeeded since.
    pub(crate) fn is_doubtful(&self, now: Instant) -> bool {
        self.pause.is_some_and(|pause| now < pause.until + DOUBT)
    }

    /// Takes in how long a piece of work took beside the service's mean.
    pub(crate) fn observe_speed(&mut self, ratio: f64, now: Instant) {
        self.fade(now);
        self.slowness += SPEED_WEIGHT * (ratio.clamp(0.1, SLOWNESS_MAX) - self.slowness);
    }

    /// Share of requests that fail.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        let keep = self.keep(now);
        let failures = self.failures * keep;
        failures / (failures + self.successes * keep + PRIOR_SUCCESSES)
    }

    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        1.0 + (self.slowness - 1.0) * self.keep(now)
    }

    fn fade(&mut self, now: Instant) {
        let keep = self.keep(now);
        self.failures *= keep;
        self.successes *= keep;
        self.slowness = 1.0 + (self.slowness - 1.0) * keep;
        self.faded = now;
    }

    fn keep(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.faded).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

/// Whether a data centre can be reached at all: servers that fail together there fail for a common cause.
#[derive(Clone, Debug, Default)]
pub(crate) struct CentreHealth {
    /// Servers that could not be reached since the last sign of life from the data centre.
    lost: BTreeSet<BackendServerId>,
    pause: Option<Pause>,
}

impl CentreHealth {
    /// A server there answered.
    pub(crate) fn answered(&mut self) {
        self.lost.clear();
        self.pause = None;
    }

    /// A server there could not be reached or fell silent.
    pub(crate) fn lost(&mut self, server: &BackendServerId, now: Instant) {
        self.lost.insert(server.clone());
        if self.lost.len() < LOST_TOGETHER || self.is_paused(now) {
            return;
        }
        let count = self.pause.map_or(0, |pause| pause.count);
        let length = PAUSE_BASE.saturating_mul(2 << count.min(4)).min(PAUSE_MAX);
        self.pause = Some(Pause { until: now + length, count: count + 1 });
    }

    /// Whether its servers are left alone where others can do the work.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.pause.is_some_and(|pause| now < pause.until)
    }
}
