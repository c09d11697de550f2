//! Faults of the store: down, slow, lost responses, delayed writes and stale reads.

mod world;

use std::time::Duration;

use foxtailhoist_journal::event::BillSafety;
use foxtailhoist_model::ClaimResult;
use rstest::rstest;
use world::StoreFaults;
use world::World;
use world::ran_outcome;
use world::short_retention;

const MINUTE: Duration = Duration::from_secs(60);

/// Bills and claims one request per second, from each host in turn.
fn run_load(world: &mut World, first: u128, seconds: u128) {
    for request in first..first + seconds {
        let hosts = world.hosts();
        let host = &hosts[request as usize % hosts.len()];
        world.bill(host, request);
        let key = format!("k{request}");
        world.claim(host, &key, request);
        world.run(Duration::from_secs(1));
        if world.granted(&key) == 1 {
            world.outcome(host, &key, request, ran_outcome());
        }
    }
}

#[test]
fn a_store_outage_of_half_an_hour_loses_no_bill() {
    let mut world = World::six_hosts(1, short_retention);
    run_load(&mut world, 0, 5);
    world.faults.down = true;
    run_load(&mut world, 1_000, 1_800);
    let during = world.claims.iter().filter(|notification| notification.request >= 1_000);
    assert!(during.clone().all(|notification| notification.value.1 == ClaimResult::Unavailable));
    assert_eq!(during.count(), 1_800);
    assert_eq!(world.safety(1_100), Some(BillSafety::Replicated));
    world.faults.down = false;
    world.run_until_drained(MINUTE * 5);
    assert_eq!(world.usage().len(), 1_805);
    world.check();
}

#[test]
fn calls_are_limited_during_a_store_outage_and_on_recovery() {
    let mut world = World::six_hosts(2, short_retention);
    run_load(&mut world, 0, 5);
    world.faults.down = true;
    let before = world.calls();
    run_load(&mut world, 1_000, 600);
    let during = world.calls() - before;
    assert!(during <= 6 * 600 / 4, "{during} calls in 600 s from 6 hosts");
    world.faults.down = false;
    let before = world.calls();
    world.run(Duration::from_secs(1));
    let after = world.calls() - before;
    assert!(after <= 6 * 40, "{after} calls in the first second");
    world.run_until_drained(MINUTE * 5);
    world.check();
}

#[rstest]
#[case::slow(StoreFaults { call_time: Duration::from_secs(2), ..StoreFaults::default() })]
#[case::lost_responses(StoreFaults { lost_responses: 0.3, ..StoreFaults::default() })]
#[case::stale_reads(StoreFaults { stale_reads: 0.5, ..StoreFaults::default() })]
#[case::late_effects(StoreFaults { late_effects: 0.2, ..StoreFaults::default() })]
#[case::lost_and_stale(StoreFaults { lost_responses: 0.3, stale_reads: 0.5, ..StoreFaults::default() })]
#[case::slow_and_lost(StoreFaults {
    call_time: Duration::from_secs(2),
    lost_responses: 0.2,
    ..StoreFaults::default()
})]
#[case::late_and_stale(StoreFaults { late_effects: 0.2, stale_reads: 0.5, ..StoreFaults::default() })]
fn a_faulty_store_loses_no_bill_and_grants_no_key_twice(#[case] faults: StoreFaults) {
    let mut world = World::six_hosts(3, short_retention);
    world.faults = faults;
    run_load(&mut world, 0, 240);
    world.faults = StoreFaults::default();
    world.run_until_drained(MINUTE * 5);
    assert_eq!(world.usage().len(), 240);
    world.check();
}

#[test]
fn a_claim_committed_after_its_refusal_is_released() {
    let mut world = World::six_hosts(4, short_retention);
    world.claim("n1", "warm-up", 1);
    world.run(Duration::from_secs(2));
    world.faults.late_effects = 1.0;
    world.faults.late_by = Duration::from_secs(10);
    world.claim("n1", "renewal", 2);
    world.run(Duration::from_secs(2));
    assert_eq!(world.results("renewal"), [ClaimResult::Unavailable]);
    world.run(Duration::from_secs(12));
    world.faults = StoreFaults::default();
    world.run_until_drained(MINUTE * 2);
    let late: u64 = world.hosts().iter().map(|host| world.journal(host).stats().late_claims).sum();
    assert_eq!(late, 1);
    world.claim("c1", "renewal", 3);
    world.run(Duration::from_secs(2));
    assert_eq!(world.results("renewal")[1], ClaimResult::Granted);
}

/// The create is sent and its response is lost; the store is down for the retries until after the claim's timeout.
#[test]
fn a_claim_whose_create_may_still_take_effect_is_not_withdrawn() {
    let mut world =
        World::six_hosts(5, |cfg| short_retention(cfg).claim_wait(Duration::from_secs(5)));
    world.claim("n1", "warm-up", 1);
    world.run(Duration::from_secs(2));
    let owner = world.journal("n1").owner(0).clone();
    world.faults.late_effects = 1.0;
    world.faults.late_by = Duration::from_secs(10);
    world.claim(&owner, "renewal", 2);
    world.run(Duration::from_secs(1));
    world.faults = StoreFaults { down: true, ..StoreFaults::default() };
    world.run(Duration::from_secs(12));
    assert_eq!(world.results("renewal"), [ClaimResult::Unavailable]);
    world.faults = StoreFaults::default();
    world.run_until_drained(MINUTE * 2);
    world.claim(&owner, "renewal", 3);
    world.run(Duration::from_secs(2));
    assert_eq!(world.results("renewal")[1], ClaimResult::Granted);
}
