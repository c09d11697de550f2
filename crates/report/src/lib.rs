//! Service-level burn report, rendered as text, JSON or HTML.
//!
//! Each entry host records [`Observation`]s into [`Metrics`]; the metrics of several hosts merge exactly.
//! [`Report::build`] computes from them the objectives, how far each was met and what burnt the error budgets. The
//! report renders as text for a terminal, as JSON and as one HTML page:
//!
//! ```
//! use std::time::SystemTime;
//!
//! use foxtailhoist_report::Metrics;
//! use foxtailhoist_report::Objectives;
//! use foxtailhoist_report::Report;
//!
//! let now = SystemTime::now();
//! let mut fleet = Metrics::for_fleet();
//! let peer_metrics = Metrics::default();
//! fleet.merge(&peer_metrics, now);
//! let report = Report::build(&fleet, &Objectives::default(), now);
//! assert!(report.to_text().starts_with("Service-level burn report"));
//! ```

mod breakdown;
mod burn;
mod calendar;
mod counters;
mod distributions;
mod exposure;
mod format;
mod html;
mod latencies;
mod metrics;
mod objective;
mod observation;
mod report;
pub mod scrape;
mod series;
mod summary;
mod svg;
mod table;
mod text;
pub mod timeline;

pub use breakdown::Contributor;
pub use breakdown::Dimension;
pub use breakdown::ExposureReport;
pub use breakdown::HourPoint;
pub use breakdown::PresetUse;
pub use breakdown::VersionUse;
pub use burn::ALARM_MIN_BAD_EVENTS;
pub use burn::Alarm;
pub use burn::Burn;
pub use burn::REPORT_WINDOW;
pub use burn::WINDOW_PAIRS;
pub use burn::WindowPair;
pub use burn::budget_left;
pub use burn::burn_rate;
pub use calendar::Minute;
pub use counters::Counters;
pub use counters::Events;
pub use distributions::DISTRIBUTIONS_LIMIT;
pub use exposure::Exposure;
pub use exposure::VERSIONS_LIMIT;
pub use latencies::Latencies;
pub use metrics::CLOCK_SKEW_LIMIT;
pub use metrics::MINUTE_RETENTION;
pub use metrics::Metrics;
pub use metrics::RETENTION;
pub use metrics::TimedSeries;
pub use objective::FIRST_TOKEN_TARGET;
pub use objective::Objective;
pub use objective::Objectives;
pub use objective::WorkspaceObjectives;
pub use observation::CompletedRequest;
pub use observation::Labels;
pub use observation::NANO_PER_UNIT;
pub use observation::NanoMoney;
pub use observation::Observation;
pub use observation::RefusedRequest;
pub use observation::cost_of;
pub use observation::is_callers_fault;
pub use report::Coverage;
pub use report::ObjectiveReport;
pub use report::Quantiles;
pub use report::Report;
pub use report::WorkspaceReport;
pub use series::FLEET_LIMITS;
pub use series::HOST_LIMITS;
pub use series::OTHER;
pub use series::Revisions;
pub use series::SeriesKey;
pub use series::SeriesLimits;
pub use series::SeriesSet;
