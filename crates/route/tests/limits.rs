//! Concurrency limits, queueing, fairness, early refusal and server preference.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::World;
use common::configuration;
use common::dispatch;
use common::dispatches;
use common::engine;
use common::refusal;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Priority;
use foxtailhoist_model::Ran;
use foxtailhoist_route::Mechanisms;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Event;

fn world_with_one_slot(queue: usize) -> World {
    let mut configuration = configuration();
    configuration.presets.get_mut("ordinary").expect("the preset").limits.queue = queue;
    let servers = vec![engine("engine-0", "a", 1)];
    World::with(Mechanisms { exploration: false, ..Mechanisms::default() }, configuration, servers)
}

#[test]
fn a_request_beyond_the_queue_is_refused_at_once_as_not_run() {
    let mut world = world_with_one_slot(2);
    for _ in 0..3 {
        let request = world.chat();
        assert!(refusal(&world.arrive(request)).is_none());
    }
    let request = world.chat();
    let effects = world.arrive(request);
    let refusal = refusal(&effects).expect("refused");
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::Overloaded, Ran::NotRun));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_request_that_would_wait_past_its_deadline_is_refused_at_once() {
    let mut world = world_with_one_slot(1000);
    let request = world.chat();
    let mut attempt = dispatch(&world.arrive(request)).attempt;
    // Each answer takes three seconds.
    for _ in 0..5 {
        let request = world.chat();
        let _ = world.arrive(request);
        world.now += Duration::from_secs(3);
        attempt = dispatch(&world.finish(attempt)).attempt;
    }
    let mut refused = 0;
    for _ in 0..20 {
        let request = world.chat();
        let effects = world.arrive(request);
        if let Some(refusal) = refusal(&effects) {
            assert_eq!((refusal.kind, refusal.ran), (ErrorKind::Overloaded, Ran::NotRun));
            refused += 1;
        }
    }
    // At most six answers fit into the deadline of 20 s.
    assert!(refused >= 13, "{refused} refused");
}

#[test]
fn a_large_workspace_does_not_starve_a_small_one() {
    let mut world = world_with_one_slot(1000);
    let request = world.chat();
    let mut attempt = dispatch(&world.arrive(request)).attempt;
    for _ in 0..50 {
        let request = world.chat();
        let _ = world.arrive(request);
    }
    let mut small = Vec::new();
    for _ in 0..3 {
        let mut request = world.chat();
        request.workspace = "rye".to_owned();
        small.push(request.id);
        let _ = world.arrive(request);
    }
    let mut served = Vec::new();
    for _ in 0..8 {
        let next = dispatch(&world.finish(attempt));
        served.push(next.request);
        attempt = next.attempt;
    }
    assert!(small.iter().all(|id| served.contains(id)), "{served:?} without {small:?}");
}

#[test]
fn a_full_queue_displaces_a_request_of_the_workspace_over_its_share() {
    let mut world = world_with_one_slot(4);
    for _ in 0..5 {
        let request = world.chat();
        let _ = world.arrive(request);
    }
    let mut request = world.chat();
    request.workspace = "rye".to_owned();
    let effects = world.arrive(request.clone());
    let refusal = refusal(&effects).expect("the newest request of the large workspace is refused");
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::OverFairShare, Ran::NotRun));
    assert_eq!(world.router.stats().queued, 4);
}

#[test]
fn a_workspace_is_served_by_its_weight() {
    let mut configuration = configuration();
    configuration.workspaces.get_mut("rye").expect("known").weight = 3.0;
    let servers = vec![engine("engine-0", "a", 1)];
    let off = Mechanisms { exploration: false, early_shedding: false, ..Mechanisms::default() };
    let mut world = World::with(off, configuration, servers);
    let request = world.chat();
    let mut attempt = dispatch(&world.arrive(request)).attempt;
    let mut owner = BTreeMap::new();
    for index in 0..80 {
        let mut request = world.chat();
        request.workspace = if index % 2 == 0 { "rye" } else { common::WORKSPACE }.to_owned();
        owner.insert(request.id, request.workspace.clone());
        let _ = world.arrive(request);
    }
    let mut rye = 0;
    for _ in 0..40 {
        let next = dispatch(&world.finish(attempt));
        rye += usize::from(owner[&next.request] == "rye");
        attempt = next.attempt;
    }
    assert!((28..=32).contains(&rye), "{rye} of 40 at a weight of 3 against 1");
}

