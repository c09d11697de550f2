//! Which data centres reach each other and the platform.

use std::collections::BTreeSet;
use std::time::Duration;

use foxtailhoist_model::DataCentreId;

/// One-way delay within a data centre.
const WITHIN: Duration = Duration::from_micros(300);
/// One-way delay between two data centres.
const BETWEEN: Duration = Duration::from_millis(4);

/// Cuts of the network.
#[derive(Clone, Debug, Default)]
pub struct Network {
    cuts: BTreeSet<Cut>,
    platform: BTreeSet<DataCentreId>,
}

/// Two data centres that are cut off from each other, in order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cut {
    low: DataCentreId,
    high: DataCentreId,
}

impl Network {
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cuts.insert(Cut::new(one, other));
    }

    pub fn cut_platform(&mut self, data_centre: &str) {
        self.platform.insert(data_centre.to_owned());
    }

    pub fn mend(&mut self) {
        self.cuts.clear();
        self.platform.clear();
    }

    /// One-way delay; `None` across a cut.
    #[must_use]
    pub fn delay(&self, from: &str, to: &str) -> Option<Duration> {
        if from == to {
            return Some(WITHIN);
        }
        (!self.cuts.contains(&Cut::new(from, to))).then_some(BETWEEN)
    }

    #[must_use]
    pub fn reaches_platform(&self, data_centre: &str) -> bool {
        !self.platform.contains(data_centre)
    }

    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.cuts.is_empty() && self.platform.is_empty()
    }
}

impl Cut {
    fn new(one: &str, other: &str) -> Cut {
        let (low, high) = if one < other { (one, other) } else { (other, one) };
        Cut { low: low.to_owned(), high: high.to_owned() }
    }
}
