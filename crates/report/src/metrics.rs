//! Metrics that an entry host keeps for the report, in time buckets, and their merging across hosts.
//!
//! Workspaces are counted per minute for the last hour and per hour for three days, the resolution that the burn-rate
//! windows require. Versions, data centres and presets are counted per hour. Servers and latencies, of which a report
//! shows only sums over its whole window, are kept per half day, because they take the most memory. All values are
//! integers or histograms with equal buckets, so merging is exact and independent of order.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use foxtailhoist_model::ModelVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::calendar::MINUTES_PER_HOUR;
use crate::calendar::Minute;
use crate::calendar::minute_of;
use crate::calendar::minutes;
use crate::counters::Counters;
use crate::distributions::DistributionSet;
use crate::exposure::Exposure;
use crate::exposure::ExposureTable;
use crate::objective::FIRST_TOKEN_TARGET;
use crate::observation::CompletedRequest;
use crate::observation::Labels;
use crate::observation::Observation;
use crate::series::FLEET_LIMITS;
use crate::series::HOST_LIMITS;
use crate::series::SeriesLimits;
use crate::series::SeriesSet;

/// Minimum retention of per-minute counts; they are merged into hours one whole hour at a time.
pub const MINUTE_RETENTION: Duration = Duration::from_secs(60 * 60);
/// Minimum retention of all counts, slightly longer than the longest window; they are dropped one whole half day at a
/// time.
pub const RETENTION: Duration = Duration::from_secs(74 * 60 * 60);
/// Clock skew beyond which a peer's buckets from the future are skipped: its clock is wrong.
pub const CLOCK_SKEW_LIMIT: Duration = Duration::from_secs(5 * 60);

const MINUTES_PER_HALF_DAY: Minute = 12 * MINUTES_PER_HOUR;

/// Metrics of one or more hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// Recent counts of the workspaces, keyed by the start of the bucket.
    minutes: BTreeMap<Minute, SeriesSet>,
    /// Older counts of the workspaces, and counts of versions, data centres and presets, keyed by the start of the
    /// bucket.
    hours: BTreeMap<Minute, SeriesSet>,
    /// Counts of servers, and latencies, keyed by the start of the bucket.
    half_days: BTreeMap<Minute, HalfDay>,
    exposure: ExposureTable,
    /// Buckets that were skipped because the clock of their host is ahead.
    skipped_buckets: u64,
    #[serde(skip, default = "host_limits")]
    limits: SeriesLimits,
}

/// Metrics that are kept per half day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct HalfDay {
    servers: SeriesSet,
    distributions: DistributionSet,
}

/// Counters of one bucket and its start.
#[derive(Clone, Copy, Debug)]
pub struct TimedSeries<'a> {
    pub begin: Minute,
    pub series: &'a SeriesSet,
}

impl Default for Metrics {
    /// Empty metrics for one host, limited by [`HOST_LIMITS`].
    fn default() -> Metrics {
        Metrics::with_limits(HOST_LIMITS)
    }
}

impl Metrics {
    /// Empty metrics for merging those of a whole fleet, limited by [`FLEET_LIMITS`].
    #[must_use]
    pub fn for_fleet() -> Metrics {
        Metrics::with_limits(FLEET_LIMITS)
    }

    fn with_limits(limits: SeriesLimits) -> Metrics {
        Metrics {
            minutes: BTreeMap::new(),
            hours: BTreeMap::new(),
            half_days: BTreeMap::new(),
            exposure: ExposureTable::default(),
            skipped_buckets: 0,
            limits,
        }
    }

    /// Records an observation at the host's wall-clock time `at`; one older than the retention period is dropped.
    pub fn record(&mut self, at: SystemTime, observation: &Observation) {
        let minute = minute_of(at);
        if self.newest().is_some_and(|newest| minute < retention_start(newest)) {
            return;
        }
        match observation {
            Observation::Completed(request) => self.record_completed(minute, request),
            Observation::Refused(request) => {
                self.count(minute, &request.labels, |counters| counters.record_refused(request));
            }
            Observation::Rated { labels, acceptable } => {
                self.count(minute, labels, |counters| counters.record_rating(*acceptable));
            }
            Observation::Exposed { model_version, callers } => {
                self.exposure.expose(minute, model_version, *callers);
            }
            Observation::Vetoed { model_version } => self.exposure.veto(minute, model_version),
        }
    }

    /// Merges another host's metrics. `now` is this host's wall-clock time: buckets more than [`CLOCK_SKEW_LIMIT`]
    /// after it are skipped.
    pub fn merge(&mut self, other: &Metrics, now: SystemTime) {
        let latest = minute_of(now + CLOCK_SKEW_LIMIT);
        self.skipped_buckets += other.skipped_buckets;
        for (begin, series) in &other.minutes {
            if *begin > latest {
                self.skipped_buckets += 1;
            } else {
                self.minutes.entry(*begin).or_default().merge(series, self.limits);
            }
        }
        for (begin, series) in &other.hours {
            if *begin > latest {
                self.skipped_buckets += 1;
            } else {
                self.hours.entry(*begin).or_default().merge(series, self.limits);
            }
        }
        for (begin, half_day) in &other.half_days {
            if *begin > latest {
                self.skipped_buckets += 1;
            } else {
                self.half_days.entry(*begin).or_default().merge(half_day, self.limits);
            }
        }
        self.exposure.merge(&other.exposure);
        self.compact();
    }

