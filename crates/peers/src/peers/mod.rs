//! Membership state machine of one entry host.
//!
//! `gossip` sends and handles heartbeats and gossip, `probe` handles unresponsive peers, `delegate` reports to and acts
//! as the delegate of a data centre, `configuration` pulls and serves configurations, and `sessions` stores and looks
//! up sessions. This module owns the state, dispatches events and computes when the next tick is due.

mod configuration;
mod delegate;
mod gossip;
mod probe;
mod sessions;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::centre::CentreTable;
use crate::detector::Detector;
use crate::detector::MAX_PROBES;
use crate::detector::MAX_RELAYED_PROBES;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Member;
use crate::member::Entry;
use crate::member::MAX_MEMBERS;
use crate::member::MemberTable;
use crate::member::PeerState;
use crate::message::MAX_CENTRES;
use crate::message::MAX_MESSAGE_BYTES;
use crate::message::MemberRecord;
use crate::message::PeerMessage;
use crate::replica::ConfigurationReplica;
use crate::replica::MAX_CHANGES;
use crate::session::Lookups;
use crate::session::MAX_LOOKUPS;
use crate::session::MAX_SESSIONS;
use crate::session::SessionTable;
use crate::tally::Contributor;
use crate::tally::MAX_CONTRIBUTIONS;
use crate::tally::TallyTable;
use crate::updates::MAX_LEAVING_SERVERS;
use crate::updates::MAX_QUARANTINES;
use crate::updates::MAX_SUSPICIONS;
use crate::updates::MAX_VETOED_VERSIONS;
use crate::updates::UpdateTable;
use crate::view::View;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Incarnation;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Revision;

/// Interval of heartbeat rounds.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of reports to the delegate.
const REPORT_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which watchers exchange tallies.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after the start before a host may become a watcher, so that it learns of its peers first.
const WATCHER_START_DELAY: Duration = Duration::from_secs(1);

/// Identity of an entry host and its initial peers.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    pub host: EntryHostId,
    /// Address at which peers reach this host.
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Incarnation, higher than at any earlier start of this host.
    pub incarnation: Incarnation,
    /// Peers from the settings.
    pub seeds: Vec<ListedHost>,
    pub enforcement: Enforcement,
}

/// Number of entries in each table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    pub members: usize,
    pub announcements: usize,
    pub contributions: usize,
    pub centres: usize,
    pub changes: usize,
    pub sessions: usize,
    pub lookups: usize,
    pub probes: usize,
}

/// Membership and shared state as known to one entry host.
#[derive(Clone, Debug)]
pub struct Peers {
    own: MemberRecord,
    enforcement: Enforcement,
    rng: ChaCha8Rng,
    invariants: Invariants,
    started_at: Instant,
    members: MemberTable,
    /// Hosts whose change is being spread, and the number of rounds left.
    spreading: BTreeMap<EntryHostId, u32>,
    view: View,
    /// Whether a change since the last `refresh_view` requires a new view.
    view_stale: bool,
    detector: Detector,
    /// Deadlines of unacknowledged heartbeats to link targets.
    link_probes: BTreeMap<EntryHostId, Instant>,
    updates: UpdateTable,
    tallies: TallyTable,
    centres: CentreTable,
    replica: ConfigurationReplica,
    sessions: SessionTable,
    lookups: Lookups,
    sequence: u64,
    heartbeat_at: Instant,
    flush_at: Option<Instant>,
    report_at: Instant,
    exchange_at: Instant,
    last_sync_at: Option<Instant>,
    watcher: bool,
    delegate: bool,
    /// Hosts in the latest [`Effect::Hosts`].
    hosts: BTreeSet<EntryHostId>,
}

