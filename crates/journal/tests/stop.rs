//! Stops: entries are committed or handed over within a bounded time.

mod world;

use std::time::Duration;

use foxtailhoist_journal::event::BillSafety;
use foxtailhoist_journal::event::Event;
use foxtailhoist_model::ClaimResult;
use world::SIX_HOSTS;
use world::World;
use world::short_retention;

const MINUTE: Duration = Duration::from_secs(60);

#[test]
fn a_stop_commits_waiting_entries() {
    let mut world = World::six_hosts(1, short_retention);
    world.bill("n1", 1);
    world.event("n1", Event::Stop);
    world.run(Duration::from_secs(3));
    assert!(world.stopped.contains("n1"));
    world.kill("n1");
    world.announce();
    world.run_until_drained(MINUTE);
    assert_eq!(world.usage().len(), 1);
    world.check();
}

#[test]
fn a_stop_with_the_store_down_hands_bills_over() {
    let mut world = World::six_hosts(2, short_retention);
    world.faults.down = true;
    for request in 0..50 {
        world.bill("n1", request);
    }
    world.event("n1", Event::Stop);
    world.run(Duration::from_secs(3));
    assert!(world.stopped.contains("n1"));
    world.kill("n1");
    world.announce();
    world.run(MINUTE);
    world.faults.down = false;
    world.run_until_drained(MINUTE * 2);
    assert_eq!(world.usage().len(), 50);
    world.check();
}

#[test]
fn a_stop_without_peers_or_a_store_ends_in_bounded_time() {
    let mut world = World::new(3, short_retention);
    world.start_host("n1", "nashua");
    world.announce();
    world.faults.down = true;
    world.bill("n1", 1);
    world.run(Duration::from_secs(1));
    assert_eq!(world.safety(1), Some(BillSafety::Held));
    world.event("n1", Event::Stop);
    world.run(Duration::from_secs(5));
    assert!(!world.stopped.contains("n1"));
    world.run(Duration::from_secs(6));
    assert!(world.stopped.contains("n1"));
}

#[test]
fn hosts_stopped_one_after_another_while_the_store_is_down_lose_nothing() {
    let mut world = World::six_hosts(4, short_retention);
    world.bill("n1", 1_000);
    world.run(Duration::from_secs(5));
    world.faults.down = true;
    for (round, (host, data_centre)) in SIX_HOSTS.into_iter().enumerate() {
        for step in 0..10_u128 {
            let request = round as u128 * 100 + step;
            world.bill(SIX_HOSTS[step as usize % 6].0, request);
        }
        world.run(Duration::from_secs(1));
        world.event(host, Event::Stop);
        world.run(Duration::from_secs(11));
        assert!(world.stopped.contains(host));
        world.kill(host);
        world.announce();
        world.run(Duration::from_secs(1));
        world.start_host(host, data_centre);
        world.announce();
        world.run(Duration::from_secs(6));
    }
    world.faults.down = false;
    world.run_until_drained(MINUTE * 3);
    assert_eq!(world.usage().len(), 61);
    world.check();
}

#[test]
fn a_stopping_host_refuses_new_claims() {
    let mut world = World::six_hosts(5, short_retention);
    world.event("n1", Event::Stop);
    world.claim("n1", "renewal", 1);
    assert_eq!(world.results("renewal"), [ClaimResult::Unavailable]);
}
