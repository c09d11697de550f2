//! Answers of the versions in use, which a new version is compared with.
//!
//! The baseline is kept whether or not a shift is under way, so that the first answers of a new version can be compared.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::Pace;
use foxtailhoist_model::PaceKind;
use foxtailhoist_model::VersionId;

use crate::judge::decaying_share::DecayingShare;
use crate::judge::sequential::OutcomeCount;

/// One finding about an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    pub route: String,
    pub version: VersionId,
    pub server: BackendServerId,
    pub finding: Finding,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// The answer ended, well or badly.
    Ended {
        is_bad: bool,
    },
    Pace {
        model: Option<ModelId>,
        pace: Pace,
    },
}

/// Where a pace lies among the baseline's paces for the same kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Band {
    /// In the lowest fifth, as on servers with little load.
    Lowest,
    /// Below the median.
    Lower,
    /// Above the median.
    Upper,
    /// In the highest tenth.
    Top,
}

/// Outcomes and paces of one service's versions in use.
#[derive(Debug, Default)]
pub struct Baseline {
    outcomes: BTreeMap<String, DecayingShare>,
    paces: BTreeMap<PaceKey, VecDeque<(Instant, f64)>>,
}

/// Kind of work with comparable paces; no route stands for all routes.
type PaceKey = (Option<String>, Option<ModelId>, PaceKind);

/// Prior for a route's share of bad answers: share, and number of answers that it counts as.
const BAD_PRIOR: (f64, f64) = (0.1, 10.0);
/// Answers that the share of bad answers remembers.
const OUTCOME_WINDOW: f64 = 300.0;
/// Largest share of bad answers that a version is compared with.
const MAX_BAD_SHARE: f64 = 0.95;
/// Paces remembered for each kind of work.
const PACE_WINDOW: usize = 20;
/// Age from which on a pace says little about the present load.
const PACE_MAX_AGE: Duration = Duration::from_secs(12);
/// Fewest paces to compare with.
const MIN_PACES: usize = 12;
/// Factor by which a version may be slower.
const TOLERATED_FACTOR: f64 = 1.25;
/// Most routes that are told apart.
const MAX_ROUTES: usize = 64;

impl Baseline {
    /// Adds a finding about a version in use.
    pub fn record(&mut self, observation: &Observation, now: Instant) {
        let route = &observation.route;
        let is_known = self.outcomes.contains_key(route);
        if !is_known && self.outcomes.len() >= MAX_ROUTES {
            return;
        }
        let (share, weight) = BAD_PRIOR;
        let outcomes = self
            .outcomes
            .entry(route.clone())
            .or_insert_with(|| DecayingShare::new(share, weight, OUTCOME_WINDOW));
        match &observation.finding {
            Finding::Ended { is_bad } => {
                outcomes.add(OutcomeCount { bad: u64::from(*is_bad), total: 1 });
            }
            Finding::Pace { model, pace } => {
                for route in [None, Some(route.clone())] {
                    let paces = self.paces.entry((route, model.clone(), pace.kind)).or_default();
                    paces.push_back((now, pace.millis));
                    if paces.len() > PACE_WINDOW {
                        paces.pop_front();
                    }
                }
            }
        }
    }

    /// Share of bad answers on a route, one standard error above the estimate.
    #[must_use]
    pub fn bad_share(&self, route: &str) -> f64 {
        let (share, weight) = self
            .outcomes
            .get(route)
            .map_or(BAD_PRIOR, |outcomes| (outcomes.share(), outcomes.weight()));
        let standard_error = (share * (1.0 - share) / weight).sqrt();
        (share + standard_error).min(MAX_BAD_SHARE)
    }

    /// Compares a pace with those of the same route, or of all routes if there are too few; `None` if it cannot be
    /// told.
    #[must_use]
    pub fn band(
        &self,
        route: &str,
        model: Option<&ModelId>,
        pace: Pace,
        now: Instant,
    ) -> Option<Band> {
        let key = |route: Option<&str>| (route.map(str::to_owned), model.cloned(), pace.kind);
        let since = now.checked_sub(PACE_MAX_AGE);
        let recent = |key: PaceKey| -> Option<Vec<f64>> {
            let paces = self.paces.get(&key)?.iter();
            let recent = paces.filter(|(at, _)| since.is_none_or(|since| *at >= since));
            let recent: Vec<f64> = recent.map(|(_, millis)| *millis).collect();
            (recent.len() >= MIN_PACES).then_some(recent)
        };
        let others = recent(key(Some(route))).or_else(|| recent(key(None)))?;
        let millis = pace.millis / TOLERATED_FACTOR;
        let slower = others.iter().filter(|other| **other >= millis).count();
        let share_slower = (slower + 1) as f64 / (others.len() + 1) as f64;
        if share_slower <= 0.1 {
            return Some(Band::Top);
        }
        if pace.is_lower_bound {
            return None;
        }
        Some(match share_slower {
            share if share <= 0.5 => Band::Upper,
            share if share < 0.8 => Band::Lower,
            _ => Band::Lowest,
        })
    }
}
