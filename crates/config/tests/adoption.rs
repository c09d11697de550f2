//! A host stays on the newest configuration through stale reads, outages and a store that falls back.

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::RunningCommand;
use crate::support::active;
use crate::support::configuration;
use crate::support::initialised;
use crate::support::run;
use crate::support::switch;
use foxtailhoist_config::Adopter;
use foxtailhoist_config::AdopterConfig;
use foxtailhoist_config::adopter::Effect;
use foxtailhoist_config::adopter::Event;
use foxtailhoist_config::audit_key;
use foxtailhoist_config::body_key;
use foxtailhoist_model::Condition;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_objects::MemoryStore;

/// An adopter that runs against a store in virtual time.
struct Host {
    adopter: Adopter,
    now: Instant,
    call: Option<(u64, StoreOp, Instant)>,
    adopted: Vec<u64>,
    confirmed: bool,
    fell_back: u32,
    refused: u32,
}

impl Host {
    fn new(watcher: bool) -> Host {
        let cfg = AdopterConfig { enforcement: Enforcement::Panic, ..AdopterConfig::default() };
        let now = Instant::now();
        let adopter = Adopter::new(cfg, 3, now);
        let mut host = Host {
            adopter,
            now,
            call: None,
            adopted: Vec::new(),
            confirmed: false,
            fell_back: 0,
            refused: 0,
        };
        host.handle(Event::Watcher(watcher));
        host
    }

    fn handle(&mut self, event: Event) {
        for effect in self.adopter.handle(event, self.now) {
            match effect {
                Effect::Store { call, op } => self.call = Some((call, op, self.now)),
                Effect::Adopt(configuration) => self.adopted.push(configuration.revision),
                Effect::Confirmed(confirmed) => self.confirmed = confirmed,
                Effect::StoreFellBack { .. } => self.fell_back += 1,
                Effect::BodyRefused { .. } => self.refused += 1,
                Effect::StoreConfirmed { .. } => {}
            }
        }
    }

    /// Runs for `time` in steps of 10 ms. A watch without changes waits as in the real store.
    fn run(&mut self, store: &mut Option<MemoryStore>, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(10);
            self.complete_call(store);
            if self.adopter.next_wake().is_some_and(|wake| wake <= self.now) {
                self.handle(Event::Tick);
            }
        }
    }

    fn complete_call(&mut self, store: &mut Option<MemoryStore>) {
        let Some((call, op, sent)) = self.call.take() else { return };
        let result = match store {
            Some(store) => store.apply(&op),
            None => Err(StoreError::Unavailable),
        };
        let is_unchanged =
            matches!(&result, Ok(StoreReply::Objects { objects, .. }) if objects.is_empty());
        let is_waiting = matches!(&op, StoreOp::Watch { wait, .. } if self.now < sent + *wait);
        if is_unchanged && is_waiting {
            self.call = Some((call, op, sent));
            return;
        }
        self.handle(Event::Store { call, result });
    }
}

fn at_revision(revision: u64, preset: &str) -> Arc<Configuration> {
    Arc::new(Configuration { revision, preset: preset.to_owned(), ..configuration() })
}

#[test]
fn a_watcher_adopts_each_change_and_becomes_confirmed() {
    let mut store = Some(initialised());
    let mut host = Host::new(true);
    host.run(&mut store, Duration::from_secs(1));
    assert!(host.confirmed);
    run(store.as_mut().expect("up"), switch("anna", "peak"), 5).expect("no other command runs");
    host.run(&mut store, Duration::from_secs(1));
    assert_eq!(host.adopted, [1, 2]);
}

#[test]
fn a_host_confirmed_by_its_peers_makes_no_store_calls() {
    let mut store = Some(initialised());
    let mut host = Host::new(false);
    host.run(&mut store, Duration::from_secs(1));
    let calls = store.as_ref().expect("up").calls();
    for _ in 0..60 {
        host.run(&mut store, Duration::from_secs(1));
        let age = Duration::from_millis(300);
        host.handle(Event::PeerConfirmed { revision: 1, age });
    }
    assert!(host.confirmed);
    assert_eq!(store.expect("up").calls(), calls);
}

