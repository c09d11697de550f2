//! Tallies of model versions (counts of ratings, failures and slow answers), summed over the fleet without counting
//! any host twice.
//!
//! A host's counters are cumulative since its start, so they are stored by (host, start) and merged by maximum: a
//! report that is lost, duplicated or received by two delegates does no harm, and the counters of a host that is gone
//! remain. Each pair is counted once in the sum of its data centre, whichever host sums. Sums of data centres only
//! grow and are also merged by maximum. A delegate that starts without its predecessor's complete table can make a sum
//! too low, but never too high. Versions that the configuration in force does not use are removed, so that roll-outs
//! over a year do not fill the tables.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::message::CentreTallies;
use crate::message::Exchange;
use crate::message::Handover;
use crate::message::HostTallies;
use crate::message::MAX_CENTRES;
use crate::message::MAX_TALLY_LINES;
use crate::message::Report;
use crate::message::TallyLine;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Revision;
use foxtailhoist_model::Tally;

/// Maximum number of versions in a set of tallies; further ones are not counted.
pub const MAX_VERSIONS: usize = 24;
/// Maximum number of versions whose sums over all other hosts are kept.
pub const MAX_REMEMBERED_VERSIONS: usize = 256;
/// Maximum number of (host, start) pairs; the least recently updated is evicted.
pub const MAX_CONTRIBUTIONS: usize = 768;

/// Tallies by version.
pub(crate) type Tallies = BTreeMap<ModelVersion, Tally>;

/// Tallies of the hosts of this data centre, and sums by data centre.
#[derive(Clone, Debug)]
pub(crate) struct TallyTable {
    /// This host and its start.
    own: Contributor,
    /// Counters of the hosts of this data centre, this host included.
    contributions: BTreeMap<Contributor, Contribution>,
    /// Sums by data centre.
    centres: BTreeMap<DataCentreId, Tallies>,
    /// Highest sums over all other hosts that `merge_others` has returned.
    others: Tallies,
    /// Versions that the configuration in force uses; `None` admits all while no configuration is in force.
    in_use: Option<BTreeSet<ModelVersion>>,
    /// Number of changes so far, which orders contributions by their last change.
    change_count: u64,
    /// Position at which the next exchange starts.
    exchange_start: usize,
    /// Position at which the next hand-over starts.
    handover_start: usize,
}

/// A host and one of its starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Contributor {
    pub host: EntryHostId,
    /// Incarnation with which the host started. Refutations do not change it.
    pub start: Incarnation,
}

#[derive(Clone, Debug, Default)]
struct Contribution {
    tallies: Tallies,
    revision: Revision,
    last_change: u64,
}

impl TallyTable {
    pub fn new(own: Contributor) -> TallyTable {
        TallyTable {
            own,
            contributions: BTreeMap::new(),
            centres: BTreeMap::new(),
            others: Tallies::new(),
            in_use: None,
            change_count: 0,
            exchange_start: 0,
            handover_start: 0,
        }
    }

    /// Sets the versions in use and removes all others. If there are too many, the first by name are used, so that all
    /// hosts count the same ones.
    pub fn set_in_use(&mut self, in_use: BTreeSet<ModelVersion>) {
        let in_use: BTreeSet<ModelVersion> = in_use.into_iter().take(MAX_VERSIONS).collect();
        if self.in_use.as_ref() == Some(&in_use) {
            return;
        }
        let host_tallies =
            self.contributions.values_mut().map(|contribution| &mut contribution.tallies);
        for tallies in host_tallies.chain(self.centres.values_mut()) {
            tallies.retain(|version, _| in_use.contains(version));
        }
        self.in_use = Some(in_use);
    }

    pub fn set_own(&mut self, model_version: ModelVersion, tally: Tally) {
        let own = self.own.clone();
        self.merge_contribution(own, &Tallies::from([(model_version, tally)]), 0);
    }

    /// This host's report; a full report carries its tallies and requests a summary.
    pub fn report(&self, revision: Revision, full: bool) -> Report {
        let own = self.contributions.get(&self.own).filter(|_| full);
        let tallies = own.map(|own| own.tallies.clone()).unwrap_or_default();
        Report { start: self.own.start, revision, wants_summary: full, tallies }
    }

    pub fn contributions(&self) -> usize {
        self.contributions.len()
    }

    /// Revision that a host has reported to this delegate since its latest start.
    pub fn reported_revision(&self, host: &EntryHostId) -> Option<Revision> {
        self.latest_contribution(host).map(|(_, contribution)| contribution.revision)
    }

    /// Merges a host's report.
    pub fn merge_report(&mut self, host: &EntryHostId, report: &Report) {
        let contributor = Contributor { host: host.clone(), start: report.start };
        self.merge_contribution(contributor, &report.tallies, report.revision);
    }

    /// Updates the sum of this data centre.
    pub fn sum_centre(&mut self, data_centre: &DataCentreId) {
        let mut sum = Tallies::new();
        for contribution in self.contributions.values() {
            add(&mut sum, &contribution.tallies);
        }
        merge_max(self.centres.entry(data_centre.clone()).or_default(), &sum);
    }

    /// Sums over the fleet without the counters of `host` since its latest start.
    pub fn sums_without(&self, host: &EntryHostId) -> Tallies {
        let mut sum = Tallies::new();
        for centre in self.centres.values() {
            add(&mut sum, centre);
        }
        if let Some((_, contribution)) = self.latest_contribution(host) {
            subtract(&mut sum, &contribution.tallies);
        }
        sum
    }

