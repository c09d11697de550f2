//! Limit on the requests that a version on trial gets, kept by each host from its own requests.
//!
//! The fleet-wide limit is a share of the service's requests since the order plus a constant. Each host applies the share
//! to its own requests and uses its part of the constant, so the sum stays within the limit without communication.

use foxtailhoist_model::VersionId;

/// Fleet-wide limit on the requests that a version on trial gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Fraction of the service's requests.
    pub share: f64,
    /// Requests in addition to the share.
    pub tolerance: f64,
}

/// Requests of one service since a trial started.
#[derive(Debug)]
pub(crate) struct Exposure {
    target: VersionId,
    /// Requests that were sent to any version, without retries.
    requests: u64,
    /// Attempts at the target, retries included.
    exposed: u64,
    /// Whether this host may use its part of the tolerance. A host that starts during the trial may have used it before.
    has_tolerance: bool,
}

impl Exposure {
    pub(crate) fn new(target: VersionId, has_tolerance: bool) -> Exposure {
        Exposure { target, requests: 0, exposed: 0, has_tolerance }
    }

    /// Records a request that is sent for the first time.
    pub(crate) fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Records an attempt that is about to be sent.
    pub(crate) fn record_attempt(&mut self, version: &VersionId) {
        self.exposed += u64::from(*version == self.target);
    }

    /// Records that an attempt was not sent after all.
    pub(crate) fn cancel_attempt(&mut self, version: &VersionId) {
        self.exposed -= u64::from(*version == self.target && self.exposed > 0);
    }

    /// Whether the limit allows another attempt at the target; `hosts` share the tolerance.
    pub(crate) fn allows_attempt(&self, limit: ExposureLimit, hosts: usize) -> bool {
        let tolerance =
            if self.has_tolerance { limit.tolerance / hosts.max(1) as f64 } else { 0.0 };
        (self.exposed + 1) as f64 <= self.requests as f64 * limit.share + tolerance
    }
}