impl Peers {
    /// Creates the state of a host that starts with the peers in `cfg.seeds`; `rng_seed` seeds its random numbers.
    #[must_use]
    pub fn new(cfg: PeersConfig, rng_seed: u64, now: Instant) -> Peers {
        let mut rng = ChaCha8Rng::seed_from_u64(rng_seed);
        let random_start = |rng: &mut ChaCha8Rng, interval: Duration| {
            now + interval.mul_f64(rng.random::<f64>() / 2.0)
        };
        let own = MemberRecord {
            host: cfg.host,
            address: cfg.address,
            data_centre: cfg.data_centre,
            incarnation: cfg.incarnation,
            state: PeerState::Alive,
        };
        let contributor = Contributor { host: own.host.clone(), start: own.incarnation };
        let mut peers = Peers {
            own,
            enforcement: cfg.enforcement,
            invariants: Invariants::new(cfg.enforcement),
            started_at: now,
            members: MemberTable::new(),
            spreading: BTreeMap::new(),
            view: View::default(),
            view_stale: true,
            detector: Detector::default(),
            link_probes: BTreeMap::new(),
            updates: UpdateTable::default(),
            tallies: TallyTable::new(contributor),
            centres: CentreTable::default(),
            replica: ConfigurationReplica::default(),
            sessions: SessionTable::default(),
            lookups: Lookups::default(),
            sequence: 0,
            heartbeat_at: random_start(&mut rng, HEARTBEAT_INTERVAL / 4),
            flush_at: None,
            report_at: random_start(&mut rng, REPORT_INTERVAL),
            exchange_at: random_start(&mut rng, EXCHANGE_INTERVAL),
            last_sync_at: None,
            watcher: false,
            delegate: false,
            hosts: BTreeSet::new(),
            rng,
        };
        peers.handle_host_list(cfg.seeds, now);
        peers
    }

