//! Compaction, retention and names that were deleted.

mod world;

use std::time::Duration;

use foxtailhoist_model::ClaimResult;
use foxtailhoist_model::Condition;
use foxtailhoist_model::Object;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_objects::MemoryStore;
use rstest::rstest;
use world::StoreFaults;
use world::World;
use world::ran;
use world::short;

const MINUTE: Duration = Duration::from_secs(60);

fn home(world: &World) -> String {
    world.journal("n1").home(0).clone()
}

/// A bill each second.
fn bills(world: &mut World, first: u128, seconds: u128) {
    for request in first..first + seconds {
        let hosts = world.hosts();
        let alive: Vec<_> = hosts.iter().filter(|host| !world.is_paused(host)).collect();
        let host = alive[request as usize % alive.len()].clone();
        world.bill(&host, request);
        world.run(Duration::from_secs(1));
    }
}

fn compactions(world: &World) -> u64 {
    world.hosts().iter().map(|host| world.journal(host).stats().compactions).sum()
}

fn segments(store: &mut MemoryStore) -> Vec<Object> {
    let list = StoreOp::List { prefix: "journal/".to_owned(), after: None, limit: 100_000 };
    match store.apply(&list) {
        Ok(StoreReply::Objects { objects, .. }) => objects,
        reply => panic!("a list answers with objects, not {reply:?}"),
    }
}

#[test]
fn segments_past_the_retention_become_sums_and_every_bill_counts_once() {
    let mut world = World::six(1, short);
    bills(&mut world, 0, 600);
    world.settle(MINUTE);
    assert!(compactions(&world) > 10);
    let live = segments(&mut world.store).len();
    assert!(live < 200, "{live} segments");
    assert_eq!(world.usage().len(), 600);
    world.check();
}

#[rstest]
#[case::lost_answers(StoreFaults { lost_answers: 0.3, ..StoreFaults::default() })]
#[case::late_effects(StoreFaults { late_effects: 0.1, ..StoreFaults::default() })]
#[case::stale_and_lost(StoreFaults { stale_reads: 0.5, lost_answers: 0.2, ..StoreFaults::default() })]
fn compaction_counts_each_bill_once_over_a_faulty_store(#[case] faults: StoreFaults) {
    let mut world = World::six(2, short);
    world.faults = faults;
    bills(&mut world, 0, 900);
    world.faults = StoreFaults::default();
    bills(&mut world, 2_000, 100);
    world.settle(MINUTE * 5);
    assert!(compactions(&world) > 0);
    assert_eq!(world.usage().len(), 1_000);
    world.check();
}

#[test]
fn two_homes_that_compact_at_once_count_each_bill_once() {
    let mut world = World::six(3, short);
    for (host, alive) in
        [("n1", ["n1", "n2"]), ("n2", ["n1", "n2"]), ("c1", ["c1", "c2"]), ("c2", ["c1", "c2"])]
    {
        world.announce_to(host, &alive);
    }
    bills(&mut world, 0, 600);
    world.announce();
    world.settle(MINUTE * 2);
    assert_eq!(world.usage().len(), 600);
    world.check();
}

#[test]
fn a_home_paused_past_the_retention_does_not_count_a_create_of_a_deleted_name() {
    for seed in 0..5 {
        let mut world = World::six(seed, short);
        bills(&mut world, 0, 30);
        world.settle(MINUTE);
        let paused = home(&world);
        world.pause(&paused);
        world.announce_to_all_but(&paused);
        world.claim(&paused, "renewal", 9_000);
        world.bill(&paused, 9_001);
        bills(&mut world, 100, 400);
        assert!(compactions(&world) > 5);
        world.resume(&paused);
        world.settle(MINUTE * 2);
        world.claim("n1", "renewal", 9_002);
        world.claim("c1", "renewal", 9_003);
        world.run(Duration::from_secs(2));
        world.check();
        assert!(world.granted("renewal") <= 1);
        assert!(world.usage().contains_key(&9_001));
    }
}

/// The home believes that it may write next where others wrote, compacted and deleted meanwhile.
#[test]
fn a_create_of_a_deleted_name_is_void_and_its_entries_are_written_again() {
    let mut world = World::six(4, short);
    bills(&mut world, 0, 30);
    world.settle(MINUTE);
    let paused = home(&world);
    world.pause(&paused);
    world.announce_to_all_but(&paused);
    bills(&mut world, 100, 400);
    world.run(MINUTE);
    world.resume(&paused);
    world.announce_to(&paused, &[&paused]);
    world.claim(&paused, "renewal", 9_000);
    world.bill(&paused, 9_001);
    world.run(Duration::from_secs(5));
    assert!(world.journal(&paused).stats().void_creates > 0);
    world.claim("n1", "renewal", 9_002);
    world.claim("l1", "renewal", 9_003);
    world.run(Duration::from_secs(5));
    world.announce();
    world.settle(MINUTE * 2);
    assert_eq!(world.granted("renewal"), 1);
    assert!(world.usage().contains_key(&9_001));
    world.check();
}

