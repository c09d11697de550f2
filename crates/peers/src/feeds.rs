//! Which hosts of a data centre watch the store, and from whom the others take its news.
//!
//! Each call to the store has its price, so only the first hosts of a data centre watch it: one in a small data centre,
//! two in a large one. The rest take the news from two hosts before them, in a tree of bounded degree, and from another
//! data centre where their own has too few. The order is that of rendezvous hashing, the same on all hosts without
//! talk. Two sources at once, because a host whose connection to the store has gone silent does not know it for a
//! while; watchers listen to one another for the same reason. A host without enough sources watches for itself, so the
//! loss of any hosts leaves the rest served.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use serde::Deserialize;
use serde::Serialize;

use crate::hash::homes;

/// Hosts of a large data centre that watch the store while all is well.
const WATCHERS: usize = 2;
/// Hosts from which on a data centre is large: news from elsewhere would cost more than a second watcher.
const LARGE: usize = 4;
/// Hosts that take the news from the same two sources: a link of 10 Mbit/s has to carry them all.
const FAN_OUT: usize = 4;
/// Sources of a host that does not watch.
const SOURCES: usize = 2;
/// Hosts of a data centre that watch while the sources' news are old; the others probe now and then, so that a store
/// that is down for all does not get calls from all.
const WATCHERS_MAX: usize = 5;
/// Time for which a source that failed is passed over.
const PASS_OVER: Duration = Duration::from_secs(5);
/// Time for which a host that reached the store watches it in place of its sources.
const REACH: Duration = Duration::from_secs(5);
/// Time without any source after which a host watches for itself, while it looks for other sources.
const DEAF_MAX: Duration = Duration::from_millis(100);
/// Time without any contact after which a host's entry is taken for left behind.
const ABANDONED: Duration = Duration::from_secs(60);

/// Where a host is reached by the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
}

/// What a host does to get the store's news.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedPlan {
    pub sources: BTreeMap<EntryHostId, SocketAddr>,
    pub watches: bool,
    /// All sources' news are old: find out now and then whether the store can be reached from here.
    pub probes: bool,
}

/// The entry hosts and the sources among them.
#[derive(Debug)]
pub struct Feeds {
    own: EntryHostId,
    data_centre: DataCentreId,
    hosts: BTreeMap<EntryHostId, HostEntry>,
    /// Asked while no host is known.
    seeds: BTreeMap<EntryHostId, SocketAddr>,
    faults: BTreeMap<EntryHostId, Fault>,
    /// Sources that send news now.
    live: BTreeSet<EntryHostId>,
    /// Those of them whose own news are old.
    stale: BTreeSet<EntryHostId>,
    /// Since when there has been no such source.
    deaf_since: Option<Instant>,
    /// This host reached the store while its sources did not.
    reaches_until: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Fault {
    until: Instant,
    /// Begin of the time without contact.
    since: Instant,
}

impl Feeds {
    #[must_use]
    pub fn new(
        own: EntryHostId,
        data_centre: DataCentreId,
        seeds: BTreeMap<EntryHostId, SocketAddr>,
    ) -> Feeds {
        Feeds {
            own,
            data_centre,
            hosts: BTreeMap::new(),
            seeds,
            faults: BTreeMap::new(),
            live: BTreeSet::new(),
            stale: BTreeSet::new(),
            deaf_since: None,
            reaches_until: None,
        }
    }

    /// Takes in a host's entry.
    pub fn list(&mut self, host: EntryHostId, entry: HostEntry) {
        self.hosts.insert(host, entry);
    }

    pub fn unlist(&mut self, host: &str) {
        self.hosts.remove(host);
        self.faults.remove(host);
    }

    /// The entry of a host.
    #[must_use]
    pub fn entry(&self, host: &str) -> Option<&HostEntry> {
        self.hosts.get(host)
    }

    /// Hosts of the fleet and of the own data centre, this one included.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize) {
        let is_near = |entry: &&HostEntry| entry.data_centre == self.data_centre;
        let near = self.hosts.values().filter(is_near).count();
        (self.hosts.len().max(1), near.max(1))
    }

    /// A source cannot be reached any more.
    pub fn failed(&mut self, host: &str, now: Instant) {
        let since = self.faults.get(host).map_or(now, |fault| fault.since);
        self.faults.insert(host.to_owned(), Fault { until: now + PASS_OVER, since });
        self.dropped(host, now);
    }

