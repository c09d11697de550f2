//! Selects which hosts of a data centre watch the store, and from which hosts the others receive its updates.
//!
//! Each call to the store has a cost, so only the first hosts of a data centre watch it: one in a small data centre,
//! two in a large one. The others receive updates from two hosts ranked before them, in a tree of bounded degree, or
//! from another data centre if their own has too few hosts. The order comes from rendezvous hashing, so all hosts
//! compute the same one without coordination. Two sources are used because a watcher does not notice at once that its
//! connection to the store has stopped delivering; watchers subscribe to one another for the same reason. A host
//! without enough sources watches the store itself, so the remaining hosts are served whichever hosts are lost.
//!
//! In a fleet of many data centres, one watcher per data centre suffices: the watcher and the second host subscribe to
//! watchers of other data centres, and the next host by rank replaces a watcher that it cannot reach. There, a host
//! that the store turns away leaves the store to the others for as long as one of its sources is fresh.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use serde::Deserialize;
use serde::Serialize;

use crate::hash::ranked_hosts;

/// Number of watchers, in normal operation, of a data centre that is large or the only one.
const WATCHERS: usize = 2;
/// Minimum number of data centres of a fleet in which each has one watcher. With three others to subscribe to, a watcher
/// keeps two more sources when its first one is lost.
const MANY_CENTRES: usize = 4;
/// Minimum number of hosts of a large data centre, where updates from other data centres would cost more than a
/// second watcher.
const LARGE_CENTRE_HOSTS: usize = 4;
/// Number of hosts with the same two sources. A source's link of 10 Mbit/s must carry the updates to all of them.
const FAN_OUT: usize = 4;
/// Number of sources of a host that does not watch the store.
const SOURCES_PER_HOST: usize = 2;
/// Number of sources of a host that the store turns away, since it may turn away several watchers.
const SOURCES_IF_TURNED_AWAY: usize = 5;
/// Maximum number of hosts of a data centre that watch the store as soon as their sources are stale. The others first
/// probe the store periodically, so that an outage of it does not make all hosts call it.
const MAX_WATCHERS: usize = 5;
/// Time after a failure before a source is used again.
const SOURCE_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time for which a host that reached the store watches it because its sources are stale.
const STORE_WATCH_TIME: Duration = Duration::from_secs(5);
/// Time without a connected source after which a host watches the store itself while it tries other sources.
const MAX_TIME_DISCONNECTED: Duration = Duration::from_millis(100);
/// Time without contact after which a host's registration counts as abandoned.
const ABANDONED_AFTER: Duration = Duration::from_secs(60);

/// Registration of an entry host: where its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
}

/// A host with its peer address.
pub type HostAddress = (EntryHostId, SocketAddr);

/// How a host receives store updates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedPlan {
    pub sources: BTreeMap<EntryHostId, SocketAddr>,
    pub watches: bool,
    /// All sources are stale, or the store turned this host away: check periodically whether this host can reach the
    /// store.
    pub probes: bool,
}

/// Registered entry hosts and the state of this host's sources.
#[derive(Debug)]
pub struct Feeds {
    own: EntryHostId,
    data_centre: DataCentreId,
    hosts: BTreeMap<EntryHostId, HostEntry>,
    /// Sources used while no other host is known.
    seeds: BTreeMap<EntryHostId, SocketAddr>,
    failures: BTreeMap<EntryHostId, SourceFailure>,
    /// Connected sources.
    connected: BTreeSet<EntryHostId>,
    /// Connected sources whose own data is stale.
    stale: BTreeSet<EntryHostId>,
    /// When the last connected source was lost.
    disconnected_since: Option<Instant>,
    /// End of the period in which this host watches the store because its sources are stale.
    watch_until: Option<Instant>,
    /// Whether the store answered none of this host's last calls.
    is_turned_away: bool,
}

