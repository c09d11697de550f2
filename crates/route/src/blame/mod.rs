//! What to blame for crashes of servers: a content, or a part of prompts.
//!
//! A crash shows only that something is at fault that the server was beginning to answer. The culprit is what was there
//! at crash after crash, on whichever host, and is never answered soundly in between. So each host notes for a crash
//! what its server was beginning to answer, and hosts share these findings. A sound answer clears its content and parts
//! of the crashes known by then. Findings form a set that only grows, and a clearance prevails over a suspicion, so hosts
//! agree in whatever order findings arrive.
//!
//! A sound answer says little of the crashes after it. What a host has answered lately may still have been in the way of
//! servers that ended for another reason, often several at once, so there the host waits for more crashes, spread over
//! time. It keeps this to itself: no answer of the past clears anything on other hosts.
//!
//! A part may still be blamed wrongly, for instance after all hosts have started anew, and what would clear it is refused. So
//! the hosts together send a few of its requests as trials, one attempt each, fewer the more servers have crashed.
//!
//! All requests with a part contain the parts that they share with sound ones, too. A later part of a prompt is in fewer
//! requests than an earlier one, so it is blamed first, and crashes that a blamed part explains do not count against
//! others.

mod sound_answers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Fingerprint;
use serde::Deserialize;
use serde::Serialize;

use self::sound_answers::SoundAnswers;
use crate::deal::Dealer;
use crate::deal::Share;
use crate::in_flight::PromptPart;

/// Crashes of which a culprit must be suspected to be quarantined.
pub const QUARANTINE_CRASHES: usize = 3;
/// Different contents with a part that must be suspected before the part is: one request may meet several crashes.
const MIN_CONTENTS: usize = 3;
/// Time since the last finding after which a content's findings expire.
const CONTENT_TTL: Duration = Duration::from_secs(3_600);
/// The same for a part, whose quarantine affects more callers.
const PART_TTL: Duration = Duration::from_secs(600);
/// Bursts of crashes that sound answers before them excuse, one for each answer. A release may let a request crash servers
/// that used to be answered often.
const MAX_EXCUSED_BURSTS: usize = 2;
/// Maximum time from the first to the last crash of a burst, which may have one cause.
const BURST_LEN: Duration = Duration::from_secs(1);
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
/// Maximum number of culprits with findings.
const MAX_CULPRITS: usize = 4_096;
/// Maximum number of crashes noted for one culprit.
const MAX_CRASHES: usize = 16;
/// Maximum number of deaths noted under the id of one crash.
const MAX_DEATHS: usize = 8;
/// Time from a server's death within which another sign of it is taken for the same death.
const MIN_RESTART: Duration = Duration::from_millis(1_500);
/// Time for which a finding on a culprit with sound answers of late is kept back: most are cleared by the next ones, and many
/// requests have such parts.
const SHARE_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of findings waiting to be shared; the oldest are dropped first.
const MAX_NEWS: usize = 512;
/// Maximum number of culprits in the reply to another host's findings.
const MAX_REPLY: usize = 32;
/// Rounds in which a finding is passed on after it arrived.
const ROUNDS_PER_FINDING: u8 = 3;

/// Identifies the crash of one incarnation of a server, identically on all hosts.
pub type CrashId = u64;

/// What may crash servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Culprit {
    /// Requests with this content.
    Content(Fingerprint),
    /// Requests whose prompts have the part with this id before their last part.
    Part(u64),
}

/// What is known of a culprit's role in a crash; ordered, so that the greater value prevails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// The server was beginning to answer it.
    Suspected,
    /// It was answered soundly elsewhere.
    Cleared,
}

/// A culprit's role in a crash, as hosts share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFinding {
    pub culprit: Culprit,
    /// Index of a part in its prompt; 0 for a content.
    pub position: u8,
    /// Content that the server was beginning to answer.
    pub content: Fingerprint,
    pub crash: CrashId,
    /// Deaths of the server known under this id: while the store is away, a server that crashes again is the same to the
    /// hosts.
    pub deaths: u8,
    pub verdict: Verdict,
}

