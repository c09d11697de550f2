//! What an entry host keeps for the report, in minutes and hours, and how two hosts' metrics become one.
//!
//! The last two hours are kept by the minute and the last three days by the hour: the windows of the burn rates need no
//! more. Everything is a sum of whole numbers or of equal cells, so merging is exact, and the order does not matter.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use foxtailhoist_model::ModelVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::bucket::Bucket;
use crate::calendar::MINUTES_PER_HOUR;
use crate::calendar::Minute;
use crate::calendar::minute_of;
use crate::calendar::minutes;
use crate::objective::FIRST_TOKEN_TARGET;
use crate::observation::CompletedRequest;
use crate::observation::Labels;
use crate::observation::Observation;
use crate::observation::RefusedRequest;

/// Time that is kept by the minute.
pub const MINUTES_KEPT: Duration = Duration::from_secs(2 * 60 * 60);
/// Time that is kept at all; a little above the longest window.
pub const HOURS_KEPT: Duration = Duration::from_secs(74 * 60 * 60);
/// A peer's buckets from further ahead than this are left out: its clock is wrong.
pub const CLOCK_SKEW_LIMIT: Duration = Duration::from_secs(5 * 60);
/// Versions whose exposure is kept; the one first exposed longest ago goes first.
pub const VERSIONS_LIMIT: usize = 256;

/// Metrics of one or more hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// By the minute with which they begin.
    minutes: BTreeMap<Minute, Bucket>,
    /// By the minute with which they begin.
    hours: BTreeMap<Minute, Bucket>,
    exposure: BTreeMap<ModelVersion, Exposure>,
    /// Buckets of peers that were left out for a clock that is ahead.
    skipped_buckets: u64,
}

/// Callers that were exposed to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exposure {
    /// Distinct callers until the veto, or so far; summed over hosts, so an upper bound.
    pub callers: u64,
    pub since: Minute,
    pub vetoed: Option<Minute>,
}

impl Metrics {
    /// Counts an observation; `at` is the host's calendar time.
    pub fn record(&mut self, at: SystemTime, observation: &Observation) {
        let minute = minute_of(at);
        let buckets_before = self.minutes.len();
        match observation {
            Observation::Completed(request) => self.bucket(minute).complete(request),
            Observation::Refused(request) => self.bucket(minute).refuse(request),
            Observation::Rated { labels, acceptable } => {
                self.bucket(minute).rate(labels, *acceptable);
            }
            Observation::Exposed { model_version, callers } => {
                self.expose(minute, model_version, *callers);
            }
            Observation::Vetoed { model_version } => {
                self.expose(minute, model_version, 0);
                if let Some(exposure) = self.exposure.get_mut(model_version) {
                    exposure.vetoed.get_or_insert(minute);
                }
            }
        }
        if self.minutes.len() != buckets_before {
            self.compact();
        }
    }

    /// Adds another host's metrics. `now` is this host's calendar time: what lies beyond it is left out.
    pub fn merge(&mut self, other: &Metrics, now: SystemTime) {
        let latest = minute_of(now + CLOCK_SKEW_LIMIT);
        self.skipped_buckets += other.skipped_buckets;
        self.skipped_buckets += merge_buckets(&mut self.minutes, &other.minutes, latest);
        self.skipped_buckets += merge_buckets(&mut self.hours, &other.hours, latest);
        for (version, theirs) in &other.exposure {
            match self.exposure.get_mut(version) {
                Some(ours) => ours.merge(*theirs),
                None => {
                    self.make_room_for_version();
                    self.exposure.insert(version.clone(), *theirs);
                }
            }
        }
        self.compact();
    }

    /// Exposure by version.
    #[must_use]
    pub fn exposure(&self) -> &BTreeMap<ModelVersion, Exposure> {
        &self.exposure
    }

    /// Buckets of peers that were left out because their clock is ahead.
    #[must_use]
    pub fn skipped_buckets(&self) -> u64 {
        self.skipped_buckets
    }

