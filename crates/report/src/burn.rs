//! Burn rates over several windows, after "The Site Reliability Workbook" (Beyer, Murphy, Rensin, Kawahara and Thorne,
//! O'Reilly 2018), chapter 5, "Alerting on SLOs", section 6: multiwindow, multi-burn-rate alerts.
//!
//! A burn rate is the share of bad events over the share that the objective allows: at 1 the budget of a period is used
//! up exactly at its end. An alarm requires both windows to reach the threshold: the long window shows that the burn is
//! significant, the short one that it is still going on.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::counters::Events;

/// Minimum bad events in the long window for an alarm: a share of few events is not significant.
pub const ALARM_MIN_BAD_EVENTS: u64 = 5;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);

/// A short and a long window with the burn rate that raises an alarm when both reach it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowPair {
    pub short: Duration,
    pub long: Duration,
    /// Burn rate that both windows must reach.
    pub threshold: f64,
    pub alarm: Alarm,
}

/// Urgency of an alarm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    None,
    /// To be handled in working hours.
    Ticket,
    /// To be handled immediately.
    Page,
}

/// The window pairs. The thresholds are the workbook's: 2% of a 30-day budget in 1 hour, 5% in 6 hours, 10% in 3 days.
pub const WINDOW_PAIRS: [WindowPair; 3] = [
    WindowPair { short: MINUTE.saturating_mul(5), long: HOUR, threshold: 14.4, alarm: Alarm::Page },
    WindowPair {
        short: MINUTE.saturating_mul(30),
        long: HOUR.saturating_mul(6),
        threshold: 6.0,
        alarm: Alarm::Page,
    },
    WindowPair {
        short: HOUR.saturating_mul(6),
        long: HOUR.saturating_mul(72),
        threshold: 1.0,
        alarm: Alarm::Ticket,
    },
];

/// Period covered by a report.
pub const REPORT_WINDOW: Duration = HOUR.saturating_mul(72);

/// Burn rates over one pair of windows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    pub short_minutes: u64,
    pub long_minutes: u64,
    pub short_rate: f64,
    pub long_rate: f64,
    pub threshold: f64,
    pub alarm: Alarm,
}

impl Burn {
    /// Computes the burn of an objective whose target share of good events is `target`.
    #[must_use]
    pub fn new(pair: WindowPair, target: f64, short: Events, long: Events) -> Burn {
        let short_rate = burn_rate(short, target);
        let long_rate = burn_rate(long, target);
        let is_alarm = short_rate >= pair.threshold
            && long_rate >= pair.threshold
            && long.bad >= ALARM_MIN_BAD_EVENTS;
        Burn {
            short_minutes: pair.short.as_secs() / 60,
            long_minutes: pair.long.as_secs() / 60,
            short_rate,
            long_rate,
            threshold: pair.threshold,
            alarm: if is_alarm { pair.alarm } else { Alarm::None },
        }
    }
}

/// Share of bad events divided by the share that the target allows; 0 if there are no bad events, [`f64::MAX`] if there
/// are some and the target allows none.
#[must_use]
pub fn burn_rate(events: Events, target: f64) -> f64 {
    let allowed = 1.0 - target;
    if events.bad == 0 || allowed <= 0.0 {
        return if events.bad == 0 { 0.0 } else { f64::MAX };
    }
    events.bad_share() / allowed
}

/// Remaining share of the error budget; negative when overspent.
#[must_use]
pub fn budget_left(events: Events, target: f64) -> f64 {
    1.0 - burn_rate(events, target)
}

impl Alarm {
    /// Display name in reports.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Alarm::None => "-",
            Alarm::Ticket => "ticket",
            Alarm::Page => "page",
        }
    }
}
