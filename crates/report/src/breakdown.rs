//! Contributors to budget burn, presets and versions in use, and hourly counts over the report's window.

use std::collections::BTreeMap;
use std::time::SystemTime;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::PresetId;
use serde::Deserialize;
use serde::Serialize;

use crate::burn::REPORT_WINDOW;
use crate::calendar::MINUTES_PER_HOUR;
use crate::calendar::Minute;
use crate::counters::Counters;
use crate::metrics::Metrics;
use crate::observation::is_callers_fault;
use crate::series::Revisions;
use crate::series::SeriesKey;

/// Contributors listed for each dimension.
const CONTRIBUTORS_LIMIT: usize = 5;
/// Rows listed in each of the preset, version and exposure tables.
const ROWS_LIMIT: usize = 24;

/// Dimension along which contributors are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    Version,
    Server,
    DataCentre,
    ErrorKind,
}

/// Contribution of one version, server, data centre or error kind to the burn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Contributor {
    pub dimension: Dimension,
    pub name: String,
    /// Events that burnt a budget.
    pub bad: u64,
    /// Share of all events that burnt a budget, 0 to 1.
    pub bad_share: f64,
    /// Share of all requests, 0 to 1: a contributor whose `bad_share` is well above it stands out. Absent for error
    /// kinds.
    pub traffic_share: Option<f64>,
}

/// Use of a preset within the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetUse {
    pub preset: PresetId,
    /// Absent for presets beyond [`SeriesLimits::presets`](crate::SeriesLimits::presets).
    pub revisions: Option<Revisions>,
    /// Start of the first bucket with its requests.
    pub first: Minute,
    /// Start of the last bucket with its requests.
    pub last: Minute,
    pub requests: u64,
}

/// Use of a version within the window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionUse {
    pub model_version: ModelVersion,
    /// Start of the first bucket with its requests.
    pub first: Minute,
    /// Start of the last bucket with its requests.
    pub last: Minute,
    pub counters: Counters,
    /// Share of all requests, 0 to 1.
    pub traffic_share: f64,
}

/// Exposure of callers to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExposureReport {
    pub model_version: ModelVersion,
    /// Upper bound of the number of distinct callers; see [`Exposure::callers`](crate::Exposure::callers).
    pub callers: u64,
    /// Time of the first exposure, or of the veto if there was no exposure before it.
    pub since: Minute,
    /// Time of the veto; `None` if the version was not vetoed.
    pub vetoed: Option<Minute>,
}

/// One hour of the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HourPoint {
    pub begin: Minute,
    pub counters: Counters,
}

/// Counters summed over the window along each dimension.
#[derive(Debug, Default)]
pub(crate) struct Breakdown {
    pub(crate) totals: Counters,
    versions: BTreeMap<ModelVersion, UsagePeriod>,
    servers: BTreeMap<String, Counters>,
    data_centres: BTreeMap<String, Counters>,
    presets: BTreeMap<PresetId, UsagePeriod>,
    revisions: BTreeMap<PresetId, Revisions>,
    hours: BTreeMap<Minute, Counters>,
}

#[derive(Debug)]
struct UsagePeriod {
    first: Minute,
    last: Minute,
    counters: Counters,
}

impl UsagePeriod {
    fn new(begin: Minute) -> UsagePeriod {
        UsagePeriod { first: begin, last: begin, counters: Counters::default() }
    }

    fn add(&mut self, begin: Minute, counters: &Counters) {
        self.first = self.first.min(begin);
        self.last = self.last.max(begin);
        self.counters.add(counters);
    }
}

impl Breakdown {
    pub(crate) fn new(metrics: &Metrics, now: SystemTime) -> Breakdown {
        let mut breakdown = Breakdown::default();
        for timed in metrics.window(now, REPORT_WINDOW) {
            for (key, counters) in timed.series.iter() {
                breakdown.add(timed.begin, key, counters);
            }
            for (preset, revisions) in timed.series.revisions() {
                breakdown.extend_revisions(preset, *revisions);
            }
        }
        breakdown
    }

    /// Largest contributors in each dimension.
    pub(crate) fn contributors(&self) -> Vec<Contributor> {
        let versions = self.versions.iter().map(|(name, used)| (name.to_string(), &used.counters));
        let servers = self.servers.iter().map(|(name, counters)| (name.clone(), counters));
        let centres = self.data_centres.iter().map(|(name, counters)| (name.clone(), counters));
        [
            self.largest(Dimension::Version, versions.collect()),
            self.largest(Dimension::Server, servers.collect()),
            self.largest(Dimension::DataCentre, centres.collect()),
            self.largest_error_kinds(),
        ]
        .concat()
    }

