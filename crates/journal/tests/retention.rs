//! Compaction, retention and creates at deleted sequence numbers.

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
use world::ran_outcome;
use world::short_retention;

const MINUTE: Duration = Duration::from_secs(60);

fn owner(world: &World) -> String {
    world.journal("n1").owner(0).clone()
}

/// Bills one request per second, from each running host in turn.
fn bill_each_second(world: &mut World, first: u128, seconds: u128) {
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
        reply => panic!("expected the objects of a list, got {reply:?}"),
    }
}

#[test]
fn segments_past_their_retention_are_compacted_and_every_bill_counts_once() {
    let mut world = World::six_hosts(1, short_retention);
    bill_each_second(&mut world, 0, 600);
    world.run_until_drained(MINUTE);
    assert!(compactions(&world) > 10);
    let live = segments(&mut world.store).len();
    assert!(live < 200, "{live} segments");
    assert_eq!(world.usage().len(), 600);
    world.check();
}

#[rstest]
#[case::lost_responses(StoreFaults { lost_responses: 0.3, ..StoreFaults::default() })]
#[case::late_effects(StoreFaults { late_effects: 0.1, ..StoreFaults::default() })]
#[case::stale_and_lost(StoreFaults { stale_reads: 0.5, lost_responses: 0.2, ..StoreFaults::default() })]
fn compaction_counts_each_bill_once_over_a_faulty_store(#[case] faults: StoreFaults) {
    let mut world = World::six_hosts(2, short_retention);
    world.faults = faults;
    bill_each_second(&mut world, 0, 900);
    world.faults = StoreFaults::default();
    bill_each_second(&mut world, 2_000, 100);
    world.run_until_drained(MINUTE * 5);
    assert!(compactions(&world) > 0);
    assert_eq!(world.usage().len(), 1_000);
    world.check();
}

#[test]
fn two_owners_that_compact_concurrently_count_each_bill_once() {
    let mut world = World::six_hosts(3, short_retention);
    for (host, alive) in
        [("n1", ["n1", "n2"]), ("n2", ["n1", "n2"]), ("c1", ["c1", "c2"]), ("c2", ["c1", "c2"])]
    {
        world.announce_to(host, &alive);
    }
    bill_each_second(&mut world, 0, 600);
    world.announce();
    world.run_until_drained(MINUTE * 2);
    assert_eq!(world.usage().len(), 600);
    world.check();
}

#[test]
fn an_owner_paused_past_the_retention_does_not_count_a_create_at_a_deleted_position() {
    for seed in 0..5 {
        let mut world = World::six_hosts(seed, short_retention);
        bill_each_second(&mut world, 0, 30);
        world.run_until_drained(MINUTE);
        let paused = owner(&world);
        world.pause(&paused);
        world.announce_to_all_but(&paused);
        world.claim(&paused, "renewal", 9_000);
        world.bill(&paused, 9_001);
        bill_each_second(&mut world, 100, 400);
        assert!(compactions(&world) > 5);
        world.resume(&paused);
        world.run_until_drained(MINUTE * 2);
        world.claim("n1", "renewal", 9_002);
        world.claim("c1", "renewal", 9_003);
        world.run(Duration::from_secs(2));
        world.check();
        assert!(world.granted("renewal") <= 1);
        assert!(world.usage().contains_key(&9_001));
    }
}

/// The paused owner's next sequence number was written, compacted and deleted by others meanwhile.
#[test]
fn a_create_at_a_deleted_position_is_void_and_its_entries_are_rewritten() {
    let mut world = World::six_hosts(4, short_retention);
    bill_each_second(&mut world, 0, 30);
    world.run_until_drained(MINUTE);
    let paused = owner(&world);
    world.pause(&paused);
    world.announce_to_all_but(&paused);
    bill_each_second(&mut world, 100, 400);
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
    world.run_until_drained(MINUTE * 2);
    assert_eq!(world.granted("renewal"), 1);
    assert!(world.usage().contains_key(&9_001));
    world.check();
}

