//! Deals a rate that all entry hosts together may use, such as a server's limit, to the hosts.
//!
//! The hosts cannot agree on each request. So time is divided into rounds by the wall clock, and in each round the rate's
//! requests are dealt to the hosts: to all of them equally as far as whole requests go, the rest to the first ones in an
//! order that a hash of subject, round and host gives. All hosts compute the same deal, which sums up to the rate, rounded,
//! however many they are. A higher rate gives requests to more hosts and takes none away, so hosts that know different
//! rates in a round send no more than the highest of them allows. A host that knows other hosts, or whose clock differs,
//! changes the sum only by about its own part. Requests that are not used in their round lapse.
//!
//! If many hosts were in rounds of their own, their shares would add up at random. So the rounds go on by the steady clock when
//! the time of day jumps, and follow it slowly.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::stable_hash;

/// Duration of a round.
const ROUND: Duration = Duration::from_secs(1);
/// Part of the elapsed time by which the rounds follow the time of day after it has jumped.
const MAX_SLEW: f64 = 0.1;
/// Time for which a host that left the fleet may still send; the registration of one that is cut off lapses before.
const GONE_HOST_TIME: Duration = Duration::from_secs(60);
const ORDER_SEED: u64 = 0x6c69_6d69;
const ROUNDING_SEED: u64 = 0x726f_756e;
const PHASE_SEED: u64 = 0x7068_6173;

/// Deals rates to the entry hosts.
#[derive(Debug, Default)]
pub(crate) struct Dealer {
    own: EntryHostId,
    others: Vec<EntryHostId>,
    /// Hosts that are no longer in the fleet, as far as this host knows, each with when it was found to be gone.
    gone: BTreeMap<EntryHostId, Instant>,
    /// A moment and the Unix time by which rounds are counted then, once known.
    clock: Option<(Instant, Duration)>,
}

/// Hosts to which a rate is dealt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hosts {
    Present,
    /// Those that left of late too. They may be cut off rather than gone, and send by an older list.
    KnownOfLate,
}

/// This host's share of a rate in the present round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    per_second: f64,
    requests: u32,
    /// Requests in the next round.
    next: u32,
    used: u32,
    ends: Instant,
}

impl Dealer {
    /// Sets the entry hosts of the fleet.
    pub(crate) fn set_hosts(&mut self, own: &EntryHostId, all: &[&EntryHostId]) {
        let others = all.iter().filter(|host| **host != own);
        if self.own != *own || !others.clone().copied().eq(&self.others) {
            self.own.clone_from(own);
            let present: Vec<EntryHostId> = others.map(|host| (*host).clone()).collect();
            let before = std::mem::replace(&mut self.others, present);
            if let Some((now, _)) = self.clock {
                self.gone.extend(before.into_iter().map(|host| (host, now)));
                self.gone.retain(|host, at| {
                    let is_recent = now.saturating_duration_since(*at) < GONE_HOST_TIME;
                    is_recent && *host != self.own && !self.others.contains(host)
                });
            }
        }
    }

    /// The first hosts, in an order of all that depends on a subject and is the same on all hosts; without this one.
    pub(crate) fn first_hosts(&self, seed: u64, subject: &str, count: usize) -> Vec<EntryHostId> {
        let hash = |host: &EntryHostId| stable_hash(seed, &[subject.as_bytes(), host.as_bytes()]);
        let all = std::iter::once(&self.own).chain(&self.others);
        let mut ranked: Vec<(u64, &EntryHostId)> = all.map(|host| (hash(host), host)).collect();
        ranked.sort();
        let first = ranked.into_iter().take(count).map(|(_, host)| host);
        first.filter(|host| **host != self.own).cloned().collect()
    }

    /// Tells the time of day at a moment.
    pub(crate) fn set_unix_time(&mut self, now: Instant, unix: Duration) {
        let unix = self.clock.map_or(unix, |(at, known)| {
            let elapsed = now.saturating_duration_since(at);
            let (steady, slew) = (known + elapsed, elapsed.mul_f64(MAX_SLEW));
            unix.clamp(steady.saturating_sub(slew), steady + slew)
        });
        self.clock = Some((now, unix));
    }

    /// Number of requests of this host in a round.
    fn deal(&self, subject: &str, per_second: f64, hosts: Hosts, round: u64) -> u32 {
        let round = round.to_be_bytes();
        let place = |host: &EntryHostId| {
            let hash = stable_hash(ORDER_SEED, &[subject.as_bytes(), &round, host.as_bytes()]);
            (hash, host.as_str() > self.own.as_str())
        };
        let own = place(&self.own);
        let gone = self.gone.keys().filter(|_| hosts == Hosts::KnownOfLate);
        let others = self.others.iter().chain(gone);
        let rank = others.clone().filter(|host| place(host) < own).count();
        let hosts = (others.count() + 1) as f64;
        let per_host = per_second * ROUND.as_secs_f64() / hosts;
        // Rounds with one request more than the rate's whole ones are as frequent as its fraction asks.
        let rounding = stable_hash(ROUNDING_SEED, &[subject.as_bytes(), &round]);
        let rounding = rounding as f64 / u64::MAX as f64;
        let gets_one_more = (rank as f64 + rounding) / hosts < per_host.fract();
        per_host as u32 + u32::from(gets_one_more)
    }
}

impl Share {
    /// The share at `now` of a positive rate for a subject, which `before` may have been of; `None` while the time is not
    /// known.
    pub(crate) fn at(
        dealer: &Dealer,
        subject: &str,
        per_second: f64,
        hosts: Hosts,
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
        // The rounds of subjects begin at different times, so that requests do not come to all servers at once.
        let elapsed_ms = unix + stable_hash(PHASE_SEED, &[subject.as_bytes()]) % round_ms;
        let round = elapsed_ms / round_ms;
        Some(Share {
            per_second,
            requests: dealer.deal(subject, per_second, hosts, round),
            next: dealer.deal(subject, per_second, hosts, round + 1),
            used: before.map_or(0, |share| share.used),
            ends: now + Duration::from_millis(round_ms - elapsed_ms % round_ms),
        })
    }

    pub(crate) fn has_room(&self, now: Instant) -> bool {
        now < self.ends && self.used < self.requests
    }

    /// Number of this host's requests in the present round.
    pub(crate) fn requests(&self) -> u32 {
        self.requests
    }

    pub(crate) fn use_one(&mut self) {
        self.used = self.used.saturating_add(1);
    }

    /// Part of the share that is used, with one more request; at most 1 while there is room.
    pub(crate) fn load_with_one_more(&self) -> f64 {
        f64::from(self.used + 1) / f64::from(self.requests.max(1))
    }

    /// When this host, or else probably some host, has room again.
    pub(crate) fn opens(&self) -> Instant {
        if self.next > 0 {
            return self.ends;
        }
        self.ends + Duration::from_secs_f64(1.0 / self.per_second)
    }
}