    /// Presets by the time of their first use.
    pub(crate) fn presets(&self) -> Vec<PresetUse> {
        let mut presets: Vec<PresetUse> = self
            .presets
            .iter()
            .map(|(preset, used)| PresetUse {
                preset: preset.clone(),
                revisions: self.revisions.get(preset).copied(),
                first: used.first,
                last: used.last,
                requests: used.counters.requests(),
            })
            .collect();
        presets.sort_by_key(|preset| preset.first);
        presets.truncate(ROWS_LIMIT);
        presets
    }

    /// Versions, most requests first.
    pub(crate) fn versions(&self) -> Vec<VersionUse> {
        let requests = self.totals.requests();
        let mut versions: Vec<VersionUse> = self
            .versions
            .iter()
            .map(|(model_version, used)| VersionUse {
                model_version: model_version.clone(),
                first: used.first,
                last: used.last,
                traffic_share: share(used.counters.requests(), requests),
                counters: used.counters.clone(),
            })
            .collect();
        versions.sort_by_key(|version| std::cmp::Reverse(version.counters.requests()));
        versions.truncate(ROWS_LIMIT);
        versions
    }

    /// Hours with requests, in chronological order.
    pub(crate) fn hours(&self) -> Vec<HourPoint> {
        let points = self.hours.iter();
        points
            .map(|(begin, counters)| HourPoint { begin: *begin, counters: counters.clone() })
            .collect()
    }

    fn add(&mut self, begin: Minute, key: &SeriesKey, counters: &Counters) {
        match key {
            SeriesKey::Workspace(_) => {
                // Every request has exactly one workspace, so workspace counters add up to the totals.
                self.totals.add(counters);
                let hour = begin / MINUTES_PER_HOUR * MINUTES_PER_HOUR;
                self.hours.entry(hour).or_default().add(counters);
            }
            SeriesKey::Version(version) => {
                self.versions
                    .entry(version.clone())
                    .or_insert_with(|| UsagePeriod::new(begin))
                    .add(begin, counters);
            }
            SeriesKey::Server(server) => {
                self.servers.entry(server.clone()).or_default().add(counters);
            }
            SeriesKey::DataCentre(data_centre) => {
                self.data_centres.entry(data_centre.clone()).or_default().add(counters);
            }
            SeriesKey::Preset(preset) => {
                self.presets
                    .entry(preset.clone())
                    .or_insert_with(|| UsagePeriod::new(begin))
                    .add(begin, counters);
            }
        }
    }

    fn extend_revisions(&mut self, preset: &PresetId, revisions: Revisions) {
        let range = self.revisions.entry(preset.clone()).or_insert(revisions);
        range.first = range.first.min(revisions.first);
        range.last = range.last.max(revisions.last);
    }

    fn largest(&self, dimension: Dimension, rows: Vec<(String, &Counters)>) -> Vec<Contributor> {
        let requests = self.totals.requests();
        let all_bad = self.totals.bad_events();
        let contributors = rows.into_iter().map(|(name, counters)| Contributor {
            dimension,
            name: if name.is_empty() { "(none)".to_owned() } else { name },
            bad: counters.bad_events(),
            bad_share: share(counters.bad_events(), all_bad),
            traffic_share: Some(share(counters.requests(), requests)),
        });
        top_contributors(contributors.collect())
    }

    fn largest_error_kinds(&self) -> Vec<Contributor> {
        let all_bad = self.totals.bad_events();
        let kinds = self.totals.errors.iter().filter(|(kind, _)| !is_callers_fault(**kind));
        let contributor = |(kind, count): (&ErrorKind, &u64)| Contributor {
            dimension: Dimension::ErrorKind,
            name: kind.name().to_owned(),
            bad: *count,
            bad_share: share(*count, all_bad),
            traffic_share: None,
        };
        top_contributors(kinds.map(contributor).collect())
    }
}

impl ExposureReport {
    /// Exposures, vetoed versions first, then the most recent.
    pub(crate) fn list(metrics: &Metrics) -> Vec<ExposureReport> {
        let mut rows: Vec<ExposureReport> = metrics
            .exposure()
            .iter()
            .map(|(model_version, exposure)| ExposureReport {
                model_version: model_version.clone(),
                callers: exposure.callers,
                since: exposure.since,
                vetoed: exposure.vetoed,
            })
            .collect();
        rows.sort_by_key(|row| (row.vetoed.is_none(), std::cmp::Reverse(row.since)));
        rows.truncate(ROWS_LIMIT);
        rows
    }
}

impl Dimension {
    /// Display name in reports.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Dimension::Version => "version",
            Dimension::Server => "server",
            Dimension::DataCentre => "data centre",
            Dimension::ErrorKind => "error kind",
        }
    }
}

fn top_contributors(mut contributors: Vec<Contributor>) -> Vec<Contributor> {
    contributors.retain(|contributor| contributor.bad > 0);
    contributors.sort_by_key(|contributor| std::cmp::Reverse(contributor.bad));
    contributors.truncate(CONTRIBUTORS_LIMIT);
    contributors
}

/// `part` over `whole`, 0 to 1; 0 if `whole` is 0.
fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
