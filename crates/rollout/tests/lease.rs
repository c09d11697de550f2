//! At most one host holds the lease, and a holder that was paused cannot act under an old fencing number.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::Fleet;
use common::StageRequest;
use common::canary;
use common::host;
use common::step_zero;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StoreError;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_objects::MemoryStore;
use foxtailhoist_rollout::Rollout;
use foxtailhoist_rollout::RolloutConfig;
use foxtailhoist_rollout::controller::lease::LEASE_KEY;
use foxtailhoist_rollout::controller::lease::LeaseRecord;
use foxtailhoist_rollout::event::Effect;
use foxtailhoist_rollout::event::Event;

const HOSTS: [&str; 3] = ["nashua-1", "lowell-1", "concord-1"];

fn lease(store: &MemoryStore) -> LeaseRecord {
    let object = store.object(LEASE_KEY).expect("the lease exists");
    serde_json::from_slice(&object.value).expect("the lease can be read")
}

#[test]
fn exactly_one_host_leads() {
    let mut fleet = Fleet::new(&HOSTS, Stage::Registered);
    for _ in 0..30 {
        fleet.run(Duration::from_secs(2));
        assert!(fleet.leaders.len() <= 1, "{:?}", fleet.leaders);
    }
    assert_eq!(fleet.leaders.len(), 1);
    assert_eq!(lease(&fleet.store).fencing, 1);
}

#[test]
fn a_paused_holder_is_replaced_under_a_higher_fencing_number_and_its_late_write_is_refused() {
    let mut fleet = Fleet::new(&HOSTS, step_zero());
    fleet.run(Duration::from_secs(5));
    let first = fleet.leaders.first().cloned().expect("a leader");
    let old = fleet.requests.last().cloned().expect("quotas were requested");
    fleet.paused.insert(first.clone());
    fleet.run(Duration::from_secs(30));
    assert_eq!(lease(&fleet.store).fencing, 2);
    fleet.broadcast(&Event::Vetoed { model_version: canary(), epoch: 0 });
    fleet.run(Duration::from_secs(2));
    assert_eq!(*fleet.stage(&canary()), Stage::Withdrawing);

    // The write that the paused host had sent before arrives now.
    assert!(!fleet.set_stage(StageRequest { host: first.clone(), ..old }));
    assert_eq!(*fleet.stage(&canary()), Stage::Withdrawing);

    // After it resumes, the host requests nothing under its old number.
    let sent = fleet.requests.len();
    fleet.paused.remove(&first);
    fleet.send(&first, Event::Tick);
    fleet.run(Duration::from_secs(10));
    let late = fleet.requests.iter().skip(sent).find(|request| request.host == first);
    assert!(late.is_none(), "{late:?}");
    assert!(!fleet.leaders.contains(&first));
}

#[test]
fn the_holder_stops_acting_before_others_may_take_over() {
    let mut fleet = Fleet::new(&HOSTS, Stage::Registered);
    fleet.run(Duration::from_secs(5));
    fleet.store_up = false;
    fleet.run(Duration::from_millis(7_250));
    assert!(fleet.leaders.is_empty(), "the holder acts within the margin: {:?}", fleet.leaders);
    fleet.store_up = true;
    fleet.run(Duration::from_secs(15));
    assert_eq!(fleet.leaders.len(), 1);
}

#[test]
fn a_stopping_holder_releases_the_lease() {
    let mut fleet = Fleet::new(&HOSTS, Stage::Registered);
    fleet.run(Duration::from_secs(5));
    let first = fleet.leaders.first().cloned().expect("a leader");
    fleet.send(&first, Event::Stop);
    fleet.hosts.remove(&first);
    fleet.announce_hosts();
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.leaders.len(), 1, "taken over without waiting for the lease to expire");
    assert!(!fleet.leaders.contains(&first));
}

/// Effects of a single host whose first put got no answer, and the store in which the put did or did not take effect.
fn put_with_lost_answer(takes_effect: bool) -> (Vec<Effect>, MemoryStore) {
    let now = std::time::Instant::now();
    let mut rollout = host("nashua-1");
    let mut store = MemoryStore::default();
    let mut pending = rollout.handle(Event::Tick, now);
    let mut lost = false;
    let mut seen = Vec::new();
    let mut at = now;
    for _ in 0..40 {
        let mut next = Vec::new();
        for effect in pending {
            if let Effect::Store { call, op } = &effect {
                let is_first_put = matches!(op, StoreOp::Put { .. }) && !lost;
                let result = if is_first_put && !takes_effect {
                    Err(StoreError::Unknown)
                } else {
                    store.apply(op)
                };
                let result = if is_first_put { Err(StoreError::Unknown) } else { result };
                lost |= is_first_put;
                next.extend(rollout.handle(Event::Store { call: *call, result }, at));
            }
            seen.push(effect);
        }
        at += Duration::from_millis(250);
        next.extend(rollout.handle(Event::Tick, at));
        pending = next;
    }
    (seen, store)
}

#[rstest::rstest]
#[case::took_effect(true)]
#[case::did_not_take_effect(false)]
fn a_write_whose_answer_was_lost_is_resolved(#[case] takes_effect: bool) {
    let (effects, store) = put_with_lost_answer(takes_effect);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Leading(true))));
    assert_eq!(lease(&store).fencing, 1);
}

#[test]
fn reads_of_a_large_fleet_are_bounded() {
    let names: Vec<String> = (0..490).map(|index| format!("host-{index:03}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet = Fleet::new(&names, Stage::Registered);
    fleet.run(Duration::from_secs(10));
    let before = fleet.store.calls();
    fleet.run(Duration::from_secs(60));
    let after = fleet.store.calls();
    let reads = after.reads - before.reads;
    assert!(reads <= 60 * 20, "{reads} reads in a minute");
    assert_eq!(
        fleet.store.apply(&StoreOp::Get { key: "absent".to_owned() }),
        Ok(StoreReply::Object(None))
    );
}

#[test]
fn a_stopped_host_does_not_keep_waking_for_a_poll() {
    let start = Instant::now();
    let mut rollout = Rollout::new(RolloutConfig::new(HOSTS[0].to_owned()), 1);
    let mut effects = rollout.handle(Event::Hosts(vec![HOSTS[0].to_owned()]), start);
    effects.extend(rollout.handle(Event::Tick, start));
    let store_call = |effect: &Effect| match effect {
        Effect::Store { call, .. } => Some(*call),
        _ => None,
    };
    let call = effects.iter().find_map(store_call).expect("the host reads the lease");
    rollout.handle(Event::Stop, start);
    let result = Ok(StoreReply::Object(None));
    let mut now = start + Duration::from_millis(10);
    rollout.handle(Event::Store { call, result }, now);
    for _ in 0..10 {
        let Some(wake) = rollout.next_wake() else {
            return;
        };
        now = now.max(wake);
        rollout.handle(Event::Tick, now);
        assert!(
            rollout.next_wake().is_none_or(|next| next > now),
            "the wake time does not advance"
        );
    }
}
