//! Keeps a host on the newest configuration.
//!
//! A watcher is a host that keeps a watch call on `config/active` open. Other hosts receive changes from their peers
//! and poll the store only when neither store nor peers have confirmed their configuration for a while. A configuration
//! takes effect only if its revision is above the one in force, so a store that falls back to an older revision after
//! an outage cannot revert a host. A configuration is confirmed while the store, directly or through a peer, has shown
//! its revision as the newest within `stale_after`.

mod calls;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Active;
use crate::CallId;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::Invariant;
use foxtailhoist_model::Invariants;
use foxtailhoist_model::ObjectVersion;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::Revision;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreResult;

/// Longest time that one watch call waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Shortest interval between two watch calls, for stores whose watches return at once.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a store call without a result counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);
/// Poll interval of a host that is not a watcher; a confirmation postpones the next poll by the same time.
const POLL_INTERVAL: Duration = Duration::from_secs(15);
/// Time for peers to deliver an announced revision before it is read from the store.
const PEER_DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the first failed call; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Upper bound of the delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(15);
/// Upper bound of the random delay of the first call, to spread the calls of hosts that start at the same time.
const START_JITTER: Duration = Duration::from_millis(200);
/// Shortest delay before a watcher writes an audit record that the host that made the change may have failed to write.
const AUDIT_REPAIR_DELAY: Duration = Duration::from_secs(10);
/// Number of revisions whose preset is remembered, to check that a revision has only one preset.
const MAX_REMEMBERED_REVISIONS: usize = 64;

/// Input of an [`Adopter`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Whether this host is a watcher of its data centre.
    Watcher(bool),
    /// A peer delivered a configuration.
    PeerConfiguration(Arc<Configuration>),
    /// A peer has this revision in force.
    PeerRevision(Revision),
    /// A peer's revision was the store's newest `age` ago.
    PeerConfirmed { revision: Revision, age: Duration },
    /// A store call completed.
    Store { call: CallId, result: StoreResult },
    /// The time returned by [`Adopter::next_wake`] was reached.
    Tick,
}

/// Action that the caller must perform.
#[derive(Clone, Debug)]
pub enum Effect {
    Store {
        call: CallId,
        op: StoreOp,
    },
    /// Put the configuration in force; its revision is above the previous one.
    Adopt(Arc<Configuration>),
    /// Whether the configuration in force was confirmed within `stale_after`; sent on change, false at start.
    Confirmed(bool),
    /// The store confirmed the revision in force `age` ago; sent to the peers.
    StoreConfirmed {
        revision: Revision,
        age: Duration,
    },
    /// The store shows a revision below the one in force; it is ignored.
    StoreFellBack {
        store: Revision,
        in_force: Revision,
    },
    /// The store's newest configuration cannot be used; the one in force stays. `revision` is 0 if `config/active`
    /// itself cannot be decoded.
    BodyRefused {
        revision: Revision,
        reason: String,
    },
}

/// Settings of an adopter.
#[derive(Clone, Copy, Debug)]
pub struct AdopterConfig {
    /// Age at which a confirmation expires.
    pub stale_after: Duration,
    pub enforcement: Enforcement,
}

/// Tracks the configuration of one host.
#[derive(Clone, Debug)]
pub struct Adopter {
    cfg: AdopterConfig,
    rng: ChaCha8Rng,
    invariants: Invariants,
    watcher: bool,
    in_force: Option<Arc<Configuration>>,
    /// Highest revision that a peer announced.
    announced: Revision,
    presets_seen: BTreeMap<Revision, PresetId>,
    /// Latest time at which the store is known to have had the revision then in force as its newest.
    confirmed_at: Option<Instant>,
    confirmed: bool,
    pending: Option<Pending>,
    next_call: CallId,
    /// When the next store call is due.
    call_at: Option<Instant>,
    failures: u32,
    seen: Option<SeenActive>,
    /// Store revision below the one in force that was reported last.
    fell_back: Option<Revision>,
    repair: Option<AuditRepair>,
}

/// Object version and revision of `config/active` as last read.
#[derive(Clone, Copy, Debug)]
struct SeenActive {
    version: ObjectVersion,
    revision: Revision,
}

/// An audit record that may be missing.
#[derive(Clone, Debug)]
struct AuditRepair {
    at: Instant,
    active: Box<Active>,
}

#[derive(Clone, Debug)]
struct Pending {
    call: CallId,
    sent_at: Instant,
    kind: PendingKind,
}