    /// Merges sums over all other hosts; returns the versions whose sums grew.
    pub fn merge_others(&mut self, others: &Tallies) -> Tallies {
        let mut grown = Tallies::new();
        for (version, tally) in self.only_in_use(others) {
            let before = self.others.get(&version).copied().unwrap_or_default();
            let after = combine_tally(before, tally, |a, b| a.max(b));
            if after != before {
                grown.insert(version, after);
            }
        }
        self.others.extend(grown.iter().map(|(version, tally)| (version.clone(), *tally)));
        self.trim_others();
        grown
    }

    /// Next part of the sums by data centre, to be sent to other watchers.
    pub fn next_exchange(&mut self) -> Exchange {
        let versions = self.versions();
        let centres = self.centres.iter().map(|(data_centre, tallies)| {
            let lines = to_lines(&versions, tallies);
            CentreTallies { data_centre: data_centre.clone(), lines }
        });
        let centres =
            next_part(centres.collect(), &mut self.exchange_start, |centre| centre.lines.len());
        Exchange { versions, centres }
    }

    /// Merges sums received from another watcher.
    pub fn merge_exchange(&mut self, exchange: &Exchange) {
        for centre in &exchange.centres {
            let known = self.centres.contains_key(&centre.data_centre);
            if !known && self.centres.len() >= MAX_CENTRES {
                continue;
            }
            let tallies = self.only_in_use(&from_lines(&exchange.versions, &centre.lines));
            merge_max(self.centres.entry(centre.data_centre.clone()).or_default(), &tallies);
        }
    }

    /// Next part of the hosts' counters, to be sent to the other watcher of the data centre.
    pub fn next_handover(&mut self) -> Handover {
        let versions = self.versions();
        let all = self.contributions.iter().map(|(contributor, contribution)| HostTallies {
            contributor: contributor.clone(),
            lines: to_lines(&versions, &contribution.tallies),
        });
        let contributions =
            next_part(all.collect(), &mut self.handover_start, |host| host.lines.len());
        Handover { versions, contributions }
    }

    /// Merges counters received from the other watcher.
    pub fn merge_handover(&mut self, handover: &Handover) {
        for host in &handover.contributions {
            let tallies = from_lines(&handover.versions, &host.lines);
            self.merge_contribution(host.contributor.clone(), &tallies, 0);
        }
    }

    /// Removes sums of unused versions when there are too many. They are kept as long as possible so that a returned
    /// sum does not decrease when a version is used again.
    fn trim_others(&mut self) {
        while self.others.len() > MAX_REMEMBERED_VERSIONS {
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

    fn merge_contribution(
        &mut self,
        contributor: Contributor,
        tallies: &Tallies,
        revision: Revision,
    ) {
        let tallies = self.only_in_use(tallies);
        self.evict_if_full(&contributor);
        self.change_count += 1;
        let contribution = self.contributions.entry(contributor).or_default();
        merge_max(&mut contribution.tallies, &tallies);
        contribution.revision = contribution.revision.max(revision);
        contribution.last_change = self.change_count;
    }

    fn evict_if_full(&mut self, contributor: &Contributor) {
        if self.contributions.len() < MAX_CONTRIBUTIONS
            || self.contributions.contains_key(contributor)
        {
            return;
        }
        let others = self.contributions.iter().filter(|(contributor, _)| **contributor != self.own);
        let oldest = others.min_by_key(|(_, contribution)| contribution.last_change);
        if let Some(oldest) = oldest.map(|(contributor, _)| contributor.clone()) {
            self.contributions.remove(&oldest);
        }
    }

    fn latest_contribution(&self, host: &EntryHostId) -> Option<(&Contributor, &Contribution)> {
        let first = Contributor { host: host.clone(), start: 0 };
        let last = Contributor { host: host.clone(), start: Incarnation::MAX };
        self.contributions.range(first..=last).next_back()
    }

    /// Tallies of the versions in use.
    fn only_in_use(&self, tallies: &Tallies) -> Tallies {
        let mut filtered = tallies.clone();
        if let Some(in_use) = &self.in_use {
            filtered.retain(|version, _| in_use.contains(version));
        }
        filtered
    }

    /// Versions that have tallies, up to `MAX_VERSIONS`.
    fn versions(&self) -> Vec<ModelVersion> {
        let host_versions =
            self.contributions.values().flat_map(|contribution| contribution.tallies.keys());
        let centre_versions = self.centres.values().flat_map(BTreeMap::keys);
        let versions: BTreeSet<&ModelVersion> = host_versions.chain(centre_versions).collect();
        versions.into_iter().take(MAX_VERSIONS).cloned().collect()
    }
}

/// Entries from position `start`, wrapping around, up to the maximum number of lines; `start` advances to the first
/// entry left out.
fn next_part<T>(mut all: Vec<T>, start: &mut usize, lines: impl Fn(&T) -> usize) -> Vec<T> {
    let count = all.len();
    all.rotate_left(*start % count.max(1));
    let mut total = 0;
    let fitting = all.iter().take_while(|entry| {
        total += lines(entry).max(1);
        total <= MAX_TALLY_LINES
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

fn combine(into: &mut Tallies, from: &Tallies, op: impl Fn(u64, u64) -> u64) {
    for (version, b) in from {
        if into.len() >= MAX_VERSIONS && !into.contains_key(version) {
            continue;
        }
        let a = into.entry(version.clone()).or_default();
        *a = combine_tally(*a, *b, &op);
    }
}

fn combine_tally(a: Tally, b: Tally, op: impl Fn(u64, u64) -> u64) -> Tally {
    Tally {
        rated: op(a.rated, b.rated),
        unacceptable: op(a.unacceptable, b.unacceptable),
        ended: op(a.ended, b.ended),
        failed: op(a.failed, b.failed),
        timed: op(a.timed, b.timed),
        slow: op(a.slow, b.slow),
        callers: op(a.callers, b.callers),
    }
}
