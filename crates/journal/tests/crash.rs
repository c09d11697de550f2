//! Failures of hosts: killed, replaced, paused or disconnected from each other.

mod world;

use std::time::Duration;

use foxtailhoist_journal::event::BillSafety;
use foxtailhoist_model::ClaimResult;
use rstest::rstest;
use world::SIX_HOSTS;
use world::World;
use world::ran_outcome;
use world::short_retention;

const MINUTE: Duration = Duration::from_secs(60);

fn owner(world: &World) -> String {
    world.journal("n1").owner(0).clone()
}

fn non_owner(world: &World) -> String {
    let owner = owner(world);
    world.hosts().into_iter().find(|host| *host != owner).expect("there are six hosts")
}

#[test]
fn a_claim_of_a_killed_host_stays_undecided_within_its_retention() {
    let mut world = World::six_hosts(1, short_retention);
    let holder = non_owner(&world);
    world.claim(&holder, "renewal", 1);
    world.run(Duration::from_secs(1));
    world.kill(&holder);
    world.announce();
    let caller = owner(&world);
    world.claim(&caller, "renewal", 2);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("renewal"), [ClaimResult::Granted, ClaimResult::Undecided]);
}

#[test]
fn a_host_killed_before_its_claim_leaves_the_key_free() {
    let mut world = World::six_hosts(2, short_retention);
    let holder = non_owner(&world);
    world.kill(&holder);
    world.claim(&holder, "renewal", 1);
    world.announce();
    let caller = owner(&world);
    world.claim(&caller, "renewal", 2);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("renewal"), [ClaimResult::Granted]);
}

#[rstest]
#[case::sender(true, false)]
#[case::owner(false, true)]
#[case::both(true, true)]
fn a_replicated_bill_survives_its_sender_and_the_shard_owner(
    #[case] sender_dies: bool,
    #[case] owner_dies: bool,
) {
    let mut world = World::six_hosts(3, short_retention);
    let (sender, owner) = (non_owner(&world), owner(&world));
    world.faults.down = true;
    for request in 0..20 {
        world.bill(&sender, request);
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.safety(7), Some(BillSafety::Replicated));
    if sender_dies {
        world.kill(&sender);
    }
    if owner_dies {
        world.kill(&owner);
    }
    world.announce();
    world.run(MINUTE);
    world.faults.down = false;
    world.run_until_drained(MINUTE * 2);
    world.check();
}

#[test]
fn a_bill_of_a_host_killed_soon_after_is_counted_at_most_once() {
    for delay in 0..30 {
        let mut world = World::six_hosts(delay, short_retention);
        let sender = non_owner(&world);
        world.bill(&sender, 1);
        world.run(Duration::from_millis(delay));
        world.kill(&sender);
        world.announce();
        world.run_until_drained(MINUTE * 2);
        world.check();
    }
}

#[test]
fn losing_a_whole_data_centre_loses_no_replicated_bill() {
    let mut world = World::six_hosts(5, short_retention);
    world.faults.down = true;
    for request in 0..60 {
        let host = SIX_HOSTS[request as usize % 6].0;
        world.bill(host, request);
    }
    world.run(Duration::from_secs(1));
    world.kill("n1");
    world.kill("n2");
    world.announce();
    world.run(MINUTE);
    world.faults.down = false;
    world.run_until_drained(MINUTE * 2);
    assert_eq!(world.usage().len(), 60);
    world.check();
}

#[test]
fn two_owners_of_one_shard_grant_each_key_once() {
    let mut world = World::six_hosts(6, short_retention);
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
    world.run_until_drained(MINUTE * 2);
    assert_eq!(
        world
            .claims
            .iter()
            .filter(|notification| notification.value.1 == ClaimResult::Granted)
            .count(),
        60
    );
    assert_eq!(world.usage().len(), 60);
    world.check();
}

#[test]
fn new_hosts_take_over_when_all_are_replaced_at_once() {
    let mut world = World::six_hosts(7, short_retention);
    for request in 0..100 {
        world.claim("n1", &format!("k{request}"), request);
        world.bill("l1", request);
        world.run(Duration::from_secs(1));
        world.outcome("n1", &format!("k{request}"), request, ran_outcome());
    }
    world.run_until_drained(MINUTE);
    for (host, _) in SIX_HOSTS {
        world.kill(host);
    }
    for (host, data_centre) in SIX_HOSTS {
        world.start_host(host, data_centre);
    }
    world.announce();
    world.claim("c1", "k99", 200);
    world.bill("c2", 99);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("k99"), [ClaimResult::Granted, ClaimResult::Recorded(ran_outcome())]);
    world.run_until_drained(MINUTE);
    assert_eq!(world.usage().len(), 100);
    world.check();
}

#[test]
fn hosts_replaced_one_after_another_lose_nothing() {
    let mut world = World::six_hosts(8, short_retention);
    for (round, (host, data_centre)) in SIX_HOSTS.into_iter().enumerate() {
        for step in 0..10_u128 {
            let request = round as u128 * 100 + step;
            world.bill(SIX_HOSTS[step as usize % 6].0, request);
            world.run(Duration::from_millis(100));
        }
        world.kill(host);
        world.announce();
        world.run(Duration::from_millis(500));
        world.start_host(host, data_centre);
        world.announce();
    }
    world.run_until_drained(MINUTE * 2);
    assert_eq!(world.usage().len(), 60);
    world.check();
}

#[test]
fn a_paused_owner_is_bypassed_and_causes_no_duplicates_after_resuming() {
    let mut world = World::six_hosts(9, short_retention);
    let (owner, host) = (owner(&world), non_owner(&world));
    world.claim(&host, "warm-up", 1_000);
    world.run(Duration::from_secs(1));
    world.pause(&owner);
    for request in 0..30 {
        world.claim(&host, &format!("k{request}"), request);
        world.bill(&host, request);
        world.run(Duration::from_secs(1));
    }
    let granted = world
        .claims
        .iter()
        .filter(|notification| notification.value.1 == ClaimResult::Granted)
        .count();
    assert_eq!(granted, 31);
    world.resume(&owner);
    world.run_until_drained(MINUTE * 2);
    world.check();
}

#[test]
fn replicas_lost_in_restarts_are_recreated() {
    let mut world = World::six_hosts(10, short_retention);
    world.faults.down = true;
    world.bill("n1", 1);
    world.run(Duration::from_secs(1));
    assert_eq!(world.safety(1), Some(BillSafety::Replicated));
    for (host, data_centre) in SIX_HOSTS.into_iter().skip(1) {
        world.start_host(host, data_centre);
        world.announce();
        world.run(Duration::from_millis(200));
    }
    world.kill("n1");
    world.announce();
    world.faults.down = false;
    world.run_until_drained(MINUTE * 2);
    assert_eq!(world.usage().get(&1), Some(&1));
    world.check();
}

#[test]
fn a_host_counts_only_the_segments_that_it_wrote() {
    let mut world = World::six_hosts(11, short_retention);
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
