//! What to blame for crashes of servers: a content, or a part of prompts.
//!
//! A crash shows only that something is at fault that the server was beginning to answer. The culprit is what was there
//! at crash after crash, on whichever host, and is never answered soundly in between. So each host notes for a crash
//! what its server was beginning to answer, and hosts share these findings. A sound answer clears its content and parts
//! of the crashes before it began, on all hosts. Findings carry their age, and a clearance prevails over the suspicions
//! before it, so hosts agree in whatever order findings arrive.
//!
//! Servers also end for reasons that no request has, often many at once. Crashes of one burst are excused, for a
//! limited number of bursts, if other servers ended then that were not running the culprit, if it is in so many requests
//! that it is under any crash, or if they were all at one moment. So are crashes under what the host has answered soundly
//! of late: no answer of the past clears later crashes, but few parts begin to crash servers after sound answers.
//!
//! A part may still be blamed wrongly, for instance after all hosts have started anew, and what would clear it is refused. So
//! the hosts together send a few of its requests as trials, one attempt each, fewer the more servers have crashed.
//!
//! All requests with a part contain the parts that they share with sound ones, too. A later part of a prompt is in fewer
//! requests than an earlier one, so it is blamed first, and crashes that a blamed part explains do not count against
//! others.

mod crash_times;
mod finding;
mod news;
mod record;
mod sound_answers;

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Fingerprint;

use self::crash_times::CrashTimes;
use self::crash_times::DeathSign;
pub use self::finding::CrashAge;
pub use self::finding::CrashFinding;
pub use self::finding::CrashId;
pub use self::finding::CrashNews;
pub use self::finding::Culprit;
use self::finding::millis;
use self::finding::moment;
use self::news::Audience;
use self::news::NEWS_TTL;
use self::news::News;
pub use self::news::NewsRound;
use self::record::BURST_LEN;
use self::record::Blame;
use self::record::MAX_BURST_CRASHES;
use self::record::MIN_CONTENTS;
use self::record::Sighting;
use self::sound_answers::SoundAnswers;
use crate::deal::Dealer;
use crate::in_flight::PromptPart;

/// Crashes of which a culprit must be suspected to be quarantined.
pub const QUARANTINE_CRASHES: usize = 3;
/// Hosts that are told in a round.
pub const FANOUT: usize = 2;
/// Time in which findings are collected before they are sent.
pub const NEWS_DELAY: Duration = Duration::from_millis(20);
/// Minimum time between two rounds, however much is new.
pub const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of findings that another host may send at once.
pub const MAX_MESSAGE_FINDINGS: usize = 256;
/// The same for crashes whose culprits it does not name.
pub const MAX_MESSAGE_CRASHES: usize = 24;
/// Rounds in which a host tells others of crashes after it has heard of one.
const CRASH_ROUNDS: u8 = 3;
/// Bursts of crashes that are excused. Whatever the excuse, a culprit must be stopped soon after its first crashes.
const MAX_EXCUSED_BURSTS: usize = 2;
/// Servers that crash within [`BURST_LEN`] from which on that may be an outage.
const OUTAGE_CRASHES: usize = 4;
/// Part of these, as its reciprocal, that must have run without a culprit to show that it is not at fault.
const OTHER_CRASHES_RATIO: usize = 4;
/// Time within which hardly so many requests with a part reach servers, unless it is in very many requests.
const MOMENT: Duration = Duration::from_millis(100);
const REQUESTS_AT_ONCE: usize = 3;
/// The same for crashes under a content, of which a request may meet several at once.
const CRASHES_AT_ONCE: usize = 8;
/// Part of the requests with sound answers from which on a part is under any crash.
const POPULAR_SHARE: f64 = 0.1;
/// Time from the crash that suffices to blame a part until it is refused: findings on other crashes may be on their way.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// The same for a content, which few requests have.
const CONTENT_SETTLE_TIME: Duration = Duration::from_millis(100);
/// Maximum number of culprits with findings.
const MAX_CULPRITS: usize = 4_096;
/// Time for which a crash under a culprit with sound answers of late is kept back: the next ones clear most of these. A
/// content, which is in few requests, is not kept back again if none has cleared it.
const SHARE_DELAY: Duration = Duration::from_secs(1);
/// Time for which other hosts' clearances of what is not quarantined are kept back, to be passed on together.
const CLEARANCE_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of culprits in the reply to a host that asks.
const MAX_REPLY: usize = 32;

