//! Faults that can be injected into a run.

use std::time::Duration;

use serde::Serialize;

use crate::policy::clock::Time;

/// A fault in a run; all times are relative to its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    #[default]
    None,
    /// One engine of the model takes `factor` times as long for everything.
    SlowServer { model: usize, factor: f64 },
    /// A data centre is disconnected from the others.
    CutDataCentre { data_centre: usize, from: Time, until: Time },
    /// The model's version in roll-out is faulty from its first answer on.
    BadCanary { model: usize, badness: Defect },
    /// The model has a version in roll-out that is not faulty.
    GoodCanary { model: usize },
    /// The model's settled version becomes faulty at `from`.
    BadSettled { model: usize, from: Time, badness: Defect },
    /// A request that crashes engines is resent repeatedly.
    Poison { first: Time, every: Duration, times: u32 },
    /// The rating service takes longer by `delay`.
    LateRatings { delay: Duration },
    /// The rating service returns no ratings.
    NoRatings,
}

/// Defect of a faulty version.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Defect {
    /// Multiplies the probability of acceptable answers.
    Quality(f64),
    /// Share of attempts that fail.
    Errors(f64),
}

impl Fault {
    /// Index of the model that has a version in roll-out.
    #[must_use]
    pub fn rolled_out(self) -> Option<usize> {
        match self {
            Fault::BadCanary { model, .. } | Fault::GoodCanary { model } => Some(model),
            _ => None,
        }
    }

    /// Defect of a model's version at a time, if it is faulty.
    #[must_use]
    pub fn defect(self, model: usize, next_version: bool, now: Time) -> Option<Defect> {
        match self {
            Fault::BadCanary { model: faulty, badness } if faulty == model && next_version => {
                Some(badness)
            }
            Fault::BadSettled { model: faulty, from, badness }
                if faulty == model && !next_version && now >= from =>
            {
                Some(badness)
            }
            _ => None,
        }
    }

    /// Whether two data centres cannot reach each other at a time.
    #[must_use]
    pub fn cuts(self, a: usize, b: usize, now: Time) -> bool {
        match self {
            Fault::CutDataCentre { data_centre, from, until } => {
                a != b && (a == data_centre || b == data_centre) && now >= from && now < until
            }
            _ => false,
        }
    }
}
