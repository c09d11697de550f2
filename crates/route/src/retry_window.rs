//! Limit on retries of each service, from this host's own first attempts in a sliding window.
//!
//! The fleet-wide limit is a ratio of the first attempts plus a constant, the slack. Each host applies the ratio to its
//! own first attempts and uses its share of the slack, so that the sum stays within the limit without communication
//! between hosts.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ServiceId;

/// Time span of one bucket of the sliding window.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// Fleet-wide limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries of the whole fleet per window in addition to the ratio.
    pub slack: f64,
    pub window: Duration,
    /// Fraction of the slack that this host uses.
    pub host_share: f64,
}

/// Sliding windows of first attempts and retries, by service.
#[derive(Debug)]
pub(crate) struct RetryWindows {
    limit: RetryLimit,
    services: BTreeMap<ServiceId, VecDeque<Bucket>>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    first_attempts: u32,
    retries: u32,
}

impl RetryWindows {
    pub(crate) fn new(limit: RetryLimit) -> RetryWindows {
        RetryWindows { limit, services: BTreeMap::new() }
    }

    /// Replaces the limit but keeps this host's share of the slack.
    pub(crate) fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = RetryLimit { host_share: self.limit.host_share, ..limit };
    }

    /// Divides the slack evenly among `hosts`, this one included.
    pub(crate) fn set_host_count(&mut self, hosts: usize) {
        self.limit.host_share = 1.0 / hosts.max(1) as f64;
    }

    pub(crate) fn record_first_attempt(&mut self, service: &ServiceId, now: Instant) {
        self.bucket(service, now).first_attempts += 1;
    }

    pub(crate) fn record_retry(&mut self, service: &ServiceId, now: Instant) {
        self.bucket(service, now).retries += 1;
    }

    /// Whether the limit allows another retry. `reserve` is the part of the allowance, from 0 to 1, that is kept for
    /// more important retries.
    pub(crate) fn has_retry_allowance(
        &self,
        service: &ServiceId,
        reserve: f64,
        now: Instant,
    ) -> bool {
        let limit = self.limit;
        let buckets = self.services.get(service).into_iter().flatten();
        let (mut first_attempts, mut retries) = (0, 0);
        for bucket in buckets.filter(|bucket| is_in_window(bucket, &limit, now)) {
            first_attempts += bucket.first_attempts;
            retries += bucket.retries;
        }
        let allowance = f64::from(first_attempts) * limit.ratio + limit.slack * limit.host_share;
        f64::from(retries + 1) <= allowance * (1.0 - reserve)
    }

    fn bucket(&mut self, service: &ServiceId, now: Instant) -> &mut Bucket {
        let limit = self.limit;
        let buckets = self.services.entry(service.clone()).or_default();
        buckets.retain(|bucket| is_in_window(bucket, &limit, now));
        let is_current = buckets
            .back()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.start) < BUCKET_LENGTH);
        if !is_current {
            buckets.push_back(Bucket { start: now, first_attempts: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}

fn is_in_window(bucket: &Bucket, limit: &RetryLimit, now: Instant) -> bool {
    now.saturating_duration_since(bucket.start) <= limit.window
}