/// What a server was beginning to answer when it crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    pub(crate) culprit: Culprit,
    pub(crate) position: u8,
    pub(crate) content: Fingerprint,
    pub(crate) crash: CrashId,
    /// When the answer broke off.
    pub(crate) at: Instant,
    /// When the server was seen alive last, if known.
    pub(crate) alive: Option<Instant>,
}

/// Change of what is known of a culprit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlameChange {
    /// This host saw a crash under the culprit; it is suspected of this many.
    Suspected(usize),
    /// It is quarantined from now on because of this many crashes.
    Quarantined { crashes: usize, is_own: bool },
    /// An answer of this host cleared it of this many crashes.
    Cleared(usize),
    /// It is not quarantined any more.
    Released,
    /// The same, for lack of room.
    Dropped,
}

/// Findings on all culprits.
#[derive(Debug, Default)]
pub(crate) struct BlameTable {
    culprits: BTreeMap<Culprit, Blame>,
    quarantined: BTreeSet<Culprit>,
    /// Culprits to be quarantined, and when.
    pending: BTreeMap<Culprit, Instant>,
    sound: SoundAnswers,
    crash_times: CrashTimes,
    /// Rounds in which to tell other hosts of recent crashes.
    crash_rounds: u8,
    news: News,
    /// Changes since they were last taken.
    changes: Vec<(Culprit, BlameChange)>,
}

/// Everything in a request that may be to blame, with the positions of its parts.
pub(crate) fn culprits(
    content: Fingerprint,
    parts: &[PromptPart],
) -> impl Iterator<Item = (Culprit, u8)> + '_ {
    // The last part belongs to the request or its session.
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let parts = shared.iter().zip(0..).map(|(part, position)| (Culprit::Part(part.id), position));
    std::iter::once((Culprit::Content(content), 0)).chain(parts)
}

impl BlameTable {
    /// Adds what another host tells.
    pub(crate) fn merge(&mut self, news: &CrashNews, now: Instant) {
        let CrashNews { findings, crashes } = news;
        for CrashAge { crash, age_ms } in crashes.iter().take(MAX_MESSAGE_CRASHES) {
            let sign = DeathSign { at: moment(*age_ms, now), alive: None };
            self.record_crash_time(*crash, sign, now);
        }
        for finding in findings.iter().take(MAX_MESSAGE_FINDINGS) {
            let at = moment(finding.age_ms(), now);
            match *finding {
                CrashFinding::Suspected { culprit, position, content, crash, .. } => {
                    let suspicion =
                        Suspicion { culprit, position, content, crash, at, alive: None };
                    if self.suspect(&suspicion, false, now) {
                        self.share(*finding, at, false, now);
                    }
                }
                CrashFinding::Cleared { culprit, .. } => {
                    let (cleared, was_released) = self.clear(culprit, at, now);
                    if was_released {
                        self.changes.push((culprit, BlameChange::Released));
                        self.news.add(*finding, at, Audience::ALL_FIRST, now);
                    } else if cleared.len() > 1 {
                        self.news.defer(*finding, at, now + CLEARANCE_DELAY);
                    }
                }
            }
        }
        self.judge(findings.iter().map(CrashFinding::culprit).collect(), now);
    }

    /// Adds what this host noticed of one crash.
    pub(crate) fn record_crash(&mut self, suspicions: &[Suspicion], now: Instant) {
        for suspicion in suspicions {
            let Suspicion { culprit, position, content, crash, at, .. } = *suspicion;
            if !self.suspect(suspicion, true, now) {
                continue;
            }
            let age_ms = 0;
            let finding = CrashFinding::Suspected { culprit, position, content, crash, age_ms };
            let crashes = self.culprits.get(&culprit).map_or(0, Blame::suspected_deaths);
            let is_repeated = matches!(culprit, Culprit::Content(_)) && crashes > 1;
            if self.is_sound(culprit, now) && !is_repeated {
                self.news.defer(finding, at, now + SHARE_DELAY);
            } else {
                self.share(finding, at, true, now);
            }
            self.changes.push((culprit, BlameChange::Suspected(crashes)));
        }
        self.judge(suspicions.iter().map(|suspicion| suspicion.culprit).collect(), now);
    }