#[derive(Clone, Debug)]
enum PendingKind {
    Watch,
    Get,
    /// Body of `active`, which was requested from the store at `requested_at`.
    Body {
        active: Box<Active>,
        requested_at: Instant,
    },
    Audit,
}

impl Default for AdopterConfig {
    fn default() -> AdopterConfig {
        AdopterConfig { stale_after: Duration::from_secs(30), enforcement: Enforcement::default() }
    }
}

impl Adopter {
    /// Starts without a configuration; the first store call is due shortly after `now`.
    #[must_use]
    pub fn new(cfg: AdopterConfig, seed: u64, now: Instant) -> Adopter {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let call_at = Some(now + START_JITTER.mul_f64(rng.random::<f64>()));
        Adopter {
            cfg,
            rng,
            invariants: Invariants::new(cfg.enforcement),
            watcher: false,
            in_force: None,
            announced: 0,
            presets_seen: BTreeMap::new(),
            confirmed_at: None,
            confirmed: false,
            pending: None,
            next_call: 0,
            call_at,
            failures: 0,
            seen: None,
            fell_back: None,
            repair: None,
        }
    }

    /// Handles one event at `now`.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Watcher(watcher) => self.set_watcher(watcher, now),
            Event::PeerConfiguration(configuration) => self.adopt(configuration, &mut effects),
            Event::PeerRevision(revision) => self.handle_peer_revision(revision, now),
            Event::PeerConfirmed { revision, age } => {
                if revision > 0 && revision == self.revision() {
                    self.confirm(now.checked_sub(age));
                }
            }
            Event::Store { call, result } => self.finish_call(call, result, now, &mut effects),
            Event::Tick => {}
        }
        self.expire_call(now);
        self.start_call(now, &mut effects);
        self.update_confirmed(now, &mut effects);
        effects
    }

    /// Time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let call_due = match &self.pending {
            Some(pending) => Some(pending.sent_at + CALL_TIMEOUT),
            None => self.call_at,
        };
        let stale_at = self
            .confirmed_at
            .filter(|_| self.confirmed)
            .map(|confirmed_at| confirmed_at + self.cfg.stale_after);
        [call_due, stale_at].into_iter().flatten().min()
    }

    /// Revision in force, 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map_or(0, |configuration| configuration.revision)
    }

    /// Configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.in_force.as_ref()
    }

    /// Whether the configuration in force was confirmed recently enough.
    #[must_use]
    pub fn confirmed(&self) -> bool {
        self.confirmed
    }

    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    fn set_watcher(&mut self, watcher: bool, now: Instant) {
        let becomes_watcher = watcher && !self.watcher;
        self.watcher = watcher;
        if becomes_watcher {
            self.call_at = Some(now);
        }
    }

    fn handle_peer_revision(&mut self, revision: Revision, now: Instant) {
        if revision <= self.revision() || revision <= self.announced {
            return;
        }
        self.announced = revision;
        if self.failures > 0 {
            return;
        }
        let jitter = PEER_DELIVERY_TIMEOUT.mul_f64(self.rng.random::<f64>());
        let read_at = now + PEER_DELIVERY_TIMEOUT + jitter;
        self.call_at = Some(self.call_at.map_or(read_at, |at| at.min(read_at)));
    }

    fn adopt(&mut self, configuration: Arc<Configuration>, effects: &mut Vec<Effect>) {
        let before = self.revision();
        self.check_preset(configuration.revision, &configuration.preset);
        if configuration.revision <= before {
            return;
        }
        self.in_force = Some(Arc::clone(&configuration));
        let after = self.revision();
        self.invariants.check(Invariant::RevisionNeverFalls, after > before, || {
            format!("revision {before} was replaced by {after}")
        });
        effects.push(Effect::Adopt(configuration));
    }

    fn check_preset(&mut self, revision: Revision, preset: &PresetId) {
        let known = self.presets_seen.entry(revision).or_insert_with(|| preset.clone());
        let same = known == preset;
        let detail = format!("revision {revision} has presets {known} and {preset}");
        self.invariants.check(Invariant::OnePresetPerRevision, same, || detail);
        while self.presets_seen.len() > MAX_REMEMBERED_REVISIONS {
            self.presets_seen.pop_first();
        }
    }

    fn confirm(&mut self, at: Option<Instant>) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    fn update_confirmed(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let fresh =
            self.confirmed_at.is_some_and(|at| now.duration_since(at) < self.cfg.stale_after);
        let confirmed = fresh && self.in_force.is_some();
        if confirmed != self.confirmed {
            self.confirmed = confirmed;
            effects.push(Effect::Confirmed(confirmed));
        }
    }
}
