//! Evidence about versions, summed over the fleet without counting any twice.
//!
//! A host's counters are cumulative since its start, so a report replaces the one before, and a report lost or
//! repeated does no harm. The delegate of a data centre sums its hosts' latest reports. Counters of hosts that are
//! gone, or of earlier incarnations, are folded into `retained`. Sums of data centres only grow and merge by maximum,
//! whichever delegate they come from. Two delegates for a moment, or one that starts without its predecessor's
//! reports, can make a sum lag, but never count anything twice.

use std::collections::BTreeMap;

use crate::message::CENTRES;
use crate::message::CentreTallies;
use crate::message::Exchange;
use crate::message::Report;
use crate::message::TallyLine;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Tally;

/// Most versions in a set of tallies; further ones are not counted.
pub const VERSIONS: usize = 24;
/// Most hosts whose reports a delegate keeps.
pub const REPORTS: usize = 1024;

/// Evidence by version.
pub(crate) type Tallies = BTreeMap<ModelVersion, Tally>;

/// Evidence as this host knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct TallyBoard {
    /// This host's own.
    own: Tallies,
    /// Latest reports of the data centre's other hosts; kept by its delegate.
    reports: BTreeMap<EntryHostId, KeptReport>,
    /// Evidence of hosts and incarnations that are gone.
    retained: Tallies,
    /// Sums by data centre.
    centres: BTreeMap<DataCentreId, Tallies>,
    /// Largest sums of all other hosts that this host has given out.
    others: Tallies,
}

#[derive(Clone, Debug)]
struct KeptReport {
    incarnation: Incarnation,
    revision: Revision,
    tallies: Tallies,
}

impl TallyBoard {
    pub fn set_own(&mut self, model_version: ModelVersion, tally: Tally) {
        merge_max(&mut self.own, &Tallies::from([(model_version, tally)]));
    }

    pub fn own(&self) -> &Tallies {
        &self.own
    }

    pub fn reports(&self) -> usize {
        self.reports.len()
    }

    /// Revision that a host reported to this delegate.
    pub fn reported_revision(&self, host: &EntryHostId) -> Option<Revision> {
        self.reports.get(host).map(|report| report.revision)
    }

    /// Takes a host's report.
    pub fn take_report(&mut self, host: &EntryHostId, report: Report) {
        let known = self.reports.get(host);
        if known.is_some_and(|known| known.incarnation > report.incarnation) {
            return;
        }
        if known.is_some_and(|known| known.incarnation < report.incarnation) {
            self.retain(host);
        }
        if self.reports.len() >= REPORTS && !self.reports.contains_key(host) {
            return;
        }
        let kept = self.reports.entry(host.clone()).or_insert_with(|| KeptReport {
            incarnation: report.incarnation,
            revision: 0,
            tallies: Tallies::new(),
        });
        kept.revision = kept.revision.max(report.revision);
        merge_max(&mut kept.tallies, &report.tallies);
    }

    /// Folds the counters of a host that is gone into those retained.
    pub fn retain(&mut self, host: &EntryHostId) {
        if let Some(report) = self.reports.remove(host) {
            add(&mut self.retained, &report.tallies);
        }
    }

    /// Drops the hosts' reports: another host is the delegate.
    pub fn drop_reports(&mut self) {
        self.reports.clear();
    }

    /// Sums the data centre's evidence, as its delegate.
    pub fn sum_centre(&mut self, data_centre: &DataCentreId) {
        let mut sum = self.retained.clone();
        add(&mut sum, &self.own);
        for report in self.reports.values() {
            add(&mut sum, &report.tallies);
        }
        merge_max(self.centres.entry(data_centre.clone()).or_default(), &sum);
    }

    /// Evidence of all hosts but one of this data centre, or but this host for `None`.
    pub fn others_of(&self, host: Option<&EntryHostId>) -> Tallies {
        let mut sum = Tallies::new();
        for centre in self.centres.values() {
            add(&mut sum, centre);
        }
        let part = match host {
            Some(host) => self.reports.get(host).map(|report| &report.tallies),
            None => Some(&self.own),
        };
        if let Some(part) = part {
            subtract(&mut sum, part);
        }
        sum
    }

    /// Takes a sum of all other hosts; returns the versions that grew.
    pub fn grow_others(&mut self, others: &Tallies) -> Tallies {
        let before = self.others.clone();
        merge_max(&mut self.others, others);
        let grew = self.others.iter().filter(|(version, tally)| before.get(version) != Some(tally));
        grew.map(|(version, tally)| (version.clone(), *tally)).collect()
    }

    /// Message for another delegate; `retained` only within the data centre.
    pub fn exchange(&self, with_retained: bool) -> Exchange {
        let mut versions: Vec<ModelVersion> =
            self.centres.values().flat_map(BTreeMap::keys).cloned().collect();
        versions.sort_unstable();
        versions.dedup();
        versions.truncate(VERSIONS);
        let centres = self.centres.iter().take(CENTRES).map(|(data_centre, tallies)| {
            let lines = versions.iter().zip(0_u16..).filter_map(|(name, version)| {
                let tally = *tallies.get(name)?;
                Some(TallyLine { version, tally })
            });
            CentreTallies { data_centre: data_centre.clone(), lines: lines.collect() }
        });
        let retained = if with_retained { self.retained.clone() } else { Tallies::new() };
        Exchange { centres: centres.collect(), versions: versions.clone(), retained }
    }

    /// Takes another delegate's message.
    pub fn take_exchange(&mut self, exchange: &Exchange, takes_retained: bool) {
        for centre in &exchange.centres {
            let known = self.centres.contains_key(&centre.data_centre);
            if !known && self.centres.len() >= CENTRES {
                continue;
            }
            let lines = centre.lines.iter().filter_map(|line| {
                let name = exchange.versions.get(usize::from(line.version))?;
                Some((name.clone(), line.tally))
            });
            let tallies: Tallies = lines.collect();
            merge_max(self.centres.entry(centre.data_centre.clone()).or_default(), &tallies);
        }
        if takes_retained {
            merge_max(&mut self.retained, &exchange.retained);
        }
    }
}

fn merge_max(into: &mut Tallies, from: &Tallies) {
    combine(into, from, |a, b| a.max(b));
}

fn add(into: &mut Tallies, from: &Tallies) {
    combine(into, from, u64::saturating_add);
}

fn subtract(into: &mut Tallies, from: &Tallies) {
    combine(into, from, u64::saturating_sub);
}

fn combine(into: &mut Tallies, from: &Tallies, count: impl Fn(u64, u64) -> u64) {
    for (version, b) in from {
        if into.len() >= VERSIONS && !into.contains_key(version) {
            continue;
        }
        let a = into.entry(version.clone()).or_default();
        *a = Tally {
            rated: count(a.rated, b.rated),
            unacceptable: count(a.unacceptable, b.unacceptable),
            ended: count(a.ended, b.ended),
            failed: count(a.failed, b.failed),
            timed: count(a.timed, b.timed),
            slow: count(a.slow, b.slow),
            callers: count(a.callers, b.callers),
        };
    }
}
