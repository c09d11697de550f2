//! Claims, outcomes and bills without faults.

mod world;

use std::time::Duration;

use foxtailhoist_journal::event::BillSafety;
use foxtailhoist_model::ClaimOutcome;
use foxtailhoist_model::ClaimResult;
use world::World;
use world::ran_outcome;

#[test]
fn the_first_claim_wins_and_a_retry_gets_the_outcome() {
    let mut world = World::six_hosts(1, |cfg| cfg);
    world.claim("n1", "renewal", 1);
    world.run(Duration::from_secs(1));
    world.claim("c2", "renewal", 2);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("renewal"), [ClaimResult::Granted, ClaimResult::Undecided]);
    world.outcome("n1", "renewal", 1, ran_outcome());
    world.run_until_drained(Duration::from_secs(20));
    world.claim("l1", "renewal", 1);
    world.run(Duration::from_secs(1));
    assert_eq!(world.results("renewal")[2], ClaimResult::Recorded(ran_outcome()));
    assert_eq!(world.safe_outcomes, [1]);
}

#[test]
fn a_key_that_did_not_run_is_free_again() {
    let mut world = World::six_hosts(2, |cfg| cfg);
    world.claim("n1", "renewal", 1);
    world.run(Duration::from_secs(1));
    world.outcome("n1", "renewal", 1, ClaimOutcome::NotRun);
    world.run_until_drained(Duration::from_secs(20));
    world.claim("c2", "renewal", 2);
    world.run(Duration::from_secs(1));
    assert_eq!(world.granted("renewal"), 2);
}

#[test]
fn claims_at_the_same_moment_grant_one() {
    let mut world = World::six_hosts(3, |cfg| cfg);
    for (request, host) in (1..).zip(world.hosts()) {
        world.claim(&host, "renewal", request);
    }
    world.run(Duration::from_secs(2));
    assert_eq!(world.granted("renewal"), 1);
    assert_eq!(world.results("renewal").len(), 6);
}

#[test]
fn a_bill_is_replicated_to_two_peers_before_its_group_is_written() {
    let mut world = World::six_hosts(4, |cfg| cfg);
    world.bill("n1", 1);
    world.run(Duration::from_secs(1));
    assert_eq!(world.safety(1), Some(BillSafety::Replicated));
    world.run_until_drained(Duration::from_secs(20));
}

#[test]
fn a_host_without_peers_commits_each_bill_at_once() {
    let mut world = World::new(5, |cfg| cfg);
    world.start_host("n1", "nashua");
    world.announce();
    world.bill("n1", 1);
    world.run(Duration::from_millis(200));
    assert_eq!(world.safety(1), Some(BillSafety::Committed));
}
