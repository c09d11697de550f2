//! Hosts are killed, replaced, paused or cut off from each other.

mod world;

use std::time::Duration;

use foxtailhoist_journal::event::BillSafety;
use foxtailhoist_model::ClaimResult;
use rstest::rstest;
use world::SIX;
use world::World;
use world::ran;
use world::short;

const MINUTE: Duration = Duration::from_secs(60);

fn home(world: &World) -> String {
    world.journal("n1").home(0).clone()
}

fn other(world: &World) -> String {
    let home = home(world);
    world.hosts().into_iter().find(|host| *host != home).expect("there are six hosts")
}

#[test]
fn a_claim_whose_holder_died_stays_undecided_till_the_retention_passes() {
    let mut world = World::six(1, short);
    let holder = other(&world);
    world.claim(&holder, "renewal", 1);
    world.run(Duration::from_secs(1));
    world.kill(&holder);
    world.announce();
    let caller = home(&world);
    world.claim(&caller, "renewal", 2);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("renewal"), [ClaimResult::Granted, ClaimResult::Undecided]);
}

#[test]
fn a_host_that_died_before_its_claim_left_the_key_free() {
    let mut world = World::six(2, short);
    let holder = other(&world);
    world.kill(&holder);
    world.claim(&holder, "renewal", 1);
    world.announce();
    let caller = home(&world);
    world.claim(&caller, "renewal", 2);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("renewal"), [ClaimResult::Granted]);
}

#[rstest]
#[case::owner(true, false)]
#[case::home(false, true)]
#[case::both(true, true)]
fn a_parked_bill_outlives_its_owner_and_its_home(
    #[case] owner_dies: bool,
    #[case] home_dies: bool,
) {
    let mut world = World::six(3, short);
    let (owner, home) = (other(&world), home(&world));
    world.faults.down = true;
    for request in 0..20 {
        world.bill(&owner, request);
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.safety(7), Some(BillSafety::Parked));
    if owner_dies {
        world.kill(&owner);
    }
    if home_dies {
        world.kill(&home);
    }
    world.announce();
    world.run(MINUTE);
    world.faults.down = false;
    world.settle(MINUTE * 2);
    world.check();
}

#[test]
fn a_bill_of_a_host_that_died_at_once_is_kept_once_or_not_at_all() {
    for delay in 0..30 {
        let mut world = World::six(delay, short);
        let owner = other(&world);
        world.bill(&owner, 1);
        world.run(Duration::from_millis(delay));
        world.kill(&owner);
        world.announce();
        world.settle(MINUTE * 2);
        world.check();
    }
}

#[test]
fn a_data_centre_that_is_lost_at_once_takes_no_parked_bill_with_it() {
    let mut world = World::six(5, short);
    world.faults.down = true;
    for request in 0..60 {
        let host = SIX[request as usize % 6].0;
        world.bill(host, request);
    }
    world.run(Duration::from_secs(1));
    world.kill("n1");
    world.kill("n2");
    world.announce();
    world.run(MINUTE);
    world.faults.down = false;
    world.settle(MINUTE * 2);
    assert_eq!(world.usage().len(), 60);
    world.check();
}

#[test]
fn two_homes_of_one_shard_grant_each_key_once() {
    let mut world = World::six(6, short);
    for (host, alive) in
        [("n1", ["n1", "n2"]), ("n2", ["n1", "n2"]), ("c1", ["c1", "c2"]), ("c2", ["c1", "c2"])]
    {
        world.announce_to(host, &alive);
    }
    for request in 0..60 {
        let key = format!("k{request}");
        for host in ["n1", "c1", "l1"] {
            world.claim(host, &key, request);
        }
        world.bill("n1", request);
        world.bill("c1", request);
        world.run(Duration::from_millis(300));
    }
    world.announce();
    world.settle(MINUTE * 2);
    assert_eq!(world.claims.iter().filter(|told| told.what.1 == ClaimResult::Granted).count(), 60);
    assert_eq!(world.usage().len(), 60);
    world.check();
}

