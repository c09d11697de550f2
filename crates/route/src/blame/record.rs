//! What a host knows of one culprit.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Fingerprint;

use super::crash_times::DeathSign;
use super::crash_times::MAX_DEATHS;
use super::crash_times::is_same_death;
use super::finding::CrashFinding;
use super::finding::CrashId;
use super::finding::Culprit;
use crate::deal::Dealer;
use crate::deal::Hosts;
use crate::deal::Share;

/// Different contents with a part that must be suspected before the part is: one request may meet several crashes.
pub(super) const MIN_CONTENTS: usize = 3;
/// Maximum time from the first to the last crash of a burst, which may have one cause.
pub(super) const BURST_LEN: Duration = Duration::from_secs(1);
/// Trials of a quarantined part on all hosts, a second.
const TRIAL_RATE: f64 = 0.5;
/// Time after a crash before the next trial, while fewer servers than [`TOLERATED_CRASHES`] have crashed.
const TRIAL_DELAY: Duration = Duration::from_secs(1);
/// The same once so many have crashed; doubles with each further crash.
const LATE_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Crashes under requests with a part after which hardly any more may follow.
const TOLERATED_CRASHES: usize = 5;
/// Crashes that trials may cause beyond these.
const MAX_LATE_TRIALS: usize = 2;
/// Maximum number of crashes noted for one culprit in a burst, and in all.
pub(super) const MAX_BURST_CRASHES: usize = 16;
const MAX_CRASHES: usize = 3 * MAX_BURST_CRASHES;

/// Findings on one culprit.
#[derive(Debug)]
pub(super) struct Blame {
    /// Deaths of servers that were beginning to answer it.
    pub(super) crashes: BTreeMap<CrashId, Vec<Sighting>>,
    /// Index of a part in its prompt, as last seen.
    pub(super) position: u8,
    pub(super) updated: Instant,
    /// When the last answer known to be sound began.
    pub(super) cleared_as_of: Option<Instant>,
    /// Whether this host noticed one of the crashes.
    pub(super) is_own: bool,
    /// This host's share of the trials.
    pub(super) trials: Option<Share>,
}

/// One death of a server that was beginning to answer a culprit.
#[derive(Clone, Debug)]
pub(super) struct Sighting {
    pub(super) at: Instant,
    /// Whether other hosts may know of it.
    pub(super) is_shared: bool,
    /// Contents with the culprit that the server was beginning to answer, [`MIN_CONTENTS`] at most.
    pub(super) contents: BTreeSet<Fingerprint>,
}

impl Blame {
    pub(super) fn new(now: Instant) -> Blame {
        Blame {
            crashes: BTreeMap::new(),
            position: 0,
            updated: now,
            cleared_as_of: None,
            is_own: false,
            trials: None,
        }
    }

    /// Whether a crash at `at` was before an answer known to be sound.
    pub(super) fn is_cleared(&self, at: Instant) -> bool {
        self.cleared_as_of.is_some_and(|as_of| at <= as_of)
    }

    /// Notes a sign of a server's death; returns whether anything changes that matters. Nothing that was noted makes room: what
    /// one host dropped, another would tell it again.
    pub(super) fn note(&mut self, crash: CrashId, content: Fingerprint, sign: DeathSign) -> bool {
        let at = sign.at;
        if self.is_cleared(at) {
            return false;
        }
        let mut sightings = self.crashes.get_mut(&crash).into_iter().flatten();
        if let Some(sighting) = sightings.find(|sighting| sign.is_of(sighting.at)) {
            // The same death may turn out to have been earlier.
            sighting.at = at.min(sighting.at);
            return sighting.contents.len() < MIN_CONTENTS && sighting.contents.insert(content);
        }
        if !self.has_room(crash, at) {
            return false;
        }
        let contents = BTreeSet::from([content]);
        self.crashes.entry(crash).or_default().push(Sighting { at, is_shared: false, contents });
        true
    }

    /// What is noted of a server's death at about `at`.
    pub(super) fn sighting(&mut self, crash: CrashId, at: Instant) -> Option<&mut Sighting> {
        let sightings = self.crashes.get_mut(&crash)?;
        let distance = |sighting: &&mut Sighting| sighting.at.max(at) - sighting.at.min(at);
        let nearest = sightings.iter_mut().min_by_key(distance)?;
        is_same_death(nearest.at, at).then_some(nearest)
    }