#[derive(Clone, Copy, Debug)]
struct SourceFailure {
    retry_at: Instant,
    /// First failure since the last contact.
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
            failures: BTreeMap::new(),
            connected: BTreeSet::new(),
            stale: BTreeSet::new(),
            disconnected_since: None,
            watch_until: None,
            is_turned_away: false,
        }
    }

    /// Adds or replaces a host's registration.
    pub fn add_host(&mut self, host: EntryHostId, entry: HostEntry) {
        self.hosts.insert(host, entry);
    }

    pub fn remove_host(&mut self, host: &str) {
        self.hosts.remove(host);
        self.failures.remove(host);
    }

    #[must_use]
    pub fn entry(&self, host: &str) -> Option<&HostEntry> {
        self.hosts.get(host)
    }

    /// Peer addresses of all other hosts.
    #[must_use]
    pub fn other_addresses(&self) -> Vec<SocketAddr> {
        let others = self.hosts.iter().filter(|(host, _)| **host != self.own);
        others.map(|(_, entry)| entry.address).collect()
    }

    /// Other hosts with their peer addresses: those of the own data centre, and the rest.
    #[must_use]
    pub fn other_hosts_by_distance(&self) -> (Vec<HostAddress>, Vec<HostAddress>) {
        let others = self.hosts.iter().filter(|(host, _)| **host != self.own);
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|(_, entry)| entry.data_centre == self.data_centre);
        let addresses = |hosts: Vec<(&EntryHostId, &HostEntry)>| {
            hosts.into_iter().map(|(host, entry)| (host.clone(), entry.address)).collect()
        };
        (addresses(near), addresses(far))
    }

    /// Whether an entry host is known at this address: it is registered, or a seed.
    #[must_use]
    pub fn is_host_address(&self, ip: IpAddr) -> bool {
        let registered = self.hosts.values().map(|entry| entry.address);
        registered.chain(self.seeds.values().copied()).any(|address| address.ip() == ip)
    }

    /// Names of all hosts in the fleet; the seeds' addresses while no other host is known.
    #[must_use]
    pub fn host_names(&self) -> Vec<&EntryHostId> {
        let knows_others = self.hosts.keys().any(|host| *host != self.own);
        if knows_others { self.hosts.keys().collect() } else { self.seeds.keys().collect() }
    }

    /// The `n` highest-ranked hosts of a data centre, which is any one that has a host.
    #[must_use]
    pub fn highest_ranked(&self, data_centre: &str, n: usize) -> Vec<HostAddress> {
        let ranked = self.ranked_in(data_centre).into_iter().take(n);
        ranked.filter_map(|host| Some((host.clone(), self.hosts.get(host)?.address))).collect()
    }

    /// Data centres other than the own that have hosts.
    #[must_use]
    pub fn other_data_centres(&self) -> BTreeSet<&DataCentreId> {
        let centres = self.hosts.values().map(|entry| &entry.data_centre);
        centres.filter(|centre| **centre != self.data_centre).collect()
    }

    /// Number of hosts in the fleet and in the own data centre, this host included.
    #[must_use]
    pub fn host_counts(&self) -> (usize, usize) {
        let is_local = |entry: &&HostEntry| entry.data_centre == self.data_centre;
        let local = self.hosts.values().filter(is_local).count();
        (self.hosts.len().max(1), local.max(1))
    }

    /// Records that a source failed or cannot be reached.
    pub fn source_failed(&mut self, host: &str, now: Instant) {
        let since = self.failures.get(host).map_or(now, |failure| failure.since);
        self.failures
            .insert(host.to_owned(), SourceFailure { retry_at: now + SOURCE_RETRY_DELAY, since });
        self.source_dropped(host, now);
    }

    /// Records activity of a source; `is_fresh` tells whether its own data is up to date with the store.
    pub fn source_active(&mut self, host: &str, is_fresh: bool) {
        self.failures.remove(host);
        if !self.connected.contains(host) {
            self.connected.insert(host.to_owned());
        }
        if is_fresh {
            self.stale.remove(host);
        } else if !self.stale.contains(host) {
            self.stale.insert(host.to_owned());
        }
    }

    /// Records that a source is no longer in use.
    pub fn source_dropped(&mut self, host: &str, now: Instant) {
        self.stale.remove(host);
        if self.connected.remove(host) && self.connected.is_empty() {
            self.disconnected_since = Some(now);
        }
    }

    /// Records that a probe of this host reached the store.
    pub fn reached_store(&mut self, now: Instant) {
        self.watch_until = Some(now + STORE_WATCH_TIME);
        self.is_turned_away = false;
    }

    /// Records whether the store answers this host's watches.
    pub fn set_turned_away(&mut self, is_turned_away: bool) {
        self.is_turned_away = is_turned_away;
    }

    /// Whether the fleet has so many data centres that each has one watcher.
    #[must_use]
    pub fn has_many_centres(&self) -> bool {
        let centres: BTreeSet<&DataCentreId> =
            self.hosts.values().map(|entry| &entry.data_centre).collect();
        centres.len() >= MANY_CENTRES
    }

    /// Hosts that sum what hosts tell: those of the own data centre by rank without those that cannot be reached, and the
    /// first of each other data centre.
    #[must_use]
    pub fn summing_hosts(&self) -> (Vec<EntryHostId>, Vec<EntryHostId>) {
        let own = self.ranked_in(&self.data_centre);
        let own = own.into_iter().filter(|host| !self.failures.contains_key(*host));
        let others = self.first_in_other_centres();
        (own.cloned().collect(), others.into_iter().cloned().collect())
    }

    /// Whether a host at an address may speak for a host of the own data centre, or for another data centre, of a name.
    #[must_use]
    pub fn is_reporter(&self, name: &str, ip: IpAddr) -> bool {
        self.hosts.iter().any(|(host, entry)| {
            let is_named = if entry.data_centre == self.data_centre {
                host == name
            } else {
                entry.data_centre == name
            };
            is_named && entry.address.ip() == ip
        })
    }

    /// Hosts that have been unreachable for so long that their registrations are to be removed.
    #[must_use]
    pub fn abandoned(&self, now: Instant) -> BTreeSet<EntryHostId> {
        let is_abandoned = |failure: &SourceFailure| {
            now.saturating_duration_since(failure.since) >= ABANDONED_AFTER
        };
        let hosts = self.failures.iter().filter(|(_, failure)| is_abandoned(failure));
        hosts.map(|(host, _)| host.clone()).filter(|host| self.hosts.contains_key(host)).collect()
    }

    /// Computes what this host must do at `now`.
    #[must_use]
    pub fn plan(&self, now: Instant) -> FeedPlan {
        if !self.hosts.contains_key(&self.own) && self.hosts.len() < 2 {
            let usable = self.seeds.iter().filter(|(seed, _)| !self.is_backing_off(seed, now));
            let sources = usable.map(|(seed, address)| (seed.clone(), *address));
            let sources = sources.take(SOURCES_PER_HOST).collect();
            return FeedPlan { sources, watches: true, probes: false };
        }
        let local = self.ranked_in(&self.data_centre);
        let rank = local.iter().position(|host| **host == self.own).unwrap_or(local.len());
        let remote = self.first_in_other_centres();
        let has_many_centres = self.has_many_centres();
        let is_small = local.len() < LARGE_CENTRE_HOSTS && !remote.is_empty();
        let watchers = if has_many_centres || is_small { 1 } else { WATCHERS };
        let is_watcher = rank < watchers;
        let is_turned_away = has_many_centres && self.is_turned_away;
        let wanted = match (is_turned_away, is_watcher) {
            (true, _) => SOURCES_IF_TURNED_AWAY,
            (false, true) => 1,
            (false, false) => SOURCES_PER_HOST,
        };
        let eligible = if is_watcher { watchers.min(local.len()) } else { rank };
        // Prefer the two parents in a tree of bounded degree, then the other hosts ranked before this one.
        let parent = rank.saturating_sub(watchers) / FAN_OUT;
        let (first, rest) = local[..eligible].split_at(parent.min(eligible));
        // The hosts ranked after a watcher may be served by the store when it is not.
        let spare = if is_turned_away { &local[eligible..] } else { &[] };
        let candidates = rest.iter().chain(first).chain(&remote).chain(spare);
        let candidates = candidates.filter(|host| ***host != self.own);
        let may_watch = rank < MAX_WATCHERS;
        let replaces_watcher = has_many_centres
            && may_watch
            && local[..rank].iter().all(|host| self.failures.contains_key(*host));
        let usable = candidates.filter(|host| !self.is_backing_off(host, now));
        let sources: BTreeMap<EntryHostId, SocketAddr> = usable
            .take(wanted)
            .filter_map(|host| Some(((*host).clone(), self.hosts.get(*host)?.address)))
            .collect();
        let is_disconnected = self.connected.is_empty()
            && self
                .disconnected_since
                .is_some_and(|since| now.saturating_duration_since(since) >= MAX_TIME_DISCONNECTED);
        let lacks_sources = sources.is_empty()
            || is_disconnected
            || (may_watch && sources.len() < wanted.min(SOURCES_PER_HOST));
        let is_stale = !self.connected.is_empty() && self.connected.is_subset(&self.stale);
        let reached_recently = self.watch_until.is_some_and(|until| now < until);
        let covers_stale_sources = is_stale && (may_watch || reached_recently);
        let is_due = is_watcher || replaces_watcher || lacks_sources || covers_stale_sources;
        let has_fresh_source = !self.connected.is_subset(&self.stale);
        let watches = is_due && !(is_turned_away && has_fresh_source);
        FeedPlan { sources, watches, probes: !watches && (is_stale || is_due) }
    }

    /// Hosts of a data centre by rank, watchers first.
    fn ranked_in(&self, data_centre: &str) -> Vec<&EntryHostId> {
        let members = self.hosts.iter().filter(|(_, entry)| entry.data_centre == data_centre);
        ranked_hosts(data_centre.as_bytes(), members.map(|(host, _)| host), usize::MAX)
    }

    /// First host of each other data centre, in an order specific to this host so that the load is spread.
    fn first_in_other_centres(&self) -> Vec<&EntryHostId> {
        let centres: BTreeSet<&DataCentreId> =
            self.hosts.values().map(|entry| &entry.data_centre).collect();
        let others = centres.into_iter().filter(|centre| **centre != self.data_centre);
        let firsts = others.filter_map(|centre| self.ranked_in(centre).into_iter().next());
        ranked_hosts(self.own.as_bytes(), firsts, usize::MAX)
    }

    fn is_backing_off(&self, host: &str, now: Instant) -> bool {
        self.failures.get(host).is_some_and(|failure| now < failure.retry_at)
    }
}
