//! Limits that servers name in their answers: what this host learns of them, and what other hosts tell.

use std::time::Instant;

use foxtailhoist_model::BackendServerId;

use super::Dispatcher;
use super::Notification;
use crate::backends::rate_limit::LimitFinding;
use crate::backends::rate_limit::StatedLimit;
use crate::in_flight::Attempt;
use crate::in_flight::InFlightRequest;

impl Dispatcher {
    pub(super) fn record_stated_limit(
        &mut self,
        req: &InFlightRequest,
        attempt: &Attempt,
        stated: StatedLimit,
        now: Instant,
    ) {
        let sent = req.times.sent_at(attempt);
        if self.backends.record_stated_limit(attempt, stated, sent, now) {
            self.notify_limit(attempt.server.clone(), true);
        }
    }

    /// Adds other hosts' findings on limits.
    pub fn merge_limit_findings(&mut self, findings: &[LimitFinding], now: Instant) {
        for server in self.backends.merge_limit_findings(findings, now) {
            self.notify_limit(server, false);
        }
    }

    /// Whether there are findings on limits to share.
    #[must_use]
    pub fn has_limit_news(&self) -> bool {
        self.backends.has_limit_news()
    }

    /// Whether findings on limits to share were added since the last call.
    pub fn take_has_new_limits(&mut self) -> bool {
        self.backends.take_has_new_limits()
    }

    /// Findings on limits to pass on to other hosts in this round.
    #[must_use]
    pub fn take_limit_news(&mut self, now: Instant) -> Vec<LimitFinding> {
        self.backends.take_limit_news(now)
    }

    /// Findings on limits in force, for a host that may have missed them.
    #[must_use]
    pub fn limit_findings(&self, now: Instant) -> Vec<LimitFinding> {
        self.backends.limit_findings(now)
    }

    fn notify_limit(&mut self, server: BackendServerId, is_own: bool) {
        let per_second = self.backends.stated_limit(&server);
        self.notifications.push(Notification::ServerLimited { server, per_second, is_own });
    }
}
