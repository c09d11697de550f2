//! Evidence about versions, summed over the fleet without counting any twice.
//!
//! A host's counters are cumulative since its start, so they are kept by (host, start) and merge by maximum: a report
//! that is lost, repeated or seen by two delegates changes nothing, and those of a host that is gone simply stay. Each
//! counts once in the sum of its data centre, whoever sums. Sums of data centres only grow and merge by maximum too. A
//! delegate that starts without all of its predecessor's table can make a sum lag, but never too large. Versions that
//! the configuration in force does not use are dropped, so that a year of roll-outs does not fill the tables.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::message::CENTRES;
use crate::message::CentreTallies;
use crate::message::Exchange;
use crate::message::HandedOver;
use crate::message::Handover;
use crate::message::Report;
use crate::message::TALLY_LINES;
use crate::message::TallyLine;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Tally;

/// Most versions in a set of tallies; further ones are not counted.
pub const VERSIONS: usize = 24;
/// Most versions whose sums over all other hosts are remembered.
pub const OTHERS: usize = 256;
/// Most (host, start) pairs whose counters a host keeps; when full, the one not reported for longest is evicted.
pub const CONTRIBUTIONS: usize = 768;

/// Evidence by version.
pub(crate) type Tallies = BTreeMap<ModelVersion, Tally>;

/// Evidence as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct TallyBoard {
    /// This host and its start.
    own: Contributor,
    /// Counters of the data centre's hosts, this one included.
    contributions: BTreeMap<Contributor, Contribution>,
    /// Sums by data centre.
    centres: BTreeMap<DataCentreId, Tallies>,
    /// Largest sums of all other hosts that this host has given out.
    others: Tallies,
    /// Versions that the configuration in force uses; all until there is one.
    in_use: Option<BTreeSet<ModelVersion>>,
    /// Counts changes, which orders contributions by age.
    changes: u64,
    /// Places from which the next exchange and the next hand-over go on.
    exchanged: usize,
    handed_over: usize,
}

/// A host from one start to the next.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Contributor {
    pub host: EntryHostId,
    /// Incarnation with which the host started; refutations do not change it.
    pub start: Incarnation,
}

#[derive(Clone, Debug, Default)]
struct Contribution {
    tallies: Tallies,
    revision: Revision,
    changed: u64,
}

impl TallyBoard {
    pub fn new(own: Contributor) -> TallyBoard {
        TallyBoard {
            own,
            contributions: BTreeMap::new(),
            centres: BTreeMap::new(),
            others: Tallies::new(),
            in_use: None,
            changes: 0,
            exchanged: 0,
            handed_over: 0,
        }
    }

    /// Takes the versions that are in use and drops the others; the first by name, where there are too many, so that
    /// all hosts count the same ones.
    pub fn set_in_use(&mut self, in_use: BTreeSet<ModelVersion>) {
        let in_use: BTreeSet<ModelVersion> = in_use.into_iter().take(VERSIONS).collect();
        if self.in_use.as_ref() == Some(&in_use) {
            return;
        }
        let of_hosts = self.contributions.values_mut().map(|one| &mut one.tallies);
        for tallies in of_hosts.chain(self.centres.values_mut()) {
            tallies.retain(|version, _| in_use.contains(version));
        }
        self.in_use = Some(in_use);
    }

    pub fn set_own(&mut self, model_version: ModelVersion, tally: Tally) {
        let own = self.own.clone();
        self.contribute(own, &Tallies::from([(model_version, tally)]), 0);
    }

    /// This host's report; whole reports carry its tallies and ask for a summary.
    pub fn report(&self, revision: Revision, whole: bool) -> Report {
        let own = self.contributions.get(&self.own).filter(|_| whole);
        let tallies = own.map(|own| own.tallies.clone()).unwrap_or_default();
        Report { start: self.own.start, revision, wants_summary: whole, tallies }
    }

    pub fn contributions(&self) -> usize {
        self.contributions.len()
    }

    /// Revision that a host reported to this delegate at its latest start.
    pub fn reported_revision(&self, host: &EntryHostId) -> Option<Revision> {
        self.latest(host).map(|(_, contribution)| contribution.revision)
    }

    /// Takes a host's report.
    pub fn take_report(&mut self, host: &EntryHostId, report: &Report) {
        let contributor = Contributor { host: host.clone(), start: report.start };
        self.contribute(contributor, &report.tallies, report.revision);
    }

    /// Sums the data centre's evidence, as its delegate.
    pub fn sum_centre(&mut self, data_centre: &DataCentreId) {
        let mut sum = Tallies::new();
        for contribution in self.contributions.values() {
            add(&mut sum, &contribution.tallies);
        }
        merge_max(self.centres.entry(data_centre.clone()).or_default(), &sum);
    }

    /// Evidence of all hosts but one of this data centre at its latest start.
    pub fn others_of(&self, host: &EntryHostId) -> Tallies {
        let mut sum = Tallies::new();
        for centre in self.centres.values() {
            add(&mut sum, centre);
        }
        if let Some((_, contribution)) = self.latest(host) {
            subtract(&mut sum, &contribution.tallies);
        }
        sum
    }

    /// Takes a sum of all other hosts; returns the versions that grew.
    pub fn grow_others(&mut self, others: &Tallies) -> Tallies {
        let mut grew = Tallies::new();
        for (version, tally) in self.used(others) {
            let before = self.others.get(&version).copied().unwrap_or_default();
            let after = combined(before, tally, |a, b| a.max(b));
            if after != before {
                grew.insert(version, after);
            }
        }
        self.others.extend(grew.iter().map(|(version, tally)| (version.clone(), *tally)));
        self.trim_others();
        grew
    }

