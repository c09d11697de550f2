//! Vetoes are immediate and monotonic, and only a higher epoch lifts them.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use common::canary;
use common::configuration;
use common::host;
use common::rated;
use common::settled;
use common::step_zero;
use common::vetoes;
use foxtailhoist_rollout::Rollout;
use foxtailhoist_rollout::event::Effect;
use foxtailhoist_rollout::event::Event;

fn judge() -> (Rollout, Instant) {
    let now = Instant::now();
    let mut rollout = host("lowell-1");
    rollout.handle(Event::Configured(Arc::new(configuration(step_zero()))), now);
    rollout.handle(Event::OwnTally { model_version: settled(), tally: rated(180, 20) }, now);
    (rollout, now)
}

fn peer_ratings(good: u64, bad: u64) -> Event {
    Event::PeerTallies(BTreeMap::from([(canary(), rated(good, bad))]))
}

#[test]
fn evidence_of_this_host_and_its_peers_is_summed() {
    let own = Event::OwnTally { model_version: canary(), tally: rated(2, 5) };
    let (mut rollout, now) = judge();
    assert!(vetoes(&rollout.handle(own.clone(), now)).is_empty(), "its own evidence alone");
    let (mut rollout, now) = judge();
    assert!(
        vetoes(&rollout.handle(peer_ratings(2, 5), now)).is_empty(),
        "the peers' evidence alone"
    );
    assert_eq!(vetoes(&rollout.handle(own, now)), [canary()], "both together");
}

#[test]
fn a_veto_is_requested_once() {
    let (mut rollout, now) = judge();
    assert_eq!(vetoes(&rollout.handle(peer_ratings(0, 30), now)).len(), 1);
    assert!(vetoes(&rollout.handle(peer_ratings(0, 60), now)).is_empty());
}

#[test]
fn good_evidence_does_not_lift_a_veto() {
    let (mut rollout, now) = judge();
    rollout.handle(Event::Vetoed { model_version: canary(), epoch: 0 }, now);
    rollout.handle(peer_ratings(1_000, 0), now);
    assert!(rollout.vetoed().contains(&canary()));
}

#[test]
fn only_a_higher_epoch_lifts_a_veto() {
    let (mut rollout, now) = judge();
    rollout.handle(Event::Vetoed { model_version: canary(), epoch: 1 }, now);
    rollout.handle(Event::VetoCleared { model_version: canary(), epoch: 1 }, now);
    assert!(rollout.vetoed().contains(&canary()));
    rollout.handle(Event::VetoCleared { model_version: canary(), epoch: 2 }, now);
    assert!(!rollout.vetoed().contains(&canary()));
    rollout.handle(Event::Vetoed { model_version: canary(), epoch: 1 }, now);
    assert!(!rollout.vetoed().contains(&canary()), "a late veto of an epoch that was cleared");
}

#[test]
fn a_cleared_version_is_judged_on_new_evidence() {
    let (mut rollout, now) = judge();
    rollout.handle(peer_ratings(0, 30), now);
    rollout.handle(Event::VetoCleared { model_version: canary(), epoch: 1 }, now);
    assert!(vetoes(&rollout.handle(peer_ratings(20, 32), now)).is_empty());
    let effects = rollout.handle(peer_ratings(20, 70), now);
    let epoch = effects.iter().find_map(|effect| match effect {
        Effect::Veto { epoch, .. } => Some(*epoch),
        _ => None,
    });
    assert_eq!(epoch, Some(1));
}

#[test]
fn a_returning_host_is_not_counted_twice() {
    let (mut rollout, now) = judge();
    rollout.handle(peer_ratings(40, 8), now);
    rollout.handle(peer_ratings(20, 2), now);
    assert!(vetoes(&rollout.handle(peer_ratings(40, 8), now)).is_empty());
    rollout.handle(peer_ratings(20, 2), now);
    assert!(vetoes(&rollout.handle(peer_ratings(41, 8), now)).is_empty());
}

#[test]
fn evidence_from_before_a_start_does_not_veto_a_settled_version() {
    let (mut rollout, now) = judge();
    let event = Event::PeerTallies(BTreeMap::from([(settled(), rated(60_000, 9_000))]));
    assert!(vetoes(&rollout.handle(event, now)).is_empty());
}
