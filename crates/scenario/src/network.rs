//! Simulated network between data centres and to the platform.

use std::collections::BTreeSet;
use std::time::Duration;

use foxtailhoist_model::DataCentreId;

/// One-way delay within a data centre.
const DELAY_WITHIN_DATA_CENTRE: Duration = Duration::from_micros(300);
/// One-way delay between two data centres.
const DELAY_BETWEEN_DATA_CENTRES: Duration = Duration::from_millis(4);

/// Current cuts between data centres and from the platform.
#[derive(Clone, Debug, Default)]
pub struct Network {
    cuts: BTreeSet<Cut>,
    cut_from_platform: BTreeSet<DataCentreId>,
}

/// Two data centres cut off from each other, in lexical order.
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
        self.cut_from_platform.insert(data_centre.to_owned());
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.cut_from_platform.clear();
    }

    /// One-way delay; `None` across a cut.
    #[must_use]
    pub fn delay(&self, from: &str, to: &str) -> Option<Duration> {
        if from == to {
            return Some(DELAY_WITHIN_DATA_CENTRE);
        }
        (!self.cuts.contains(&Cut::new(from, to))).then_some(DELAY_BETWEEN_DATA_CENTRES)
    }

    #[must_use]
    pub fn reaches_platform(&self, data_centre: &str) -> bool {
        !self.cut_from_platform.contains(data_centre)
    }

    #[must_use]
    pub fn is_fully_connected(&self) -> bool {
        self.cuts.is_empty() && self.cut_from_platform.is_empty()
    }
}

impl Cut {
    fn new(one: &str, other: &str) -> Cut {
        let (low, high) = if one < other { (one, other) } else { (other, one) };
        Cut { low: low.to_owned(), high: high.to_owned() }
    }
}