/// What a finding changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlameChange {
    /// It was known.
    None,
    /// The culprit is suspected of this many crashes.
    Suspected(usize),
    /// The same, and it is quarantined from now on.
    Quarantined(usize),
    /// The culprit is cleared of this many crashes; tells whether that ended its quarantine.
    Cleared { crashes: usize, was_quarantined: bool },
}

/// Findings on all culprits.
#[derive(Debug, Default)]
pub(crate) struct BlameTable {
    culprits: BTreeMap<Culprit, Blame>,
    quarantined: BTreeSet<Culprit>,
    sound: SoundAnswers,
    /// Findings to share, each with the rounds left.
    news: VecDeque<(CrashFinding, u8)>,
    /// Own findings on culprits with sound answers of late, each with the time to share it unless it is cleared before.
    deferred: VecDeque<(CrashFinding, Instant)>,
    /// Quarantined culprits dropped for lack of room since they were last taken.
    dropped: Vec<Culprit>,
}

/// Findings on one culprit.
#[derive(Debug)]
struct Blame {
    crashes: BTreeMap<CrashId, Sighting>,
    /// Index of a part in its prompt, as last seen.
    position: u8,
    updated: Instant,
    /// This host's share of the trials.
    trials: Option<Share>,
}

#[derive(Clone, Debug)]
struct Sighting {
    verdict: Verdict,
    /// When this host learned of each death of the server, [`MAX_DEATHS`] at most.
    deaths: Vec<Instant>,
    /// Whether other hosts may know of it.
    is_shared: bool,
    /// Contents with the culprit that the server was beginning to answer, [`MIN_CONTENTS`] at most.
    contents: BTreeSet<Fingerprint>,
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

impl fmt::Display for Culprit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Culprit::Content(content) => write!(f, "content:{content:016x}"),
            Culprit::Part(id) => write!(f, "part:{id:x}"),
        }
    }
}

impl Culprit {
    /// Name of its kind in metrics.
    #[must_use]
    pub fn kind_name(self) -> &'static str {
        match self {
            Culprit::Content(_) => "content",
            Culprit::Part(_) => "part",
        }
    }

    fn ttl(self) -> Duration {
        match self {
            Culprit::Content(_) => CONTENT_TTL,
            Culprit::Part(_) => PART_TTL,
        }
    }
}

impl BlameTable {
    /// Adds a finding of this host or of another one.
    pub(crate) fn merge(
        &mut self,
        finding: CrashFinding,
        is_own: bool,
        now: Instant,
    ) -> BlameChange {
        let CrashFinding { culprit, content, crash, verdict, .. } = finding;
        let is_sound = self.sound.answers(culprit, now) > 0;
        let blame = self.blame(culprit, now);
        blame.position = blame.position.max(finding.position);
        let is_known = blame.crashes.contains_key(&crash);
        if !is_known && !blame.has_room(verdict) {
            return BlameChange::None;
        }
        let sighting = blame.crashes.entry(crash).or_insert_with(|| Sighting::new(verdict));
        let deaths = if is_own { sighting.own_deaths(now) } else { finding.deaths };
        let is_news = sighting.merge(verdict, content, deaths, now);
        if is_known && !is_news {
            return BlameChange::None;
        }
        let is_deferred = is_own && verdict == Verdict::Suspected && is_sound;
        // Nobody else knows of a crash that is cleared before it is shared.
        let is_shared =
            !is_deferred && (!is_own || verdict == Verdict::Suspected || sighting.is_shared);
        sighting.is_shared |= is_shared;
        let finding = CrashFinding { deaths: sighting.deaths(), ..finding };
        let suspected = blame.suspected_deaths();
        if is_shared {
            self.add_news(finding);
        } else if is_deferred && self.deferred.len() < MAX_NEWS {
            self.deferred.push_back((finding, now + SHARE_DELAY));
        }
        match verdict {
            Verdict::Suspected if !self.quarantined.contains(&culprit) => {
                if self.is_convicted(culprit, now) {
                    self.quarantined.insert(culprit);
                    return BlameChange::Quarantined(suspected);
                }
                BlameChange::Suspected(suspected)
            }
            Verdict::Suspected => BlameChange::Suspected(suspected),
            Verdict::Cleared => {
                let was_quarantined =
                    suspected < QUARANTINE_CRASHES && self.quarantined.remove(&culprit);
                BlameChange::Cleared { crashes: 1, was_quarantined }
            }
        }
    }

