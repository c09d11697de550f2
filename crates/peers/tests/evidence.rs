//! Tallies are summed over the fleet without double counting, and sessions are found at their owning hosts.

mod support;

use std::time::Duration;

use rand::RngExt;

use foxtailhoist_model::Tally;
use foxtailhoist_peers::event::Announcement;
use foxtailhoist_peers::event::Event;

use crate::support::Fleet;
use crate::support::configuration;
use crate::support::version;
use crate::support::with_versions;

fn converged_fleet(count: usize, centres: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, centres, seed);
    fleet.run(Duration::from_secs(8));
    fleet
}

fn set_rated(fleet: &mut Fleet, id: &str, rated: u64) {
    let tally = Tally { rated, ..Tally::default() };
    fleet.handle(id, Event::Tally { model_version: version("1"), tally });
}

fn rated(fleet: &Fleet, id: &str) -> u64 {
    fleet.hosts[id].recorded.tallies.get(&version("1")).map_or(0, |tally| tally.rated)
}

fn ids(fleet: &Fleet) -> Vec<String> {
    fleet.hosts.keys().cloned().collect()
}

#[test]
fn each_host_learns_the_sum_of_all_others() {
    let mut fleet = converged_fleet(24, 3, 1);
    for (id, rated) in ids(&fleet).iter().zip(1..) {
        set_rated(&mut fleet, id, rated);
    }
    fleet.run(Duration::from_secs(30));
    for (id, own) in ids(&fleet).iter().zip(1..) {
        assert_eq!(rated(&fleet, id), 24 * 25 / 2 - own);
    }
}

#[test]
fn a_restarted_host_and_a_new_delegate_count_nothing_twice() {
    let mut fleet = converged_fleet(12, 3, 2);
    for id in ids(&fleet) {
        set_rated(&mut fleet, &id, 10);
    }
    fleet.run(Duration::from_secs(20));
    let mut restarted = Vec::new();
    for centre in 0..3 {
        let delegate = fleet.in_centre(centre).find(|host| host.peers.is_delegate());
        let id = delegate.expect("the data centre has a delegate").listed.id.clone();
        restarted.push(id.clone());
        let listed = fleet.kill(&id);
        fleet.run(Duration::from_secs(12));
        let list = fleet.list();
        fleet.start(listed, &list);
        set_rated(&mut fleet, &id, 1);
        fleet.run(Duration::from_secs(25));
    }
    // The three restarted hosts counted 10 before the restart and 1 after it.
    let total = 12 * 10 + 3;
    for id in ids(&fleet) {
        let own = if restarted.contains(&id) { 1 } else { 10 };
        assert_eq!(rated(&fleet, &id), total - own, "{id}");
    }
}

#[test]
fn sums_never_exceed_the_true_total_while_hosts_restart() {
    let mut fleet = converged_fleet(12, 3, 3);
    let mut total = 0;
    let mut own = std::collections::BTreeMap::<String, u64>::new();
    for _ in 0..60 {
        for id in ids(&fleet) {
            total += 1;
            *own.entry(id.clone()).or_default() += 1;
            let rated = own[&id];
            set_rated(&mut fleet, &id, rated);
        }
        if fleet.rng.random::<f64>() < 0.2 {
            let all = ids(&fleet);
            let victim = all[fleet.rng.random_range(0..all.len())].clone();
            let listed = fleet.kill(&victim);
            own.remove(&victim);
            let list = fleet.list();
            fleet.start(listed, &list);
        }
        fleet.run(Duration::from_secs(3));
        assert!(ids(&fleet).iter().all(|id| rated(&fleet, id) <= total));
    }
}

