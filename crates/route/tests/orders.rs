//! Orders to engines: issued on unmet demand, under a lease and at a limited rate.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::World;
use common::configuration;
use common::engine;
use common::large;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::Serves;
use foxtailhoist_route::Mechanisms;
use foxtailhoist_route::event::Effect;
use foxtailhoist_route::event::Event;
use rstest::rstest;

/// Two engines without the large model.
fn world() -> World {
    let loaded = BTreeSet::from([common::small()]);
    let serves = Serves::Engine { loaded, slots: 8 };
    let server = |id| BackendServer { serves: serves.clone(), ..engine(id, "a", 8) };
    World::with(Mechanisms::default(), configuration(), vec![server("one"), server("two")])
}

/// Sends requests and returns the orders that they cause.
fn orders(world: &mut World, requests: usize) -> Vec<EngineOrder> {
    let mut orders = Vec::new();
    for _ in 0..requests {
        let request = world.chat();
        for effect in world.arrive(request) {
            if let Effect::Order(order) = effect {
                orders.push(order);
            }
        }
    }
    orders
}

#[test]
fn a_version_in_demand_is_ordered_once_per_interval() {
    let mut world = world();
    let until = world.now + Duration::from_secs(60);
    let _ = world.send(Event::OrdersLease { fencing: 4, until });
    let first = orders(&mut world, 20);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].fencing, 4);
    assert_eq!(first[0].state.loaded, BTreeSet::from([common::small(), large()]));
    let _ = world.advance(Duration::from_secs(11));
    assert_eq!(orders(&mut world, 20).len(), 1);
}

#[rstest]
#[case::never_held(None)]
#[case::about_to_expire(Some(Duration::from_secs(2)))]
#[case::expired(Some(Duration::ZERO))]
fn no_order_is_issued_without_a_lease_or_shortly_before_it_expires(#[case] left: Option<Duration>) {
    let mut world = world();
    if let Some(left) = left {
        let until = world.now + left;
        let _ = world.send(Event::OrdersLease { fencing: 4, until });
    }
    assert!(orders(&mut world, 20).is_empty());
}

#[test]
fn a_lower_fencing_number_does_not_replace_a_higher_one() {
    let mut world = world();
    let until = world.now + Duration::from_secs(60);
    let _ = world.send(Event::OrdersLease { fencing: 4, until });
    let _ = world.send(Event::OrdersLease { fencing: 3, until });
    let issued = orders(&mut world, 20);
    assert!(issued.iter().all(|order| order.fencing == 4));
}

#[test]
fn a_vetoed_version_is_never_ordered() {
    let mut world = world();
    let until = world.now + Duration::from_secs(60);
    let _ = world.send(Event::OrdersLease { fencing: 4, until });
    let _ = world.send(Event::Vetoed(large()));
    assert!(orders(&mut world, 20).is_empty());
}