    /// Handles one event and all work that is due at `now`.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::HostList(list) => self.handle_host_list(list, now),
            Event::Message { from, message } => {
                self.handle_message(&from, message, now, &mut effects)
            }
            Event::SendFailed { to } => self.send_failed(&to, now),
            Event::Adopted(configuration) => self.adopted(&configuration, now, &mut effects),
            Event::Confirmed { revision, age } => {
                self.replica.confirm(revision, age, now);
            }
            Event::Announce(announcement) => {
                if self.updates.merge(announcement, Duration::ZERO, now) {
                    self.schedule_flush(now);
                }
            }
            Event::Tally { model_version, tally } => self.tallies.set_own(model_version, tally),
            Event::SessionPinned { workspace, session, model_version } => {
                self.pin_session(&workspace, &session, model_version, now, &mut effects);
            }
            Event::SessionLookup { token, workspace, session } => {
                self.look_up_session(token, &workspace, &session, now, &mut effects);
            }
            Event::Stop => self.start_leaving(now),
            Event::Tick => {}
        }
        self.refresh_view(now, &mut effects);
        self.run_due(now, &mut effects);
        self.refresh_view(now, &mut effects);
        self.check_tables();
        effects
    }

    /// Time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let watcher_from = self.started_at + WATCHER_START_DELAY;
        let due = [
            Some(self.heartbeat_at),
            Some(self.report_at),
            self.watcher.then_some(self.exchange_at),
            self.flush_at,
            self.detector.next_expiry(),
            self.link_probes.values().min().copied(),
            self.members.next_expiry(),
            self.updates.next_expiry(),
            self.lookups.next_expiry(),
            self.replica.pull_due_at(),
            (!self.watcher && self.heartbeat_at < watcher_from).then_some(watcher_from),
        ];
        due.into_iter().flatten().min()
    }

    /// Entry hosts that are alive and reachable, with the known revision of each. Includes this host until it stops.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let others = self.members.iter().filter(|entry| self.is_available(entry));
        let mut members: Vec<Member> = others.map(|entry| self.member(entry)).collect();
        if self.own.state == PeerState::Alive {
            members.push(Member {
                host: self.own.host.clone(),
                address: self.own.address,
                data_centre: self.own.data_centre.clone(),
                revision: self.replica.revision(),
            });
        }
        members.sort_unstable();
        members
    }

    /// Address of a known entry host in any state.
    #[must_use]
    pub fn address(&self, host: &EntryHostId) -> Option<SocketAddr> {
        self.members.address(host)
    }

    /// Vetoed versions and the epoch of each veto.
    #[must_use]
    pub fn vetoes(&self) -> BTreeMap<ModelVersion, u64> {
        self.updates.vetoes()
    }

    /// Revision in force at this host, as last adopted by the membership.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.replica.revision()
    }

    /// Whether this host is a watcher of its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.watcher
    }

    /// Whether this host is the delegate of its data centre.
    #[must_use]
    pub fn is_delegate(&self) -> bool {
        self.delegate
    }

    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    #[must_use]
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            members: self.members.len(),
            announcements: self.updates.len(),
            contributions: self.tallies.contributions(),
            centres: self.centres.len(),
            changes: self.replica.changes(),
            sessions: self.sessions.len(),
            lookups: self.lookups.len(),
            probes: self.detector.len() + self.link_probes.len(),
        }
    }

    fn is_available(&self, entry: &Entry) -> bool {
        let is_alive = matches!(entry.record.state, PeerState::Alive | PeerState::Suspect);
        is_alive && self.centres.is_reachable(&entry.record.data_centre)
    }

    fn member(&self, entry: &Entry) -> Member {
        let record = &entry.record;
        let reported = self.centres.revision_of(&record.host, &record.data_centre);
        Member {
            host: record.host.clone(),
            address: record.address,
            data_centre: record.data_centre.clone(),
            revision: entry.revision.max(reported),
        }
    }

    /// Adds hosts that are live in the list. The rest of the list is ignored because it can lag: a host itself
    /// announces that it is leaving, and its peers detect when it is gone.
    fn handle_host_list(&mut self, list: Vec<ListedHost>, now: Instant) {
        let live = list.into_iter().filter(|listed| listed.presence == Presence::Live);
        for listed in live.filter(|listed| listed.id != self.own.host) {
            if self.members.get(&listed.id).is_some() {
                continue;
            }
            let record = MemberRecord {
                host: listed.id,
                address: listed.address,
                data_centre: listed.data_centre,
                incarnation: 0,
                state: PeerState::Alive,
            };
            self.view_stale |= self.members.merge(&record, now);
        }
    }

    fn handle_message(
        &mut self,
        from: &EntryHostId,
        message: PeerMessage,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Heartbeat { sequence, gossip } => {
                self.handle_gossip(from, &gossip, now, effects);
                self.acknowledge(from, sequence, &gossip.centres, now, effects);
            }
            PeerMessage::Ack { gossip, .. } => {
                self.ack_received(from, effects);
                self.handle_gossip(from, &gossip, now, effects);
            }
            PeerMessage::Gossip(gossip) => self.handle_gossip(from, &gossip, now, effects),
            PeerMessage::ProbeRequest { target, sequence } => {
                self.relay_probe(&target, from, sequence, now, effects);
            }
            PeerMessage::ProbeResult { target, .. } => {
                self.detector.ack_received(&target);
            }
            PeerMessage::Pull { have } => self.answer_pull(from, have, effects),
            PeerMessage::Whole(configuration) => {
                self.handle_configuration(*configuration, now, effects)
            }
            PeerMessage::Change(change) => self.handle_change(from, *change, now, effects),
            PeerMessage::Report(report) => self.handle_report(from, *report, effects),
            PeerMessage::Summary(summary) => self.handle_summary(from, &summary, effects),
            PeerMessage::Exchange(exchange) => self.tallies.merge_exchange(&exchange),
            PeerMessage::Handover(handover) => self.tallies.merge_handover(&handover),
            PeerMessage::SyncRequest(request) => self.answer_sync(from, &request, now, effects),
            PeerMessage::Sync(sync) => {
                self.merge_records(&sync.members, now);
                self.merge_updates(sync.rumours, now, effects);
            }
            PeerMessage::StoreSession { key, model_version } => {
                self.sessions.store(key, model_version, now);
            }
            PeerMessage::LookupSession { token, key } => {
                let model_version = self.sessions.find(key, now);
                self.send(from, PeerMessage::FoundSession { token, model_version }, effects);
            }
            PeerMessage::FoundSession { token, model_version } => {
                self.session_answered(token, model_version, effects);
            }
        }
    }

    fn start_leaving(&mut self, now: Instant) {
        self.own.state = PeerState::Leaving;
        self.view_stale = true;
        self.schedule_flush(now);
    }

    /// Performs all work that is due.
    fn run_due(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for host in self.members.expire(now) {
            self.spread_change(&host, now);
        }
        self.updates.expire(now);
        self.expire_probes(now, effects);
        self.expire_lookups(now, effects);
        self.send_due_pull(now, effects);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.jittered(HEARTBEAT_INTERVAL);
            self.update_centres(now);
            self.send_round(true, now, effects);
        }
        if self.flush_at.is_some_and(|at| now >= at) {
            self.flush(now, effects);
        }
        if now >= self.report_at {
            self.report_at = now + self.jittered(REPORT_INTERVAL);
            self.send_report(true, effects);
        }
        if self.watcher && now >= self.exchange_at {
            self.exchange_at = now + self.jittered(EXCHANGE_INTERVAL);
            self.send_exchange(now, effects);
        }
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.9..1.1))
    }

    /// Recomputes the view and this host's roles after a member change.
    fn refresh_view(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if std::mem::take(&mut self.view_stale) {
            self.view = View::of(&self.own, &self.members);
            for data_centre in self.view.other_centres() {
                self.centres.track(data_centre, now);
            }
            self.update_delegate(now);
            self.update_hosts(effects);
        }
        let may_watch = now >= self.started_at + WATCHER_START_DELAY;
        let watcher = may_watch && self.view.is_watcher(&self.own.data_centre, &self.own.host);
        if watcher != self.watcher {
            self.watcher = watcher;
            effects.push(Effect::Watcher(watcher));
        }
    }

    fn update_hosts(&mut self, effects: &mut Vec<Effect>) {
        let members = self.members();
        let hosts: BTreeSet<EntryHostId> =
            members.iter().map(|member| member.host.clone()).collect();
        if hosts != self.hosts {
            self.hosts = hosts;
            effects.push(Effect::Hosts(members));
        }
    }

    fn send(&mut self, to: &EntryHostId, message: PeerMessage, effects: &mut Vec<Effect>) {
        let Some(address) = self.members.address(to) else {
            return;
        };
        self.check_message(&message);
        effects.push(Effect::Send { to: to.clone(), address, message });
    }

    /// Checks the size of a message, unless violations are only counted: then encoding it twice would cost too much.
    fn check_message(&mut self, message: &PeerMessage) {
        let is_unbounded = matches!(message, PeerMessage::Whole(_) | PeerMessage::Change(_));
        if is_unbounded || self.enforcement == Enforcement::Count {
            return;
        }
        let size = rmp_serde::to_vec(message).map_or(usize::MAX, |bytes| bytes.len());
        let detail = || format!("message of {size} bytes: {message:?}");
        self.invariants.check(Invariant::TablesBounded, size <= MAX_MESSAGE_BYTES, detail);
    }

    fn check_tables(&mut self) {
        let sizes = self.table_sizes();
        let max_announcements =
            2 * MAX_VETOED_VERSIONS + MAX_SUSPICIONS + MAX_QUARANTINES + MAX_LEAVING_SERVERS;
        let is_bounded = sizes.members <= MAX_MEMBERS
            && sizes.announcements <= max_announcements
            && sizes.contributions <= MAX_CONTRIBUTIONS
            && sizes.centres <= MAX_CENTRES
            && sizes.changes <= MAX_CHANGES
            && sizes.sessions <= MAX_SESSIONS
            && sizes.lookups <= MAX_LOOKUPS
            && sizes.probes <= 2 * MAX_PROBES + MAX_RELAYED_PROBES
            && self.spreading.len() <= MAX_MEMBERS;
        self.invariants.check(Invariant::TablesBounded, is_bounded, || format!("{sizes:?}"));
    }
}