    /// Records that a server answered these contents and parts of one request and survived; the answer began at `began`.
    pub(crate) fn record_sound_answer(
        &mut self,
        culprits: impl Iterator<Item = Culprit>,
        began: Instant,
        now: Instant,
    ) {
        self.sound.count_request();
        for culprit in culprits {
            self.sound.insert(culprit, now);
            if !self.culprits.contains_key(&culprit) {
                continue;
            }
            let (cleared, was_released) = self.clear(culprit, began, now);
            if !cleared.is_empty() {
                self.changes.push((culprit, BlameChange::Cleared(cleared.len())));
            }
            // Nobody else knows of a crash that is cleared before it is shared, and only the homes of one alone.
            if was_released || cleared.iter().any(|sighting| sighting.is_shared) {
                let finding = CrashFinding::Cleared { culprit, age_ms: 0 };
                let is_told_to_all = was_released || cleared.len() > 1;
                let audience = if is_told_to_all { Audience::ALL_FIRST } else { Audience::Homes };
                self.news.add(finding, began, audience, now);
            }
            if was_released {
                self.changes.push((culprit, BlameChange::Released));
            }
        }
    }

    /// Adds a crash; returns whether it was not known.
    fn suspect(&mut self, suspicion: &Suspicion, is_own: bool, now: Instant) -> bool {
        let Suspicion { culprit, position, content, crash, at, alive } = *suspicion;
        let at = self.record_crash_time(crash, DeathSign { at, alive }, now);
        let blame = self.blame(culprit, now);
        blame.position = blame.position.max(position);
        let is_news = blame.note(crash, content, DeathSign { at, alive });
        blame.is_own |= is_news && is_own;
        is_news
    }

    /// Records a crash; returns when it was noticed first. Hosts tell each other of the first crashes of an outage, until each
    /// knows enough of them to recognize it.
    fn record_crash_time(&mut self, crash: CrashId, sign: DeathSign, now: Instant) -> Instant {
        let is_new = !self.crash_times.contains(crash);
        let at = self.crash_times.record(crash, sign);
        if is_new {
            let from = now.checked_sub(NEWS_TTL).unwrap_or(now);
            let recent = self.crash_times.since(from).count();
            if (2..=MAX_MESSAGE_CRASHES).contains(&recent) {
                self.crash_rounds = CRASH_ROUNDS;
            }
        }
        at
    }

    /// Clears a culprit of the crashes before `as_of`; returns these, and whether that ended a quarantine.
    fn clear(&mut self, culprit: Culprit, as_of: Instant, now: Instant) -> (Vec<Sighting>, bool) {
        let blame = self.blame(culprit, now);
        blame.cleared_as_of = blame.cleared_as_of.max(Some(as_of));
        let cleared = blame.remove_until(as_of);
        let is_refuted = blame.suspected_deaths() < QUARANTINE_CRASHES;
        if is_refuted {
            self.pending.remove(&culprit);
        }
        (cleared, is_refuted && self.quarantined.remove(&culprit))
    }

    /// Has other hosts told of a crash that this host or another one noticed.
    fn share(&mut self, finding: CrashFinding, at: Instant, is_own: bool, now: Instant) {
        let CrashFinding::Suspected { culprit, crash, .. } = finding else {
            return;
        };
        let Some(blame) = self.culprits.get_mut(&culprit) else {
            return;
        };
        if let Some(sighting) = blame.sighting(crash, at) {
            sighting.is_shared = true;
        }
        let crashes = blame.suspected_deaths();
        let audience = match crashes {
            0 | 1 => Audience::Homes,
            _ => Audience::All { crashes },
        };
        if crashes == 2 {
            // Only the culprit's homes were told of the first crash, which may be old.
            for (finding, at) in blame.findings(culprit, Some((crash, at))) {
                self.news.add_proof(finding, at, audience, now);
            }
        }
        if is_own || crashes > 1 {
            self.news.add(finding, at, audience, now);
        }
    }