#[test]
fn new_hosts_take_over_when_all_are_replaced_at_once() {
    let mut world = World::six(7, short);
    for request in 0..100 {
        world.claim("n1", &format!("k{request}"), request);
        world.bill("l1", request);
        world.run(Duration::from_secs(1));
        world.outcome("n1", &format!("k{request}"), request, ran());
    }
    world.settle(MINUTE);
    for (host, _) in SIX {
        world.kill(host);
    }
    for (host, data_centre) in SIX {
        world.start_host(host, data_centre);
    }
    world.announce();
    world.claim("c1", "k99", 200);
    world.bill("c2", 99);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("k99"), [ClaimResult::Granted, ClaimResult::Recorded(ran())]);
    world.settle(MINUTE);
    assert_eq!(world.usage().len(), 100);
    world.check();
}

#[test]
fn hosts_replaced_one_after_another_lose_nothing() {
    let mut world = World::six(8, short);
    for (round, (host, data_centre)) in SIX.into_iter().enumerate() {
        for step in 0..10_u128 {
            let request = round as u128 * 100 + step;
            world.bill(SIX[step as usize % 6].0, request);
            world.run(Duration::from_millis(100));
        }
        world.kill(host);
        world.announce();
        world.run(Duration::from_millis(500));
        world.start_host(host, data_centre);
        world.announce();
    }
    world.settle(MINUTE * 2);
    assert_eq!(world.usage().len(), 60);
    world.check();
}

#[test]
fn a_paused_home_is_passed_over_and_harmless_when_it_resumes() {
    let mut world = World::six(9, short);
    let (home, host) = (home(&world), other(&world));
    world.claim(&host, "warm-up", 1_000);
    world.run(Duration::from_secs(1));
    world.pause(&home);
    for request in 0..30 {
        world.claim(&host, &format!("k{request}"), request);
        world.bill(&host, request);
        world.run(Duration::from_secs(1));
    }
    let granted = world.claims.iter().filter(|told| told.what.1 == ClaimResult::Granted).count();
    assert_eq!(granted, 31);
    world.resume(&home);
    world.settle(MINUTE * 2);
    world.check();
}

#[test]
fn copies_lost_in_restarts_are_made_again() {
    let mut world = World::six(10, short);
    world.faults.down = true;
    world.bill("n1", 1);
    world.run(Duration::from_secs(1));
    assert_eq!(world.safety(1), Some(BillSafety::Parked));
    for (host, data_centre) in SIX.into_iter().skip(1) {
        world.start_host(host, data_centre);
        world.announce();
        world.run(Duration::from_millis(200));
    }
    world.kill("n1");
    world.announce();
    world.faults.down = false;
    world.settle(MINUTE * 2);
    assert_eq!(world.usage().get(&1), Some(&1));
    world.check();
}

#[test]
fn a_host_counts_as_its_own_only_the_segments_that_it_wrote() {
    let mut world = World::six(11, short);
    for (host, alive) in [("n1", ["n1", "n2"]), ("c1", ["c1", "c2"])] {
        world.announce_to(host, &alive);
    }
    for request in 0..40 {
        for host in ["n1", "c1", "l1"] {
            world.claim(host, &format!("{host}-{request}"), request);
        }
        world.run(Duration::from_millis(200));
    }
    let stats: Vec<_> = world.hosts().iter().map(|host| world.journal(host).stats()).collect();
    let collisions: u64 = stats.iter().map(|stats| stats.collisions).sum();
    let written: u64 = stats.iter().map(|stats| stats.segments).sum();
    assert!(collisions > 0);
    let last =
        (0..).take_while(|seq| world.store.object(&format!("journal/0000/{seq:016}")).is_some());
    assert_eq!(written, last.count() as u64);
}
