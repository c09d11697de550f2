//! Findings on crashes that a host tells others.
//!
//! Most culprits meet one crash only. Their findings go to the culprit's homes, a few hosts that all hosts rank alike, where
//! those of the whole fleet meet. Once two crashes of a culprit are known, its findings go to all hosts: each host passes
//! them on to a few others.
//!
//! What a finding costs the fleet is bounded: a host passes it on in a few rounds, each of limited size, and nobody
//! passes on a finding that is older than [`NEWS_TTL`], whether or not it has forgotten it in between. Only a host that
//! comes to blame a culprit tells others once more why.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;

use super::CrashFinding;
use super::CrashNews;
use super::crash_times::is_same_death;
use crate::deal::Dealer;

/// Time after a crash, or the beginning of a sound answer, for which hosts pass on what they know of it.
pub(super) const NEWS_TTL: Duration = Duration::from_secs(3);
/// Maximum number of findings waiting to be shared; those that would be sent last are dropped first.
const MAX_NEWS: usize = 512;
/// Maximum number of findings in a round, of some 45 bytes each.
const MAX_ROUND_FINDINGS: usize = 56;
/// Rounds in which a finding is passed on after it arrived.
const ROUNDS_PER_FINDING: u8 = 3;
/// Number of hosts that learn of a culprit's first crash.
const HOMES: usize = 3;
const HOME_SEED: u64 = 0x686f_6d65;

/// What a host sends in one round.
#[derive(Clone, Debug, Default)]
pub struct NewsRound {
    /// To a few other hosts, drawn anew each time.
    pub to_all: CrashNews,
    /// To these hosts.
    pub to_homes: BTreeMap<EntryHostId, CrashNews>,
}

impl NewsRound {
    /// Whether there is something to send to other hosts than homes.
    #[must_use]
    pub fn has_news_for_all(&self) -> bool {
        !self.to_all.findings.is_empty() || !self.to_all.crashes.is_empty()
    }
}

/// Who is told of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Audience {
    /// The homes of its culprit.
    Homes,
    /// All hosts; findings on culprits with more crashes go first.
    All { crashes: usize },
}

/// A finding to pass on.
#[derive(Debug)]
struct NewsItem {
    finding: CrashFinding,
    /// When the finding's crash was, or its sound answer began.
    at: Instant,
    audience: Audience,
    /// When it is too old to be passed on.
    expires: Instant,
    rounds_left: u8,
}

/// Findings to pass on, and those that wait for that.
#[derive(Debug, Default)]
pub(super) struct News {
    items: VecDeque<NewsItem>,
    /// Findings that are not urgent, each with its time and the time to share it.
    deferred: Vec<(CrashFinding, Instant, Instant)>,
}

impl Audience {
    /// All hosts, before other findings.
    pub(super) const ALL_FIRST: Audience = Audience::All { crashes: usize::MAX };
}

impl NewsItem {
    /// Whether this is the same finding, at the same death of a server.
    fn is_about(&self, finding: &CrashFinding, at: Instant) -> bool {
        self.finding == *finding
            && match finding {
                CrashFinding::Suspected { .. } => is_same_death(self.at, at),
                CrashFinding::Cleared { .. } => true,
            }
    }

    /// The highest is sent first.
    fn rank(&self) -> (Audience, u8) {
        (self.audience, self.rounds_left)
    }
}

impl News {
    /// Adds a finding whose crash was, or whose sound answer began, at `at`.
    pub(super) fn add(
        &mut self,
        finding: CrashFinding,
        at: Instant,
        audience: Audience,
        now: Instant,
    ) {
        self.add_until(finding, at, audience, at + NEWS_TTL, now);
    }

    /// Adds a finding however old it is: others may know of later crashes only.
    pub(super) fn add_proof(
        &mut self,
        finding: CrashFinding,
        at: Instant,
        audience: Audience,
        now: Instant,
    ) {
        self.add_until(finding, at, audience, now + NEWS_TTL, now);
    }

    fn add_until(
        &mut self,
        finding: CrashFinding,
        at: Instant,
        audience: Audience,
        expires: Instant,
        now: Instant,
    ) {
        if expires <= now {
            return;
        }
        let finding = finding.at_age(Duration::ZERO);
        let rounds_left = ROUNDS_PER_FINDING;
        if let Some(item) = self.items.iter_mut().find(|item| item.is_about(&finding, at)) {
            (item.audience, item.rounds_left, item.expires) = (audience, rounds_left, expires);
            item.at = match finding {
                CrashFinding::Suspected { .. } => item.at.min(at),
                CrashFinding::Cleared { .. } => item.at.max(at),
            };
            return;
        }
        self.items.push_back(NewsItem { finding, at, audience, expires, rounds_left });
        if self.items.len() > MAX_NEWS {
            let ranks = self.items.iter().enumerate().map(|(index, item)| (item.rank(), index));
            if let Some((_, last)) = ranks.min() {
                self.items.remove(last);
            }
        }
    }

    /// Keeps a finding back until `due`.
    pub(super) fn defer(&mut self, finding: CrashFinding, at: Instant, due: Instant) {
        if self.deferred.len() < MAX_NEWS {
            self.deferred.push((finding, at, due));
        }
    }

    /// Removes and returns a finding that was kept back and is due, with its time.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<(CrashFinding, Instant)> {
        let index = self.deferred.iter().position(|(_, _, due)| *due <= now)?;
        let (finding, at, _) = self.deferred.swap_remove(index);
        Some((finding, at))
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        !self.items.is_empty() || self.deferred.iter().any(|(_, _, due)| *due <= now)
    }

    /// Findings to send to all hosts in this round, and to single ones, of these.
    pub(super) fn take_round(&mut self, hosts: &Dealer, now: Instant) -> NewsRound {
        self.items.retain(|item| now < item.expires);
        let items = self.items.make_contiguous();
        items.sort_by_key(|item| Reverse(item.rank()));
        let mut round = NewsRound::default();
        for item in items.iter_mut().take(MAX_ROUND_FINDINGS) {
            let finding = item.finding.at_age(now.saturating_duration_since(item.at));
            item.rounds_left -= 1;
            match item.audience {
                Audience::All { .. } => round.to_all.findings.push(finding),
                Audience::Homes => {
                    let subject = finding.culprit().to_string();
                    for home in hosts.first_hosts(HOME_SEED, &subject, HOMES) {
                        let news = round.to_homes.entry(home).or_default();
                        news.findings.push(finding);
                    }
                    // Sending it once more would cost as much again, and the next crash is told, too.
                    item.rounds_left = 0;
                }
            }
        }
        self.items.retain(|item| item.rounds_left > 0);
        round
    }
}
