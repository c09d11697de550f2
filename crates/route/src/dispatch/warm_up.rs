//! Cold servers, see [`crate::backends::warm_up`]: rules, and what other hosts tell.

use std::time::Instant;

use super::Dispatcher;
use super::Notification;
use crate::backends::warm_up::ColdFinding;
use crate::backends::warm_up::WarmUpRule;

impl Dispatcher {
    /// Adds other hosts' findings on cold servers.
    pub fn merge_cold_findings(&mut self, findings: &[ColdFinding], now: Instant) {
        self.backends.merge_cold_findings(findings, now);
    }

    /// Whether there are findings on cold servers to share.
    #[must_use]
    pub fn has_cold_news(&self) -> bool {
        self.backends.has_cold_news()
    }

    /// Findings on cold servers to pass on to other hosts in this round.
    #[must_use]
    pub fn take_cold_news(&mut self, now: Instant) -> Vec<ColdFinding> {
        self.backends.take_cold_news(now)
    }

    /// Findings on cold servers, for a host that may have missed them.
    #[must_use]
    pub fn cold_findings(&self, now: Instant) -> Vec<ColdFinding> {
        self.backends.cold_findings(now)
    }

    /// Records that a server whose answers broke off accepts no connection.
    pub fn crash_confirmed(&mut self, server: &str, now: Instant) {
        self.backends.server_found_dead(server, now);
        self.server_died(server, now);
    }

    pub(super) fn update_warm_up_rules(&mut self) {
        let services = self.table.iter().flat_map(|table| &table.services);
        let rules = services.filter_map(|(id, service)| {
            Some((id.clone(), WarmUpRule::new(service, self.cfg.warm_up_bound)?))
        });
        self.backends.set_warm_up_rules(rules.collect());
    }

    pub(super) fn notify_cold_changes(&mut self) {
        let changes = self.backends.take_cold_changes();
        self.notifications.extend(changes.into_iter().map(Notification::ServerCold));
    }
}