    /// Blames the culprits whose crashes suffice, and releases those that other findings excuse.
    fn judge(&mut self, culprits: BTreeSet<Culprit>, now: Instant) {
        let pending = self.pending.keys().copied();
        // Only parts are released because of what is blamed later.
        let is_part = |culprit: &Culprit| matches!(culprit, Culprit::Part(_));
        let quarantined = self.quarantined.iter().copied().filter(is_part);
        let culprits = culprits.into_iter().chain(pending).chain(quarantined).collect();
        for culprit in self.later_parts_first(culprits) {
            let convicted_at = self.convicted_at(culprit, now);
            let is_quarantined = self.quarantined.contains(&culprit);
            if convicted_at.is_none() {
                self.pending.remove(&culprit);
                if is_quarantined && self.refutes(culprit, now) {
                    self.quarantined.remove(&culprit);
                    self.changes.push((culprit, BlameChange::Released));
                }
            } else if let Some(at) = convicted_at.filter(|_| !is_quarantined) {
                let settle_time = match culprit {
                    Culprit::Content(_) => CONTENT_SETTLE_TIME,
                    Culprit::Part(_) => SETTLE_TIME,
                };
                self.pending.entry(culprit).or_insert(at + settle_time);
                self.settle_one(culprit, now);
            }
        }
    }

    /// Quarantines the culprits for which that is due.
    pub(crate) fn settle(&mut self, now: Instant) {
        let due = self.pending.iter().filter(|(_, due)| **due <= now);
        let due = due.map(|(culprit, _)| *culprit).collect();
        for culprit in self.later_parts_first(due) {
            self.settle_one(culprit, now);
        }
    }

    /// Quarantines a culprit if that is due and nothing has explained its crashes since.
    fn settle_one(&mut self, culprit: Culprit, now: Instant) {
        if self.pending.get(&culprit).is_none_or(|due| now < *due) {
            return;
        }
        self.pending.remove(&culprit);
        if self.convicted_at(culprit, now).is_some() {
            self.quarantine_now(culprit, now);
        }
    }

    /// Sorts culprits for judgement: the later a part is in its prompt, the fewer requests have it.
    fn later_parts_first(&self, culprits: BTreeSet<Culprit>) -> Vec<Culprit> {
        let position = |culprit: &Culprit| self.culprits.get(culprit).map(|blame| blame.position);
        let mut culprits: Vec<Culprit> = culprits.into_iter().collect();
        culprits.sort_by_key(|culprit| std::cmp::Reverse(position(culprit)));
        culprits
    }

    fn quarantine_now(&mut self, culprit: Culprit, now: Instant) {
        let Some(blame) = self.culprits.get(&culprit) else {
            return;
        };
        let change =
            BlameChange::Quarantined { crashes: blame.suspected_deaths(), is_own: blame.is_own };
        let audience = Audience::All { crashes: blame.suspected_deaths() };
        for (finding, at) in blame.findings(culprit, None) {
            self.news.add_proof(finding, at, audience, now);
        }
        self.quarantined.insert(culprit);
        self.changes.push((culprit, change));
        for explained in self.release_explained(culprit, now) {
            self.changes.push((explained, BlameChange::Released));
        }
    }

    /// Removes and returns the changes since this was last called.
    pub(crate) fn take_changes(&mut self) -> Vec<(Culprit, BlameChange)> {
        std::mem::take(&mut self.changes)
    }

    /// Whether a content or a part was answered soundly lately.
    pub(crate) fn is_sound(&self, culprit: Culprit, now: Instant) -> bool {
        self.sound.answers(culprit, now) > 0
    }

    /// Quarantines a culprit that the store's record names, unless this host knows better.
    pub(crate) fn quarantine(&mut self, culprit: Culprit, now: Instant) {
        if self.refutes(culprit, now) {
            return;
        }
        self.blame(culprit, now);
        self.quarantined.insert(culprit);
    }

