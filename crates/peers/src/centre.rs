//! Status of the data centres.
//!
//! The delegate of a data centre increments a beat counter that every heartbeat over a link carries, as in gossip-style
//! failure detection (van Renesse, Minsky and Hayden, "A gossip-style failure detection service", 1998). A data centre
//! whose counter has not grown within the timeout is unreachable: its hosts own no keys and receive no requests until
//! the counter grows again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::message::CentreStatus;
use crate::message::Laggard;
use crate::message::MAX_CENTRES;
use crate::message::MAX_GOSSIP_LAGGARDS;
use crate::message::MAX_LAGGARDS;
use crate::message::Summary;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Revision;

/// Time without a new beat after which a data centre is unreachable.
pub const CENTRE_TIMEOUT: Duration = Duration::from_secs(10);

/// Data centres as this host knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CentreTable {
    centres: BTreeMap<DataCentreId, Centre>,
    unreachable: BTreeSet<DataCentreId>,
    /// Revisions in the fleet according to the delegate's latest summary.
    fleet: FleetRevisions,
}

#[derive(Clone, Debug)]
struct Centre {
    status: CentreStatus,
    last_beat_at: Instant,
}

/// Revision of each host, stored as the newest one and bounded lists of exceptions.
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

    /// Merges a status; returns whether it changed the table.
    pub fn merge(&mut self, status: &CentreStatus, now: Instant) -> bool {
        let known = self.centres.get(&status.data_centre);
        if known.is_some_and(|centre| centre.status.beat >= status.beat) {
            return false;
        }
        if known.is_none() && self.centres.len() >= MAX_CENTRES {
            return false;
        }
        let centre = Centre { status: status.clone(), last_beat_at: now };
        self.centres.insert(status.data_centre.clone(), centre);
        true
    }

    /// Increments this data centre's beat; called on its delegate.
    pub fn increment_beat(
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

    /// Restarts the timeouts of all data centres when this host becomes a delegate.
    pub fn reset_timeouts(&mut self, now: Instant) {
        for centre in self.centres.values_mut() {
            centre.last_beat_at = now;
        }
    }

    /// Adds a data centre that has members, so that it times out if no beat arrives.
    pub fn track(&mut self, data_centre: &DataCentreId, now: Instant) {
        let status = CentreStatus {
            data_centre: data_centre.clone(),
            beat: 0,
            revision: 0,
            laggards: Vec::new(),
        };
        self.merge(&status, now);
    }

    /// Recomputes the unreachable data centres on a delegate; returns whether they changed.
    pub fn update_unreachable(&mut self, own: &DataCentreId, now: Instant) -> bool {
        let silent = |centre: &Centre| now >= centre.last_beat_at + CENTRE_TIMEOUT;
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

    /// Statuses for one gossip message. A status whose laggards exceed the limit carries their lowest revision instead.
    pub fn statuses(&self) -> Vec<CentreStatus> {
        let mut remaining = MAX_GOSSIP_LAGGARDS;
        let mut statuses: Vec<CentreStatus> =
            self.centres.values().map(|centre| centre.status.clone()).collect();
        for status in &mut statuses {
            if status.laggards.len() <= remaining {
                remaining -= status.laggards.len();
                continue;
            }
            let behind = std::mem::take(&mut status.laggards);
            let lowest = behind.into_iter().map(|laggard| laggard.revision).min();
            status.revision = lowest.unwrap_or(0).min(status.revision);
        }
        statuses
    }

    /// Statuses that `known` lacks or has with a lower beat.
    pub fn newer_than(&self, known: &[CentreStatus]) -> Vec<CentreStatus> {
        let beats: BTreeMap<&DataCentreId, u64> =
            known.iter().map(|status| (&status.data_centre, status.beat)).collect();
        let mut newer = self.statuses();
        newer
            .retain(|status| beats.get(&status.data_centre).is_none_or(|beat| status.beat > *beat));
        newer
    }

    /// Fills in the fields of a summary that come from this table.
    pub fn fill_summary(&self, summary: &mut Summary) {
        let reporting = || {
            let centres = self.centres.values().map(|centre| &centre.status);
            centres.filter(|status| status.beat > 0)
        };
        summary.revision = reporting().map(|status| status.revision).max().unwrap_or(0);
        summary.centres_behind = reporting()
            .filter(|status| status.revision < summary.revision)
            .map(|status| (status.data_centre.clone(), status.revision))
            .take(MAX_CENTRES)
            .collect();
        summary.laggards = reporting()
            .flat_map(|status| &status.laggards)
            .take(MAX_LAGGARDS * 2)
            .cloned()
            .collect();
        summary.unreachable = self.unreachable.iter().cloned().collect();
    }

    /// Applies the delegate's summary; returns whether the unreachable data centres changed.
    pub fn apply_summary(&mut self, summary: &Summary) -> bool {
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

    /// Lower bound on the revision that a host has in force, as reported by the delegates.
    pub fn revision_of(&self, host: &EntryHostId, data_centre: &DataCentreId) -> Revision {
        let fleet = &self.fleet;
        let behind = fleet.laggards.get(host).or_else(|| fleet.centres_behind.get(data_centre));
        behind.copied().unwrap_or(fleet.revision)
    }
}

/// Revision that all but at most `MAX_LAGGARDS` hosts have reached, and those hosts.
pub(crate) fn split_laggards(mut revisions: Vec<Laggard>) -> (Revision, Vec<Laggard>) {
    revisions.sort_unstable_by_key(|laggard| laggard.revision);
    let newest = revisions.last().map_or(0, |laggard| laggard.revision);
    let behind = revisions.iter().filter(|laggard| laggard.revision < newest).count();
    let revision = if behind <= MAX_LAGGARDS { newest } else { revisions[MAX_LAGGARDS].revision };
    revisions.retain(|laggard| laggard.revision < revision);
    (revision, revisions)
}
