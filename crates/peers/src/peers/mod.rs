//! One entry host's part in the membership.
//!
//! `gossip` sends and takes heartbeats and the news that they carry, `probe` finds peers that do not answer, `duty`
//! is what the delegates of a data centre do, `configuration` pulls and hands out configurations, and `home` keeps
//! sessions. This module owns the state, takes the events and says when the next tick is due.

mod configuration;
mod duty;
mod gossip;
mod home;
mod probe;

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
use crate::detector::PROBES;
use crate::detector::RELAYS;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Member;
use crate::member::Entry;
use crate::member::MEMBERS;
use crate::member::MemberTable;
use crate::member::PeerState;
use crate::message::CENTRES;
use crate::message::MESSAGE_LIMIT_BYTES;
use crate::message::MemberRecord;
use crate::message::PeerMessage;
use crate::rumour::LEAVING_MARKS;
use crate::rumour::QUARANTINES;
use crate::rumour::RumourTable;
use crate::rumour::SUSPICIONS;
use crate::rumour::VETOED_VERSIONS;
use crate::session::LOOKUPS;
use crate::session::Lookups;
use crate::session::SESSIONS;
use crate::session::SessionTable;
use crate::spread::CHANGES_KEPT;
use crate::spread::Spread;
use crate::tally::CONTRIBUTIONS;
use crate::tally::Contributor;
use crate::tally::TallyBoard;
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

/// Time between heartbeats to the same ring neighbour.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between reports to the delegate.
const REPORT_INTERVAL: Duration = Duration::from_secs(3);
/// Time between exchanges of evidence between data centres.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after the start in which a host waits for its peers before it becomes a watcher.
const WATCHER_SETTLE: Duration = Duration::from_secs(1);

/// Place of an entry host among its peers.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    pub host: EntryHostId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Higher than at any earlier start of the same host.
    pub incarnation: Incarnation,
    /// Peers known from settings.
    pub seeds: Vec<ListedHost>,
    pub enforcement: Enforcement,
}

/// Numbers of entries in each table.
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

/// Membership as one entry host sees it.
#[derive(Clone, Debug)]
pub struct Peers {
    own: MemberRecord,
    enforcement: Enforcement,
    rng: ChaCha8Rng,
    invariants: Invariants,
    started: Instant,
    members: MemberTable,
    /// Hosts whose change is passed on, and in how many rounds.
    spreading: BTreeMap<EntryHostId, u32>,
    view: View,
    view_stale: bool,
    detector: Detector,
    /// Heartbeats to other data centres that wait for an answer.
    links: BTreeMap<EntryHostId, Instant>,
    rumours: RumourTable,
    board: TallyBoard,
    centres: CentreTable,
    spread: Spread,
    sessions: SessionTable,
    lookups: Lookups,
    sequence: u64,
    heartbeat_at: Instant,
    flush_at: Option<Instant>,
    report_at: Instant,
    exchange_at: Instant,
    synced_at: Option<Instant>,
    watcher: bool,
    delegate: bool,
    hosts: BTreeSet<EntryHostId>,
}

impl Peers {
    /// A host at its start, with its seeds as first peers.
    #[must_use]
    pub fn new(cfg: PeersConfig, seed: u64, now: Instant) -> Peers {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let spread_start = |rng: &mut ChaCha8Rng, interval: Duration| {
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
            started: now,
            members: MemberTable::new(),
            spreading: BTreeMap::new(),
            view: View::default(),
            view_stale: true,
            detector: Detector::default(),
            links: BTreeMap::new(),
            rumours: RumourTable::default(),
            board: TallyBoard::new(contributor),
            centres: CentreTable::default(),
            spread: Spread::default(),
            sessions: SessionTable::default(),
            lookups: Lookups::default(),
            sequence: 0,
            heartbeat_at: spread_start(&mut rng, HEARTBEAT_INTERVAL / 4),
            flush_at: None,
            report_at: spread_start(&mut rng, REPORT_INTERVAL),
            exchange_at: spread_start(&mut rng, EXCHANGE_INTERVAL),
            synced_at: None,
            watcher: false,
            delegate: false,
            hosts: BTreeSet::new(),
            rng,
        };
        peers.take_host_list(cfg.seeds, now);
        peers
    }