    pub(crate) fn is_quarantined(&self, culprit: Culprit, now: Instant) -> bool {
        let is_blamed = self.quarantined.contains(&culprit)
            || self.pending.get(&culprit).is_some_and(|due| *due <= now);
        let is_current =
            |blame: &Blame| now.saturating_duration_since(blame.updated) < culprit.ttl();
        is_blamed && self.culprits.get(&culprit).is_some_and(is_current)
    }

    /// Whether a request is quarantined for its content or a part of its prompt.
    pub(crate) fn is_request_quarantined(
        &self,
        content: Fingerprint,
        parts: &[PromptPart],
        now: Instant,
    ) -> bool {
        !(self.quarantined.is_empty() && self.pending.is_empty())
            && culprits(content, parts).any(|(culprit, _)| self.is_quarantined(culprit, now))
    }

    /// Takes a trial for a request that is quarantined for parts of its prompt only; returns these parts, or nothing if
    /// none is due on this host.
    pub(crate) fn take_trial(
        &mut self,
        content: Fingerprint,
        parts: &[PromptPart],
        dealer: &Dealer,
        now: Instant,
    ) -> Vec<Culprit> {
        let quarantined: Vec<Culprit> = culprits(content, parts)
            .map(|(culprit, _)| culprit)
            .filter(|culprit| self.is_quarantined(*culprit, now))
            .collect();
        let mut are_due = true;
        for culprit in &quarantined {
            are_due &= self.culprits.get_mut(culprit).is_some_and(|blame| {
                matches!(culprit, Culprit::Part(_))
                    && blame.is_trial_due(now)
                    && blame.has_trial(*culprit, dealer, now)
            });
        }
        if !are_due {
            return Vec::new();
        }
        for culprit in &quarantined {
            let blame = self.culprits.get_mut(culprit);
            if let Some(trials) = blame.and_then(|blame| blame.trials.as_mut()) {
                trials.use_one();
            }
        }
        quarantined
    }

    pub(crate) fn has_news(&self, now: Instant) -> bool {
        self.crash_rounds > 0 || self.news.is_due(now)
    }

    /// What to pass on in this round.
    pub(crate) fn take_news(&mut self, hosts: &Dealer, now: Instant) -> NewsRound {
        while let Some((finding, at)) = self.news.take_due(now) {
            let CrashFinding::Suspected { culprit, crash, .. } = finding else {
                self.news.add(finding, at, Audience::ALL_FIRST, now);
                continue;
            };
            let blame = self.culprits.get_mut(&culprit);
            if blame.is_some_and(|blame| blame.sighting(crash, at).is_some()) {
                self.share(finding, at, true, now);
            }
        }
        let mut round = self.news.take_round(hosts, now);
        let crashes = self.recent_crashes(now);
        for news in round.to_homes.values_mut() {
            news.crashes.clone_from(&crashes);
        }
        if self.crash_rounds > 0 || !round.to_all.findings.is_empty() {
            round.to_all.crashes = crashes;
        }
        self.crash_rounds = self.crash_rounds.saturating_sub(1);
        round
    }

    /// A sample of the crashes of late.
    fn recent_crashes(&self, now: Instant) -> Vec<CrashAge> {
        let from = now.checked_sub(NEWS_TTL).unwrap_or(now);
        let recent: Vec<(CrashId, Instant)> = self.crash_times.since(from).collect();
        let step = recent.len().div_ceil(MAX_MESSAGE_CRASHES).max(1);
        let age = |at: Instant| millis(now.saturating_duration_since(at));
        let sample = recent.into_iter().step_by(step);
        sample.map(|(crash, at)| CrashAge { crash, age_ms: age(at) }).collect()
    }

    /// Findings on quarantined culprits, for a host that may have missed them; of at most [`MAX_REPLY`] culprits, the ones
    /// updated last.
    pub(crate) fn quarantined_findings(&self, now: Instant) -> CrashNews {
        let known = |culprit: &Culprit| self.culprits.get(culprit).map(|blame| (*culprit, blame));
        let mut quarantined: Vec<(Culprit, &Blame)> =
            self.quarantined.iter().filter_map(known).collect();
        quarantined.sort_by_key(|(_, blame)| std::cmp::Reverse(blame.updated));
        quarantined.truncate(MAX_REPLY);
        let age = |at: Instant| now.saturating_duration_since(at);
        let findings = quarantined.into_iter().flat_map(|(culprit, blame)| {
            blame.findings(culprit, None).map(|(finding, at)| finding.at_age(age(at)))
        });
        let findings = findings.take(MAX_MESSAGE_FINDINGS).collect();
        CrashNews { findings, crashes: self.recent_crashes(now) }
    }

