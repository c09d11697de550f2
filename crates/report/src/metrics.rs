//! What an entry host keeps for the report, in minutes and hours, and how two hosts' metrics become one.
//!
//! Workspaces are counted by the minute for the last hour and by the hour for three days: the windows of the burn rates
//! need no more. Versions, data centres and presets are counted by the hour. Servers and latencies, of which a report
//! shows only sums over its whole window, are kept by the half day, because they take the most memory. Everything is a
//! sum of whole numbers or of equal cells, so merging is exact, and the order does not matter.

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

/// Time that is counted by the minute, at least; whole hours leave together.
pub const MINUTES_KEPT: Duration = Duration::from_secs(60 * 60);
/// Time that is kept at all, at least; a little above the longest window. Whole half days leave together.
pub const HOURS_KEPT: Duration = Duration::from_secs(74 * 60 * 60);
/// A peer's buckets from further ahead than this are left out: its clock is wrong.
pub const CLOCK_SKEW_LIMIT: Duration = Duration::from_secs(5 * 60);

const MINUTES_PER_HALF_DAY: Minute = 12 * MINUTES_PER_HOUR;

/// Metrics of one or more hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// Recent counts of the workspaces, by the minute with which they begin.
    minutes: BTreeMap<Minute, SeriesSet>,
    /// Older counts of the workspaces, and those of versions, data centres and presets, by the minute with which they
    /// begin.
    hours: BTreeMap<Minute, SeriesSet>,
    /// Counts of servers, and latencies, by the minute with which they begin.
    half_days: BTreeMap<Minute, HalfDay>,
    exposure: ExposureTable,
    /// Buckets of peers that were left out for a clock that is ahead.
    skipped_buckets: u64,
    #[serde(skip, default = "host_limits")]
    limits: SeriesLimits,
}

/// What is kept by the half day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct HalfDay {
    servers: SeriesSet,
    distributions: DistributionSet,
}

/// Counts and the minute with which they begin.
#[derive(Clone, Copy, Debug)]
pub struct TimedSeries<'a> {
    pub begin: Minute,
    pub series: &'a SeriesSet,
}

impl Default for Metrics {
    /// Metrics of a host that records, within [`HOST_LIMITS`].
    fn default() -> Metrics {
        Metrics::within(HOST_LIMITS)
    }
}

impl Metrics {
    /// Metrics into which those of a whole fleet are merged, within [`FLEET_LIMITS`].
    #[must_use]
    pub fn of_fleet() -> Metrics {
        Metrics::within(FLEET_LIMITS)
    }

    fn within(limits: SeriesLimits) -> Metrics {
        Metrics {
            minutes: BTreeMap::new(),
            hours: BTreeMap::new(),
            half_days: BTreeMap::new(),
            exposure: ExposureTable::default(),
            skipped_buckets: 0,
            limits,
        }
    }

    /// Counts an observation; `at` is the host's calendar time. One from before what is kept is dropped.
    pub fn record(&mut self, at: SystemTime, observation: &Observation) {
        let minute = minute_of(at);
        if self.newest().is_some_and(|newest| minute < oldest_kept(newest)) {
            return;
        }
        match observation {
            Observation::Completed(request) => self.complete(minute, request),
            Observation::Refused(request) => {
                self.count(minute, &request.labels, |counters| counters.refuse(request));
            }
            Observation::Rated { labels, acceptable } => {
                self.count(minute, labels, |counters| counters.rate(*acceptable));
            }
            Observation::Exposed { model_version, callers } => {
                self.exposure.expose(minute, model_version, *callers);
            }
            Observation::Vetoed { model_version } => self.exposure.veto(minute, model_version),
        }
    }

    /// Adds another host's metrics. `now` is this host's calendar time: what lies beyond it is left out.
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

    /// Buckets of peers that were left out because their clock is ahead.
    #[must_use]
    pub fn skipped_buckets(&self) -> u64 {
        self.skipped_buckets
    }