/// The log's end as the home knows it was deleted, so nothing stands there and it looks like the end still.
#[test]
fn a_bill_of_a_home_that_is_behind_the_floor_is_not_taken_for_an_old_one() {
    let mut world = World::six(10, short);
    bills(&mut world, 0, 30);
    world.settle(MINUTE);
    let paused = home(&world);
    world.pause(&paused);
    world.announce_to_all_but(&paused);
    bills(&mut world, 100, 400);
    world.run(MINUTE);
    world.resume(&paused);
    world.announce_to(&paused, &[&paused]);
    world.bill(&paused, 9_001);
    world.run(Duration::from_secs(5));
    world.announce();
    world.settle(MINUTE * 2);
    assert!(world.usage().contains_key(&9_001));
    world.check();
}

#[test]
fn a_create_that_sat_in_the_network_past_the_retention_counts_for_nothing() {
    let mut world = World::six(5, short);
    bills(&mut world, 0, 30);
    world.settle(MINUTE);
    let host = home(&world);
    world.faults.late_effects = 1.0;
    world.faults.late_by = MINUTE * 8;
    world.claim(&host, "renewal", 9_000);
    world.bill(&host, 9_001);
    world.run(Duration::from_millis(500));
    world.faults = StoreFaults::default();
    world.kill(&host);
    world.announce();
    bills(&mut world, 100, 600);
    world.settle(MINUTE * 2);
    assert!(compactions(&world) > 5);
    world.claim("n1", "renewal", 9_002);
    world.claim("l1", "renewal", 9_003);
    world.run(Duration::from_secs(2));
    assert!(world.granted("renewal") <= 1);
    world.check();
}

#[test]
fn a_recorded_outcome_is_found_till_the_retention_passes() {
    let mut world = World::six(6, short);
    world.claim("n1", "renewal", 9_000);
    world.run(Duration::from_secs(1));
    world.outcome("n1", "renewal", 9_000, ran());
    bills(&mut world, 0, 45);
    world.claim("c1", "renewal", 9_001);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("renewal")[1], ClaimResult::Recorded(ran()));
}

/// A peer that never heard of the commit takes the bill over when its owner is gone.
#[test]
fn an_old_parked_bill_is_looked_up_before_it_is_written() {
    let mut world = World::six(7, short);
    bills(&mut world, 0, 10);
    let home = home(&world);
    let owner = if home == "n1" { "n2" } else { "n1" };
    world.bill(owner, 9_000);
    world.run(Duration::from_millis(50));
    let is_holder = |host: &String| *host != home && world.journal(host).stats().parked > 0;
    let holder = world.hosts().into_iter().find(is_holder).expect("a peer keeps the bill");
    world.network.insert((owner.to_owned(), holder.clone()));
    bills(&mut world, 100, 45);
    assert!(world.journal(&holder).stats().parked > 0);
    assert_eq!(world.usage().get(&9_000), Some(&1));
    world.kill(owner);
    world.announce();
    world.settle(MINUTE * 2);
    assert_eq!(world.usage().get(&9_000), Some(&1));
    world.check();
}

#[test]
fn a_compaction_broken_off_before_the_floor_rose_is_not_repeated_in_the_sums() {
    let mut world = World::six(9, short);
    let sums = "usage/2024-10-04/0000/0000";
    let mut request = 0;
    while world.store.object(sums).is_none() {
        request += 1;
        world.bill("l1", request);
        for _ in 0..1_000 {
            if world.store.object(sums).is_none() {
                world.run(Duration::from_millis(1));
            }
        }
    }
    let home = home(&world);
    world.kill(&home);
    for request in 10_000..10_030 {
        world.bill("l1", request);
        world.run(Duration::from_secs(1));
    }
    world.announce();
    bills(&mut world, 20_000, 30);
    world.settle(MINUTE * 2);
    assert!(compactions(&world) > 0);
    world.check();
}

#[test]
fn garbage_below_the_floor_is_no_bill() {
    let mut world = World::six(8, short);
    bills(&mut world, 0, 300);
    world.settle(MINUTE);
    let stray = segments(&mut world.store).pop().expect("a live segment").value;
    let put = StoreOp::Put {
        key: "journal/0000/0000000000000001".to_owned(),
        value: stray,
        condition: Condition::Absent,
    };
    world.store.apply(&put).expect("the store works");
    world.check();
    bills(&mut world, 1_000, 100);
    world.settle(MINUTE);
    assert!(world.store.object("journal/0000/0000000000000001").is_none());
    world.check();
}