    /// Records that a server answered a content or a part and survived.
    pub(crate) fn record_sound_answer(&mut self, culprit: Culprit, now: Instant) -> BlameChange {
        self.sound.insert(culprit, now);
        let Some(blame) = self.culprits.get(&culprit) else {
            return BlameChange::None;
        };
        if blame.suspected().next().is_none() && self.quarantined.remove(&culprit) {
            // The store's record does not name the crashes.
            return BlameChange::Cleared { crashes: 1, was_quarantined: true };
        }
        let suspected: Vec<CrashId> = blame.suspected().map(|(crash, _)| crash).collect();
        let (crashes, mut was_quarantined) = (suspected.len(), false);
        for crash in suspected {
            let (content, deaths, verdict) = (0, 0, Verdict::Cleared);
            let finding = CrashFinding { culprit, position: 0, content, crash, deaths, verdict };
            let change = self.merge(finding, true, now);
            was_quarantined |= matches!(change, BlameChange::Cleared { was_quarantined: true, .. });
        }
        BlameChange::Cleared { crashes, was_quarantined }
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
        self.quarantined.contains(&culprit)
            && self
                .culprits
                .get(&culprit)
                .is_some_and(|blame| now.saturating_duration_since(blame.updated) < culprit.ttl())
    }

    /// Whether a request is quarantined for its content or a part of its prompt.
    pub(crate) fn is_request_quarantined(
        &self,
        content: Fingerprint,
        parts: &[PromptPart],
        now: Instant,
    ) -> bool {
        !self.quarantined.is_empty()
            && culprits(content, parts).any(|(culprit, _)| self.is_quarantined(culprit, now))
    }

    /// Removes and returns the quarantined culprits that were dropped for lack of room.
    pub(crate) fn take_dropped(&mut self) -> Vec<Culprit> {
        std::mem::take(&mut self.dropped)
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
        !self.news.is_empty() || self.deferred.front().is_some_and(|(_, due)| *due <= now)
    }

    /// Findings to pass on in this round.
    pub(crate) fn take_news(&mut self, now: Instant) -> Vec<CrashFinding> {
        while let Some((finding, _)) = self.deferred.pop_front_if(|(_, due)| *due <= now) {
            let blame = self.culprits.get_mut(&finding.culprit);
            let sighting = blame.and_then(|blame| blame.crashes.get_mut(&finding.crash));
            if let Some(sighting) = sighting.filter(|known| known.verdict == Verdict::Suspected) {
                sighting.is_shared = true;
                self.add_news(finding);
            }
        }
        let news = self.news.iter().map(|(finding, _)| *finding).collect();
        self.news.retain_mut(|(_, rounds)| {
            *rounds -= 1;
            *rounds > 0
        });
        news
    }