    /// When the crashes that nothing explains or excuses sufficed to blame a culprit, if they do.
    fn convicted_at(&self, culprit: Culprit, now: Instant) -> Option<Instant> {
        let blame = self.culprits.get(&culprit)?;
        let is_explained = |crash: CrashId| {
            matches!(culprit, Culprit::Part(_))
                && self.is_explained_by_part(crash, culprit, blame.position)
        };
        let unexplained = blame.crashes.iter().filter(|(crash, _)| !is_explained(**crash));
        let blamed = self.blamed_contents(culprit);
        let mut sightings: Vec<Cow<'_, Sighting>> = unexplained
            .flat_map(|(crash, sightings)| {
                let blamed = blamed_for(*crash, &blamed);
                sightings.iter().filter_map(move |sighting| blame.evidence(sighting, &blamed))
            })
            .filter(|sighting| !blame.is_cleared(sighting.at))
            .collect();
        sightings.sort_by_key(|sighting| sighting.at);
        let min_contents = match culprit {
            Culprit::Content(_) => 1,
            Culprit::Part(_) => MIN_CONTENTS,
        };
        let mut excuses = MAX_EXCUSED_BURSTS;
        let mut sound_answers = self.sound.answers(culprit, now);
        let mut contents = BTreeSet::new();
        let mut counted = 0;
        let mut rest = &sightings[..];
        while let Some(first) = rest.first() {
            let end = rest.partition_point(|sighting| sighting.at < first.at + BURST_LEN);
            let (burst, later) = rest.split_at(end);
            rest = later;
            let is_excused = sound_answers > 0 || self.is_outage(culprit, blame, burst, now);
            if excuses > 0 && is_excused {
                excuses -= 1;
                sound_answers = sound_answers.saturating_sub(1);
                continue;
            }
            for sighting in burst {
                counted += 1;
                contents.extend(sighting.contents.iter().copied());
                if counted >= QUARANTINE_CRASHES && contents.len() >= min_contents {
                    return Some(sighting.at);
                }
            }
        }
        None
    }