#[test]
fn unused_versions_are_evicted_and_sums_do_not_decrease_when_reused() {
    let mut fleet = converged_fleet(6, 3, 7);
    for number in 0..24 {
        let model_version = version(&format!("old-{number}"));
        let tally = Tally { rated: 1, ..Tally::default() };
        for id in ids(&fleet) {
            let model_version = model_version.clone();
            fleet.handle(&id, Event::Tally { model_version, tally });
        }
    }
    fleet.run(Duration::from_secs(20));
    // Revision 8 uses version 1 alone.
    fleet.adopt("entry-000", &configuration(8));
    fleet.run(Duration::from_secs(3));
    for id in ids(&fleet) {
        set_rated(&mut fleet, &id, 5);
    }
    fleet.run(Duration::from_secs(20));
    assert!(ids(&fleet).iter().all(|id| rated(&fleet, id) == 25));
    // Revision 9 does not use version 1, revision 22 does again; the returned sum must not decrease.
    fleet.adopt("entry-000", &configuration(9));
    fleet.run(Duration::from_secs(5));
    fleet.adopt("entry-000", &configuration(22));
    fleet.run(Duration::from_secs(5));
    set_rated(&mut fleet, "entry-000", 6);
    fleet.run(Duration::from_secs(20));
    assert!(ids(&fleet).iter().all(|id| rated(&fleet, id) >= 25));
}

#[test]
fn a_session_is_found_from_every_data_centre_and_only_by_its_workspace() {
    let mut fleet = converged_fleet(12, 3, 4);
    let workspace = "bakery".to_owned();
    let session = "s-1".to_owned();
    let pin = Event::SessionPinned {
        workspace: workspace.clone(),
        session: session.clone(),
        model_version: version("1"),
    };
    fleet.handle("entry-000", pin);
    fleet.run(Duration::from_secs(1));
    for (id, token) in ids(&fleet).iter().zip(0..) {
        let (workspace, session) = (workspace.clone(), session.clone());
        fleet.handle(id, Event::SessionLookup { token, workspace, session });
        let (workspace, session) = ("other".to_owned(), "s-1".to_owned());
        fleet.handle(id, Event::SessionLookup { token: token + 100, workspace, session });
        fleet.run(Duration::from_secs(1));
        let found = &fleet.hosts[id].recorded.sessions;
        assert_eq!(found[&token], Some(version("1")), "{id}");
        assert_eq!(found[&(token + 100)], None);
    }
}

#[test]
fn a_lookup_whose_owners_do_not_answer_times_out() {
    let mut fleet = converged_fleet(6, 3, 5);
    for id in ids(&fleet).into_iter().filter(|id| id != "entry-000") {
        fleet.kill(&id);
    }
    let lookup = |token: u64| Event::SessionLookup {
        token,
        workspace: "bakery".to_owned(),
        session: format!("s-{token}"),
    };
    for token in 0..20 {
        fleet.handle("entry-000", lookup(token));
    }
    fleet.run(Duration::from_millis(200));
    assert_eq!(fleet.hosts["entry-000"].recorded.sessions.len(), 20);
}

/// The bound is asserted by `Peers` for every message that a host sends.
#[test]
fn messages_stay_within_their_bound_with_many_versions_and_data_centres() {
    let mut fleet = converged_fleet(24, 12, 6);
    let names: Vec<String> = (0..30).map(|number| format!("release-candidate-{number}")).collect();
    fleet.adopt("entry-000", &with_versions(1, &names));
    fleet.run(Duration::from_secs(3));
    let large = 1 << 40;
    let tally = Tally {
        rated: large,
        unacceptable: large,
        ended: large,
        failed: large,
        timed: large,
        slow: large,
        callers: large,
    };
    for id in ids(&fleet) {
        for name in &names {
            let model_version = version(name);
            fleet.handle(&id, Event::Tally { model_version, tally });
        }
    }
    for number in 0..60 {
        let reason = "word ".repeat(100);
        let model_version = version(&format!("release-candidate-{number}"));
        let veto = Announcement::Vetoed { model_version, epoch: 0, reason };
        fleet.handle("entry-000", Event::Announce(veto));
    }
    fleet.run(Duration::from_secs(60));
    for host in fleet.hosts.values() {
        assert_eq!(host.peers.vetoes().len(), 60);
        // Every host leaves out the same versions beyond the maximum and sums the others.
        assert_eq!(host.recorded.tallies.len(), 24);
        assert!(host.recorded.tallies.values().all(|tally| tally.rated == 23 * large));
    }
}