    /// Buckets that overlap the window before `now`, oldest first. Minutes are exact; an hour that the window only
    /// touches is included whole.
    pub fn window(
        &self,
        now: SystemTime,
        length: Duration,
    ) -> impl Iterator<Item = TimedBucket<'_>> {
        let end = minute_of(now);
        let start = end.saturating_sub(minutes(length));
        let hours = self
            .hours
            .iter()
            .filter(move |(begin, _)| **begin + MINUTES_PER_HOUR > start + 1 && **begin <= end)
            .map(|(begin, bucket)| TimedBucket { begin: *begin, bucket });
        let minutes = self
            .minutes
            .range(start.saturating_add(1)..=end.max(start.saturating_add(1)))
            .map(|(begin, bucket)| TimedBucket { begin: *begin, bucket });
        hours.chain(minutes)
    }

    /// Number of buckets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.minutes.len() + self.hours.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn bucket(&mut self, minute: Minute) -> &mut Bucket {
        if !self.minutes.contains_key(&minute) {
            self.minutes.values_mut().for_each(Bucket::seal);
        }
        self.minutes.entry(minute).or_default()
    }

    fn expose(&mut self, minute: Minute, version: &ModelVersion, callers: u64) {
        if !self.exposure.contains_key(version) {
            self.make_room_for_version();
        }
        let new = Exposure { callers: 0, since: minute, vetoed: None };
        let exposure = self.exposure.entry(version.clone()).or_insert(new);
        if exposure.vetoed.is_none() {
            exposure.callers = exposure.callers.max(callers);
        }
    }

    fn make_room_for_version(&mut self) {
        if self.exposure.len() < VERSIONS_LIMIT {
            return;
        }
        let oldest = self.exposure.iter().min_by_key(|(_, exposure)| exposure.since);
        if let Some(version) = oldest.map(|(version, _)| version.clone()) {
            self.exposure.remove(&version);
        }
    }

    /// Turns old minutes into hours and drops old hours.
    fn compact(&mut self) {
        let newest_minute = self.minutes.last_key_value().map(|(begin, _)| *begin);
        let newest_hour = self.hours.last_key_value().map(|(begin, _)| *begin);
        let Some(newest) = newest_minute.max(newest_hour) else { return };
        // Whole hours leave at once, so that an hour is never kept both ways.
        let first_kept =
            newest.saturating_sub(minutes(MINUTES_KEPT)) / MINUTES_PER_HOUR * MINUTES_PER_HOUR;
        let kept = self.minutes.split_off(&first_kept);
        for (minute, bucket) in std::mem::replace(&mut self.minutes, kept) {
            let hour = minute / MINUTES_PER_HOUR * MINUTES_PER_HOUR;
            self.hours.entry(hour).or_default().merge(&bucket);
        }
        let oldest = newest.saturating_sub(minutes(HOURS_KEPT));
        self.hours = self.hours.split_off(&oldest);
    }
}

/// A bucket and the minute with which it begins.
#[derive(Clone, Copy, Debug)]
pub struct TimedBucket<'a> {
    pub begin: Minute,
    pub bucket: &'a Bucket,
}

impl Exposure {
    fn merge(&mut self, other: Exposure) {
        self.callers += other.callers;
        self.since = self.since.min(other.since);
        self.vetoed = match (self.vetoed, other.vetoed) {
            (Some(ours), Some(theirs)) => Some(ours.min(theirs)),
            (ours, theirs) => ours.or(theirs),
        };
    }
}

impl Bucket {
    fn complete(&mut self, request: &CompletedRequest) {
        let slow = request.first_token.is_some_and(|time| time > FIRST_TOKEN_TARGET);
        self.counters(&request.labels).complete(request, slow);
        let distributions = self.distributions(&request.labels.workspace);
        distributions.total.record(request.total);
        if let Some(first_token) = request.first_token {
            distributions.first_token.record(first_token);
        }
    }

    fn refuse(&mut self, request: &RefusedRequest) {
        self.counters(&request.labels).refuse(request);
    }

    fn rate(&mut self, labels: &Labels, acceptable: bool) {
        self.counters(labels).rate(acceptable);
    }
}

/// Adds the buckets that do not begin after `latest`; returns how many do.
fn merge_buckets(
    ours: &mut BTreeMap<Minute, Bucket>,
    theirs: &BTreeMap<Minute, Bucket>,
    latest: Minute,
) -> u64 {
    let mut skipped = 0;
    for (begin, bucket) in theirs {
        if *begin > latest {
            skipped += 1;
        } else {
            ours.entry(*begin).or_default().merge(bucket);
        }
    }
    skipped
}
