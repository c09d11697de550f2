//! Waits of the watches, from the times within which changes must take effect.
//!
//! A connection to the store may stop responding for good without an error. The change that it hides is fetched after
//! the watch's wait, the margin and another call, and then takes a few hops to the last host. A wait of half the bound
//! leaves at least as long for the rest.

use std::time::Duration;

use crate::wire::ObjectKind;

/// Shortest wait; also the wait if no bound is known. Each call has a cost, and shorter waits leave no bound in use
/// unmet.
const MIN_WAIT: Duration = Duration::from_millis(1_000);
/// Wait of one watch for the kinds without a bound, and the longest wait.
const MAX_WAIT: Duration = Duration::from_millis(20_000);
/// Time beyond the wait for the configuration after which known state is stale: longer than an answer takes even when
/// the store is slow, and short enough to be replaced within the bound.
const STALE_MARGIN: Duration = Duration::from_millis(700);

/// Wait of one watch for the evacuations, as a fraction of the time within which an evacuation must be in force. A watch on
/// a connection that has stopped responding ends after this wait and a margin; of 5 s that leaves 1.4 s for the next
/// watch, and for the updates to reach the hosts that do not watch.
const EVACUATIONS_SHARE: f64 = 0.6;

/// Waits of the watches for the kinds with a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchWaits {
    configuration: Duration,
    servers: Duration,
    evacuations: Duration,
}

impl WatchWaits {
    /// Derives the waits from the bounds for changes of the configuration, for leaving servers and for evacuations. The watch for the
    /// configuration tells of all kinds how current they are, so both bounds limit its wait.
    #[must_use]
    pub fn new(
        propagation: Option<Duration>,
        drain: Option<Duration>,
        evacuation: Option<Duration>,
    ) -> WatchWaits {
        let wait = |bound: Option<Duration>| {
            bound.map_or(MIN_WAIT, |bound| (bound / 2).clamp(MIN_WAIT, MAX_WAIT))
        };
        let servers = wait(drain);
        let evacuations =
            evacuation.map_or(MAX_WAIT, |bound| bound.min(MAX_WAIT).mul_f64(EVACUATIONS_SHARE));
        WatchWaits { configuration: wait(propagation).min(servers), servers, evacuations }
    }

    /// Wait of one watch for a kind.
    #[must_use]
    pub fn of(&self, kind: ObjectKind) -> Duration {
        match kind {
            ObjectKind::Configuration => self.configuration,
            ObjectKind::Servers => self.servers,
            ObjectKind::Evacuations => self.evacuations,
            ObjectKind::Shifts | ObjectKind::Suspects | ObjectKind::Hosts => MAX_WAIT,
        }
    }

    /// Age above which the state of a source is stale.
    #[must_use]
    pub fn max_source_age(&self) -> Duration {
        self.configuration + STALE_MARGIN
    }
}
