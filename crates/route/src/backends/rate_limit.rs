//! Rate limits that backend servers name in their answers, and the share of them that each entry host may use.
//!
//! A limit holds for one incarnation of its server, from the answer that names it until one that does not. It counts the
//! requests of all hosts, which cannot agree on each of them. So time is divided into rounds by the wall clock, and in each
//! round the limit's requests are dealt to the hosts: to all of them equally as far as whole requests go, the rest to the
//! first ones in an order that a hash of server, round and host gives. All hosts compute the same deal, which sums up to
//! the limit, rounded, however many they are. A higher limit gives requests to more hosts and takes none away, so hosts
//! that know different limits in a round send no more than the highest of them allows. A host that knows other hosts, or
//! whose clock differs, changes the sum only by about its own part. Requests that are not used in their round lapse.

use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::stable_hash;
use serde::Deserialize;
use serde::Serialize;

/// Duration of a round.
const ROUND: Duration = Duration::from_secs(1);
/// Least rate that is used, in requests a second: without requests nobody would learn that a limit has ended.
const MIN_RATE: f64 = 0.25;
/// Greatest rate that is dealt, in requests a second.
const MAX_RATE: f64 = 1e6;
/// Greatest time that callers are told to wait for a server to take requests again.
const MAX_WAIT: Duration = Duration::from_secs(300);
/// Relative change of a limit from which on other hosts are told at once.
const MIN_NEWS_CHANGE: f64 = 0.1;
/// Time after which other hosts are told of an unchanged limit again.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);
const ORDER_SEED: u64 = 0x6c69_6d69;
const ROUNDING_SEED: u64 = 0x726f_756e;
const PHASE_SEED: u64 = 0x7068_6173;

/// What the head of an answer states of the rate that its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The server takes any rate.
    #[default]
    None,
    /// Requests a second from all hosts together; zero or more and finite.
    PerSecond(f64),
    /// A limit that cannot be read. What was known stays.
    Unreadable,
}

/// What is known of a server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct KnownLimit {
    /// Requests a second from all hosts together; `None` if there is no limit.
    pub(crate) per_second: Option<f64>,
    /// When that was stated last; `None` if no limit was ever stated.
    pub(crate) as_of: Option<Instant>,
}

impl KnownLimit {
    /// Takes a limit that was stated at `as_of`; returns whether it is another than before.
    pub(crate) fn state(&mut self, per_second: f64, as_of: Instant) -> bool {
        if self.as_of.is_some_and(|known| as_of < known) {
            return false;
        }
        let before = self.per_second.replace(per_second);
        self.as_of = Some(as_of);
        before != self.per_second
    }

    /// Time since the limit was stated last.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        self.as_of.map_or(Duration::MAX, |as_of| now.saturating_duration_since(as_of))
    }

    /// Ends the limit unless it was stated after `as_of`; returns whether there was one.
    pub(crate) fn end(&mut self, as_of: Instant) -> bool {
        if self.as_of.is_none_or(|known| as_of <= known) {
            return false;
        }
        self.as_of = Some(as_of);
        self.per_second.take().is_some()
    }
}

/// What a host knows of a server's limit, as hosts share it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitFinding {
    pub server: BackendServerId,
    /// Start of the server's process in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// Requests a second; `None` if there is no limit any more.
    pub per_second: Option<f64>,
    /// Time since the server stated that.
    pub age: Duration,
}

/// Whether other hosts are told of a server's limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SharedLimit {
    per_second: Option<f64>,
    at: Option<Instant>,
}

impl SharedLimit {
    /// Whether other hosts should be told of a limit; if so, they count as told.
    pub(crate) fn share(&mut self, per_second: Option<f64>, now: Instant) -> bool {
        let is_changed = match (self.per_second, per_second) {
            (None, None) => return false,
            (Some(before), Some(after)) => (after - before).abs() > before * MIN_NEWS_CHANGE,
            (None, Some(_)) | (Some(_), None) => true,
        };
        let is_old = self.at.is_none_or(|at| now.saturating_duration_since(at) >= NEWS_INTERVAL);
        if is_changed || is_old {
            *self = SharedLimit { per_second, at: Some(now) };
        }
        is_changed || is_old
    }
}