/// The segment at the owner's known end of the log was deleted, so a read finds none there and it still looks like the
/// end. A new bill must not be decided as expired from that position.
#[test]
fn a_new_bill_of_an_owner_behind_the_floor_does_not_expire() {
    let mut world = World::six_hosts(10, short_retention);
    bill_each_second(&mut world, 0, 30);
    world.run_until_drained(MINUTE);
    let paused = owner(&world);
    world.pause(&paused);
    world.announce_to_all_but(&paused);
    bill_each_second(&mut world, 100, 400);
    world.run(MINUTE);
    world.resume(&paused);
    world.announce_to(&paused, &[&paused]);
    world.bill(&paused, 9_001);
    world.run(Duration::from_secs(5));
    world.announce();
    world.run_until_drained(MINUTE * 2);
    assert!(world.usage().contains_key(&9_001));
    world.check();
}

#[test]
fn a_create_delayed_past_the_retention_has_no_effect() {
    let mut world = World::six_hosts(5, short_retention);
    bill_each_second(&mut world, 0, 30);
    world.run_until_drained(MINUTE);
    let host = owner(&world);
    world.faults.late_effects = 1.0;
    world.faults.late_by = MINUTE * 8;
    world.claim(&host, "renewal", 9_000);
    world.bill(&host, 9_001);
    world.run(Duration::from_millis(500));
    world.faults = StoreFaults::default();
    world.kill(&host);
    world.announce();
    bill_each_second(&mut world, 100, 600);
    world.run_until_drained(MINUTE * 2);
    assert!(compactions(&world) > 5);
    world.claim("n1", "renewal", 9_002);
    world.claim("l1", "renewal", 9_003);
    world.run(Duration::from_secs(2));
    assert!(world.granted("renewal") <= 1);
    world.check();
}

#[test]
fn a_recorded_outcome_is_returned_within_its_retention() {
    let mut world = World::six_hosts(6, short_retention);
    world.claim("n1", "renewal", 9_000);
    world.run(Duration::from_secs(1));
    world.outcome("n1", "renewal", 9_000, ran_outcome());
    bill_each_second(&mut world, 0, 45);
    world.claim("c1", "renewal", 9_001);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("renewal")[1], ClaimResult::Recorded(ran_outcome()));
}

/// A peer that was not notified of the commit takes the bill over when its sender fails.
#[test]
fn an_old_replicated_bill_is_looked_up_before_it_is_written() {
    let mut world = World::six_hosts(7, short_retention);
    bill_each_second(&mut world, 0, 10);
    let owner = owner(&world);
    let sender = if owner == "n1" { "n2" } else { "n1" };
    world.bill(sender, 9_000);
    world.run(Duration::from_millis(50));
    let holds_replica = |host: &String| *host != owner && world.journal(host).stats().parked > 0;
    let replica_host =
        world.hosts().into_iter().find(holds_replica).expect("a peer keeps the bill");
    world.cut_links.insert((sender.to_owned(), replica_host.clone()));
    bill_each_second(&mut world, 100, 45);
    assert!(world.journal(&replica_host).stats().parked > 0);
    assert_eq!(world.usage().get(&9_000), Some(&1));
    world.kill(sender);
    world.announce();
    world.run_until_drained(MINUTE * 2);
    assert_eq!(world.usage().get(&9_000), Some(&1));
    world.check();
}

#[test]
fn a_compaction_interrupted_before_raising_the_floor_is_not_counted_twice() {
    let mut world = World::six_hosts(9, short_retention);
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
    let owner = owner(&world);
    world.kill(&owner);
    for request in 10_000..10_030 {
        world.bill("l1", request);
        world.run(Duration::from_secs(1));
    }
    world.announce();
    bill_each_second(&mut world, 20_000, 30);
    world.run_until_drained(MINUTE * 2);
    assert!(compactions(&world) > 0);
    world.check();
}

#[test]
fn a_stray_segment_below_the_floor_is_not_billed() {
    let mut world = World::six_hosts(8, short_retention);
    bill_each_second(&mut world, 0, 300);
    world.run_until_drained(MINUTE);
    let stray = segments(&mut world.store).pop().expect("a live segment").value;
    let put = StoreOp::Put {
        key: "journal/0000/0000000000000001".to_owned(),
        value: stray,
        condition: Condition::Absent,
    };
    world.store.apply(&put).expect("the store works");
    world.check();
    bill_each_second(&mut world, 1_000, 100);
    world.run_until_drained(MINUTE);
    assert!(world.store.object("journal/0000/0000000000000001").is_none());
    world.check();
}