    /// Findings on quarantined culprits, for a host that may have missed them; of at most [`MAX_REPLY`] culprits, the ones
    /// updated last.
    pub(crate) fn quarantined_findings(&self) -> Vec<CrashFinding> {
        let known = |culprit: &Culprit| self.culprits.get(culprit).map(|blame| (*culprit, blame));
        let mut quarantined: Vec<(Culprit, &Blame)> =
            self.quarantined.iter().filter_map(known).collect();
        quarantined.sort_by_key(|(_, blame)| std::cmp::Reverse(blame.updated));
        quarantined.truncate(MAX_REPLY);
        let findings = quarantined.into_iter().flat_map(|(culprit, blame)| {
            let position = blame.position;
            blame.suspected().flat_map(move |(crash, sighting)| {
                sighting.contents.iter().map(move |content| CrashFinding {
                    culprit,
                    position,
                    content: *content,
                    crash,
                    deaths: sighting.deaths(),
                    verdict: Verdict::Suspected,
                })
            })
        });
        findings.collect()
    }

    /// Whether the crashes that nothing else explains suffice to blame a culprit.
    fn is_convicted(&self, culprit: Culprit, now: Instant) -> bool {
        let Some(blame) = self.culprits.get(&culprit) else {
            return false;
        };
        let unexplained: Vec<&Sighting> = match culprit {
            Culprit::Content(_) => blame.suspected().map(|(_, sighting)| sighting).collect(),
            Culprit::Part(_) => blame
                .suspected()
                .filter(|(crash, _)| !self.is_explained(*crash, culprit, blame.position))
                .map(|(_, sighting)| sighting)
                .collect(),
        };
        let deaths: usize = unexplained.iter().map(|sighting| sighting.deaths.len()).sum();
        // No more crashes than these are kept, so the next ones would not count.
        let excused_bursts = if deaths < MAX_CRASHES {
            self.sound.answers(culprit, now).min(MAX_EXCUSED_BURSTS)
        } else {
            0
        };
        let Some(counted_from) = end_of_bursts(&unexplained, excused_bursts) else {
            return false;
        };
        let min_contents = match culprit {
            Culprit::Content(_) => 1,
            Culprit::Part(_) => MIN_CONTENTS,
        };
        let is_counted = |at: &&Instant| **at >= counted_from;
        let mut deaths = 0;
        let mut contents = BTreeSet::new();
        for sighting in unexplained {
            let counted = sighting.deaths.iter().filter(is_counted).count();
            deaths += counted;
            if counted > 0 {
                contents.extend(sighting.contents.iter().copied());
            }
        }
        deaths >= QUARANTINE_CRASHES && contents.len() >= min_contents
    }

    /// Whether another quarantined part, which is not earlier in its prompts than `position`, is suspected of a crash. A
    /// content does not explain crashes: each of its requests may have met the three that quarantine it only because of a
    /// part.
    fn is_explained(&self, crash: CrashId, culprit: Culprit, position: u8) -> bool {
        self.quarantined.iter().any(|other| {
            let blame = self.culprits.get(other).filter(|blame| blame.position >= position);
            matches!(other, Culprit::Part(_))
                && *other != culprit
                && blame.is_some_and(|blame| blame.suspected().any(|(known, _)| known == crash))
        })
    }

    /// Releases the parts whose crashes a part explains that was quarantined after them.
    pub(crate) fn release_explained(&mut self, by: Culprit, now: Instant) -> Vec<Culprit> {
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
        matches!(culprit, Culprit::Part(_)) && knows_enough && !self.is_convicted(culprit, now)
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
                if self.quarantined.remove(&oldest) {
                    self.dropped.push(oldest);
                }
            }
        }
        let blame = self.culprits.entry(culprit).or_insert_with(|| Blame::new(now));
        if now.saturating_duration_since(blame.updated) >= culprit.ttl() {
            *blame = Blame::new(now);
            self.quarantined.remove(&culprit);
        }
        blame.updated = now;
        blame
    }

    fn add_news(&mut self, finding: CrashFinding) {
        if self.news.len() >= MAX_NEWS {
            self.news.pop_front();
        }
        self.news.push_back((finding, ROUNDS_PER_FINDING));
    }
}