#[test]
fn urgent_requests_are_served_first() {
    let mut world = world_with_one_slot(100);
    let request = world.chat();
    let attempt = dispatch(&world.arrive(request)).attempt;
    for priority in [Priority::Batch, Priority::Normal, Priority::Urgent] {
        let mut request = world.chat();
        request.priority = priority;
        let _ = world.arrive(request);
    }
    assert_eq!(dispatch(&world.finish(attempt)).priority, Priority::Urgent);
}

#[test]
fn attempts_stay_within_the_slots_and_rejections_lower_the_limit() {
    let servers = vec![engine("engine-0", "a", 4)];
    let off = Mechanisms { exploration: false, retries: false, ..Mechanisms::default() };
    let mut world = World::with(off, configuration(), servers);
    let mut running = Vec::new();
    for _ in 0..10 {
        let request = world.chat();
        running.extend(dispatches(&world.arrive(request)).iter().map(|d| d.attempt));
    }
    assert_eq!(running.len(), 4);
    for attempt in running {
        let _ = world.fail(attempt, AttemptFailure::Rejected);
    }
    assert!(world.router.stats().in_flight < 4);
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    let servers = vec![engine("engine-0", "a", 8), engine("engine-1", "a", 8)];
    let mut world = World::with(Mechanisms::default(), configuration(), servers.clone());
    let _ = world.send(Event::Leaving("engine-0".to_owned()));
    // The host list is stale and still shows the server as live.
    let _ = world.send(Event::Servers(servers));
    for _ in 0..8 {
        let request = world.chat();
        let effects = world.arrive(request);
        assert!(dispatches(&effects).iter().all(|dispatch| dispatch.server == "engine-1"));
    }
}

#[test]
fn local_servers_are_preferred_until_they_are_full() {
    let servers = vec![engine("far", "b", 8), engine("near", "a", 2)];
    let mut world = World::with(Mechanisms::default(), configuration(), servers);
    for _ in 0..4 {
        let request = world.chat();
        let dispatch = dispatch(&world.arrive(request));
        assert_eq!(dispatch.server, "near", "an idle local server is preferred");
        let _ = world.finish(dispatch.attempt);
    }
    let mut at_near = 0;
    for _ in 0..6 {
        let request = world.chat();
        at_near += usize::from(dispatch(&world.arrive(request)).server == "near");
    }
    assert!((1..=2).contains(&at_near), "{at_near} of 6 on two local slots");
}

#[test]
fn requests_with_a_common_prefix_share_few_servers() {
    let servers = (0..8).map(|index| engine(&format!("engine-{index}"), "a", 32)).collect();
    let mut world = World::with(Mechanisms::default(), configuration(), servers);
    let mut used = BTreeMap::new();
    for _ in 0..50 {
        let mut request = world.chat();
        if let foxtailhoist_model::Target::Chat { prefix, prefix_tokens, prompt_tokens, .. } =
            &mut request.target
        {
            *prefix = 77;
            *prefix_tokens = 1500;
            *prompt_tokens = 1700;
        }
        let dispatch = dispatch(&world.arrive(request));
        *used.entry(dispatch.server.clone()).or_insert(0) += 1;
        let _ = world.finish(dispatch.attempt);
    }
    assert!(used.len() <= 2, "{used:?}");
}

#[test]
fn slow_first_tokens_lower_the_limit() {
    let servers = vec![engine("engine-0", "a", 8)];
    let off = Mechanisms {
        exploration: false,
        early_shedding: false,
        hedging: false,
        ..Mechanisms::default()
    };
    let mut world = World::with(off, configuration(), servers);
    let mut round = |first_token: Duration| {
        let mut running = Vec::new();
        for _ in 0..8 {
            let request = world.streamed();
            running.extend(dispatches(&world.arrive(request)).iter().map(|d| d.attempt));
        }
        let at_once = running.len();
        running.reverse();
        // The engine prefills one prompt at a time.
        while let Some(attempt) = running.pop() {
            world.now += first_token;
            let _ = world.send(Event::FirstByte { attempt });
            let next = world.finish(attempt);
            running.splice(0..0, dispatches(&next).iter().map(|d| d.attempt));
        }
        at_once
    };
    for _ in 0..5 {
        assert_eq!(round(Duration::from_millis(20)), 8);
    }
    for _ in 0..4 {
        let _ = round(Duration::from_secs(2));
    }
    let at_once = round(Duration::from_millis(20));
    assert!((1..8).contains(&at_once), "{at_once} concurrent attempts after slow first tokens");
}
