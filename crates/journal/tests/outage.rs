//! The store is down, slow, loses answers or serves stale reads.

mod world;

use std::time::Duration;

use foxtailhoist_journal::event::BillSafety;
use foxtailhoist_model::ClaimResult;
use rstest::rstest;
use world::StoreFaults;
use world::World;
use world::ran;
use world::short;

const MINUTE: Duration = Duration::from_secs(60);

/// Bills and claims one request a second, from each host in turn.
fn load(world: &mut World, first: u128, seconds: u128) {
    for request in first..first + seconds {
        let hosts = world.hosts();
        let host = &hosts[request as usize % hosts.len()];
        world.bill(host, request);
        let key = format!("k{request}");
        world.claim(host, &key, request);
        world.run(Duration::from_secs(1));
        if world.granted(&key) == 1 {
            world.outcome(host, &key, request, ran());
        }
    }
}

#[test]
fn a_store_that_is_down_for_half_an_hour_costs_no_bill() {
    let mut world = World::six(1, short);
    load(&mut world, 0, 5);
    world.faults.down = true;
    load(&mut world, 1_000, 1_800);
    let during = world.claims.iter().filter(|told| told.request >= 1_000);
    assert!(during.clone().all(|told| told.what.1 == ClaimResult::Unavailable));
    assert_eq!(during.count(), 1_800);
    assert_eq!(world.safety(1_100), Some(BillSafety::Parked));
    world.faults.down = false;
    world.settle(MINUTE * 5);
    assert_eq!(world.usage().len(), 1_805);
    world.check();
}

#[test]
fn a_store_that_is_down_gets_few_calls_and_no_rush_on_its_return() {
    let mut world = World::six(2, short);
    load(&mut world, 0, 5);
    world.faults.down = true;
    let before = world.calls();
    load(&mut world, 1_000, 600);
    let during = world.calls() - before;
    assert!(during <= 6 * 600 / 4, "{during} calls in 600 s from 6 hosts");
    world.faults.down = false;
    let before = world.calls();
    world.run(Duration::from_secs(1));
    let after = world.calls() - before;
    assert!(after <= 6 * 40, "{after} calls in the first second");
    world.settle(MINUTE * 5);
    world.check();
}

#[rstest]
#[case::slow(StoreFaults { call_time: Duration::from_secs(2), ..StoreFaults::default() })]
#[case::lost_answers(StoreFaults { lost_answers: 0.3, ..StoreFaults::default() })]
#[case::stale_reads(StoreFaults { stale_reads: 0.5, ..StoreFaults::default() })]
#[case::late_effects(StoreFaults { late_effects: 0.2, ..StoreFaults::default() })]
#[case::lost_and_stale(StoreFaults { lost_answers: 0.3, stale_reads: 0.5, ..StoreFaults::default() })]
#[case::slow_and_lost(StoreFaults {
    call_time: Duration::from_secs(2),
    lost_answers: 0.2,
    ..StoreFaults::default()
})]
#[case::late_and_stale(StoreFaults { late_effects: 0.2, stale_reads: 0.5, ..StoreFaults::default() })]
fn a_faulty_store_costs_no_bill_and_grants_no_key_twice(#[case] faults: StoreFaults) {
    let mut world = World::six(3, short);
    world.faults = faults;
    load(&mut world, 0, 240);
    world.faults = StoreFaults::default();
    world.settle(MINUTE * 5);
    assert_eq!(world.usage().len(), 240);
    world.check();
}

#[test]
fn a_claim_that_lands_after_its_refusal_is_released_by_the_journal() {
    let mut world = World::six(4, short);
    world.claim("n1", "warm-up", 1);
    world.run(Duration::from_secs(2));
    world.faults.late_effects = 1.0;
    world.faults.late_by = Duration::from_secs(10);
    world.claim("n1", "renewal", 2);
    world.run(Duration::from_secs(2));
    assert_eq!(world.results("renewal"), [ClaimResult::Unavailable]);
    world.run(Duration::from_secs(12));
    world.faults = StoreFaults::default();
    world.settle(MINUTE * 2);
    let late: u64 = world.hosts().iter().map(|host| world.journal(host).stats().late_claims).sum();
    assert_eq!(late, 1);
    world.claim("c1", "renewal", 3);
    world.run(Duration::from_secs(2));
    assert_eq!(world.results("renewal")[1], ClaimResult::Granted);
}

/// The create was sent, its answer is lost, and the store refuses the repeats until after the claim's wait.
#[test]
fn a_claim_that_may_still_land_is_not_withdrawn() {
    let mut world = World::six(5, |cfg| short(cfg).claim_wait(Duration::from_secs(5)));
    world.claim("n1", "warm-up", 1);
    world.run(Duration::from_secs(2));
    let home = world.journal("n1").home(0).clone();
    world.faults.late_effects = 1.0;
    world.faults.late_by = Duration::from_secs(10);
    world.claim(&home, "renewal", 2);
    world.run(Duration::from_secs(1));
    world.faults = StoreFaults { down: true, ..StoreFaults::default() };
    world.run(Duration::from_secs(12));
    assert_eq!(world.results("renewal"), [ClaimResult::Unavailable]);
    world.faults = StoreFaults::default();
    world.settle(MINUTE * 2);
    world.claim(&home, "renewal", 3);
    world.run(Duration::from_secs(2));
    assert_eq!(world.results("renewal")[1], ClaimResult::Granted);
}