#[test]
fn a_host_that_cannot_reach_the_store_becomes_unconfirmed_and_keeps_its_configuration() {
    let mut store = Some(initialised());
    let mut host = Host::new(true);
    host.run(&mut store, Duration::from_secs(1));
    host.run(&mut None, Duration::from_secs(45));
    assert!(!host.confirmed);
    assert_eq!(host.adopter.revision(), 1);
    host.run(&mut store, Duration::from_secs(30));
    assert!(host.confirmed);
}

#[test]
fn a_peer_with_another_revision_does_not_confirm() {
    let mut host = Host::new(false);
    host.handle(Event::PeerConfiguration(at_revision(3, "peak")));
    for revision in [2, 4] {
        host.handle(Event::PeerConfirmed { revision, age: Duration::ZERO });
        assert!(!host.confirmed);
    }
    host.handle(Event::PeerConfirmed { revision: 3, age: Duration::ZERO });
    assert!(host.confirmed);
    host.handle(Event::PeerConfirmed { revision: 3, age: Duration::from_secs(31) });
    assert!(host.confirmed, "an older confirmation does not replace a newer one");
}

#[test]
fn a_store_that_fell_back_reverts_nothing_and_is_reported_once() {
    let before = initialised();
    let mut later = before.clone();
    run(&mut later, switch("anna", "peak"), 5).expect("no other command runs");
    let mut host = Host::new(true);
    host.run(&mut Some(later), Duration::from_secs(1));
    assert_eq!(host.adopted, [1, 2].split_at(1).1);
    host.run(&mut Some(before), Duration::from_secs(60));
    assert_eq!(host.adopter.revision(), 2);
    assert_eq!(host.fell_back, 1);
    assert!(!host.confirmed);
}

#[test]
fn a_lower_revision_from_a_peer_is_ignored() {
    let mut host = Host::new(false);
    host.handle(Event::PeerConfiguration(at_revision(3, "peak")));
    host.handle(Event::PeerConfiguration(at_revision(2, "ordinary")));
    assert_eq!(host.adopted, [3]);
}

#[test]
#[should_panic(expected = "OnePresetPerRevision")]
fn two_presets_for_one_revision_violate_the_invariant() {
    let mut host = Host::new(false);
    host.handle(Event::PeerConfiguration(at_revision(3, "peak")));
    host.handle(Event::PeerConfiguration(at_revision(3, "ordinary")));
}

#[test]
fn a_body_with_a_wrong_digest_is_refused_until_it_is_repaired() {
    let mut store = initialised();
    let key = body_key(&active(&store).digest);
    let right = store.object(&key).expect("it was written").value;
    let wrong = StoreOp::Put {
        key: key.clone(),
        value: bytes::Bytes::from_static(b"{}"),
        condition: Condition::Any,
    };
    store.apply(&wrong).expect("unconditional");
    let mut store = Some(store);
    let mut host = Host::new(true);
    host.run(&mut store, Duration::from_secs(3));
    assert!(host.adopted.is_empty());
    assert!(host.refused > 0);
    let repair = StoreOp::Put { key, value: right, condition: Condition::Any };
    store.as_mut().expect("up").apply(&repair).expect("unconditional");
    host.run(&mut store, Duration::from_secs(30));
    assert_eq!(host.adopted, [1]);
}

#[test]
fn a_revision_that_peers_announce_but_do_not_deliver_is_read_from_the_store() {
    let mut store = Some(initialised());
    let mut host = Host::new(false);
    host.run(&mut store, Duration::from_secs(1));
    run(store.as_mut().expect("up"), switch("anna", "peak"), 5).expect("no other command runs");
    for _ in 0..6 {
        host.handle(Event::PeerRevision(2));
        host.handle(Event::PeerConfirmed { revision: 1, age: Duration::ZERO });
        host.run(&mut store, Duration::from_secs(1));
    }
    assert_eq!(host.adopted, [1, 2]);
}

#[test]
fn a_watcher_writes_a_missing_audit_record() {
    let mut store = initialised();
    let mut anna = RunningCommand::start(switch("anna", "peak"), 1, 60);
    anna.run_to_active_write(&mut store);
    anna.step(&mut store, support::Fault::None);
    assert!(store.object(&audit_key(2)).is_none());
    let mut store = Some(store);
    Host::new(true).run(&mut store, Duration::from_secs(40));
    assert!(store.expect("up").object(&audit_key(2)).is_some());
}