    /// Counts within the window before `now`. Minutes are exact; an hour or half day that the window only touches is
    /// included whole.
    pub fn window(
        &self,
        now: SystemTime,
        length: Duration,
    ) -> impl Iterator<Item = TimedSeries<'_>> {
        let (start, end) = bounds(now, length);
        let half_days = self.half_days_within(start, end);
        let servers =
            half_days.map(|(begin, half_day)| TimedSeries { begin, series: &half_day.servers });
        let hours = self.hours.range(start.saturating_sub(MINUTES_PER_HOUR - 1)..end);
        let minutes = self.minutes.range(start..end);
        let others = hours.chain(minutes);
        servers.chain(others.map(|(begin, series)| TimedSeries { begin: *begin, series }))
    }

    /// Latencies within the window before `now`, by the half day.
    pub(crate) fn distributions(
        &self,
        now: SystemTime,
        length: Duration,
    ) -> impl Iterator<Item = &DistributionSet> {
        let (start, end) = bounds(now, length);
        self.half_days_within(start, end).map(|(_, half_day)| &half_day.distributions)
    }

    /// Number of minutes, hours and half days that are kept.
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

    fn complete(&mut self, minute: Minute, request: &CompletedRequest) {
        let slow = request.first_token.is_some_and(|time| time > FIRST_TOKEN_TARGET);
        self.count(minute, &request.labels, |counters| counters.complete(request, slow));
        self.half_day(minute).distributions.record(request);
    }

    fn count(&mut self, minute: Minute, labels: &Labels, change: impl Fn(&mut Counters)) {
        let limits = self.limits;
        self.workspaces(minute).count_workspace(labels, limits, &change);
        self.hours.entry(hour_of(minute)).or_default().count_others(labels, limits, &change);
        self.half_day(minute).servers.count_server(labels, limits, &change);
    }

    /// Bucket of a minute's half day; a new one takes the live histograms' memory from the others.
    fn half_day(&mut self, minute: Minute) -> &mut HalfDay {
        let begin = half_day_of(minute);
        if !self.half_days.contains_key(&begin) {
            self.half_days.values_mut().for_each(|half_day| half_day.distributions.seal());
        }
        self.half_days.entry(begin).or_default()
    }

    /// Workspaces' counts of a minute; an old one's are those of its hour.
    fn workspaces(&mut self, minute: Minute) -> &mut SeriesSet {
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

    /// Turns old minutes into hours and drops old hours.
    fn compact(&mut self) {
        let Some(newest) = self.newest() else { return };
        // Whole hours leave together, so that an hour's counts are never split.
        let first_kept = hour_of(newest.saturating_sub(minutes(MINUTES_KEPT)));
        let kept = self.minutes.split_off(&first_kept);
        for (minute, series) in std::mem::replace(&mut self.minutes, kept) {
            let hour = self.hours.entry(hour_of(minute)).or_default();
            hour.merge(&series, self.limits);
        }
        self.hours = self.hours.split_off(&oldest_kept(newest));
        self.half_days = self.half_days.split_off(&oldest_kept(newest));
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

/// Begin of the oldest half day that is kept. Whole ones leave together, so that none is ever cut.
fn oldest_kept(newest: Minute) -> Minute {
    half_day_of(newest.saturating_sub(minutes(HOURS_KEPT)))
}

fn hour_of(minute: Minute) -> Minute {
    minute / MINUTES_PER_HOUR * MINUTES_PER_HOUR
}

fn half_day_of(minute: Minute) -> Minute {
    minute / MINUTES_PER_HALF_DAY * MINUTES_PER_HALF_DAY
}

/// First minute of a window, and the minute after its last; the one that is not over yet is the last.
fn bounds(now: SystemTime, length: Duration) -> (Minute, Minute) {
    let end = minute_of(now) + 1;
    (end.saturating_sub(minutes(length)), end)
}