impl Blame {
    fn new(now: Instant) -> Blame {
        Blame { crashes: BTreeMap::new(), position: 0, updated: now, trials: None }
    }

    /// Whether another crash can be noted. A suspicion takes the place of a clearance; a clearance takes none, since hosts
    /// would pass on for ever what they drop in turn.
    fn has_room(&mut self, verdict: Verdict) -> bool {
        if self.crashes.len() < MAX_CRASHES {
            return true;
        }
        let mut cleared =
            self.crashes.iter().filter(|(_, known)| known.verdict == Verdict::Cleared);
        let replaced = cleared.next().map(|(crash, _)| *crash);
        verdict == Verdict::Suspected
            && replaced.is_some_and(|crash| self.crashes.remove(&crash).is_some())
    }

    /// Whether enough time has passed since the last crash for another trial.
    fn is_trial_due(&self, now: Instant) -> bool {
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
        let crashes = self.suspected().flat_map(|(_, sighting)| sighting.deaths.iter());
        let last_crash = crashes.max().unwrap_or(&self.updated);
        now.saturating_duration_since(*last_crash) >= delay
    }

    /// Whether this host has a share in the trials of a culprit now.
    fn has_trial(&mut self, culprit: Culprit, dealer: &Dealer, now: Instant) -> bool {
        self.trials = Share::at(dealer, &culprit.to_string(), TRIAL_RATE, self.trials, now);
        self.trials.is_some_and(|trials| trials.has_room(now))
    }

    /// Number of deaths in the crashes of which the culprit is suspected.
    fn suspected_deaths(&self) -> usize {
        self.suspected().map(|(_, sighting)| sighting.deaths.len()).sum()
    }

    /// Crashes of which the culprit is suspected.
    fn suspected(&self) -> impl Iterator<Item = (CrashId, &Sighting)> + '_ {
        let suspected =
            self.crashes.iter().filter(|(_, known)| known.verdict == Verdict::Suspected);
        suspected.map(|(crash, known)| (*crash, known))
    }
}

impl Sighting {
    fn new(verdict: Verdict) -> Sighting {
        Sighting { verdict, deaths: Vec::new(), is_shared: false, contents: BTreeSet::new() }
    }

    fn deaths(&self) -> u8 {
        u8::try_from(self.deaths.len()).unwrap_or(u8::MAX)
    }

    /// Deaths of the server, with one that this host sees now.
    fn own_deaths(&self, now: Instant) -> u8 {
        let is_same = self
            .deaths
            .last()
            .is_some_and(|last| now.saturating_duration_since(*last) < MIN_RESTART);
        self.deaths() + u8::from(!is_same)
    }

    /// Merges a finding; returns whether anything changes.
    fn merge(&mut self, verdict: Verdict, content: Fingerprint, deaths: u8, now: Instant) -> bool {
        let is_stronger = verdict > self.verdict;
        self.verdict = self.verdict.max(verdict);
        let is_suspected = self.verdict == Verdict::Suspected;
        let has_room = is_suspected && self.contents.len() < MIN_CONTENTS;
        let is_new_content = has_room && self.contents.insert(content);
        let deaths = usize::from(deaths).min(MAX_DEATHS);
        let is_new_death = is_suspected && deaths > self.deaths.len();
        if is_new_death {
            self.deaths.resize(deaths, now);
        }
        is_stronger || is_new_content || is_new_death
    }
}

/// When the first death after a number of bursts of crashes was noted, if there was one.
fn end_of_bursts(crashes: &[&Sighting], bursts: usize) -> Option<Instant> {
    let mut times: Vec<Instant> =
        crashes.iter().flat_map(|crash| crash.deaths.iter().copied()).collect();
    times.sort();
    let mut rest = &times[..];
    for _ in 0..bursts {
        let first = *rest.first()?;
        rest = &rest[rest.partition_point(|time| *time < first + BURST_LEN)..];
    }
    rest.first().copied()
}
