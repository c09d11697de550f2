//! State of the data centres.
//!
//! The delegate of a data centre counts a beat that travels with every heartbeat between delegates, as in gossip-style
//! failure detection (van Renesse, Minsky and Hayden, "A gossip-style failure detection service", 1998). A data centre
//! whose beat has not grown for a while is unreachable: its hosts are no homes and no targets until it grows again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::message::CENTRES;
use crate::message::CentreStatus;
use crate::message::GOSSIP_LAGGARDS;
use crate::message::LAGGARDS;
use crate::message::Laggard;
use crate::message::Summary;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Revision;

/// Time without a beat after which a data centre is unreachable.
pub const CENTRE_SILENT: Duration = Duration::from_secs(10);

/// Data centres as this host knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CentreTable {
    centres: BTreeMap<DataCentreId, Centre>,
    unreachable: BTreeSet<DataCentreId>,
    /// Revisions in the fleet, from the delegate's last summary.
    fleet: FleetRevisions,
}

#[derive(Clone, Debug)]
struct Centre {
    status: CentreStatus,
    beat_at: Instant,
}

/// Which hosts have which revision, in bounded space.
#[derive(Clone, Debug, Default)]
struct FleetRevisions {
    revision: Revision,
    centres_behind: BTreeMap<DataCentreId, Revision>,
    laggards: BTreeMap<EntryHostId, Revision>,
}

impl CentreTable {
    pub fn len(&self) -> usize {
        self.centres.len()
    }

    pub fn is_reachable(&self, data_centre: &DataCentreId) -> bool {
        !self.unreachable.contains(data_centre)
    }

    /// Takes a status from another delegate; true when a beat grew.
    pub fn merge(&mut self, status: &CentreStatus, now: Instant) -> bool {
        let known = self.centres.get(&status.data_centre);
        if known.is_some_and(|centre| centre.status.beat >= status.beat) {
            return false;
        }
        if known.is_none() && self.centres.len() >= CENTRES {
            return false;
        }
        let centre = Centre { status: status.clone(), beat_at: now };
        self.centres.insert(status.data_centre.clone(), centre);
        true
    }

    /// Counts this data centre's beat, as its delegate.
    pub fn beat(
        &mut self,
        data_centre: &DataCentreId,
        revision: Revision,
        laggards: Vec<Laggard>,
        now: Instant,
    ) {
        let beat = self.centres.get(data_centre).map_or(0, |centre| centre.status.beat) + 1;
        let data_centre = data_centre.clone();
        self.merge(&CentreStatus { data_centre, beat, revision, laggards }, now);
    }

    /// Starts every data centre's time anew: this host has just become a delegate.
    pub fn start_watch(&mut self, now: Instant) {
        for centre in self.centres.values_mut() {
            centre.beat_at = now;
        }
    }

    /// Adds a data centre that the members name, so that its silence is noticed.
    pub fn expect(&mut self, data_centre: &DataCentreId, now: Instant) {
        let status = CentreStatus {
            data_centre: data_centre.clone(),
            beat: 0,
            revision: 0,
            laggards: Vec::new(),
        };
        self.merge(&status, now);
    }

    /// Finds the unreachable data centres, as a delegate; true when they changed.
    pub fn judge(&mut self, own: &DataCentreId, now: Instant) -> bool {
        let silent = |centre: &Centre| now >= centre.beat_at + CENTRE_SILENT;
        let unreachable: BTreeSet<DataCentreId> = self
            .centres
            .iter()
            .filter(|(name, centre)| *name != own && silent(centre))
            .map(|(name, _)| name.clone())
            .collect();
        let changed = unreachable != self.unreachable;
        self.unreachable = unreachable;
        changed
    }

    /// States for one gossip. Where there is no room for the hosts behind, the revision is the lowest of theirs.
    pub fn statuses(&self) -> Vec<CentreStatus> {
        let mut room = GOSSIP_LAGGARDS;
        let mut statuses: Vec<CentreStatus> =
            self.centres.values().map(|centre| centre.status.clone()).collect();
        for status in &mut statuses {
            if status.laggards.len() <= room {
                room -= status.laggards.len();
                continue;
            }
            let behind = std::mem::take(&mut status.laggards);
            let lowest = behind.into_iter().map(|laggard| laggard.revision).min();
            status.revision = lowest.unwrap_or(0).min(status.revision);
        }
        statuses
    }

    /// States whose beat is higher than in `known`, or that it lacks.
    pub fn newer_than(&self, known: &[CentreStatus]) -> Vec<CentreStatus> {
        let beats: BTreeMap<&DataCentreId, u64> =
            known.iter().map(|status| (&status.data_centre, status.beat)).collect();
        let mut newer = self.statuses();
        newer
            .retain(|status| beats.get(&status.data_centre).is_none_or(|beat| status.beat > *beat));
        newer
    }

    /// Parts of a summary that this table knows.
    pub fn summarise(&self, summary: &mut Summary) {
        let reachable = || {
            let centres = self.centres.values().map(|centre| &centre.status);
            centres.filter(|status| status.beat > 0)
        };
        summary.revision = reachable().map(|status| status.revision).max().unwrap_or(0);
        summary.centres_behind = reachable()
            .filter(|status| status.revision < summary.revision)
            .map(|status| (status.data_centre.clone(), status.revision))
            .take(CENTRES)
            .collect();
        summary.laggards =
            reachable().flat_map(|status| &status.laggards).take(LAGGARDS * 2).cloned().collect();
        summary.unreachable = self.unreachable.iter().cloned().collect();
    }

    /// Takes the delegate's summary; true when the unreachable data centres changed.
    pub fn take_summary(&mut self, summary: &Summary) -> bool {
        self.fleet = FleetRevisions {
            revision: summary.revision,
            centres_behind: summary.centres_behind.clone(),
            laggards: summary
                .laggards
                .iter()
                .map(|laggard| (laggard.host.clone(), laggard.revision))
                .collect(),
        };
        let unreachable: BTreeSet<DataCentreId> = summary.unreachable.iter().cloned().collect();
        let changed = unreachable != self.unreachable;
        self.unreachable = unreachable;
        changed
    }

    /// Revision that a host has in force at least, as far as the delegates know.
    pub fn revision_of(&self, host: &EntryHostId, data_centre: &DataCentreId) -> Revision {
        let fleet = &self.fleet;
        let behind = fleet.laggards.get(host).or_else(|| fleet.centres_behind.get(data_centre));
        behind.copied().unwrap_or(fleet.revision)
    }
}

/// Revision that all but a few hosts have, and those few.
pub(crate) fn split_laggards(mut revisions: Vec<Laggard>) -> (Revision, Vec<Laggard>) {
    revisions.sort_unstable_by_key(|laggard| laggard.revision);
    let newest = revisions.last().map_or(0, |laggard| laggard.revision);
    let behind = revisions.iter().filter(|laggard| laggard.revision < newest).count();
    let revision = if behind <= LAGGARDS { newest } else { revisions[LAGGARDS].revision };
    revisions.retain(|laggard| laggard.revision < revision);
    (revision, revisions)
}