    /// Takes one event at `now`.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::HostList(list) => self.take_host_list(list, now),
            Event::Message { from, message } => {
                self.take_message(&from, message, now, &mut effects)
            }
            Event::SendFailed { to } => self.send_failed(&to, now),
            Event::Adopted(configuration) => self.adopted(&configuration, now, &mut effects),
            Event::Confirmed { revision, age } => {
                self.spread.confirm(revision, age, now);
            }
            Event::Announce(announcement) => {
                if self.rumours.merge(announcement, Duration::ZERO, now) {
                    self.flush_soon(now);
                }
            }
            Event::Tally { model_version, tally } => self.board.set_own(model_version, tally),
            Event::SessionPinned { workspace, session, model_version } => {
                self.pin_session(&workspace, &session, model_version, now, &mut effects);
            }
            Event::SessionLookup { token, workspace, session } => {
                self.look_up_session(token, &workspace, &session, now, &mut effects);
            }
            Event::Stop => self.stop(now),
            Event::Tick => {}
        }
        self.refresh_view(now, &mut effects);
        self.run_due(now, &mut effects);
        self.refresh_view(now, &mut effects);
        self.check_tables();
        effects
    }

    /// Time of the next tick that is needed.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let settle = self.started + WATCHER_SETTLE;
        let due = [
            Some(self.heartbeat_at),
            Some(self.report_at),
            self.watcher.then_some(self.exchange_at),
            self.flush_at,
            self.detector.next_expiry(),
            self.links.values().min().copied(),
            self.members.next_expiry(),
            self.rumours.next_expiry(),
            self.lookups.next_expiry(),
            self.spread.pull_due(),
            (!self.watcher && self.heartbeat_at < settle).then_some(settle),
        ];
        due.into_iter().flatten().min()
    }

    /// Entry hosts that are alive and reachable, with the revision each is known to have; this one included until it
    /// stops.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let others = self.members.iter().filter(|entry| self.is_available(entry));
        let mut members: Vec<Member> = others.map(|entry| self.member(entry)).collect();
        if self.own.state == PeerState::Alive {
            members.push(Member {
                host: self.own.host.clone(),
                address: self.own.address,
                data_centre: self.own.data_centre.clone(),
                revision: self.spread.revision(),
            });
        }
        members.sort_unstable();
        members
    }

    /// Where a known entry host is reached, one that leaves included.
    #[must_use]
    pub fn address(&self, host: &EntryHostId) -> Option<SocketAddr> {
        self.members.address(host)
    }

    /// Versions that are vetoed, with the epoch of the veto.
    #[must_use]
    pub fn vetoes(&self) -> BTreeMap<ModelVersion, u64> {
        self.rumours.vetoes()
    }

    /// Revision in force at this host, as the membership knows it.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.spread.revision()
    }

    /// Whether this host holds a watch for its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.watcher
    }

    /// Whether this host is its data centre's delegate.
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
            announcements: self.rumours.len(),
            contributions: self.board.contributions(),
            centres: self.centres.len(),
            changes: self.spread.changes(),
            sessions: self.sessions.len(),
            lookups: self.lookups.len(),
            probes: self.detector.len() + self.links.len(),
        }
    }

    fn is_available(&self, entry: &Entry) -> bool {
        let alive = matches!(entry.record.state, PeerState::Alive | PeerState::Suspect);
        alive && self.centres.is_reachable(&entry.record.data_centre)
    }

    fn member(&self, entry: &Entry) -> Member {
        let record = &entry.record;
        let told = self.centres.revision_of(&record.host, &record.data_centre);
        Member {
            host: record.host.clone(),
            address: record.address,
            data_centre: record.data_centre.clone(),
            revision: entry.revision.max(told),
        }
    }

    /// Adds hosts that the list shows live. A host says itself when it leaves, and its peers find out when it is gone,
    /// so the rest of a lagging list is not used.
    fn take_host_list(&mut self, list: Vec<ListedHost>, now: Instant) {
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

    fn take_message(
        &mut self,
        from: &EntryHostId,
        message: PeerMessage,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Heartbeat { sequence, gossip } => {
                self.take_gossip(from, &gossip, now, effects);
                self.acknowledge(from, sequence, &gossip.centres, now, effects);
            }
            PeerMessage::Ack { gossip, .. } => {
                self.answered(from, effects);
                self.take_gossip(from, &gossip, now, effects);
            }
            PeerMessage::Gossip(gossip) => self.take_gossip(from, &gossip, now, effects),
            PeerMessage::ProbeRequest { target, sequence } => {
                self.probe_for(&target, from, sequence, now, effects);
            }
            PeerMessage::ProbeResult { target, .. } => {
                self.detector.answered(&target);
            }
            PeerMessage::Pull { have } => self.answer_pull(from, have, effects),
            PeerMessage::Whole(configuration) => self.take_whole(*configuration, now, effects),
            PeerMessage::Change(change) => self.take_change(from, *change, now, effects),
            PeerMessage::Report(report) => self.take_report(from, *report, effects),
            PeerMessage::Summary(summary) => self.take_summary(from, &summary, effects),
            PeerMessage::Exchange(exchange) => self.board.take_exchange(&exchange),
            PeerMessage::Handover(handover) => self.board.take_handover(&handover),
            PeerMessage::SyncRequest(request) => self.answer_sync(from, &request, now, effects),
            PeerMessage::Sync(sync) => {
                self.take_records(&sync.members, now);
                self.take_rumours(sync.rumours, now, effects);
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

    fn stop(&mut self, now: Instant) {
        self.own.state = PeerState::Leaving;
        self.view_stale = true;
        self.flush_soon(now);
    }

    /// Performs what is due, in order.
    fn run_due(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for host in self.members.expire(now) {
            self.note_change(&host, now);
        }
        self.rumours.expire(now);
        self.expire_probes(now, effects);
        self.expire_lookups(now, effects);
        self.pull(now, effects);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.jittered(HEARTBEAT_INTERVAL);
            self.count_beat(now);
            self.round(true, now, effects);
        }
        if self.flush_at.is_some_and(|at| now >= at) {
            self.flush(now, effects);
        }
        if now >= self.report_at {
            self.report_at = now + self.jittered(REPORT_INTERVAL);
            self.report(true, effects);
        }
        if self.watcher && now >= self.exchange_at {
            self.exchange_at = now + self.jittered(EXCHANGE_INTERVAL);
            self.exchange(now, effects);
        }
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.9..1.1))
    }

    /// Recomputes rings and roles after a change of the members.
    fn refresh_view(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if std::mem::take(&mut self.view_stale) {
            self.view = View::of(&self.own, &self.members);
            for data_centre in self.view.centres() {
                self.centres.expect(data_centre, now);
            }
            self.update_delegate(now);
            self.update_hosts(effects);
        }
        let settled = now >= self.started + WATCHER_SETTLE;
        let watcher = settled && self.view.is_watcher(&self.own.data_centre, &self.own.host);
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

    /// Checks the size of a message where the cost of encoding it twice does not matter.
    fn check_message(&mut self, message: &PeerMessage) {
        let whole = matches!(message, PeerMessage::Whole(_) | PeerMessage::Change(_));
        if whole || self.enforcement == Enforcement::Count {
            return;
        }
        let size = rmp_serde::to_vec(message).map_or(usize::MAX, |bytes| bytes.len());
        let detail = || format!("message of {size} bytes: {message:?}");
        self.invariants.check(Invariant::TablesBounded, size <= MESSAGE_LIMIT_BYTES, detail);
    }

    fn check_tables(&mut self) {
        let sizes = self.table_sizes();
        let announcements = 2 * VETOED_VERSIONS + SUSPICIONS + QUARANTINES + LEAVING_MARKS;
        let bounded = sizes.members <= MEMBERS
            && sizes.announcements <= announcements
            && sizes.contributions <= CONTRIBUTIONS
            && sizes.centres <= CENTRES
            && sizes.changes <= CHANGES_KEPT
            && sizes.sessions <= SESSIONS
            && sizes.lookups <= LOOKUPS
            && sizes.probes <= 2 * PROBES + RELAYS
            && self.spreading.len() <= MEMBERS;
        self.invariants.check(Invariant::TablesBounded, bounded, || format!("{sizes:?}"));
    }
}
