//! Settings of a router, as a builder.

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;

/// Ratings a second that the rating service takes from the whole fleet.
const RATINGS_PER_SECOND: f64 = 10.0;

/// Settings of one router; what operators decide comes with the configuration instead.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    pub(crate) host: EntryHostId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) enforcement: Enforcement,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) ratings_per_second: f64,
}

/// Switches for each mechanism; all are on by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Servers that hold a prompt's prefix are preferred.
    pub affinity: bool,
    /// A cheap answer that falls short is replaced by a better model's.
    pub cascade: bool,
    /// Requests may go to models below the best.
    pub cheaper_models: bool,
    /// A bounded share of requests tries models that are not proven yet.
    pub exploration: bool,
    /// Slow idempotent attempts get a second one.
    pub hedging: bool,
    /// Failed attempts are tried again.
    pub retries: bool,
    /// Concurrency limits follow latency.
    pub adaptive_limits: bool,
    /// Waiting requests are served by workspace in turn.
    pub fair_share: bool,
    /// Requests that would wait too long are refused at once.
    pub early_shedding: bool,
    /// Servers of the own data centre go first.
    pub zone_preference: bool,
}

impl RouterConfig {
    /// Settings for an entry host, with every mechanism on.
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

    /// Sets what a violated invariant does.
    #[must_use]
    pub fn enforcement(self, enforcement: Enforcement) -> RouterConfig {
        RouterConfig { enforcement, ..self }
    }

    /// Sets which mechanisms are on.
    #[must_use]
    pub fn mechanisms(self, mechanisms: Mechanisms) -> RouterConfig {
        RouterConfig { mechanisms, ..self }
    }

    /// Sets the ratings a second that the whole fleet may ask for.
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