    /// Removes and returns the deaths that were not after `as_of`.
    pub(super) fn remove_until(&mut self, as_of: Instant) -> Vec<Sighting> {
        let mut removed = Vec::new();
        for sightings in self.crashes.values_mut() {
            removed.extend(sightings.extract_if(.., |sighting| sighting.at <= as_of));
        }
        self.crashes.retain(|_, sightings| !sightings.is_empty());
        removed
    }

    pub(super) fn sightings(&self) -> impl Iterator<Item = &Sighting> {
        self.crashes.values().flatten()
    }

    fn has_room(&self, crash: CrashId, at: Instant) -> bool {
        let is_close = |sighting: &&Sighting| at.max(sighting.at) - at.min(sighting.at) < BURST_LEN;
        self.crashes.get(&crash).map_or(0, Vec::len) < MAX_DEATHS
            && self.sightings().count() < MAX_CRASHES
            && self.sightings().filter(is_close).count() < MAX_BURST_CRASHES
    }

    /// Whether enough time has passed since the last crash for another trial.
    pub(super) fn is_trial_due(&self, now: Instant) -> bool {
        let deaths = self.suspected_deaths();
        let late = deaths.saturating_sub(TOLERATED_CRASHES);
        let delay = if deaths < TOLERATED_CRASHES {
            TRIAL_DELAY
        } else if late < MAX_LATE_TRIALS {
            LATE_TRIAL_DELAY * (1 << late)
        } else {
            return false;
        };
        // Findings that are passed on again renew the record, but not the crashes.
        let last_crash = self.sightings().map(|sighting| sighting.at).max();
        now.saturating_duration_since(last_crash.unwrap_or(self.updated)) >= delay
    }

    /// Whether this host has a share in the trials of a culprit now.
    pub(super) fn has_trial(&mut self, culprit: Culprit, dealer: &Dealer, now: Instant) -> bool {
        self.trials =
            Share::at(dealer, &culprit.to_string(), TRIAL_RATE, Hosts::Present, self.trials, now);
        self.trials.is_some_and(|trials| trials.has_room(now))
    }

    /// Findings on the deaths except one, each with its time.
    pub(super) fn findings(
        &self,
        culprit: Culprit,
        except: Option<(CrashId, Instant)>,
    ) -> impl Iterator<Item = (CrashFinding, Instant)> + '_ {
        let position = self.position;
        let deaths = self.crashes.iter().flat_map(|(crash, sightings)| {
            sightings.iter().map(move |sighting| (*crash, sighting))
        });
        let is_wanted = move |(crash, sighting): &(CrashId, &Sighting)| {
            except.is_none_or(|(other, at)| other != *crash || !is_same_death(sighting.at, at))
        };
        deaths.filter(is_wanted).flat_map(move |(crash, sighting)| {
            sighting.contents.iter().map(move |content| {
                let (content, age_ms) = (*content, 0);
                let finding = CrashFinding::Suspected { culprit, position, content, crash, age_ms };
                (finding, sighting.at)
            })
        })
    }

    /// Number of deaths of which the culprit is suspected.
    pub(super) fn suspected_deaths(&self) -> usize {
        self.sightings().filter(|sighting| !self.is_cleared(sighting.at)).count()
    }

    /// What a death says of this culprit beside contents that are blamed for it. If some of these have the culprit, nothing else
    /// that was there counts, but they do: each may have met its crashes because of a part that it has. Otherwise one with more
    /// deaths explains this one.
    pub(super) fn evidence<'a>(
        &self,
        sighting: &'a Sighting,
        blamed: &[(Fingerprint, &Blame)],
    ) -> Option<Cow<'a, Sighting>> {
        if blamed.is_empty() {
            return Some(Cow::Borrowed(sighting));
        }
        let with_culprit = blamed.iter().map(|(content, _)| *content);
        let contents: BTreeSet<Fingerprint> =
            with_culprit.filter(|content| sighting.contents.contains(content)).collect();
        if !contents.is_empty() {
            return Some(Cow::Owned(Sighting { contents, ..*sighting }));
        }
        let deaths = self.suspected_deaths();
        let is_explained = blamed.iter().any(|(_, blame)| blame.suspected_deaths() > deaths);
        (!is_explained).then_some(Cow::Borrowed(sighting))
    }
}
