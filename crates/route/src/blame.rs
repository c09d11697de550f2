//! Contents to blame for crashes of servers.
//!
//! A crash shows only that something is at fault that the server was beginning to answer. The culprit is what was there
//! at crash after crash, on whichever host, and is never answered soundly in between. So each host notes for a crash the
//! contents that its server was beginning to answer, and hosts share these findings. A sound answer clears the content
//! of the crashes known by then. Findings form a set that only grows, and a clearance prevails over a suspicion, so
//! hosts agree in whatever order findings arrive.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Fingerprint;
use serde::Deserialize;
use serde::Serialize;

/// Crashes under which a content was beginning to be answered, from which on it is quarantined.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time since the last finding after which a content's findings expire.
const FINDINGS_TTL: Duration = Duration::from_secs(3_600);
/// Time for which a sound answer speaks for its content. A release may let a content crash servers that used to be
/// answered.
const SOUND_TTL: Duration = Duration::from_secs(60);
/// Maximum number of contents with findings.
const MAX_CONTENTS: usize = 4_096;
/// Maximum number of contents that are remembered as answered soundly.
const MAX_SOUND: usize = 2_048;
/// Maximum number of crashes noted for one content.
const MAX_CRASHES: usize = 16;
/// Maximum number of findings waiting to be shared; the oldest are dropped first.
const MAX_NEWS: usize = 512;
/// Rounds in which a finding is passed on after it arrived.
const ROUNDS_PER_FINDING: u8 = 3;

/// Identifies the crash of one incarnation of a server, identically on all hosts.
pub type CrashId = u64;

/// What is known of a content's part in a crash; ordered, so that the greater value prevails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// The server was beginning to answer the content.
    Suspected,
    /// The content was answered soundly elsewhere.
    Cleared,
}

/// A content's part in a crash, as hosts share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFinding {
    pub content: Fingerprint,
    pub crash: CrashId,
    pub verdict: Verdict,
}

/// What a finding changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlameChange {
    /// It was known.
    None,
    /// The content is suspected of this many crashes.
    Suspected(usize),
    /// The same, and the content is quarantined from now on.
    Quarantined(usize),
    /// The content is cleared of all known crashes; tells whether it was quarantined.
    Cleared { was_quarantined: bool },
}

/// Findings on all contents.
#[derive(Debug, Default)]
pub(crate) struct BlameTable {
    contents: BTreeMap<Fingerprint, Blame>,
    sound: SoundContents,
    /// Findings to share, each with the rounds left.
    news: VecDeque<(CrashFinding, u8)>,
}

/// Findings on one content.
#[derive(Debug)]
struct Blame {
    crashes: BTreeMap<CrashId, Verdict>,
    /// Whether the store's record says that it is quarantined, without the findings.
    is_recorded: bool,
    updated: Instant,
}

/// Contents that were answered soundly lately.
#[derive(Debug, Default)]
struct SoundContents {
    last: BTreeMap<Fingerprint, Instant>,
    /// In order of time, for eviction.
    order: VecDeque<(Fingerprint, Instant)>,
}

impl BlameTable {
    /// Adds a finding of this host or of another one.
    pub(crate) fn merge(&mut self, finding: CrashFinding, now: Instant) -> BlameChange {
        let CrashFinding { content, crash, .. } = finding;
        let verdict = match self.sound.contains(content, now) {
            true => Verdict::Cleared,
            false => finding.verdict,
        };
        let blame = self.blame(content, now);
        let was_quarantined = blame.is_quarantined();
        let known = blame.crashes.get(&crash).copied();
        let is_full = known.is_none() && blame.crashes.len() >= MAX_CRASHES;
        if known >= Some(verdict) || is_full {
            return BlameChange::None;
        }
        blame.crashes.insert(crash, verdict);
        blame.is_recorded &= verdict == Verdict::Suspected;
        let suspected = blame.suspected();
        let is_quarantined = blame.is_quarantined();
        self.add_news(CrashFinding { content, crash, verdict });
        match verdict {
            Verdict::Suspected if is_quarantined && !was_quarantined => {
                BlameChange::Quarantined(suspected)
            }
            Verdict::Suspected => BlameChange::Suspected(suspected),
            Verdict::Cleared if suspected == 0 => BlameChange::Cleared { was_quarantined },
            Verdict::Cleared => BlameChange::None,
        }
    }

    /// Records that a server answered the content and survived.
    pub(crate) fn record_sound_answer(
        &mut self,
        content: Fingerprint,
        now: Instant,
    ) -> Option<BlameChange> {
        self.sound.insert(content, now);
        let blame = self.contents.get(&content).filter(|blame| blame.suspected() > 0)?;
        let suspected = blame.crashes.iter().filter(|(_, known)| **known == Verdict::Suspected);
        let suspected: Vec<CrashId> = suspected.map(|(crash, _)| *crash).collect();
        let cleared = suspected.into_iter().map(|crash| {
            self.merge(CrashFinding { content, crash, verdict: Verdict::Cleared }, now)
        });
        cleared.last()
    }

    /// Quarantines a content that the store's record names.
    pub(crate) fn quarantine(&mut self, content: Fingerprint, now: Instant) {
        self.blame(content, now).is_recorded = true;
    }

    pub(crate) fn is_quarantined(&self, content: Fingerprint, now: Instant) -> bool {
        self.contents.get(&content).is_some_and(|blame| {
            blame.is_quarantined() && now.saturating_duration_since(blame.updated) < FINDINGS_TTL
        })
    }

    pub(crate) fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Findings to pass on in this round.
    pub(crate) fn take_news(&mut self) -> Vec<CrashFinding> {
        let news = self.news.iter().map(|(finding, _)| *finding).collect();
        self.news.retain_mut(|(_, rounds)| {
            *rounds -= 1;
            *rounds > 0
        });
        news
    }

    /// The findings on a content, which count as updated now.
    fn blame(&mut self, content: Fingerprint, now: Instant) -> &mut Blame {
        if self.contents.len() >= MAX_CONTENTS && !self.contents.contains_key(&content) {
            let oldest = self.contents.iter().min_by_key(|(_, blame)| blame.updated);
            if let Some(oldest) = oldest.map(|(content, _)| *content) {
                self.contents.remove(&oldest);
            }
        }
        let blame = self.contents.entry(content).or_insert_with(|| Blame::new(now));
        if now.saturating_duration_since(blame.updated) >= FINDINGS_TTL {
            *blame = Blame::new(now);
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
        Blame { crashes: BTreeMap::new(), is_recorded: false, updated: now }
    }

    /// Number of crashes that the content is suspected of.
    fn suspected(&self) -> usize {
        self.crashes.values().filter(|verdict| **verdict == Verdict::Suspected).count()
    }

    fn is_quarantined(&self) -> bool {
        self.is_recorded || self.suspected() >= QUARANTINE_CRASHES
    }
}

impl SoundContents {
    fn insert(&mut self, content: Fingerprint, now: Instant) {
        self.last.insert(content, now);
        self.order.push_back((content, now));
        while self.order.len() > MAX_SOUND {
            let Some((oldest, at)) = self.order.pop_front() else {
                return;
            };
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    fn contains(&self, content: Fingerprint, now: Instant) -> bool {
        let at = self.last.get(&content);
        at.is_some_and(|at| now.saturating_duration_since(*at) < SOUND_TTL)
    }
}