    /// Next part of the data centres' sums, for another delegate.
    pub fn exchange(&mut self) -> Exchange {
        let versions = self.versions();
        let centres = self.centres.iter().map(|(data_centre, tallies)| {
            let lines = to_lines(&versions, tallies);
            CentreTallies { data_centre: data_centre.clone(), lines }
        });
        let centres =
            next_part(centres.collect(), &mut self.exchanged, |centre| centre.lines.len());
        Exchange { versions, centres }
    }

    /// Takes another delegate's sums.
    pub fn take_exchange(&mut self, exchange: &Exchange) {
        for centre in &exchange.centres {
            let known = self.centres.contains_key(&centre.data_centre);
            if !known && self.centres.len() >= CENTRES {
                continue;
            }
            let tallies = self.used(&from_lines(&exchange.versions, &centre.lines));
            merge_max(self.centres.entry(centre.data_centre.clone()).or_default(), &tallies);
        }
    }

    /// Next part of this table, for the data centre's other watcher.
    pub fn hand_over(&mut self) -> Handover {
        let versions = self.versions();
        let all = self.contributions.iter().map(|(contributor, contribution)| HandedOver {
            contributor: contributor.clone(),
            lines: to_lines(&versions, &contribution.tallies),
        });
        let contributions =
            next_part(all.collect(), &mut self.handed_over, |handed| handed.lines.len());
        Handover { versions, contributions }
    }

    /// Takes a part of the other watcher's table.
    pub fn take_handover(&mut self, handover: &Handover) {
        for handed in &handover.contributions {
            let tallies = from_lines(&handover.versions, &handed.lines);
            self.contribute(handed.contributor.clone(), &tallies, 0);
        }
    }

    /// Drops sums of versions out of use when there are too many. They are kept as long as possible, so that what was
    /// given out does not fall when a version is used again.
    fn trim_others(&mut self) {
        while self.others.len() > OTHERS {
            let in_use = |version: &&ModelVersion| {
                self.in_use.as_ref().is_none_or(|in_use| in_use.contains(*version))
            };
            let unused = self.others.keys().find(|version| !in_use(version)).cloned();
            let Some(version) = unused.or_else(|| self.others.keys().next_back().cloned()) else {
                return;
            };
            self.others.remove(&version);
        }
    }

    fn contribute(&mut self, contributor: Contributor, tallies: &Tallies, revision: Revision) {
        let tallies = self.used(tallies);
        self.make_room(&contributor);
        self.changes += 1;
        let contribution = self.contributions.entry(contributor).or_default();
        merge_max(&mut contribution.tallies, &tallies);
        contribution.revision = contribution.revision.max(revision);
        contribution.changed = self.changes;
    }

    fn make_room(&mut self, contributor: &Contributor) {
        if self.contributions.len() < CONTRIBUTIONS || self.contributions.contains_key(contributor)
        {
            return;
        }
        let others = self.contributions.iter().filter(|(contributor, _)| **contributor != self.own);
        let oldest = others.min_by_key(|(_, contribution)| contribution.changed);
        if let Some(oldest) = oldest.map(|(contributor, _)| contributor.clone()) {
            self.contributions.remove(&oldest);
        }
    }

    fn latest(&self, host: &EntryHostId) -> Option<(&Contributor, &Contribution)> {
        let first = Contributor { host: host.clone(), start: 0 };
        let last = Contributor { host: host.clone(), start: Incarnation::MAX };
        self.contributions.range(first..=last).next_back()
    }

    /// Evidence about versions in use.
    fn used(&self, tallies: &Tallies) -> Tallies {
        let mut used = tallies.clone();
        if let Some(in_use) = &self.in_use {
            used.retain(|version, _| in_use.contains(version));
        }
        used
    }

    /// Versions with evidence, bounded.
    fn versions(&self) -> Vec<ModelVersion> {
        let of_hosts = self.contributions.values().flat_map(|one| one.tallies.keys());
        let of_centres = self.centres.values().flat_map(BTreeMap::keys);
        let versions: BTreeSet<&ModelVersion> = of_hosts.chain(of_centres).collect();
        versions.into_iter().take(VERSIONS).cloned().collect()
    }
}

/// Entries from place `start` on and around, within the bound on lines; `start` moves to the first that is left out.
fn next_part<T>(mut all: Vec<T>, start: &mut usize, lines: impl Fn(&T) -> usize) -> Vec<T> {
    let count = all.len();
    all.rotate_left(*start % count.max(1));
    let mut total = 0;
    let fitting = all.iter().take_while(|entry| {
        total += lines(entry).max(1);
        total <= TALLY_LINES
    });
    let taken = fitting.count();
    all.truncate(taken);
    *start = (*start + taken) % count.max(1);
    all
}

fn to_lines(versions: &[ModelVersion], tallies: &Tallies) -> Vec<TallyLine> {
    let lines = versions.iter().zip(0_u16..).filter_map(|(name, version)| {
        let tally = *tallies.get(name)?;
        Some(TallyLine { version, tally })
    });
    lines.collect()
}

fn from_lines(versions: &[ModelVersion], lines: &[TallyLine]) -> Tallies {
    let tallies = lines.iter().filter_map(|line| {
        let name = versions.get(usize::from(line.version))?;
        Some((name.clone(), line.tally))
    });
    tallies.collect()
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
        *a = combined(*a, *b, &count);
    }
}

fn combined(a: Tally, b: Tally, count: impl Fn(u64, u64) -> u64) -> Tally {
    Tally {
        rated: count(a.rated, b.rated),
        unacceptable: count(a.unacceptable, b.unacceptable),
        ended: count(a.ended, b.ended),
        failed: count(a.failed, b.failed),
        timed: count(a.timed, b.timed),
        slow: count(a.slow, b.slow),
        callers: count(a.callers, b.callers),
    }
}
