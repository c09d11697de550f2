//! Configuration of a router.

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;

/// Ratings per second that the rating service accepts from the whole fleet.
const RATINGS_PER_SECOND: f64 = 10.0;

/// Settings of one router; what operators change at run time is in the configuration instead.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    pub(crate) host: EntryHostId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) enforcement: Enforcement,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) ratings_per_second: f64,
}

/// Mechanisms that can be turned off one by one; all are on by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Prefer servers that have the prompt's prefix cached.
    pub affinity: bool,
    /// Replace a cheap answer of low confidence with a better model's.
    pub cascade: bool,
    /// Route requests to cheaper models than the best one.
    pub cheaper_models: bool,
    /// Send a bounded share of requests to models whose quality is not established yet.
    pub exploration: bool,
    /// Start a second attempt beside a slow idempotent one.
    pub hedging: bool,
    /// Retry failed attempts.
    pub retries: bool,
    /// Adapt concurrency limits to latency.
    pub adaptive_limits: bool,
    /// Share the queue fairly between workspaces.
    pub fair_share: bool,
    /// Refuse at once requests that would wait too long.
    pub early_shedding: bool,
    /// Prefer servers of the local data centre.
    pub zone_preference: bool,
}

impl RouterConfig {
    /// Creates settings for an entry host, with every mechanism on.
    #[must_use]
    pub fn new(host: &str, data_centre: &str) -> RouterConfig {
        RouterConfig {
            host: host.to_owned(),
            data_centre: data_centre.to_owned(),
            enforcement: Enforcement::default(),
            mechanisms: Mechanisms::default(),
            ratings_per_second: RATINGS_PER_SECOND,
        }
    }

    /// Sets how a violated invariant is handled.
    #[must_use]
    pub fn enforcement(self, enforcement: Enforcement) -> RouterConfig {
        RouterConfig { enforcement, ..self }
    }

    /// Sets which mechanisms are on.
    #[must_use]
    pub fn mechanisms(self, mechanisms: Mechanisms) -> RouterConfig {
        RouterConfig { mechanisms, ..self }
    }

    /// Sets the ratings per second that the whole fleet may request.
    #[must_use]
    pub fn ratings_per_second(self, ratings_per_second: f64) -> RouterConfig {
        RouterConfig { ratings_per_second, ..self }
    }
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms {
            affinity: true,
            cascade: true,
            cheaper_models: true,
            exploration: true,
            hedging: true,
            retries: true,
            adaptive_limits: true,
            fair_share: true,
            early_shedding: true,
            zone_preference: true,
        }
    }
}
