//! When servers crashed, whatever they were running: many crashes within a moment have a cause that no request has.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::CrashId;

/// Time after which a crash is forgotten.
const CRASH_TTL: Duration = Duration::from_secs(60);
/// Maximum number of crashes that are remembered; the oldest are forgotten first.
const MAX_CRASH_TIMES: usize = 1_024;
/// Maximum number of deaths noted under the id of one crash.
pub(super) const MAX_DEATHS: usize = 8;
/// Time from a server's death within which another sign of it is taken for the same death.
const MIN_RESTART: Duration = Duration::from_millis(1_500);

/// Times of crashes, as early as any host noticed them.
#[derive(Debug, Default)]
pub(super) struct CrashTimes {
    /// Deaths of servers under each id.
    by_crash: BTreeMap<CrashId, Vec<Instant>>,
}

/// Difference between the times at which hosts notice the same death.
const SIGN_SPREAD: Duration = Duration::from_millis(200);

/// A sign of a server's death.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeathSign {
    pub(super) at: Instant,
    /// When the server was seen alive last; not known of other hosts' signs.
    pub(super) alive: Option<Instant>,
}

/// Whether two signs of a server's death are of the same one.
pub(super) fn is_same_death(a: Instant, b: Instant) -> bool {
    a.max(b) - a.min(b) < MIN_RESTART
}

impl DeathSign {
    /// Whether this is a sign of a death that was noticed at `known`.
    pub(super) fn is_of(self, known: Instant) -> bool {
        let was_alive_since = self.alive.is_some_and(|alive| alive > known + SIGN_SPREAD);
        is_same_death(known, self.at) && !was_alive_since
    }
}

impl CrashTimes {
    pub(super) fn contains(&self, crash: CrashId) -> bool {
        self.by_crash.contains_key(&crash)
    }

    /// Records a sign of a server's death; returns when that death was noticed first.
    pub(super) fn record(&mut self, crash: CrashId, sign: DeathSign) -> Instant {
        let at = sign.at;
        if self.by_crash.len() >= MAX_CRASH_TIMES && !self.by_crash.contains_key(&crash) {
            self.forget(at);
        }
        let deaths = self.by_crash.entry(crash).or_default();
        if let Some(known) = deaths.iter_mut().find(|known| sign.is_of(**known)) {
            *known = at.min(*known);
            return *known;
        }
        if deaths.len() < MAX_DEATHS {
            deaths.push(at);
            deaths.sort();
        }
        at
    }

    /// Crashes with a death from `from` to before `until`.
    pub(super) fn between(
        &self,
        from: Instant,
        until: Instant,
    ) -> impl Iterator<Item = CrashId> + '_ {
        let is_within = move |at: &Instant| (from..until).contains(at);
        self.by_crash
            .iter()
            .filter(move |(_, deaths)| deaths.iter().any(is_within))
            .map(|(crash, _)| *crash)
    }

    /// Crashes with their last deaths since `from`.
    pub(super) fn since(&self, from: Instant) -> impl Iterator<Item = (CrashId, Instant)> + '_ {
        let last =
            self.by_crash.iter().filter_map(|(crash, deaths)| Some((*crash, *deaths.last()?)));
        last.filter(move |(_, at)| *at >= from)
    }

    fn forget(&mut self, now: Instant) {
        let last = |deaths: &Vec<Instant>| deaths.last().copied();
        self.by_crash.retain(|_, deaths| {
            last(deaths).is_some_and(|at| now.saturating_duration_since(at) < CRASH_TTL)
        });
        while self.by_crash.len() >= MAX_CRASH_TIMES {
            let oldest = self.by_crash.iter().min_by_key(|(_, deaths)| last(deaths));
            let Some(crash) = oldest.map(|(crash, _)| *crash) else {
                return;
            };
            self.by_crash.remove(&crash);
        }
    }
}
