//! Faults that a run may have.

use std::time::Duration;

use serde::Serialize;

use crate::policy::clock::Time;

/// What goes wrong in a run; all times count from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    #[default]
    None,
    /// One engine of the model takes `factor` times as long for everything.
    SlowServer { model: usize, factor: f64 },
    /// A data centre loses the links to the others.
    CutDataCentre { data_centre: usize, from: Time, until: Time },
    /// The model's new version is bad from its first answer on.
    BadCanary { model: usize, badness: Badness },
    /// A good new version of the model is rolled out.
    GoodCanary { model: usize },
    /// The model's settled version turns bad.
    BadSettled { model: usize, from: Time, badness: Badness },
    /// A request that crashes engines is sent again and again.
    Poison { first: Time, every: Duration, times: u32 },
    /// The rating service takes longer by this.
    LateRatings { delay: Duration },
    /// The rating service answers nothing.
    NoRatings,
}

/// How a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Badness {
    /// Chances of acceptable answers are multiplied by this.
    Quality(f64),
    /// This share of attempts fails.
    Errors(f64),
}

impl Fault {
    /// Model that has a version in roll-out.
    #[must_use]
    pub fn rolled_out(self) -> Option<usize> {
        match self {
            Fault::BadCanary { model, .. } | Fault::GoodCanary { model } => Some(model),
            _ => None,
        }
    }

    /// How a version of a model is bad at a time.
    #[must_use]
    pub fn badness(self, model: usize, next_version: bool, now: Time) -> Option<Badness> {
        match self {
            Fault::BadCanary { model: bad, badness } if bad == model && next_version => {
                Some(badness)
            }
            Fault::BadSettled { model: bad, from, badness }
                if bad == model && !next_version && now >= from =>
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