    /// A source sent news or a beat; `is_fresh` tells whether its own news are the store's newest.
    pub fn heard(&mut self, host: &str, is_fresh: bool) {
        self.faults.remove(host);
        if !self.live.contains(host) {
            self.live.insert(host.to_owned());
        }
        if is_fresh {
            self.stale.remove(host);
        } else if !self.stale.contains(host) {
            self.stale.insert(host.to_owned());
        }
    }

    /// A source is not used any more.
    pub fn dropped(&mut self, host: &str, now: Instant) {
        self.stale.remove(host);
        if self.live.remove(host) && self.live.is_empty() {
            self.deaf_since = Some(now);
        }
    }

    /// The store answered this host although its sources' news are old.
    pub fn reached_store(&mut self, now: Instant) {
        self.reaches_until = Some(now + REACH);
    }

    /// Hosts that could not be reached for so long that their entries are to be removed.
    #[must_use]
    pub fn abandoned(&self, now: Instant) -> BTreeSet<EntryHostId> {
        let is_abandoned = |fault: &Fault| now.saturating_duration_since(fault.since) >= ABANDONED;
        let hosts = self.faults.iter().filter(|(_, fault)| is_abandoned(fault));
        hosts.map(|(host, _)| host.clone()).filter(|host| self.hosts.contains_key(host)).collect()
    }

    /// What to do now.
    #[must_use]
    pub fn plan(&self, now: Instant) -> FeedPlan {
        if !self.hosts.contains_key(&self.own) && self.hosts.len() < 2 {
            let usable = self.seeds.iter().filter(|(seed, _)| !self.is_passed_over(seed, now));
            let sources = usable.map(|(seed, address)| (seed.clone(), *address));
            let sources = sources.take(SOURCES).collect();
            return FeedPlan { sources, watches: true, probes: false };
        }
        let near = self.order(&self.data_centre);
        let rank = near.iter().position(|host| **host == self.own).unwrap_or(near.len());
        let far = self.first_elsewhere();
        let watchers = if near.len() >= LARGE || far.is_empty() { WATCHERS } else { 1 };
        let is_watcher = rank < watchers;
        let wanted = if is_watcher { 1 } else { SOURCES };
        let before = if is_watcher { watchers.min(near.len()) } else { rank };
        // Two neighbours in a tree of bounded degree, then whoever else comes before this host.
        let parent = rank.saturating_sub(watchers) / FAN_OUT;
        let (first, rest) = near[..before].split_at(parent.min(before));
        let candidates = rest.iter().chain(first).chain(&far).filter(|host| ***host != self.own);
        let may_watch = rank < WATCHERS_MAX;
        let usable = candidates.filter(|host| !self.is_passed_over(host, now));
        let sources: BTreeMap<EntryHostId, SocketAddr> = usable
            .take(wanted)
            .filter_map(|host| Some(((*host).clone(), self.hosts.get(*host)?.address)))
            .collect();
        let is_deaf = self.live.is_empty()
            && self
                .deaf_since
                .is_some_and(|since| now.saturating_duration_since(since) >= DEAF_MAX);
        let is_short = sources.is_empty() || is_deaf || (may_watch && sources.len() < wanted);
        let is_stale = !self.live.is_empty() && self.live.is_subset(&self.stale);
        let reaches = self.reaches_until.is_some_and(|until| now < until);
        let helps = is_stale && (may_watch || reaches);
        let watches = is_watcher || is_short || helps;
        FeedPlan { sources, watches, probes: is_stale && !watches }
    }

    /// Hosts of a data centre, those that watch first.
    fn order(&self, data_centre: &str) -> Vec<&EntryHostId> {
        let members = self.hosts.iter().filter(|(_, entry)| entry.data_centre == data_centre);
        homes(data_centre.as_bytes(), members.map(|(host, _)| host), usize::MAX)
    }

    /// The first host of each other data centre, in an order of this host's own so that they share the listeners.
    fn first_elsewhere(&self) -> Vec<&EntryHostId> {
        let centres: BTreeSet<&DataCentreId> =
            self.hosts.values().map(|entry| &entry.data_centre).collect();
        let others = centres.into_iter().filter(|centre| **centre != self.data_centre);
        let firsts = others.filter_map(|centre| self.order(centre).into_iter().next());
        homes(self.own.as_bytes(), firsts, usize::MAX)
    }

    fn is_passed_over(&self, host: &str, now: Instant) -> bool {
        self.faults.get(host).is_some_and(|fault| now < fault.until)
    }
}
