//! Data centres that the operator evacuates: no attempt is sent to their servers until they return to service.
//!
//! Load addressed: a data centre is taken out of service, or returns to it, while the fleet serves at full load. The
//! store's objects are the only source, so that all hosts decide alike without asking one another. An evacuated server
//! stays registered: versions in use, sessions and limits do not change, and streams that run there run to completion.
//! Pattern: administrative drain of a failure domain, apart from health checks.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::StoreRevision;

/// Time after which a caller may retry if all servers are evacuated. The end is not known; a data centre stays
/// evacuated for many seconds.
pub(crate) const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of data centres whose return is remembered.
const MAX_RETURNED: usize = 64;

/// Evacuated data centres, and when others were taken back.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    evacuated: BTreeMap<DataCentreId, Evacuated>,
    returned: BTreeMap<DataCentreId, Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Evacuated {
    /// Revision of the store's object.
    revision: StoreRevision,
    /// Whether [`Evacuations::take_drained`] has reported it.
    is_drained: bool,
}

impl Evacuations {
    /// Evacuates a data centre; returns whether it was in service.
    pub(crate) fn start(&mut self, data_centre: DataCentreId, revision: StoreRevision) -> bool {
        let known = self.evacuated.get_mut(&data_centre);
        if let Some(known) = known {
            known.revision = revision;
            return false;
        }
        self.evacuated.insert(data_centre, Evacuated { revision, is_drained: false });
        true
    }

    /// Ends the evacuation of a data centre; returns whether there was one.
    pub(crate) fn end(&mut self, data_centre: &str) -> bool {
        self.evacuated.remove(data_centre).is_some()
    }

    pub(crate) fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Evacuated data centres, by name.
    pub(crate) fn names(&self) -> impl Iterator<Item = &DataCentreId> {
        self.evacuated.keys()
    }

    /// Data centres that have become drained since the last call, with the revision of the evacuation.
    pub(crate) fn take_drained(
        &mut self,
        is_drained: impl Fn(&str) -> bool,
    ) -> Vec<(DataCentreId, StoreRevision)> {
        let mut drained = Vec::new();
        for (data_centre, evacuated) in &mut self.evacuated {
            if !evacuated.is_drained && is_drained(data_centre) {
                evacuated.is_drained = true;
                drained.push((data_centre.clone(), evacuated.revision));
            }
        }
        drained
    }

    /// Records that a data centre was taken back; beyond the limit the earliest return is forgotten.
    pub(crate) fn record_return(&mut self, data_centre: &str, now: Instant) {
        self.returned.insert(data_centre.to_owned(), now);
        if self.returned.len() > MAX_RETURNED {
            let earliest = self.returned.iter().min_by_key(|(_, at)| **at);
            if let Some(data_centre) = earliest.map(|(data_centre, _)| data_centre.clone()) {
                self.returned.remove(&data_centre);
            }
        }
    }

    /// When a data centre was last taken back, if it was evacuated.
    pub(crate) fn returned_at(&self, data_centre: &str) -> Option<Instant> {
        self.returned.get(data_centre).copied()
    }
}