    /// Whether the crashes of a burst seem to have a cause other than the culprit.
    fn is_outage(
        &self,
        culprit: Culprit,
        blame: &Blame,
        burst: &[Cow<'_, Sighting>],
        now: Instant,
    ) -> bool {
        let Some(first) = burst.first().map(|sighting| sighting.at) else {
            return false;
        };
        let from = first.checked_sub(BURST_LEN / 2).unwrap_or(first);
        let (mut all, mut others) = (0, 0);
        for crash in self.crash_times.between(from, first + BURST_LEN) {
            all += 1;
            others += usize::from(!blame.crashes.contains_key(&crash));
        }
        let is_at_once = are_at_once(culprit, burst);
        if all < OUTAGE_CRASHES || is_at_once {
            return is_at_once;
        }
        // Further crashes of the burst may be known but not noted.
        let is_noted = burst.len() < MAX_BURST_CRASHES;
        let is_popular = matches!(culprit, Culprit::Part(_))
            && match self.sound.share(culprit, now) {
                Some(share) => share >= POPULAR_SHARE,
                // A host that has answered nothing yet knows only that the first part of prompts may be in many.
                None => blame.position == 0,
            };
        (is_noted && others * OTHER_CRASHES_RATIO >= all) || is_popular
    }

    /// Whether another quarantined part, which is not earlier in its prompts than `position`, is suspected of a crash.
    fn is_explained_by_part(&self, crash: CrashId, culprit: Culprit, position: u8) -> bool {
        self.quarantined.iter().any(|other| {
            let blame = self.culprits.get(other).filter(|blame| blame.position >= position);
            matches!(other, Culprit::Part(_))
                && *other != culprit
                && blame.is_some_and(|blame| blame.crashes.contains_key(&crash))
        })
    }

    /// Other quarantined contents.
    fn blamed_contents(&self, culprit: Culprit) -> Vec<(Fingerprint, &Blame)> {
        let others = self.quarantined.iter().filter(|other| **other != culprit);
        let blamed = others.filter_map(|other| match other {
            Culprit::Content(content) => Some((*content, self.culprits.get(other)?)),
            Culprit::Part(_) => None,
        });
        blamed.collect()
    }

    /// Releases the parts whose crashes a part explains that was quarantined after them.
    fn release_explained(&mut self, by: Culprit, now: Instant) -> Vec<Culprit> {
        let Some(position) = self.culprits.get(&by).map(|blame| blame.position) else {
            return Vec::new();
        };
        let is_explained = |culprit: &Culprit| {
            let blame = self.culprits.get(culprit);
            let is_earlier = blame.is_some_and(|blame| blame.position < position);
            is_earlier && self.refutes(*culprit, now)
        };
        let released: Vec<Culprit> =
            self.quarantined.iter().copied().filter(is_explained).collect();
        for culprit in &released {
            self.quarantined.remove(culprit);
        }
        released
    }

    /// Whether this host knows of enough crashes to judge a part, and they do not suffice to blame it.
    fn refutes(&self, culprit: Culprit, now: Instant) -> bool {
        let blame = self.culprits.get(&culprit);
        let knows_enough =
            blame.is_some_and(|blame| blame.suspected_deaths() >= QUARANTINE_CRASHES);
        matches!(culprit, Culprit::Part(_))
            && knows_enough
            && self.convicted_at(culprit, now).is_none()
    }

    /// The findings on a culprit, which count as updated now.
    fn blame(&mut self, culprit: Culprit, now: Instant) -> &mut Blame {
        if self.culprits.len() >= MAX_CULPRITS && !self.culprits.contains_key(&culprit) {
            let oldest = self.culprits.iter().min_by_key(|(culprit, blame)| {
                let is_quarantined = self.quarantined.contains(culprit)
                    && now.saturating_duration_since(blame.updated) < culprit.ttl();
                (is_quarantined, blame.updated)
            });
            if let Some(oldest) = oldest.map(|(culprit, _)| *culprit) {
                self.culprits.remove(&oldest);
                self.pending.remove(&oldest);
                if self.quarantined.remove(&oldest) {
                    self.changes.push((oldest, BlameChange::Dropped));
                }
            }
        }
        let blame = self.culprits.entry(culprit).or_insert_with(|| Blame::new(now));
        if now.saturating_duration_since(blame.updated) >= culprit.ttl() {
            *blame = Blame::new(now);
            self.quarantined.remove(&culprit);
            self.pending.remove(&culprit);
        }
        blame.updated = now;
        blame
    }
}

/// Those of the blamed contents that are suspected of a crash.
fn blamed_for<'a>(
    crash: CrashId,
    blamed: &[(Fingerprint, &'a Blame)],
) -> Vec<(Fingerprint, &'a Blame)> {
    blamed.iter().filter(|(_, blame)| blame.crashes.contains_key(&crash)).copied().collect()
}

/// Whether more crashes of a burst were at one moment than a culprit is likely to cause. A request with a part that crashes
/// servers crashes those to which it is repeated, too, so an outage shows by as many requests as crashes.
fn are_at_once(culprit: Culprit, burst: &[Cow<'_, Sighting>]) -> bool {
    (0..burst.len()).any(|start| {
        let end = burst[start].at + MOMENT;
        let crashes = burst[start..].partition_point(|sighting| sighting.at < end);
        match culprit {
            Culprit::Content(_) => crashes >= CRASHES_AT_ONCE,
            Culprit::Part(_) => {
                let moment = &burst[start..start + crashes];
                let contents: BTreeSet<Fingerprint> =
                    moment.iter().flat_map(|sighting| &sighting.contents).copied().collect();
                contents.len() >= REQUESTS_AT_ONCE.max(crashes)
            }
        }
    })
}