    /// Exposure by version.
    #[must_use]
    pub fn exposure(&self) -> &BTreeMap<ModelVersion, Exposure> {
        self.exposure.versions()
    }

    /// Number of buckets that were skipped because the clock of their host is ahead.
    #[must_use]
    pub fn skipped_buckets(&self) -> u64 {
        self.skipped_buckets
    }

    /// Counters within the window that ends at `now`. Minute buckets match exactly; an hour or half day that overlaps
    /// the window is included completely.
    pub fn window(
        &self,
        now: SystemTime,
        length: Duration,
    ) -> impl Iterator<Item = TimedSeries<'_>> {
        let (start, end) = window_bounds(now, length);
        let half_days = self.half_days_within(start, end);
        let servers =
            half_days.map(|(begin, half_day)| TimedSeries { begin, series: &half_day.servers });
        let hours = self.hours.range(start.saturating_sub(MINUTES_PER_HOUR - 1)..end);
        let minutes = self.minutes.range(start..end);
        let others = hours.chain(minutes);
        servers.chain(others.map(|(begin, series)| TimedSeries { begin: *begin, series }))
    }

    /// Latencies within the window that ends at `now`, per half day.
    pub(crate) fn distributions(
        &self,
        now: SystemTime,
        length: Duration,
    ) -> impl Iterator<Item = &DistributionSet> {
        let (start, end) = window_bounds(now, length);
        self.half_days_within(start, end).map(|(_, half_day)| &half_day.distributions)
    }

    /// Number of minute, hour and half-day buckets.
    #[must_use]
    pub fn buckets(&self) -> usize {
        self.minutes.len() + self.hours.len() + self.half_days.len()
    }

    fn half_days_within(
        &self,
        start: Minute,
        end: Minute,
    ) -> impl Iterator<Item = (Minute, &HalfDay)> {
        let first = start.saturating_sub(MINUTES_PER_HALF_DAY - 1);
        self.half_days.range(first..end).map(|(begin, half_day)| (*begin, half_day))
    }

    fn record_completed(&mut self, minute: Minute, request: &CompletedRequest) {
        let slow = request.first_token.is_some_and(|time| time > FIRST_TOKEN_TARGET);
        self.count(minute, &request.labels, |counters| counters.record_completed(request, slow));
        self.half_day(minute).distributions.record(request);
    }

    fn count(&mut self, minute: Minute, labels: &Labels, change: impl Fn(&mut Counters)) {
        let limits = self.limits;
        self.workspace_series(minute).count_workspace(labels, limits, &change);
        self.hours.entry(hour_of(minute)).or_default().count_others(labels, limits, &change);
        self.half_day(minute).servers.count_server(labels, limits, &change);
    }

    /// Bucket of the half day that contains a minute. Creating one compresses the histograms of the others.
    fn half_day(&mut self, minute: Minute) -> &mut HalfDay {
        let begin = half_day_of(minute);
        if !self.half_days.contains_key(&begin) {
            self.half_days.values_mut().for_each(|half_day| half_day.distributions.compress());
        }
        self.half_days.entry(begin).or_default()
    }

    /// Bucket for the workspaces' counts of a minute: that of its hour once the minute has been compacted.
    fn workspace_series(&mut self, minute: Minute) -> &mut SeriesSet {
        let is_new = !self.minutes.contains_key(&minute);
        self.minutes.entry(minute).or_default();
        if is_new {
            self.compact();
        }
        match self.minutes.get_mut(&minute) {
            Some(series) => series,
            None => self.hours.entry(hour_of(minute)).or_default(),
        }
    }

    /// Merges old minutes into hours and drops buckets beyond the retention period.
    fn compact(&mut self) {
        let Some(newest) = self.newest() else { return };
        // Whole hours are merged at once, so that an hour's counts are never split.
        let first_kept = hour_of(newest.saturating_sub(minutes(MINUTE_RETENTION)));
        let kept = self.minutes.split_off(&first_kept);
        for (minute, series) in std::mem::replace(&mut self.minutes, kept) {
            let hour = self.hours.entry(hour_of(minute)).or_default();
            hour.merge(&series, self.limits);
        }
        self.hours = self.hours.split_off(&retention_start(newest));
        self.half_days = self.half_days.split_off(&retention_start(newest));
    }

    fn newest(&self) -> Option<Minute> {
        let minute = self.minutes.last_key_value().map(|(begin, _)| *begin);
        let hour = self.hours.last_key_value().map(|(begin, _)| *begin);
        minute.max(hour)
    }
}

impl HalfDay {
    fn merge(&mut self, other: &HalfDay, limits: SeriesLimits) {
        self.servers.merge(&other.servers, limits);
        self.distributions.merge(&other.distributions);
    }
}

fn host_limits() -> SeriesLimits {
    HOST_LIMITS
}

/// Start of the oldest half day that is kept. Half days are dropped whole, so that none is partial.
fn retention_start(newest: Minute) -> Minute {
    half_day_of(newest.saturating_sub(minutes(RETENTION)))
}

fn hour_of(minute: Minute) -> Minute {
    minute / MINUTES_PER_HOUR * MINUTES_PER_HOUR
}

fn half_day_of(minute: Minute) -> Minute {
    minute / MINUTES_PER_HALF_DAY * MINUTES_PER_HALF_DAY
}

/// First minute of a window, and the minute after its last, which is the current one.
fn window_bounds(now: SystemTime, length: Duration) -> (Minute, Minute) {
    let end = minute_of(now) + 1;
    (end.saturating_sub(minutes(length)), end)
}