/// Deals the limits of servers to the entry hosts.
#[derive(Debug, Default)]
pub(crate) struct Dealer {
    own: EntryHostId,
    others: Vec<EntryHostId>,
    /// A moment and its Unix time, once known.
    clock: Option<(Instant, Duration)>,
}

impl Dealer {
    /// Sets the entry hosts of the fleet.
    pub(crate) fn set_hosts(&mut self, own: &EntryHostId, all: &[&EntryHostId]) {
        let others = all.iter().filter(|host| **host != own);
        if self.own != *own || !others.clone().copied().eq(&self.others) {
            self.own.clone_from(own);
            self.others = others.map(|host| (*host).clone()).collect();
        }
    }

    /// Sets the Unix time of a moment.
    pub(crate) fn set_unix_time(&mut self, now: Instant, unix: Duration) {
        self.clock = Some((now, unix));
    }

    /// Requests that this host may send to a server in a round.
    fn deal(&self, server: &str, per_second: f64, round: u64) -> u32 {
        let round = round.to_be_bytes();
        let place = |host: &EntryHostId| {
            let hash = stable_hash(ORDER_SEED, &[server.as_bytes(), &round, host.as_bytes()]);
            (hash, host.as_str() > self.own.as_str())
        };
        let own = place(&self.own);
        let rank = self.others.iter().filter(|host| place(host) < own).count();
        let hosts = (self.others.len() + 1) as f64;
        let requests = per_second.clamp(MIN_RATE, MAX_RATE) * ROUND.as_secs_f64();
        let rounding = stable_hash(ROUNDING_SEED, &[server.as_bytes(), &round]);
        let rounding = rounding as f64 / u64::MAX as f64;
        let per_host = requests / hosts;
        let gets_one_more = (rank as f64 + rounding) / hosts < per_host.fract();
        per_host as u32 + u32::from(gets_one_more)
    }
}

/// This host's share of a server's limit in the present round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    per_second: f64,
    requests: u32,
    /// Requests in the next round.
    next: u32,
    used: u32,
    ends: Instant,
}

impl Share {
    /// The share of a limit at `now`. Without a known time there is none.
    pub(crate) fn at(
        dealer: &Dealer,
        server: &str,
        per_second: f64,
        before: Option<Share>,
        now: Instant,
    ) -> Option<Share> {
        let before = before.filter(|share| now < share.ends);
        if before.is_some_and(|share| share.per_second == per_second) {
            return before;
        }
        let (at, unix) = dealer.clock?;
        let unix = (unix + now.saturating_duration_since(at)).as_millis() as u64;
        let round_ms = ROUND.as_millis() as u64;
        // The rounds of servers begin at different times, so that requests do not come to all at once.
        let elapsed_ms = unix + stable_hash(PHASE_SEED, &[server.as_bytes()]) % round_ms;
        let round = elapsed_ms / round_ms;
        Some(Share {
            per_second,
            requests: dealer.deal(server, per_second, round),
            next: dealer.deal(server, per_second, round + 1),
            used: before.map_or(0, |share| share.used),
            ends: now + Duration::from_millis(round_ms - elapsed_ms % round_ms),
        })
    }

    pub(crate) fn has_room(&self, now: Instant) -> bool {
        now < self.ends && self.used < self.requests
    }

    pub(crate) fn use_one(&mut self) {
        self.used = self.used.saturating_add(1);
    }

    /// Part of the share that is used, with one more request; at most 1 while there is room.
    pub(crate) fn load_with_one_more(&self) -> f64 {
        f64::from(self.used + 1) / f64::from(self.requests.max(1))
    }

    /// When this host, or else any other, may send to the server again.
    pub(crate) fn opens(&self) -> Instant {
        if self.next > 0 {
            return self.ends;
        }
        let mean_interval =
            Duration::from_secs_f64(1.0 / self.per_second.clamp(MIN_RATE, MAX_RATE));
        self.ends + mean_interval.min(MAX_WAIT)
    }
}
